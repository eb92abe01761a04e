"""Messages between the tasks of a gateway, and between gateways (`wire`)."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..core.errors import ErrorCode
from ..core.message import Message
from ..links.codec import wire, wire_as
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
    """Choose a server for one send of a request; answered once.

    The answer is `ServerAssigned` or `AssignRefused`; it comes when a server is free,
    at the latest after ``patience_s``.
    """

    request_id: str
    service: str
    # Empty for a plain service.
    model: str
    adapter: str
    parts: tuple[PromptPart, ...]
    # Prompt and output tokens; 0 for a plain service.
    tokens: int
    # The requester's estimate of the output tokens; 0 if it has none.
    output_tokens: int
    # 0 is the most urgent.
    priority: int
    # Servers that declined this request.
    excluded: frozenset[str]
    # Servers that failed it; one of them is asked again if no other can serve it.
    avoided: frozenset[str]
    # The request has reached a server before, so this send draws on the retry budget.
    repeat: bool
    patience_s: float
    # How long the requester can be served if it comes back after a refusal.
    reach_s: float
    # The route, its timeout, and the time that the requester says it has left.
    route: str
    timeout_s: float
    deadline_s: float | None


@attrs.frozen
class ServerAssigned(Message):
    """A server for one send."""

    server_id: str
    host: str
    port: int


@attrs.frozen
class AssignRefused(Message):
    """No server in time."""

    code: ErrorCode
    detail: str
    # When a new attempt makes sense.
    retry_after_s: float


@attrs.frozen
class RequestCancelled(Message):
    """The requester of a waiting request has left."""

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
    # Sent, and no whole answer came.
    LOST = "lost"
    # The requester left, or its time was up.
    CANCELLED = "cancelled"


@attrs.frozen(kw_only=True)
class AttemptEnded(Message):
    """One send has ended."""

    request_id: str
    server_id: str
    result: AttemptResult
    load: ServerLoad | None = None


@attrs.frozen
class FirstEventReceived(Message):
    """The first event of a stream has come: its prompt has been read."""

    request_id: str
    server_id: str


@wire_as("WantModel")
@attrs.frozen
class PlacementRequest(Message):
    """Have a model, or one of its adapters, ready on some server; to the leader."""

    service: str
    model: str
    # Empty if the model itself is wanted.
    adapter: str
    # The server on which the sender would like the adapter; empty for any.
    near_server: str
    # Requests of the sender that wait for it.
    waiting: int = 1
    # Servers that hold it by the registry, but do not answer the sender.
    silent_servers: tuple[str, ...] = ()
    # How long each of the sender's requesters that are still there can be served, in
    # seconds, and the same of those that the leader has not heard of and that ask for
    # the first time.
    reach_s: tuple[float, ...] = ()
    fresh_reach_s: tuple[float, ...] = ()


@wire_as("RequestersSeen")
@attrs.frozen
class RequestersReport(Message):
    """Who of the sender's requesters of a model is still there; to the leader.

    It is sent when that has changed and no `PlacementRequest` tells so.
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
    """A server has been told to unload a model, with its adapters."""

    model: str
    server_id: str


@wire
@attrs.frozen
class ModelExpected(Message):
    """A model will be ready after this time."""

    model: str
    adapter: str
    in_s: float
    # The load is under way, so nothing comes before it any more.
    is_loading: bool = False


@wire_as("DemandSeen")
@attrs.frozen
class DemandReport(Message):
    """What the sender routed since its last report, and what it has under way."""

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
    """A later leader than the recipient is in office, with this epoch number."""

    epoch: int


@wire_as("PeerAsked")
@attrs.frozen
class PeerProbe(Message):
    """Tell the sender that this gateway can be reached; answered by `PeerProbeAnswer`."""


@wire_as("PeerHeard")
@attrs.frozen
class PeerProbeAnswer(Message):
    """Answer to `PeerProbe`."""


@attrs.frozen
class IsolationChanged(Message):
    """Whether this gateway reaches neither the store nor another gateway."""

    isolated: bool


@attrs.frozen
class LeaderChanged(Message):
    """Which instance gives orders to servers; None if unknown."""

    leader_id: str | None


@attrs.frozen
class LeadershipHeld(Message):
    """This instance may give orders with this epoch number from a time on."""

    epoch: int
    # On the instance's clock.
    from_s: float


@attrs.frozen
class LeadershipExtended(Message):
    """Orders may be given until a time on the instance's clock."""

    until_s: float
    # The store does not answer, so there may be a successor.
    is_detached: bool = False


@attrs.frozen
class LeadershipLost(Message):
    """This instance gives no more orders."""

    # The leader that has told so itself; empty if it is not known.
    successor_id: str = ""


@attrs.frozen
class LeadershipFenced(Message):
    """A server has seen a higher epoch number than this instance's."""

    epoch: int


class OrderKind(StrEnum):
    """What a server is told to do."""

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
    # Orders that the server must have accepted before this one.
    expected_count: int
    epoch: int


class OrderResult(StrEnum):
    """What a server said to an order."""

    ACCEPTED = "accepted"
    # What the order asks for holds already.
    HOLDS = "holds"
    # Another order is in progress, or the count of orders differs.
    CONFLICT = "conflict"
    # A higher epoch number has been seen.
    FENCED = "fenced"
    # The server cannot carry it out, or another server has the address.
    INVALID = "invalid"
    # Nothing was sent.
    NOT_SENT = "not_sent"
    # The order may be carried out later.
    UNKNOWN = "unknown"


@attrs.frozen
class OrderEnded(Message):
    """The result of an order."""

    order: ServerOrder
    result: OrderResult


@attrs.frozen
class ReadHoldings(Message):
    """Read a server's report; answered by `HoldingsRead`."""

    server_id: str
    host: str
    port: int


@attrs.frozen
class HoldingsRead(Message):
    """What a server's report says; None if it could not be read."""

    server_id: str
    holdings: Holdings | None


@attrs.frozen
class SpendTokens(Message):
    """Take tokens from a team's cap; answered by `TokensGranted` or refused."""

    team: str
    tokens: int


@attrs.frozen
class TokensGranted(Message):
    """The request is within its team's cap."""

    # "owner", "local" or "uncapped": who decided.
    by: str


@attrs.frozen
class TokensRefused(Message):
    """The request is beyond its team's cap."""

    by: str
    retry_after_s: float


@wire_as("SpendAtOwner")
@attrs.frozen
class SpendAtOwnerRequest(Message):
    """Take tokens at the instance that keeps a team's cap."""

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
