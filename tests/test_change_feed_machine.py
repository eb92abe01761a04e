"""State machine: under any faults, no instance goes back, and all end up alike."""

from __future__ import annotations

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from .builders_change_feed import BOUND_S, WATCH_WAIT_S, FeedFleet

COUNT = 7
NAMES = [f"g{number:03}" for number in range(COUNT)]
KEYS = ["op/config", "op/evacuate/z1", "servers/s1", "servers/s2"]
# Sessions end and begin, readers are chosen anew, and each listing is tried again.
RECOVERY_S = 4 * BOUND_S + 4.0


class ChangeFeedMachine(RuleBasedStateMachine):
    """Drives a fleet; `FeedFleet` itself checks that no key goes back."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = FeedFleet(COUNT)
        self.fleet.run(2.0)
        self.writes = 0
        self.written_at_by_key: dict[str, float] = {}
        self.copy = self.fleet.service.copy()
        # The end of the last fault.
        self.calm_since = self.fleet.now

    @rule(key=st.sampled_from(KEYS), large=st.booleans())
    def put(self, key: str, large: bool) -> None:
        self.writes += 1
        value = f'{{"n":{self.writes}}},' * (1_000 if large else 1)
        self.fleet.service.put(key, value.encode())
        self.written_at_by_key[key] = self.fleet.now

    @rule(key=st.sampled_from(KEYS))
    def remove(self, key: str) -> None:
        self.fleet.service.remove(key)
        self.written_at_by_key[key] = self.fleet.now

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        self.fleet.kill(name)

    @rule(name=st.sampled_from(NAMES))
    def start(self, name: str) -> None:
        if name in self.fleet.dead:
            self.fleet.start(name, self.fleet.by_name[name].own.zone)

    @rule(name=st.sampled_from(NAMES), suspends=st.booleans())
    def suspend_or_resume(self, name: str, suspends: bool) -> None:
        if suspends and name not in self.fleet.dead:
            self.fleet.suspended.add(name)
        elif name in self.fleet.suspended:
            self.fleet.resume(name)

    @rule(
        names=st.sets(st.sampled_from(NAMES)),
        mode=st.sampled_from(["refused", "unanswered"]),
    )
    def reject(self, names: set[str], mode: str) -> None:
        setattr(self.fleet, mode, names)

    @rule(one=st.sampled_from(NAMES), other=st.sampled_from(NAMES), both=st.booleans())
    def cut(self, one: str, other: str, both: bool) -> None:
        self.fleet.cuts.add((one, other))
        if both:
            self.fleet.cut(one, other)

    @rule()
    def heal(self) -> None:
        self.fleet.heal()

    @rule()
    def forget(self) -> None:
        self.fleet.service.forget_history()

    @rule()
    def keep_copy(self) -> None:
        self.copy = self.fleet.service.copy()

    @rule(notice_s=st.sampled_from([0.0, WATCH_WAIT_S]))
    def return_from_copy(self, notice_s: float) -> None:
        """Lose what was written to the service since the copy."""
        self.fleet.return_notice_s = notice_s
        self.fleet.service.return_from(self.copy)
        self.copy = self.fleet.service.copy()
        self.written_at_by_key = dict.fromkeys(KEYS, self.fleet.now)
        self.calm_since = self.fleet.now

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 3.0]))
    def wait(self, seconds: float) -> None:
        self.fleet.run(seconds)

    @rule()
    def repair(self) -> None:
        """After the faults end, all know the present state, and few read."""
        fleet = self.fleet
        fleet.refused = set()
        fleet.unanswered = set()
        fleet.heal()
        for name in sorted(fleet.suspended):
            fleet.resume(name)
        for name in sorted(fleet.dead):
            fleet.start(name, fleet.by_name[name].own.zone)
        fleet.run(RECOVERY_S)
        assert [one.name for one in fleet.alive() if not fleet.knows_all(one)] == []
        # A subscription that is not renewed lasts longer than the recovery.
        assert len(fleet.reading()) < COUNT

    @invariant()
    def healthy_instances_are_current(self) -> None:
        """Check that a change is known within the bound where nothing failed."""
        fleet = self.fleet
        is_calm = not (
            fleet.refused
            or fleet.unanswered
            or fleet.cuts
            or fleet.suspended
            or fleet.dead
        )
        if not is_calm:
            self.calm_since = fleet.now
        if fleet.now - self.calm_since < RECOVERY_S:
            return
        present = {key: value for key, (value, _) in fleet.service.value_by_key.items()}
        for key, written_at in self.written_at_by_key.items():
            if fleet.now - written_at <= BOUND_S:
                continue
            for one in fleet.alive():
                assert one.value_by_key.get(key) == present.get(key), (one.name, key)


ChangeFeedMachine.TestCase.settings = settings(stateful_step_count=30)
TestChangeFeed = ChangeFeedMachine.TestCase
