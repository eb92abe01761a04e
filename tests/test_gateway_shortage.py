"""Accounts of models that requests ask for while no server has them ready."""

from __future__ import annotations

import pytest

from siskinspool.core.message import Message
from siskinspool.gateway.deadline_memory import DeadlineMemory
from siskinspool.gateway.messages import LeaderChanged, OrderResult, WantModel
from siskinspool.gateway.routing import Routing
from siskinspool.gateway.shortage import Shortages

from .builders_gateway import (
    assign,
    bounds,
    desired_state,
    engine,
    incoming,
    messages,
    server,
)
from .builders_placement_office import Office, orders


def test_requester_that_is_out_of_time_is_not_reachable() -> None:
    """Guards against loads for requesters who have left when the load ends."""
    shortages = Shortages()
    shortages.ask("m1", (11.0,), 100.0)
    shortages.ask("m1", (4.0, 11.0), 105.0)
    assert shortages.asked("m1") == 3
    assert shortages.reachable("m1", 108.0) == 3
    assert shortages.reachable("m1", 112.0) == 1
    ended = shortages.end("m1")
    assert ended is not None
    assert ended.since == 100.0
    assert shortages.asked("m1") == 0


def wants(found: list[Message]) -> list[WantModel]:
    return [message for message in found if isinstance(message, WantModel)]


def test_leader_hears_of_each_request_once() -> None:
    """Guards against a request that counts anew each time a model is asked for."""
    routing = Routing("g2", "a", bounds())

    def tell(message: Message, now: float) -> list[WantModel]:
        return wants(messages(routing.handle(incoming(message), now)))

    tell(desired_state(), 100.0)
    tell(server("s1", "m1"), 100.0)
    tell(LeaderChanged("g1"), 100.0)
    first = tell(assign("r1", reach_s=10.0, patience_s=10.0), 100.0)
    assert [want.new_reach_s for want in first] == [(10.0,)]
    tell(assign("r2", reach_s=10.0, patience_s=10.0), 100.1)
    again = wants(messages(routing.on_time(100.5)))
    assert [want.waiting for want in again] == [2]
    assert again[0].new_reach_s == pytest.approx((9.6,))
    later = wants(messages(routing.on_time(101.0)))
    assert [want.new_reach_s for want in later] == [()]
    # A new leader hears of all that wait.
    anew = tell(LeaderChanged("g3"), 101.0)
    assert {len(want.new_reach_s) for want in anew} == {2}


def test_later_attempt_is_not_expected_to_come_back() -> None:
    """Guards against loads for requesters who have been refused for the last time.

    baul-bogota-grown scale-1: 228 of 422 requesters were refused twice, none three
    times; a turn of the weight store went to a model with 13 attempts, all of whose
    requesters had left.
    """
    routing = Routing("g2", "a", bounds())

    def tell(message: Message, now: float) -> list[WantModel]:
        return wants(messages(routing.handle(incoming(message), now)))

    tell(desired_state(), 100.0)
    tell(server("s1", "m1"), 100.0)
    tell(LeaderChanged("g1"), 100.0)
    times = {"reach_s": 10.0, "patience_s": 4.0, "timeout_s": 9.0}
    first = tell(assign("r1", deadline_s=15.0, **times), 100.0)
    assert [want.new_reach_s for want in first] == [(10.0,)]
    later = tell(assign("r2", model="m2", deadline_s=10.2, **times), 100.1)
    assert [want.new_reach_s for want in later] == [(4.0,)]
    # Requesters of another route have another time.
    other = assign("r3", model="m3", route="r-desk", deadline_s=9.0, **times)
    assert [want.new_reach_s for want in tell(other, 100.2)] == [(10.0,)]


def test_attempt_on_an_unknown_route_is_compared_with_its_timeout() -> None:
    """Guards against a gateway that takes the first attempt it sees for fresh."""
    memory = DeadlineMemory()
    assert memory.is_later_attempt("r-quote", 7.3, 11.0, 100.0)
    assert memory.is_later_attempt("r-quote", 6.0, 11.0, 100.1)
    assert not memory.is_later_attempt("r-quote", 11.0, 11.0, 100.2)
    assert memory.is_later_attempt("r-quote", 10.5, 11.0, 100.3)
    assert not memory.is_later_attempt("r-quote", None, 11.0, 100.4)


def test_single_long_deadline_is_forgotten() -> None:
    """Guards against one patient requester that makes all others look refused."""
    memory = DeadlineMemory()
    assert not memory.is_later_attempt("r-quote", 40.0, 11.0, 100.0)
    assert memory.is_later_attempt("r-quote", 11.0, 11.0, 110.0)
    assert memory.is_later_attempt("r-quote", 11.0, 11.0, 135.0)
    assert not memory.is_later_attempt("r-quote", 11.0, 11.0, 170.0)


def test_end_of_a_shortage_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against models that are never served and that no log line names.

    baul-bogota-grown scale-1: which models were never served, and for how long, took a
    join over three kinds of line.
    """
    caplog.set_level("INFO")
    office = Office()
    spec = engine("m0", "m1", weights_mb=145_000.0)
    office.tell(desired_state(engine_spec=spec))
    office.add("s1", "m0", on_disk=frozenset({"m0"}))
    office.take_office()
    order = orders(office.want("m1", reach_s=(11.0, 11.0)))[0]
    given = [line for line in caplog.messages if "event=order_given" in line]
    assert "asked=2 reachable=2 short_s=0" in given[0]
    assert office.decision.gauges()["placement.models_short"] == 1
    office.end(order, OrderResult.ACCEPTED)
    office.finish_load(order, 6.2)
    ended = [line for line in caplog.messages if "event=shortage_ended" in line]
    assert len(ended) == 1
    assert "model=m1 server=s1 short_s=6.2 asked=2 reachable=2" in ended[0]
    assert office.decision.gauges()["placement.models_short"] == 0
