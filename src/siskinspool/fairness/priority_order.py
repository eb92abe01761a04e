"""The order by priority and arrival, which does not distinguish teams."""

from __future__ import annotations

from collections.abc import Iterable

from .waiting_order import TryServe, UsageClass, WaitingEntry, WaitingOrder


class PriorityOrder(WaitingOrder):
    """Serves the most urgent request first, and among equals the oldest."""

    def serve(self, entries: Iterable[WaitingEntry], try_serve: TryServe) -> None:
        """Call ``try_serve`` once for each entry, by priority and age."""
        for entry in sorted(entries, key=lambda item: (item.priority, item.since)):
            try_serve(entry)

    def record_served(self, entry: WaitingEntry) -> None:
        """Do nothing: what a team has used has no effect."""

    def record_elsewhere(
        self, usages: Iterable[tuple[UsageClass, str, float]], elapsed_s: float
    ) -> None:
        """Do nothing: what a team has used has no effect."""
