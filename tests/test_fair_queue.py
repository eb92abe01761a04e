"""Fair sharing between teams (M3) and bounds on waiting (R3)."""

from __future__ import annotations

import pytest

from siskinspool.contracts.call_queue import CallEnqueued, QueuedCall, QueueFull
from siskinspool.contracts.fair_queue import FairQueue
from siskinspool.manifest.model import RequestClass

URGENT, PATIENT = RequestClass.URGENT, RequestClass.PATIENT


def entry(
    entry_id: str,
    team: str = "a",
    request_class: RequestClass = URGENT,
    deadline: float = 1e9,
) -> QueuedCall:
    return QueuedCall(entry_id, team, request_class, deadline)


def _waits(flood_per_step: int, weight_by_team: dict[str, float]) -> list[int]:
    """Return the waiting times of team b, which adds one entry every 4 steps."""
    queue = FairQueue(100_000, weight_by_team)
    pushed_at: dict[str, int] = {}
    waits = []
    for step in range(2_000):
        for index in range(flood_per_step):
            queue.push(entry(f"a{step}-{index}"), step)
        if step % 4 == 0:
            queue.push(entry(f"b{step}", "b"), step)
            pushed_at[f"b{step}"] = step
        popped = queue.pop(step)
        if popped is not None and popped.team == "b":
            waits.append(step - pushed_at[popped.call_id])
    return waits


@pytest.mark.parametrize(("weight", "bound"), [(1.0, 1), (1 / 3, 4)])
def test_flood_of_one_team_does_not_delay_another(weight: float, bound: int) -> None:
    """Guards against a team that occupies the servers by sending ten times its share.

    Team b uses a quarter of the capacity. Its part by weight is at least that much, so
    an entry waits at most 1 / part steps, regardless of the load of team a.
    """
    weights = {"a": 1.0, "b": weight}
    waits_without_flood, waits_with_flood = _waits(0, weights), _waits(5, weights)
    assert max(waits_without_flood) == 0
    assert len(waits_with_flood) >= 499
    assert max(waits_with_flood) <= bound


def test_capacity_is_shared_by_weight() -> None:
    """Guards against weights that have no effect."""
    queue = FairQueue(1_000, {"a": 3.0, "b": 1.0})
    for index in range(200):
        queue.push(entry(f"a{index}"), 0)
        queue.push(entry(f"b{index}", "b"), 0)
    popped = [queue.pop(0) for _ in range(80)]
    assert sum(x is not None and x.team == "a" for x in popped) in (59, 60, 61)


def test_idle_team_does_not_accumulate_capacity() -> None:
    """Guards against a returning idle team that blocks the team that kept working."""
    queue = FairQueue(1_000)
    for index in range(200):
        queue.push(entry(f"a{index}"), 0)
    for _ in range(100):
        queue.pop(0)
    for index in range(100):
        queue.push(entry(f"b{index}", "b"), 0)
    popped = [queue.pop(0) for _ in range(20)]
    assert sum(x is not None and x.team == "a" for x in popped) in (9, 10, 11)


def test_patient_entries_are_not_starved() -> None:
    """Guards against urgent traffic that starves patient entries."""
    queue = FairQueue(1_000)
    for index in range(20):
        queue.push(entry(f"p{index}", "a", PATIENT), 0)
    classes = []
    for step in range(100):
        queue.push(entry(f"u{step}", "b"), step)
        queue.push(entry(f"v{step}", "c"), step)
        popped = queue.pop(step)
        assert popped is not None
        classes.append(popped.request_class)
    for start in range(0, 100, 10):
        assert classes[start : start + 10].count(PATIENT) == 1


def test_earliest_deadline_first_inside_a_team_and_admission() -> None:
    """Guards against early deadlines behind late ones, or behind a blocked entry."""
    queue = FairQueue(10)
    for name, deadline in (("late", 30.0), ("soon", 10.0), ("mid", 20.0)):
        queue.push(entry(name, deadline=deadline), 0)
    first = queue.pop(0, admit=lambda waiting: waiting.call_id != "soon")
    assert first is not None
    assert first.call_id == "mid"
    second = queue.pop(0)
    assert second is not None
    assert second.call_id == "soon"


def test_unmeetable_entries_are_returned_for_refusal() -> None:
    """Guards against entries that wait until it is too late, or are lost (R3)."""
    queue = FairQueue(10)
    queue.push(entry("short", deadline=5.0), 0)
    queue.push(entry("long", deadline=50.0), 0)
    assert [x.call_id for x in queue.expire(1.0, lambda waiting: 4.5)] == ["short"]
    assert queue.cancel("long") == entry("long", deadline=50.0)
    assert queue.cancel("long") is None
    assert len(queue) == 0


def test_full_queue_refuses_the_team_that_fills_it() -> None:
    """Guards against a flood that shuts other teams out of a full queue."""
    queue = FairQueue(4)
    for index in range(4):
        assert queue.push(entry(f"a{index}", deadline=index), 0) == CallEnqueued()
    assert queue.push(entry("a4"), 0) == QueueFull(4, 4)
    answer = queue.push(entry("b0", "b"), 0)
    assert answer == CallEnqueued(entry("a3", deadline=3))
    assert len(queue) == 4
