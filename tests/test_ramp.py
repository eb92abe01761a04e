"""Ramps of cold servers, over all instances (R6)."""

from __future__ import annotations

import random

import attrs
import pytest

from siskinspool.machines.messages import (
    RampSlots,
    ReplicaState,
    ReportedReplica,
)
from siskinspool.machines.ramp import HeldSlots, RampPlan, split_slots
from siskinspool.machines.usage import InstanceDemand
from tests.builders import catalog, model, report, server
from tests.builders_placement import SimulatedSite


def started_plan(instances: int = 3, capacity: int = 40, epoch: int = 1) -> RampPlan:
    """Return a plan with the ramp of one server and an ownership since time 0."""
    plan = RampPlan()
    plan.set_instances({f"i{n}" for n in range(instances)})
    plan.start_epoch(epoch, 0.0)
    plan.start_ramp("s1", "b1", capacity, 0.0)
    return plan


def test_limit_doubles_every_five_seconds() -> None:
    """Guards R6: the limit of a cold server is lifted at once, or never."""
    plan = started_plan()
    limits = []
    for step in range(80):
        plan.grant({}, step * 0.5)
        limits.append(plan.limit("s1"))
    assert sorted({limit for limit in limits if limit}) == [4, 8, 16, 32, 40]
    assert plan.completed_boot_id("s1") == "b1"


def test_failures_hold_the_ramp() -> None:
    """Guards R6: the limit of a server doubles although its reports show failures."""
    plan = started_plan()
    failed = ReportedReplica("r", "m1", "", ReplicaState.FAILED)
    for step in range(80):
        plan.update_from_report(attrs.evolve(report(), replicas=(failed,)), step * 0.5)
        plan.grant({}, step * 0.5)
    assert plan.limit("s1") == 4


def test_new_owner_waits_before_it_grants_slots() -> None:
    """Guards R6: the slots granted by two owners add up to more than the plan."""
    plan = started_plan()
    assert plan.grant({}, 2.0) == []
    assert plan.grant({}, 3.0) != []


def test_end_is_announced_only_after_it_is_recorded() -> None:
    """Guards R6: a new owner restarts a ramp whose end was not yet recorded."""
    plan = started_plan()
    for step in range(80):
        assert all(g.message.slots is not None for g in plan.grant({}, step * 0.5))
    plan.end_ramp("s1", "b1", 40.0)
    assert {g.message.slots for g in plan.grant({}, 40.0)} == {None}


def test_new_ramp_of_the_same_boot_is_not_ended_by_an_old_record() -> None:
    """Guards R6: a pending write lifts the limit of a server that is cold again."""
    plan = started_plan()
    for step in range(80):
        plan.grant({}, step * 0.5)
    plan.start_ramp("s1", "b1", 40, 41.0)
    plan.end_ramp("s1", "b1", 41.0)
    assert plan.is_ramping("s1")


def test_slots_follow_demand() -> None:
    """Guards M1: slots are idle at one instance while calls queue at another."""
    shares = split_slots(20, ("a", "b", "c"), {"a": InstanceDemand(running=17)})
    assert sum(shares.values()) == 20
    assert shares["a"] > 10
    assert min(shares["b"], shares["c"]) >= 1
    assert split_slots(9, ("a", "b", "c"), {}) == {"a": 3, "b": 3, "c": 3}


def test_slots_of_a_small_ramp_go_to_waiting_calls_in_turn() -> None:
    """Guards M1: a call waits although a slot is idle at another instance."""
    waits = InstanceDemand(waiting=1)
    assert split_slots(1, ("a", "b", "c"), {}) == {"a": 0, "b": 0, "c": 0}
    assert split_slots(1, ("a", "b", "c"), {"c": waits}) == {"a": 0, "b": 0, "c": 1}
    assert split_slots(1, ("b", "c", "a"), {"b": waits, "c": waits}) == {
        "b": 1,
        "c": 0,
        "a": 0,
    }
    busy = {"a": InstanceDemand(running=1, waiting=5), "b": waits}
    assert split_slots(2, ("b", "a"), busy) == {"b": 1, "a": 1}


def test_waiting_calls_get_slots_at_once() -> None:
    """Guards M1: a first call waits for the next regular grant."""
    plan = started_plan(capacity=10)
    plan.grant({}, 4.0)
    plan.make_grants_due(4.1)
    granted: dict[str, int] = {}
    for grant in plan.grant({"s1": {"i1": InstanceDemand(waiting=1)}}, 4.1):
        granted[grant.instance_id] = grant.message.slots or 0
    assert granted.get("i1") == 1
    plan.make_grants_due(7.2)
    both = {"i0": InstanceDemand(waiting=1), "i1": InstanceDemand(waiting=1)}
    served_first = [
        g.instance_id for g in plan.grant({"s1": both}, 7.2) if g.message.slots
    ]
    assert served_first == ["i0"]


def test_older_epoch_is_ignored() -> None:
    """Guards R6: a former owner's late grant replaces the new owner's."""
    held = HeldSlots()
    held.accept(RampSlots("s1", "b1", 2, 3, 2.0), 0.0)
    assert not held.accept(RampSlots("s1", "b1", 1, 9, 2.0), 0.1)
    assert held.usable_slots("s1", "b1", 0.2) == 3
    assert held.usable_slots("s1", "b2", 0.2) == 0


@pytest.mark.parametrize("seed", range(20))
def test_valid_slots_never_exceed_the_plan(seed: int) -> None:
    """Guards R6: delays, paused instances and takeovers exceed the planned slots.

    Grants arrive up to 8 s late and out of order, owners are replaced before their last
    grants arrive, and a paused instance handles its grants after it resumes.
    """
    rng = random.Random(seed)
    names = [f"i{n}" for n in range(4)]
    # Each instance's clock has its own offset.
    offset = {name: rng.uniform(0.0, 1000.0) for name in names}
    held_by_instance = {name: HeldSlots() for name in names}
    in_transit: list[tuple[float, str, RampSlots]] = []
    plan, epoch, owned_at = started_plan(4), 1, 0.0
    for name in names:
        plan.record_clock(name, offset[name], 0.0)
    now = 0.0
    while now < 60.0:
        now += 0.1
        if rng.random() < 0.01:
            epoch += 1
            plan, owned_at = RampPlan(), now
            plan.set_instances(set(names))
            plan.start_epoch(epoch, now)
            plan.start_ramp("s1", "b1", 40, now)
        for name in names:
            if rng.random() < 0.1:
                delay = rng.choice([0.0, 0.1, 3.0])
                plan.record_clock(
                    name, now - min(delay, now - owned_at) + offset[name], now
                )
        demands = {name: InstanceDemand(rng.randrange(20)) for name in names}
        if rng.random() < 0.5:
            demands = {name: InstanceDemand(0, rng.randrange(9)) for name in names}
            plan.make_grants_due(now)
        for grant in plan.grant({"s1": demands}, now):
            late = rng.choice([0.0, 0.05, 0.5, 8.0])
            if grant.message.valid_until is None:
                # The lifetime starts at receipt; the delivery margin is 1 s.
                late = min(late, 0.9)
            in_transit.append((now + late, grant.instance_id, grant.message))
        rng.shuffle(in_transit)
        for arrival in [entry for entry in in_transit if entry[0] <= now]:
            in_transit.remove(arrival)
            _, name, slots = arrival
            held_by_instance[name].accept(slots, now + offset[name])
        usable = [
            held_by_instance[name].usable_slots("s1", "b1", now + offset[name]) or 0
            for name in names
        ]
        limit = plan.limit("s1")
        # Right after a takeover, slots of the former owner's larger plan stay valid.
        if limit is not None and now >= owned_at + 3.0:
            assert sum(usable) <= limit
        assert sum(usable) <= 40


def test_server_ramps_after_a_restart_and_over_a_takeover() -> None:
    """Guards R6: a new owner treats a ramping server as warm, or a warm one as cold."""
    site = SimulatedSite(
        catalog(servers=(server("s1", capacity=40),), models=(model(),)), instances=2
    )
    site.transfer_ownership("i1")
    site.settle()

    def usable() -> list[int | None]:
        boot = f"b{site.server_by_id['s1'].boot_count}"
        instances = site.instance_by_id.values()
        return [i.slots.usable_slots("s1", boot, site.now) for i in instances]

    site.server_by_id["s1"].running = 1
    site.run(40.0)
    assert usable() == [None, None]
    site.transfer_ownership("i2")
    site.run(10.0)
    assert usable() == [None, None]
    site.server_by_id["s1"].restart()
    site.run(3.0)
    assert 0 < sum(slots or 0 for slots in usable()) <= 4
    assert None not in usable()
    site.transfer_ownership("i1")
    site.run(6.0)
    assert None not in usable()
    assert 0 < sum(slots or 0 for slots in usable()) <= 8


def test_idle_server_stays_at_the_first_step() -> None:
    """Guards R6: a ramp ends by time alone while the model is still loading."""
    site = SimulatedSite(
        catalog(servers=(server("s1", capacity=40),), models=(model(),)), instances=2
    )
    site.transfer_ownership("i1")
    site.run(40.0)
    ramp = site.instance_by_id["i1"].placement.ramp
    assert ramp.limit("s1") == 4
    site.server_by_id["s1"].running = 1
    site.run(4.0)
    assert ramp.limit("s1") == 4
    site.run(3.0)
    assert ramp.limit("s1") == 8


def test_server_ramps_when_it_is_no_longer_leaving() -> None:
    """Guards R6: a server that is no longer leaving gets its full load at once."""
    site = SimulatedSite(
        catalog(servers=(server("s1", capacity=40),), models=(model(),)), instances=2
    )
    site.transfer_ownership("i1")
    site.server_by_id["s1"].running = 1
    site.run(40.0)
    assert site.kv.record("s1").warm_boot_id != ""
    site.leaving_server_ids = {"s1"}
    site.notify_membership()
    site.run(2.0)
    assert site.kv.record("s1").warm_boot_id == ""
    site.leaving_server_ids = set()
    site.notify_membership()
    site.run(4.0)
    assert site.instance_by_id["i1"].placement.ramp.limit("s1") == 4


def test_idle_instance_gets_a_slot_for_a_new_call() -> None:
    """Guards R3: a call at an idle instance gets no slot before its deadline."""
    plan = started_plan(capacity=10)
    plan.record_clock("i1", 100.0, 4.0)
    waits = {"s1": {"i1": InstanceDemand(waiting=1)}}
    plan.record_clock("i1", 126.0, 30.0)
    plan.make_grants_due(30.0)
    slots = {grant.instance_id: grant.message for grant in plan.grant(waits, 30.0)}
    assert slots["i1"].slots == 1
    assert slots["i1"].valid_until == 128.0
