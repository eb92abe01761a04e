"""What one gateway has counted itself, and which of it the holder has."""

from __future__ import annotations

import attrs

from .duty_messages import UsageReceived, UsageReport
from .window_counts import RETAINED_WINDOWS


@attrs.define
class _OwnWindow:
    """The counts of one window and the state of their reports."""

    count_by_team: dict[str, int] = attrs.field(factory=dict)
    changed_teams: set[str] = attrs.field(factory=set)
    version: int = 0
    needs_full: bool = True
    is_final: bool = False
    # The holder has confirmed the final counts.
    is_confirmed: bool = False
    sent_at: float = float("-inf")

    @property
    def total(self) -> int:
        """Return the sum over all teams."""
        return sum(self.count_by_team.values())

    def is_due(self, repeat_s: float, now: float) -> bool:
        """Return whether a report has news, or final counts are not confirmed."""
        if self.changed_teams or self.needs_full:
            return True
        return (
            self.is_final and not self.is_confirmed and now >= self.sent_at + repeat_s
        )


class OwnCounts:
    """The counts of one source by window."""

    def __init__(self, source: str) -> None:
        self._source = source
        self._by_window: dict[int, _OwnWindow] = {}
        self._decided_through = 0
        self._newest = 0

    def open_through(self, window: int, final_through: int) -> None:
        """Open the windows up to this one, and finish those up to the other.

        A window without a request is reported as well, so that the holder need not wait
        for counts that do not exist.
        """
        first = self._newest + 1 if self._newest else window
        for number in range(max(first, window - RETAINED_WINDOWS), window + 1):
            self._by_window.setdefault(number, _OwnWindow())
        self._newest = max(self._newest, window)
        for number, counts in self._by_window.items():
            if number <= final_through and not counts.is_final:
                counts.is_final = True
                counts.sent_at = float("-inf")
        for number in [
            old for old in self._by_window if old <= window - RETAINED_WINDOWS
        ]:
            del self._by_window[number]

    def add(self, team: str, window: int, change: int) -> None:
        """Change a team's count of a window; ignored once the window is decided."""
        if window <= self._decided_through:
            return
        counts = self._by_window.setdefault(window, _OwnWindow())
        counts.count_by_team[team] = max(counts.count_by_team.get(team, 0) + change, 0)
        counts.changed_teams.add(team)
        counts.is_confirmed = False

    def report_all_again(self) -> None:
        """Send all counts with the next reports: there is a new recipient."""
        for counts in self._by_window.values():
            counts.needs_full, counts.is_confirmed = True, False

    def pop_reports(self, repeat_s: float, now: float) -> list[UsageReport]:
        """Return the reports that are due, the earliest window first."""
        return [
            self._pop_report(window, counts, now)
            for window, counts in sorted(self._by_window.items())
            if counts.is_due(repeat_s, now)
        ]

    def confirm(self, received: UsageReceived) -> None:
        """Handle what the holder has; a difference is reported in full."""
        self.drop_through(received.decided_through)
        counts = self._by_window.get(received.window)
        if counts is None:
            return
        if received.total != counts.total:
            counts.needs_full = True
        elif received.is_final and not counts.changed_teams:
            counts.is_confirmed = True

    def drop_through(self, window: int) -> None:
        """Forget the windows up to this one: they are decided."""
        self._decided_through = max(self._decided_through, window)
        for old in [known for known in self._by_window if known <= window]:
            del self._by_window[old]

    def _pop_report(self, window: int, counts: _OwnWindow, now: float) -> UsageReport:
        counts.version += 1
        teams = counts.count_by_team if counts.needs_full else counts.changed_teams
        report = UsageReport(
            source=self._source,
            window=window,
            version=counts.version,
            counts={team: counts.count_by_team[team] for team in sorted(teams)},
            total=counts.total,
            is_full=counts.needs_full,
            is_final=counts.is_final,
        )
        counts.changed_teams.clear()
        counts.needs_full = False
        counts.sent_at = now
        return report
