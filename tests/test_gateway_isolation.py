"""When a gateway that is cut off sends requesters to others."""

from __future__ import annotations

from siskinspool.core.message import Message
from siskinspool.gateway.isolation import PEER_SILENCE_S, IsolationDetector
from siskinspool.gateway.messages import IsolationChanged, PeerProbe, PeerProbeAnswer
from siskinspool.store.kv_events import KvReachable

from .builders_gateway import incoming, membership, messages


class Cut:
    """A gateway whose store and peers the test takes away."""

    def __init__(self, *peers: str) -> None:
        self.now = 100.0
        self.decision = IsolationDetector("g1")
        self.tell(membership("g1", *peers))

    def tell(self, message: Message, sender: str = "g2") -> list[Message]:
        return messages(self.decision.handle(incoming(message, sender), self.now))

    def lose_store(self, seconds: float, answering: tuple[str, ...]) -> list[Message]:
        """Let time pass in which the store and some peers do not answer."""
        found: list[Message] = []
        end = self.now + seconds
        while self.now < end:
            self.tell(KvReachable(False, self.now))
            step = messages(self.decision.on_time(self.now))
            if any(isinstance(one, PeerProbe) for one in step):
                for peer in answering:
                    step += self.tell(PeerProbeAnswer(), peer)
            found += [one for one in step if isinstance(one, IsolationChanged)]
            self.now += 0.1
        return found


def test_gateway_without_store_and_peers_is_isolated_until_the_store_answers() -> None:
    """Guards against requests at a gateway that knows neither keys nor caps.

    baul-bogota scale-2: two gateways were cut off for 12 s and answered 102 requests
    with 429, since nobody granted them tokens.
    """
    cut = Cut("g2", "g3")
    assert cut.lose_store(3.0 + PEER_SILENCE_S, answering=()) == [
        IsolationChanged(True)
    ]
    assert cut.tell(KvReachable(True, cut.now)) == [IsolationChanged(False)]


def test_gateways_stay_ready_while_only_the_store_is_away() -> None:
    """Guards against an outage of the store that empties the whole rotation."""
    cut = Cut("g2", "g3")
    assert cut.lose_store(30.0, answering=("g2", "g3")) == []


def test_answer_of_a_peer_ends_the_isolation() -> None:
    """Guards against a gateway that stays away while others are in reach."""
    cut = Cut("g2")
    assert cut.lose_store(5.0, answering=()) == [IsolationChanged(True)]
    assert cut.tell(PeerProbeAnswer()) == [IsolationChanged(False)]


def test_single_gateway_is_never_isolated() -> None:
    """Guards against a site with one gateway that serves nobody in an outage."""
    cut = Cut()
    assert cut.lose_store(30.0, answering=()) == []


def test_gateways_that_are_cut_off_together_are_isolated() -> None:
    """Guards against two that are cut off and take each other for the system."""
    cut = Cut("g2", "g3", "g4", "g5")
    assert cut.lose_store(5.0, answering=("g2",)) == [IsolationChanged(True)]


def test_few_peers_are_asked_on_a_large_site() -> None:
    """Guards against questions that grow with the square of the site."""
    cut = Cut(*(f"g{number}" for number in range(2, 400)))
    cut.tell(KvReachable(False, cut.now))
    cut.now += 2.0
    assert len(messages(cut.decision.on_time(cut.now))) <= 5
