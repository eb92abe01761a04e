"""Loads under way: from the decision's write to the server's report.

`InFlightLoads` follows each load. A stalled load goes back to the queue for another server;
its reservation stays until it is settled.
"""

from __future__ import annotations

from typing import Final

from ..core.message import Outgoing
from ..manifest.model import RequestClass
from .fleet import Fleet
from .loads import InFlightLoad, LoadQueue, LoadRequest, LoadTimeEstimator
from .messages import CheckpointTier, ReplicaPlanned, ReplicaRefused
from .reservations import Reservation, ReservationState, ServerRecord, Target
from .usage import UsageTable

# A server that failed a load is not tried again at once.
FAILED_SERVER_AVOIDANCE_S: Final = 10.0
# A target whose loads keep failing waits for new requests.
MAX_LOAD_FAILURES: Final = 3


class InFlightLoads:
    """Loads that are decided and not finished; private state."""

    def __init__(
        self,
        fleet: Fleet,
        usage: UsageTable,
        queue: LoadQueue,
        estimates: LoadTimeEstimator,
    ) -> None:
        self._fleet = fleet
        self._usage = usage
        self._queue = queue
        self._estimates = estimates
        self._load_by_replica: dict[str, InFlightLoad] = {}

    def all(self) -> list[InFlightLoad]:
        """Return all loads under way, stalled ones too."""
        return list(self._load_by_replica.values())

    def active_for(self, target: Target) -> list[InFlightLoad]:
        """Return the loads of a target that are expected to finish on open servers."""
        return [
            flight
            for flight in self._load_by_replica.values()
            if flight.request.target == target
            and not flight.is_stalled
            and self._fleet.is_open(flight.server_id)
        ]

    def on_server(self, server_id: str) -> list[InFlightLoad]:
        """Return the loads on a server."""
        return [f for f in self._load_by_replica.values() if f.server_id == server_id]

    def find(self, replica_id: str) -> InFlightLoad | None:
        """Return the load of a replica."""
        return self._load_by_replica.get(replica_id)

    def add(self, flight: InFlightLoad) -> None:
        """Follow a load whose decision is being written."""
        self._load_by_replica[flight.replica_id] = flight

    def clear(self) -> None:
        """Drop all loads."""
        self._load_by_replica.clear()

    def handle_record(
        self, server_id: str, record: ServerRecord, now: float
    ) -> list[Outgoing]:
        """Compare the loads on a server with its record as written."""
        entries = {entry.replica_id: entry for entry in record.reservations}
        out: list[Outgoing] = []
        for flight in self.on_server(server_id):
            if flight.replica_id not in entries:
                self._remove(flight)
                self._requeue(flight, now)
            elif not flight.is_committed:
                flight.is_committed = True
                flight.started_at = now
                out += self.notify_waiters(flight.request, flight, now)
        for entry in entries.values():
            if entry.state is ReservationState.LOADING:
                self._track_inherited(server_id, entry, now)
        return out

    def handle_report(self, server_id: str, now: float) -> None:
        """End the loads that a report shows as finished."""
        evidence = self._fleet.observations(server_id)
        for flight in self.on_server(server_id):
            if evidence.is_loaded(flight.replica_id):
                self._remove(flight)
                self._fleet.loaded_since(flight.replica_id, now)
                if not flight.is_stalled:
                    self._estimates.record_load_time(flight, now)

    def handle_failure(self, replica_id: str, avoid: bool, now: float) -> None:
        """Decide a load again whose reservation is being released."""
        flight = self._load_by_replica.get(replica_id)
        if flight is None:
            return
        self._remove(flight)
        if flight.is_stalled:
            return
        if avoid:
            flight.request.avoid_until[flight.server_id] = (
                now + FAILED_SERVER_AVOIDANCE_S
            )
            flight.request.failures += 1
        self._requeue(flight, now)

    def requeue_stalled(self, now: float) -> None:
        """Put the targets of stalled loads back into the queue."""
        for flight in self.all():
            if (
                flight.is_committed
                and not flight.is_stalled
                and now >= flight.stalls_at
            ):
                flight.is_stalled = True
                flight.request.avoid_until[flight.server_id] = (
                    now + FAILED_SERVER_AVOIDANCE_S
                )
                self._requeue(flight, now)

    def next_stall_at(self) -> float | None:
        """Return when the next load counts as stalled."""
        times = [f.stalls_at for f in self.all() if f.is_committed and not f.is_stalled]
        return min(times, default=None)

    def notify_waiters(
        self, request: LoadRequest, flight: InFlightLoad, now: float
    ) -> list[Outgoing]:
        """Tell the waiters of a request about a load; refuse those it comes late for.

        The load goes on for the requests that follow.
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

    def _track_inherited(self, server_id: str, entry: Reservation, now: float) -> None:
        """Follow a load that a former owner has decided."""
        if entry.replica_id in self._load_by_replica:
            return
        if self._fleet.observations(server_id).was_seen(entry.replica_id):
            return
        # Its start is unknown, so that it gives no measured time (nominal 0).
        request = LoadRequest(entry.target, RequestClass.PATIENT, now)
        self.add(
            InFlightLoad(
                entry.replica_id,
                server_id,
                CheckpointTier.REMOTE,
                request,
                nominal_s=0.0,
                estimate_s=self._fleet.nominal_load_s(entry.target),
                started_at=now,
                is_committed=True,
            )
        )

    def _remove(self, flight: InFlightLoad) -> None:
        del self._load_by_replica[flight.replica_id]

    def _requeue(self, flight: InFlightLoad, now: float) -> None:
        old = flight.request
        still_needed = old.deadline_at > now or self._usage.has_pending_demand(
            old.target, now
        )
        if old.failures >= MAX_LOAD_FAILURES or not (
            still_needed or old.waiter_by_address
        ):
            return
        again = LoadRequest(
            old.target,
            old.request_class,
            max(old.deadline_at, now + 1.0),
            desired_replicas=old.desired_replicas,
            waiter_by_address=dict(old.waiter_by_address),
            avoid_until=dict(old.avoid_until),
            failures=old.failures,
        )
        self._queue.add(again)
