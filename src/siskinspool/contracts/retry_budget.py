"""Retry budget of each route.

Retries are limited to a tenth of the requests of the last 10 s, so that retries do not
double the load on a failing pool. A small floor allows retries on routes with little
traffic. Whether a call may be repeated is decided by the user of the budget (R10).
"""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

WINDOW_S: Final = 10.0
RETRY_SHARE: Final = 0.1
# Retries per window that are allowed regardless of the number of requests.
RETRY_FLOOR: Final = 3
# Counts are aggregated per slice, so that memory does not grow with the load.
SLICE_S: Final = 0.5


@attrs.define
class _Slice:
    started_at: float
    requests: int = 0
    retries: int = 0


class RetryBudget:
    """Limits the retries of each route; times are monotonic seconds."""

    def __init__(self) -> None:
        self._slices_by_route: dict[str, deque[_Slice]] = {}

    def count_request(self, route: str, now: float) -> None:
        """Count the first attempt of a request."""
        self._current_slice(route, now).requests += 1

    def try_retry(self, route: str, now: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        current = self._current_slice(route, now)
        slices = self._slices_by_route[route]
        requests = sum(item.requests for item in slices)
        retries = sum(item.retries for item in slices)
        if retries + 1 > max(RETRY_FLOOR, requests * RETRY_SHARE):
            return False
        current.retries += 1
        return True

    def _current_slice(self, route: str, now: float) -> _Slice:
        slices = self._slices_by_route.setdefault(route, deque())
        # A slice is dropped once all of it is older than the window.
        while slices and slices[0].started_at + SLICE_S <= now - WINDOW_S:
            slices.popleft()
        if not slices or now >= slices[-1].started_at + SLICE_S:
            slices.append(_Slice(now))
        return slices[-1]
