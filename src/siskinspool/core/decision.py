"""Base class of decisions.

A decision holds one part of the system's policy as plain state and rules. It takes
messages and a time and returns messages. It opens no socket, reads no clock, never
sleeps and keeps no module-level state; a random source is passed to its constructor.
The same input therefore gives the same output, and any number of instances can be
built in one process and driven step by step.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

from .message import Incoming, Outgoing
from .status import Status


class Decision(ABC):
    """One part of the policy, free of I/O.

    All times are seconds on the monotonic clock of the instance.
    """

    @abstractmethod
    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Take in one message and return the messages to send."""

    def on_time(self, now: float) -> list[Outgoing]:
        """Act on what has become due; called once `wake_at` has come."""
        return []

    def status(self, now: float) -> Status:
        """Return what operators may see; never keys, prompts or answers."""
        return {}

    def gauges(self) -> dict[str, float]:
        """Return figures that go to the metrics every few seconds; cheap."""
        return {}

    def wake_at(self) -> float | None:
        """Return when `on_time` is due next, or None if only a message matters."""
        return None
