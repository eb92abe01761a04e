"""Chooses a server for each queued load.

A request is first checked against existing replicas and loads; then a server is chosen.
If memory has to be freed, the planner issues the unload orders and holds the freed
memory for the request. The load is decided only after the reservations are released.
"""

from __future__ import annotations

from collections import Counter
from typing import Final

import attrs

from ..core.message import Outgoing
from .eviction import EvictionGroup, EvictionPolicy
from .fleet import Fleet
from .in_flight_loads import InFlightLoads
from .loads import InFlightLoad, LoadLimits, LoadQueue, LoadRequest, LoadTimeEstimator
from .messages import (
    CheckpointTier,
    OrderKind,
    ReplicaPlanned,
    ReplicaRefused,
    SendOrder,
)
from .order_ledger import OrderLedger
from .ramp import RampPlan
from .record_store import RecordStore
from .replica_view import ReplicaView
from .reservations import Reservation, ReservationState, ServerRecord, Target
from .server_chooser import ServerCandidate, ServerChooser
from .usage import UsageTable

# After this time the request no longer waits for the unloads and may choose another
# server.
EVICTION_TIMEOUT_S: Final = 10.0


@attrs.frozen
class _RequestContext:
    """A request, and the values that are the same for every candidate server."""

    request: LoadRequest
    memory_mib: int
    admits_store_load: bool
    replicas_by_zone: Counter[str]
    held_mib_by_server: Counter[str]


class LoadPlanner:
    """Turns queued loads into writes of server records."""

    def __init__(
        self,
        fleet: Fleet,
        usage: UsageTable,
        store: RecordStore,
        ledger: OrderLedger,
        ramp: RampPlan,
        chooser: ServerChooser,
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._ledger = ledger
        self._ramp = ramp
        self._chooser = chooser
        self.queue = LoadQueue()
        self.estimator = LoadTimeEstimator()
        self.in_flight_loads = InFlightLoads(fleet, usage, self.queue, self.estimator)
        self.limits = LoadLimits(fleet.catalog.manifest.site)
        self.eviction = EvictionPolicy(fleet, usage)
        self.replica_view = ReplicaView(fleet, store, self.in_flight_loads)

    def plan(self, now: float) -> list[Outgoing]:
        """Decide every load that is possible now; return answers to instances."""
        out = self.expire_requests(now)
        requests = self.queue.in_order()
        for loads_ahead, request in enumerate(requests):
            out += self._plan_request(request, loads_ahead, now)
        # Base models that were queued for adapters in the loop above.
        for request in self.queue.in_order():
            if request not in requests:
                out += self._plan_request(request, len(requests), now)
        return out

    def expire_requests(self, now: float) -> list[Outgoing]:
        """Refuse waiters whose deadline has passed; drop expired loads (R3)."""
        out: list[Outgoing] = []
        for request in self.queue.in_order():
            out += self._expire_request(request, now)
        return out

    def _plan_request(
        self, request: LoadRequest, loads_ahead: int, now: float
    ) -> list[Outgoing]:
        if self._is_satisfied(request, now):
            return self._answer_from_existing(request, now)
        if self._start_load_or_evict(request, now):
            return []
        return self._refuse_unreachable(request, loads_ahead, now)

    def plan_unloads(
        self, server_id: str, record: ServerRecord, entries: list[Reservation]
    ) -> tuple[ServerRecord, tuple[SendOrder, ...]]:
        """Return the record with the replicas marked as releasing, and the orders."""
        orders: list[SendOrder] = []
        for entry in entries:
            kind = (
                OrderKind.UNLOAD_ADAPTER if entry.target.adapter else OrderKind.UNLOAD
            )
            issued, order = self._ledger.create(
                kind, server_id, entry.replica_id, entry.target
            )
            loads = tuple(o for o in entry.orders if o.is_load)
            record = record.with_replaced(
                attrs.evolve(
                    entry, state=ReservationState.RELEASING, orders=(*loads, issued)
                )
            )
            orders.append(order)
        return record, tuple(orders)

    def wake_at(self, now: float) -> float | None:
        """Return when a queued load may become possible or will expire."""
        if not len(self.queue):
            return None
        times = [self.queue.next_deadline(), self.limits.next_token_at(now)]
        return min((at for at in times if at is not None), default=None)

    def _expire_request(self, request: LoadRequest, now: float) -> list[Outgoing]:
        expired = [
            a for a, w in request.waiter_by_address.items() if w.deadline_at <= now
        ]
        for address in expired:
            del request.waiter_by_address[address]
        if request.deadline_at <= now and not request.waiter_by_address:
            self.queue.remove(request.target)
        refusal = self._refusal(request, "deadline_unreachable")
        return [Outgoing(address, refusal) for address in expired]

    def _refuse_unreachable(
        self, request: LoadRequest, loads_ahead: int, now: float
    ) -> list[Outgoing]:
        """Refuse waiters whose load from the weight store cannot finish in time."""
        if request.target.adapter:
            return []
        if self.limits.admits_store_load(self.in_flight_loads.all(), now):
            return []
        nominal_s = self._fleet.nominal_load_s(request.target)
        # The server is not chosen yet, so the fastest tier gives a lower bound.
        load_s = min(
            self.estimator.estimate_s(nominal_s, tier, is_adapter=False)
            for tier in CheckpointTier
        )
        ready_at = now + self.limits.min_store_wait_s(loads_ahead) + load_s
        unreachable = [
            a for a, w in request.waiter_by_address.items() if w.deadline_at < ready_at
        ]
        for address in unreachable:
            del request.waiter_by_address[address]
        refusal = self._refusal(request, "deadline_unreachable")
        return [Outgoing(address, refusal) for address in unreachable]

    def _is_satisfied(self, request: LoadRequest, now: float) -> bool:
        max_replicas = self._fleet.max_replicas(request.target)
        desired = min(request.desired_replicas, max_replicas)
        return self.replica_view.count_replicas(request.target, now) >= desired

    def _answer_from_existing(self, request: LoadRequest, now: float) -> list[Outgoing]:
        """Answer a request from an existing replica or an in-flight load."""
        target = request.target
        loaded_servers = self.replica_view.servers_with_loaded(target, now)
        if loaded_servers:
            self.queue.remove(target)
            planned = ReplicaPlanned(
                target.model, target.adapter, loaded_servers[0], 0.0
            )
            return [Outgoing(a, planned) for a in request.waiter_by_address]
        loads = self.in_flight_loads.active_for(target)
        if loads:
            self.queue.remove(target)
            if loads[0].is_committed:
                return self.in_flight_loads.notify_waiters(request, loads[0], now)
            loads[0].request.merge(request)
        return []

    def _start_load_or_evict(self, request: LoadRequest, now: float) -> bool:
        """Start a load, or the unloads that it needs; return False if neither."""
        memory_mib = self._fleet.memory_mib(request.target)
        if memory_mib is None:
            return False
        if request.target.adapter and not self._ensure_base_loaded(request, now):
            return False
        if request.eviction_server_id:
            return self._load_into_freed_memory(request, memory_mib, now)
        if not self._adapter_may_start(request):
            return False
        # Computed once, since the values are the same for all servers.
        context = _RequestContext(
            request,
            memory_mib,
            self.limits.admits_store_load(self.in_flight_loads.all(), now),
            self._replicas_by_zone(request.target),
            self._held_mib_by_server(request),
        )
        candidates = [
            candidate
            for server_id in self._servers_for(request, now)
            if (candidate := self._candidate(server_id, context, now))
        ]
        chosen = self._chooser.choose(candidates)
        if chosen is None:
            return False
        if chosen.eviction_candidates:
            self._evict_for(request, chosen.server_id, chosen.eviction_candidates, now)
        else:
            self._start_load(request, chosen.server_id, memory_mib, now)
        return True

    def _ensure_base_loaded(self, request: LoadRequest, now: float) -> bool:
        """Return whether a server can load the adapter; else queue its base model."""
        base = Target(request.target.model)
        servers = self.replica_view.servers_with_loaded(base, now)
        candidates = [
            s
            for s in servers
            if (record := self._store.pending_or_current(s))
            and not record.find(request.target)
        ]
        if candidates:
            return True
        base_request = LoadRequest(
            base,
            request.request_class,
            max(request.deadline_at, now),
            desired_replicas=len(servers) + 1,
        )
        self.queue.add(base_request)
        return False

    def _servers_for(self, request: LoadRequest, now: float) -> list[str]:
        if request.target.adapter:
            return self.replica_view.servers_with_loaded(
                Target(request.target.model), now
            )
        model = self._fleet.catalog.model_by_id[request.target.model]
        return [
            server.id
            for server in self._fleet.catalog.server_by_id.values()
            if server.pool == model.pool and self._fleet.is_usable(server.id, now)
        ]

    def _adapter_may_start(self, request: LoadRequest) -> bool:
        if not request.target.adapter:
            return True
        return self.limits.admits_adapter(self.in_flight_loads.all())

    def _candidate(
        self, server_id: str, context: _RequestContext, now: float
    ) -> ServerCandidate | None:
        request, memory_mib = context.request, context.memory_mib
        record = self._store.record(server_id)
        server = self._fleet.server(server_id)
        report = self._fleet.observations(server_id).report
        if record is None or server is None or report is None:
            return None
        if self._store.has_pending_write(server_id) or request.avoids_server(
            server_id, now
        ):
            return None
        if record.find(request.target) is not None:
            return None
        tier = self._tier(server_id, request)
        if not (context.admits_store_load or self._needs_no_store_slot(tier, request)):
            return None
        free_mib = self._fleet.free_mib(server_id, record)
        free_mib -= context.held_mib_by_server.get(server_id, 0)
        evictions: tuple[EvictionGroup, ...] | None = ()
        if free_mib < memory_mib:
            excluded = Target(request.target.model) if request.target.adapter else None
            evictions = self.eviction.select(
                server_id, record, memory_mib - free_mib, excluded, now
            )
        if evictions is None:
            return None
        return ServerCandidate(
            server_id,
            server.zone,
            tier,
            self._estimate_s(request.target, tier),
            free_mib - memory_mib,
            server.memory_mib,
            evictions,
            (report.running + report.queued) / max(server.capacity, 1),
            context.replicas_by_zone[server.zone],
            self._ramp.is_ramping(server_id),
        )

    def _tier(self, server_id: str, request: LoadRequest) -> CheckpointTier:
        if request.target.adapter:
            return CheckpointTier.REMOTE
        return self._fleet.checkpoint_tier(server_id, request.target.model)

    def _tier_is_admitted(
        self, tier: CheckpointTier, request: LoadRequest, now: float
    ) -> bool:
        if self._needs_no_store_slot(tier, request):
            return True
        return self.limits.admits_store_load(self.in_flight_loads.all(), now)

    @staticmethod
    def _needs_no_store_slot(tier: CheckpointTier, request: LoadRequest) -> bool:
        """Return whether a load needs no weight-store slot."""
        return bool(request.target.adapter) or tier is not CheckpointTier.REMOTE

    def _estimate_s(self, target: Target, tier: CheckpointTier) -> float:
        nominal_s = self._fleet.nominal_load_s(target)
        return self.estimator.estimate_s(nominal_s, tier, bool(target.adapter))

    def _replicas_by_zone(self, target: Target) -> Counter[str]:
        servers = (self._fleet.server(s) for s in self._fleet.servers_of(target))
        return Counter(server.zone for server in servers if server is not None)

    def _held_mib_by_server(self, request: LoadRequest) -> Counter[str]:
        """Return memory in MiB that is held for other requests, by server."""
        held: Counter[str] = Counter()
        for other in self.queue.in_order():
            if other is not request and other.eviction_server_id:
                held[other.eviction_server_id] += (
                    self._fleet.memory_mib(other.target) or 0
                )
        return held

    def _evict_for(
        self,
        request: LoadRequest,
        server_id: str,
        eviction_groups: tuple[EvictionGroup, ...],
        now: float,
    ) -> None:
        record = self._store.record(server_id)
        if record is None:
            return
        entries = [entry for group in eviction_groups for entry in group.replicas]
        record, orders = self.plan_unloads(server_id, record, entries)
        self._store.write(server_id, record, orders)
        request.eviction_server_id = server_id
        request.eviction_expires_at = now + EVICTION_TIMEOUT_S

    def _load_into_freed_memory(
        self, request: LoadRequest, memory_mib: int, now: float
    ) -> bool:
        """Start the load on the server with freed memory, once there is enough."""
        server_id = request.eviction_server_id
        record = self._store.record(server_id)
        is_usable = (
            self._fleet.is_usable(server_id, now) and now < request.eviction_expires_at
        )
        if record is None or not is_usable or record.find(request.target) is not None:
            request.eviction_server_id = ""
            return False
        if self._store.has_pending_write(server_id):
            return False
        free_mib = self._fleet.free_mib(server_id, record)
        if free_mib >= memory_mib + self._held_mib_by_server(request).get(server_id, 0):
            tier = self._tier(server_id, request)
            if not self._tier_is_admitted(tier, request, now):
                return False
            self._start_load(request, server_id, memory_mib, now)
            return True
        states = {entry.state for entry in record.reservations}
        if ReservationState.RELEASING not in states:
            request.eviction_server_id = ""
        return False

    def _start_load(
        self, request: LoadRequest, server_id: str, memory_mib: int, now: float
    ) -> None:
        """Write the decision; the order is sent after the write has succeeded."""
        record = self._store.record(server_id)
        if record is None:
            return
        target = request.target
        replica_id = self._ledger.new_replica_id()
        kind = OrderKind.LOAD_ADAPTER if target.adapter else OrderKind.LOAD
        issued, order = self._ledger.create(kind, server_id, replica_id, target)
        entry = Reservation(
            replica_id, target, memory_mib, ReservationState.LOADING, (issued,)
        )
        tier = self._tier(server_id, request)
        if tier is CheckpointTier.REMOTE and not target.adapter:
            self.limits.consume_store_token(now)
        self.queue.remove(target)
        request.eviction_server_id = ""
        self.in_flight_loads.add(
            InFlightLoad(
                replica_id,
                server_id,
                tier,
                request,
                self._fleet.nominal_load_s(target),
                self._estimate_s(target, tier),
                now,
            )
        )
        self._store.write(server_id, record.with_reservation(entry), (order,))

    @staticmethod
    def _refusal(request: LoadRequest, reason: str) -> ReplicaRefused:
        return ReplicaRefused(request.target.model, request.target.adapter, reason)
