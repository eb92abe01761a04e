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

MAX_CONSECUTIVE_FAILURES: Final = 5
FAILURE_WINDOW_CALLS: Final = 20
INITIAL_OPEN_S: Final = 5.0
MAX_OPEN_S: Final = 60.0


def _new_failure_window() -> deque[bool]:
    return deque(maxlen=FAILURE_WINDOW_CALLS)


@attrs.define
class CircuitBreaker:
    """Tracks the failures of a server; all times are monotonic seconds."""

    _recent_failures: deque[bool] = attrs.field(factory=_new_failure_window, init=False)
    _consecutive_failures: int = attrs.field(default=0, init=False)
    # None while the breaker is closed.
    _open_until: float | None = attrs.field(default=None, init=False)
    _open_duration_s: float = attrs.field(default=INITIAL_OPEN_S, init=False)
    _probe_call_id: str | None = attrs.field(default=None, init=False)

    @property
    def is_open(self) -> bool:
        """Return whether only probe calls are allowed."""
        return self._open_until is not None

    def allows_call(self, now: float) -> bool:
        """Return whether a call may be sent now."""
        if self._open_until is None:
            return True
        return now >= self._open_until and self._probe_call_id is None

    def next_probe_at(self) -> float | None:
        """Return when a probe is allowed next.

        None if the breaker is closed or a probe is in flight.
        """
        return self._open_until if self._probe_call_id is None else None

    def record_sent(self, call_id: str) -> None:
        """Record that a call allowed by `allows_call` was sent."""
        if self.is_open:
            self._probe_call_id = call_id

    def record_result(self, call_id: str, failed: bool, now: float) -> None:
        """Record the result of a call."""
        if self._open_until is None:
            self._update_window(failed, now)
        elif call_id == self._probe_call_id:
            self._probe_call_id = None
            self._finish_probe(failed, now)

    def record_cancelled(self, call_id: str) -> None:
        """Record the end of a call that says nothing about the server."""
        if call_id == self._probe_call_id:
            self._probe_call_id = None

    def forget_failures(self) -> None:
        """Close the breaker: the failures were not the server's."""
        self._probe_call_id = None
        self._close()

    def _update_window(self, failed: bool, now: float) -> None:
        self._recent_failures.append(failed)
        self._consecutive_failures = self._consecutive_failures + 1 if failed else 0
        window_full = len(self._recent_failures) == FAILURE_WINDOW_CALLS
        mostly_failed = (
            window_full and sum(self._recent_failures) * 2 > FAILURE_WINDOW_CALLS
        )
        if self._consecutive_failures >= MAX_CONSECUTIVE_FAILURES or mostly_failed:
            self._open_until = now + self._open_duration_s

    def _finish_probe(self, failed: bool, now: float) -> None:
        if failed:
            self._open_duration_s = min(self._open_duration_s * 2, MAX_OPEN_S)
            self._open_until = now + self._open_duration_s
            return
        self._close()

    def _close(self) -> None:
        self._open_until = None
        self._open_duration_s = INITIAL_OPEN_S
        self._consecutive_failures = 0
        self._recent_failures.clear()
