"""How long a new leader waits before its first order.

The orders of two leaders to one server must be at least the lease time apart. A new
leader therefore has to know when another may have ordered last. What it has seen of
that is true only for a time, and only within one era of the store: while it was cut
off, stopped or not running, another may have led and ended, and a return of the store
from an older copy may have removed all traces of it.

So a leader orders at once only if no other can have ordered in between: it has held the
key until a moment ago, an earlier process on its machine could order and has held it
without a break, or the system is starting for the first time. Otherwise it waits; less
long if it has seen the session of the last leader run out, since that leader gave no
order meanwhile.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum
from typing import Final

import attrs

from ..store.revision import era_of
from .bounds import OrderBounds
from .leader_record import LeaderRecord

# Allows for the network delay of the last holder's last order.
WAIT_MARGIN_S: Final = 0.1
# At the first start of the system all instances start within a second. Who has not led
# by then may have missed a whole term of another.
FIRST_START_S: Final = 2.0
FIRST_START_SPREAD_S: Final = 1.0


class Basis(StrEnum):
    """What a new leader knows about the orders of others."""

    # Nobody has led before.
    FIRST_START = "first_start"
    # An earlier process on this machine has held the key until now.
    PREDECESSOR = "predecessor"
    # This process has held the key until a moment ago.
    HELD_LATELY = "held_lately"
    # The session of the last holder has run out.
    EXPIRED = "expired"
    # The last holder may have ordered until the key was free.
    UNKNOWN = "unknown"
    # The store may have returned since the last holder was elected, which may still
    # order.
    RETURNED = "returned"


@attrs.define(kw_only=True)
class Succession:
    """What this instance knows about the holders of the key; times in seconds."""

    orders: OrderBounds
    # A session ends between these times after its holder's last renewal.
    session_silence_s: float
    session_ttl_s: float
    # The whole system starts for the first time.
    first_start: bool
    started_at: float
    # The last holder that was seen, if it is another instance.
    last_holder_id: str | None = None
    # The era in which a holder was last seen; None if none was.
    _seen_era: int | None = None
    # Until then, orders of holders before the last one may be recent.
    _earlier_until: float = float("-inf")
    # The key became free while changes may have been missed.
    _is_end_uncertain: bool = False
    # When this instance last had the key and was allowed to order.
    _held_at: float = float("-inf")

    @property
    def first_start_over_at(self) -> float:
        """When no instance may take itself for the first leader any more."""
        if not self.first_start:
            return self.started_at
        return self.started_at + FIRST_START_S + FIRST_START_SPREAD_S

    def record_other(
        self, instance_id: str, revision: int, member_ids: Collection[str], now: float
    ) -> None:
        """Record that another instance holds the key.

        It may end before its first order; what it has to wait for then still counts.
        """
        if instance_id != self.last_holder_id:
            basis = self.basis(revision, member_ids, now, follows_predecessor=False)
            until = now + self.wait_s(basis)
            self._earlier_until = max(self._earlier_until, until)
        self.last_holder_id = instance_id
        self._seen_era = era_of(revision)
        self._is_end_uncertain = False

    def record_copied(self, instance_id: str, era: int) -> None:
        """Record that a return has brought back the key of another, of an earlier era.

        Others may have led since the copy was made.
        """
        self._is_end_uncertain = True
        if self._seen_era is None or self._seen_era < era:
            self.last_holder_id, self._seen_era = instance_id, era

    def record_end(self, era: int) -> None:
        """Record that the key has ended, whether its holder was seen or not."""
        if self._seen_era is None:
            self._seen_era = era
            self._is_end_uncertain = True

    def record_gap(self) -> None:
        """Record that holders may have come and gone unseen."""
        self._is_end_uncertain = True

    def record_held(self, epoch: int, at: float) -> None:
        """Record that this instance had the key, and could order, at a time."""
        self.last_holder_id = None
        self._seen_era = era_of(epoch)
        self._held_at = max(self._held_at, at)

    def record_fenced(self) -> None:
        """Record that another has ordered with a higher epoch number."""
        self._is_end_uncertain = True
        self._held_at = float("-inf")

    def was_held_lately(self, now: float) -> bool:
        """Return whether any successor of this instance would still have to wait."""
        return now - self._held_at < self.wait_s(Basis.EXPIRED)

    def basis(
        self,
        epoch: int,
        member_ids: Collection[str],
        now: float,
        *,
        follows_predecessor: bool,
    ) -> Basis:
        """Return what is known when this instance has got the key with an epoch."""
        if follows_predecessor:
            return Basis.PREDECESSOR
        if self.last_holder_id is None and self.was_held_lately(now):
            return Basis.HELD_LATELY
        if self._seen_era is None:
            is_starting = now - self.started_at < FIRST_START_S
            is_first = self.first_start and is_starting
            if is_first:
                return Basis.FIRST_START
            # A store of the first era has not returned.
            return Basis.RETURNED if era_of(epoch) else Basis.UNKNOWN
        if self._seen_era < era_of(epoch):
            return Basis.RETURNED
        # A holder that stops deletes the key while its session goes on.
        has_session = self.last_holder_id in member_ids
        if self.last_holder_id is None or has_session or self._is_end_uncertain:
            return Basis.UNKNOWN
        return Basis.EXPIRED

    def wait_s(self, basis: Basis) -> float:
        """Return how long the orders of another may still be recent.

        A holder that is cut off from the store may go on ordering where servers check
        epoch numbers; they refuse its orders after the first one of its successor.
        """
        lease_s = self.orders.lease_s
        match basis:
            case Basis.FIRST_START | Basis.PREDECESSOR | Basis.HELD_LATELY:
                return 0.0
            case Basis.EXPIRED if self.orders.epochs_checked:
                return max(lease_s - self.session_silence_s, 0.0) + WAIT_MARGIN_S
            case Basis.RETURNED if not self.orders.epochs_checked:
                # The last holder's session may not have run out yet.
                return lease_s + self.session_ttl_s
        return lease_s + (WAIT_MARGIN_S if self.orders.epochs_checked else 0.0)

    def wait_from_s(self, basis: Basis, now: float) -> float:
        """Return how long this instance has to wait if it has got the key now."""
        wait_s = self.wait_s(basis)
        return max(wait_s, self._earlier_until - now) if wait_s else 0.0

    def longest_wait_s(self, basis: Basis, now: float) -> float:
        """Return how long the orders of others may be recent after a write is sent.

        An unanswered write may take effect as long as the session lasts.
        """
        wait_s = self.wait_from_s(basis, now)
        return wait_s + self.session_ttl_s if wait_s else 0.0

    def remaining_s(self, predecessor: LeaderRecord, now: float) -> float:
        """Return how long an earlier process on this machine would still have to wait.

        If the machine has started anew, its clock has as well. The time since the write
        is then unknown, and what was left at the write counts.
        """
        has_restarted = now < predecessor.written_at_s
        since = predecessor.written_at_s if has_restarted else now
        left_s = max(predecessor.orders_from_s - since, 0.0)
        # The longest wait, if it had begun only now.
        return min(left_s, self.wait_s(Basis.RETURNED))
