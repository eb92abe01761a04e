"""Routing of the product's own front end around servers that leave or pause."""

from __future__ import annotations

import attrs

from siskinspool.machines.routing_messages import CallAnswered, CallDispatched
from siskinspool.server_signals.observations import ServerStart

from .builders_routing import RoutingHarness, call, report, slots
from .builders_signals import answer, leaving, pause


def start_of(harness: RoutingHarness, call_id: str) -> ServerStart:
    """Return the start of the server that a call was dispatched to."""
    return harness.dispatched()[call_id].start


def test_leaving_server_gets_no_call_until_its_next_start() -> None:
    """Guards against calls to a server that says that it is leaving."""
    harness = RoutingHarness()
    harness.make_ready("s1")
    harness.send(call("c0"))
    start = start_of(harness, "c0")
    harness.send(CallAnswered(leaving(start, harness.now)))
    assert not any(isinstance(m, CallDispatched) for m in harness.send(call("c1")))
    harness.send(report("s1", boot_id="b2"), slots("s1", boot_id="b2"))
    # A late answer of the earlier start.
    harness.send(CallAnswered(leaving(start, harness.now)))
    harness.send(call("c2"))
    assert start_of(harness, "c2").boot_id == "b2"


def test_waiting_calls_follow_a_pause_one_by_one() -> None:
    """Guards against a queue that is sent at once, or never, after a pause."""
    harness = RoutingHarness()
    harness.make_ready("s1", "s2")
    for number in range(2):
        harness.send(call(f"c{number}"))
    for server_id in ("s1", "s2"):
        start = attrs.evolve(start_of(harness, "c0"), server_id=server_id)
        harness.send(CallAnswered(pause(start, harness.now, 1.0)))
    for number in range(2, 6):
        harness.send(call(f"c{number}"))
    harness.advance(0.99)
    assert len(harness.dispatched()) == 2
    harness.advance(0.45)
    assert 3 <= len(harness.dispatched()) <= 4
    tried = start_of(harness, list(harness.dispatched())[-1])
    harness.send(CallAnswered(answer(tried, harness.now)))
    assert len(harness.dispatched()) > 4
