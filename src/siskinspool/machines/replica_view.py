"""Which replicas of a target are in service or on their way."""

from __future__ import annotations

from .fleet import REPORT_MAX_AGE_S, Fleet
from .in_flight_loads import InFlightLoads
from .record_store import RecordStore
from .reservations import Reservation, ReservationState, Target


class ReplicaView:
    """Replicas by target, from records and reports."""

    def __init__(
        self, fleet: Fleet, store: RecordStore, flights: InFlightLoads
    ) -> None:
        self._fleet = fleet
        self._store = store
        self._in_flight_loads = flights
        self._owner_since = 0.0

    def set_owner_since(self, now: float) -> None:
        """Note the start of the ownership, before which no report was seen."""
        self._owner_since = now

    def servers_with_loaded(self, target: Target, now: float) -> list[str]:
        """Return the servers on which a target is loaded and may be used."""
        return [
            s for s in self._fleet.servers_of(target) if self._is_loaded(s, target, now)
        ]

    def count_replicas(self, target: Target, now: float) -> int:
        """Return the replicas in service, on their way, or not yet reported on."""
        flights = self._in_flight_loads.active_for(target)
        on_way = {flight.server_id for flight in flights}
        present = [
            server_id
            for server_id in self._fleet.servers_of(target)
            if server_id not in on_way
            and (
                self._is_loaded(server_id, target, now)
                or self._may_be_loaded(server_id, target, now)
            )
        ]
        return len(flights) + len(present)

    def retained_reservation(
        self, server_id: str, target: Target
    ) -> Reservation | None:
        """Return the reservation of a target unless it is being released."""
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
        """Return whether a new owner has yet to hear about a reserved replica (R1)."""
        return (
            self.retained_reservation(server_id, target) is not None
            and self._fleet.is_open(server_id)
            and self._fleet.observations(server_id).report is None
            and now - self._owner_since < REPORT_MAX_AGE_S
        )
