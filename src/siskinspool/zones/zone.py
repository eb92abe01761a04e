"""Which zones and servers may get new work (R7, R11)."""

from __future__ import annotations

import attrs

from ..machines.messages import LeavingChanged
from ..manifest.model import Catalog, ZoneState


@attrs.frozen
class WorkEligibility:
    """The open zones and the leaving servers.

    A zone that is not in the catalog gets no work.
    """

    open_zone_ids: frozenset[str] = frozenset()
    leaving_server_ids: frozenset[str] = frozenset()

    def with_catalog(self, catalog: Catalog) -> WorkEligibility:
        """Return a copy with the zone states of a catalog."""
        open_ids = (
            zone.id
            for zone in catalog.zone_by_id.values()
            if zone.state is ZoneState.OPEN
        )
        return attrs.evolve(self, open_zone_ids=frozenset(open_ids))

    def with_leaving(self, change: LeavingChanged) -> WorkEligibility:
        """Return a copy with another set of leaving servers."""
        return attrs.evolve(self, leaving_server_ids=change.server_ids)

    def zone_accepts_work(self, zone_id: str) -> bool:
        """Return whether a zone may get new work."""
        return zone_id in self.open_zone_ids

    def server_accepts_work(self, server_id: str, zone_id: str) -> bool:
        """Return whether a server or plain service in a zone may get new work."""
        return self.zone_accepts_work(zone_id) and (
            server_id not in self.leaving_server_ids
        )
