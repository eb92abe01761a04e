"""Runs patient requests (R3).

`PatientRunner` is the task ``runner``. The owner of a patient shard sends `RunPatient`;
the runner starts each token at most once, replies with `PatientStarted`, and resends
`PatientFinished` until it receives `PatientRecorded`, so that a lost message loses no
answer. A run that was certainly not executed and may succeed later (queue full, rate
exceeded) is retried until the deadline. When the instance stops, such a run is returned
to the owner.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import Final

import attrs

from ..contracts.call import DEFAULT_MAX_TOKENS, Call
from ..contracts.patient_messages import (
    PatientFinished,
    PatientRecorded,
    PatientReturned,
    PatientStarted,
    RunPatient,
    SubmitPatient,
)
from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.errors import ErrorCode
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.outcome import Refusal, RunState
from ..core.task import Task
from ..machines.drain_messages import HandOverWaitingRequests
from ..machines.messages import CatalogChanged
from ..manifest.model import Catalog, RequestClass, empty_manifest
from .answer_sink import PROBLEM_CONTENT_TYPE, AnswerSink, problem_body
from .call_task import CallContext, CallTask
from .runner_messages import RunEnded, RunsInProgress

RESULT_RESEND_INTERVAL_S: Final = 1.0
RETRY_PAUSE_S: Final = 2.0
# Ended tokens are remembered, so that a late duplicate message starts no run.
MAX_ENDED_TOKENS: Final = 10_000

_RETRYABLE_CODES: Final = frozenset(
    {
        ErrorCode.RATE_EXCEEDED,
        ErrorCode.QUEUE_FULL,
        ErrorCode.NO_SERVER,
        ErrorCode.LOAD_FAILED,
        ErrorCode.SERVER_FAILED,
        ErrorCode.DEADLINE_UNREACHABLE,
        ErrorCode.IDEMPOTENCY_UNAVAILABLE,
    }
)


@attrs.define
class _Run:
    """The run of one token."""

    reply_to: Address
    request: SubmitPatient
    deadline_at: float
    attempts: int = 0
    # Set while waiting for the next attempt.
    retry_at: float | None = None
    # The answer, or the message that returns the request.
    result: PatientFinished | PatientReturned | None = None
    resend_at: float = 0.0


class _BufferSink(AnswerSink):
    """Collects a whole answer and sends it to the runner's inbox."""

    def __init__(self, runner: PatientRunner, token: str) -> None:
        self._runner = runner
        self._token = token
        self._status = 0
        self._content_type = ""
        self._events: list[bytes] = []

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Start a streamed answer."""
        self._status = status
        self._content_type = headers.get("content-type", "")

    def send_event(self, data: bytes) -> None:
        """Add one server-sent event."""
        self._events.append(data)

    def end(self) -> None:
        """End a complete streamed answer."""
        self._report(self._status, self._content_type, b"".join(self._events), None)

    def abort(self, refusal: Refusal) -> None:
        """End a streamed answer that is incomplete."""
        self.refuse(refusal)

    def send_whole(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Report a whole answer."""
        self._report(status, headers.get("content-type", ""), body, None)

    def refuse(self, refusal: Refusal) -> None:
        """Report a refusal."""
        body = problem_body(refusal)
        self._report(refusal.status, PROBLEM_CONTENT_TYPE, body, refusal)

    def _report(
        self, status: int, content_type: str, body: bytes, refusal: Refusal | None
    ) -> None:
        ended = RunEnded(self._token, status, content_type, body, refusal)
        self._runner.post(Incoming(self._runner.address, ended))


class PatientRunner(Task):
    """Runs patient requests from the whole site at this instance."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        context: CallContext,
        incarnation: str,
    ) -> None:
        super().__init__("runner", dispatcher, clock)
        self._context = context
        self._incarnation = incarnation
        self._catalog = Catalog.from_manifest(0, empty_manifest())
        self._run_by_token: dict[str, _Run] = {}
        self._ended_tokens: OrderedDict[str, None] = OrderedDict()
        self._is_stopping = False

    def handle(self, incoming: Incoming) -> None:
        """Start runs, handle their results and remove recorded ones."""
        match incoming.message:
            case CatalogChanged(catalog=catalog):
                self._catalog = catalog
            case RunPatient() as run:
                self._on_run_patient(run, incoming.sender)
            case RunEnded() as ended:
                self._on_run_ended(ended)
            case HandOverWaitingRequests():
                self._return_waiting_runs()
            case PatientRecorded(token=token):
                self._remove_recorded(token)

    def on_time(self) -> None:
        """Resend results that are not recorded yet and retry failed attempts."""
        now = self.clock.now()
        for token, run in list(self._run_by_token.items()):
            if run.result is not None and run.resend_at <= now:
                self._send_result(run)
            elif run.retry_at is not None and run.retry_at <= now:
                self._start_attempt(token, run)

    def wake_at(self) -> float | None:
        """Return when the next result or attempt is due."""
        due_times = [
            run.resend_at if run.result is not None else run.retry_at
            for run in self._run_by_token.values()
        ]
        return min((due_at for due_at in due_times if due_at is not None), default=None)

    def _on_run_patient(self, message: RunPatient, sender: Address) -> None:
        if message.incarnation != self._incarnation:
            return
        if message.token in self._ended_tokens:
            return
        run = self._run_by_token.get(message.token)
        if run is None:
            deadline_at = self.clock.now() + message.request.deadline_in_s
            run = _Run(sender, message.request, deadline_at)
            self._run_by_token[message.token] = run
            if self._is_stopping:
                self._return_run(message.token, run)
            else:
                self._start_attempt(message.token, run)
        run.reply_to = sender
        started = PatientStarted(message.request.request_id, message.token)
        self._notify(sender, started)
        if run.result is not None:
            self._send_result(run)
        self._report_run_count()

    def _start_attempt(self, token: str, run: _Run) -> None:
        run.attempts += 1
        run.retry_at = None
        sink = _BufferSink(self, token)
        call = self._build_call(token, run)
        if isinstance(call, Refusal):
            sink.refuse(call)
        else:
            CallTask(call, self._context, sink).start()

    def _build_call(self, token: str, run: _Run) -> Call | Refusal:
        request = run.request
        model = self._catalog.base_model(request.route)
        route = self._catalog.route_by_id.get(request.route)
        if model is None and route is None:
            return Refusal(
                404, ErrorCode.UNKNOWN_ROUTE, "the route or model no longer exists"
            )
        headers = dict(request.headers)
        return Call(
            id=f"{token}-{run.attempts}",
            team=request.team,
            key_id="",
            target=request.route,
            model=model.id if model else "",
            route=route,
            request_class=RequestClass.PATIENT,
            deadline_at=run.deadline_at,
            is_idempotent=request.idempotent,
            idempotency_key=headers.pop("idempotency-key", ""),
            estimate_tokens=route.cost_tokens if route else DEFAULT_MAX_TOKENS,
            is_streamed=False,
            method=request.method,
            uri=request.target,
            headers=headers,
            body=request.body,
        )

    def _on_run_ended(self, ended: RunEnded) -> None:
        run = self._run_by_token.get(ended.token)
        if run is None or run.result is not None:
            return
        now = self.clock.now()
        if (
            self._can_retry_later(ended.refusal)
            and now + RETRY_PAUSE_S < run.deadline_at
        ):
            run.retry_at = now + RETRY_PAUSE_S
            if self._is_stopping:
                self._return_run(ended.token, run)
            return
        run.result = PatientFinished(
            run.request.request_id,
            ended.token,
            ended.status,
            ended.content_type,
            ended.body,
        )
        self._send_result(run)

    def _return_waiting_runs(self) -> None:
        """Return the runs that wait for another attempt; running attempts finish."""
        self._is_stopping = True
        for token, run in list(self._run_by_token.items()):
            if run.retry_at is not None and run.result is None:
                self._return_run(token, run)

    def _return_run(self, token: str, run: _Run) -> None:
        run.result = PatientReturned(run.request.request_id, token)
        self._send_result(run)

    @staticmethod
    def _can_retry_later(refusal: Refusal | None) -> bool:
        if refusal is None or refusal.run is not RunState.NOT_RUN:
            return False
        return refusal.code in _RETRYABLE_CODES

    def _send_result(self, run: _Run) -> None:
        run.resend_at = self.clock.now() + RESULT_RESEND_INTERVAL_S
        if run.result is not None:
            self._notify(run.reply_to, run.result)

    def _remove_recorded(self, token: str) -> None:
        if self._run_by_token.pop(token, None) is None:
            return
        self._ended_tokens[token] = None
        if len(self._ended_tokens) > MAX_ENDED_TOKENS:
            self._ended_tokens.popitem(last=False)
        self._report_run_count()

    def _report_run_count(self) -> None:
        count = RunsInProgress(len(self._run_by_token))
        self._notify(self.dispatcher.address("frontend"), count)

    def _notify(self, recipient: Address, message: Message) -> None:
        self.dispatcher.send(self.address, Outgoing(recipient, message))
