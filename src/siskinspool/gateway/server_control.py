"""Sending of orders to servers and reading of their reports.

`ServerControl` is the interface to a platform's calls, and `OrdersTask` owns it. Each
call runs in a greenlet of its own, so a silent server does not delay other servers.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

import gevent

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.task import Task
from .messages import (
    ORDERS_TASK,
    HoldingsRead,
    OrderEnded,
    OrderResult,
    ReadHoldings,
    ServerOrder,
)
from .servers import Holdings


class ServerControl(ABC):
    """A platform's calls to its servers; neither method raises."""

    @abstractmethod
    def send_order(self, order: ServerOrder, holder: str) -> OrderResult:
        """Send an order in the name of an instance."""

    @abstractmethod
    def read_holdings(self, server_id: str, host: str, port: int) -> Holdings | None:
        """Return a server's report, or None if it cannot be read."""


class OrdersTask(Task):
    """Carries out the calls of the placement decision; task name ``orders``."""

    def __init__(
        self, dispatcher: Dispatcher, clock: Clock, control: ServerControl
    ) -> None:
        super().__init__(ORDERS_TASK, dispatcher, clock)
        self._control = control

    def handle(self, incoming: Incoming) -> None:
        """Start one call."""
        match incoming.message:
            case ServerOrder() as order:
                gevent.spawn(self._order, incoming.sender, order)
            case ReadHoldings() as read:
                gevent.spawn(self._read, incoming.sender, read)

    def _order(self, sender: Address, order: ServerOrder) -> None:
        result = self._control.send_order(order, self.dispatcher.instance_id)
        self._answer(sender, OrderEnded(order, result))

    def _read(self, sender: Address, read: ReadHoldings) -> None:
        holdings = self._control.read_holdings(read.server_id, read.host, read.port)
        self._answer(sender, HoldingsRead(read.server_id, holdings))

    def _answer(self, sender: Address, message: Message) -> None:
        self.dispatcher.send(self.address, Outgoing(sender, message))
