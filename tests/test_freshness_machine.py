"""Configuration freshness (R4, R13): which instances are current, and until when."""

from __future__ import annotations

import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinspool.core.message import Address, Outgoing
from siskinspool.links.codec import MsgpackCodec
from siskinspool.machines.heartbeat import Heartbeat, member_hash
from siskinspool.machines.messages import LeavingChanged

from .builders_freshness import FleetSimulation

INSTANCE_NUMBERS = st.integers(0, 4)


class FreshnessMachine(RuleBasedStateMachine):
    """Applies cuts, pauses and delays; the service itself never fails here.

    An outage that only part of the fleet observes cannot be distinguished from a cut,
    so the machine keeps a majority connected to the service.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = FleetSimulation(5)
        self.fleet.run(2.0)

    @rule(seconds=st.sampled_from((0.1, 0.5, 2.0, 4.5)))
    def run(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule(delay_s=st.sampled_from((0.002, 0.3, 1.5, 5.0)))
    def slow_links(self, delay_s: float) -> None:
        self.fleet.delay_s = delay_s

    @rule(number=st.integers(0, 1), cut=st.booleans())
    def cut_from_service(self, number: int, cut: bool) -> None:
        self.fleet.instances[number].is_cut_off = cut

    @rule(one=INSTANCE_NUMBERS, other=INSTANCE_NUMBERS)
    def block(self, one: int, other: int) -> None:
        self.fleet.blocked_links.add((f"i{one:03d}", f"i{other:03d}"))

    @rule()
    def unblock(self) -> None:
        self.fleet.blocked_links.clear()

    @rule(number=INSTANCE_NUMBERS, paused=st.booleans())
    def pause(self, number: int, paused: bool) -> None:
        self.fleet.instances[number].is_paused = paused

    @rule()
    def accept_revision(self) -> None:
        self.fleet.accept_revision()

    @rule(number=INSTANCE_NUMBERS)
    def apply(self, number: int) -> None:
        if not self.fleet.instances[number].is_paused:
            self.fleet.apply(self.fleet.instances[number])

    @invariant()
    def nobody_trusts_an_old_configuration(self) -> None:
        self.fleet.check()


TestFreshnessMachine = FreshnessMachine.TestCase
TestFreshnessMachine.__doc__ = """Guards against a revoked key that still works (R4)."""


def isolate(fleet: FleetSimulation, name: str) -> None:
    fleet.instance_by_name[name].is_cut_off = True
    for other in fleet.instance_by_name:
        fleet.blocked_links |= {(name, other), (other, name)}


def test_instance_cut_off_from_all_stops_within_four_seconds() -> None:
    """Guards against an instance that keeps serving without any connection (R4)."""
    fleet = FleetSimulation(5)
    fleet.run(3.0)
    assert all(fleet.is_current(one) for one in fleet.instances)
    isolate(fleet, "i000")
    fleet.run(4.05)
    assert [fleet.is_current(one) for one in fleet.instances] == [False] + [True] * 4


def test_instance_cut_off_from_the_service_lives_on_its_neighbours() -> None:
    """Guards against refusals when one instance cannot reach the service (M4)."""
    fleet = FleetSimulation(5)
    fleet.run(3.0)
    fleet.instance_by_name["i000"].is_cut_off = True
    for _ in range(20):
        fleet.run(0.5)
        assert all(fleet.is_current(one) for one in fleet.instances)


@pytest.mark.parametrize("count", [1, 5, 40])
def test_all_stay_current_in_an_outage(count: int) -> None:
    """Guards against a whole fleet that refuses work when the service fails (M5)."""
    fleet = FleetSimulation(count)
    fleet.run(5.0)
    fleet.is_service_down = True
    for _ in range(100):
        fleet.run(0.1)
        assert all(fleet.is_current(one) for one in fleet.instances), fleet.time
    assert all(one.freshness.is_store_outage for one in fleet.instances)
    fleet.is_service_down = False
    fleet.run(4.0)
    assert all(fleet.is_current(one) for one in fleet.instances)
    assert not any(one.freshness.is_store_outage for one in fleet.instances)


def test_minority_without_the_service_is_no_outage() -> None:
    """Guards against two cut-off instances that confirm each other (R4)."""
    fleet = FleetSimulation(5)
    fleet.run(3.0)
    for name in ("i000", "i001"):
        fleet.instance_by_name[name].is_cut_off = True
        for other in ("i002", "i003", "i004"):
            fleet.blocked_links |= {(name, other), (other, name)}
    fleet.run(4.1)
    current = [fleet.is_current(one) for one in fleet.instances]
    assert current == [False, False, True, True, True]


def test_chain_of_neighbours_does_not_renew_evidence() -> None:
    """Guards against evidence that circulates and never expires (R4)."""
    fleet = FleetSimulation(8)
    fleet.run(3.0)
    for instance in fleet.instances[1:]:
        instance.is_cut_off = True
    isolate(fleet, "i000")
    chain = [one.member.instance_id for one in fleet.instances[1:]]
    for place, name in enumerate(chain):
        for far in chain[place + 2 :]:
            fleet.blocked_links |= {(name, far), (far, name)}
    # A majority of the 8 cannot reach the service. The larger electorate keeps their
    # outage statements from being a majority, so that only evidence counts.
    for instance in fleet.instances:
        instance.decision._freshness._vote_ends_at_by_member[0] = 1e12
        for extra in range(20):
            instance.decision._freshness._vote_ends_at_by_member[extra] = 1e12
    fleet.run(4.1)
    assert not any(fleet.is_current(one) for one in fleet.instances)


def test_heartbeats_that_waited_in_an_inbox_are_old() -> None:
    """Guards against a resumed process that treats queued heartbeats as new (R4)."""
    fleet = FleetSimulation(5)
    fleet.run(3.0)
    paused_instance = fleet.instance_by_name["i000"]
    paused_instance.is_cut_off = True
    paused_instance.is_paused = True
    fleet.run(6.0)
    fleet.accept_revision()
    for one in fleet.instances[1:]:
        fleet.apply(one)
    for other in fleet.instance_by_name:
        fleet.blocked_links |= {("i000", other), (other, "i000")}
    fleet.run(6.0)
    assert not fleet.is_current(paused_instance)
    paused_instance.is_paused = False
    fleet.advance(0.01)
    assert not fleet.is_current(paused_instance)


def test_heard_revision_goes_to_the_revisions_task() -> None:
    """Guards against an instance without the service that never learns of changes."""
    fleet = FleetSimulation(3)
    fleet.run(3.0)
    fleet.instance_by_name["i000"].is_cut_off = True
    fleet.accept_revision()
    for one in fleet.instances[1:]:
        fleet.apply(one)
    fleet.run(1.0)
    revision_seen = fleet.instance_by_name["i000"].heard_revisions
    assert revision_seen and revision_seen[0].revision == 2


def test_leaving_spreads_to_instances_without_the_list() -> None:
    """Guards against new work for a leaving server while the list is down (R11)."""
    fleet = FleetSimulation(30)
    fleet.run(2.0)
    leaving = LeavingChanged(frozenset({"s1"}), frozenset({"i003"}))
    fleet.deliver(fleet.instance_by_name["i000"], leaving)
    fleet.run(4.0)
    for instance in fleet.instances:
        published = instance.decision._published_leaving
        assert published.server_ids == {"s1"} and published.instance_ids == {"i003"}
        assert instance.decision._published_members["i003"].draining


@pytest.mark.parametrize(
    ("members", "quiet", "outage"), [(8, 240, 300), (410, 240, 3_000)]
)
def test_heartbeat_stays_small(members: int, quiet: int, outage: int) -> None:
    """Guards against heartbeats that use up the network budget of 2 KB/s."""
    names = [f"lagos-a-{number:03d}" for number in range(members)]
    said = {member_hash(name): 17 for name in names}
    codec = MsgpackCodec()
    for statements, limit in (({}, quiet), (said, outage)):
        beat = Heartbeat(
            86_400_000, 86_399_500, 250, 40_000, 40_000, 900, outage=statements
        )
        outgoing = Outgoing(Address(names[1], "membership"), beat)
        size = len(codec.encode(Address(names[0], "membership"), outgoing))
        print(f"members={members} statements={len(statements)} bytes={size}")
        assert size <= limit
