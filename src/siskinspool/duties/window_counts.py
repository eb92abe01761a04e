"""Counts by window and source, as their receivers keep them."""

from __future__ import annotations

from collections import defaultdict
from typing import Final

import attrs

from .duty_messages import UsageReport

# Windows kept at most while nothing is decided, 20 minutes with windows of 5 s.
RETAINED_WINDOWS: Final = 240


@attrs.define
class SourceCounts:
    """The counts of one source in one window."""

    version: int = 0
    count_by_team: dict[str, int] = attrs.field(factory=dict)
    is_final: bool = False

    @property
    def total(self) -> int:
        """Return the sum over all teams."""
        return sum(self.count_by_team.values())

    def apply(self, report: UsageReport) -> None:
        """Apply a report unless it is older."""
        if report.version <= self.version:
            return
        if report.is_full:
            self.count_by_team = dict(report.counts)
        else:
            self.count_by_team |= report.counts
        self.version = report.version
        self.is_final = self.is_final or report.is_final

    def misses_part_of(self, report: UsageReport) -> bool:
        """Return whether an earlier report than this one was lost."""
        return self.version == report.version and self.total != report.total

    def full_report(self, source: str, window: int) -> UsageReport:
        """Return these counts as a report."""
        return UsageReport(
            source=source,
            window=window,
            version=self.version,
            counts=dict(self.count_by_team),
            total=self.total,
            is_full=True,
            is_final=self.is_final,
        )


class WindowCounts:
    """Counts by window and source; each source and window is counted once."""

    def __init__(self) -> None:
        self._by_window: dict[int, dict[str, SourceCounts]] = {}

    def apply(self, report: UsageReport) -> SourceCounts:
        """Apply a report and return what is known of its source and window."""
        by_source = self._by_window.setdefault(report.window, {})
        counts = by_source.setdefault(report.source, SourceCounts())
        counts.apply(report)
        if len(self._by_window) > RETAINED_WINDOWS:
            self.drop_through(min(self._by_window))
        return counts

    def first_window(self) -> int | None:
        """Return the earliest window with counts."""
        return min(self._by_window, default=None)

    def count_by_team(self, window: int) -> dict[str, int]:
        """Return the counts of all sources together, without zeros."""
        totals: defaultdict[str, int] = defaultdict(int)
        for counts in self._by_window.get(window, {}).values():
            for team, count in counts.count_by_team.items():
                totals[team] += count
        return {team: totals[team] for team in sorted(totals) if totals[team] > 0}

    def sources(self, window: int) -> set[str]:
        """Return the sources with counts of a window."""
        return set(self._by_window.get(window, {}))

    def final_sources(self, window: int) -> set[str]:
        """Return the sources whose counts of a window are final."""
        by_source = self._by_window.get(window, {})
        return {source for source, counts in by_source.items() if counts.is_final}

    def full_reports(self) -> list[UsageReport]:
        """Return all counts as reports, the earliest window first."""
        return [
            counts.full_report(source, window)
            for window in sorted(self._by_window)
            for source, counts in sorted(self._by_window[window].items())
        ]

    def drop_through(self, window: int) -> None:
        """Forget the windows up to this one."""
        for old in [known for known in self._by_window if known <= window]:
            del self._by_window[old]
