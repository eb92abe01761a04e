"""A requester's request, and what is known when it is sent to a server."""

from __future__ import annotations

from typing import Final

import attrs

from .servers import ServerLoad

EVENT_STREAM: Final = "text/event-stream"


@attrs.frozen
class PromptPart:
    """A part of a prompt; requests with equal ids share it."""

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class RequestHead:
    """All of a request but its body."""

    # One attempt of a requester.
    request_id: str
    method: str
    # Path and query as they were sent.
    target: str
    host: str
    # Empty if the request has no key.
    key: str = attrs.field(repr=False)
    # How long the requester waits, from the head's arrival; None if it does not say.
    deadline_s: float | None
    # Empty for a plain service.
    model: str
    # Empty if the model itself is wanted.
    adapter: str
    # Prompt tokens plus the most output tokens; None if not said.
    tokens: int | None
    # The requester's estimate of the output tokens, often far off; 0 if it has none.
    output_tokens: int
    parts: tuple[PromptPart, ...]
    # Empty if the requester has no event of the stream yet.
    last_event_id: str
    # All headers as received, by name in lower case.
    headers: dict[str, str] = attrs.field(repr=False)

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen(kw_only=True)
class SendPlan:
    """What the system adds to a request for one server."""

    server_id: str
    remaining_s: float
    priority: int
    # Empty on a public route.
    team: str
    last_event_id: str
    # Where no keys are in use, `Authorization` is the server's own matter.
    keeps_authorization: bool


@attrs.frozen(kw_only=True)
class AnswerHead:
    """What a server says about its answer, apart from the body."""

    status: int
    # The request that is answered.
    request_id: str
    # The server states that it did not run the request.
    not_run: bool
    # Another server has the address, or the model is not there.
    is_misdirected: bool
    # The server that answers; empty if it does not say.
    server_id: str
    # Media type of the body in lower case; empty if the server does not say.
    content_type: str
    # The body has a content encoding, which no requester asked for.
    is_encoded: bool
    load: ServerLoad | None

    @property
    def is_event_stream(self) -> bool:
        """Return whether the body is a series of events, as far as the server says."""
        return self.status < 300 and self.content_type in ("", EVENT_STREAM)
