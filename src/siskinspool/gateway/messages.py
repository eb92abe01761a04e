"""Messages between the tasks of a gateway, and between gateways (`wire`, `wire_as`)."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..core.errors import ErrorCode
from ..core.message import Message
from ..links.codec import wire, wire_as
from ..server_signals.observations import Observation, ServerStart
from .request import PromptPart
from .servers import Holdings, ServerLoad

ROUTING_TASK = "routing"
PLACEMENT_TASK = "placement"
ORDERS_TASK = "orders"
CAPS_TASK = "caps"
LEADERSHIP_TASK = "leadership"
MEMBERS_TASK = "members"
ISOLATION_TASK = "isolation"
FRONT_TASK = "front"


@attrs.frozen(kw_only=True)
class AssignServer(Message):
    """Requests a server for one send of a request; answered once.

    The answer is `ServerAssigned` or `AssignRefused`; it arrives when a server is free,
    at the latest after ``max_wait_s``.
    """

    request_id: str
    service: str
    # Empty if the request has no team.
    team: str
    # Empty for a plain service.
    model: str
    adapter: str
    parts: tuple[PromptPart, ...]
    # Prompt and output tokens; 0 for a plain service.
    tokens: int
    # The requester's estimate of the output tokens; 0 if not stated.
    output_tokens: int
    # 0 is the most urgent.
    priority: int
    # Servers that rejected this request.
    excluded: frozenset[str]
    # Servers at which it failed; used again only if no other can serve it.
    avoided: frozenset[str]
    # The request has reached a server before, so this send uses the retry budget.
    repeat: bool
    # How long the request may wait for a server.
    max_wait_s: float
    # How long the requester can be served if it retries after a refusal.
    reach_s: float
    # The version of the servers' software that began the stream; empty for any.
    software_version: str = ""
    # The route, its timeout, and the remaining time that the requester states.
    route: str
    timeout_s: float
    deadline_s: float | None


@attrs.frozen
class ServerAssigned(Message):
    """The server chosen for one send."""

    server_id: str
    host: str
    port: int
    # Start of the server in Unix milliseconds; None if not stated.
    born_ms: int | None = None
    software_version: str = ""

    @property
    def start(self) -> ServerStart:
        """The start of the server that was chosen."""
        return ServerStart(self.server_id, self.born_ms, self.host, self.port)


@attrs.frozen
class AssignRefused(Message):
    """No server was available in time."""

    code: ErrorCode
    detail: str
    # When a new attempt may succeed.
    retry_after_s: float


@attrs.frozen
class RequestCancelled(Message):
    """The requester of a waiting request has disconnected."""

    request_id: str


class AttemptResult(StrEnum):
    """How one send to a server ended."""

    ANSWERED = "answered"
    # The server ran the request and reports a failure of its own.
    FAILED = "failed"
    # The server did not run the request.
    REJECTED = "rejected"
    # The server does not hold the model.
    MODEL_MISSING = "model_missing"
    # Another server has the address.
    WRONG_SERVER = "wrong_server"
    # No connection; nothing was sent.
    NOT_SENT = "not_sent"
    # No connection, as this gateway has lost its paths to all servers.
    ISOLATED = "isolated"
    # Sent, but no complete answer arrived.
    LOST = "lost"
    # The requester disconnected, or its deadline passed.
    CANCELLED = "cancelled"


@attrs.frozen(kw_only=True)
class AttemptEnded(Message):
    """One send has ended."""

    request_id: str
    server_id: str
    result: AttemptResult
    load: ServerLoad | None = None
    # Whole events of the answer; 0 if it is not a stream.
    event_count: int = 0
    # What the answer states; see `AnswerHeadReceived`, which has reported it before.
    is_leaving: bool = False
    retry_after_s: float | None = None
    # Rejections a second that the server bears; None if it has stated no limit.
    max_rejections_per_s: int | None = None

    @property
    def has_signal(self) -> bool:
        """Return whether the server asks for no further request."""
        return self.is_leaving or self.retry_after_s is not None


@attrs.frozen
class AnswerHeadReceived(Message):
    """The head of an answer has arrived; a stream may go on for long after it."""

    # Empty for an order or a report.
    request_id: str
    observation: Observation
    # Rejections a second that the server bears; None if it has stated no limit.
    max_rejections_per_s: int | None = None


@attrs.frozen
class ServerBlocked(Message):
    """A server has stated that it wants no orders and no reads of its report."""

    start: ServerStart
    # On the instance's clock; infinity if it is leaving.
    until: float


@attrs.frozen
class FirstEventReceived(Message):
    """The first event of a stream has arrived: its prompt has been processed."""

    request_id: str
    server_id: str
    # The load in the head of the answer.
    load: ServerLoad | None = None


@wire_as("WantModel")
@attrs.frozen
class PlacementRequest(Message):
    """Requests that the leader make a model or an adapter ready on some server."""

    service: str
    model: str
    # Empty for the base model.
    adapter: str
    # The server on which the sender prefers the adapter; empty for any.
    near_server: str
    # Number of the sender's requests that wait for it.
    waiting: int = 1
    # Servers that hold it according to the registry, but do not answer the sender.
    silent_servers: tuple[str, ...] = ()
    # How long each of the sender's pending requesters can be served, in seconds, and
    # the same for those on their first attempt that have not been reported to the
    # leader.
    reach_s: tuple[float, ...] = ()
    fresh_reach_s: tuple[float, ...] = ()


@wire_as("RequestersSeen")
@attrs.frozen
class RequestersReport(Message):
    """Reports the sender's pending requesters of a model to the leader.

    It is sent when they have changed and no `PlacementRequest` includes the change.
    """

    service: str
    model: str
    adapter: str
    reach_s: tuple[float, ...]


@wire
@attrs.frozen
class ModelReady(Message):
    """A server holds a model and, if named, an adapter of it."""

    model: str
    adapter: str
    server_id: str


@wire
@attrs.frozen
class ModelUnloading(Message):
    """A server has been ordered to unload a model, with its adapters."""

    model: str
    server_id: str


@wire
@attrs.frozen
class ModelExpected(Message):
    """A model is expected to be ready after this time."""

    model: str
    adapter: str
    in_s: float
    # The load is in flight, so no other load can delay it.
    is_loading: bool = False


@wire_as("DemandSeen")
@attrs.frozen
class DemandReport(Message):
    """The sender's demand since its last report, and its in-flight requests."""

    service: str
    # Prompt tokens by model or adapter.
    tokens_by_target: dict[str, float]
    # Models and adapters that the sender's requests use now, by server, with the
    # seconds until the last of these requests is expected to end.
    runs_by_server: dict[str, dict[str, float]] = attrs.field(factory=dict)
    # Requesters by model, each counted once.
    requesters_by_model: dict[str, float] = attrs.field(factory=dict)


@wire
@attrs.frozen
class LeaderSucceeded(Message):
    """A later leader than the recipient has begun its term, with this epoch number."""

    epoch: int


@wire_as("PeerAsked")
@attrs.frozen
class PeerProbe(Message):
    """Checks that a gateway can be reached; answered by `PeerProbeAnswer`."""


@wire_as("PeerHeard")
@attrs.frozen
class PeerProbeAnswer(Message):
    """Answer to `PeerProbe`."""


@attrs.frozen
class IsolationChanged(Message):
    """Whether this gateway can reach neither the store nor most other gateways."""

    isolated: bool


@attrs.frozen
class LeaderChanged(Message):
    """Which instance gives orders to servers; None if unknown."""

    leader_id: str | None


@attrs.frozen
class LeadershipHeld(Message):
    """This instance may give orders with this epoch number from a given time on."""

    epoch: int
    # On the instance's clock.
    from_s: float


@attrs.frozen
class LeadershipExtended(Message):
    """Orders may be given until the given time on the instance's clock."""

    until_s: float
    # The store does not answer, so there may already be a successor.
    is_detached: bool = False


@attrs.frozen
class LeadershipLost(Message):
    """This instance may give no more orders."""

    # The new leader, if it has announced itself; empty if unknown.
    successor_id: str = ""


@attrs.frozen
class LeadershipFenced(Message):
    """A server has seen a higher epoch number than this instance's."""

    epoch: int


class OrderKind(StrEnum):
    """The kind of an order to a server."""

    LOAD = "load"
    UNLOAD = "unload"


@attrs.frozen(kw_only=True)
class ServerOrder(Message):
    """An order to a server; answered by `OrderEnded`."""

    server_id: str
    host: str
    port: int
    kind: OrderKind
    model: str
    # Empty for the model itself.
    adapter: str
    # Number of orders that the server must have accepted before this one.
    expected_count: int
    epoch: int
    # The order must not be sent later, in seconds on the instance's clock: by then a
    # successor may give orders.
    until_s: float
    # Start of the server in Unix milliseconds; None if not stated.
    born_ms: int | None = None

    @property
    def start(self) -> ServerStart:
        """The start of the server that gets the order."""
        return ServerStart(self.server_id, self.born_ms, self.host, self.port)


class OrderResult(StrEnum):
    """A server's answer to an order."""

    ACCEPTED = "accepted"
    # The server is already in the state that the order requires.
    HOLDS = "holds"
    # Another order is in progress, or the number of accepted orders differs.
    CONFLICT = "conflict"
    # The server has seen a higher epoch number.
    FENCED = "fenced"
    # The server cannot carry it out, or another server has the address.
    INVALID = "invalid"
    # There was no connection to the server.
    NOT_SENT = "not_sent"
    # The permission to send it had ended, since this instance was late.
    WITHHELD = "withheld"
    # No usable answer; the order may still be carried out.
    UNKNOWN = "unknown"


@attrs.frozen
class OrderEnded(Message):
    """The result of an order."""

    order: ServerOrder
    result: OrderResult


@attrs.frozen
class ReadHoldings(Message):
    """Reads a server's report; answered by `HoldingsRead`."""

    server_id: str
    host: str
    port: int
    # Start of the server in Unix milliseconds; None if not stated.
    born_ms: int | None = None

    @property
    def start(self) -> ServerStart:
        """The start of the server that is asked."""
        return ServerStart(self.server_id, self.born_ms, self.host, self.port)


@attrs.frozen
class HoldingsRead(Message):
    """The holdings in a server's report; None if it could not be read."""

    server_id: str
    holdings: Holdings | None


@attrs.frozen
class SpendTokens(Message):
    """Requests to spend tokens of a team's cap.

    Answered by `TokensGranted` or `TokensRefused`.
    """

    team: str
    tokens: int


@attrs.frozen
class TokensGranted(Message):
    """The tokens were spent; the request is within its team's cap."""

    # What decided: "owner", "local" or "uncapped".
    by: str


@attrs.frozen
class TokensRefused(Message):
    """The request is beyond its team's cap."""

    by: str
    retry_after_s: float


@wire_as("SpendAtOwner")
@attrs.frozen
class SpendAtOwnerRequest(Message):
    """Requests tokens of a cap from its owner; answered by `SpendAtOwnerAnswer`."""

    number: int
    team: str
    tokens: int


@wire_as("SpentAtOwner")
@attrs.frozen
class SpendAtOwnerAnswer(Message):
    """Answer to `SpendAtOwnerRequest`."""

    number: int
    granted: bool
    retry_after_s: float
