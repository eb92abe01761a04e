"""Orders of a process that was paused between the decision and the sending."""

from __future__ import annotations

import attrs

from siskinspool.core.clock import Clock
from siskinspool.gateway.leadership_term import (
    ORDER_TIMEOUT_S,
    ORDER_TRANSFER_S,
    LeadershipTerm,
)
from siskinspool.gateway.messages import OrderKind, OrderResult, ServerOrder
from siskinspool.platform.server_calls import PlatformServerControl

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
    assert result is OrderResult.NOT_SENT
    assert b"".join(server.requests) == b""


def test_order_is_sent_within_the_term() -> None:
    """Guards against a check that withholds orders of the present leader."""
    clock = SteppedClock(TERM_END_S - ORDER_TRANSFER_S - 0.01)
    with scripted_server(answer(202, b"{}")) as server:
        result = PlatformServerControl(clock).send_order(order(server.port), "g1")
    assert result is OrderResult.ACCEPTED
    assert b'"fence": 3' in server.requests[0]
