"""The front end: the HTTP server for callers.

`Frontend` is a task that owns the listening socket and the running calls. Each
connection has a greenlet of gevent's WSGI server, which checks a request, starts a
`CallTask` and writes the answer. The task's inbox receives the active manifest, the
configuration freshness and the drain state; removing a key from the manifest ends the
calls that use it (R4).
"""

from __future__ import annotations

import itertools
import logging
from collections.abc import Iterable
from typing import Any, Final

import attrs

from ..contracts.api_key import redact_keys
from ..contracts.call import Call, HttpRequest, authenticate, is_allowed, parse_call
from ..contracts.patient_messages import (
    GetPatientStatus,
    PatientAccepted,
    PatientRefusal,
    PatientRefused,
    PatientState,
    PatientStatus,
    SubmitPatient,
)
from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.errors import ErrorCode
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.outcome import Refusal
from ..core.task import Task
from ..machines.drain_messages import (
    DrainStarted,
    HandOverWaitingRequests,
    RunningCallCount,
)
from ..machines.messages import CatalogChanged, FreshnessChanged
from ..manifest.model import Catalog, RequestClass, Team, empty_manifest
from ..protection.caller_protection import CallerProtection
from ..telemetry.logs import log_event
from .call_task import CallContext, CallTask
from .caller import (
    CallerSink,
    StartResponse,
    WholeAnswer,
    refusal_item,
    respond,
    respond_whole,
)
from .caller_watch import CallerWatch
from .frontend_messages import CallFinished
from .http_server import CallerHandler, CallerServer
from .patient_pages import accepted_page, patient_page, patient_refusal
from .received_request import read_request
from .runner_messages import RunsInProgress
from .status import InstanceState, StatusPages, model_list

logger = logging.getLogger(__name__)

# Longer than the timeout of the patient task, so that the task replies first.
PATIENT_TIMEOUT_S: Final = 6.0
REQUESTS_PATH: Final = "/v1/requests/"
_KEY_REVOKED: Final = Refusal(401, ErrorCode.KEY_REJECTED, "the key was revoked")


@attrs.frozen(kw_only=True)
class FrontendSettings:
    """The listening address and the prefix of request ids."""

    host: str
    port: int
    instance_id: str
    incarnation: str


class Frontend(Task):
    """Serves callers of this instance; task name ``frontend``."""

    def __init__(
        self,
        settings: FrontendSettings,
        dispatcher: Dispatcher,
        clock: Clock,
        context: CallContext,
        pages: StatusPages,
        protection: CallerProtection,
    ) -> None:
        super().__init__("frontend", dispatcher, clock)
        self._settings = settings
        self._context = context
        self._pages = pages
        self._catalog = Catalog.from_manifest(0, empty_manifest())
        # Until when the configuration may be used, in monotonic seconds.
        self._fresh_until = 0.0
        self._is_draining = False
        # Set once new calls are no longer accepted.
        self._drain_reply_to: Address | None = None
        self._call_numbers = itertools.count(1)
        self._call_by_id: dict[str, CallTask] = {}
        # Number of patient requests that run at this instance.
        self._patient_run_count = 0
        self._protection = protection
        self._server = CallerServer(
            (settings.host, settings.port),
            self._application,
            self._protection,
            handler_class=CallerHandler,
        )

    @property
    def port(self) -> int:
        """The port from the settings, or the one that the kernel chose."""
        return int(self._server.server_port or 0)

    def listen(self) -> None:
        """Bind the socket, so that the port is known; raise OSError if it is taken."""
        self._server.init_socket()

    def start(self) -> None:
        """Start the task and serve callers."""
        super().start()
        self._server.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """Stop listening and end the task."""
        self._server.stop(timeout=timeout_s)
        super().stop(timeout_s)

    def handle(self, incoming: Incoming) -> None:
        """Handle changes of the manifest, the freshness and the drain state."""
        match incoming.message:
            case CatalogChanged(catalog=catalog):
                self._catalog = catalog
                self._revoke_forbidden_calls()
            case FreshnessChanged() as freshness:
                self._fresh_until = freshness.fresh_until if freshness.is_fresh else 0
                self._revoke_unconfirmed_calls()
            case RunsInProgress(count=count):
                self._patient_run_count = count
                self._report_running()
            case DrainStarted():
                self._is_draining = True
            case HandOverWaitingRequests():
                self._drain_reply_to = incoming.sender
                self._report_running()
            case CallFinished(call_id=call_id):
                self._call_by_id.pop(call_id, None)
                self._report_running()

    def _report_running(self) -> None:
        """Report the number of running calls once no new ones are accepted."""
        if self._drain_reply_to is not None:
            count = RunningCallCount(len(self._call_by_id) + self._patient_run_count)
            self.dispatcher.send(self.address, Outgoing(self._drain_reply_to, count))

    def longest_remaining_s(self) -> float:
        """Return the time until the latest deadline of a running call."""
        now = self.clock.now()
        deadlines = [task.call.deadline_at for task in self._call_by_id.values()]
        return max(0.0, max(deadlines, default=now) - now)

    def _revoke_forbidden_calls(self) -> None:
        for call_id, task in list(self._call_by_id.items()):
            if not self._is_still_allowed(task.call):
                log_event(logger, logging.INFO, "key_revoked", request=call_id)
                task.revoke(_KEY_REVOKED)

    def on_time(self) -> None:
        """End calls with keys when the configuration becomes too old."""
        self._revoke_unconfirmed_calls()

    def wake_at(self) -> float | None:
        """Return when the configuration becomes too old."""
        return self._fresh_until if self._is_fresh() else None

    def _revoke_unconfirmed_calls(self) -> None:
        """End calls with keys if it is unknown whether the keys are revoked (R4)."""
        if self._is_fresh():
            return
        for call_id, task in list(self._call_by_id.items()):
            if task.call.key_id:
                log_event(logger, logging.INFO, "key_unconfirmed", request=call_id)
                task.revoke(_not_current_refusal())

    def _is_still_allowed(self, call: Call) -> bool:
        if not call.key_id:
            return True
        key = self._catalog.key_by_id.get(call.key_id)
        team = self._catalog.team_by_id.get(call.team)
        return (
            key is not None
            and key.team == call.team
            and team is not None
            and is_allowed(team, call.target)
        )

    def _application(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        received = read_request(environ)
        if isinstance(received, Refusal):
            refusal = refusal_item(received)
            yield from respond_whole(refusal, start_response, closing=True)
            return
        try:
            yield from self._answer(received.request, environ, start_response)
        finally:
            received.release()

    def _answer(
        self,
        request: HttpRequest,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        page = self._find_page(request)
        if page is not None:
            return respond_whole(page, start_response)
        if request.path.startswith(REQUESTS_PATH):
            return respond_whole(self._patient_status(request), start_response)
        return self._serve_call(request, environ, start_response)

    def _find_page(self, request: HttpRequest) -> WholeAnswer | None:
        if request.path == "/healthz":
            return WholeAnswer(200, {"content-type": "text/plain"}, b"alive\n")
        if request.path == "/readyz":
            return self._readiness()
        if request.path == "/v1/models" and request.method == "GET":
            return self._models(request)
        if request.path == "/v1/status":
            gauges = self._protection.gauges()
            return self._pages.status(request, self._state(), gauges)
        if request.path == "/v1/histograms":
            return self._pages.histograms(request)
        return None

    def _readiness(self) -> WholeAnswer:
        reason = self._not_ready_reason()
        if reason is None:
            return WholeAnswer(200, {"content-type": "text/plain"}, b"ready\n")
        return WholeAnswer(503, {"content-type": "text/plain"}, f"{reason}\n".encode())

    def _state(self) -> InstanceState:
        reason = self._not_ready_reason()
        return InstanceState(
            revision=self._catalog.revision,
            not_ready=None if reason is None else str(reason),
            running_calls=len(self._call_by_id),
        )

    def _not_ready_reason(self) -> ErrorCode | None:
        if self._is_draining:
            return ErrorCode.DRAINING
        if not self._is_fresh() or self._catalog.revision == 0:
            return ErrorCode.NOT_CURRENT
        return None

    def _is_fresh(self) -> bool:
        # Checked at every use: after a pause of the process, a request may be handled
        # before the message that reports the configuration as too old.
        return self.clock.now() < self._fresh_until

    def _authenticate(self, request: HttpRequest) -> Team | Refusal:
        if not self._is_fresh():
            return _not_current_refusal()
        return authenticate(request, self._catalog)

    def _models(self, request: HttpRequest) -> WholeAnswer:
        team = self._authenticate(request)
        if isinstance(team, Refusal):
            return refusal_item(team)
        names = [*self._catalog.model_by_id, *self._catalog.adapter_by_id]
        allowed = [name for name in names if is_allowed(team, name)]
        return model_list(allowed)

    def _serve_call(
        self,
        request: HttpRequest,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        settings = self._settings
        number = next(self._call_numbers)
        call_id = f"{settings.instance_id}-{settings.incarnation}-{number}"
        call = parse_call(request, self._catalog, call_id, self.clock.now())
        if isinstance(call, Call):
            call = self._check_state(call) or call
        if isinstance(call, Refusal):
            log_event(
                logger,
                logging.INFO,
                "refused",
                request=call_id,
                code=call.code,
                path=redact_keys(request.path),
            )
            return respond_whole(refusal_item(call), start_response)
        if call.request_class is RequestClass.PATIENT:
            return respond_whole(self._submit_patient(call), start_response)
        return self._run_call(call, environ, start_response)

    def _check_state(self, call: Call) -> Refusal | None:
        """Return the refusal if this instance cannot accept a call."""
        if call.request_class is RequestClass.PATIENT and not call.team:
            return Refusal(
                400,
                ErrorCode.BAD_REQUEST,
                "a patient request needs a key, with which its answer is fetched",
            )
        if self._drain_reply_to is not None:
            return Refusal(
                503, ErrorCode.DRAINING, "the instance stops", retry_after_s=0.0
            )
        if call.key_id and not self._is_fresh():
            return _not_current_refusal()
        return None

    def _run_call(
        self, call: Call, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        backlog = self._protection.open_answer()
        sink = CallerSink(backlog)
        task = CallTask(call, self._context, sink)

        def on_shed() -> None:
            task.abandon()
            sink.close()
            environ["siskinspool.connection"].end()

        backlog.on_shed(on_shed)
        watch = CallerWatch(environ["siskinspool.socket"], task.abandon)
        self._call_by_id[call.id] = task
        task.start()
        # A non-idempotent call may outlive its caller; it is counted until it ends.
        task.on_end(lambda: self._on_call_end(call.id))
        try:
            yield from respond(sink, start_response)
        finally:
            watch.stop()
            task.abandon()

    def _on_call_end(self, call_id: str) -> None:
        self.post(Incoming(self.address, CallFinished(call_id)))

    def _submit_patient(self, call: Call) -> WholeAnswer:
        headers = dict(call.headers)
        if call.idempotency_key:
            headers["idempotency-key"] = call.idempotency_key
        message = SubmitPatient(
            request_id=call.id,
            team=call.team,
            method=call.method,
            target=call.uri,
            route=call.target,
            headers=tuple(headers.items()),
            body=call.body,
            idempotent=call.is_idempotent,
            deadline_in_s=call.deadline_at - self.clock.now(),
        )
        answer = self._ask("patient", message)
        if isinstance(answer, PatientAccepted):
            return accepted_page(f"{REQUESTS_PATH}{answer.request_id}", answer)
        if isinstance(answer, PatientRefused):
            return refusal_item(patient_refusal(answer.reason))
        return refusal_item(patient_refusal(PatientRefusal.OUTCOME_UNKNOWN))

    def _patient_status(self, request: HttpRequest) -> WholeAnswer:
        team = self._authenticate(request)
        if isinstance(team, Refusal):
            return refusal_item(team)
        request_id = request.path[len(REQUESTS_PATH) :]
        answer = self._ask("patient", GetPatientStatus(request_id, team.id))
        if not isinstance(answer, PatientStatus):
            answer = PatientStatus(PatientState.UNAVAILABLE)
        return patient_page(request_id, answer)

    def _ask(self, task: str, message: Message) -> Message | None:
        address = self.dispatcher.address(task)
        return self.dispatcher.ask(address, message, PATIENT_TIMEOUT_S)


def _not_current_refusal() -> Refusal:
    return Refusal(
        503,
        ErrorCode.NOT_CURRENT,
        "this instance cannot confirm that keys are still valid",
        retry_after_s=1.0,
    )
