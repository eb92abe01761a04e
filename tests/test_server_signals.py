"""Which servers may be chosen after they have stated that they leave or pause."""

from __future__ import annotations

import math

import attrs
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinspool.server_signals.pause import TRIAL_INTERVAL_S
from siskinspool.server_signals.permission import (
    GONE,
    MAY_BE_CHOSEN,
    MayBeChosenByMore,
)
from siskinspool.server_signals.server_signals import (
    MAX_PAUSE_S,
    MAX_SPREAD_S,
    UNNAMED_LEAVING_S,
)

from .builders_signals import answer, leaving, pause, signals, start

NOW = 100.0
SERVER_IDS = st.sampled_from(["s1", "s2"])


def test_late_answer_of_an_earlier_start_changes_nothing() -> None:
    """Guards against a restarted server that gets nothing for good."""
    decision = signals()
    decision.observe(leaving(start(born_ms=1), NOW))
    decision.observe(pause(start(born_ms=1), NOW))
    assert decision.permission(start(born_ms=1), NOW) is GONE
    assert decision.permission(start(born_ms=2), NOW) is MAY_BE_CHOSEN
    # Another server may have the address now.
    assert decision.permission(start("s9"), NOW) is MAY_BE_CHOSEN


def test_leaving_server_without_a_named_start_is_tried_again() -> None:
    """Guards against a restarted server that is never used, as no restart shows."""
    decision = signals()
    unnamed = attrs.evolve(start(), born_ms=None)
    decision.observe(leaving(unnamed, NOW))
    until = NOW + UNNAMED_LEAVING_S
    assert decision.permission(unnamed, until - 0.1) is GONE
    assert decision.permission(unnamed, until) is MAY_BE_CHOSEN
    assert decision.observe(leaving(unnamed, until + 0.1))
    assert decision.permission(unnamed, until + 0.2) is GONE


def test_late_answer_of_a_shorter_pause_does_not_end_the_longer_one() -> None:
    """Guards against requests during a pause, after answers in another order."""
    decision = signals()
    decision.observe(pause(start(), NOW, 5.0))
    assert not decision.observe(pause(start(), NOW + 0.1, 1.0))
    assert not decision.observe(answer(start(), NOW + 0.2))
    assert decision.permission(start(), NOW + 4.9) == MayBeChosenByMore(0)
    assert decision.opens_at(start(), NOW + 4.9) >= NOW + 5.0


def test_huge_pause_is_bounded_and_empty_one_ignored() -> None:
    """Guards against a server that is lost for its gateways by one mistake."""
    decision = signals()
    for retry_after_s in (0.0, -1.0, math.nan):
        assert not decision.observe(pause(start(), NOW, retry_after_s))
    decision.observe(pause(start(), NOW, 1e12))
    assert decision.opens_at(start(), NOW) <= NOW + MAX_PAUSE_S + MAX_SPREAD_S


def test_lost_trial_does_not_keep_a_server_closed() -> None:
    """Guards against a server that is never used again after a lost request."""
    decision = signals()
    decision.observe(pause(start(), NOW, 1.0))
    at = decision.opens_at(start(), NOW)
    decision.record_sent(start(), at)
    assert not decision.permission(start(), at).allows_next
    assert decision.opens_at(start(), at) == at + TRIAL_INTERVAL_S
    assert decision.permission(start(), at + TRIAL_INTERVAL_S).allows_next


def test_gateways_open_a_server_at_different_times() -> None:
    """Guards against all gateways that try a small server at the same moment."""
    times = []
    for seed in range(40):
        decision = signals(seed)
        decision.observe(pause(start(), NOW, 2.0))
        times.append(decision.opens_at(start(), NOW))
    assert min(times) >= NOW + 2.0
    assert MAX_SPREAD_S / 2 < max(times) - min(times) <= MAX_SPREAD_S


class SignalsMachine(RuleBasedStateMachine):
    """Compares the decision with what the servers' statements allow."""

    def __init__(self) -> None:
        super().__init__()
        self.decision = signals()
        self.now = NOW
        self.born_by_id = {"s1": 1, "s2": 1}
        self.left: set[tuple[str, int]] = set()
        # Latest end of a stated pause, and requests since it, by server and start.
        self.end_by_start: dict[tuple[str, int], float] = {}
        self.trials_by_start: dict[tuple[str, int], list[float]] = {}

    @rule(seconds=st.floats(0.001, 3.0))
    def advance(self, seconds: float) -> None:
        self.now += seconds

    @rule(server_id=SERVER_IDS)
    def restart(self, server_id: str) -> None:
        self.born_by_id[server_id] += 1

    @rule(server_id=SERVER_IDS, is_late=st.booleans())
    def state_leaving(self, server_id: str, is_late: bool) -> None:
        born = self.born_by_id[server_id] - is_late
        self.left.add((server_id, born))
        self.decision.observe(leaving(start(server_id, born), self.now))

    @rule(server_id=SERVER_IDS, is_late=st.booleans(), pause_s=st.floats(0.01, 5.0))
    def state_pause(self, server_id: str, is_late: bool, pause_s: float) -> None:
        key = (server_id, self.born_by_id[server_id] - is_late)
        before = self.end_by_start.get(key, 0.0)
        self.end_by_start[key] = max(before, self.now + pause_s)
        if self.now + pause_s > before:
            self.trials_by_start[key] = []
        self.decision.observe(pause(start(*key), self.now, pause_s))

    @rule(server_id=SERVER_IDS)
    def answer(self, server_id: str) -> None:
        key = self.key(server_id)
        if self.now >= self.decision.opens_at(start(*key), self.now):
            # An answer after the pause allows more.
            self.trials_by_start.pop(key, None)
        self.decision.observe(answer(start(*key), self.now))

    @rule(server_id=SERVER_IDS, count=st.integers(1, 30))
    def send_queue(self, server_id: str, count: int) -> None:
        """Send as many requests of a queue as are allowed now."""
        key = self.key(server_id)
        for _ in range(count):
            if not self.decision.permission(start(*key), self.now).allows_next:
                break
            assert key not in self.left
            assert self.now >= self.end_by_start.get(key, 0.0)
            self.decision.record_sent(start(*key), self.now)
            if key in self.trials_by_start:
                self.trials_by_start[key].append(self.now)

    @invariant()
    def pauses_are_followed_by_few_requests(self) -> None:
        for times in self.trials_by_start.values():
            recent = [at for at in times if at > self.now - TRIAL_INTERVAL_S]
            assert len(recent) <= 1

    @invariant()
    def server_without_a_signal_is_open(self) -> None:
        for server_id in self.born_by_id:
            key = self.key(server_id)
            if key not in self.left and key not in self.end_by_start:
                permission = self.decision.permission(start(*key), self.now)
                assert permission is MAY_BE_CHOSEN

    @invariant()
    def server_opens_soon_after_its_pause(self) -> None:
        for server_id in self.born_by_id:
            key = self.key(server_id)
            latest = max(self.end_by_start.get(key, 0.0), self.now)
            if key not in self.left:
                opens_at = self.decision.opens_at(start(*key), self.now)
                assert opens_at <= latest + MAX_SPREAD_S + TRIAL_INTERVAL_S

    def key(self, server_id: str) -> tuple[str, int]:
        return server_id, self.born_by_id[server_id]


TestSignalsMachine = SignalsMachine.TestCase
