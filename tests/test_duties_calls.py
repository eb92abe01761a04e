"""The holder's term, the order of its calls, and when a request is counted."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from siskinspool.core.clock import Clock
from siskinspool.core.dispatcher import Dispatcher, Inbox
from siskinspool.core.message import Incoming, Message
from siskinspool.duties.duty_messages import (
    USAGE_COUNTS_TASK,
    DutyOrder,
    DutyResult,
    ScaleOrder,
    UsageOrder,
    UsageStarted,
    UsageWithdrawn,
)
from siskinspool.duties.duty_queue import DutyQueue
from siskinspool.duties.holder_term import HolderTerm
from siskinspool.duties.usage_mark import UsageMark
from siskinspool.gateway.messages import (
    LeadershipExtended,
    LeadershipHeld,
    LeadershipLost,
)

from .builders_duties import duty_settings

CALLS_PER_S = 50.0


def scale(zone: str, desired: int = 13) -> ScaleOrder:
    """Return an order for a zone."""
    return ScaleOrder(epoch=1, service="writers", zone=zone, desired=desired)


def usage(window: int) -> UsageOrder:
    """Return the report of a window."""
    return UsageOrder(epoch=1, window=window, body=b"{}")


@given(st.lists(st.sampled_from("abcdef"), max_size=30))
def test_newer_orders_replace_older_ones_and_usage_goes_first(zones: list[str]) -> None:
    """Guards against outdated numbers, and reports that wait behind them."""
    queue = DutyQueue(CALLS_PER_S, now=0.0)
    last_by_zone = {}
    for number, zone in enumerate(zones):
        last_by_zone[zone] = scale(zone, number)
        assert queue.put(last_by_zone[zone], 0.0)
    queue.put(usage(7), 0.0)
    popped: list[DutyOrder] = []
    for step in range(100):
        while (order := queue.pop(step * 0.1)) is not None:
            popped.append(order)
            queue.finish(order, DutyResult.DONE, step * 0.1, may_repeat=True)
    assert popped[0] == usage(7)
    assert len(popped) == len(last_by_zone) + 1
    assert set(popped[1:]) == set(last_by_zone.values())


def test_rate_of_calls_is_limited_and_refused_calls_are_repeated() -> None:
    """Guards against 429 that causes ever more calls, and lost orders."""
    queue = DutyQueue(CALLS_PER_S, now=0.0)
    for number in range(200):
        queue.put(scale(f"zone-{number}"), 0.0)
    sent = 0
    for step in range(100):
        while (order := queue.pop(step * 0.01)) is not None:
            queue.finish(order, DutyResult.TOO_MANY, step * 0.01, may_repeat=True)
            sent += 1
    assert 30 <= sent <= CALLS_PER_S
    assert len(queue) == 200


@pytest.mark.parametrize(("checked", "first_s"), [(True, 13.0), (False, 14.0)])
def test_term_begins_after_the_lease_and_ends_with_the_session(
    checked: bool, first_s: float
) -> None:
    """Guards against calls while the last holder's may be recent, or when detached."""
    term = HolderTerm(duty_settings(epochs_checked=checked), started_at=0.0)
    term.handle(LeadershipExtended(11.0), 10.0)
    term.handle(LeadershipHeld(7, 11.3), 10.0)
    term.handle(LeadershipExtended(30.0), 12.0)
    assert not term.allows_calls(first_s - 0.01)
    assert term.allows_calls(first_s)
    term.handle(LeadershipExtended(60.0, is_detached=True), 20.0)
    assert not term.allows_calls(29.9)
    term.handle(LeadershipExtended(90.0), 31.0)
    assert term.allows_calls(31.0)
    term.refuse(7)
    assert not term.allows_calls(31.0)
    term.handle(LeadershipLost(), 32.0)
    term.handle(LeadershipHeld(9, 33.0), 33.0)
    assert term.allows_calls(33.0)


def test_process_that_has_just_started_waits_as_well() -> None:
    """Guards against calls right after those of a holder that is not known."""
    term = HolderTerm(duty_settings(), started_at=50.0)
    term.handle(LeadershipExtended(90.0), 51.0)
    term.handle(LeadershipHeld(7, 51.0), 51.0)
    assert not term.allows_calls(52.9)
    assert term.allows_calls(53.0)


class _FixedClock(Clock):
    def now(self) -> float:
        return 5.0


class _Recorder(Inbox):
    def __init__(self) -> None:
        self.messages: list[Message] = []

    def post(self, incoming: Incoming) -> bool:
        self.messages.append(incoming.message)
        return True


def mark(
    *, is_stream: bool, is_resumed: bool = False, team: str = "smiths"
) -> tuple[UsageMark, list[Message]]:
    """Return the mark of a request and the messages that it sends."""
    dispatcher, recorder = Dispatcher("g1"), _Recorder()
    dispatcher.register(USAGE_COUNTS_TASK, recorder)
    made = UsageMark(
        team, dispatcher, _FixedClock(), is_stream=is_stream, is_resumed=is_resumed
    )
    return made, recorder.messages


def test_plain_request_counts_when_sent_to_the_server_that_runs_it() -> None:
    """Guards against counting rejected sends or a repeated run."""
    made, messages = mark(is_stream=False)
    made.record_sent()
    made.record_not_run()
    made.record_sent()
    made.record_sent()
    made.record_not_run()
    started, withdrawn = UsageStarted("smiths", 5.0), UsageWithdrawn("smiths", 5.0)
    assert messages == [started, withdrawn, started]


@pytest.mark.parametrize(
    ("is_resumed", "team", "count"),
    [(False, "smiths", 1), (True, "smiths", 0), (False, "", 0)],
)
def test_stream_counts_with_its_first_event(
    is_resumed: bool, team: str, count: int
) -> None:
    """Guards against counting a stream without events, or a resumed one again."""
    made, messages = mark(is_stream=True, is_resumed=is_resumed, team=team)
    made.record_sent()
    assert not messages
    made.record_event()
    made.record_sent()
    made.record_event()
    assert len(messages) == count
