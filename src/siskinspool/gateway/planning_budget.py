"""The bound on the work that a leader spends on plans.

Each choice of a server costs processor time in proportion to the servers that it
prices. Without a bound, a leader with many requests spends all its time on choices: its
orders and the renewals of its session come late, and what it has planned is void before
it is ordered. The unit of work is the pricing of one server, which keeps decisions
independent of clocks.
"""

from __future__ import annotations

from typing import Final

from .token_bucket import TokenBucket

# Work for plans per second, and at once.
WORK_PER_S: Final = 2_000.0
BURST_WORK: Final = 500.0
# Requests that wait are taken up again once this much may be done, so that the leader
# is not woken up for each of them.
RESUME_WORK: Final = 100.0
# Work for a look at the servers without a price, such as for a request whose model has
# a plan: at least this, and more for each server.
MIN_LOOK_WORK: Final = 5.0
LOOK_WORK_PER_SERVER: Final = 1.0 / 32.0


class PlanningBudget:
    """Counts the work for plans; more may be done while it is not overdrawn.

    The work of a choice is known only afterwards, so one choice may overdraw it. Times
    are in seconds.
    """

    def __init__(self) -> None:
        # All work since the start of the process.
        self.work_done = 0.0
        self._bucket = TokenBucket.full(WORK_PER_S, BURST_WORK, 0.0)
        # Work that has not been taken from the bucket.
        self._unpaid = 0.0

    def spend(self, work: float) -> None:
        """Record work, in units of one priced server."""
        self.work_done += work
        self._unpaid += work

    def spend_for_look(self, servers: int) -> None:
        """Record the work for a look at this many servers."""
        self.spend(MIN_LOOK_WORK + servers * LOOK_WORK_PER_SERVER)

    def is_available(self, now: float) -> bool:
        """Return whether more work may be done now."""
        self._pay(now)
        return self._bucket.can_take(1.0, now)

    def resume_in_s(self, now: float) -> float:
        """Return the delay until requests that wait are to be taken up again."""
        self._pay(now)
        return self._bucket.wait_s(RESUME_WORK, now)

    def _pay(self, now: float) -> None:
        self._bucket.try_take(self._unpaid, now, debt=float("inf"))
        self._unpaid = 0.0
