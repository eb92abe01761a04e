"""The ``scaling`` decision: orders the numbers of servers.

Each gateway reports its running and waiting work to the holder once a second. The
holder follows a rise at once, over the expected boot time of a server, and a fall only
when the servers were not needed for some time.
"""

from __future__ import annotations

import logging
from collections.abc import Collection
from typing import Final

import attrs

from ..core.decision import Decision
from ..core.member import Member, MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..gateway.desired_state import AutoscaleSpec, DesiredState
from ..gateway.messages import ROUTING_TASK, LeaderChanged, LeadershipHeld
from ..gateway.servers import (
    RegistryInterrupted,
    RegistryListed,
    ServerRecord,
    ServerRemoved,
    ZoneEvacuated,
)
from ..telemetry.logs import log_event
from .duty_messages import (
    DUTY_TASK,
    SCALING_TASK,
    DutyEnded,
    DutyResult,
    GetWork,
    ScaleOrder,
    WorkObserved,
    WorkReport,
)
from .duty_settings import DutySettings
from .holder_term import HolderTerm
from .scale_plan import ZoneState, plan_zones
from .scale_total import ScaleTotal
from .work_totals import WorkTotals
from .zone_health import ZoneHealth

logger = logging.getLogger(__name__)

INTERVAL_S: Final = 1.0
# A new holder has the reports of all gateways after this time.
COLLECT_S: Final = 3.0
# An unanswered order may be executed after a newer one, so each order is repeated.
REPEAT_S: Final = 10.0


@attrs.define
class _ScaledService:
    """The state of one service in a term."""

    total: ScaleTotal = attrs.field(factory=ScaleTotal)
    ordered_by_zone: dict[str, int] = attrs.field(factory=dict)
    ordered_at_by_zone: dict[str, float] = attrs.field(factory=dict)
    # Mean slots of its servers, as last known; 0 if it has had none.
    slots: float = 0.0


def _is_urgent(total: int, zones: Collection[ZoneState]) -> bool:
    """Return whether to order servers before those of the last holder have started.

    What the last holder ordered is unknown, so an order could end servers that start.
    """
    return total > sum(zone.ordered for zone in zones) or not all(
        zone.is_usable for zone in zones
    )


class Scaling(Decision):
    """Reports the work of a gateway, and as the holder orders servers."""

    def __init__(self, own: Member, settings: DutySettings, now: float) -> None:
        self._id = own.instance_id
        self._term = HolderTerm(settings, now)
        self._zones = ZoneHealth()
        self._zones.set_members({own.zone}, now)
        self._work = WorkTotals()
        self._spec_by_service: dict[str, AutoscaleSpec] = {}
        self._state_by_service: dict[str, _ScaledService] = {}
        self._leader_id: str | None = None
        self._next_at = now

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle work, a change of servers, zones or members, or the end of a call."""
        match incoming.message:
            case WorkObserved(works) if self._leader_id is not None:
                leader = Address(self._leader_id, SCALING_TASK)
                return [Outgoing(leader, WorkReport(works))]
            case WorkReport(works):
                self._work.record(incoming.sender.instance_id, works, now)
            case DutyEnded(ScaleOrder() as order, result):
                self._on_ended(order, result)
            case LeadershipHeld() as held:
                self._state_by_service.clear()
                self._term.handle(held, now)
            case LeaderChanged(leader_id):
                self._leader_id = leader_id
            case other:
                self._handle_change(other, now)
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Ask for this gateway's work, and order servers as the holder."""
        if now < self._next_at:
            return []
        self._next_at = now + INTERVAL_S
        self._zones.drop_removed(now)
        batch = []
        if self._spec_by_service:
            batch.append(self._to(ROUTING_TASK, GetWork()))
        if self._may_order(now):
            for service, spec in self._spec_by_service.items():
                batch += self._scale(service, spec, now)
        return batch

    def wake_at(self) -> float | None:
        """Return when the work is reported next."""
        return self._next_at

    def status(self, now: float) -> Status:
        """Return the ordered numbers of servers by service and zone."""
        return {
            service: dict(state.ordered_by_zone)
            for service, state in self._state_by_service.items()
        }

    def _handle_change(self, message: Message, now: float) -> None:
        match message:
            case ServerRecord() as record:
                self._zones.update_server(record, now)
            case ServerRemoved(server_id):
                self._zones.remove_server(server_id, now)
            case RegistryInterrupted():
                self._zones.is_interrupted = True
            case RegistryListed():
                self._zones.is_interrupted = False
            case ZoneEvacuated(zone, evacuated):
                self._zones.set_evacuated(zone, evacuated)
            case MembershipChanged(member_by_id):
                zones = {member.zone for member in member_by_id.values()}
                self._zones.set_members(zones, now)
                self._work.retain(member_by_id)
            case DesiredState() as desired:
                self._spec_by_service = {
                    name: service.autoscale
                    for name, service in desired.service_by_name.items()
                    if service.autoscale is not None
                }
            case other:
                self._term.handle(other, now)

    def _may_order(self, now: float) -> bool:
        return (
            self._term.allows_calls(now)
            and now >= self._term.began_at + COLLECT_S
            and not self._zones.is_interrupted
        )

    def _scale(self, service: str, spec: AutoscaleSpec, now: float) -> list[Outgoing]:
        state = self._state_by_service.setdefault(service, _ScaledService())
        # After the loss of all servers, the last known size counts.
        slots = state.slots = self._zones.mean_slots(service) or state.slots
        if slots == 0:
            # Without any server so far it is unknown what one can take.
            return []
        zones = self._zone_states(service, state, now)
        work = self._work.total(service, now)
        is_settled = now >= self._term.began_at + COLLECT_S + spec.boot_s
        total = state.total.update(
            work, slots, spec, zones.values(), now, is_settled=is_settled
        )
        if not is_settled and not _is_urgent(total, zones.values()):
            return []
        planned = plan_zones(spec, zones, total)
        return [
            self._order(state, service, zone, desired, now)
            for zone, desired in planned.items()
            if state.ordered_by_zone.get(zone) != desired
            or now >= state.ordered_at_by_zone[zone] + REPEAT_S
        ]

    def _zone_states(
        self, service: str, state: _ScaledService, now: float
    ) -> dict[str, ZoneState]:
        present = self._zones.ready_servers(service)
        running = self._work.running_by_zone(service, now)
        return {
            zone: ZoneState(
                # A new holder does not know the last orders, only their effect.
                ordered=state.ordered_by_zone.get(zone, present[zone]),
                running=running[zone],
                is_usable=self._zones.is_usable(zone, now),
            )
            for zone in self._zones.zones()
        }

    def _order(
        self, state: _ScaledService, service: str, zone: str, desired: int, now: float
    ) -> Outgoing:
        if state.ordered_by_zone.get(zone) != desired:
            log_event(
                logger,
                logging.INFO,
                "servers_ordered",
                service=service,
                zone=zone,
                desired=desired,
                before=state.ordered_by_zone.get(zone),
            )
        state.ordered_by_zone[zone] = desired
        state.ordered_at_by_zone[zone] = now
        order = ScaleOrder(
            epoch=self._term.epoch or 0, service=service, zone=zone, desired=desired
        )
        return self._to(DUTY_TASK, order)

    def _on_ended(self, order: ScaleOrder, result: DutyResult) -> None:
        if result is DutyResult.REFUSED_EPOCH:
            self._term.refuse(order.epoch)

    def _to(self, task: str, message: Message) -> Outgoing:
        return Outgoing(Address(self._id, task), message)
