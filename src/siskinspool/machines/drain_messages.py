"""Messages of a planned stop (R12)."""

from __future__ import annotations

import attrs

from ..core.message import Message


@attrs.frozen
class StartDrain(Message):
    """Starts a planned stop of this instance; answered by `Drained`."""

    # Longest time until an accepted request is answered or refused.
    longest_deadline_s: float


@attrs.frozen
class DrainStarted(Message):
    """Asks the front end to report this instance as not ready from now on."""


@attrs.frozen
class HandOverWaitingRequests(Message):
    """Asks for waiting work to be returned for other instances and new work refused.

    The front end answers with `RunningCallCount` once it accepts no more calls.
    """


@attrs.frozen
class RunningCallCount(Message):
    """Number of accepted calls that are not finished.

    Sent at every change while the instance drains.
    """

    count: int


@attrs.frozen
class ReturnShares(Message):
    """Asks for the return of all shares of team limits."""


@attrs.frozen
class Drained(Message):
    """Reports the end of the drain; the process may exit."""

    # Calls that were not finished at the timeout; 0 for a graceful stop.
    unfinished: int
