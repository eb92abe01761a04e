"""A placement plan: the target that a server is to load, and how it gets there."""

from __future__ import annotations

from typing import Final

import attrs

# A plan that no gateway has requested for this long is dropped. Waiting requests repeat
# their placement request at least once a second.
PLAN_TTL_S: Final = 3.0
# A plan is kept this long after its estimated ready time, since a refused requester
# retries at that time or later.
ESTIMATE_TTL_S: Final = 2.0


@attrs.define
class PlacementPlan:
    """A plan to load a model or adapter on a server."""

    model: str
    # Empty if the target is the model itself.
    adapter: str
    # Number of requests that wait for the target, by gateway.
    waiting_by_gateway: dict[str, int] = attrs.field(factory=dict)
    # When the target was last requested; infinite for a preload.
    requested_at: float = float("inf")
    # The latest ready time that was reported to a gateway.
    estimated_ready_at: float = float("-inf")
    # Models that the plan unloads to make room, and their eviction cost at planning
    # time.
    eviction_candidates: tuple[str, ...] = ()
    eviction_cost_s: float = 0.0
    planned_at: float = float("-inf")
    # When the plan was last compared with plans on other servers.
    compared_at: float = float("-inf")
    # Whether an order has been given for the plan, such as an unload to make room.
    is_started: bool = False

    def record_request(self, gateway: str, waiting: int, now: float) -> None:
        """Record the waiting requests of a gateway; the plan is no longer a preload."""
        self.waiting_by_gateway[gateway] = waiting
        self.requested_at = now

    @property
    def is_preload(self) -> bool:
        """Return whether the leader planned this without a placement request."""
        return self.requested_at == float("inf")

    def is_stale(self, now: float) -> bool:
        """Return whether no request waits for the target any more.

        A refused requester that was given an estimate may still retry.
        """
        return now > max(
            self.requested_at + PLAN_TTL_S, self.estimated_ready_at + ESTIMATE_TTL_S
        )

    @property
    def waiting_requests(self) -> int:
        """Return the number of requests that wait for the target."""
        return sum(self.waiting_by_gateway.values())
