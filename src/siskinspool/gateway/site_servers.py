"""The model servers that a gateway knows from the registry, and those that may return.

`ManagedSite` adds what is known of the demand for their models.
"""

from __future__ import annotations

from typing import Final

from .managed_server import ManagedServer
from .servers import ServerRecord, ServerRemoved, ServerState, ZoneEvacuated

# After a start servers register one by one, each with its next heartbeat, and gateways
# read the registry at intervals of about the same length. The fleet counts as complete
# once a read brings hardly any new servers.
JOIN_SETTLE_S: Final = 1.25
# A crashed server usually returns within this time after its entry has lapsed. A server
# whose entry lapsed during an outage of the platform's store is back within two
# seconds.
LAPSED_SERVER_TTL_S: Final = 4.0
# The fleet counts as complete despite this share of new servers, since in a large fleet
# some server restarts at any time.
MAX_JOINING_SHARE: Final = 0.05


class SiteServers:
    """The servers by id, with the zones that are evacuated; times are in seconds."""

    def __init__(self) -> None:
        self.by_id: dict[str, ManagedServer] = {}
        self._evacuated_zones: set[str] = set()
        # The servers that are ready and not in an evacuated zone, by service, until a
        # registry entry or an evacuation changes.
        self._staying_by_service: dict[str, list[ManagedServer]] = {}
        # Servers whose entries have lapsed, with the time until which they may return.
        self._lapsed_by_id: dict[str, tuple[ManagedServer, float]] = {}
        # For each service, the times until which its new servers count as just joined.
        self._join_ends_by_service: dict[str, list[float]] = {}

    def handle_change(
        self, change: ServerRecord | ServerRemoved | ZoneEvacuated, now: float
    ) -> None:
        """Handle a change of the registry or of the evacuated zones."""
        self._staying_by_service.clear()
        match change:
            case ServerRecord() as record:
                self._handle_record(record, now)
            case ServerRemoved(server_id):
                self._remove(server_id, now)
            case ZoneEvacuated(zone, evacuated):
                zones = self._evacuated_zones
                zones.add(zone) if evacuated else zones.discard(zone)

    def staying(self, service: str) -> list[ManagedServer]:
        """Return the servers of a service that are not about to leave."""
        staying = self._staying_by_service.get(service)
        if staying is None:
            staying = [
                server
                for server in self.by_id.values()
                if server.record.service == service
                and server.record.state is ServerState.READY
                and server.record.zone not in self._evacuated_zones
            ]
            self._staying_by_service[service] = staying
        return staying

    def lapsed(self, service: str, now: float) -> list[ManagedServer]:
        """Return the lapsed servers that may return with the copies on their disks."""
        return [
            server
            for server, until in self._lapsed_by_id.values()
            if until > now
            and server.record.service == service
            and server.record.zone not in self._evacuated_zones
        ]

    def is_complete(self, service: str, now: float) -> bool:
        """Return whether hardly any more servers of a service are about to register."""
        known = self._join_ends_by_service.get(service, [])
        joining = sum(at > now for at in known)
        return joining <= MAX_JOINING_SHARE * len(self.staying(service))

    def drop_lapsed(self, now: float) -> None:
        """Forget the lapsed servers that have not returned in time."""
        self._lapsed_by_id = {
            server_id: (server, until)
            for server_id, (server, until) in self._lapsed_by_id.items()
            if until > now
        }

    def _handle_record(self, record: ServerRecord, now: float) -> None:
        # The registry may be read before the desired state, which names the services
        # with engines. Records of other services are kept and not used.
        server = self.by_id.get(record.server_id)
        if server is not None:
            server.update_record(record, now)
            return
        server = ManagedServer(record=record, holdings=record.holdings)
        self.by_id[record.server_id] = server
        self._lapsed_by_id.pop(record.server_id, None)
        self._record_join(record.service, now)

    def _remove(self, server_id: str, now: float) -> None:
        server = self.by_id.pop(server_id, None)
        if server is not None and server.record.state is ServerState.READY:
            self._lapsed_by_id[server_id] = (server, now + LAPSED_SERVER_TTL_S)

    def _record_join(self, service: str, now: float) -> None:
        """Record that a server has joined."""
        known = self._join_ends_by_service.get(service, [])
        until = now + JOIN_SETTLE_S
        self._join_ends_by_service[service] = [at for at in known if at > now] + [until]
