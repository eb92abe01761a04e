"""Shortages: models that are requested while no server has them ready."""

from __future__ import annotations

import pytest

from siskinspool.core.message import Message
from siskinspool.gateway.deadline_tracker import DeadlineTracker
from siskinspool.gateway.managed_site import ManagedSite
from siskinspool.gateway.messages import (
    LeaderChanged,
    LeadershipExtended,
    LeadershipHeld,
    ModelExpected,
    OrderResult,
    PlacementRequest,
    RequestCancelled,
    RequestersReport,
)
from siskinspool.gateway.planning_budget import PlanningBudget
from siskinspool.gateway.routing import Routing
from siskinspool.gateway.shortage import Shortages

from .builders_gateway import (
    assign,
    bounds,
    desired_state,
    engine,
    incoming,
    messages,
    scheduling,
    server,
)
from .builders_placement_harness import PlacementHarness, orders

MODEL = ("writers", "m1", "")


def test_requester_that_is_out_of_time_is_not_reachable() -> None:
    """Guards against loads for requesters that have left when the load ends."""
    shortages = Shortages()
    shortages.update("m1", ("g2", ""), (11.0,), 1, 100.0)
    shortages.update("m1", ("g3", ""), (4.0, 11.0), 2, 105.0)
    assert shortages.requester_count("m1") == 3
    assert shortages.reachable_requesters("m1", 108.0) == 3
    assert shortages.reachable_requesters("m1", 112.0) == 1
    ended = shortages.end("m1")
    assert ended is not None
    assert ended.since == 100.0
    assert shortages.requester_count("m1") == 0


def placement_requests(found: list[Message]) -> list[PlacementRequest]:
    return [message for message in found if isinstance(message, PlacementRequest)]


def test_each_requester_is_reported_as_new_once() -> None:
    """Guards against a requester that is counted again at each request."""
    routing = Routing("g2", "a", bounds(), scheduling())

    def send(message: Message, now: float) -> list[PlacementRequest]:
        return placement_requests(messages(routing.handle(incoming(message), now)))

    send(desired_state(), 100.0)
    send(server("s1", "m1"), 100.0)
    send(LeaderChanged("g1"), 100.0)
    first = send(assign("r1", reach_s=10.0, max_wait_s=10.0), 100.0)
    assert [request.fresh_reach_s for request in first] == [(10.0,)]
    send(assign("r2", reach_s=10.0, max_wait_s=10.0), 100.1)
    repeated = placement_requests(messages(routing.on_time(100.5)))
    assert [request.waiting for request in repeated] == [2]
    assert repeated[0].fresh_reach_s == pytest.approx((9.6,))
    assert repeated[0].reach_s == pytest.approx((9.6, 9.5))
    later = placement_requests(messages(routing.on_time(101.0)))
    assert [request.fresh_reach_s for request in later] == [()]
    assert later[0].reach_s == pytest.approx((9.1, 9.0))
    # A new leader is sent all waiting requesters.
    to_new_leader = send(LeaderChanged("g3"), 101.0)
    assert {len(request.fresh_reach_s) for request in to_new_leader} == {2}


def test_later_attempt_is_not_expected_to_retry() -> None:
    """Guards against loads for requesters that were refused for the last time.

    Of 422 requesters 228 were refused twice, none three times. A slot of the weight
    store went to a model with 13 attempts, all of whose requesters had left.
    """
    routing = Routing("g2", "a", bounds(), scheduling())

    def send(message: Message, now: float) -> list[PlacementRequest]:
        return placement_requests(messages(routing.handle(incoming(message), now)))

    send(desired_state(), 100.0)
    send(server("s1", "m1"), 100.0)
    send(LeaderChanged("g1"), 100.0)
    times = {"reach_s": 10.0, "max_wait_s": 4.0, "timeout_s": 9.0}
    first = send(assign("r1", deadline_s=15.0, **times), 100.0)
    assert [request.reach_s for request in first] == [(10.0,)]
    later = send(assign("r2", model="m2", deadline_s=10.2, **times), 100.1)
    assert [request.reach_s for request in later] == [(4.0,)]
    # Requesters of another route have a different time limit.
    other = assign("r3", model="m3", route="r-desk", deadline_s=9.0, **times)
    assert [request.reach_s for request in send(other, 100.2)] == [(10.0,)]


def test_attempt_on_an_unknown_route_is_compared_with_its_timeout() -> None:
    """Guards against a gateway that takes any first attempt for a new requester."""
    memory = DeadlineTracker()
    assert memory.is_later_attempt("r-quote", 7.3, 11.0, 100.0)
    assert memory.is_later_attempt("r-quote", 6.0, 11.0, 100.1)
    assert not memory.is_later_attempt("r-quote", 11.0, 11.0, 100.2)
    assert memory.is_later_attempt("r-quote", 8.7, 11.0, 100.3)
    assert not memory.is_later_attempt("r-quote", None, 11.0, 100.4)


def test_requesters_differ_in_their_time_limits() -> None:
    """Guards against first attempts that are taken for later ones.

    In a traced day of tsagaan-spool the limits of a route's requesters were spread
    evenly over 15% of the longest. Four of five first attempts counted as later ones:
    their requesters were not expected to return, and not counted as demand.
    """
    tracker = DeadlineTracker()
    first_s = [12.0 * (1.0 - 0.15 * number / 20) for number in range(21)]
    for deadline_s in first_s:
        assert not tracker.is_later_attempt("r-quote", deadline_s, 12.0, 100.0)
    # The longest pause before a retry is a third of the remaining time.
    for deadline_s in first_s:
        assert tracker.is_later_attempt("r-quote", deadline_s * 2 / 3, 12.0, 104.0)


def test_single_long_deadline_expires() -> None:
    """Guards against one patient requester that makes all others look refused."""
    memory = DeadlineTracker()
    assert not memory.is_later_attempt("r-quote", 40.0, 11.0, 100.0)
    assert memory.is_later_attempt("r-quote", 11.0, 11.0, 110.0)
    assert memory.is_later_attempt("r-quote", 11.0, 11.0, 135.0)
    assert not memory.is_later_attempt("r-quote", 11.0, 11.0, 170.0)


def requester_reports(found: list[Message]) -> list[tuple[float, ...]]:
    return [one.reach_s for one in found if isinstance(one, RequestersReport)]


class Gateway:
    """A routing decision that knows a leader and requests a model without a server."""

    def __init__(self) -> None:
        self.routing = Routing("g2", "a", bounds(), scheduling())
        self.now = 100.0
        self.send(desired_state())
        self.send(server("s1", "m9"))
        self.send(LeaderChanged("g1"))

    def send(self, message: Message) -> list[Message]:
        return messages(self.routing.handle(incoming(message), self.now))

    def advance_time(self, seconds: float) -> list[Message]:
        self.now += seconds
        return messages(self.routing.on_time(self.now))

    def send_request(
        self, request_id: str, deadline_s: float = 11.0
    ) -> list[PlacementRequest]:
        """Send a request with this time left, all of which it can wait."""
        times = {"max_wait_s": deadline_s, "reach_s": deadline_s, "timeout_s": 11.0}
        call = assign(request_id, model="m1", deadline_s=deadline_s, **times)
        return placement_requests(self.send(call))

    def send_late_estimate(self, in_s: float = 60.0) -> list[Message]:
        """Send the leader's estimate, which is too late for any requester."""
        self.send(ModelExpected("m1", "", in_s))
        return self.advance_time(0.0)


def test_requesters_that_have_left_are_reported() -> None:
    """Guards against slots for requesters that have a server or have left.

    Of the 30 requesters for whom a load from the weight store was started, 11 had been
    refused for the last time.
    """
    gateway = Gateway()
    gateway.send_request("r1")
    gateway.send_request("r2")
    assert placement_requests(gateway.advance_time(0.3))[0].reach_s == pytest.approx(
        (10.7, 10.7)
    )
    gateway.send(RequestCancelled("r1"))
    assert placement_requests(gateway.advance_time(0.3))[0].reach_s == pytest.approx(
        (10.4,)
    )
    gateway.send(server("s2", "m1"))
    found = gateway.advance_time(0.3)
    assert requester_reports(found) == [()]
    # All requesters have been reported to the leader.
    assert requester_reports(gateway.advance_time(0.3)) == []


def test_refused_requester_counts_until_it_retries() -> None:
    """Guards against a requester that is counted twice, or not while it is to retry.

    Of 508 requesters whose first attempt was refused 271 were refused again, and each
    attempt counted as one more requester.
    """
    gateway = Gateway()
    gateway.send_request("r1")
    gateway.send_late_estimate()
    assert requester_reports(gateway.advance_time(1.0)) == []
    other = gateway.send_request("r9")
    assert [request.reach_s for request in other] == [pytest.approx((11.0, 10.0))]
    # It retries after a third of its time, at this gateway or another.
    gateway.send(RequestCancelled("r9"))
    assert requester_reports(gateway.advance_time(0.3)) == [pytest.approx((9.7,))]
    assert requester_reports(gateway.advance_time(2.3)) == []
    assert requester_reports(gateway.advance_time(0.1)) == [()]
    retried = gateway.send_request("r2", deadline_s=7.3)
    assert [request.reach_s for request in retried] == [pytest.approx((7.3,))]
    assert [request.fresh_reach_s for request in retried] == [()]
    # After the second refusal it has left.
    gateway.send_late_estimate()
    assert requester_reports(gateway.advance_time(0.3)) == [()]


def test_leader_drops_requesters_that_have_left() -> None:
    """Guards against a leader that counts a requester after it has got a server."""
    site = ManagedSite(PlanningBudget())
    site.handle_change(desired_state(), "g1", 100.0)
    for gateway, reach_s in (("g2", (11.0, 11.0)), ("g3", (11.0,))):
        request = PlacementRequest(*MODEL, "", reach_s=reach_s, fresh_reach_s=reach_s)
        site.update_requesters(request, gateway, 100.0)
    shortages = site.shortages("writers")
    assert (
        shortages.requester_count("m1"),
        shortages.reachable_requesters("m1", 110.0),
    ) == (3, 3)
    site.handle_change(RequestersReport(*MODEL, (10.9,)), "g2", 100.1)
    assert (
        shortages.requester_count("m1"),
        shortages.reachable_requesters("m1", 110.0),
    ) == (3, 2)
    # A retrying requester is not a new one, at any gateway.
    site.update_requesters(PlacementRequest(*MODEL, "", reach_s=(7.3,)), "g4", 103.7)
    assert (
        shortages.requester_count("m1"),
        shortages.reachable_requesters("m1", 110.0),
    ) == (3, 3)


def test_new_leader_is_sent_retrying_requesters() -> None:
    """Guards against a new leader that has only the waiting requests.

    At a change of the leader 73 refused requesters were to retry; five of the 37 that
    did were served.
    """
    gateway = Gateway()
    gateway.send_request("r1")
    gateway.send_late_estimate()
    gateway.advance_time(1.0)
    gateway.send(LeaderChanged("g3"))
    batch = gateway.routing.on_time(gateway.now)
    sent = [one for one in batch if one.recipient.instance_id == "g3"]
    assert requester_reports(messages(sent)) == [pytest.approx((10.0,))]
    # Once they have retried, the next leader need not be sent anything.
    gateway.advance_time(3.0)
    gateway.send(LeaderChanged("g4"))
    assert requester_reports(gateway.advance_time(0.3)) == []


def test_new_leader_counts_requesters_before_it_may_give_orders() -> None:
    """Guards against unknown requesters, as each is reported as new only once.

    A new leader waits for the orders of the last one, for 1.3 s in one trial, and
    ignored placement requests meanwhile.
    """
    harness = PlacementHarness()
    spec = engine("m0", "m1", weights_mb=145_000.0)
    harness.send(desired_state(engine_spec=spec))
    harness.add_server("s1", "m0", on_disk=frozenset({"m0"}))
    harness.send(LeadershipHeld(8, harness.now + 1.3))
    harness.send(LeadershipExtended(harness.now + 1000.0))
    harness.request("m1", reach_s=(11.0,))
    assert harness.decision.gauges()["placement.models_short"] == 1


def test_requesters_of_a_model_that_is_ready_are_not_short() -> None:
    """Guards against a shortage that never ends, as nothing is loaded for it."""
    site = ManagedSite(PlanningBudget())
    site.handle_change(desired_state(), "g1", 100.0)
    site.handle_change(server("s1", "m1"), "g1", 100.0)
    site.handle_change(RequestersReport(*MODEL, (10.9,)), "g2", 100.0)
    assert site.count_shortages() == 0
    # A server that this gateway cannot reach does not help its requesters.
    request = PlacementRequest(*MODEL, "", silent_servers=("s1",), reach_s=(10.9,))
    site.update_requesters(request, "g2", 100.1)
    assert site.count_shortages() == 1


def test_end_of_a_shortage_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against models that are never served and that no log line names.

    Three kinds of log line had to be joined to find the models that were never served,
    and for how long.
    """
    caplog.set_level("INFO")
    harness = PlacementHarness()
    spec = engine("m0", "m1", weights_mb=145_000.0)
    harness.send(desired_state(engine_spec=spec))
    harness.add_server("s1", "m0", on_disk=frozenset({"m0"}))
    harness.begin_term()
    order = orders(harness.request("m1", reach_s=(11.0, 11.0)))[0]
    order_lines = [line for line in caplog.messages if "event=order_given" in line]
    assert "asked=2 reachable=2 short_s=0" in order_lines[0]
    assert harness.decision.gauges()["placement.models_short"] == 1
    harness.end(order, OrderResult.ACCEPTED)
    harness.finish_load(order, 6.2)
    end_lines = [line for line in caplog.messages if "event=shortage_ended" in line]
    assert len(end_lines) == 1
    assert "model=m1 server=s1 short_s=6.2 asked=2 reachable=2" in end_lines[0]
    assert harness.decision.gauges()["placement.models_short"] == 0


def test_requesters_reported_before_the_term_is_known_count() -> None:
    """Guards against requesters that are reported once, to a leader that drops them.

    Gateways may see the leader's key before the leader is notified of its own term.
    """
    harness = PlacementHarness()
    spec = engine("m0", "m1", weights_mb=145_000.0)
    harness.send(desired_state(engine_spec=spec))
    harness.add_server("s1", "m0", on_disk=frozenset({"m0"}))
    harness.send(RequestersReport(*MODEL, (10.9,)))
    harness.begin_term()
    assert harness.decision.gauges()["placement.models_short"] == 1
