"""True time: the median of the gateways' clocks.

The time of day may jump on some machines, the instance's clock does not. So each
machine's time of day is kept as its offset from the instance's clock, and the median of
these offsets is what true time adds to the instance's clock.
"""

from __future__ import annotations

import statistics
from collections.abc import Collection


class TrueTime:
    """Estimates true time from readings of the machines' times of day."""

    def __init__(self) -> None:
        self._offset_by_member: dict[str, float] = {}
        self._offset_s: float | None = None

    @property
    def offset_s(self) -> float | None:
        """Return true time minus the instance's clock, None before any reading."""
        return self._offset_s

    def record(self, member_id: str, unix_s: float, at_s: float) -> None:
        """Record a machine's time of day, read at a time on the instance's clock."""
        self._offset_by_member[member_id] = unix_s - at_s
        self._update()

    def retain(self, member_ids: Collection[str]) -> None:
        """Forget the readings of other machines than these."""
        remaining = {
            name: offset
            for name, offset in self._offset_by_member.items()
            if name in member_ids
        }
        if remaining:
            self._offset_by_member = remaining
            self._update()

    def unix_s(self, at_s: float) -> float:
        """Return true time at a time on the instance's clock; needs a reading."""
        if self._offset_s is None:
            raise ValueError("no clock has been read")
        return at_s + self._offset_s

    def _update(self) -> None:
        offsets = self._offset_by_member.values()
        low, high = statistics.median_low(offsets), statistics.median_high(offsets)
        # With an even number of clocks, all values between the middle two are medians.
        # The one next to the last estimate does not follow a jump of one of two clocks.
        previous = (low + high) / 2 if self._offset_s is None else self._offset_s
        self._offset_s = min(max(previous, low), high)
