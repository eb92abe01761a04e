"""Ownership: never two valid owners, and every partition finds an owner again."""

from __future__ import annotations

import random

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinspool.store.kv import KvGet, KvRequest, KvSwap

from .builders_ownership import PARTITIONS, OwnershipSimulation

NODES = st.integers(0, 2)
INDEX = st.integers(0, 5)


class OwnershipMachine(RuleBasedStateMachine):
    """Drives the world in any order, and lets it settle at the end."""

    def __init__(self) -> None:
        super().__init__()
        self.world = OwnershipSimulation()
        self.world.settle(1.0, self.world.nodes)

    @rule(seconds=st.sampled_from((0.1, 0.5, 1.0, 3.0, 8.9, 10.0)))
    def advance(self, seconds: float) -> None:
        self.world.advance(seconds)

    @rule(node=NODES, lost=st.booleans())
    def renew(self, node: int, lost: bool) -> None:
        one = self.world.nodes[node]
        self.world.renew(one, lost)

    @rule(node=NODES)
    def send_renewal(self, node: int) -> None:
        self.world.send_renewal(self.world.nodes[node])

    @rule(node=NODES)
    def renewal_arrives(self, node: int) -> None:
        self.world.process_renewal(self.world.nodes[node])

    @rule(node=NODES, lost=st.booleans())
    def renewal_answer(self, node: int, lost: bool) -> None:
        self.world.deliver_renewal_answer(self.world.nodes[node], lost)

    @rule(node=NODES, index=INDEX)
    def request_arrives(self, node: int, index: int) -> None:
        self.world.process_request(self.world.nodes[node], index)

    @rule(node=NODES, index=INDEX)
    def late_request_arrives(self, node: int, index: int) -> None:
        self.world.process_late_request(self.world.nodes[node], index)

    @rule(node=NODES, index=INDEX, lost=st.booleans())
    def answer(self, node: int, index: int, lost: bool) -> None:
        self.world.deliver_answer(self.world.nodes[node], index, lost)

    @rule(node=NODES, index=INDEX, sent=st.booleans())
    def give_up_request(self, node: int, index: int, sent: bool) -> None:
        self.world.abandon_request(self.world.nodes[node], index, sent)

    @rule(node=NODES, count=st.integers(1, 20))
    def watch_shows(self, node: int, count: int) -> None:
        self.world.deliver_watch_events(self.world.nodes[node], count)

    @rule(seconds=st.sampled_from((1.0, 4.0)))
    def calm(self, seconds: float) -> None:
        self.world.settle(seconds, self.world.nodes)

    @rule(node=NODES)
    def pause(self, node: int) -> None:
        self.world.nodes[node].paused = True

    @rule(node=NODES)
    def resume(self, node: int) -> None:
        self.world.nodes[node].paused = False

    @rule(node=NODES)
    def restart(self, node: int) -> None:
        self.world.restart(self.world.nodes[node])

    @invariant()
    def no_two_owners(self) -> None:
        self.world.check()

    def teardown(self) -> None:
        self.world.settle(40.0, self.world.nodes)
        for partition in PARTITIONS:
            assert len(self.world.owners(partition)) == 1


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.__doc__ = """Guards against two owners, and against none for ever.

R1, R5 and R10 rest on it: placement, mints and claim logs have one owner each.
"""


def walk(seed: int, steps: int) -> OwnershipSimulation:
    """Drive a world at random, with faults rare enough for much progress."""
    choose = random.Random(seed)
    world = OwnershipSimulation()
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
        node = choose.choice(world.nodes)
        lost = choose.random() < 0.15
        index = choose.randrange(6)
        match choose.choices(list(weights), list(weights.values()))[0]:
            case "advance":
                far = choose.random() < 0.01
                world.advance(9.5 if far else choose.choice((0.02, 0.1, 0.2, 0.5)))
            case "renew":
                world.renew(node, lost)
            case "renewal_step":
                step = choose.choice((world.send_renewal, world.process_renewal))
                step(node)
                if choose.random() < 0.5:
                    world.deliver_renewal_answer(node, lost)
            case "request":
                world.process_request(node, index)
            case "answer":
                world.deliver_answer(node, index, lost)
            case "watch":
                world.deliver_watch_events(node, index + 1)
            case "late":
                world.process_late_request(node, index)
            case "give_up":
                world.abandon_request(node, index, sent=lost or index > 1)
            case "pause":
                node.paused = True
            case "resume":
                node.paused = False
            case "restart":
                world.restart(node)
        world.check()
    return world


@pytest.mark.parametrize("seed", range(30))
def test_random_walk_never_has_two_owners(seed: int) -> None:
    """Guards against overlapping owners in long histories with many takeovers."""
    world = walk(seed, 4_000)
    assert world.gains > 10
    world.settle(40.0, world.nodes)
    assert all(len(world.owners(name)) == 1 for name in PARTITIONS)


def test_partitions_of_a_dead_instance_are_taken_over() -> None:
    """Guards against partitions that stay without owner when an instance dies."""
    world = OwnershipSimulation()
    world.settle(20.0, world.nodes)
    dead = next(n for n in world.nodes if n.name in world.owners(PARTITIONS[0]))
    dead.paused = True
    live = [node for node in world.nodes if node is not dead]
    world.settle(17.0, live)
    for partition in PARTITIONS:
        assert len(world.owners(partition)) == 1
        assert dead.name not in world.owners(partition)


def test_draining_instance_hands_over_at_once() -> None:
    """Guards against a planned stop that leaves partitions to the session's end."""
    world = OwnershipSimulation()
    world.settle(20.0, world.nodes)
    leaver = next(n for n in world.nodes if n.name in world.owners(PARTITIONS[0]))
    for node in world.nodes:
        node.member_by_id[leaver.name] = leaver.member
    world.drain(leaver)
    world.settle(2.5, world.nodes)
    for partition in PARTITIONS:
        assert len(world.owners(partition)) == 1
        assert leaver.name not in world.owners(partition)


def test_joining_winner_gets_its_partitions() -> None:
    """Guards against owners that stay although others are the rendezvous winners."""
    world = OwnershipSimulation(6)
    world.settle(3.0, world.nodes[:1])
    first = world.nodes[0].name
    assert all(world.owners(name) == [first] for name in PARTITIONS)
    world.settle(20.0, world.nodes)
    assert any(world.owners(name) not in ([], [first]) for name in PARTITIONS)


def is_takeover(request: KvRequest) -> bool:
    return isinstance(request, KvSwap) and request.expected_revision > 0


def test_claim_does_not_count_under_a_later_session() -> None:
    """Guards against a claim that is confirmed after the session changed.

    Another instance may have read the old session as gone and take over later.
    """
    world = OwnershipSimulation(2)
    for node in world.nodes:
        world.renew(node)
    for node in world.nodes:
        world.deliver_watch_events(node, 100)
    first = next(node for node in world.nodes if node.requests)
    other = next(node for node in world.nodes if node is not first)
    while first.requests:
        world.process_request(first, 0)
    first.paused = True
    for step in range(200):
        if any(is_takeover(one) for one in other.requests):
            break
        if step % 30 == 0:
            world.renew(other)
        world.deliver_watch_events(other, 100)
        while other.requests and not is_takeover(other.requests[0]):
            world.process_request(other, 0)
            world.deliver_answer(other, 0, lost=False)
        world.advance(0.1)
    assert any(is_takeover(one) for one in other.requests)
    first.paused = False
    # The claim's answer is lost; the first instance reads its record back.
    first.answers.clear()
    world.renew(first)
    world.renew(first)
    while first.requests and isinstance(first.requests[0], KvGet):
        world.process_request(first, 0)
        world.deliver_answer(first, 0, lost=False)
    while other.requests or other.answers:
        world.process_request(other, 0)
        world.deliver_answer(other, 0, lost=False)
        world.check()
    assert any(world.owners(name) == [other.name] for name in PARTITIONS)
