"""In-flight loads, from the write of the decision to the server's report.

`Flights` tracks each load. A stalled load is queued again for another server; its
reservation stays until the load is settled.
"""

from __future__ import annotations

from typing import Final

from ..core.message import Outgoing
from ..manifest.model import RequestClass
from .fleet import Fleet
from .loads import Flight, LoadEstimates, LoadQueue, LoadRequest
from .messages import CheckpointTier, ReplicaPlanned, ReplicaRefused
from .reservations import Reservation, ReservationState, ServerRecord, Target
from .usage import UsageTable

# A server that failed a load is not tried again for this long.
AVOID_S: Final = 10.0
# After this many failed loads, a target is loaded again only for new requests.
MAX_FAILURES: Final = 3


class Flights:
    """Tracks the loads that are decided and not finished."""

    def __init__(
        self,
        fleet: Fleet,
        usage: UsageTable,
        queue: LoadQueue,
        estimates: LoadEstimates,
    ) -> None:
        self._fleet = fleet
        self._usage = usage
        self._queue = queue
        self._estimates = estimates
        self._flight_by_replica: dict[str, Flight] = {}

    def all(self) -> list[Flight]:
        """Return all in-flight loads, including stalled ones."""
        return list(self._flight_by_replica.values())

    def active(self, target: Target) -> list[Flight]:
        """Return the loads of a target on open servers that are not stalled."""
        return [
            flight
            for flight in self._flight_by_replica.values()
            if flight.request.target == target
            and not flight.stalled
            and self._fleet.is_open(flight.server_id)
        ]

    def on_server(self, server_id: str) -> list[Flight]:
        """Return the in-flight loads of a server."""
        return [f for f in self._flight_by_replica.values() if f.server_id == server_id]

    def find(self, replica_id: str) -> Flight | None:
        """Return the in-flight load of a replica, or None."""
        return self._flight_by_replica.get(replica_id)

    def add(self, flight: Flight) -> None:
        """Track a load whose decision is being written."""
        self._flight_by_replica[flight.replica_id] = flight

    def clear(self) -> None:
        """Stop tracking all loads."""
        self._flight_by_replica.clear()

    def on_record(
        self, server_id: str, record: ServerRecord, now: float
    ) -> list[Outgoing]:
        """Compare the loads of a server with its stored record.

        Loads without a reservation are decided again; loads of a former owner are
        tracked from now on.
        """
        entries = {entry.replica_id: entry for entry in record.reservations}
        out: list[Outgoing] = []
        for flight in self.on_server(server_id):
            if flight.replica_id not in entries:
                self._drop(flight)
                self._retry(flight, now)
            elif not flight.committed:
                flight.committed = True
                flight.started_at = now
                out += self.answer(flight.request, flight, now)
        for entry in entries.values():
            if entry.state is ReservationState.LOADING:
                self._follow(server_id, entry, now)
        return out

    def on_report(self, server_id: str, now: float) -> None:
        """Remove the loads that a report shows as finished."""
        evidence = self._fleet.evidence(server_id)
        for flight in self.on_server(server_id):
            if evidence.is_loaded(flight.replica_id):
                self._drop(flight)
                self._fleet.loaded_since(flight.replica_id, now)
                if not flight.stalled:
                    self._estimates.measured(flight, now)

    def fail(self, replica_id: str, avoid: bool, now: float) -> None:
        """Queue a load again whose reservation is being released."""
        flight = self._flight_by_replica.get(replica_id)
        if flight is None:
            return
        self._drop(flight)
        if flight.stalled:
            return
        if avoid:
            flight.request.avoid_until[flight.server_id] = now + AVOID_S
            flight.request.failures += 1
        self._retry(flight, now)

    def find_stalled(self, now: float) -> None:
        """Queue the targets of stalled loads again."""
        for flight in self.all():
            if flight.committed and not flight.stalled and now >= flight.stalls_at:
                flight.stalled = True
                flight.request.avoid_until[flight.server_id] = now + AVOID_S
                self._retry(flight, now)

    def next_stall_at(self) -> float | None:
        """Return when the next load becomes stalled."""
        times = [f.stalls_at for f in self.all() if f.committed and not f.stalled]
        return min(times, default=None)

    def answer(
        self, request: LoadRequest, flight: Flight, now: float
    ) -> list[Outgoing]:
        """Return the answers to the waiters of a request.

        Waiters whose deadline is before the expected end of the load are refused. The
        load continues for later requests.
        """
        remaining_s = flight.remaining_s(now)
        model, adapter = request.target.model, request.target.adapter
        planned = ReplicaPlanned(model, adapter, flight.server_id, remaining_s)
        late = ReplicaRefused(model, adapter, "deadline_unreachable")
        out = [
            Outgoing(
                address, late if waiter.deadline_at < now + remaining_s else planned
            )
            for address, waiter in request.waiter_by_address.items()
        ]
        request.waiter_by_address.clear()
        return out

    def _follow(self, server_id: str, entry: Reservation, now: float) -> None:
        """Track a load that a former owner decided."""
        if entry.replica_id in self._flight_by_replica:
            return
        if self._fleet.evidence(server_id).was_seen(entry.replica_id):
            return
        # Its start is unknown, so it must not count as a measured time (nominal 0).
        request = LoadRequest(entry.target, RequestClass.PATIENT, now)
        self.add(
            Flight(
                entry.replica_id,
                server_id,
                CheckpointTier.REMOTE,
                request,
                nominal_s=0.0,
                estimate_s=self._fleet.nominal_load_s(entry.target),
                started_at=now,
                committed=True,
            )
        )

    def _drop(self, flight: Flight) -> None:
        del self._flight_by_replica[flight.replica_id]

    def _retry(self, flight: Flight, now: float) -> None:
        old = flight.request
        still_needed = old.deadline_at > now or self._usage.is_wanted(old.target, now)
        if old.failures >= MAX_FAILURES or not (still_needed or old.waiter_by_address):
            return
        again = LoadRequest(
            old.target,
            old.request_class,
            max(old.deadline_at, now + 1.0),
            replicas_wanted=old.replicas_wanted,
            waiter_by_address=dict(old.waiter_by_address),
            avoid_until=dict(old.avoid_until),
            failures=old.failures,
        )
        self._queue.add(again)
