"""When a waiting call can expect a server, for refusing early (R3).

The time is that of the planned load plus the queue after it, or the queue alone when a
replica is loaded. What is not known counts as no wait, so that no call is refused on a
guess: before the placement owner has answered, and before a call has been measured.
"""

from __future__ import annotations

from .call_targets import ReplicaTarget, Target
from .known_servers import KnownServers
from .replica_demand import ReplicaDemand, ReplicaDemands
from .waiting_calls import RoutedCall, WaitingCalls, group_of, priority_key


class WaitEstimator:
    """Estimates from the state of routing; changes nothing."""

    def __init__(
        self, servers: KnownServers, waiting: WaitingCalls, demands: ReplicaDemands
    ) -> None:
        self._servers = servers
        self._waiting = waiting
        self._demands = demands

    def estimated_dispatch_at(self, call: RoutedCall, now: float) -> float:
        """Return when a waiting call can expect a server, in monotonic seconds."""
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
            # Calls that wait for a load take no server before it ends.
            return self._servers.has_replica(target.key, now)

        line = self._waiting.queue_for(call.target)
        return line.expected_wait_s(group_of(call), self._team_weight, competes)

    def _wait_after_load_s(self, call: RoutedCall, demand: ReplicaDemand) -> float:
        server = self._servers.catalog.server_by_id.get(demand.planned_server_id or "")
        mean_s = self._waiting.queue_for(call.target).mean_service_s
        if server is None or mean_s is None:
            return 0.0
        waiting = (self._waiting.get(call_id) for call_id in demand.call_ids)
        ahead = sum(1 for other in waiting if priority_key(other) < priority_key(call))
        # The server takes the first calls, as many as its capacity, at once.
        capacity = max(1, server.capacity)
        return max(0, ahead - capacity + 1) * mean_s / capacity

    def _team_weight(self, team_id: str) -> float:
        team = self._servers.catalog.team_by_id.get(team_id)
        return team.weight if team is not None and team.weight > 0 else 1.0
