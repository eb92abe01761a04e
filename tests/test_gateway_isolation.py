"""Detection of a gateway's isolation from the store and the other gateways."""

from __future__ import annotations

from siskinspool.core.message import Message
from siskinspool.gateway.isolation import PEER_SILENCE_S, IsolationDetector
from siskinspool.gateway.messages import IsolationChanged, PeerProbe, PeerProbeAnswer
from siskinspool.store.kv_events import KvReachability

from .builders_gateway import incoming, membership, messages


class IsolationHarness:
    """Drives an isolation decision through outages of the store and of peers."""

    def __init__(self, *peers: str) -> None:
        self.now = 100.0
        self.decision = IsolationDetector("g1")
        self.send(membership("g1", *peers))

    def send(self, message: Message, sender: str = "g2") -> list[Message]:
        return messages(self.decision.handle(incoming(message, sender), self.now))

    def lose_store(self, seconds: float, answering: tuple[str, ...]) -> list[Message]:
        """Advance the time; only the given peers answer, and the store does not."""
        found: list[Message] = []
        end = self.now + seconds
        while self.now < end:
            self.send(KvReachability(False, self.now))
            step = messages(self.decision.on_time(self.now))
            if any(isinstance(one, PeerProbe) for one in step):
                for peer in answering:
                    step += self.send(PeerProbeAnswer(), peer)
            found += [one for one in step if isinstance(one, IsolationChanged)]
            self.now += 0.1
        return found


def test_gateway_without_store_and_peers_is_isolated_until_the_store_answers() -> None:
    """Guards against requests at a gateway without current keys and caps.

    In baul-bogota scale-2, two gateways were partitioned off for 12 s and answered 102
    requests with 429, since no owner granted them tokens.
    """
    harness = IsolationHarness("g2", "g3")
    assert harness.lose_store(3.0 + PEER_SILENCE_S, answering=()) == [
        IsolationChanged(True)
    ]
    assert harness.send(KvReachability(True, harness.now)) == [IsolationChanged(False)]


def test_gateways_stay_ready_during_an_outage_of_the_store_alone() -> None:
    """Guards against an outage of the store that makes all gateways not ready."""
    harness = IsolationHarness("g2", "g3")
    assert harness.lose_store(30.0, answering=("g2", "g3")) == []


def test_answer_of_a_peer_ends_the_isolation() -> None:
    """Guards against a gateway that stays not ready while it can reach others."""
    harness = IsolationHarness("g2")
    assert harness.lose_store(5.0, answering=()) == [IsolationChanged(True)]
    assert harness.send(PeerProbeAnswer()) == [IsolationChanged(False)]


def test_single_gateway_is_never_isolated() -> None:
    """Guards against a site with one gateway that is not ready in a store outage."""
    harness = IsolationHarness()
    assert harness.lose_store(30.0, answering=()) == []


def test_gateways_partitioned_off_together_are_isolated() -> None:
    """Guards against two gateways that stay ready since they reach each other."""
    harness = IsolationHarness("g2", "g3", "g4", "g5")
    assert harness.lose_store(5.0, answering=("g2",)) == [IsolationChanged(True)]


def test_few_peers_are_probed_on_a_large_site() -> None:
    """Guards against a number of probes that grows with the square of the site."""
    harness = IsolationHarness(*(f"g{number}" for number in range(2, 400)))
    harness.send(KvReachability(False, harness.now))
    harness.now += 2.0
    assert len(messages(harness.decision.on_time(harness.now))) <= 5
