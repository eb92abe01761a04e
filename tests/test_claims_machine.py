"""State machine of claims on three instances under faults (R9, R10)."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from tests.builders_claims import ClaimCluster, DeliveryOutcome

INSTANCES = st.sampled_from(["a", "b", "c"])
KEYS = st.sampled_from(["k", "k", "k", "l"])
BODIES = st.sampled_from(["b", "b", "b", "b", "other"])
WAITS_S = st.sampled_from([1.0, 5.0, 20.0])
STEPS_S = st.sampled_from([0.004, 0.06, 0.6, 1.2, 3.0, 12.0])
FAILURES = st.sampled_from(
    [fate for fate in DeliveryOutcome if fate is not DeliveryOutcome.ANSWERED]
)


class ClaimsMachine(RuleBasedStateMachine):
    """Guards against two tokens that hold one key, and against a false "not run"."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = ClaimCluster()
        self.sim = self.cluster.sim
        for observer in ("a", "b", "c"):
            self.cluster.set_owner(observer, "a")

    @rule(instances=st.sets(INSTANCES, min_size=1), key=KEYS, body=BODIES, wait=WAITS_S)
    def ask(self, instances: set[str], key: str, body: str, wait: float) -> None:
        for instance in sorted(instances - self.sim.frozen):
            self.cluster.request_claim(instance, key, body, wait)

    @precondition(lambda self: self.cluster.holders())
    @rule(pick=st.integers(0, 9), size=st.sampled_from([1, 30_000]))
    def finish(self, pick: int, size: int) -> None:
        holders = self.cluster.holders()
        holder = holders[pick % len(holders)]
        if holder.instance not in self.sim.frozen:
            self.cluster.finish(holder, size)

    @precondition(lambda self: self.cluster.holders())
    @rule(pick=st.integers(0, 9))
    def release(self, pick: int) -> None:
        holders = self.cluster.holders()
        holder = holders[pick % len(holders)]
        if holder.instance not in self.sim.frozen:
            self.cluster.release(holder)

    @precondition(lambda self: self.sim.pending)
    @rule(
        index=st.integers(0, 9),
        fate=st.sampled_from(DeliveryOutcome),
        copy=st.booleans(),
    )
    def deliver(self, index: int, fate: DeliveryOutcome, copy: bool) -> None:
        self.sim.deliver(index, fate, copy and fate is DeliveryOutcome.ANSWERED)

    @precondition(lambda self: self.sim.pending)
    @rule(count=st.integers(1, 8))
    def deliver_some(self, count: int) -> None:
        for _ in range(min(count, len(self.sim.pending))):
            self.sim.deliver(0)

    @rule(fate=FAILURES, apply_late=st.booleans(), count=st.integers(1, 3))
    def fail_writes(self, fate: DeliveryOutcome, apply_late: bool, count: int) -> None:
        """Let the next writes fail with the same outcome."""
        for _ in range(count):
            write = self.sim.run_to_write()
            if write is not None:
                self.sim.deliver(self.sim.pending.index(write), fate)
                self.cluster.check()
        if apply_late and self.sim.kv.delayed:
            self.sim.kv.apply_late()

    @precondition(lambda self: self.sim.kv.delayed)
    @rule()
    def apply_late(self) -> None:
        self.sim.kv.apply_late()

    @rule(seconds=STEPS_S)
    def advance(self, seconds: float) -> None:
        self.sim.advance(seconds)

    @rule(seconds=st.sampled_from([0.1, 0.5, 4.0]))
    def run(self, seconds: float) -> None:
        self.sim.run(seconds)

    @rule(owner=INSTANCES, observers=st.sets(INSTANCES, min_size=1))
    def change_owner(self, owner: str, observers: set[str]) -> None:
        for observer in sorted(observers - self.sim.frozen):
            self.cluster.set_owner(observer, owner)

    @rule(instance=INSTANCES)
    def freeze_or_resume(self, instance: str) -> None:
        self.sim.frozen ^= {instance}

    @rule(instance=INSTANCES, announce=st.booleans())
    def kill(self, instance: str, announce: bool) -> None:
        self.cluster.kill(instance)
        if announce:
            self.cluster.announce()

    @rule()
    def announce(self) -> None:
        self.cluster.announce()

    @invariant()
    def answers_hold(self) -> None:
        self.cluster.check()

    def teardown(self) -> None:
        """Check that all requests of live handlers are answered once faults end."""
        self.sim.frozen.clear()
        while self.sim.kv.delayed:
            self.sim.kv.apply_late()
        self.sim.run(25.0, step=0.25)
        self.cluster.check()
        for attempt in self.cluster.attempts:
            assert attempt.instance == "dead" or attempt.reply is not None, attempt


TestClaimsMachine = ClaimsMachine.TestCase
TestClaimsMachine.settings = settings(max_examples=max(150, settings().max_examples))
