"""The record of one server: memory reservations and the orders issued for them.

A reservation is written before its load order is sent and removed only when the load
can no longer use memory (R2). `ServerRecord` is stored in the key-value service.
`ServerObservations` holds what the current owner has observed: reports, results of
orders and absences of replicas from reports. A reservation may be released

- at once, if its load order was certainly not executed, or the replica failed;
- once a server that checks fencing reports the fence of a later unload order and not
  the replica, since the server then always rejects the load order;
- otherwise once its load order is settled (answered, seen in a report, fenced off, or
  its sender is gone) and the replica has been missing from later reports for a while.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Final

import attrs

from .messages import OrderKind, OrderResult, ReplicaState, ServerReport

# A delayed report of a paused reporter must not free memory. Reports come every 0.5 s,
# so a live reporter contradicts it within this time.
ABSENCE_SPAN_S: Final = 1.0
ABSENCE_REPORTS: Final = 3

_NOT_EXECUTED: Final = frozenset(
    {
        OrderResult.STALE_FENCE,
        OrderResult.NO_MEMORY,
        OrderResult.REFUSED,
        OrderResult.NOT_SENT,
    }
)


class ReservationState(StrEnum):
    """The owner's decision about a replica."""

    LOADING = "loading"
    LOADED = "loaded"
    RELEASING = "releasing"


@attrs.frozen
class Target:
    """A model, or an adapter on a model."""

    model: str
    # Empty for the base model.
    adapter: str = ""


@attrs.frozen
class IssuedOrder:
    """An issued order, kept in the record until its outcome is known."""

    order_id: str
    kind: OrderKind
    sender: str
    incarnation: str
    # Revision of the first record with the order; 0 within that write itself.
    fence: int = 0

    @property
    def is_load(self) -> bool:
        """Return whether the order uses memory."""
        return self.kind in (OrderKind.LOAD, OrderKind.LOAD_ADAPTER)


@attrs.frozen
class Reservation:
    """Memory reserved for one replica."""

    replica_id: str
    target: Target
    memory_mib: int
    state: ReservationState
    orders: tuple[IssuedOrder, ...] = ()


@attrs.frozen
class ServerRecord:
    """The persisted state of one server."""

    epoch: int
    # Unique per write; shows whether a write took effect whose answer was lost.
    token: str = ""
    # The boot id whose ramp is over; empty while the server counts as cold.
    warm_boot_id: str = ""
    reservations: tuple[Reservation, ...] = ()

    @property
    def reserved_mib(self) -> int:
        """Return the total memory of all reservations."""
        return sum(entry.memory_mib for entry in self.reservations)

    def find(self, target: Target) -> Reservation | None:
        """Return the reservation of a target; a server has at most one."""
        return next((r for r in self.reservations if r.target == target), None)

    def with_reservation(self, added: Reservation) -> ServerRecord:
        """Return the record with one more reservation."""
        return attrs.evolve(self, reservations=(*self.reservations, added))

    def with_replaced(self, changed: Reservation) -> ServerRecord:
        """Return the record with one reservation replaced."""
        kept = tuple(
            changed if r.replica_id == changed.replica_id else r
            for r in self.reservations
        )
        return attrs.evolve(self, reservations=kept)

    def without_replicas(self, replica_ids: set[str]) -> ServerRecord:
        """Return the record without the reservations of some replicas."""
        kept = tuple(r for r in self.reservations if r.replica_id not in replica_ids)
        return attrs.evolve(self, reservations=kept)

    def with_fences(self, revision: int) -> ServerRecord:
        """Return the record as read at a revision, with missing fences filled in."""
        return attrs.evolve(
            self,
            reservations=tuple(
                attrs.evolve(
                    r,
                    orders=tuple(
                        attrs.evolve(o, fence=o.fence or revision) for o in r.orders
                    ),
                )
                for r in self.reservations
            ),
        )


@attrs.define
class _Absence:
    """Consecutive reports without a replica."""

    since: float
    reports: int = 0


class ServerObservations:
    """What the owner has observed of one server, in addition to its record."""

    def __init__(self) -> None:
        self.report: ServerReport | None = None
        self.report_at = float("-inf")
        self.is_unreachable = False
        # A server that reports a lower fence than before lost it in a restart, so a
        # late order could be accepted. Its fence is not relied on any more.
        self.is_fence_lost = False
        self._former_boot_ids: set[str] = set()
        self._former_boot_reports = _Absence(0.0)
        self._reappearing_boot_id = ""
        self._seen_replicas: set[str] = set()
        self._result_by_order: dict[str, OrderResult] = {}
        self._dropped_orders: set[str] = set()
        self._settled_at_by_order: dict[str, float] = {}
        self._absence_by_replica: dict[str, _Absence] = {}

    def reported_states(self) -> dict[str, ReplicaState]:
        """Return the state of each replica in the last report."""
        if self.report is None:
            return {}
        return {r.replica_id: r.state for r in self.report.replicas}

    def is_loaded(self, replica_id: str) -> bool:
        """Return whether the replica is loaded in the last report."""
        return self.reported_states().get(replica_id) is ReplicaState.LOADED

    def was_seen(self, replica_id: str) -> bool:
        """Return whether any report contained the replica."""
        return replica_id in self._seen_replicas

    def record_result(self, order_id: str, result: OrderResult, now: float) -> None:
        """Record the result of sending an order; a lost answer settles nothing."""
        if result is not OrderResult.LOST:
            self._result_by_order[order_id] = result
            self._settled_at_by_order.setdefault(order_id, now)

    def record_dropped_order(self, order_id: str, now: float) -> None:
        """Record that an order was abandoned unsent, through no fault of the server."""
        self._dropped_orders.add(order_id)
        self.record_result(order_id, OrderResult.NOT_SENT, now)

    def accept_report(self, report: ServerReport, now: float) -> bool:
        """Store a report; return False for an outdated one."""
        previous = self.report
        if previous is not None:
            if previous.boot_id != report.boot_id:
                if not self._accepts_boot(report, now):
                    return False
                self._former_boot_ids.discard(report.boot_id)
                self._former_boot_ids.add(previous.boot_id)
                self.is_fence_lost |= report.highest_fence < previous.highest_fence
            elif now - report.age_s < self.report_at:
                return False
        self._reappearing_boot_id = ""
        self.report = report
        self.report_at = now - report.age_s
        self.is_unreachable = False
        self._seen_replicas.update(r.replica_id for r in report.replicas)
        return True

    def _accepts_boot(self, report: ServerReport, now: float) -> bool:
        """Return whether to accept a report with another boot id.

        A boot id that was replaced before has ended, unless the report that replaced
        it was the outdated one. In that case reports with the earlier boot id keep
        coming, without any from the other one.
        """
        if report.boot_id not in self._former_boot_ids:
            return True
        if self._reappearing_boot_id != report.boot_id:
            self._reappearing_boot_id = report.boot_id
            self._former_boot_reports = _Absence(now)
        self._former_boot_reports.reports += 1
        return (
            self._former_boot_reports.reports >= ABSENCE_REPORTS
            and now - self._former_boot_reports.since >= ABSENCE_SPAN_S
        )

    def update_absences(
        self,
        record: ServerRecord,
        checks_fencing: bool,
        is_sender_gone: Callable[[IssuedOrder], bool],
        now: float,
    ) -> None:
        """Update the absence of each reserved replica with the last report."""
        reported_states = self.reported_states()
        for entry in record.reservations:
            settled_at = self._settled_at(entry, checks_fencing, is_sender_gone, now)
            if entry.replica_id in reported_states or settled_at is None:
                self._absence_by_replica.pop(entry.replica_id, None)
            elif self.report_at > settled_at or not entry.orders:
                absence = self._absence_by_replica.setdefault(
                    entry.replica_id, _Absence(now)
                )
                absence.reports += 1

    def may_release(self, entry: Reservation, checks_fencing: bool, now: float) -> bool:
        """Return whether the reservation can no longer use memory (R2)."""
        reported_state = self.reported_states().get(entry.replica_id)
        if reported_state is ReplicaState.FAILED:
            return True
        if reported_state is not None:
            return False
        if checks_fencing and self._is_fenced_off(entry):
            return True
        loads = [o for o in entry.orders if o.is_load]
        if loads and all(
            self._result_by_order.get(o.order_id) in _NOT_EXECUTED for o in loads
        ):
            return True
        absence = self._absence_by_replica.get(entry.replica_id)
        return (
            absence is not None
            and absence.reports >= ABSENCE_REPORTS
            and now - absence.since >= ABSENCE_SPAN_S
        )

    def _is_fenced_off(self, entry: Reservation) -> bool:
        if self.report is None or self.is_fence_lost:
            return False
        unload_fences = [o.fence for o in entry.orders if not o.is_load]
        load_fences = [o.fence for o in entry.orders if o.is_load]
        return (
            entry.state is ReservationState.RELEASING
            and bool(unload_fences)
            and max(load_fences, default=0) < min(unload_fences)
            and self.report.highest_fence >= max(unload_fences)
        )

    def has_failed(self, entry: Reservation) -> bool:
        """Return whether a load failed, so that another server should be tried."""
        if self.reported_states().get(entry.replica_id) is ReplicaState.FAILED:
            return True
        results = {
            self._result_by_order.get(order.order_id)
            for order in entry.orders
            if order.order_id not in self._dropped_orders
        }
        return bool(results & _NOT_EXECUTED)

    def has_vanished(self, entry: Reservation) -> bool:
        """Return whether a loaded replica disappeared without an order."""
        return (
            entry.state is not ReservationState.RELEASING
            and self.reported_states().get(entry.replica_id) is None
            and (entry.replica_id in self._seen_replicas or not entry.orders)
        )

    def drop_reservation(self, entry: Reservation) -> None:
        """Drop the state kept for a released reservation."""
        self._absence_by_replica.pop(entry.replica_id, None)
        self._seen_replicas.discard(entry.replica_id)
        for order in entry.orders:
            self._result_by_order.pop(order.order_id, None)
            self._settled_at_by_order.pop(order.order_id, None)
            self._dropped_orders.discard(order.order_id)

    def _settled_at(
        self,
        entry: Reservation,
        checks_fencing: bool,
        is_sender_gone: Callable[[IssuedOrder], bool],
        now: float,
    ) -> float | None:
        """Return since when no load order of a reservation is open; None if one is.

        Unload orders are ignored: they name one replica id and use no memory.
        """
        latest = float("-inf")
        for order in entry.orders:
            if not order.is_load:
                continue
            if self._is_settled(entry, order, checks_fencing) or is_sender_gone(order):
                self._settled_at_by_order.setdefault(order.order_id, now)
            settled_at = self._settled_at_by_order.get(order.order_id)
            if settled_at is None:
                return None
            latest = max(latest, settled_at)
        return latest

    def _is_settled(
        self, entry: Reservation, order: IssuedOrder, checks_fencing: bool
    ) -> bool:
        if entry.replica_id in self._seen_replicas:
            return True
        return (
            checks_fencing
            and not self.is_fence_lost
            and self.report is not None
            and self.report.highest_fence > order.fence > 0
        )
