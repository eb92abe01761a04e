"""Messages between request handlers and the routing decision."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..core.errors import ErrorCode
from ..core.message import Message
from ..links.codec import wire
from ..manifest.model import RequestClass


class CallResult(StrEnum):
    """How a dispatched call ended."""

    OK = "ok"
    # The connection could not be opened: the server certainly did not run the call.
    FAILED_BEFORE_SEND = "failed_before_send"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class RouteCall(Message):
    """Ask for a server; answered once by `CallDispatched` or `CallRefused`."""

    # Unique among the calls of this instance.
    call_id: str
    team: str
    # Id of a model, an adapter, or a route of plain services.
    target: str
    request_class: RequestClass
    deadline_in_s: float
    # Chained block hashes of the prompt (`siskinspool.links.prefix`).
    prefix_hashes: tuple[int, ...] = ()
    idempotent: bool = True
    # Servers that an earlier attempt of the same request has tried.
    excluded_server_ids: frozenset[str] = frozenset()


@attrs.frozen
class CallDispatched(Message):
    """The call may be sent to this server; its concurrency is taken."""

    call_id: str
    # Id of a server or of a plain service.
    server_id: str
    host: str
    port: int
    # Empty for a plain service.
    boot_id: str


@attrs.frozen
class CallRefused(Message):
    """The call gets no server and was not run."""

    call_id: str
    code: ErrorCode
    detail: str
    retry_after_s: float | None = None


@attrs.frozen
class CallEnded(Message):
    """A dispatched call ended; frees its concurrency."""

    call_id: str
    result: CallResult
    # Seconds from dispatch to the first token; None if there was none.
    first_token_s: float | None = None


@attrs.frozen
class CallCancelled(Message):
    """The caller has gone; a waiting call is forgotten without an answer."""

    call_id: str


@wire
@attrs.frozen
class PrefixHint(Message):
    """A server holds the KV cache of a prompt prefix; late and with gaps."""

    server_id: str
    prefix_hash: int
    # Seconds since the server published the event.
    age_s: float
