"""Revisions: every instance gets the newest one and none reverts (R13)."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinspool.core.message import Address, Incoming
from siskinspool.machines.messages import PeerRevisionSeen

from .builders_manifest import RevisionsCluster, manifest

IDS = ("i1", "i2", "i3")


def deliver_heartbeat(cluster: RevisionsCluster, receiver: str, sender: str) -> None:
    """Deliver the revision of one instance to another as a heartbeat does."""
    revision = cluster.revisions_by_id[sender].revision
    message = PeerRevisionSeen(revision, sender)
    incoming = Incoming(Address(receiver, "membership"), message)
    decision = cluster.revisions_by_id[receiver]
    cluster.run(receiver, decision.handle(incoming, cluster.now))


def test_instance_cut_from_the_service_learns_from_a_neighbour() -> None:
    """Guards against a disconnected instance that serves a withdrawn configuration."""
    cluster = RevisionsCluster.with_instances("i1", "i2")
    cluster.disconnected = {"i2"}
    for number in range(5):
        cluster.store.publish(manifest({"t1": 1.0 + number}))
        cluster.advance(2.5)
        deliver_heartbeat(cluster, "i2", "i1")
    assert cluster.revisions_by_id["i2"].revision == 5


def test_lagging_read_does_not_revert() -> None:
    """Guards against an instance that applies an old head from a stale read."""
    cluster = RevisionsCluster.with_instances("i1")
    for number in range(3):
        cluster.store.publish(manifest({"t1": 1.0 + number}))
    cluster.advance(2.5)
    cluster.lag = 2
    cluster.watch_event("i1")
    cluster.advance(2.5)
    assert cluster.revisions_by_id["i1"].revision == 3


class RevisionMachine(RuleBasedStateMachine):
    """Publications, stale reads, lost connections and heartbeats in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = RevisionsCluster.with_instances(*IDS)
        self.seen = dict.fromkeys(IDS, 0)

    @rule(teams=st.dictionaries(st.sampled_from(["t1", "t2"]), st.floats(1, 9)))
    def publish(self, teams: dict[str, float]) -> None:
        self.cluster.store.publish(manifest(teams))

    @rule(instance=st.sampled_from(IDS))
    def watch_event(self, instance: str) -> None:
        if instance not in self.cluster.disconnected:
            self.cluster.watch_event(instance)

    @rule(cut=st.sets(st.sampled_from(IDS)), lag=st.integers(0, 3))
    def change_faults(self, cut: set[str], lag: int) -> None:
        self.cluster.disconnected, self.cluster.lag = cut, lag

    @rule(listener=st.sampled_from(IDS), speaker=st.sampled_from(IDS))
    def heartbeat(self, listener: str, speaker: str) -> None:
        deliver_heartbeat(self.cluster, listener, speaker)

    @rule(seconds=st.floats(0.1, 4.0))
    def advance(self, seconds: float) -> None:
        self.cluster.advance(seconds)

    @invariant()
    def no_instance_goes_back(self) -> None:
        for instance_id, decision in self.cluster.revisions_by_id.items():
            assert decision.revision >= self.seen[instance_id]
            assert decision.revision <= len(self.cluster.store.heads)
            self.seen[instance_id] = decision.revision

    def teardown(self) -> None:
        self.cluster.disconnected, self.cluster.lag = set(), 0
        self.cluster.advance(4.0)
        self.cluster.advance(4.0)
        for decision in self.cluster.revisions_by_id.values():
            assert decision.revision == len(self.cluster.store.heads)


TestRevisionMachine = RevisionMachine.TestCase
