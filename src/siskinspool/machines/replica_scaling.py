"""Scales the number of replicas per target.

A replica is added when the load ratio (running requests over capacity) stays above a
high threshold for a while. One is unloaded when the load ratio of the remaining ones
would stay below a low threshold for much longer. The distance between the thresholds
provides hysteresis. While requests arrive, a target without replicas on open servers
gets a new one elsewhere.
"""

from __future__ import annotations

from typing import Final

from ..manifest.model import RequestClass
from .fleet import Fleet
from .load_planner import LoadPlanner
from .loads import LoadRequest
from .record_store import RecordStore
from .reservations import Target
from .usage import UsageTable

SCALE_UP_LOAD: Final = 0.8
SCALE_DOWN_LOAD: Final = 0.4
SCALE_UP_DELAY_S: Final = 3.0
SCALE_DOWN_DELAY_S: Final = 60.0
# A queued extra replica that cannot be placed is abandoned after this time.
EXTRA_REPLICA_DEADLINE_S: Final = 30.0


class ReplicaScaler:
    """Adds and removes replicas according to load."""

    def __init__(
        self,
        fleet: Fleet,
        usage: UsageTable,
        store: RecordStore,
        planner: LoadPlanner,
    ) -> None:
        self._fleet = fleet
        self._usage = usage
        self._store = store
        self._planner = planner
        self._high_load_since: dict[Target, float] = {}
        self._low_load_since: dict[Target, float] = {}

    def clear(self) -> None:
        """Reset all timers for a new ownership."""
        self._high_load_since.clear()
        self._low_load_since.clear()

    def review(self, now: float) -> None:
        """Queue additional replicas or unload surplus ones; called once a second."""
        self._replace_unusable(now)
        for target in self._fleet.targets():
            servers = self._planner.replica_view.servers_with_loaded(target, now)
            if servers:
                self._review_target(target, servers, now)

    def _replace_unusable(self, now: float) -> None:
        for server_id, target in self._usage.targets_in_use(now):
            if self._fleet.is_open(server_id):
                continue
            if self._planner.replica_view.count_replicas(target, now) == 0:
                self._queue_load(target, 1, now)

    def _review_target(self, target: Target, servers: list[str], now: float) -> None:
        running = sum(self._usage.running(s, target, now) for s in servers)
        capacity = sum(self._capacity(s) for s in servers)
        max_replicas = self._fleet.max_replicas(target)
        if running >= SCALE_UP_LOAD * capacity:
            self._low_load_since.pop(target, None)
            since = self._high_load_since.setdefault(target, now)
            if now - since >= SCALE_UP_DELAY_S and len(servers) < max_replicas:
                del self._high_load_since[target]
                self._queue_load(target, len(servers) + 1, now)
            return
        self._high_load_since.pop(target, None)
        remaining_capacity = capacity - max(self._capacity(s) for s in servers)
        if len(servers) > max(max_replicas, 1):
            self._unload_one(target, servers, now)
        elif len(servers) > 1 and running <= SCALE_DOWN_LOAD * remaining_capacity:
            since = self._low_load_since.setdefault(target, now)
            if now - since >= SCALE_DOWN_DELAY_S and self._unload_one(
                target, servers, now
            ):
                del self._low_load_since[target]
        else:
            self._low_load_since.pop(target, None)

    def _capacity(self, server_id: str) -> int:
        server = self._fleet.server(server_id)
        return server.capacity if server is not None else 0

    def _queue_load(self, target: Target, desired_replicas: int, now: float) -> None:
        self._planner.queue.add(
            LoadRequest(
                target,
                RequestClass.PATIENT,
                now + EXTRA_REPLICA_DEADLINE_S,
                desired_replicas=desired_replicas,
            )
        )

    def _unload_one(self, target: Target, servers: list[str], now: float) -> bool:
        """Unload the least recently used idle replica; return False if none is idle."""
        for server_id in sorted(
            servers, key=lambda s: (self._usage.last_used_at(s, target), s)
        ):
            record = self._store.record(server_id)
            entry = record.find(target) if record is not None else None
            if (
                record is None
                or entry is None
                or self._store.has_pending_write(server_id)
            ):
                continue
            group = self._planner.eviction.idle_group_members(
                server_id, record, entry, now
            )
            if group:
                changed, orders = self._planner.plan_unloads(server_id, record, group)
                self._store.write(server_id, changed, orders)
                return True
        return False
