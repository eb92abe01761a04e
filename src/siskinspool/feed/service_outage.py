"""Tells an outage of the key-value service from a connection that went silent.

During an outage, sessions and registrations may expire although their owners are alive.
A single call without an answer shows no outage: its connection may have failed alone.
"""

from __future__ import annotations


class OutageDetector:
    """Whether the service is down; times are in monotonic seconds."""

    def __init__(self) -> None:
        # The first of the failures since the last answer; None after an answer.
        self._failed_at: float | None = None
        self.is_down = False

    def record_answer(self) -> None:
        """Record that the service answered a call."""
        self._failed_at = None
        self.is_down = False

    def record_failure(self, sent_at: float, now: float) -> None:
        """Record a call without an answer.

        Calls that were sent before the first failure was known may have used
        connections that failed together. One that was sent later used a new connection.
        """
        if self._failed_at is None:
            self._failed_at = now
        elif sent_at >= self._failed_at:
            self.is_down = True
