"""Order in which an instance prefers zones.

Zones of a site are about equally far from each other, so there are two tiers: the
instance's own zone, then all others. Work spills over to the second tier when the
first is loaded; see `siskinspool.machines.candidate`.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs


@attrs.frozen
class ZonePreference:
    """The preference of an instance in one zone."""

    own_zone: str

    def rank(self, zone_id: str) -> int:
        """Return 0 for the own zone and 1 for any other."""
        return 0 if zone_id == self.own_zone else 1

    def order(self, zone_ids: Iterable[str]) -> tuple[str, ...]:
        """Return zone ids, preferred ones first and otherwise by name."""
        return tuple(sorted(zone_ids, key=lambda zone: (self.rank(zone), zone)))
