"""The loaded and in-flight replicas of each target."""

from __future__ import annotations

from .fleet import REPORT_MAX_AGE_S, Fleet
from .in_flight_loads import InFlightLoads
from .record_store import RecordStore
from .reservations import Reservation, ReservationState, Target


class ReplicaView:
    """Finds the replicas of a target in records and reports."""

    def __init__(
        self, fleet: Fleet, store: RecordStore, flights: InFlightLoads
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._in_flight_loads = flights
        self._owner_since = 0.0

    def set_owner_since(self, now: float) -> None:
        """Set the start of the ownership; earlier reports are not known."""
        self._owner_since = now

    def servers_with_loaded(self, target: Target, now: float) -> list[str]:
        """Return the usable servers on which a target is loaded."""
        return [
            s for s in self._fleet.servers_of(target) if self._is_loaded(s, target, now)
        ]

    def count_replicas(self, target: Target, now: float) -> int:
        """Return the number of loaded, in-flight and not yet reported replicas."""
        loads = self._in_flight_loads.active_for(target)
        loading_servers = {load.server_id for load in loads}
        other_servers = [
            server_id
            for server_id in self._fleet.servers_of(target)
            if server_id not in loading_servers
            and (
                self._is_loaded(server_id, target, now)
                or self._may_be_loaded(server_id, target, now)
            )
        ]
        return len(loads) + len(other_servers)

    def retained_reservation(
        self, server_id: str, target: Target
    ) -> Reservation | None:
        """Return the reservation of a target; None if it is being released."""
        record = self._store.pending_or_current(server_id)
        entry = record.find(target) if record is not None else None
        if entry is None or entry.state is ReservationState.RELEASING:
            return None
        return entry

    def _is_loaded(self, server_id: str, target: Target, now: float) -> bool:
        entry = self.retained_reservation(server_id, target)
        return (
            entry is not None
            and self._fleet.is_usable(server_id, now)
            and self._fleet.observations(server_id).is_loaded(entry.replica_id)
        )

    def _may_be_loaded(self, server_id: str, target: Target, now: float) -> bool:
        """Return whether a reserved replica may be loaded on an unreported server (R1).

        This holds for a short time after a takeover.
        """
        return (
            self.retained_reservation(server_id, target) is not None
            and self._fleet.is_open(server_id)
            and self._fleet.observations(server_id).report is None
            and now - self._owner_since < REPORT_MAX_AGE_S
        )
