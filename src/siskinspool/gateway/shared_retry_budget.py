"""This gateway's share of the retry budget of each service.

In any window, all gateways together may send repeats up to a ratio of the requests plus
a fixed number. Each gateway applies the ratio to its own requests and takes an equal
share of the fixed number.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

from .bounds import RetryBounds

# Share of the budget that is used, since the gateways' windows are not aligned.
USABLE_SHARE: Final = 0.8


@attrs.define
class _SendTimes:
    """Times of the requests and repeats of one service in the window."""

    requests: deque[float] = attrs.field(factory=deque)
    repeats: deque[float] = attrs.field(factory=deque)


class SharedRetryBudget:
    """Counts requests and repeats per service; times are monotonic seconds."""

    def __init__(self, bounds: RetryBounds | None) -> None:
        """Create the budget; without bounds, repeats are not limited in total."""
        self._bounds = bounds
        self._times_by_service: dict[str, _SendTimes] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count the first send of a request."""
        if self._bounds is not None:
            self._current_times(service, self._bounds, now).requests.append(now)

    def try_spend(self, service: str, members: int, now: float) -> bool:
        """Return whether a repeat may be sent; count it if so."""
        bounds = self._bounds
        if bounds is None:
            return True
        send_times = self._current_times(service, bounds, now)
        allowed = USABLE_SHARE * (
            len(send_times.requests) * bounds.ratio + bounds.extra / max(members, 1)
        )
        if len(send_times.repeats) + 1 > allowed:
            return False
        send_times.repeats.append(now)
        return True

    def _current_times(
        self, service: str, bounds: RetryBounds, now: float
    ) -> _SendTimes:
        send_times = self._times_by_service.setdefault(service, _SendTimes())
        for times in (send_times.requests, send_times.repeats):
            while times and times[0] <= now - bounds.window_s:
                times.popleft()
        return send_times
