"""Usage of replicas, as reported by the instances.

`UsageTable` keeps the last `ReplicaUsed` of each instance per replica, and the waiting
requests counted by `ReplicaRequest`. Eviction, scaling and ramps read it.
"""

from __future__ import annotations

from typing import Final

import attrs

from .messages import ReplicaUsed
from .reservations import Target

# `ReplicaUsed` comes about once a second. The last one of a paused sender stays valid
# for as long as its session may last.
USAGE_TTL_S: Final = 10.0
# `ReplicaRequest` is repeated every second while calls wait.
WAITING_TTL_S: Final = 1.5


@attrs.frozen
class _InstanceUse:
    """The last usage message of one instance."""

    running: int
    requests_per_s: float
    at: float


@attrs.frozen
class _InstanceWaiting:
    """The number of calls of one instance that wait for a target."""

    waiting: int
    until: float


@attrs.frozen
class InstanceDemand:
    """Running calls of one instance on a server, and its calls that wait for it."""

    running: int = 0
    waiting: int = 0


@attrs.define
class _ReplicaUsers:
    """Usage of one replica by all instances."""

    use_by_instance: dict[str, _InstanceUse] = attrs.field(factory=dict)
    last_used_at: float = float("-inf")


class UsageTable:
    """Usage of replicas by server and target, and waiting requests by target."""

    def __init__(self) -> None:
        self._replicas_by_server: dict[str, dict[Target, _ReplicaUsers]] = {}
        self._demand_until_by_target: dict[Target, float] = {}
        self._waiting_by_target: dict[Target, dict[str, _InstanceWaiting]] = {}

    def record_use(self, instance_id: str, used: ReplicaUsed, now: float) -> None:
        """Record one instance's usage of a replica."""
        target = Target(used.model, used.adapter)
        replica = self._replicas_by_server.setdefault(used.server_id, {}).setdefault(
            target, _ReplicaUsers()
        )
        use = _InstanceUse(used.running, used.requests_per_s, now)
        replica.use_by_instance[instance_id] = use
        if used.running > 0 or used.requests_per_s > 0:
            replica.last_used_at = now

    def record_demand(self, target: Target, until: float) -> None:
        """Record that requests wait for a target until the given time."""
        self._demand_until_by_target[target] = max(
            self._demand_until_by_target.get(target, until), until
        )
        if target.adapter:
            self.record_demand(Target(target.model), until)

    def record_waiting_calls(
        self, target: Target, instance_id: str, waiting: int, now: float
    ) -> None:
        """Record how many calls of an instance wait for a target."""
        waits = self._waiting_by_target.setdefault(target, {})
        waits[instance_id] = _InstanceWaiting(waiting, now + WAITING_TTL_S)

    def has_pending_demand(self, target: Target, now: float) -> bool:
        """Return whether requests may still wait for a target."""
        return self._demand_until_by_target.get(target, float("-inf")) > now

    def running(self, server_id: str, target: Target, now: float) -> int:
        """Return the requests that run on a replica, without those of its adapters."""
        return sum(use.running for use in self._recent_uses(server_id, target, now))

    def requests_per_s(self, server_id: str, target: Target, now: float) -> float:
        """Return the request rate of a replica, summed over all instances."""
        return sum(
            use.requests_per_s for use in self._recent_uses(server_id, target, now)
        )

    def has_usage_data(self, server_id: str) -> bool:
        """Return whether any instance has reported usage of a server."""
        return server_id in self._replicas_by_server

    def last_used_at(self, server_id: str, target: Target) -> float:
        """Return when a replica was last used; minus infinity if never."""
        replica = self._replicas_by_server.get(server_id, {}).get(target)
        return replica.last_used_at if replica is not None else float("-inf")

    def running_by_instance(self, server_id: str, now: float) -> dict[str, int]:
        """Return the number of running requests of each instance on a server."""
        totals: dict[str, int] = {}
        for replica in self._replicas_by_server.get(server_id, {}).values():
            for instance_id, use in replica.use_by_instance.items():
                if now - use.at < USAGE_TTL_S:
                    totals[instance_id] = totals.get(instance_id, 0) + use.running
        return totals

    def demand_by_instance(
        self, server_id: str, loaded: set[Target], now: float
    ) -> dict[str, InstanceDemand]:
        """Return each instance's running and waiting requests for a server."""
        running = self.running_by_instance(server_id, now)
        waiting: dict[str, int] = {}
        for target in loaded:
            for instance_id, wait in self._waiting_by_target.get(target, {}).items():
                if now < wait.until:
                    waiting[instance_id] = waiting.get(instance_id, 0) + wait.waiting
        return {
            instance_id: InstanceDemand(
                running.get(instance_id, 0), waiting.get(instance_id, 0)
            )
            for instance_id in running.keys() | waiting.keys()
        }

    def targets_in_use(self, now: float) -> list[tuple[str, Target]]:
        """Return server and target of all replicas with recent requests."""
        return [
            (server_id, target)
            for server_id, replicas in self._replicas_by_server.items()
            for target, replica in replicas.items()
            if now - replica.last_used_at < USAGE_TTL_S
        ]

    def expire(self, now: float) -> None:
        """Drop expired waiting requests and usage messages."""
        for replicas in self._replicas_by_server.values():
            for replica in replicas.values():
                replica.use_by_instance = {
                    instance_id: use
                    for instance_id, use in replica.use_by_instance.items()
                    if now - use.at < USAGE_TTL_S
                }
        self._demand_until_by_target = {
            t: u for t, u in self._demand_until_by_target.items() if u > now
        }
        self._waiting_by_target = {
            target: live
            for target, waits in self._waiting_by_target.items()
            if (live := {i: wait for i, wait in waits.items() if now < wait.until})
        }

    def _recent_uses(
        self, server_id: str, target: Target, now: float
    ) -> list[_InstanceUse]:
        replica = self._replicas_by_server.get(server_id, {}).get(target)
        if replica is None:
            return []
        uses = replica.use_by_instance.values()
        return [use for use in uses if now - use.at < USAGE_TTL_S]
