"""Chooses the next call to the platform: order, rate and repeats."""

from __future__ import annotations

from typing import Final

import attrs

from ..gateway.token_bucket import TokenBucket
from .duty_messages import DutyOrder, DutyResult, UsageOrder

# Calls of the last holder may count in the same second, so not all of the rate is used.
RATE_PART: Final = 0.8
# A tenth of a second's calls may be sent at once.
BURST_S: Final = 0.1
MAX_PARALLEL: Final = 8
MAX_PENDING: Final = 1_000
# Delays before an order is sent again.
UNKNOWN_RETRY_S: Final = 0.5
NOT_SENT_RETRY_S: Final = 0.3
TOO_MANY_RETRY_S: Final = 1.0

_RETRY_S_BY_RESULT: Final = {
    DutyResult.UNKNOWN: UNKNOWN_RETRY_S,
    DutyResult.NOT_SENT: NOT_SENT_RETRY_S,
    DutyResult.TOO_MANY: TOO_MANY_RETRY_S,
}


@attrs.define
class _PendingOrder:
    order: DutyOrder
    # Not sent before this time.
    not_before_s: float


class DutyQueue:
    """Orders that wait for their call, one for each subject.

    A newer order replaces a waiting one of its subject. A subject has one call in
    flight at a time.
    """

    def __init__(self, calls_per_s: float, now: float) -> None:
        per_s = RATE_PART * calls_per_s
        self._bucket = TokenBucket.full(per_s, max(per_s * BURST_S, 1.0), now)
        self._pending_by_subject: dict[str, _PendingOrder] = {}
        self._in_flight_by_subject: dict[str, DutyOrder] = {}

    def __len__(self) -> int:
        return len(self._pending_by_subject)

    def put(self, order: DutyOrder, now: float) -> bool:
        """Add an order; return False if there are too many subjects."""
        known = self._pending_by_subject.get(order.subject)
        if known is None and len(self._pending_by_subject) >= MAX_PENDING:
            return False
        not_before_s = now if known is None else known.not_before_s
        self._pending_by_subject[order.subject] = _PendingOrder(order, not_before_s)
        return True

    def pop(self, now: float) -> DutyOrder | None:
        """Return an order that may be sent now, usage first; it is then in flight."""
        order = self._next_order(now)
        if order is None or not self._bucket.try_take(1, now):
            return None
        del self._pending_by_subject[order.subject]
        self._in_flight_by_subject[order.subject] = order
        return order

    def finish(
        self, order: DutyOrder, result: DutyResult, now: float, *, may_repeat: bool
    ) -> bool:
        """End a call; return whether the order is finished, or else sent again."""
        self._in_flight_by_subject.pop(order.subject, None)
        retry_s = _RETRY_S_BY_RESULT.get(result)
        if retry_s is None or not may_repeat:
            return True
        newer = self._pending_by_subject.get(order.subject)
        repeated = order if newer is None else newer.order
        self._pending_by_subject[order.subject] = _PendingOrder(repeated, now + retry_s)
        return False

    def clear(self) -> None:
        """Drop all waiting orders; calls in flight still end."""
        self._pending_by_subject.clear()

    def wake_at(self, now: float) -> float | None:
        """Return when an order may be sent next; None while there is none."""
        if len(self._in_flight_by_subject) >= MAX_PARALLEL:
            return None
        due = [item.not_before_s for item in self._waiting()]
        if not due:
            return None
        return max(min(due), now + self._bucket.wait_s(1, now))

    def _waiting(self) -> list[_PendingOrder]:
        return [
            item
            for subject, item in self._pending_by_subject.items()
            if subject not in self._in_flight_by_subject
        ]

    def _next_order(self, now: float) -> DutyOrder | None:
        if len(self._in_flight_by_subject) >= MAX_PARALLEL:
            return None
        due = [item for item in self._waiting() if item.not_before_s <= now]
        due.sort(key=lambda item: not isinstance(item.order, UsageOrder))
        return due[0].order if due else None
