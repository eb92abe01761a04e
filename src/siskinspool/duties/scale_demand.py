"""The number of servers that a service needs, from its running and waiting work."""

from __future__ import annotations

import math
from collections import deque
from typing import Final

import attrs

# Servers are to have this part of their slots in use, as the work of the next seconds
# varies and is not spread evenly over them.
TARGET_USE: Final = 0.7
# The trend is taken over this time. It is shorter than a quarter of the demand's swing
# (15 s), so that a rise is seen while it lasts.
TREND_S: Final = 3.0
# Work beyond the recent peak is expected to grow by at most this factor.
MAX_GROWTH: Final = 1.25
# A straight line overshoots the peak of a swing. So up to this much over the last peak
# the work is not expected to exceed that peak.
PEAK_MARGIN: Final = 1.05
# Servers are given up only if they were not needed for this long: longer than a swing,
# as a server that is ordered again arrives a boot time later.
SURPLUS_S: Final = 20.0


@attrs.frozen
class _Sample:
    at_s: float
    work: float


class ScaleDemand:
    """Recent work of one service; work is the number of slots that it takes."""

    def __init__(self) -> None:
        self._samples: deque[_Sample] = deque()
        self._since_s: float | None = None

    def record(self, work: float, now: float) -> None:
        """Record the present work of all gateways."""
        if self._since_s is None:
            self._since_s = now
        self._samples.append(_Sample(now, work))
        while self._samples[0].at_s < now - SURPLUS_S:
            self._samples.popleft()

    def servers_wanted(self, slots: float, boot_s: float) -> int:
        """Return how many servers the work expected after a boot time needs."""
        if not self._samples:
            return 0
        last = self._samples[-1]
        growth_per_s = max(self._growth_per_s(last), 0.0)
        expected = min(last.work + growth_per_s * boot_s, last.work * MAX_GROWTH)
        peak = self._peak(last.at_s - TREND_S)
        if last.work <= peak * PEAK_MARGIN:
            expected = min(expected, peak)
        return _servers(max(expected, last.work), slots)

    def servers_kept(self, slots: float, now: float) -> int | None:
        """Return how many servers the most recent peak needs; None if unknown yet."""
        if self._since_s is None or now < self._since_s + SURPLUS_S:
            return None
        return _servers(self._peak(now), slots)

    def _peak(self, until_s: float) -> float:
        """Return the most work of the samples up to a time; 0 without any."""
        works = (one.work for one in self._samples if one.at_s <= until_s)
        return max(works, default=0.0)

    def _growth_per_s(self, last: _Sample) -> float:
        """Return the slope of a line through the recent samples."""
        recent = [one for one in self._samples if one.at_s >= last.at_s - TREND_S]
        mean_at = sum(one.at_s for one in recent) / len(recent)
        spread = sum((one.at_s - mean_at) ** 2 for one in recent)
        if spread == 0:
            return 0.0
        return sum((one.at_s - mean_at) * one.work for one in recent) / spread


def _servers(work: float, slots: float) -> int:
    return math.ceil(work / (slots * TARGET_USE)) if slots > 0 else 0
