"""Sending of orders to servers and reading of their reports.

`ServerControl` is the interface to a platform's calls, and `OrdersTask` owns it. Each
call runs in a greenlet of its own, so a silent server does not delay other servers.
A call that fails is followed by a check of the path to its server, since an instance
without requests of its own would not notice that it has lost its paths.
"""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from collections.abc import Callable

import gevent

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.task import Task
from ..links.server_link import ServerLink
from ..server_signals.observations import Observation, ServerStart
from ..telemetry.logs import log_event
from .messages import (
    ORDERS_TASK,
    ROUTING_TASK,
    AnswerHeadReceived,
    HoldingsRead,
    LeadershipHeld,
    LeadershipLost,
    OrderEnded,
    OrderResult,
    ReadHoldings,
    ServerOrder,
)
from .servers import Holdings

logger = logging.getLogger(__name__)


class SignalListener(ABC):
    """Is told what the heads of servers' answers to orders and reads state."""

    @abstractmethod
    def record_signals(self, stated: Observation) -> None:
        """Record what the head of an answer states; must not block."""


class ServerControl(ABC):
    """A platform's calls to its servers; no method raises."""

    _listener: SignalListener | None = None

    @abstractmethod
    def send_order(
        self,
        order: ServerOrder,
        holder: str,
        may_send: Callable[[], bool] = lambda: True,
    ) -> OrderResult:
        """Send an order with an instance as its holder; return the result.

        ``may_send`` is asked right before the order is sent.
        """

    @abstractmethod
    def read_holdings(self, server: ServerStart) -> Holdings | None:
        """Return a server's report, or None if it cannot be read."""

    def listen(self, listener: SignalListener) -> None:
        """Tell a listener from now on what the heads of answers state."""
        self._listener = listener

    def report_signals(self, stated: Observation) -> None:
        """Tell the listener, if there is one, what the head of an answer states."""
        if self._listener is not None:
            self._listener.record_signals(stated)


class OrdersTask(Task, SignalListener):
    """Carries out the calls of the placement decision; task name ``orders``."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        control: ServerControl,
        link: ServerLink,
    ) -> None:
        """Initialize with the calls, and the link that knows the paths to servers."""
        super().__init__(ORDERS_TASK, dispatcher, clock)
        self._control = control
        # Of the present leadership term; None while this instance does not lead.
        self._epoch: int | None = None
        self._link = link
        control.listen(self)

    def handle(self, incoming: Incoming) -> None:
        """Start one call, or record the beginning or end of a leadership term."""
        match incoming.message:
            case LeadershipHeld(epoch):
                self._epoch = epoch
            case LeadershipLost():
                self._epoch = None
            case ServerOrder() as order:
                gevent.spawn(self._order, incoming.sender, order)
            case ReadHoldings() as read:
                gevent.spawn(self._read, incoming.sender, read)

    def record_signals(self, stated: Observation) -> None:
        """Pass what a server states on to the routing."""
        routing = self.dispatcher.address(ROUTING_TASK)
        received = AnswerHeadReceived("", stated)
        self.dispatcher.send(self.address, Outgoing(routing, received))

    def _order(self, sender: Address, order: ServerOrder) -> None:
        # The connection may take longer than the term lasts.
        result = self._control.send_order(
            order, self.dispatcher.instance_id, lambda: self._epoch == order.epoch
        )
        self._answer(sender, OrderEnded(order, result))
        if result is OrderResult.NOT_SENT:
            self._check_path(order.start)

    def _read(self, sender: Address, read: ReadHoldings) -> None:
        holdings = self._control.read_holdings(read.start)
        self._answer(sender, HoldingsRead(read.server_id, holdings))
        if holdings is None:
            self._check_path(read.start)

    def _check_path(self, start: ServerStart) -> None:
        """Let the link find out whether this instance has lost its path to a server."""
        if self._link.has_lost_path(start):
            log_event(logger, logging.INFO, "path_lost", server=start.server_id)

    def _answer(self, sender: Address, message: Message) -> None:
        self.dispatcher.send(self.address, Outgoing(sender, message))
