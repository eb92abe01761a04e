"""Repeats that this gateway may send, per service.

All gateways together may send a share of the requests and a fixed number more in any
window. Each keeps to the share of its own requests and to its part of the number.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

from .bounds import Bounds

# Kept back, since windows of two gateways do not begin together.
USABLE_SHARE: Final = 0.8


@attrs.define
class _SendTimes:
    """Times of requests and repeats of one service."""

    requests: deque[float] = attrs.field(factory=deque)
    repeats: deque[float] = attrs.field(factory=deque)


class SharedRetryBudget:
    """Counts requests and repeats; times are monotonic seconds."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._times_by_service: dict[str, _SendTimes] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count the first send of a request."""
        self._current_times(service, now).requests.append(now)

    def try_spend(self, service: str, members: int, now: float) -> bool:
        """Return whether a repeat may be sent, and count it if so."""
        counts = self._current_times(service, now)
        bounds = self._bounds
        allowed = USABLE_SHARE * (
            len(counts.requests) * bounds.retry_ratio
            + bounds.retry_extra / max(members, 1)
        )
        if len(counts.repeats) + 1 > allowed:
            return False
        counts.repeats.append(now)
        return True

    def _current_times(self, service: str, now: float) -> _SendTimes:
        counts = self._times_by_service.setdefault(service, _SendTimes())
        for times in (counts.requests, counts.repeats):
            while times and times[0] <= now - self._bounds.retry_window_s:
                times.popleft()
        return counts
