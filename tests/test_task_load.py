"""Tests of the figures on what a task takes of its process."""

from __future__ import annotations

import logging

import gevent
import pytest

from siskinspool.core.clock import MonotonicClock
from siskinspool.core.decision import Decision
from siskinspool.core.dispatcher import Dispatcher
from siskinspool.core.message import Incoming, Outgoing
from siskinspool.core.task import DecisionTask
from siskinspool.core.task_load import TaskLoad

TASK = "placement"


class DueOnce(Decision):
    """A decision that is due from the start on, once."""

    _wake_at: float | None = float("-inf")

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        self._wake_at = None
        return []

    def wake_at(self) -> float | None:
        return self._wake_at


def test_busy_task_is_logged_once_an_interval(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a leader out of processor time that nothing shows."""
    caplog.set_level(logging.INFO)
    load = TaskLoad(TASK)
    load.record_work(0.0, 0.0, queued=0)
    for step in range(1, 40):
        load.record_message()
        load.record_work(0.02, step * 0.1, queued=3)
    lines = [record.getMessage() for record in caplog.records]
    assert len(lines) == 3
    assert "event=task_load" in lines[0]
    assert "processor_s=0.2" in lines[0]
    assert "messages=10" in lines[0]
    assert "queued=3" in lines[0]


def test_late_wake_is_logged_and_an_idle_task_is_not(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against lateness without cost of its own that nothing shows."""
    caplog.set_level(logging.INFO)
    load = TaskLoad(TASK)
    load.record_work(0.0, 0.0, queued=0)
    load.record_work(0.01, 1.0, queued=0)
    assert not caplog.records
    load.record_wake(0.4)
    load.record_work(0.01, 2.0, queued=0)
    assert "late_s=0.4" in caplog.records[0].getMessage()
    assert load.gauges() == {
        "placement.processor_seconds": pytest.approx(0.02),
        "placement.late_seconds": 0.4,
    }


def test_task_that_is_due_from_the_start_is_not_late() -> None:
    """Guards against a deadline in the past that counts as lateness."""
    dispatcher = Dispatcher("g1")
    task = DecisionTask(TASK, dispatcher, MonotonicClock(), DueOnce())
    task.start()
    gevent.sleep(0.05)
    task.stop()
    assert 0.0 < task.load._latest_s < 1.0
