"""Who is leaving, from the platform's list and from neighbours.

The platform's list lags and can be unavailable, so what one instance reads there is
passed on by heartbeats for a while. What was only heard is believed until the own list,
read long enough afterwards to be past the lag, does not confirm it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

# Neighbours hear of an id for this long after it became known here.
SPREAD_S: Final = 10.0
# The own list has caught up with what a neighbour read before this time.
LIST_LAG_S: Final = 10.0
# An id that the own list did not confirm is not believed again while others may
# still be passing it on.
IGNORE_S: Final = 30.0
# Bounds the size of heartbeats when a whole zone leaves.
MAX_SPREAD_IDS: Final = 32


@attrs.define
class LeavingSet:
    """Ids of one kind (servers or instances) that are leaving."""

    _listed: frozenset[str] = frozenset()
    # When an id became known here, by list or by a neighbour.
    _known_at: dict[str, float] = attrs.field(factory=dict)
    _ignored_until: dict[str, float] = attrs.field(factory=dict)

    def ids(self) -> frozenset[str]:
        """Return all ids that count as leaving."""
        return frozenset(self._known_at)

    def read_list(self, listed: frozenset[str], now: float) -> None:
        """Take in a reading of the platform's list."""
        for name in self._listed - listed:
            self._known_at.pop(name, None)
            self._ignored_until[name] = now + IGNORE_S
        self._listed = listed
        for name in listed:
            self._known_at.setdefault(name, now)
        for name, known_at in list(self._known_at.items()):
            if name not in listed and now - known_at >= LIST_LAG_S:
                del self._known_at[name]
                self._ignored_until[name] = now + IGNORE_S
        for name, until in list(self._ignored_until.items()):
            if until <= now:
                del self._ignored_until[name]

    def hear(self, names: Iterable[str], now: float) -> None:
        """Take in what a neighbour passes on."""
        for name in names:
            if self._ignored_until.get(name, now) <= now:
                self._known_at.setdefault(name, now)

    def to_spread(self, now: float) -> tuple[str, ...]:
        """Return the ids that neighbours should hear of, newest first."""
        fresh = [name for name, at in self._known_at.items() if now - at < SPREAD_S]
        fresh.sort(key=lambda name: (-self._known_at[name], name))
        return tuple(fresh[:MAX_SPREAD_IDS])
