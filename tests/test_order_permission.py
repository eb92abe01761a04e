"""Orders of a process that was paused between the decision and the sending."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import gevent
from gevent.event import Event

from siskinspool.core.clock import Clock
from siskinspool.core.dispatcher import Dispatcher
from siskinspool.core.message import Address, Incoming, Message
from siskinspool.gateway.leadership_term import (
    ORDER_TIMEOUT_S,
    ORDER_TRANSFER_S,
    LeadershipTerm,
)
from siskinspool.gateway.messages import (
    LeadershipHeld,
    LeadershipLost,
    OrderKind,
    OrderResult,
    ServerOrder,
)
from siskinspool.gateway.server_control import OrdersTask, ServerControl
from siskinspool.gateway.servers import Holdings
from siskinspool.links.server_link import HttpServerLink
from siskinspool.platform.server_calls import PlatformServerControl
from siskinspool.server_signals.observations import ServerStart

from .builders_scripted_server import answer, scripted_server

TERM_END_S = 10.0


@attrs.define
class SteppedClock(Clock):
    """A clock that a test sets."""

    seconds: float

    def now(self) -> float:
        """Return the set time."""
        return self.seconds


def order(port: int) -> ServerOrder:
    """Return an order that was decided with just enough of the term left."""
    term = LeadershipTerm()
    term.begin(3, from_s=0.0)
    term.extend(TERM_END_S, detached=False)
    assert term.allows_orders(TERM_END_S - ORDER_TIMEOUT_S - 0.01)
    permit = term.permit()
    return ServerOrder(
        server_id="s1",
        host="127.0.0.1",
        port=port,
        kind=OrderKind.LOAD,
        model="m0",
        adapter="",
        expected_count=0,
        epoch=permit.epoch,
        until_s=permit.until_s,
    )


def test_order_is_not_sent_after_a_pause_that_ended_the_term() -> None:
    """Guards against orders of a former leader that was paused for some seconds."""
    clock = SteppedClock(TERM_END_S + 2.0)
    with scripted_server(answer(202, b"{}")) as server:
        result = PlatformServerControl(clock).send_order(order(server.port), "g1")
    assert result is OrderResult.WITHHELD
    assert b"".join(server.requests) == b""


def test_order_is_sent_within_the_term() -> None:
    """Guards against a check that withholds orders of the present leader."""
    clock = SteppedClock(TERM_END_S - ORDER_TRANSFER_S - 0.01)
    with scripted_server(answer(202, b"{}")) as server:
        result = PlatformServerControl(clock).send_order(order(server.port), "g1")
    assert result is OrderResult.ACCEPTED
    assert b'"fence": 3' in server.requests[0]


class SlowControl(ServerControl):
    """Calls to a server to which a connection takes long."""

    def __init__(self) -> None:
        self.connected = Event()
        self.results: list[OrderResult] = []

    def send_order(
        self,
        order: ServerOrder,
        holder: str,
        may_send: Callable[[], bool] = lambda: True,
    ) -> OrderResult:
        self.connected.wait()
        result = OrderResult.ACCEPTED if may_send() else OrderResult.NOT_SENT
        self.results.append(result)
        return result

    def read_holdings(self, server: ServerStart) -> Holdings | None:
        raise NotImplementedError


def results_of_slow_order(*messages: Message) -> list[OrderResult]:
    """Return how an order ends that is given before some messages are handled."""
    dispatcher = Dispatcher("g1")
    control = SlowControl()
    task = OrdersTask(dispatcher, SteppedClock(1.0), control, HttpServerLink())
    sender = Address("g1", "leadership")
    given: tuple[Message, ...] = (LeadershipHeld(3, 0.0), order(port=1), *messages)
    for message in given:
        task.post(Incoming(sender, message))
    task.start()
    gevent.sleep(0.01)
    control.connected.set()
    gevent.sleep(0.01)
    task.stop()
    return control.results


def test_order_under_way_is_not_sent_after_the_end_of_its_term() -> None:
    """Guards against orders of two holders within the bound.

    A stopping leader deletes its key at once, and its successor counts from there.
    """
    ended = LeadershipLost()
    assert results_of_slow_order(ended) == [OrderResult.NOT_SENT]
    begun = LeadershipHeld(5, 0.0)
    assert results_of_slow_order(ended, begun) == [OrderResult.NOT_SENT]
    assert results_of_slow_order() == [OrderResult.ACCEPTED]
