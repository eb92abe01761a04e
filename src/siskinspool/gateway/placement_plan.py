"""A model or adapter that a server is to hold, with the plan to get there."""

from __future__ import annotations

from typing import Final

import attrs

# A goal that nobody has asked for during this time is dropped. Waiting requests ask
# once a second or more often.
PLAN_TTL_S: Final = 3.0
# A refused request comes back at the promised time or later.
ESTIMATE_TTL_S: Final = 2.0


@attrs.define
class PlacementPlan:
    """A model or adapter that a server is to hold."""

    model: str
    # Empty for the model itself.
    adapter: str
    # Requests that wait for it, by instance.
    waiting_by_gateway: dict[str, int] = attrs.field(factory=dict)
    # When it was last asked for; infinite for what the leader wants itself.
    requested_at: float = float("inf")
    # When an asker was last told that it would be reached.
    estimated_ready_at: float = float("-inf")
    # Models that the plan unloads to make room, and what that was worth then.
    eviction_candidates: tuple[str, ...] = ()
    eviction_cost_s: float = 0.0
    planned_at: float = float("-inf")
    # When it was last compared with other places.
    compared_at: float = float("-inf")
    # Something has been unloaded for it.
    is_started: bool = False

    def record_request(self, asker: str, waiting: int, now: float) -> None:
        """Record that an instance waits for it, also for what the leader wants."""
        self.waiting_by_gateway[asker] = waiting
        self.requested_at = now

    @property
    def is_preload(self) -> bool:
        """Return whether the leader wants it without a request."""
        return self.requested_at == float("inf")

    def is_stale(self, now: float) -> bool:
        """Return whether nobody waits for it any more.

        A request that was told when to come back may return for it.
        """
        return now > max(
            self.requested_at + PLAN_TTL_S, self.estimated_ready_at + ESTIMATE_TTL_S
        )

    @property
    def waiting_requests(self) -> int:
        """Return how many requests wait for it."""
        return sum(self.waiting_by_gateway.values())
