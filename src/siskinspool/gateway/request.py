"""The heads of requests and answers, decoded from a platform's headers."""

from __future__ import annotations

from typing import Final

import attrs

from ..server_signals.observations import Observation, ServerStart, observation
from .servers import ServerLoad

EVENT_STREAM: Final = "text/event-stream"
# Parts of one request that are considered as shared; further ones are ignored.
MAX_SHARED_PARTS: Final = 32


@attrs.frozen
class PromptPart:
    """A part of a prompt; requests with the same part id share its text."""

    part_id: str
    tokens: int


@attrs.frozen(kw_only=True)
class RequestHead:
    """All of a request except its body."""

    # Identifies one attempt of a requester.
    request_id: str
    method: str
    # Path and query as sent.
    target: str
    host: str
    # Empty if the request has no key.
    key: str = attrs.field(repr=False)
    # How long the requester waits, from the head's arrival; None if not stated.
    deadline_s: float | None
    # Empty for a plain service.
    model: str
    # Empty for the base model.
    adapter: str
    # Prompt tokens plus the maximum of output tokens; None if not stated.
    tokens: int | None
    # The requester's estimate of the output tokens, often far off; 0 if not stated.
    output_tokens: int
    parts: tuple[PromptPart, ...]
    # Empty if the requester has received no event of the stream yet.
    last_event_id: str
    # All headers as received, by name in lower case.
    headers: dict[str, str] = attrs.field(repr=False)
    # Id of the attempt that began the stream; empty if the request begins one.
    resumed_id: str = ""

    @property
    def stream_id(self) -> str:
        """The id of the attempt that began the stream, if the request takes one up."""
        return (self.last_event_id and self.resumed_id) or self.request_id

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """The ids of the parts that other requests may have, too.

        The last part belongs to the request or its session alone.
        """
        return tuple(part.part_id for part in self.parts[:-1])[:MAX_SHARED_PARTS]

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen(kw_only=True)
class SendPlan:
    """What the system adds to a request when it is sent to a server."""

    server_id: str
    remaining_s: float
    priority: int
    # Empty on a public route.
    team: str
    last_event_id: str
    # Where no keys are in use, `Authorization` passes through to the server.
    keeps_authorization: bool


@attrs.frozen(kw_only=True)
class AnswerHead:
    """All of a server's answer except its body."""

    status: int
    # Id of the request that is answered.
    request_id: str
    # The server states that it did not run the request.
    not_run: bool
    # Another server has the address, or the server does not hold the model.
    is_misdirected: bool
    # The server that answers; empty if not stated.
    server_id: str
    # Media type of the body in lower case; empty if not stated.
    content_type: str
    # The body has a content encoding, which no requester accepts.
    is_encoded: bool
    load: ServerLoad | None
    # The server is leaving and wants no new request.
    is_leaving: bool = False
    # How long the server wants no request; None if it has stated no pause.
    retry_after_s: float | None = None
    # Rejections a second that the server bears; None if it has stated no limit.
    max_rejections_per_s: int | None = None

    def for_server(self, server_id: str) -> AnswerHead:
        """Return the head without the signals of another server at the address."""
        if self.server_id in ("", server_id):
            return self
        return attrs.evolve(
            self, is_leaving=False, retry_after_s=None, max_rejections_per_s=None
        )

    @property
    def has_signal(self) -> bool:
        """Return whether the server asks for no further request."""
        return self.is_leaving or self.retry_after_s is not None

    def observation(self, server: ServerStart, at: float) -> Observation | None:
        """Return what the answer states of the server that was asked.

        None if another server has the address: its signals are its own. None also for
        a rejection without a signal, which does not show that the server is free.
        """
        if self.server_id not in ("", server.server_id):
            return None
        if self.not_run and not self.has_signal:
            return None
        return observation(
            server, at, is_leaving=self.is_leaving, retry_after_s=self.retry_after_s
        )

    @property
    def is_event_stream(self) -> bool:
        """Return whether the body is an event stream, as far as the server states."""
        return self.status < 300 and self.content_type in ("", EVENT_STREAM)
