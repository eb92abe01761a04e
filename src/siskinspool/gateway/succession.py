"""How long a new leader waits before its first order.

The orders of two leaders to one server must be at least the lease time apart. A new
leader therefore has to know when another may have ordered last. What it has seen of
that is true only for a time, and only within one era of the store: while it was cut
off, stopped or not running, another may have led and ended, and a return of the store
from an older copy may have removed all traces of it.

So a leader orders at once only if no other can have ordered in between: it has held the
key until a moment ago, an earlier process on its machine has held it without a break
and was allowed to order, or the system is starting for the first time. Otherwise it
waits; less long if it has seen the session of the last leader run out, since that
leader gave no order meanwhile.
"""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum
from typing import Final

import attrs

from ..store.revision import era_of
from .bounds import OrderBounds

# Allows for the network delay of the last holder's last order.
WAIT_MARGIN_S: Final = 0.1
# At the first start of the system all instances start within a second. Who has not led
# by then may have missed a whole term of another.
FIRST_START_S: Final = 2.0


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
    # The store may have returned since the last holder took the key, which may still
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
    # The key became free while changes may have been missed.
    _is_end_uncertain: bool = False
    # When this instance last had the key and was allowed to order.
    _held_at: float = float("-inf")

    def record_other(self, instance_id: str, era: int) -> None:
        """Record that another instance has taken the key in an era."""
        self.last_holder_id = instance_id
        self._seen_era = era
        self._is_end_uncertain = False

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

    def was_held_lately(self, now: float) -> bool:
        """Return whether any successor of this instance would still have to wait."""
        return now - self._held_at < self.wait_s(Basis.EXPIRED)

    def basis(
        self,
        era: int,
        member_ids: Collection[str],
        now: float,
        *,
        follows_predecessor: bool,
    ) -> Basis:
        """Return what is known when this instance has got the key in an era."""
        if follows_predecessor:
            return Basis.PREDECESSOR
        if self.last_holder_id is None and self.was_held_lately(now):
            return Basis.HELD_LATELY
        is_starting = now - self.started_at < FIRST_START_S
        if self._seen_era is None and self.first_start and is_starting:
            return Basis.FIRST_START
        if (self._seen_era or 0) < era:
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
