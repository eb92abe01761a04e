"""Status page data of the placement owner: records and loads."""

from __future__ import annotations

from ..core.status import Status
from .load_planner import LoadPlanner
from .loads import Flight
from .ramp import RampPlan
from .record_store import RecordStore
from .reservations import Reservation, Target


def show_site(
    planner: LoadPlanner, store: RecordStore, ramp: RampPlan, now: float
) -> Status:
    """Return the records of all servers, and the queued and in-flight loads."""
    return {
        "active": True,
        "ready": store.is_ready(),
        "servers": [
            _show_record(server_id, store, ramp)
            for server_id in sorted(store.server_ids())
        ],
        "queued_loads": [
            {"target": _name(request.target), "waiting": request.waiting}
            for request in planner.queue.in_order()
        ],
        "loads": [_show_flight(flight, now) for flight in planner.flights.all()],
    }


def _show_record(server_id: str, store: RecordStore, ramp: RampPlan) -> Status:
    record = store.record(server_id)
    entries: tuple[Reservation, ...] = () if record is None else record.reservations
    return {
        "id": server_id,
        "sealed": record is not None,
        "ramping": ramp.is_ramping(server_id),
        "reservations": [
            {
                "target": _name(entry.target),
                "state": str(entry.state),
                "memory_mib": entry.memory_mib,
                "unsettled_orders": len(entry.orders),
            }
            for entry in entries
        ],
    }


def _show_flight(flight: Flight, now: float) -> Status:
    return {
        "target": _name(flight.request.target),
        "server": flight.server_id,
        "age_s": round(now - flight.started_at, 1),
        "estimate_s": round(flight.estimate_s, 1),
        "stalled": flight.stalled,
    }


def _name(target: Target) -> str:
    return target.adapter or target.model
