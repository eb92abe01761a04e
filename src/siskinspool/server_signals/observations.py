"""What servers state about themselves in the heads of their answers."""

from __future__ import annotations

import attrs

from ..core.message import Message


@attrs.frozen(cache_hash=True)
class ServerStart:
    """One start of a server at one address.

    A restart under the same id, or a move to another address, is another start.
    """

    server_id: str
    # In Unix milliseconds; None if not stated.
    born_ms: int | None
    host: str
    port: int
    # Id of the start where servers state one; empty elsewhere.
    boot_id: str = ""

    @property
    def is_named(self) -> bool:
        """Whether another start of the server has another name."""
        return self.born_ms is not None or self.boot_id != ""


@attrs.frozen
class LeavingStated(Message):
    """A server states that it is leaving and wants no new request."""

    start: ServerStart
    # Arrival of the answer's head, on the instance's clock.
    at: float


@attrs.frozen
class PauseStated(Message):
    """A server states with 503 that it wants no request for a time."""

    start: ServerStart
    # Arrival of the answer's head, on the instance's clock.
    at: float
    retry_after_s: float


@attrs.frozen
class AnswerStarted(Message):
    """The head of an answer that states neither has arrived."""

    start: ServerStart
    # Arrival of the answer's head, on the instance's clock.
    at: float


Observation = LeavingStated | PauseStated | AnswerStarted


def observation(
    start: ServerStart, at: float, *, is_leaving: bool, retry_after_s: float | None
) -> Observation:
    """Return what an answer's head states.

    A server that is leaving gets no request after a pause either, so its pause is not
    considered.
    """
    if is_leaving:
        return LeavingStated(start, at)
    if retry_after_s is not None:
        return PauseStated(start, at, retry_after_s)
    return AnswerStarted(start, at)
