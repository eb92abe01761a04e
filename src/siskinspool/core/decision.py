"""Base class of decisions.

A decision implements one part of the system's policy as plain state and rules. It
receives messages and the current time and returns messages. It opens no socket, reads
no clock, never sleeps and keeps no module-level state; its constructor receives the
random source. The same input therefore gives the same output, and tests can create any
number of instances in one process and run them step by step.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from .message import Incoming, Outgoing
from .status import Status


class Decision(ABC):
    """One part of the policy, without I/O.

    All times are seconds on the monotonic clock of the instance.
    """

    @abstractmethod
    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle one message and return the messages to send."""

    def on_time(self, now: float) -> list[Outgoing]:
        """Do the work that is due; called when the time `wake_at` is reached."""
        return []

    def status(self, now: float) -> Status:
        """Return the status for operators, without keys, prompts or answers."""
        return {}

    def gauges(self) -> dict[str, float]:
        """Return gauge values for the metrics; called every few seconds."""
        return {}

    def wake_at(self) -> float | None:
        """Return when `on_time` is due next, or None if it is not scheduled."""
        return None
