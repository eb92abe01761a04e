"""Which urgency class is served next: the most urgent, but not without end."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from typing import Final

# While less urgent requests wait, one out of this many that are served is one of them.
LESS_URGENT_INTERVAL: Final = 10


class UrgencyTurns:
    """Orders the urgency classes of one service; class 0 is the most urgent."""

    def __init__(self) -> None:
        # Served most urgent requests since a less urgent one was served.
        self._served_since = 0
        # Increases with each served request.
        self._number = 0
        self._last_number_by_class: dict[int, int] = {}

    def order(self, waiting: Collection[int]) -> Sequence[int]:
        """Return the waiting classes, the one whose turn it is first."""
        classes = sorted(waiting)
        if len(classes) < 2 or self._served_since < LESS_URGENT_INTERVAL - 1:
            return classes
        most_urgent, *less_urgent = classes
        # Among several less urgent classes, the one not served for longest is next.
        less_urgent.sort(key=lambda found: self._last_number_by_class.get(found, 0))
        return [*less_urgent, most_urgent]

    def record_served(self, served: int, waiting: Collection[int]) -> None:
        """Record that a request was served while these classes wait."""
        self._number += 1
        self._last_number_by_class[served] = self._number
        is_most_urgent = served <= min(waiting, default=served)
        if is_most_urgent and any(other > served for other in waiting):
            self._served_since += 1
        else:
            self._served_since = 0

    def restart(self) -> None:
        """Start to count anew, since a less urgent request has just begun to wait."""
        self._served_since = 0
