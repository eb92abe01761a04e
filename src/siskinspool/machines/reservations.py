"""The record of one server: reservations of memory and the orders issued for them.

A reservation is written before its load order is sent and removed only when the load
can no longer take memory (R2). `ServerRecord` is what the key-value service keeps.
`ServerObservations` is what the present owner learns about the server: reports, results of
orders, absences. A reservation may be released

- at once, if its load order certainly was not carried out, or the replica failed;
- once a server that checks fencing shows the fence of a later unload order and not the
  replica, since the server then refuses the load order for good;
- otherwise once its load order is settled (answered, seen in a report, fenced off, or
  its sender is gone) and later reports have left the replica out for a while.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Final

import attrs

from .messages import OrderKind, OrderResult, ReplicaState, ServerReport

# One delayed report of a paused reporter must not free memory; reports come every
# 0.5 s, so a live reporter contradicts it within this span.
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
    """What the owner has decided about a replica."""

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
    """An order whose outcome the record does not hold."""

    order_id: str
    kind: OrderKind
    sender: str
    incarnation: str
    # Revision of the record that first held the order; 0 inside that very write.
    fence: int = 0

    @property
    def is_load(self) -> bool:
        """Return whether the order takes memory."""
        return self.kind in (OrderKind.LOAD, OrderKind.LOAD_ADAPTER)


@attrs.frozen
class Reservation:
    """Memory set aside for one replica."""

    replica_id: str
    target: Target
    memory_mib: int
    state: ReservationState
    orders: tuple[IssuedOrder, ...] = ()


@attrs.frozen
class ServerRecord:
    """The persisted state of one server."""

    epoch: int
    # Unique per write; resolves a write whose answer was lost.
    token: str = ""
    # The boot whose ramp is over; empty while the server counts as cold.
    warm_boot_id: str = ""
    reservations: tuple[Reservation, ...] = ()

    @property
    def reserved_mib(self) -> int:
        """Return the memory of all reservations."""
        return sum(entry.memory_mib for entry in self.reservations)

    def find(self, target: Target) -> Reservation | None:
        """Return the reservation of a target; a server has at most one."""
        return next((r for r in self.reservations if r.target == target), None)

    def with_reservation(self, added: Reservation) -> ServerRecord:
        """Return the record with one more reservation."""
        return attrs.evolve(self, reservations=(*self.reservations, added))

    def with_replaced(self, changed: Reservation) -> ServerRecord:
        """Return the record with one reservation exchanged."""
        kept = tuple(
            changed if r.replica_id == changed.replica_id else r
            for r in self.reservations
        )
        return attrs.evolve(self, reservations=kept)

    def without_replicas(self, replica_ids: set[str]) -> ServerRecord:
        """Return the record with reservations released."""
        kept = tuple(r for r in self.reservations if r.replica_id not in replica_ids)
        return attrs.evolve(self, reservations=kept)

    def with_fences(self, revision: int) -> ServerRecord:
        """Return the record as read at a revision, with its own fences filled in."""
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
    """Reports in a row that left a replica out."""

    since: float
    reports: int = 0


class ServerObservations:
    """What the owner knows about one server beyond its record; private state."""

    def __init__(self) -> None:
        self.report: ServerReport | None = None
        self.report_at = float("-inf")
        self.is_unreachable = False
        # A server that shows a lower fence than before has lost it with a restart,
        # so that a late order could pass; its fence is not relied on any more.
        self.is_fence_lost = False
        self._former_boot_ids: set[str] = set()
        self._rival = _Absence(0.0)
        self._rival_boot_id = ""
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
        """Return whether the last report shows the replica loaded."""
        return self.reported_states().get(replica_id) is ReplicaState.LOADED

    def was_seen(self, replica_id: str) -> bool:
        """Return whether any report has shown the replica."""
        return replica_id in self._seen_replicas

    def record_result(self, order_id: str, result: OrderResult, now: float) -> None:
        """Take in how sending an order ended; a lost answer settles nothing."""
        if result is not OrderResult.LOST:
            self._result_by_order[order_id] = result
            self._settled_at_by_order.setdefault(order_id, now)

    def record_dropped_order(self, order_id: str, now: float) -> None:
        """Take in that an order was given up unsent, for no fault of the server."""
        self._dropped_orders.add(order_id)
        self.record_result(order_id, OrderResult.NOT_SENT, now)

    def accept_report(self, report: ServerReport, now: float) -> bool:
        """Take in a report; return False for a late one."""
        last = self.report
        if last is not None:
            if last.boot_id != report.boot_id:
                if not self._is_boot_plausible(report, now):
                    return False
                self._former_boot_ids.discard(report.boot_id)
                self._former_boot_ids.add(last.boot_id)
                self.is_fence_lost |= report.highest_fence < last.highest_fence
            elif now - report.age_s < self.report_at:
                return False
        self._rival_boot_id = ""
        self.report = report
        self.report_at = now - report.age_s
        self.is_unreachable = False
        self._seen_replicas.update(r.replica_id for r in report.replicas)
        return True

    def _is_boot_plausible(self, report: ServerReport, now: float) -> bool:
        """Return whether a report of another boot is to be believed.

        A boot that was seen before is over, unless the report that replaced it was
        the late one. Then reports of that boot go on without contradiction.
        """
        if report.boot_id not in self._former_boot_ids:
            return True
        if self._rival_boot_id != report.boot_id:
            self._rival_boot_id = report.boot_id
            self._rival = _Absence(now)
        self._rival.reports += 1
        return (
            self._rival.reports >= ABSENCE_REPORTS
            and now - self._rival.since >= ABSENCE_SPAN_S
        )

    def update_absences(
        self,
        record: ServerRecord,
        checks_fencing: bool,
        is_gone: Callable[[IssuedOrder], bool],
        now: float,
    ) -> None:
        """Count the last report for or against each reservation."""
        shown = self.reported_states()
        for entry in record.reservations:
            settled_at = self._settled_at(entry, checks_fencing, is_gone, now)
            if entry.replica_id in shown or settled_at is None:
                self._absence_by_replica.pop(entry.replica_id, None)
            elif self.report_at > settled_at or not entry.orders:
                absence = self._absence_by_replica.setdefault(
                    entry.replica_id, _Absence(now)
                )
                absence.reports += 1

    def may_release(self, entry: Reservation, checks_fencing: bool, now: float) -> bool:
        """Return whether the reservation can no longer take memory (R2)."""
        shown = self.reported_states().get(entry.replica_id)
        if shown is ReplicaState.FAILED:
            return True
        if shown is not None:
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
        unloads = [o.fence for o in entry.orders if not o.is_load]
        loads = [o.fence for o in entry.orders if o.is_load]
        return (
            entry.state is ReservationState.RELEASING
            and bool(unloads)
            and max(loads, default=0) < min(unloads)
            and self.report.highest_fence >= max(unloads)
        )

    def has_failed(self, entry: Reservation) -> bool:
        """Return whether a load ended badly, so that another server should try."""
        if self.reported_states().get(entry.replica_id) is ReplicaState.FAILED:
            return True
        results = {
            self._result_by_order.get(order.order_id)
            for order in entry.orders
            if order.order_id not in self._dropped_orders
        }
        return bool(results & _NOT_EXECUTED)

    def has_vanished(self, entry: Reservation) -> bool:
        """Return whether a replica that was there is gone without an order."""
        return (
            entry.state is not ReservationState.RELEASING
            and self.reported_states().get(entry.replica_id) is None
            and (entry.replica_id in self._seen_replicas or not entry.orders)
        )

    def drop_reservation(self, entry: Reservation) -> None:
        """Drop what is kept for a released reservation."""
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
        is_gone: Callable[[IssuedOrder], bool],
        now: float,
    ) -> float | None:
        """Return since when no load order of a reservation is open, else None.

        Unload orders do not count: they name one replica id and take no memory.
        """
        latest = float("-inf")
        for order in entry.orders:
            if not order.is_load:
                continue
            if self._is_settled(entry, order, checks_fencing) or is_gone(order):
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
