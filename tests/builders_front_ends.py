"""Runs either front end in one process, with requests sent to given servers.

`GatewayFrontEnd` runs the platform's `RequestTask`, `ProductFrontEnd` the product's own
`CallTask`. The tasks for claims and routing are stubs that grant every claim and assign
the given servers in turn, so that a test can check how answers are handled.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

import attrs
import gevent

from siskinspool.contracts.call import Call
from siskinspool.contracts.claim_messages import (
    ClaimCall,
    ClaimGranted,
    ClaimRecorded,
    FinishClaim,
)
from siskinspool.contracts.retry_budget import RetryBudget
from siskinspool.core.clock import Clock, MonotonicClock
from siskinspool.core.decision import Decision
from siskinspool.core.dispatcher import Dispatcher, Inbox
from siskinspool.core.errors import ErrorCode
from siskinspool.core.message import Incoming, Message, Outgoing
from siskinspool.gateway.admission import Admission
from siskinspool.gateway.desired_state import Route, RouteKind
from siskinspool.gateway.front_task import FrontSink
from siskinspool.gateway.gateway_metrics import GatewayMetrics
from siskinspool.gateway.messages import (
    ROUTING_TASK,
    AssignRefused,
    AssignServer,
    ServerAssigned,
)
from siskinspool.gateway.request_context import GatewayRequest, RequestContext
from siskinspool.gateway.request_task import RequestTask
from siskinspool.gateway.stream_origins import StreamOrigins
from siskinspool.links.call_task import CallContext, CallTask
from siskinspool.links.caller import CallerSink, CutStreamError, respond
from siskinspool.links.server_link import HttpServerLink, ServerLink
from siskinspool.machines.routing_messages import (
    CallDispatched,
    CallRefused,
    RouteCall,
)
from siskinspool.manifest.model import RequestClass
from siskinspool.platform.front_codec import PlatformFrontCodec
from siskinspool.streams.stream_messages import STREAMS_TASK

from .builders_gateway import head, route
from .builders_relay import Relay, SentToPeers, link_around

# A test that waits for longer is considered hung.
TIMEOUT_S = 5.0
# Stands for a server in a test: the routing task never replies.
NO_REPLY = -1


@attrs.define
class ReceivedAnswer:
    """The answer that a client received."""

    status: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""
    # False if the connection was closed before the end of the body.
    is_whole: bool = False


class _ServerAssignmentStub(Inbox):
    """Assigns the servers of a test in turn."""

    def __init__(self, dispatcher: Dispatcher, task: str, ports: list[int]) -> None:
        self._dispatcher = dispatcher
        self._task = task
        self._ports = ports
        dispatcher.register(task, self)

    def post(self, incoming: Incoming) -> bool:
        """Reply to a request for a server."""
        port = self._ports.pop(0) if self._needs_server(incoming.message) else None
        if port == NO_REPLY:
            return True
        reply = self._reply(incoming.message, port)
        if reply is not None:
            sender = self._dispatcher.address(self._task)
            self._dispatcher.send(sender, Outgoing(incoming.sender, reply))
        return True

    def _needs_server(self, message: Message) -> bool:
        return isinstance(message, AssignServer | RouteCall) and bool(self._ports)

    @staticmethod
    def _reply(message: Message, port: int | None) -> Message | None:
        match message:
            case AssignServer() if port is None:
                return AssignRefused(ErrorCode.NO_SERVER, "no further server", 0.1)
            case AssignServer():
                return ServerAssigned(
                    f"s{port}", "127.0.0.1", port or 0, software_version="v1"
                )
            case RouteCall(call_id=call_id) if port is None:
                return CallRefused(call_id, ErrorCode.NO_SERVER, "no server", 0.1)
            case RouteCall(call_id=call_id):
                return CallDispatched(call_id, f"s{port}", "127.0.0.1", port or 0, "b")
        return None


class _DecisionInbox(Inbox):
    """Runs a decision without a task of its own."""

    def __init__(
        self, dispatcher: Dispatcher, task: str, decision: Decision, clock: Clock
    ) -> None:
        self._dispatcher, self._task = dispatcher, task
        self._decision, self._clock = decision, clock
        dispatcher.register(task, self)

    def post(self, incoming: Incoming) -> bool:
        """Let the decision handle a message."""
        sender = self._dispatcher.address(self._task)
        for outgoing in self._decision.handle(incoming, self._clock.now()):
            self._dispatcher.send(sender, outgoing)
        return True


class _ClaimsStub(Inbox):
    """Grants every claim and stores the recorded outcomes."""

    def __init__(self, dispatcher: Dispatcher, finished: list[FinishClaim]) -> None:
        self._dispatcher = dispatcher
        self._finished = finished
        dispatcher.register("claims", self)

    def post(self, incoming: Incoming) -> bool:
        """Grant a claim, or store an outcome."""
        message = incoming.message
        reply: Message | None = None
        if isinstance(message, ClaimCall):
            reply = ClaimGranted(message.token)
        if isinstance(message, FinishClaim):
            self._finished.append(message)
            reply = ClaimRecorded(message.token)
        if reply is not None:
            sender = self._dispatcher.address("claims")
            self._dispatcher.send(sender, Outgoing(incoming.sender, reply))
        return True


@attrs.frozen
class TaskFault:
    """An error that ends the greenlet of a request from outside."""

    error: BaseException
    # Seconds after the start; with 0 the greenlet has not run yet.
    after_s: float


class FrontEnd(ABC):
    """A front end that sends requests to the servers of a test."""

    # Injected into the next requests.
    fault: TaskFault | None = None
    # Other instances through which servers without a direct path are reached.
    relays: tuple[Relay, ...] = ()

    def __init__(self) -> None:
        """Keep the messages to other instances."""
        self.peers = SentToPeers()

    def make_link(self, direct: HttpServerLink, dispatcher: Dispatcher) -> ServerLink:
        """Return the link to servers, as an instance assembles it."""
        dispatcher.attach_peer_transport(self.peers)
        return link_around(direct, dispatcher, *self.relays)[0]

    def inject_fault(self, task: RequestTask | CallTask) -> None:
        """End the greenlet of a task that has just been started, if a fault is set."""
        greenlet, fault = task._greenlet, self.fault
        assert greenlet is not None
        if fault is None:
            return
        if not fault.after_s:
            greenlet.kill(fault.error, block=False)
            return
        gevent.spawn_later(fault.after_s, greenlet.kill, fault.error, block=False)

    @abstractmethod
    def send(
        self,
        *ports: int,
        is_repeatable: bool = False,
        events: bool = False,
        body: bytes = b"sheet",
    ) -> ReceivedAnswer:
        """Send a request; its attempts go to servers on these ports, in order."""


class GatewayFrontEnd(FrontEnd):
    """The platform's front end."""

    def send(
        self,
        *ports: int,
        is_repeatable: bool = False,
        events: bool = False,
        body: bytes = b"sheet",
    ) -> ReceivedAnswer:
        """Send a request; its attempts go to servers on these ports, in order."""
        dispatcher, clock = Dispatcher("g1"), MonotonicClock()
        _ServerAssignmentStub(dispatcher, ROUTING_TASK, list(ports))
        origins = StreamOrigins("g1", True, clock.now())
        _DecisionInbox(dispatcher, STREAMS_TASK, origins, clock)
        codec = PlatformFrontCodec()
        context = RequestContext(
            dispatcher=dispatcher,
            clock=clock,
            link=self.make_link(HttpServerLink(ends_by_close=True), dispatcher),
            codec=codec,
            metrics=GatewayMetrics(),
        )
        admission = Admission(
            route=_route(is_repeatable, events, len(ports)),
            service="writers",
            team="",
            tokens=0,
            priority=1,
            keeps_authorization=False,
        )
        request = GatewayRequest(
            head=head(), body=body, admission=admission, arrived_at=clock.now()
        )
        sink = FrontSink(codec)
        task = RequestTask(request, context, sink)
        task.start(on_end=lambda: None)
        self.inject_fault(task)
        return _receive(sink)


class ProductFrontEnd(FrontEnd):
    """The product's own front end."""

    def __init__(self, idempotency_key: str = "") -> None:
        """Set the idempotency key of each call; empty for none."""
        super().__init__()
        self._idempotency_key = idempotency_key
        # The outcomes recorded for later calls with the key.
        self.finished: list[FinishClaim] = []

    def send(
        self,
        *ports: int,
        is_repeatable: bool = False,
        events: bool = False,
        body: bytes = b"sheet",
    ) -> ReceivedAnswer:
        """Send a request; its attempts go to servers on these ports, in order."""
        dispatcher, clock = Dispatcher("i1"), MonotonicClock()
        _ServerAssignmentStub(dispatcher, "routing", list(ports))
        _ClaimsStub(dispatcher, self.finished)
        context = CallContext(
            dispatcher=dispatcher,
            clock=clock,
            link=self.make_link(HttpServerLink(), dispatcher),
            retry_budget=RetryBudget(),
        )
        sink = CallerSink()
        call = _call(clock, is_repeatable, events, self._idempotency_key, body)
        task = CallTask(call, context, sink)
        task.start()
        self.inject_fault(task)
        return _receive(sink)


def _receive(sink: CallerSink) -> ReceivedAnswer:
    """Read an answer as the greenlet of a client's connection does."""
    received = ReceivedAnswer()

    def start(status: str, headers: list[tuple[str, str]]) -> None:
        received.status = int(status.split()[0])
        received.headers = {name.lower(): text for name, text in headers}

    with gevent.Timeout(TIMEOUT_S):
        try:
            for part in respond(sink, start):
                received.body += part
            received.is_whole = True
        except CutStreamError:
            received.is_whole = False
    return received


def _route(is_repeatable: bool, events: bool, max_attempts: int) -> Route:
    if events:
        return route(resumable=is_repeatable, max_attempts=max_attempts)
    kind = RouteKind.SAFE if is_repeatable else RouteKind.UNSAFE
    return route(
        kind=kind, resumable=False, gap_target_s=None, max_attempts=max_attempts
    )


def _call(
    clock: Clock, is_repeatable: bool, events: bool, key: str, body: bytes
) -> Call:
    return Call(
        id="c1",
        team="",
        key_id="",
        target="quote",
        model="quote",
        route=None,
        request_class=RequestClass.URGENT,
        deadline_at=clock.now() + TIMEOUT_S,
        is_idempotent=is_repeatable,
        idempotency_key=key,
        estimate_tokens=0,
        is_streamed=events,
        method="POST",
        uri="/v1/chat/completions",
        headers={},
        body=body,
    )
