"""Status page data of servers and plain services.

The state names the first reason why a server gets no new work, in the order in which
routing excludes servers. Servers without such a reason are ramping or open.
"""

from __future__ import annotations

from enum import StrEnum

from ..core.status import Status
from ..manifest.model import Server, Service
from ..zones.zone import WorkEligibility
from .server_state import ServerState, ServiceState


class DisplayedState(StrEnum):
    """State of a server, as shown on the status page."""

    CLOSED_ZONE = "closed zone"
    LEAVING = "leaving"
    NO_REPORT = "no report"
    STALE = "stale"
    BREAKER_OPEN = "set aside"
    RAMPING = "ramping"
    OPEN = "open"


def model_server_status(
    server: Server, state: ServerState, permits: WorkEligibility, now: float
) -> Status:
    """Return the status of a model server."""
    report = state.report
    return {
        "id": server.id,
        "zone": server.zone,
        "state": displayed_state(server, state, permits, now),
        "running": 0 if report is None else report.running,
        "queued": 0 if report is None else report.queued,
        "capacity": server.capacity if report is None else report.capacity,
        "own_calls": len(state.calls),
        "replicas": sorted(
            replica.adapter or replica.model for replica in state.loaded_replicas()
        ),
    }


def displayed_state(
    server: Server, state: ServerState, permits: WorkEligibility, now: float
) -> DisplayedState:
    """Return why a server gets no or limited new work, or that it is open."""
    excluded = _exclusion(server, permits)
    if excluded is not None:
        return excluded
    if state.report is None:
        return DisplayedState.NO_REPORT
    if not state.has_fresh_report(now):
        return DisplayedState.STALE
    if state.breaker.is_open:
        return DisplayedState.BREAKER_OPEN
    return (
        DisplayedState.OPEN if state.ramp_slots(now) is None else DisplayedState.RAMPING
    )


def service_status(
    service: Service, state: ServiceState, permits: WorkEligibility
) -> Status:
    """Return the status of a plain service, with own calls only."""
    shown = _exclusion(service, permits)
    if shown is None:
        shown = (
            DisplayedState.BREAKER_OPEN
            if state.breaker.is_open
            else DisplayedState.OPEN
        )
    return {
        "id": service.id,
        "zone": service.zone,
        "state": shown,
        "own_calls": len(state.calls),
        "capacity": service.capacity,
    }


def _exclusion(
    entity: Server | Service, permits: WorkEligibility
) -> DisplayedState | None:
    if not permits.zone_accepts_work(entity.zone):
        return DisplayedState.CLOSED_ZONE
    if not permits.server_accepts_work(entity.id, entity.zone):
        return DisplayedState.LEAVING
    return None
