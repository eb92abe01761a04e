"""Ownership: never two valid owners, and every partition gets an owner again."""

from __future__ import annotations

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinspool.store.kv import KvGet, KvRequest, KvSwap

from .builders_ownership import PARTITIONS, PLACEMENT, OwnershipSimulation

INSTANCE_NUMBERS = st.integers(0, 2)
INDEX = st.integers(0, 5)


class OwnershipMachine(RuleBasedStateMachine):
    """Runs simulation steps in any order, and lets the simulation settle at the end."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = OwnershipSimulation()
        self.simulation.settle(1.0, self.simulation.instances)

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 3.0, 8.9, 10.0)))
    def advance(self, seconds: float) -> None:
        self.simulation.advance(seconds)

    @rule(number=INSTANCE_NUMBERS, lost=st.booleans())
    def renew(self, number: int, lost: bool) -> None:
        one = self.simulation.instances[number]
        self.simulation.renew(one, lost)

    @rule(number=INSTANCE_NUMBERS)
    def send_renewal(self, number: int) -> None:
        self.simulation.send_renewal(self.simulation.instances[number])

    @rule(number=INSTANCE_NUMBERS)
    def renewal_arrives(self, number: int) -> None:
        self.simulation.process_renewal(self.simulation.instances[number])

    @rule(number=INSTANCE_NUMBERS, lost=st.booleans())
    def renewal_answer(self, number: int, lost: bool) -> None:
        self.simulation.deliver_renewal_answer(self.simulation.instances[number], lost)

    @rule(number=INSTANCE_NUMBERS, index=INDEX)
    def request_arrives(self, number: int, index: int) -> None:
        self.simulation.process_request(self.simulation.instances[number], index)

    @rule(number=INSTANCE_NUMBERS, index=INDEX)
    def late_request_arrives(self, number: int, index: int) -> None:
        self.simulation.process_late_request(self.simulation.instances[number], index)

    @rule(number=INSTANCE_NUMBERS, index=INDEX, lost=st.booleans())
    def answer(self, number: int, index: int, lost: bool) -> None:
        self.simulation.deliver_answer(self.simulation.instances[number], index, lost)

    @rule(number=INSTANCE_NUMBERS, index=INDEX, sent=st.booleans())
    def give_up_request(self, number: int, index: int, sent: bool) -> None:
        self.simulation.abandon_request(self.simulation.instances[number], index, sent)

    @rule(number=INSTANCE_NUMBERS, count=st.integers(1, 20))
    def watch_shows(self, number: int, count: int) -> None:
        self.simulation.deliver_watch_events(self.simulation.instances[number], count)

    @rule(seconds=st.sampled_from((1.0, 4.0)))
    def calm(self, seconds: float) -> None:
        self.simulation.settle(seconds, self.simulation.instances)

    @rule(number=INSTANCE_NUMBERS)
    def pause(self, number: int) -> None:
        self.simulation.instances[number].paused = True

    @rule(number=INSTANCE_NUMBERS)
    def resume(self, number: int) -> None:
        self.simulation.instances[number].paused = False

    @rule(number=INSTANCE_NUMBERS)
    def restart(self, number: int) -> None:
        self.simulation.restart(self.simulation.instances[number])

    @rule(number=INSTANCE_NUMBERS, is_cut_off=st.booleans())
    def change_reach(self, number: int, is_cut_off: bool) -> None:
        self.simulation.change_reach(self.simulation.instances[number], is_cut_off)

    @invariant()
    def no_two_owners(self) -> None:
        self.simulation.check()

    def teardown(self) -> None:
        for instance in self.simulation.instances:
            instance.paused = False
            self.simulation.change_reach(instance, is_cut_off=False)
        self.simulation.settle(40.0, self.simulation.instances)
        for partition in PARTITIONS:
            assert len(self.simulation.owners(partition)) == 1


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.__doc__ = """Guards against two owners, and against none at all.

R1, R5 and R10 depend on it: placement, quota allocators and claim logs have one owner
each.
"""


def run_random_steps(seed: int, steps: int) -> OwnershipSimulation:
    """Run random steps, with faults rare enough to allow many takeovers."""
    rng = random.Random(seed)
    simulation = OwnershipSimulation()
    weights = {
        "advance": 30,
        "renew": 12,
        "renewal_step": 15,
        "request": 25,
        "answer": 25,
        "watch": 20,
        "late": 6,
        "give_up": 3,
        "pause": 3,
        "resume": 6,
        "restart": 0.3,
    }
    for _ in range(steps):
        instance = rng.choice(simulation.instances)
        lost = rng.random() < 0.15
        index = rng.randrange(6)
        match rng.choices(list(weights), list(weights.values()))[0]:
            case "advance":
                is_long = rng.random() < 0.01
                simulation.advance(
                    9.5 if is_long else rng.choice((0.02, 0.1, 0.2, 0.5))
                )
            case "renew":
                simulation.renew(instance, lost)
            case "renewal_step":
                step = rng.choice((simulation.send_renewal, simulation.process_renewal))
                step(instance)
                if rng.random() < 0.5:
                    simulation.deliver_renewal_answer(instance, lost)
            case "request":
                simulation.process_request(instance, index)
            case "answer":
                simulation.deliver_answer(instance, index, lost)
            case "watch":
                simulation.deliver_watch_events(instance, index + 1)
            case "late":
                simulation.process_late_request(instance, index)
            case "give_up":
                simulation.abandon_request(instance, index, sent=lost or index > 1)
            case "pause":
                instance.paused = True
            case "resume":
                instance.paused = False
            case "restart":
                simulation.restart(instance)
        simulation.check()
    return simulation


@pytest.mark.parametrize("seed", range(30))
def test_random_walk_never_has_two_owners(seed: int) -> None:
    """Guards against overlapping owners in long histories with many takeovers."""
    simulation = run_random_steps(seed, 4_000)
    assert simulation.gain_count > 10
    simulation.settle(40.0, simulation.instances)
    assert all(len(simulation.owners(name)) == 1 for name in PARTITIONS)


def test_partitions_of_a_dead_instance_are_taken_over() -> None:
    """Guards against partitions that stay without owner after an instance failed."""
    simulation = OwnershipSimulation()
    simulation.settle(20.0, simulation.instances)
    failed = next(
        n for n in simulation.instances if n.name in simulation.owners(PARTITIONS[0])
    )
    failed.paused = True
    live = [instance for instance in simulation.instances if instance is not failed]
    simulation.settle(17.0, live)
    for partition in PARTITIONS:
        assert len(simulation.owners(partition)) == 1
        assert failed.name not in simulation.owners(partition)


def test_draining_instance_hands_over_at_once() -> None:
    """Guards against a planned stop that keeps partitions until the session expires."""
    simulation = OwnershipSimulation()
    simulation.settle(20.0, simulation.instances)
    draining = next(
        n for n in simulation.instances if n.name in simulation.owners(PARTITIONS[0])
    )
    for instance in simulation.instances:
        instance.member_by_id[draining.name] = draining.member
    simulation.drain(draining)
    simulation.settle(2.5, simulation.instances)
    for partition in PARTITIONS:
        assert len(simulation.owners(partition)) == 1
        assert draining.name not in simulation.owners(partition)


def test_owner_without_paths_to_servers_gives_the_placement_up() -> None:
    """Guards against models that nobody loads, as orders are never relayed.

    The other partitions stay, and the winner gets the placement back after the cut.
    """
    simulation = OwnershipSimulation()
    simulation.settle(20.0, simulation.instances)
    before = {name: simulation.owners(name) for name in PARTITIONS}
    cut_off = next(n for n in simulation.instances if n.name in before[PLACEMENT])
    simulation.change_reach(cut_off, is_cut_off=True)
    simulation.settle(2.5, simulation.instances)
    (owner,) = simulation.owners(PLACEMENT)
    assert owner != cut_off.name
    for _ in range(30):
        simulation.settle(1.0, simulation.instances)
        assert cut_off.name not in simulation.owners(PLACEMENT)
    assert simulation.owners(PARTITIONS[0]) == before[PARTITIONS[0]]
    simulation.change_reach(cut_off, is_cut_off=False)
    simulation.settle(70.0, simulation.instances)
    assert {name: simulation.owners(name) for name in PARTITIONS} == before


def test_placement_without_an_instance_that_reaches_servers_is_free() -> None:
    """Guards against a placement that stays free after a cut of the whole site."""
    simulation = OwnershipSimulation()
    simulation.settle(20.0, simulation.instances)
    for instance in simulation.instances:
        simulation.change_reach(instance, is_cut_off=True)
    simulation.settle(10.0, simulation.instances)
    assert simulation.owners(PLACEMENT) == []
    simulation.change_reach(simulation.instances[0], is_cut_off=False)
    simulation.settle(10.0, simulation.instances)
    assert simulation.owners(PLACEMENT) == [simulation.instances[0].name]


def test_joining_winner_gets_its_partitions() -> None:
    """Guards against owners that do not hand over to the rendezvous winner."""
    simulation = OwnershipSimulation(6)
    simulation.settle(3.0, simulation.instances[:1])
    first = simulation.instances[0].name
    assert all(simulation.owners(name) == [first] for name in PARTITIONS)
    simulation.settle(20.0, simulation.instances)
    assert any(simulation.owners(name) not in ([], [first]) for name in PARTITIONS)


def is_takeover(request: KvRequest) -> bool:
    return isinstance(request, KvSwap) and request.expected_revision > 0


def test_claim_does_not_count_under_a_later_session() -> None:
    """Guards against a claim that is confirmed after the session changed.

    Another instance may have read the old session as gone and take over later.
    """
    simulation = OwnershipSimulation(2)
    for instance in simulation.instances:
        simulation.renew(instance)
    for instance in simulation.instances:
        simulation.deliver_watch_events(instance, 100)
    first = next(instance for instance in simulation.instances if instance.requests)
    other = next(instance for instance in simulation.instances if instance is not first)
    while first.requests:
        simulation.process_request(first, 0)
    first.paused = True
    for step in range(200):
        if any(is_takeover(one) for one in other.requests):
            break
        if step % 30 == 0:
            simulation.renew(other)
        simulation.deliver_watch_events(other, 100)
        while other.requests and not is_takeover(other.requests[0]):
            simulation.process_request(other, 0)
            simulation.deliver_answer(other, 0, lost=False)
        simulation.advance(0.1)
    assert any(is_takeover(one) for one in other.requests)
    first.paused = False
    # The answer of the claim is lost; the first instance reads its record back.
    first.answers.clear()
    simulation.renew(first)
    simulation.renew(first)
    while first.requests and isinstance(first.requests[0], KvGet):
        simulation.process_request(first, 0)
        simulation.deliver_answer(first, 0, lost=False)
    while other.requests or other.answers:
        simulation.process_request(other, 0)
        simulation.deliver_answer(other, 0, lost=False)
        simulation.check()
    assert any(simulation.owners(name) == [other.name] for name in PARTITIONS)
