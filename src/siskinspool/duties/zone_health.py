"""Which zones can be given servers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Final

import attrs

from ..gateway.servers import ServerRecord, ServerState

# A zone in which nothing is left counts as lost after this time: servers that restart
# together, and gateways between two sessions, are back by then.
LOST_AFTER_S: Final = 4.0
# Nothing shows that a lost zone without gateways is back, so it is tried again at this
# interval, each time for longer than a server takes to start.
LOST_TTL_S: Final = 60.0
TRIAL_S: Final = 15.0
# Entries that expired in an outage of the registry return within two seconds.
RETURN_GRACE_S: Final = 2.0


@attrs.define
class _Zone:
    # Since when neither a server nor a gateway is known there.
    empty_since: float | None = None
    is_evacuated: bool = False


class ZoneHealth:
    """The zones with their servers and gateways."""

    def __init__(self) -> None:
        self._zone_by_name: dict[str, _Zone] = {}
        self._record_by_id: dict[str, ServerRecord] = {}
        # Servers whose entries went while changes did not arrive, with their end.
        self._drop_at_by_id: dict[str, float] = {}
        self._member_zones: frozenset[str] = frozenset()
        # Changes of the registry do not arrive at the moment.
        self.is_interrupted = False

    def update_server(self, record: ServerRecord, now: float) -> None:
        """Add or update a server."""
        self._record_by_id[record.server_id] = record
        self._drop_at_by_id.pop(record.server_id, None)
        self._update(now)

    def remove_server(self, server_id: str, now: float) -> None:
        """Remove a server whose registry entry was removed."""
        if self.is_interrupted:
            # The entry may have expired only because of the store's outage.
            self._drop_at_by_id[server_id] = now + RETURN_GRACE_S
            return
        self._record_by_id.pop(server_id, None)
        self._update(now)

    def drop_removed(self, now: float) -> None:
        """Remove the servers whose entries did not return after an interruption."""
        if self.is_interrupted:
            return
        for server_id, drop_at in list(self._drop_at_by_id.items()):
            if now >= drop_at:
                del self._drop_at_by_id[server_id]
                self.remove_server(server_id, now)

    def set_members(self, zones: Iterable[str], now: float) -> None:
        """Set the zones of the gateways."""
        self._member_zones = frozenset(zones)
        self._update(now)

    def set_evacuated(self, zone: str, is_evacuated: bool) -> None:
        """Record the start or the end of an evacuation."""
        self._zone_by_name.setdefault(zone, _Zone()).is_evacuated = is_evacuated

    def zones(self) -> list[str]:
        """Return the names of all zones that have been seen."""
        return sorted(self._zone_by_name)

    def is_usable(self, name: str, now: float) -> bool:
        """Return whether a zone is neither evacuated nor lost."""
        zone = self._zone_by_name[name]
        if zone.is_evacuated:
            return False
        if zone.empty_since is None:
            return True
        empty_s = now - zone.empty_since
        if empty_s < LOST_TTL_S:
            return empty_s < LOST_AFTER_S
        return empty_s % LOST_TTL_S < TRIAL_S

    def ready_servers(self, service: str) -> Counter[str]:
        """Return the number of a service's servers that stay, by zone."""
        return Counter(record.zone for record in self._ready(service))

    def mean_slots(self, service: str) -> float:
        """Return the mean number of slots of a service's servers; 0 without any."""
        slots = [record.slots for record in self._ready(service)]
        return sum(slots) / len(slots) if slots else 0.0

    def _ready(self, service: str) -> list[ServerRecord]:
        return [
            record
            for record in self._record_by_id.values()
            if record.service == service and record.state is ServerState.READY
        ]

    def _update(self, now: float) -> None:
        present = {record.zone for record in self._record_by_id.values()}
        present |= self._member_zones
        for name in present:
            self._zone_by_name.setdefault(name, _Zone()).empty_since = None
        for name, zone in self._zone_by_name.items():
            if name not in present and zone.empty_since is None:
                zone.empty_since = now
