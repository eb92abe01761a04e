"""The orders that this process has issued.

An order is sent only after the write of the record that contains it is confirmed. The
write of an abandoned decision may still take effect; its orders are then in the record
but were never sent. The ledger distinguishes them from sent ones, across all ownerships
of this process. An order that it does not know is treated as sent with unknown outcome.
"""

from __future__ import annotations

import itertools
from collections import OrderedDict
from typing import Final

from .messages import OrderKind, OrderResult, OrderSettled, SendOrder
from .reservations import IssuedOrder, Target

# Far more than can be open at once. Dropped entries are treated as unknown, which is
# safe.
_LIMIT: Final = 20_000


class OrderLedger:
    """The unsent, open and settled orders of this process."""

    def __init__(self, instance_id: str, incarnation: str) -> None:
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._sequence = itertools.count(1)
        self._unsent: OrderedDict[str, SendOrder] = OrderedDict()
        self._results: OrderedDict[str, OrderResult] = OrderedDict()
        self._open: set[str] = set()

    def new_replica_id(self) -> str:
        """Return a new replica id, unique across all instances and processes."""
        return f"{self._instance_id}:{self._incarnation}:r{next(self._sequence)}"

    def create(
        self, kind: OrderKind, server_id: str, replica_id: str, target: Target
    ) -> tuple[IssuedOrder, SendOrder]:
        """Return a new order in the form for the record and in the form for sending."""
        order_id = f"{self._instance_id}:{self._incarnation}:o{next(self._sequence)}"
        issued = IssuedOrder(order_id, kind, self._instance_id, self._incarnation)
        order = SendOrder(
            order_id, server_id, kind, replica_id, target.model, target.adapter, 0
        )
        self._unsent[order_id] = order
        if len(self._unsent) > _LIMIT:
            self._unsent.popitem(last=False)
        return issued, order

    def mark_sent(self, order_id: str) -> None:
        """Mark an order as being sent."""
        self._unsent.pop(order_id, None)
        self._open.add(order_id)

    def record_result(self, order_id: str, result: OrderResult) -> None:
        """Record the result of sending an order."""
        self._open.discard(order_id)
        self._results[order_id] = result
        if len(self._results) > _LIMIT:
            self._results.popitem(last=False)

    def is_own(self, issued: IssuedOrder) -> bool:
        """Return whether this process issued an order."""
        return (issued.sender, issued.incarnation) == (
            self._instance_id,
            self._incarnation,
        )

    def is_open(self, order_id: str) -> bool:
        """Return whether an order of this process is being sent."""
        return order_id in self._open

    def result(self, issued: IssuedOrder) -> OrderResult | None:
        """Return the result of an order of this process; None if it is unknown."""
        return self._results.get(issued.order_id) if self.is_own(issued) else None

    def is_dropped(self, issued: IssuedOrder) -> bool:
        """Return whether a recorded order of this process will never be sent."""
        return issued.order_id in self._unsent

    def discard_unsent(self) -> list[OrderSettled]:
        """Settle all unsent orders as not sent; return their results."""
        unsent = [
            OrderSettled(
                order.order_id, order.server_id, order.replica_id, OrderResult.NOT_SENT
            )
            for order in self._unsent.values()
        ]
        self._unsent.clear()
        for settled in unsent:
            self.record_result(settled.order_id, settled.result)
        return unsent
