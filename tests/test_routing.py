"""Tests of single rules of `Routing`."""

from __future__ import annotations

import random
from collections.abc import Callable

import pytest

from siskinspool.core.errors import ErrorCode
from siskinspool.machines.candidate import Candidate, CandidateChooser, TwoRandomChoices
from siskinspool.machines.messages import (
    CatalogChanged,
    OwnersChanged,
    ReplicaPlanned,
    ReplicaRefused,
    ReplicaRequest,
    ReplicaUsed,
)
from siskinspool.machines.routing_messages import (
    CallCancelled,
    CallEnded,
    CallResult,
    PrefixHint,
)
from tests.builders_routing import (
    LowestLoadChooser,
    RandomChooser,
    RoutingHarness,
    call,
    catalog,
    leaving,
    members,
    report,
    slots,
)


def ready_harness(*server_ids: str) -> RoutingHarness:
    harness = RoutingHarness()
    harness.make_ready(*server_ids)
    return harness


def harness_with_failing_service() -> RoutingHarness:
    harness = RoutingHarness()
    harness.send(leaving("v2"))
    for number in range(5):
        harness.send(call(f"c{number}", target="r1"))
        harness.send(CallEnded(f"c{number}", CallResult.FAILED_BEFORE_SEND))
    return harness


def test_free_server_takes_the_call_at_once() -> None:
    """Guards against a call that waits although a ready server is free."""
    harness = ready_harness("s1")
    harness.send(call())
    answer = harness.dispatched()["c1"]
    assert (answer.server_id, answer.host, answer.boot_id) == ("s1", "127.0.0.1", "b1")


def test_adapter_needs_its_own_replica() -> None:
    """Guards against an adapter call at a server that holds only the base model."""
    harness = ready_harness("s1")
    harness.make_ready("s3", held=("m1", "a1"))
    harness.send(call(target="a1"))
    assert harness.dispatched()["c1"].server_id == "s3"


def test_unknown_target_and_missing_configuration_are_refused() -> None:
    """Guards against a call that waits for a target that cannot be resolved."""
    harness = RoutingHarness(configured=False)
    harness.send(call("early"), CatalogChanged(catalog()), call("late", target="none"))
    assert harness.refused()["early"].code is ErrorCode.NOT_CURRENT
    assert harness.refused()["late"].code is ErrorCode.UNKNOWN_MODEL


def test_call_waits_for_a_free_slot_and_gets_it() -> None:
    """Guards against a call beyond capacity, and one left in the queue (R3)."""
    harness = ready_harness("s1")
    harness.send(*(call(f"c{number}") for number in range(5)))
    assert set(harness.dispatched()) == {"c0", "c1", "c2", "c3"}
    harness.send(CallEnded("c2", CallResult.OK))
    assert "c4" in harness.dispatched()


def test_refusal_at_the_deadline_names_the_reason() -> None:
    """Guards against a call without an answer, and a refusal without a reason."""
    harness = RoutingHarness()
    harness.send(call(deadline_in_s=2.0), ReplicaRefused("m1", "", "no memory"))
    harness.advance(1.9)
    assert not harness.refused()
    harness.advance(0.2)
    assert harness.refused()["c1"].code is ErrorCode.DEADLINE_PASSED
    assert "no memory" in harness.refused()["c1"].detail


def test_planned_load_after_the_deadline_is_refused_early() -> None:
    """Guards against a call that waits although its deadline cannot be met (R3, M1)."""
    harness = RoutingHarness()
    harness.send(call("short", deadline_in_s=2.0), call("long", deadline_in_s=20.0))
    harness.send(ReplicaPlanned("m1", "", "s1", 5.0))
    refusal = harness.refused()["short"]
    assert refusal.code is ErrorCode.DEADLINE_UNREACHABLE
    assert refusal.retry_after_s == pytest.approx(5.0)
    harness.send(call("later", deadline_in_s=3.0))
    assert set(harness.refused()) == {"short", "later"}
    harness.advance(5.0)
    harness.make_ready("s1")
    assert set(harness.dispatched()) == {"long"}


def test_queue_longer_than_the_deadline_is_refused_early() -> None:
    """Guards against a call that waits in a queue that cannot drain in time."""
    harness = ready_harness("s1")
    harness.send(call("first"))
    harness.advance(2.0)
    harness.send(CallEnded("first", CallResult.OK), report())
    harness.send(*(call(f"r{number}", deadline_in_s=60.0) for number in range(4)))
    harness.send(*(call(f"w{number}", deadline_in_s=60.0) for number in range(8)))
    # 8 calls ahead of 4 running ones that take 2 s each: 4 s.
    harness.send(call("short", deadline_in_s=3.0), call("long", deadline_in_s=5.0))
    # Another team does not wait for the calls of the first.
    harness.send(call("other", team="t2", deadline_in_s=3.0))
    assert set(harness.refused()) == {"short"}
    assert harness.refused()["short"].code is ErrorCode.DEADLINE_UNREACHABLE


def test_no_early_refusal_while_a_replica_is_loaded() -> None:
    """Guards against a refusal for a load that the call does not depend on (M4)."""
    harness = ready_harness("s1")
    harness.send(*(call(f"c{number}", deadline_in_s=2.0) for number in range(5)))
    harness.send(ReplicaPlanned("m1", "", "s2", 30.0))
    assert not harness.refused()


def test_demand_repeats_until_answered_and_follows_the_owner() -> None:
    """Guards against a demand lost with a message or with a failed owner."""
    harness = RoutingHarness()
    harness.send(call("c1"), call("c2", deadline_in_s=5.0))
    harness.advance(1.0)
    needs = [out for out in harness.sent if isinstance(out.message, ReplicaRequest)]
    assert [out.recipient.instance_id for out in needs] == ["i9", "i9"]
    last = needs[-1].message
    assert isinstance(last, ReplicaRequest)
    assert last.waiting == 2
    assert last.deadline_in_s == pytest.approx(4.0)
    harness.send(ReplicaPlanned("m1", "", "s1", 3.0))
    assert not [m for m in harness.advance(3.0) if isinstance(m, ReplicaRequest)]
    harness.send(OwnersChanged({"placement/lagos": "i8"}))
    assert harness.sent[-1].recipient.instance_id == "i8"


def test_usage_is_reported_each_second_while_in_use() -> None:
    """Guards against an unload of a replica that runs calls (M2)."""
    harness = ready_harness("s1")
    harness.send(call("c1"), call("c2"))
    assert harness.advance(1.0) == [
        ReplicaUsed("m1", "", "s1", 2, 2.0, sent_at=harness.now)
    ]
    harness.send(CallEnded("c1", CallResult.OK), CallEnded("c2", CallResult.OK))
    assert harness.advance(5.0) == [
        ReplicaUsed("m1", "", "s1", 0, 0.0, sent_at=harness.now - 4.0)
    ]
    assert harness.routing.is_idle


@pytest.mark.parametrize("kind", ["zone", "leaving", "stale"])
def test_excluded_server_gets_no_new_and_no_queued_work(kind: str) -> None:
    """Guards against work for a closed zone, a leaving or an unresponsive server."""
    harness = ready_harness("s1")
    harness.send(*(call(f"c{number}", deadline_in_s=30.0) for number in range(5)))
    if kind == "zone":
        harness.send(CatalogChanged(catalog(closed=frozenset("a"), revision=2)))
    elif kind == "leaving":
        harness.send(leaving("s1"))
    else:
        harness.advance(3.1)
    harness.send(*(CallEnded(f"c{n}", CallResult.OK) for n in range(4)), call("new"))
    assert set(harness.dispatched()) == {"c0", "c1", "c2", "c3"}
    harness.make_ready("s3")
    assert harness.dispatched()["c4"].server_id == "s3"
    assert harness.dispatched()["new"].server_id == "s3"


def test_server_before_its_first_lease_gets_nothing() -> None:
    """Guards against load on a cold server from an instance that just started (R6)."""
    harness = RoutingHarness()
    harness.send(report(), call("c1"))
    assert not harness.dispatched()
    harness.send(slots(count=1), call("c2"))
    assert set(harness.dispatched()) == {"c1"}
    harness.send(slots(count=None))
    assert set(harness.dispatched()) == {"c1", "c2"}


def test_lease_ends_by_time_boot_id_and_epoch() -> None:
    """Guards against slots used after their lease, server process or owner (R6)."""
    harness = RoutingHarness()
    harness.send(report(), slots(count=1, epoch=5, ttl_s=1.0))
    harness.send(slots(count=None, epoch=4), call("c1"), call("c2"))
    assert set(harness.dispatched()) == {"c1"}
    harness.advance(1.0)
    harness.send(CallEnded("c1", CallResult.OK), call("c3"))
    assert set(harness.dispatched()) == {"c1"}
    harness.send(slots(count=2, epoch=5), report(boot_id="b2"), call("c4"))
    assert set(harness.dispatched()) == {"c1", "c2", "c3"}
    harness.send(slots(count=4, boot_id="b2", epoch=5))
    assert harness.dispatched()["c4"].boot_id == "b2"


def test_slots_do_not_exceed_the_free_capacity() -> None:
    """Guards against a lease that overloads a server used by others (R6)."""
    harness = RoutingHarness()
    harness.send(report(running=2), slots(count=4))
    harness.advance(1.0)
    harness.send(*(call(f"c{number}") for number in range(4)))
    assert len(harness.dispatched()) == 2


def test_late_report_does_not_replace_a_newer_one() -> None:
    """Guards against a server that seems free because of an outdated report."""
    harness = RoutingHarness()
    harness.send(slots(), report(running=4), report(running=0, age_s=1.0), call())
    assert not harness.dispatched()


def test_replica_that_is_gone_gets_no_calls_during_a_ramp() -> None:
    """Guards against calls for a replica that the last report no longer shows."""
    harness = RoutingHarness()
    harness.send(report(), slots(count=4), report(held=()), call())
    assert not harness.dispatched()


def test_non_idempotent_call_is_no_probe_if_it_can_be_avoided() -> None:
    """Guards against an unknown outcome at a server that probably fails (R10)."""
    harness = harness_with_failing_service()
    harness.advance(5.0)
    harness.send(leaving(), call("n1", target="r1", idempotent=False))
    assert harness.dispatched()["n1"].server_id == "v2"


def test_lost_replica_makes_the_server_cold() -> None:
    """Guards against full load on a server that lost its replicas (R6)."""
    harness = RoutingHarness()
    harness.make_ready("s1", held=("m1", "a1"))
    harness.send(report(held=("m1",)), call("c1"))
    assert not harness.dispatched()
    harness.send(slots(count=1))
    assert "c1" in harness.dispatched()


def test_own_zone_first_and_spill_over_by_load() -> None:
    """Guards against needless cross-zone traffic, and queueing in a full zone."""
    chooser = TwoRandomChoices(random.Random(1))
    local, remote = Candidate("s1", 0, 0.7), Candidate("s3", 1, 0.0)
    assert chooser.choose([local, remote]) == local
    local = Candidate("s1", 0, 0.9)
    assert chooser.choose([local, remote]) == remote
    assert chooser.choose([local, Candidate("s3", 1, 0.85)]) == local


def test_prefix_hint_draws_a_call_and_fades() -> None:
    """Guards against unused prefix caches, and against the use of old hints."""
    harness = ready_harness("s1", "s3")
    harness.send(PrefixHint("s3", 22, 1.0), call("fresh", prefix=(11, 22)))
    assert harness.dispatched()["fresh"].server_id == "s3"
    harness.send(CallEnded("fresh", CallResult.OK))
    harness.advance(600.0)
    harness.make_ready("s1", "s3")
    harness.send(call("faded", prefix=(11, 22)))
    assert harness.dispatched()["faded"].server_id == "s1"


def test_restarted_server_has_no_cached_prefix() -> None:
    """Guards against hints that are used after their cache is gone."""
    harness = ready_harness("s1", "s3")
    harness.send(PrefixHint("s3", 22, 0.0), report("s3", "b2"), slots("s3", None, "b2"))
    harness.send(call("c1", prefix=(11, 22)))
    assert harness.dispatched()["c1"].server_id == "s1"


def test_failing_service_is_set_aside_and_probed() -> None:
    """Guards against calls to a failed service, and against one never used again."""
    harness = harness_with_failing_service()
    harness.send(call("p1", target="r1"), call("p2", target="r1"))
    harness.advance(4.9)
    assert "p1" not in harness.dispatched()
    harness.advance(0.2)
    assert "p1" in harness.dispatched()
    assert "p2" not in harness.dispatched()
    harness.send(CallEnded("p1", CallResult.OK))
    assert "p2" in harness.dispatched()


def test_service_capacity_is_divided_over_instances() -> None:
    """Guards against all instances using the full capacity of a plain service."""
    harness = RoutingHarness()
    harness.send(leaving("v2"), members(2))
    harness.send(call("c1", target="r1"), call("c2", target="r1"))
    assert set(harness.dispatched()) == {"c1"}


def test_cancelled_calls_leave_nothing() -> None:
    """Guards against concurrency and demand kept for disconnected callers."""
    harness = ready_harness("s1")
    harness.send(*(call(f"c{number}") for number in range(6)))
    harness.send(*(CallCancelled(f"c{number}") for number in range(5, -1, -1)))
    harness.advance(2.0)
    assert len(harness.dispatched()) == 4
    assert harness.routing.is_idle


def test_call_without_an_end_is_freed_after_its_time() -> None:
    """Guards against concurrency that leaks when a `CallEnded` is lost."""
    harness = ready_harness("s1")
    harness.send(call(deadline_in_s=1.0))
    harness.advance(70.0)
    assert harness.routing.is_idle


def test_removed_model_refuses_its_waiting_calls() -> None:
    """Guards against calls that wait for a model that no longer exists."""
    harness = RoutingHarness()
    harness.send(call(), CatalogChanged(catalog(models=("m2",), revision=2)))
    assert harness.refused()["c1"].code is ErrorCode.UNKNOWN_MODEL
    assert harness.routing.is_idle


def highest_in_flight(make_chooser: Callable[[random.Random], CandidateChooser]) -> int:
    """Return the highest number of calls at one of 10 servers.

    Reports are up to 0.5 s old.
    """
    rng = random.Random(5)
    servers = [f"s{number}" for number in range(10)]
    # Four instances use the same late reports and their own calls since then.
    choosers = [make_chooser(rng) for _ in range(4)]
    ends_at: dict[str, list[float]] = {server: [] for server in servers}
    highest = 0
    for step in range(4_000):
        now = step * 0.025
        if step % 20 == 0:
            reported = {s: len(ends) for s, ends in ends_at.items()}
            since = [dict.fromkeys(servers, 0) for _ in choosers]
        for server, ends in ends_at.items():
            ends_at[server] = [end for end in ends if end > now]
        for chooser, own in zip(choosers, since, strict=True):
            candidates = [Candidate(s, 0, (reported[s] + own[s]) / 64) for s in servers]
            chosen = chooser.choose(candidates)
            assert chosen is not None
            own[chosen.server_id] += 1
            ends_at[chosen.server_id].append(now + rng.expovariate(0.5))
            highest = max(highest, len(ends_at[chosen.server_id]))
    return highest


def test_two_candidates_beat_the_alternatives_with_late_reports() -> None:
    """Guards against a choice that is no better than random with late reports."""
    two, one = highest_in_flight(TwoRandomChoices), highest_in_flight(RandomChooser)
    lowest = highest_in_flight(LowestLoadChooser)
    # 32 calls would be an equal share.
    assert two + 5 <= one < lowest
