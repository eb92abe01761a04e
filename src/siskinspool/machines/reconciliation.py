"""Brings a server's record in line with what is known about the server.

Reservations that may be released go, replicas that no record names are charged, unload
orders that had no effect are repeated, and loads that stalled without a trace are
called off. The result is one write of the record, if anything has to change.
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

# Reports show the effect of an unload within a few polling periods.
UNLOAD_RETRY_S: Final = 2.0


class Reconciler:
    """Compares records with evidence, server by server."""

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
        """Begin a new ownership."""
        self._next_unload_at_by_replica.clear()

    def update_absences(self, server_id: str, now: float) -> None:
        """Count the last report for or against the server's reservations."""
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
        """Write what has to change in a server's record."""
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
        """Use what this process knows about its own orders."""
        evidence = self._fleet.observations(server_id)
        for entry in record.reservations:
            for issued in entry.orders:
                if self._ledger.is_dropped(issued):
                    evidence.record_dropped_order(issued.order_id, now)
                result = self._ledger.result(issued)
                if result is not None:
                    evidence.record_result(issued.order_id, result, now)

    def _without_releasable(
        self, server_id: str, record: ServerRecord, now: float
    ) -> ServerRecord:
        evidence = self._fleet.observations(server_id)
        checks_fencing = self._fleet.checks_fencing(server_id)
        gone = [
            entry
            for entry in record.reservations
            if evidence.may_release(entry, checks_fencing, now)
        ]
        for entry in gone:
            if evidence.has_vanished(entry):
                # A loaded replica is gone without an order: the server is cold (R6).
                self._restart_ramp(server_id, now)
            self._in_flight_loads.handle_failure(
                entry.replica_id, evidence.has_failed(entry), now
            )
        return (
            record.without_replicas({entry.replica_id for entry in gone})
            if gone
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
        """Reserve memory for replicas that the record does not name."""
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
        evidence = self._fleet.observations(server_id)
        shown = entry.replica_id in evidence.reported_states()
        if now < self._next_unload_at_by_replica.get(entry.replica_id, float("-inf")):
            return False
        if not self._fleet.is_reporting(server_id, now):
            return False
        if any(self._ledger.is_open(order.order_id) for order in entry.orders):
            return False
        if entry.state is ReservationState.RELEASING:
            # Also where the server checks fencing and has not seen the unload's fence:
            # only then is a lost load order settled.
            return shown or (
                self._fleet.checks_fencing(server_id)
                and not evidence.is_fence_lost
                and evidence.report is not None
                and evidence.report.highest_fence < _unload_fence(entry.orders)
            )
        flight = self._in_flight_loads.find(entry.replica_id)
        return flight is not None and flight.is_stalled and not shown

    def _with_warm_boot(self, server_id: str, record: ServerRecord) -> ServerRecord:
        """Keep the boot that is through its ramp, empty while the server is cold."""
        report = self._fleet.observations(server_id).report
        warm = record.warm_boot_id
        if not self._fleet.is_open(server_id) or self._ramp.is_ramping(server_id):
            warm = ""
        complete = self._ramp.completed_boot_id(server_id)
        if complete and report and report.boot_id == complete:
            warm = complete if self._fleet.is_open(server_id) else ""
        if warm == record.warm_boot_id:
            return record
        return attrs.evolve(record, warm_boot_id=warm)

    def _with_loaded_states(self, server_id: str, record: ServerRecord) -> ServerRecord:
        """Fold what needs no write of its own into one that is made anyway."""
        evidence = self._fleet.observations(server_id)
        for entry in record.reservations:
            if entry.state is ReservationState.LOADING and evidence.is_loaded(
                entry.replica_id
            ):
                record = record.with_replaced(
                    attrs.evolve(entry, state=ReservationState.LOADED, orders=())
                )
        return record


def _unload_fence(orders: tuple[IssuedOrder, ...]) -> int:
    return max((order.fence for order in orders if not order.is_load), default=0)
