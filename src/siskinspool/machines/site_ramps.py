"""Connects the ramps with reports, records and usage (R6)."""

from __future__ import annotations

from ..core.message import Address, Outgoing
from .fleet import Fleet
from .messages import ReplicaPlanned, ReplicaState
from .ramp import RampPlan
from .record_store import RecordStore
from .reservations import Target
from .usage import UsageTable


class SiteRamps:
    """Starts ramps and builds the messages that grant slots."""

    def __init__(
        self, fleet: Fleet, usage: UsageTable, store: RecordStore, ramp: RampPlan
    ) -> None:
        self._fleet = fleet
        self._usage = usage
        self._store = store
        self._ramp = ramp

    def start_ramp(self, server_id: str, now: float) -> None:
        """Start the ramp of a server from the first step."""
        server = self._fleet.server(server_id)
        report = self._fleet.observations(server_id).report
        if server is not None and report is not None:
            self._ramp.start_ramp(server_id, report.boot_id, server.capacity, now)

    def start_ramp_if_cold(self, server_id: str, now: float) -> None:
        """Start the ramp of an open server unless its record names it as warm."""
        record = self._store.pending_or_current(server_id)
        report = self._fleet.observations(server_id).report
        if record is None or report is None or not self._fleet.is_open(server_id):
            return
        if report.boot_id in (record.warm_boot_id, self._ramp.boot_id(server_id)):
            return
        self.start_ramp(server_id, now)

    def due_slot_messages(self, now: float) -> list[Outgoing]:
        """Return the slot messages that are due, for the instances' routing tasks."""
        demands = {
            server_id: self._usage.demand_by_instance(
                server_id, self._loaded_targets(server_id), now
            )
            for server_id in self._ramp.ramping_servers()
        }
        return [
            Outgoing(Address(grant.instance_id, "routing"), grant.message)
            for grant in self._ramp.grant(demands, now)
        ]

    def _loaded_targets(self, server_id: str) -> set[Target]:
        report = self._fleet.observations(server_id).report
        if report is None:
            return set()
        return {
            Target(replica.model, replica.adapter)
            for replica in report.replicas
            if replica.state is ReplicaState.LOADED
        }

    def with_end_notices(self, answers: list[Outgoing]) -> list[Outgoing]:
        """Add notices of ended ramps for instances that may have missed them."""
        out = list(answers)
        for answer in answers:
            message = answer.message
            if not isinstance(message, ReplicaPlanned) or message.expected_in_s > 0:
                continue
            record = self._store.record(message.server_id)
            if record is None or not record.warm_boot_id:
                continue
            if self._ramp.is_ramping(message.server_id):
                continue
            notice = self._ramp.end_notice(message.server_id, record.warm_boot_id)
            routing = Address(answer.recipient.instance_id, "routing")
            out.append(Outgoing(routing, notice))
        return out
