"""Estimates when a waiting call reaches a server, for early refusal (R3).

The estimate is the remaining time of the planned load plus the queue behind it, or the
queue alone if a replica is loaded. Unknown terms count as zero, so that no call is
refused without evidence: before the placement owner has answered, and before the
duration of any call has been measured.
"""

from __future__ import annotations

from .call_targets import ReplicaTarget, Target
from .known_servers import KnownServers
from .replica_demand import ReplicaDemand, ReplicaDemands
from .waiting_calls import RoutedCall, WaitingCalls, group_of, priority_key


class WaitEstimator:
    """Computes estimates from the routing state without changing it."""

    def __init__(
        self, servers: KnownServers, waiting: WaitingCalls, demands: ReplicaDemands
    ) -> None:
        self._servers = servers
        self._waiting = waiting
        self._demands = demands

    def estimated_dispatch_at(self, call: RoutedCall, now: float) -> float:
        """Return when a waiting call is expected to be sent, in monotonic seconds."""
        demand = self._demands.for_target(call.target)
        if demand is None or self._servers.has_replica(demand.key, now):
            return now + self._queue_wait_s(call, now)
        if demand.planned_server_id is None:
            return now
        return max(now, demand.ready_at) + self._wait_after_load_s(call, demand)

    def _queue_wait_s(self, call: RoutedCall, now: float) -> float:
        def competes(target: Target) -> bool:
            if not isinstance(target, ReplicaTarget):
                return True
            # Calls that wait for a load use no server before it has finished.
            return self._servers.has_replica(target.key, now)

        queue = self._waiting.queue_for(call.target)
        return queue.expected_wait_s(group_of(call), self._team_weight, competes)

    def _wait_after_load_s(self, call: RoutedCall, demand: ReplicaDemand) -> float:
        server = self._servers.catalog.server_by_id.get(demand.planned_server_id or "")
        mean_s = self._waiting.queue_for(call.target).mean_service_s
        if server is None or mean_s is None:
            return 0.0
        waiting = (self._waiting.get(call_id) for call_id in demand.call_ids)
        calls_ahead = sum(
            1 for other_call in waiting if priority_key(other_call) < priority_key(call)
        )
        # The server starts the first calls at once, up to its capacity.
        capacity = max(1, server.capacity)
        return max(0, calls_ahead - capacity + 1) * mean_s / capacity

    def _team_weight(self, team_id: str) -> float:
        team = self._servers.catalog.team_by_id.get(team_id)
        return team.weight if team is not None and team.weight > 0 else 1.0
