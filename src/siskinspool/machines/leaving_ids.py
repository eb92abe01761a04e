"""Ids that are leaving, from the platform's list and from neighbours.

The platform's list lags behind and can be unavailable, so instances propagate what they
read there by heartbeats for a while. An id that is known only from a neighbour counts
as leaving until a local read of the list, late enough to be past the lag, does not
contain it.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

# An id is sent to neighbours for this long after it became known here.
PROPAGATION_S: Final = 10.0
# A local read of the list contains what a neighbour read this long before.
PLATFORM_LIST_LAG_S: Final = 10.0
# An id that the list did not confirm is ignored for this long, since other instances
# may still propagate it.
UNCONFIRMED_IGNORE_S: Final = 30.0
# Bounds the size of heartbeats when a whole zone leaves.
MAX_PROPAGATED_IDS: Final = 32


@attrs.define
class LeavingIds:
    """Ids of one kind (servers or instances) that are leaving."""

    _listed_ids: frozenset[str] = frozenset()
    # When an id became known here, from the list or a neighbour.
    _known_at: dict[str, float] = attrs.field(factory=dict)
    _ignored_until: dict[str, float] = attrs.field(factory=dict)

    def ids(self) -> frozenset[str]:
        """Return all ids that count as leaving."""
        return frozenset(self._known_at)

    def update_from_platform(self, listed: frozenset[str], now: float) -> None:
        """Update from a read of the platform's list."""
        for name in self._listed_ids - listed:
            self._known_at.pop(name, None)
            self._ignored_until[name] = now + UNCONFIRMED_IGNORE_S
        self._listed_ids = listed
        for name in listed:
            self._known_at.setdefault(name, now)
        for name, known_at in list(self._known_at.items()):
            if name not in listed and now - known_at >= PLATFORM_LIST_LAG_S:
                del self._known_at[name]
                self._ignored_until[name] = now + UNCONFIRMED_IGNORE_S
        for name, until in list(self._ignored_until.items()):
            if until <= now:
                del self._ignored_until[name]

    def update_from_neighbour(self, names: Iterable[str], now: float) -> None:
        """Add the ids that a neighbour propagates, unless they are ignored."""
        for name in names:
            if self._ignored_until.get(name, now) <= now:
                self._known_at.setdefault(name, now)

    def ids_to_propagate(self, now: float) -> tuple[str, ...]:
        """Return the ids to send to neighbours, newest first."""
        fresh = [
            name for name, at in self._known_at.items() if now - at < PROPAGATION_S
        ]
        fresh.sort(key=lambda name: (-self._known_at[name], name))
        return tuple(fresh[:MAX_PROPAGATED_IDS])
