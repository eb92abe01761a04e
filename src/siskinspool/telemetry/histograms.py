"""HDR histograms for each team and request class.

Values are in milliseconds, from 1 ms to one hour, with two significant digits. The
compressed text forms of several instances can be decoded and added up, which gives true
percentiles over the fleet.
"""

from __future__ import annotations

from typing import Final

from hdrh.histogram import HdrHistogram

LOWEST_MS: Final = 1
HIGHEST_MS: Final = 3_600_000
SIGNIFICANT_DIGITS: Final = 2


class HistogramSet:
    """Histograms by name; each is created when its name is first used."""

    def __init__(self) -> None:
        self._histogram_by_name: dict[str, HdrHistogram] = {}

    def record_s(self, name: str, seconds: float) -> None:
        """Record a duration; a value out of range is clamped."""
        histogram = self._histogram_by_name.get(name)
        if histogram is None:
            histogram = new_histogram()
            self._histogram_by_name[name] = histogram
        ms = min(max(round(seconds * 1000), LOWEST_MS), HIGHEST_MS)
        histogram.record_value(ms)

    def encode(self) -> dict[str, str]:
        """Return the compressed text form of each histogram, by name."""
        return {
            name: histogram.encode().decode("ascii")
            for name, histogram in self._histogram_by_name.items()
        }


def new_histogram() -> HdrHistogram:
    """Return an empty histogram."""
    return HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)


def merge_histograms(sets: list[dict[str, str]]) -> dict[str, HdrHistogram]:
    """Add up the encoded histograms of several instances, by name."""
    merged: dict[str, HdrHistogram] = {}
    for encoded_by_name in sets:
        for name, encoded in encoded_by_name.items():
            histogram = merged.setdefault(name, new_histogram())
            histogram.decode_and_add(encoded.encode("ascii"))
    return merged
