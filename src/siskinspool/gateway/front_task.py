"""The ``front`` task: the HTTP listener for requesters.

It owns the WSGI server and the running requests, and applies the desired state. The
platform defines the encoding: `FrontCodec` decodes requests and encodes refusals.
"""

from __future__ import annotations

import logging
from abc import abstractmethod
from collections.abc import Iterable, Iterator
from typing import Any, Final

from gevent.event import Event as Signal

from ..core.errors import ErrorCode
from ..core.message import Incoming, Outgoing
from ..core.outcome import Refusal
from ..core.task import Task
from ..links.caller import (
    CallerSink,
    StartResponse,
    WholeAnswer,
    respond,
    respond_whole,
)
from ..links.caller_watch import CallerWatch
from ..links.http_server import (
    HEAD_TIMEOUT_S,
    MAX_HEADER_BYTES,
    SOCKET_TIMEOUT_S,
    CallerHandler,
    CallerServer,
)
from ..links.received_request import (
    MAX_BODY_BYTES,
    ReceivedBody,
    read_body,
    request_headers,
)
from ..protection.caller_protection import AnswerBacklog, CallerProtection
from ..settings import Endpoint
from ..telemetry.logs import log_event
from .admission import Admission, admit
from .desired_state import DesiredState, RequestLimits
from .messages import FRONT_TASK, IsolationChanged
from .quarantine_gate import GateResult, QuarantineGate
from .quarantine_messages import QUARANTINE_TASK, ProbeStarted, QuarantineChanged
from .request import RequestHead
from .request_context import GatewayRequest, HeaderCodec, RequestContext
from .request_refusals import quarantine_refusal, stopping_refusal
from .request_task import RequestTask
from .servers import RegistryListed

logger = logging.getLogger(__name__)

# Requesters may reuse a connection up to the operator's idle limit; the listener waits
# this much longer, to allow for delays.
IDLE_MARGIN_S: Final = 2.0
# The same for the operator's limit on the time of a header section.
HEAD_MARGIN_S: Final = 0.5
# Sent with refusals until the desired state is known.
RETRY_AFTER_S: Final = 0.5


class FrontCodec(HeaderCodec):
    """Decodes requests and encodes refusals for one platform."""

    @abstractmethod
    def decode_request(
        self, method: str, target: str, headers: dict[str, str]
    ) -> RequestHead | Refusal:
        """Return the head of a request, or the refusal of an invalid one."""

    @abstractmethod
    def encode_refusal(self, refusal: Refusal) -> WholeAnswer:
        """Return the HTTP answer for a refusal."""


class FrontSink(CallerSink):
    """The sink for an answer to a requester; encodes refusals for the platform."""

    def __init__(self, codec: FrontCodec, backlog: AnswerBacklog | None = None) -> None:
        super().__init__(backlog)
        self._codec = codec

    def refusal_item(self, refusal: Refusal) -> WholeAnswer:
        """Return the HTTP answer for a refusal."""
        return self._codec.encode_refusal(refusal)

    def cut_event(self, refusal: Refusal) -> bytes:
        """Return no event: streams carry only events from servers."""
        return b""


class FrontTask(Task):
    """Accepts requests and runs them; task name ``front``."""

    def __init__(
        self,
        context: RequestContext,
        codec: FrontCodec,
        listen: Endpoint,
        protection: CallerProtection | None = None,
    ) -> None:
        """Bind the listener; it accepts from `start` on."""
        super().__init__(FRONT_TASK, context.dispatcher, context.clock)
        # The page of metrics shows its counters.
        self.protection = protection or CallerProtection.with_defaults(context.clock)
        self._context = context
        self._codec = codec
        self._desired: DesiredState | None = None
        self._has_registry = False
        self._is_draining = False
        # This instance can reach neither the store nor most other instances.
        self._is_isolated = False
        self._refuses_new = False
        self._gate = QuarantineGate()
        self._running: set[RequestTask] = set()
        # Number of requests that are being read or whose answer is not fully written.
        self._open_answers = 0
        self._idle = Signal()
        self._idle.set()
        self._server = _FrontWsgiServer(
            (listen.host, listen.port),
            self._application,
            self.protection,
            handler_class=_FrontHandler,
        )
        self._server.init_socket()

    @property
    def port(self) -> int:
        """The port for requesters."""
        return int(self._server.server_port or 0)

    @property
    def is_ready(self) -> bool:
        """Return whether the instance is ready for new connections."""
        has_state = self._desired is not None and self._has_registry
        return has_state and not self._should_close_connections

    @property
    def _should_close_connections(self) -> bool:
        """Return whether requesters should reconnect to another instance."""
        return self._is_draining or self._is_isolated

    def start(self) -> None:
        """Start the task and accept connections."""
        super().start()
        self._server.start()

    def stop(self, timeout_s: float = 5.0) -> None:
        """Close the listener and all connections."""
        self._server.stop(timeout=0.1)
        super().stop(timeout_s)

    def drain(self) -> None:
        """Report not ready; connections that still arrive are served."""
        self._is_draining = True

    def refuse_new(self) -> None:
        """Refuse new and unsent requests, which other instances can still run."""
        self._refuses_new = True
        for task in list(self._running):
            task.refuse_unsent()

    def end_requests(self) -> None:
        """Answer all running requests now, according to the state of each."""
        for task in list(self._running):
            task.end_now()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is running; return False on a timeout."""
        return bool(self._idle.wait(max(timeout_s, 0.0)))

    def handle(self, incoming: Incoming) -> None:
        """Apply changes of the desired state, the registry and the isolation."""
        match incoming.message:
            case DesiredState() as desired:
                self._desired = desired
                idle_s = desired.limits.idle_timeout_s
                self._server.idle_timeout_s = idle_s + IDLE_MARGIN_S
                head_s = desired.limits.header_timeout_s
                self._server.head_timeout_s = head_s + HEAD_MARGIN_S
                self._server.max_header_bytes = desired.limits.max_header_bytes
            case RegistryListed():
                self._has_registry = True
            case IsolationChanged(isolated):
                self._is_isolated = isolated
            case QuarantineChanged(groups):
                self._gate.update(groups)
                self._end_quarantined()

    def limits(self) -> RequestLimits | None:
        """Return the limits in force."""
        return None if self._desired is None else self._desired.limits

    def _application(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterator[bytes]:
        # Counts from the head on, so that a stop waits for requests being read.
        self._open_answers += 1
        self._idle.clear()
        try:
            yield from self._answer(environ, start_response)
        finally:
            self._open_answers -= 1
            if self._open_answers == 0:
                self._idle.set()

    def _answer(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        arrived_at = self.clock.now()
        body = read_body(environ, self._max_body_bytes())
        if isinstance(body, Refusal):
            yield from self._refuse(body, None, start_response, closing=True)
            return
        try:
            yield from self._answer_body(body, arrived_at, environ, start_response)
        finally:
            body.release()

    def _answer_body(
        self,
        body: ReceivedBody,
        arrived_at: float,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        headers = request_headers(environ)
        head = self._codec.decode_request(
            environ["REQUEST_METHOD"], environ["siskinspool.target"], headers
        )
        if isinstance(head, Refusal):
            return self._refuse(head, None, start_response)
        # Decided after the body has arrived, so that the newest desired state applies.
        request = self._accept(head, body.data, arrived_at)
        if isinstance(request, Refusal):
            return self._refuse(request, head, start_response)
        return self._serve(request, environ, start_response)

    def _accept(
        self, head: RequestHead, body: bytes, arrived_at: float
    ) -> GatewayRequest | Refusal:
        """Return the request if it may run, or its refusal."""
        admission = self._admit(head)
        if isinstance(admission, Refusal):
            return admission
        gate_decision = self._gate.check(head.shared_part_ids, self.clock.now())
        if gate_decision.result is GateResult.CLOSED:
            return quarantine_refusal(
                gate_decision.part_ids,
                may_have_run=False,
                retry_after_s=gate_decision.retry_after_s,
            )
        is_probe = gate_decision.result is GateResult.PROBE
        if is_probe:
            self._start_probe(head, gate_decision.part_ids)
        return GatewayRequest(
            head=head,
            body=body,
            admission=admission,
            arrived_at=arrived_at,
            is_probe=is_probe,
        )

    def _admit(self, head: RequestHead) -> Admission | Refusal:
        if self._refuses_new:
            return stopping_refusal(may_have_run=False)
        if self._desired is None:
            return Refusal(
                503,
                ErrorCode.NOT_CURRENT,
                "the desired state is not known yet",
                retry_after_s=RETRY_AFTER_S,
            )
        return admit(head, self._desired)

    def _start_probe(self, head: RequestHead, part_ids: frozenset[str]) -> None:
        """Let a request through and close the gate behind it."""
        log_event(
            logger,
            logging.INFO,
            "quarantine_probe",
            request=head.request_id,
            parts=",".join(sorted(part_ids)),
        )
        self._gate.close(part_ids, self.clock.now())
        quarantine = self.dispatcher.address(QUARANTINE_TASK)
        self.dispatcher.send(self.address, Outgoing(quarantine, ProbeStarted(part_ids)))

    def _end_quarantined(self) -> None:
        """End the running requests whose prompt is now known to crash servers."""
        now = self.clock.now()
        for task in list(self._running):
            gate_decision = self._gate.check(task.request.head.shared_part_ids, now)
            if gate_decision.result is not GateResult.OPEN:
                task.end_quarantined(gate_decision.part_ids)

    def _max_body_bytes(self) -> int:
        limits = self.limits()
        return MAX_BODY_BYTES if limits is None else limits.max_body_bytes

    def _refuse(
        self,
        refusal: Refusal,
        head: RequestHead | None,
        start_response: StartResponse,
        *,
        closing: bool = False,
    ) -> Iterator[bytes]:
        log_event(
            logger,
            logging.INFO,
            "request_refused",
            request=None if head is None else head.request_id,
            target=None if head is None else head.target,
            status=refusal.status,
            code=refusal.code,
            detail=refusal.detail,
            version=None if self._desired is None else self._desired.version,
        )
        item = self._codec.encode_refusal(refusal)
        closing = closing or self._should_close_connections
        return respond_whole(item, start_response, closing=closing)

    def _serve(
        self,
        request: GatewayRequest,
        environ: dict[str, Any],
        start_response: StartResponse,
    ) -> Iterator[bytes]:
        backlog = self.protection.open_answer()
        sink = FrontSink(self._codec, backlog)
        task = RequestTask(request, self._context, sink)
        self._running.add(task)

        def on_disconnect() -> None:
            task.cancel()
            sink.close()

        def on_shed() -> None:
            on_disconnect()
            environ["siskinspool.connection"].end()

        backlog.on_shed(on_shed)
        watch = CallerWatch(environ["siskinspool.socket"], on_disconnect)
        task.start(on_end=lambda: self._running.discard(task))
        try:
            yield from respond(
                sink, start_response, lambda: self._should_close_connections
            )
        finally:
            watch.stop()
            task.cancel()


class _FrontWsgiServer(CallerServer):
    """The WSGI server, with the operator's limits on connections."""

    idle_timeout_s = SOCKET_TIMEOUT_S
    head_timeout_s = HEAD_TIMEOUT_S
    max_header_bytes = MAX_HEADER_BYTES


class _FrontHandler(CallerHandler):
    """Applies the operator's limits on idle connections and on heads."""

    def handle(self) -> None:
        """Serve the requests of one connection."""
        server = self.server
        assert isinstance(server, _FrontWsgiServer)
        self.idle_timeout_s = server.idle_timeout_s
        self.head_timeout_s = server.head_timeout_s
        self.max_header_bytes = server.max_header_bytes
        super().handle()
