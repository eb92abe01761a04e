"""The servers of the site, as known to the placement owner.

`Fleet` combines the manifest, the server reports, the list of leaving servers and the
instances with a live session, and indexes reservations by target.
"""

from __future__ import annotations

from typing import Final

from ..core.member import Member
from ..manifest.model import Catalog, Server, ZoneState, empty_manifest
from .messages import CheckpointTier, LeavingChanged
from .reservations import (
    IssuedOrder,
    Reservation,
    ServerObservations,
    ServerRecord,
    Target,
)

# Age above which a server's report is no longer used as its current state.
REPORT_MAX_AGE_S: Final = 3.0


class Fleet:
    """Servers, observations of them, and the instances that may still send orders."""

    def __init__(self) -> None:
        self.catalog = Catalog.from_manifest(0, empty_manifest())
        self.leaving = LeavingChanged(frozenset(), frozenset())
        self.member_by_id: dict[str, Member] = {}
        self._observations_by_server: dict[str, ServerObservations] = {}
        self._servers_by_target: dict[Target, set[str]] = {}
        self._targets_by_server: dict[str, set[Target]] = {}
        self._loaded_since: dict[str, float] = {}

    def reset(self) -> None:
        """Drop the observations of the previous ownership."""
        self._observations_by_server.clear()
        self._servers_by_target.clear()
        self._targets_by_server.clear()
        self._loaded_since.clear()

    def observations(self, server_id: str) -> ServerObservations:
        """Return the observations of a server."""
        return self._observations_by_server.setdefault(server_id, ServerObservations())

    def server(self, server_id: str) -> Server | None:
        """Return a server of the manifest."""
        return self.catalog.server_by_id.get(server_id)

    def is_open(self, server_id: str) -> bool:
        """Return whether a server's zone is open and it is not leaving (R7, R11)."""
        server = self.server(server_id)
        if server is None or server_id in self.leaving.server_ids:
            return False
        zone = self.catalog.zone_by_id.get(server.zone)
        return zone is not None and zone.state is ZoneState.OPEN

    def is_reporting(self, server_id: str, now: float) -> bool:
        """Return whether a server has reported recently."""
        observations = self.observations(server_id)
        return (
            not observations.is_unreachable
            and now - observations.report_at <= REPORT_MAX_AGE_S
        )

    def is_usable(self, server_id: str, now: float) -> bool:
        """Return whether a server is open and has reported recently."""
        return self.is_open(server_id) and self.is_reporting(server_id, now)

    def checks_fencing(self, server_id: str) -> bool:
        """Return whether a server rejects orders with an outdated fence."""
        server = self.server(server_id)
        return server is not None and server.checks_fencing

    def is_sender_gone(self, order: IssuedOrder) -> bool:
        """Return whether the process that issued an order has certainly ended.

        A missing session is not enough: a paused process loses its session and may
        still send. Either the platform no longer lists the instance, or a new process
        runs under its name.
        """
        member = self.member_by_id.get(order.sender)
        if member is not None:
            return member.incarnation != order.incarnation
        return order.sender in self.leaving.gone_instance_ids

    def free_mib(self, server_id: str, record: ServerRecord) -> int:
        """Return memory that is neither reserved nor in use by other processes (R2)."""
        server = self.server(server_id)
        report = self.observations(server_id).report
        if server is None or report is None:
            return 0
        memory = server.memory_mib
        if report.memory_mib > 0:
            memory = min(memory, report.memory_mib)
        mib_by_replica = {r.replica_id: r.memory_mib for r in record.reservations}
        reported_ids = {r.replica_id for r in report.replicas}
        accounted_mib = sum(
            mib_by_replica.get(replica_id, 0) for replica_id in reported_ids
        )
        foreign_mib = max(report.used_mib - accounted_mib, 0)
        return memory - record.reserved_mib - foreign_mib

    def checkpoint_tier(self, server_id: str, model: str) -> CheckpointTier:
        """Return the tier from which a server loads a model's checkpoint."""
        report = self.observations(server_id).report
        if report is None:
            return CheckpointTier.REMOTE
        return report.checkpoint_tier_by_model.get(model, CheckpointTier.REMOTE)

    def memory_mib(self, target: Target) -> int | None:
        """Return the memory that a target needs; None if it is not in the manifest."""
        if target.adapter:
            adapter = self.catalog.adapter_by_id.get(target.adapter)
            if adapter is None or adapter.model != target.model:
                return None
            return adapter.memory_mib
        model = self.catalog.model_by_id.get(target.model)
        return model.memory_mib if model is not None else None

    def nominal_load_s(self, target: Target) -> float:
        """Return a target's load time from the manifest; 0 if it is unknown."""
        if target.adapter:
            adapter = self.catalog.adapter_by_id.get(target.adapter)
            return adapter.load_s if adapter is not None else 0.0
        model = self.catalog.model_by_id.get(target.model)
        return model.load_s if model is not None else 0.0

    def max_replicas(self, target: Target) -> int:
        """Return the maximum number of replicas of a target."""
        model = self.catalog.model_by_id.get(target.model)
        return model.max_replicas if model is not None else 0

    def update_index(self, server_id: str, record: ServerRecord) -> None:
        """Update the index with the targets in a server's record."""
        targets = {entry.target for entry in record.reservations}
        former_targets = self._targets_by_server.get(server_id, set())
        for target in former_targets - targets:
            self._servers_by_target[target].discard(server_id)
        for target in targets - former_targets:
            self._servers_by_target.setdefault(target, set()).add(server_id)
        self._targets_by_server[server_id] = targets

    def servers_of(self, target: Target) -> list[str]:
        """Return the sorted ids of the servers whose records contain a target."""
        return sorted(self._servers_by_target.get(target, ()))

    def targets(self) -> list[Target]:
        """Return all targets that appear in any record."""
        return [t for t, servers in self._servers_by_target.items() if servers]

    def loaded_since(self, replica_id: str, now: float) -> float:
        """Return since when a replica is known to be loaded; the first call sets it."""
        return self._loaded_since.setdefault(replica_id, now)

    def drop_reservation(self, server_id: str, entry: Reservation) -> None:
        """Drop the state kept for a released reservation."""
        self._loaded_since.pop(entry.replica_id, None)
        self.observations(server_id).drop_reservation(entry)
