"""Routing of the product's own front end around servers that leave or pause."""

from __future__ import annotations

import attrs
import pytest

from siskinspool.core.message import Message
from siskinspool.machines.circuit_breaker import MAX_CONSECUTIVE_FAILURES
from siskinspool.machines.messages import CatalogChanged
from siskinspool.machines.routing_messages import (
    CallAnswered,
    CallDispatched,
    CallEnded,
    CallResult,
)
from siskinspool.relay.relay_messages import (
    ReachChanged,
    RelayDenied,
    RelayedSignal,
    RelayGranted,
    RelayQuery,
)
from siskinspool.server_signals.observations import ServerStart

from .builders_routing import (
    RoutingHarness,
    call,
    catalog,
    report,
    slots,
)
from .builders_routing import (
    leaving as leaving_servers,
)
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


QUERY = RelayQuery("s1", None, "b1")


def grants(harness: RoutingHarness, query: RelayQuery = QUERY) -> bool:
    """Return whether a call of another instance may go out."""
    (reply,) = harness.send(query)
    assert isinstance(reply, RelayGranted | RelayDenied)
    return isinstance(reply, RelayGranted)


def test_relayed_call_goes_to_a_known_start_only() -> None:
    """Guards against a detour to a server that has restarted, or is none of the site.

    An empty boot id means a plain service, and no server that has not reported yet.
    """
    harness = RoutingHarness()
    assert not grants(harness)
    assert not grants(harness, RelayQuery("s1", None, ""))
    harness.make_ready("s1")
    entity = catalog().server_by_id["s1"]
    assert harness.send(QUERY) == [RelayGranted(entity.host, entity.port)]
    assert not grants(harness, RelayQuery("s1", None, "b2"))
    assert not grants(harness, RelayQuery("s1", 5, "b1"))
    assert not grants(harness, RelayQuery("s9", None, "b1"))
    assert harness.send(RelayQuery("v1", None, "")) == [RelayGranted("127.0.0.1", 2)]


@pytest.mark.parametrize("query", [QUERY, RelayQuery("v1", None, "")])
@pytest.mark.parametrize(
    ("closing", "opening"),
    [
        (leaving_servers("s1", "v1"), leaving_servers()),
        (CatalogChanged(catalog(frozenset("a"))), CatalogChanged(catalog())),
    ],
    ids=["leaving", "zone"],
)
def test_relayed_call_goes_to_no_server_that_is_out_of_service(
    query: RelayQuery, closing: Message, opening: Message
) -> None:
    """Guards against a detour around a zone's state or the platform's notice."""
    harness = RoutingHarness()
    harness.make_ready("s1")
    harness.send(closing)
    assert not grants(harness, query)
    harness.send(opening)
    assert grants(harness, query)


def test_relayed_call_takes_a_trial_of_the_relay() -> None:
    """Guards against more requests after a pause than the server is tried with."""
    harness = RoutingHarness()
    harness.make_ready("s1")
    harness.send(call("c0"))
    harness.send(CallAnswered(pause(start_of(harness, "c0"), harness.now, 1.0)))
    assert not grants(harness)
    harness.advance(1.5)
    assert grants(harness)
    assert not grants(harness)
    assert not any(isinstance(m, CallDispatched) for m in harness.send(call("c1")))


def test_failures_of_the_relay_deny_no_call() -> None:
    """Guards against an instance without paths that passes for one that could connect.

    It says that it is unable only if it tries, and is avoided then.
    """
    harness = RoutingHarness()
    harness.make_ready("s1")
    for number in range(10):
        harness.send(call(f"c{number}"))
        harness.send(CallEnded(f"c{number}", CallResult.FAILED_BEFORE_SEND))
    assert not any(isinstance(m, CallDispatched) for m in harness.send(call("c10")))
    assert grants(harness)


@pytest.mark.parametrize(
    "signal",
    [
        RelayedSignal("s1", None, "b1", True, None),
        RelayedSignal("s1", None, "b1", False, 5.0),
    ],
    ids=["leaving", "pause"],
)
def test_signal_in_a_relayed_answer_binds_the_relay(signal: RelayedSignal) -> None:
    """Guards against calls of the instance that the server has turned away."""
    harness = RoutingHarness()
    harness.make_ready("s1")
    harness.send(signal)
    assert not grants(harness)
    assert not any(isinstance(m, CallDispatched) for m in harness.send(call("c1")))


def test_relayed_signal_of_an_earlier_start_is_ignored() -> None:
    """Guards against a restarted server that stays unused."""
    harness = RoutingHarness()
    harness.make_ready("s1")
    harness.send(RelayedSignal("s1", None, "b0", True, None))
    assert any(isinstance(m, CallDispatched) for m in harness.send(call("c1")))


def fail_calls(harness: RoutingHarness, first: int, result: CallResult) -> None:
    """Let as many calls fail as open a circuit breaker."""
    for number in range(first, first + MAX_CONSECUTIVE_FAILURES):
        harness.send(call(f"c{number}"))
        harness.send(CallEnded(f"c{number}", result))


def test_lost_paths_are_held_against_no_server() -> None:
    """Guards against servers that stay unused for seconds though others reach them.

    The calls in progress at the cut are all lost at once.
    """
    harness = RoutingHarness()
    harness.make_ready("s1")
    fail_calls(harness, 0, CallResult.FAILED)
    assert not any(isinstance(m, CallDispatched) for m in harness.send(call("c90")))
    sent = harness.send(ReachChanged(is_cut_off=True))
    assert any(isinstance(m, CallDispatched) for m in sent)
    harness.send(CallEnded("c90", CallResult.FAILED))
    fail_calls(harness, 10, CallResult.FAILED)
    assert any(isinstance(m, CallDispatched) for m in harness.send(call("c91")))


def test_server_that_nobody_reaches_is_set_aside_during_a_cut() -> None:
    """Guards against calls that try a dead server again and again."""
    harness = RoutingHarness()
    harness.make_ready("s1")
    harness.send(ReachChanged(is_cut_off=True))
    fail_calls(harness, 0, CallResult.FAILED_BEFORE_SEND)
    assert not any(isinstance(m, CallDispatched) for m in harness.send(call("c90")))


def test_failures_count_again_after_a_cut() -> None:
    """Guards against a faulty server that is never set aside after a cut."""
    harness = RoutingHarness()
    harness.make_ready("s1")
    harness.send(ReachChanged(is_cut_off=True), ReachChanged(is_cut_off=False))
    fail_calls(harness, 0, CallResult.FAILED)
    assert not any(isinstance(m, CallDispatched) for m in harness.send(call("c90")))
