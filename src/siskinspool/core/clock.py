"""Clocks.

Tasks read the time from a `Clock`, so that tests can control it. Durations and leases
use the monotonic clock only, because the wall clock can jump.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """A source of time."""

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds."""


class MonotonicClock(Clock):
    """Reads the monotonic clock of the operating system."""

    def now(self) -> float:
        """Return monotonic seconds."""
        return time.monotonic()
