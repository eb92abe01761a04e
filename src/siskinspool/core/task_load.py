"""What a task takes of its process, and how late it runs.

A task whose wake-ups are late has no share of the process's time: other tasks use it,
or the process does not get the processor. Timeouts of that process then say little of
its peers.
"""

from __future__ import annotations

import logging
from typing import Final

import attrs

from ..telemetry.logs import log_event

logger = logging.getLogger(__name__)

# Interval of the figures, and of a task's log lines at most.
INTERVAL_S: Final = 1.0
# A task that takes less than this share of a core, and is less late, is not logged.
MIN_LOGGED_SHARE: Final = 0.1
MIN_LOGGED_LATE_S: Final = 0.25


@attrs.define
class TaskLoad:
    """Processor time and lateness of one task; times are in seconds."""

    task: str
    # Since the start of the process.
    processor_s: float = 0.0
    messages: int = 0
    # The latest wake-up in the interval before this one.
    late_s: float = 0.0
    # The beginning of the interval; None before the first work.
    _since: float | None = None
    _processor_s_before: float = 0.0
    _messages_before: int = 0
    _latest_s: float = 0.0

    def record_wake(self, late_s: float) -> None:
        """Record how much later than planned the task has woken up."""
        self._latest_s = max(self._latest_s, late_s)

    def record_message(self) -> None:
        """Count a handled message."""
        self.messages += 1

    def record_work(self, processor_s: float, now: float, queued: int) -> None:
        """Add processor time, and log the figures once an interval if they are large.

        ``queued`` is the number of messages that wait for the task.
        """
        self.processor_s += processor_s
        if self._since is None:
            self._since = now
        took_s = now - self._since
        if took_s < INTERVAL_S:
            return
        self.late_s, self._latest_s = self._latest_s, 0.0
        used_s = self.processor_s - self._processor_s_before
        handled = self.messages - self._messages_before
        self._since = now
        self._processor_s_before, self._messages_before = (
            self.processor_s,
            self.messages,
        )
        if used_s >= MIN_LOGGED_SHARE * took_s or self.late_s >= MIN_LOGGED_LATE_S:
            log_event(
                logger,
                logging.INFO,
                "task_load",
                task=self.task,
                interval_s=took_s,
                processor_s=used_s,
                messages=handled,
                queued=queued,
                late_s=self.late_s,
            )

    def gauges(self) -> dict[str, float]:
        """Return the figures for the metrics."""
        return {
            f"{self.task}.processor_seconds": self.processor_s,
            f"{self.task}.late_seconds": self.late_s,
        }
