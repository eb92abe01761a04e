"""Which idle replicas to unload when memory is wanted.

A replica may be unloaded if nothing runs on it or waits for it, and the estimated time
to its next request is longer than its reload would take. That time is the inverse of
the request rate, or, for a replica without recent requests, the time since its last
use. A base model goes together with its adapters, which must all be idle.
"""

from __future__ import annotations

from typing import Final

import attrs

from .fleet import Fleet
from .reservations import Reservation, ReservationState, ServerRecord, Target
from .usage import UsageTable

# A replica just loaded gets time for the requests that it was loaded for, and a new
# owner time to hear from all instances what they use.
MIN_RESIDENCE_S: Final = 5.0


@attrs.frozen
class EvictionGroup:
    """Replicas that go together, and what it costs to lose them."""

    replicas: tuple[Reservation, ...]
    memory_mib: int
    # Expected seconds of reloading per second without the replicas.
    reload_cost: float


class EvictionPolicy:
    """Expected reuse against reload cost."""

    def __init__(self, fleet: Fleet, usage: UsageTable) -> None:
        self._fleet = fleet
        self._usage = usage

    def select(
        self,
        server_id: str,
        record: ServerRecord,
        wanted_mib: int,
        keep: Target | None,
        now: float,
    ) -> tuple[EvictionGroup, ...] | None:
        """Return the least valuable groups that free the memory, or None."""
        chosen: list[EvictionGroup] = []
        taken: set[str] = set()
        freed = 0
        for group in sorted(
            self._groups(server_id, record, keep, now),
            key=lambda group: (group.reload_cost, -group.memory_mib),
        ):
            if freed >= wanted_mib:
                break
            ids = {entry.replica_id for entry in group.replicas}
            if ids & taken:
                continue
            taken |= ids
            chosen.append(group)
            freed += group.memory_mib
        return tuple(chosen) if freed >= wanted_mib else None

    def is_idle(self, server_id: str, entry: Reservation, now: float) -> bool:
        """Return whether nothing runs on a replica or waits for it."""
        evidence = self._fleet.observations(server_id)
        if entry.state is ReservationState.RELEASING:
            return False
        if not evidence.is_loaded(entry.replica_id):
            return False
        if now - self._fleet.loaded_since(entry.replica_id, now) < MIN_RESIDENCE_S:
            return False
        report = evidence.report
        if report and report.running > 0 and not self._usage.has_usage_data(server_id):
            return False
        return not (
            self._usage.has_pending_demand(entry.target, now)
            or self._usage.running(server_id, entry.target, now) > 0
        )

    def idle_group_members(
        self, server_id: str, record: ServerRecord, entry: Reservation, now: float
    ) -> list[Reservation] | None:
        """Return what has to go with a replica, adapters first; None if not idle."""
        members = [entry]
        if not entry.target.adapter:
            model = entry.target.model
            members = [r for r in record.reservations if r.target.model == model]
            members.sort(key=lambda r: not r.target.adapter)
        idle = all(self.is_idle(server_id, member, now) for member in members)
        return members if idle else None

    def _groups(
        self, server_id: str, record: ServerRecord, keep: Target | None, now: float
    ) -> list[EvictionGroup]:
        groups = []
        for entry in record.reservations:
            if entry.target == keep:
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
            gap_s = self._next_request_in_s(server_id, entry, now)
            if gap_s <= reload_s:
                return None
            value += reload_s / gap_s
        memory = sum(entry.memory_mib for entry in members)
        return EvictionGroup(tuple(members), memory, value)

    def _next_request_in_s(
        self, server_id: str, entry: Reservation, now: float
    ) -> float:
        """Return the estimated time to the next request."""
        rate = self._usage.requests_per_s(server_id, entry.target, now)
        if rate > 0:
            return 1.0 / rate
        used_at = self._usage.last_used_at(server_id, entry.target)
        since = max(used_at, self._fleet.loaded_since(entry.replica_id, now))
        return max(now - since, 0.0)
