"""Tests of the circuit breaker, prefix hashes, capacity shares and planned stop."""

from __future__ import annotations

import random

import pytest

from siskinspool.core.message import Message
from siskinspool.links.prefix import prefix_hashes
from siskinspool.machines.circuit_breaker import CircuitBreaker
from siskinspool.machines.drain import Drain
from siskinspool.machines.drain_messages import (
    Drained,
    DrainStarted,
    HandOverWaitingRequests,
    ReturnShares,
    RunningCallCount,
    StartDrain,
)
from siskinspool.machines.messages import ReleaseOwnership
from siskinspool.machines.server_state import ServerState
from siskinspool.store.kv_events import EndSession, SessionEnded
from tests.builders import incoming
from tests.builders_routing import report, slots


def fail(breaker: CircuitBreaker, count: int, now: float) -> None:
    for number in range(count):
        breaker.record_result(f"f{number}", True, now)


def test_breaker_opens_after_five_failures_in_a_row() -> None:
    """Guards against calls that keep failing at a failed server."""
    breaker = CircuitBreaker()
    fail(breaker, 4, 0.0)
    assert breaker.allows_call(0.0)
    fail(breaker, 1, 0.0)
    assert not breaker.allows_call(4.9)
    assert breaker.allows_call(5.0)


def test_breaker_opens_when_over_half_of_twenty_fail() -> None:
    """Guards against a server that fails most calls but never five in a row."""
    breaker = CircuitBreaker()
    for number in range(20):
        assert breaker.allows_call(0.0)
        breaker.record_result(f"c{number}", number % 4 != 0 and number > 3, 0.0)
    assert not breaker.allows_call(0.0)


def test_probes_go_one_at_a_time_and_pauses_double() -> None:
    """Guards against full load on a server that has not recovered."""
    breaker = CircuitBreaker()
    fail(breaker, 5, 0.0)
    now, pauses = 5.0, []
    for number in range(6):
        probe = f"p{number}"
        breaker.record_sent(probe)
        assert not breaker.allows_call(now)
        breaker.record_result("sent before the breaker opened", False, now)
        assert not breaker.allows_call(now)
        breaker.record_result(probe, True, now)
        reopens_at = breaker.next_probe_at()
        assert reopens_at is not None
        pauses.append(reopens_at - now)
        now = reopens_at
    assert pauses == [10.0, 20.0, 40.0, 60.0, 60.0, 60.0]
    breaker.record_sent("gone")
    breaker.record_cancelled("gone")
    breaker.record_sent("good")
    breaker.record_result("good", False, now)
    fail(breaker, 4, now)
    assert breaker.allows_call(now)


def test_prefix_hashes_stand_for_the_whole_prefix() -> None:
    """Guards against equal hashes for equal blocks after different prefixes."""
    first, second = b"a" * 4, b"b" * 4
    hashes = prefix_hashes(first + second + b"rest", 4)
    assert len(hashes) == 3
    assert prefix_hashes(first + second, 4) == hashes[:2]
    assert prefix_hashes(second + second, 4)[1] != hashes[1]
    assert prefix_hashes(b"abc", 4) == ()
    assert len(prefix_hashes(b"a" * 100, 4, max_blocks=5)) == 5


def fill(state: ServerState, now: float) -> None:
    while state.has_capacity(now):
        state.record_sent(f"c{len(state.calls)}", now)


def test_parts_of_many_instances_add_up_to_the_free_capacity() -> None:
    """Guards against instances that all fill the same free slots at once."""
    rng = random.Random(7)
    taken = 0
    for _ in range(400):
        state = ServerState()
        state.update_slots(slots(), 0.0)
        state.update_report(report(running=4, capacity=20), 8, rng, 0.0)
        fill(state, 0.0)
        taken += len(state.calls)
    # 16 free slots; an instance without calls there may use 1/16 of them.
    assert taken / 400 == pytest.approx(1.0, abs=0.1)


def test_single_busy_instance_gets_nearly_all_capacity() -> None:
    """Guards against idle capacity reserved for instances that do not use it."""
    rng = random.Random(7)
    state = ServerState()
    state.update_slots(slots(), 0.0)
    for step in range(8):
        now = step * 0.5
        state.update_report(report(running=len(state.calls), capacity=20), 8, rng, now)
        fill(state, now)
    assert len(state.calls) >= 18


def test_full_server_lets_another_instance_in() -> None:
    """Guards against instances that keep all slots of a full server (M3)."""
    state = ServerState()
    state.update_slots(slots(), 0.0)
    rng = random.Random(1)
    state.update_report(report(capacity=20), 1, rng, 0.0)
    for number in range(10):
        state.record_sent(f"c{number}", 0.0)
    state.update_report(report(running=20, capacity=20), 4, rng, 1.0)
    state.record_ended("c0", False, 1.1)
    assert not state.has_capacity(1.1)
    state.record_ended("c1", False, 1.1)
    assert state.has_capacity(1.1)


def drain_step(drain: Drain, message: Message, now: float) -> list[Message]:
    return [out.message for out in drain.handle(incoming(message), now)]


def due(drain: Drain, now: float) -> list[Message]:
    return [out.message for out in drain.on_time(now)]


def test_drain_goes_through_its_steps_in_order() -> None:
    """Guards against a stop that cuts a request or keeps ownership (R12)."""
    drain = Drain("i1")
    started = drain_step(drain, StartDrain(30.0), 0.0)
    assert started == [DrainStarted()]
    assert due(drain, 1.9) == []
    # A count of 0 is ignored until the front end stops accepting calls.
    assert drain_step(drain, RunningCallCount(0), 1.9) == []
    assert due(drain, 2.0) == [ReleaseOwnership()] * 3 + [HandOverWaitingRequests()] * 3
    assert drain_step(drain, RunningCallCount(1), 2.1) == []
    assert due(drain, 91.9) == []
    assert drain_step(drain, RunningCallCount(0), 91.9) == [ReturnShares()]
    assert due(drain, 92.4) == [EndSession()]
    assert drain_step(drain, SessionEnded(), 92.5) == [Drained(0)]
    assert drain.wake_at() is None


def test_drain_ends_when_nobody_answers() -> None:
    """Guards against a process that never exits because a task does not answer."""
    drain = Drain("i1")
    drain_step(drain, StartDrain(30.0), 0.0)
    seen: list[Message] = []
    while (at := drain.wake_at()) is not None:
        seen += due(drain, at)
        drain_step(drain, RunningCallCount(2), at)
    assert seen[-1] == Drained(2)
