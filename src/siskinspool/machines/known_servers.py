"""State of servers and plain services as known to one instance.

`KnownServers` keeps the state of each server and selects those that may receive a call
now: they hold the replica, accept new work (zone open, not leaving), have a recent
report, are not blocked by the circuit breaker and have free concurrency within the
ramp.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Iterator

import attrs

from ..core.member import MembershipChanged
from ..core.status import Status
from ..manifest.model import Catalog, Server, Service, empty_manifest
from ..server_signals.observations import ServerStart
from ..server_signals.server_signals import ServerSignals
from ..zones.preference import ZonePreference
from ..zones.zone import WorkEligibility
from .call_targets import ReplicaKey, ReplicaTarget, RouteTarget, Target
from .candidate import Candidate
from .messages import LeavingChanged, RampSlots, ServerReport
from .prefix_index import PrefixIndex
from .routing_messages import PrefixHint, RouteCall
from .server_state import EndpointState, ServerState, ServiceState
from .server_status import model_server_status, service_status


@attrs.frozen
class Backend:
    """A server or plain service of the catalog with its state."""

    entity: Server | Service
    state: EndpointState

    @property
    def start(self) -> ServerStart:
        """The present start of the server."""
        entity = self.entity
        return ServerStart(
            entity.id, None, entity.host, entity.port, self.state.boot_id
        )


class KnownServers:
    """State of all servers; times are monotonic seconds."""

    def __init__(self, own_zone: str, rng: random.Random) -> None:
        self.catalog = Catalog.from_manifest(0, empty_manifest())
        self._zone_preference = ZonePreference(own_zone)
        self._rng = rng
        self._permits = WorkEligibility()
        self._instance_count = 1
        # Highest epoch of the placement owner seen in `RampSlots`.
        self._ramp_epoch = 0
        # Also has servers that are not in the catalog yet: a ramp lease can
        # arrive before the revision that adds its server.
        self._server_by_id: dict[str, ServerState] = {}
        self._service_by_id: dict[str, ServiceState] = {}
        self._holders_by_key: dict[ReplicaKey, set[str]] = {}
        self._prefix_index = PrefixIndex()
        self.signals = ServerSignals(rng)

    def update_catalog(self, catalog: Catalog) -> None:
        """Apply a manifest revision."""
        for server_id in self.catalog.server_by_id.keys() - catalog.server_by_id.keys():
            self._remove_server(server_id)
        self.catalog = catalog
        self._permits = self._permits.with_catalog(catalog)
        self._service_by_id = {
            service_id: self._service_by_id.get(service_id) or ServiceState()
            for service_id in catalog.service_by_id
        }
        self._update_service_limits()

    def update_leaving(self, change: LeavingChanged) -> None:
        """Update the set of leaving servers."""
        self._permits = self._permits.with_leaving(change)

    def update_members(self, change: MembershipChanged) -> None:
        """Update the number of instances that share the servers."""
        members = change.member_by_id.values()
        self._instance_count = max(
            1, sum(1 for member in members if not member.draining)
        )
        self._update_service_limits()

    def handle_report(self, report: ServerReport, now: float) -> None:
        """Update a server's state and the index of replica holders from a report."""
        state = self._server_state(report.server_id)
        boot_before, loaded_before = state.boot_id, state.loaded_replicas()
        if not state.update_report(report, self._instance_count, self._rng, now):
            return
        if boot_before not in ("", report.boot_id):
            self._prefix_index.forget_server(report.server_id)
        for replica in loaded_before - state.loaded_replicas():
            self._remove_holder_if_unloaded(
                ReplicaKey(replica.model, replica.adapter), state, report.server_id
            )
        for replica in state.loaded_replicas() - loaded_before:
            key = ReplicaKey(replica.model, replica.adapter)
            self._holders_by_key.setdefault(key, set()).add(report.server_id)

    def handle_ramp_slots(self, message: RampSlots, now: float) -> None:
        """Apply a ramp lease; a lease of an older epoch is ignored (R6)."""
        if message.epoch < self._ramp_epoch:
            return
        self._ramp_epoch = message.epoch
        self._server_state(message.server_id).update_slots(message, now)

    def record_prefix_hint(self, hint: PrefixHint, now: float) -> None:
        """Record a prefix hint if its server is in the catalog."""
        if hint.server_id in self.catalog.server_by_id:
            self._prefix_index.record_hint(hint, now)

    def has_replica(self, key: ReplicaKey, now: float) -> bool:
        """Return whether a server that accepts work holds the replica, busy or not."""
        return any(
            isinstance(backend.state, ServerState)
            and backend.state.has_fresh_report(now)
            for backend in self._filter_permitted(self._holders(key))
        )

    def candidates(
        self, target: Target, request: RouteCall, now: float
    ) -> list[Candidate]:
        """Return the servers that may receive a call now."""
        found = [
            self._candidate(backend, request, now)
            for backend in self._filter_permitted(self._backends(target))
            if backend.entity.id not in request.excluded_server_ids
            and backend.state.accepts(now)
            and self.signals.permission(backend.start, now).allows_next
        ]
        if not request.idempotent:
            # A probe often fails, and such a call cannot be tried again (R10).
            proven = [candidate for candidate in found if not candidate.is_probe]
            return proven or found
        return found

    def backend(self, target: Target, backend_id: str) -> Backend:
        """Return a candidate's server or service with its state."""
        if isinstance(target, RouteTarget):
            service = self.catalog.service_by_id[backend_id]
            return Backend(service, self._service_by_id[backend_id])
        server = self.catalog.server_by_id[backend_id]
        return Backend(server, self._server_by_id[backend_id])

    def known_start(self, server_id: str, boot_id: str) -> Backend | None:
        """Return a server with the start that a boot id names, if it is the present.

        An empty boot id means a plain service.
        """
        if not boot_id:
            service = self.catalog.service_by_id.get(server_id)
            if service is None:
                return None
            return Backend(service, self._service_by_id[server_id])
        server = self.catalog.server_by_id.get(server_id)
        state = self._server_by_id.get(server_id)
        if server is None or state is None or state.boot_id != boot_id:
            return None
        return Backend(server, state)

    def wants_requests(self, backend: Backend, now: float) -> bool:
        """Return whether a server's zone, the platform and its signals allow requests.

        The load and the circuit breaker are not considered.
        """
        entity = backend.entity
        if not self._permits.server_accepts_work(entity.id, entity.zone):
            return False
        return self.signals.permission(backend.start, now).allows_next

    def forget_failures(self) -> None:
        """Close all circuit breakers, as this instance's own path was at fault."""
        for server in self._server_by_id.values():
            server.breaker.forget_failures()
        for service in self._service_by_id.values():
            service.breaker.forget_failures()

    def status(self, now: float) -> Status:
        """Return the servers and services of the catalog for the status page."""
        servers = [
            model_server_status(
                entity,
                self._server_by_id.get(entity.id) or ServerState(),
                self._permits,
                now,
            )
            for entity in self.catalog.manifest.servers
        ]
        services = [
            service_status(entity, self._service_by_id[entity.id], self._permits)
            for entity in self.catalog.manifest.services
        ]
        return {"servers": servers, "services": services}

    def next_probe_at(self, target: Target, now: float) -> float | None:
        """Return when a breaker next allows a probe; None if none does."""
        times = (b.state.breaker.next_probe_at() for b in self._backends(target))
        return min((at for at in times if at is not None and at > now), default=None)

    def next_opening_at(self, target: Target, now: float) -> float | None:
        """Return when the next paused server opens; None if none is paused."""
        if not self.signals.has_pauses:
            return None
        times = (self.signals.opens_at(b.start, now) for b in self._backends(target))
        return min((at for at in times if now < at < math.inf), default=None)

    def _backends(self, target: Target) -> Iterator[Backend]:
        if isinstance(target, ReplicaTarget):
            yield from self._holders(target.key)
        elif isinstance(target, RouteTarget):
            for service_id in target.service_ids:
                if service_id in self.catalog.service_by_id:
                    yield self.backend(target, service_id)

    def _holders(self, key: ReplicaKey) -> Iterator[Backend]:
        # Sorted, because the order of a set of strings differs between processes.
        for server_id in sorted(self._holders_by_key.get(key, ())):
            server = self.catalog.server_by_id.get(server_id)
            if server is not None:
                yield Backend(server, self._server_by_id[server_id])

    def _filter_permitted(self, backends: Iterable[Backend]) -> Iterator[Backend]:
        for backend in backends:
            entity = backend.entity
            if self._permits.server_accepts_work(entity.id, entity.zone):
                yield backend

    def _candidate(self, backend: Backend, request: RouteCall, now: float) -> Candidate:
        entity = backend.entity
        return Candidate(
            server_id=entity.id,
            zone_rank=self._zone_preference.rank(entity.zone),
            load_ratio=backend.state.load_ratio(),
            prefix_bonus=self._prefix_index.bonus(
                entity.id, request.prefix_hashes, now
            ),
            is_probe=backend.state.breaker.is_open,
        )

    def _server_state(self, server_id: str) -> ServerState:
        return self._server_by_id.setdefault(server_id, ServerState())

    def _remove_server(self, server_id: str) -> None:
        state = self._server_by_id.pop(server_id, None)
        self._prefix_index.forget_server(server_id)
        for replica in state.loaded_replicas() if state else ():
            key = ReplicaKey(replica.model, replica.adapter)
            self._remove_holder(key, server_id)

    def _remove_holder_if_unloaded(
        self, key: ReplicaKey, state: ServerState, server_id: str
    ) -> None:
        # A replica that was loaded again under another id is still held.
        still_held = any(
            ReplicaKey(replica.model, replica.adapter) == key
            for replica in state.loaded_replicas()
        )
        if not still_held:
            self._remove_holder(key, server_id)

    def _remove_holder(self, key: ReplicaKey, server_id: str) -> None:
        holders = self._holders_by_key.get(key, set())
        holders.discard(server_id)
        if not holders:
            self._holders_by_key.pop(key, None)

    def _update_service_limits(self) -> None:
        # Services send no reports, so each instance uses an equal part of the capacity.
        for service_id, state in self._service_by_id.items():
            capacity = self.catalog.service_by_id[service_id].capacity
            state.limit = max(1, math.ceil(capacity / self._instance_count))
