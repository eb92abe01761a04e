"""Messages between request handlers and the routing decision."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..core.errors import ErrorCode
from ..core.message import Message
from ..links.codec import wire
from ..manifest.model import RequestClass
from ..server_signals.observations import Observation, ServerStart


class CallResult(StrEnum):
    """Result of a dispatched call."""

    OK = "ok"
    # The connection could not be opened, so the server did not run the call.
    FAILED_BEFORE_SEND = "failed_before_send"
    FAILED = "failed"
    CANCELLED = "cancelled"


@attrs.frozen
class RouteCall(Message):
    """Requests a server; answered once by `CallDispatched` or `CallRefused`."""

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
    # Servers tried by earlier attempts of the same request.
    excluded_server_ids: frozenset[str] = frozenset()


@attrs.frozen
class CallDispatched(Message):
    """Assigns a server to a call and reserves its concurrency."""

    call_id: str
    # Id of a server or of a plain service.
    server_id: str
    host: str
    port: int
    # Empty for a plain service.
    boot_id: str

    @property
    def start(self) -> ServerStart:
        """The start of the server that was chosen."""
        return ServerStart(self.server_id, None, self.host, self.port, self.boot_id)


@attrs.frozen
class CallRefused(Message):
    """Reports that a call gets no server; it was not run."""

    call_id: str
    code: ErrorCode
    detail: str
    retry_after_s: float | None = None


@attrs.frozen
class CallAnswered(Message):
    """Reports what the head of a server's answer states, as it arrives."""

    observation: Observation


@attrs.frozen
class CallEnded(Message):
    """Reports the end of a dispatched call and frees its concurrency."""

    call_id: str
    result: CallResult
    # Seconds from dispatch to the first token; None if there was none.
    first_token_s: float | None = None


@attrs.frozen
class CallCancelled(Message):
    """Reports that the caller has disconnected.

    A waiting call is removed without an answer.
    """

    call_id: str


@wire
@attrs.frozen
class PrefixHint(Message):
    """Reports that a server holds the KV cache of a prompt prefix.

    Hints arrive late, and some are missing.
    """

    server_id: str
    prefix_hash: int
    # Seconds since the server published the event.
    age_s: float
