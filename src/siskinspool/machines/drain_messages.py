"""Messages of a planned stop (R12)."""

from __future__ import annotations

import attrs

from ..core.message import Message


@attrs.frozen
class StartDrain(Message):
    """Stop this instance gracefully; answered by `Drained`."""

    # Longest time in which an accepted request is answered or refused.
    longest_deadline_s: float


@attrs.frozen
class DrainStarted(Message):
    """Report not ready from now on."""


@attrs.frozen
class HandOverWaitingRequests(Message):
    """Give waiting work back, so that other instances take it; refuse new work.

    The front end answers with `RunningCallCount` once it accepts no more calls.
    """


@attrs.frozen
class RunningCallCount(Message):
    """How many accepted calls are not finished; sent at every change while draining."""

    count: int


@attrs.frozen
class ReturnShares(Message):
    """Return all shares of team limits."""


@attrs.frozen
class Drained(Message):
    """The process may exit."""

    # Calls that were not finished when the time was up; 0 for a graceful stop.
    unfinished: int
