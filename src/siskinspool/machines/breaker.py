"""Circuit breaker of one server at one instance.

The breaker opens after 5 failures in a row or when more than half of the last 20
results are failures. An open breaker blocks all calls for 5 s; then it allows one
probe call at a time. A failed probe doubles the open time, up to 60 s; a successful
probe closes the breaker. Results of calls that were sent before the breaker opened are
ignored while it is open, because they say nothing about the server's recovery.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

FAILURES_IN_A_ROW: Final = 5
WINDOW_CALLS: Final = 20
FIRST_PAUSE_S: Final = 5.0
LONGEST_PAUSE_S: Final = 60.0


def _new_window() -> deque[bool]:
    return deque(maxlen=WINDOW_CALLS)


@attrs.define
class Breaker:
    """Tracks the failures of a server; all times are monotonic seconds."""

    _failed_window: deque[bool] = attrs.field(factory=_new_window, init=False)
    _failures_in_a_row: int = attrs.field(default=0, init=False)
    # None while the breaker is closed.
    _open_until: float | None = attrs.field(default=None, init=False)
    _pause_s: float = attrs.field(default=FIRST_PAUSE_S, init=False)
    _probe_call_id: str | None = attrs.field(default=None, init=False)

    @property
    def is_open(self) -> bool:
        """Return whether only probe calls are allowed."""
        return self._open_until is not None

    def allows(self, now: float) -> bool:
        """Return whether a call may be sent now."""
        if self._open_until is None:
            return True
        return now >= self._open_until and self._probe_call_id is None

    def next_probe_at(self) -> float | None:
        """Return when a probe is allowed next.

        None if the breaker is closed or a probe is in flight.
        """
        return self._open_until if self._probe_call_id is None else None

    def sent(self, call_id: str) -> None:
        """Record that a call allowed by `allows` was sent."""
        if self.is_open:
            self._probe_call_id = call_id

    def ended(self, call_id: str, failed: bool, now: float) -> None:
        """Record the result of a call."""
        if self._open_until is None:
            self._count(failed, now)
        elif call_id == self._probe_call_id:
            self._probe_call_id = None
            self._settle_probe(failed, now)

    def cancelled(self, call_id: str) -> None:
        """Record the end of a call that says nothing about the server."""
        if call_id == self._probe_call_id:
            self._probe_call_id = None

    def _count(self, failed: bool, now: float) -> None:
        self._failed_window.append(failed)
        self._failures_in_a_row = self._failures_in_a_row + 1 if failed else 0
        window_full = len(self._failed_window) == WINDOW_CALLS
        mostly_failed = window_full and sum(self._failed_window) * 2 > WINDOW_CALLS
        if self._failures_in_a_row >= FAILURES_IN_A_ROW or mostly_failed:
            self._open_until = now + self._pause_s

    def _settle_probe(self, failed: bool, now: float) -> None:
        if failed:
            self._pause_s = min(self._pause_s * 2, LONGEST_PAUSE_S)
            self._open_until = now + self._pause_s
            return
        self._open_until = None
        self._pause_s = FIRST_PAUSE_S
        self._failures_in_a_row = 0
        self._failed_window.clear()
