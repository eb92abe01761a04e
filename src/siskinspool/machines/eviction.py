"""Selects idle replicas to unload when memory is needed.

A replica may be unloaded if nothing runs on it or waits for it and the estimated time
to its next request exceeds its reload time. That estimate is the inverse of the request
rate or, for a replica without recent requests, the time since its last use. A base
model is unloaded together with its adapters, which must all be idle.
"""

from __future__ import annotations

from typing import Final

import attrs

from .fleet import Fleet
from .reservations import Reservation, ReservationState, ServerRecord, Target
from .usage import UsageTable

# Leaves a new replica time to receive the requests that it was loaded for, and a new
# owner time to receive usage messages from all instances.
MIN_RESIDENCE_S: Final = 5.0


@attrs.frozen
class EvictionGroup:
    """Replicas that are unloaded together, and the expected cost of reloading them."""

    replicas: tuple[Reservation, ...]
    memory_mib: int
    # Expected seconds of reloading per second after the eviction.
    reload_cost: float


class EvictionPolicy:
    """Compares the expected time to reuse with the cost of a reload."""

    def __init__(self, fleet: Fleet, usage: UsageTable) -> None:
        self._fleet = fleet
        self._usage = usage

    def select(
        self,
        server_id: str,
        record: ServerRecord,
        needed_mib: int,
        excluded: Target | None,
        now: float,
    ) -> tuple[EvictionGroup, ...] | None:
        """Return the cheapest groups that free enough memory; None if there are not."""
        chosen: list[EvictionGroup] = []
        selected_ids: set[str] = set()
        freed = 0
        for group in sorted(
            self._groups(server_id, record, excluded, now),
            key=lambda group: (group.reload_cost, -group.memory_mib),
        ):
            if freed >= needed_mib:
                break
            ids = {entry.replica_id for entry in group.replicas}
            if ids & selected_ids:
                continue
            selected_ids |= ids
            chosen.append(group)
            freed += group.memory_mib
        return tuple(chosen) if freed >= needed_mib else None

    def is_idle(self, server_id: str, entry: Reservation, now: float) -> bool:
        """Return whether nothing runs on a replica or waits for it."""
        observations = self._fleet.observations(server_id)
        if entry.state is ReservationState.RELEASING:
            return False
        if not observations.is_loaded(entry.replica_id):
            return False
        if now - self._fleet.loaded_since(entry.replica_id, now) < MIN_RESIDENCE_S:
            return False
        report = observations.report
        if report and report.running > 0 and not self._usage.has_usage_data(server_id):
            return False
        return not (
            self._usage.has_pending_demand(entry.target, now)
            or self._usage.running(server_id, entry.target, now) > 0
        )

    def idle_group_members(
        self, server_id: str, record: ServerRecord, entry: Reservation, now: float
    ) -> list[Reservation] | None:
        """Return the replicas to unload together, adapters first; None if not idle."""
        members = [entry]
        if not entry.target.adapter:
            model = entry.target.model
            members = [r for r in record.reservations if r.target.model == model]
            members.sort(key=lambda r: not r.target.adapter)
        idle = all(self.is_idle(server_id, member, now) for member in members)
        return members if idle else None

    def _groups(
        self, server_id: str, record: ServerRecord, excluded: Target | None, now: float
    ) -> list[EvictionGroup]:
        groups = []
        for entry in record.reservations:
            if entry.target == excluded:
                continue
            members = self.idle_group_members(server_id, record, entry, now)
            group = self._group(server_id, members, now) if members else None
            if group is not None:
                groups.append(group)
        return groups

    def _group(
        self, server_id: str, members: list[Reservation], now: float
    ) -> EvictionGroup | None:
        value = 0.0
        for entry in members:
            reload_s = self._fleet.nominal_load_s(entry.target)
            next_request_in_s = self._next_request_in_s(server_id, entry, now)
            if next_request_in_s <= reload_s:
                return None
            value += reload_s / next_request_in_s
        memory = sum(entry.memory_mib for entry in members)
        return EvictionGroup(tuple(members), memory, value)

    def _next_request_in_s(
        self, server_id: str, entry: Reservation, now: float
    ) -> float:
        """Return the estimated time to the next request, in seconds."""
        rate = self._usage.requests_per_s(server_id, entry.target, now)
        if rate > 0:
            return 1.0 / rate
        used_at = self._usage.last_used_at(server_id, entry.target)
        since = max(used_at, self._fleet.loaded_since(entry.replica_id, now))
        return max(now - since, 0.0)
