"""In-flight loads, from the write of the decision to the server's report.

`InFlightLoads` tracks each load. A stalled load is queued again for another server; its
reservation stays until the load is settled.
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

# A server that failed a load is not tried again for this long.
FAILED_SERVER_AVOIDANCE_S: Final = 10.0
# After this many failed loads, a target is loaded again only for new requests.
MAX_LOAD_FAILURES: Final = 3


class InFlightLoads:
    """Tracks the loads that are decided and not finished."""

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
        """Return all in-flight loads, including stalled ones."""
        return list(self._load_by_replica.values())

    def active_for(self, target: Target) -> list[InFlightLoad]:
        """Return the loads of a target on open servers that are not stalled."""
        return [
            load
            for load in self._load_by_replica.values()
            if load.request.target == target
            and not load.is_stalled
            and self._fleet.is_open(load.server_id)
        ]

    def on_server(self, server_id: str) -> list[InFlightLoad]:
        """Return the in-flight loads of a server."""
        return [f for f in self._load_by_replica.values() if f.server_id == server_id]

    def find(self, replica_id: str) -> InFlightLoad | None:
        """Return the in-flight load of a replica, or None."""
        return self._load_by_replica.get(replica_id)

    def add(self, load: InFlightLoad) -> None:
        """Track a load whose decision is being written."""
        self._load_by_replica[load.replica_id] = load

    def clear(self) -> None:
        """Stop tracking all loads."""
        self._load_by_replica.clear()

    def handle_record(
        self, server_id: str, record: ServerRecord, now: float
    ) -> list[Outgoing]:
        """Compare the loads of a server with its stored record.

        Loads without a reservation are decided again; loads of a former owner are
        tracked from now on.
        """
        entries = {entry.replica_id: entry for entry in record.reservations}
        out: list[Outgoing] = []
        for load in self.on_server(server_id):
            if load.replica_id not in entries:
                self._remove(load)
                self._requeue(load, now)
            elif not load.is_committed:
                load.is_committed = True
                load.started_at = now
                out += self.notify_waiters(load.request, load, now)
        for entry in entries.values():
            if entry.state is ReservationState.LOADING:
                self._track_inherited(server_id, entry, now)
        return out

    def handle_report(self, server_id: str, now: float) -> None:
        """Remove the loads that a report shows as finished."""
        observations = self._fleet.observations(server_id)
        for load in self.on_server(server_id):
            if observations.is_loaded(load.replica_id):
                self._remove(load)
                self._fleet.loaded_since(load.replica_id, now)
                if not load.is_stalled:
                    self._estimates.record_load_time(load, now)

    def handle_failure(self, replica_id: str, avoid: bool, now: float) -> None:
        """Queue a load again whose reservation is being released."""
        load = self._load_by_replica.get(replica_id)
        if load is None:
            return
        self._remove(load)
        if load.is_stalled:
            return
        if avoid:
            load.request.avoid_until[load.server_id] = now + FAILED_SERVER_AVOIDANCE_S
            load.request.failures += 1
        self._requeue(load, now)

    def requeue_stalled(self, now: float) -> None:
        """Queue the targets of stalled loads again."""
        for load in self.all():
            if load.is_committed and not load.is_stalled and now >= load.stalls_at:
                load.is_stalled = True
                load.request.avoid_until[load.server_id] = (
                    now + FAILED_SERVER_AVOIDANCE_S
                )
                self._requeue(load, now)

    def next_stall_at(self) -> float | None:
        """Return when the next load becomes stalled."""
        times = [f.stalls_at for f in self.all() if f.is_committed and not f.is_stalled]
        return min(times, default=None)

    def notify_waiters(
        self, request: LoadRequest, load: InFlightLoad, now: float
    ) -> list[Outgoing]:
        """Return the answers to the waiters of a request.

        Waiters whose deadline is before the expected end of the load are refused. The
        load continues for later requests.
        """
        remaining_s = load.remaining_s(now)
        model, adapter = request.target.model, request.target.adapter
        planned = ReplicaPlanned(model, adapter, load.server_id, remaining_s)
        refused = ReplicaRefused(model, adapter, "deadline_unreachable")
        out = [
            Outgoing(
                address, refused if waiter.deadline_at < now + remaining_s else planned
            )
            for address, waiter in request.waiter_by_address.items()
        ]
        request.waiter_by_address.clear()
        return out

    def _track_inherited(self, server_id: str, entry: Reservation, now: float) -> None:
        """Track a load that a former owner decided."""
        if entry.replica_id in self._load_by_replica:
            return
        if self._fleet.observations(server_id).was_seen(entry.replica_id):
            return
        # Its start is unknown, so it must not count as a measured time (nominal 0).
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

    def _remove(self, load: InFlightLoad) -> None:
        del self._load_by_replica[load.replica_id]

    def _requeue(self, load: InFlightLoad, now: float) -> None:
        previous = load.request
        still_needed = previous.deadline_at > now or self._usage.has_pending_demand(
            previous.target, now
        )
        if previous.failures >= MAX_LOAD_FAILURES or not (
            still_needed or previous.waiter_by_address
        ):
            return
        new_request = LoadRequest(
            previous.target,
            previous.request_class,
            max(previous.deadline_at, now + 1.0),
            desired_replicas=previous.desired_replicas,
            waiter_by_address=dict(previous.waiter_by_address),
            avoid_until=dict(previous.avoid_until),
            failures=previous.failures,
        )
        self._queue.add(new_request)
