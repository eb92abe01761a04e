"""Usage counts, windows and the ledger, simulated with faults of all parts."""

from __future__ import annotations

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from siskinspool.core.message import Address, Outgoing
from siskinspool.duties.duty_messages import (
    USAGE_COUNTS_TASK,
    FinishCounting,
    UsageReport,
)
from siskinspool.links.codec import MsgpackCodec
from siskinspool.store.kv import KvItem

from .builders_duties import DutySimulation

NAMES = ("g1", "g2", "g3", "g4", "g5")
# More than the largest delay from the end of a window to its report, with the
# repeats of lost requests and calls.
SETTLE_S = 30.0
# Counts that a killed gateway had not reported yet.
UNREPORTED_S = 0.2
# Lost reports are noticed and repeated within this time after the window's end.
SETTLE_MESSAGES_S = 8.0


# The store returns from copies that are at most this old.
MAX_COPY_AGE_S = 20.0


class UsageMachine(RuleBasedStateMachine):
    """Requests, elections and faults in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.simulation = DutySimulation(NAMES)
        self.simulation.elect("g1")
        self.simulation.run(1.5)
        self.copied: dict[str, KvItem] = {}
        self.copied_at = float("-inf")

    @rule(name=st.sampled_from(NAMES), count=st.integers(1, 20))
    def run_requests(self, name: str, count: int) -> None:
        for _ in range(count):
            self.simulation.run_request(name)

    @rule(seconds=st.floats(0.1, 12.0))
    def wait(self, seconds: float) -> None:
        self.simulation.run(seconds)

    @rule(name=st.sampled_from(NAMES))
    def elect(self, name: str) -> None:
        if name in self.simulation.alive_ids():
            self.simulation.elect(name)

    @rule(name=st.sampled_from(NAMES))
    def kill(self, name: str) -> None:
        if len(self.simulation.alive_ids()) > 3 and name in self.simulation.alive_ids():
            self.simulation.run(UNREPORTED_S)
            self.simulation.kill(name)

    @rule(is_down=st.booleans())
    def fail_store(self, is_down: bool) -> None:
        self.simulation.store.is_down = is_down

    @rule()
    def keep_copy(self) -> None:
        self.copied = dict(self.simulation.store.item_by_key)
        self.copied_at = self.simulation.now

    @rule(name=st.sampled_from(NAMES))
    def return_store(self, name: str) -> None:
        if self.simulation.now - self.copied_at > MAX_COPY_AGE_S:
            return
        self.simulation.store.item_by_key = dict(self.copied)
        # A return ends the term; the same gateway or another begins the next one.
        is_alive = name in self.simulation.alive_ids()
        self.simulation.elect(name if is_alive else self.simulation.holder_id)

    @rule(answers=st.integers(0, 3), calls=st.integers(0, 2))
    def lose(self, answers: int, calls: int) -> None:
        self.simulation.store.lose_answers = answers
        self.simulation.lose_calls = calls

    @rule(messages=st.integers(1, 3))
    def lose_messages(self, messages: int) -> None:
        # A killed gateway cannot repeat a lost message, so none are lost before a kill.
        self.simulation.lose_messages = messages
        self.simulation.run(SETTLE_MESSAGES_S)

    @rule(error_s=st.floats(-30.0, 30.0))
    def jump_clock(self, error_s: float) -> None:
        # The clocks of most gateways stay right, as one of at least three is wrong.
        self.simulation.gateway_by_id["g2"].wall_error_s = error_s

    @invariant()
    def reports_of_a_window_are_equal(self) -> None:
        for bodies in self.simulation.bodies_by_window.values():
            assert len(set(bodies)) <= 1

    @invariant()
    def windows_are_reported_in_order(self) -> None:
        windows = list(self.simulation.bodies_by_window)
        first = min(windows, default=0)
        assert windows == list(range(first, first + len(windows)))

    def teardown(self) -> None:
        simulation = self.simulation
        simulation.store.is_down, simulation.store.lose_answers = False, 0
        simulation.lose_calls = 0
        last = simulation.window()
        simulation.run(SETTLE_S + 0.2 * len(simulation.store.item_by_key))
        for window in range(min(simulation.truth_by_window, default=last), last + 1):
            expected = simulation.truth_by_window[window]
            assert sum(simulation.counts(window).values()) == expected


UsageMachine.TestCase.settings = settings(
    max_examples=80, stateful_step_count=30, deadline=None
)
TestUsage = UsageMachine.TestCase


def test_clock_jump_does_not_move_counts() -> None:
    """Guards against counts in another window after a machine's clock has jumped."""
    simulation = DutySimulation(NAMES)
    simulation.elect("g1")
    simulation.run(3.0)
    for name, error_s in (("g1", 7.0), ("g2", -9.0)):
        simulation.gateway_by_id[name].wall_error_s = error_s
    for _ in range(100):
        for name in NAMES:
            simulation.run_request(name)
        simulation.run(0.2)
    last = simulation.window()
    simulation.run(SETTLE_S)
    for window in range(min(simulation.truth_by_window), last + 1):
        expected = simulation.truth_by_window[window]
        assert abs(simulation.counts(window)["smiths"] - expected) <= 0.05 * expected


def test_counts_survive_the_kill_of_a_gateway_and_then_of_the_holder() -> None:
    """Guards against counts of which only the killed processes knew."""
    simulation = DutySimulation(NAMES)
    simulation.elect("g1")
    simulation.run(3.0)
    window = simulation.window()
    for _ in range(50):
        simulation.run_request("g4")
    simulation.run(UNREPORTED_S)
    simulation.kill("g4")
    simulation.run(UNREPORTED_S)
    simulation.kill("g1")
    simulation.run(SETTLE_S)
    assert simulation.counts(window) == {"smiths": 50}


@pytest.mark.parametrize("successor", ["g1", "g2"])
@pytest.mark.parametrize("age_s", [4, 8, 12])
def test_window_has_the_same_counts_after_a_return_of_the_store(
    successor: str, age_s: int
) -> None:
    """Guards against a second report, without counts, of a window that was lost.

    The store returns from a copy of this age, and a term begins.
    """
    simulation = DutySimulation(NAMES)
    simulation.elect("g1")
    simulation.run(3.0)
    run_requests_for(simulation, 30)
    copied = dict(simulation.store.item_by_key)
    run_requests_for(simulation, age_s)
    simulation.store.item_by_key = copied
    simulation.elect(successor)
    run_requests_for(simulation, 30)
    simulation.run(SETTLE_S)
    for window, bodies in simulation.bodies_by_window.items():
        assert len(set(bodies)) == 1
        expected = simulation.truth_by_window[window]
        assert sum(simulation.counts(window).values()) == expected


def run_requests_for(simulation: DutySimulation, seconds: int) -> None:
    """Let each gateway begin a request every second."""
    for _ in range(seconds):
        for name in NAMES:
            simulation.run_request(name)
        simulation.run(1.0)


def test_stopped_gateway_reports_its_last_counts() -> None:
    """Guards against counts lost in a planned stop, and windows that wait for them."""
    simulation = DutySimulation(NAMES)
    simulation.elect("g1")
    simulation.run(6.0)
    window = simulation.window()
    simulation.run_request("g4")
    simulation.tell("g4", USAGE_COUNTS_TASK, FinishCounting())
    simulation.kill("g4")
    simulation.run(7.5)
    assert simulation.counts(window) == {"smiths": 1}


def test_report_size_at_full_scale() -> None:
    """Guards against reports that use up the bytes allowed for control.

    At 410 gateways a report goes out every second to two receivers. With 50 teams that
    changed in that second they may take 2 KB/s together.
    """
    counts = {f"team-{number:04}": 5 + number % 7 for number in range(50)}
    report = UsageReport(
        "gateway-a-101/0123456789ab", 358_000_000, 5, counts, 400, False, False
    )
    outgoing = Outgoing(Address("gateway-b-202", "usage_windows"), report)
    sender = Address("gateway-a-101", "usage_counts")
    assert len(MsgpackCodec().encode(sender, outgoing)) * 2 <= 2_000
