"""Reconciles a server's record with the observations of the server.

Reservations that may be released are removed, replicas without a reservation get one,
unload orders that had no effect are repeated, and stalled loads that no report shows
are unloaded. The result is one write of the record, if anything has changed.
"""

from __future__ import annotations

from typing import Final

import attrs

from .fleet import Fleet
from .in_flight_loads import InFlightLoads
from .load_planner import LoadPlanner
from .messages import ReplicaState, SendOrder
from .order_ledger import OrderLedger
from .ramp import RampPlan
from .record_store import RecordStore
from .reservations import (
    IssuedOrder,
    Reservation,
    ReservationState,
    ServerRecord,
    Target,
)

# An unload appears in the reports within a few polling periods.
UNLOAD_RETRY_S: Final = 2.0


class Reconciler:
    """Compares the record of a server with the observations of it."""

    def __init__(
        self,
        fleet: Fleet,
        store: RecordStore,
        ledger: OrderLedger,
        ramp: RampPlan,
        planner: LoadPlanner,
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._ledger = ledger
        self._ramp = ramp
        self._planner = planner
        self._in_flight_loads: InFlightLoads = planner.in_flight_loads
        self._next_unload_at_by_replica: dict[str, float] = {}

    def clear(self) -> None:
        """Reset the state for a new ownership."""
        self._next_unload_at_by_replica.clear()

    def update_absences(self, server_id: str, now: float) -> None:
        """Update the absences of the server's replicas with its last report."""
        record = self._store.record(server_id)
        if record is not None:
            self._fleet.observations(server_id).update_absences(
                record,
                self._fleet.checks_fencing(server_id),
                self._is_sender_gone,
                now,
            )

    def _is_sender_gone(self, order: IssuedOrder) -> bool:
        return not self._ledger.is_own(order) and self._fleet.is_sender_gone(order)

    def reconcile(self, server_id: str, now: float) -> None:
        """Write a server's record if it has to change."""
        record = self._store.record(server_id)
        if record is None or self._store.has_pending_write(server_id):
            return
        self._record_own_results(server_id, record, now)
        changed = self._without_releasable(server_id, record, now)
        changed = self._with_unrecorded_replicas(server_id, changed)
        changed, orders = self._with_unloads(server_id, changed, now)
        changed = self._with_warm_boot(server_id, changed)
        if changed != record:
            self._store.write(
                server_id, self._with_loaded_states(server_id, changed), orders
            )

    def _record_own_results(
        self, server_id: str, record: ServerRecord, now: float
    ) -> None:
        """Record the known results of the orders of this process."""
        observations = self._fleet.observations(server_id)
        for entry in record.reservations:
            for issued in entry.orders:
                if self._ledger.is_dropped(issued):
                    observations.record_dropped_order(issued.order_id, now)
                result = self._ledger.result(issued)
                if result is not None:
                    observations.record_result(issued.order_id, result, now)

    def _without_releasable(
        self, server_id: str, record: ServerRecord, now: float
    ) -> ServerRecord:
        observations = self._fleet.observations(server_id)
        checks_fencing = self._fleet.checks_fencing(server_id)
        releasable = [
            entry
            for entry in record.reservations
            if observations.may_release(entry, checks_fencing, now)
        ]
        for entry in releasable:
            if observations.has_vanished(entry):
                # A loaded replica vanished without an order: the server is cold (R6).
                self._restart_ramp(server_id, now)
            self._in_flight_loads.handle_failure(
                entry.replica_id, observations.has_failed(entry), now
            )
        return (
            record.without_replicas({entry.replica_id for entry in releasable})
            if releasable
            else record
        )

    def _restart_ramp(self, server_id: str, now: float) -> None:
        report = self._fleet.observations(server_id).report
        server = self._fleet.server(server_id)
        if report is not None and server is not None:
            self._ramp.start_ramp(server_id, report.boot_id, server.capacity, now)

    def _with_unrecorded_replicas(
        self, server_id: str, record: ServerRecord
    ) -> ServerRecord:
        """Reserve memory for reported replicas that are not in the record."""
        report = self._fleet.observations(server_id).report
        known = {entry.replica_id for entry in record.reservations}
        for replica in report.replicas if report is not None else ():
            target = Target(replica.model, replica.adapter)
            memory_mib = self._fleet.memory_mib(target)
            if replica.replica_id in known or memory_mib is None:
                continue
            if replica.state is ReplicaState.FAILED:
                continue
            record = record.with_reservation(
                Reservation(
                    replica.replica_id, target, memory_mib, ReservationState.LOADED
                )
            )
        return record

    def _with_unloads(
        self, server_id: str, record: ServerRecord, now: float
    ) -> tuple[ServerRecord, tuple[SendOrder, ...]]:
        due = [
            entry
            for entry in record.reservations
            if self._needs_unload(server_id, entry, now)
        ]
        for entry in due:
            self._next_unload_at_by_replica[entry.replica_id] = now + UNLOAD_RETRY_S
        return (
            self._planner.plan_unloads(server_id, record, due) if due else (record, ())
        )

    def _needs_unload(self, server_id: str, entry: Reservation, now: float) -> bool:
        observations = self._fleet.observations(server_id)
        is_reported = entry.replica_id in observations.reported_states()
        if now < self._next_unload_at_by_replica.get(entry.replica_id, float("-inf")):
            return False
        if not self._fleet.is_reporting(server_id, now):
            return False
        if any(self._ledger.is_open(order.order_id) for order in entry.orders):
            return False
        if entry.state is ReservationState.RELEASING:
            # Also repeat if the server checks fencing and has not reported the fence of
            # the unload order: only that fence settles a lost load order.
            return is_reported or (
                self._fleet.checks_fencing(server_id)
                and not observations.is_fence_lost
                and observations.report is not None
                and observations.report.highest_fence < _unload_fence(entry.orders)
            )
        load = self._in_flight_loads.find(entry.replica_id)
        return load is not None and load.is_stalled and not is_reported

    def _with_warm_boot(self, server_id: str, record: ServerRecord) -> ServerRecord:
        """Set the boot id whose ramp is complete; empty while the server is cold."""
        report = self._fleet.observations(server_id).report
        warm_boot_id = record.warm_boot_id
        if not self._fleet.is_open(server_id) or self._ramp.is_ramping(server_id):
            warm_boot_id = ""
        completed_boot_id = self._ramp.completed_boot_id(server_id)
        if completed_boot_id and report and report.boot_id == completed_boot_id:
            warm_boot_id = completed_boot_id if self._fleet.is_open(server_id) else ""
        if warm_boot_id == record.warm_boot_id:
            return record
        return attrs.evolve(record, warm_boot_id=warm_boot_id)

    def _with_loaded_states(self, server_id: str, record: ServerRecord) -> ServerRecord:
        """Mark loaded replicas, which alone would not justify a write."""
        observations = self._fleet.observations(server_id)
        for entry in record.reservations:
            if entry.state is ReservationState.LOADING and observations.is_loaded(
                entry.replica_id
            ):
                record = record.with_replaced(
                    attrs.evolve(entry, state=ReservationState.LOADED, orders=())
                )
        return record


def _unload_fence(orders: tuple[IssuedOrder, ...]) -> int:
    return max((order.fence for order in orders if not order.is_load), default=0)
