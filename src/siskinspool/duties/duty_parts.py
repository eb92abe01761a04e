"""Builds the tasks of the duties that a deployment asks for."""

from __future__ import annotations

import random

from ..core.clock import Clock
from ..core.decision import Decision
from ..core.dispatcher import Dispatcher
from ..core.member import Member
from ..core.task import DecisionTask, Task
from .duty_calls import DutyCalls, UsageEncoding
from .duty_messages import SCALING_TASK, USAGE_COUNTS_TASK, USAGE_WINDOWS_TASK
from .duty_settings import Duty, DutySettings
from .duty_task import DutyTask
from .scaling import Scaling
from .usage_counts import UsageCounts
from .usage_windows import UsageWindows
from .wall_clock_task import WallClockTask


def build_duty_tasks(
    dispatcher: Dispatcher,
    clock: Clock,
    own: Member,
    settings: DutySettings,
    calls: DutyCalls,
    encoding: UsageEncoding,
) -> list[Task]:
    """Return the tasks of a gateway for the duties of its deployment."""
    decision_by_name: dict[str, Decision] = {}
    tasks: list[Task] = [DutyTask(dispatcher, clock, settings, calls)]
    if Duty.USAGE in settings.duties:
        decision_by_name[USAGE_COUNTS_TASK] = UsageCounts(
            own, settings.usage_window_s, random.Random(), clock.now()
        )
        decision_by_name[USAGE_WINDOWS_TASK] = UsageWindows(
            own, settings, encoding, clock.now()
        )
        tasks.append(WallClockTask(dispatcher, clock))
    if Duty.SCALE in settings.duties:
        decision_by_name[SCALING_TASK] = Scaling(own, settings, clock.now())
    return tasks + [
        DecisionTask(name, dispatcher, clock, decision)
        for name, decision in decision_by_name.items()
    ]
