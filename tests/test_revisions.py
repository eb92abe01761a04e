"""Revisions: every instance gets the newest one and none reverts (R13)."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinspool.core.message import Address, Incoming
from siskinspool.machines.messages import PeerRevisionSeen

from .builders_manifest import Fleet, manifest

IDS = ("i1", "i2", "i3")


def deliver_heartbeat(fleet: Fleet, listener: str, speaker: str) -> None:
    """Deliver the revision of one instance to another as a heartbeat does."""
    revision = fleet.revisions_by_id[speaker].revision
    message = PeerRevisionSeen(revision, speaker)
    incoming = Incoming(Address(listener, "membership"), message)
    decision = fleet.revisions_by_id[listener]
    fleet.run(listener, decision.handle(incoming, fleet.now))


def test_instance_cut_from_the_service_learns_from_a_neighbour() -> None:
    """Guards against a disconnected instance that serves a withdrawn configuration."""
    fleet = Fleet.of("i1", "i2")
    fleet.cut = {"i2"}
    for number in range(5):
        fleet.store.publish(manifest({"t1": 1.0 + number}))
        fleet.advance(2.5)
        deliver_heartbeat(fleet, "i2", "i1")
    assert fleet.revisions_by_id["i2"].revision == 5


def test_lagging_read_does_not_revert() -> None:
    """Guards against an instance that applies an old head from a stale read."""
    fleet = Fleet.of("i1")
    for number in range(3):
        fleet.store.publish(manifest({"t1": 1.0 + number}))
    fleet.advance(2.5)
    fleet.lag = 2
    fleet.watch_event("i1")
    fleet.advance(2.5)
    assert fleet.revisions_by_id["i1"].revision == 3


class RevisionMachine(RuleBasedStateMachine):
    """Publications, stale reads, lost connections and heartbeats in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet.of(*IDS)
        self.seen = dict.fromkeys(IDS, 0)

    @rule(teams=st.dictionaries(st.sampled_from(["t1", "t2"]), st.floats(1, 9)))
    def publish(self, teams: dict[str, float]) -> None:
        self.fleet.store.publish(manifest(teams))

    @rule(instance=st.sampled_from(IDS))
    def watch_event(self, instance: str) -> None:
        if instance not in self.fleet.cut:
            self.fleet.watch_event(instance)

    @rule(cut=st.sets(st.sampled_from(IDS)), lag=st.integers(0, 3))
    def change_faults(self, cut: set[str], lag: int) -> None:
        self.fleet.cut, self.fleet.lag = cut, lag

    @rule(listener=st.sampled_from(IDS), speaker=st.sampled_from(IDS))
    def heartbeat(self, listener: str, speaker: str) -> None:
        deliver_heartbeat(self.fleet, listener, speaker)

    @rule(seconds=st.floats(0.1, 4.0))
    def advance(self, seconds: float) -> None:
        self.fleet.advance(seconds)

    @invariant()
    def no_instance_goes_back(self) -> None:
        for instance_id, decision in self.fleet.revisions_by_id.items():
            assert decision.revision >= self.seen[instance_id]
            assert decision.revision <= len(self.fleet.store.heads)
            self.seen[instance_id] = decision.revision

    def teardown(self) -> None:
        self.fleet.cut, self.fleet.lag = set(), 0
        self.fleet.advance(4.0)
        self.fleet.advance(4.0)
        for decision in self.fleet.revisions_by_id.values():
            assert decision.revision == len(self.fleet.store.heads)


TestRevisionMachine = RevisionMachine.TestCase
