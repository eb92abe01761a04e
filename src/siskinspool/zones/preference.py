"""The order in which an instance prefers zones.

The zones of a site are about equally far from each other, so there are two tiers: the
instance's own zone and all others. Calls go to the second tier when the first is under
load; see `siskinspool.machines.candidate`.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs


@attrs.frozen
class ZonePreference:
    """The zone preference of an instance, which depends on its own zone."""

    own_zone: str

    def rank(self, zone_id: str) -> int:
        """Return 0 for the own zone and 1 for any other."""
        return 0 if zone_id == self.own_zone else 1

    def order(self, zone_ids: Iterable[str]) -> tuple[str, ...]:
        """Return zone ids, the own zone first and the others by name."""
        return tuple(sorted(zone_ids, key=lambda zone: (self.rank(zone), zone)))
