"""Status page data of the placement owner: records and loads."""

from __future__ import annotations

from ..core.status import Status
from .load_planner import LoadPlanner
from .loads import InFlightLoad
from .ramp import RampPlan
from .record_store import RecordStore
from .reservations import Reservation, Target


def site_status(
    planner: LoadPlanner, store: RecordStore, ramp: RampPlan, now: float
) -> Status:
    """Return the records of all servers, and the queued and in-flight loads."""
    return {
        "active": True,
        "ready": store.is_ready(),
        "servers": [
            _record_status(server_id, store, ramp)
            for server_id in sorted(store.server_ids())
        ],
        "queued_loads": [
            {"target": _target_id(request.target), "waiting": request.waiting_calls}
            for request in planner.queue.in_order()
        ],
        "loads": [_load_status(load, now) for load in planner.in_flight_loads.all()],
    }


def _record_status(server_id: str, store: RecordStore, ramp: RampPlan) -> Status:
    record = store.record(server_id)
    entries: tuple[Reservation, ...] = () if record is None else record.reservations
    return {
        "id": server_id,
        "sealed": record is not None,
        "ramping": ramp.is_ramping(server_id),
        "reservations": [
            {
                "target": _target_id(entry.target),
                "state": str(entry.state),
                "memory_mib": entry.memory_mib,
                "unsettled_orders": len(entry.orders),
            }
            for entry in entries
        ],
    }


def _load_status(load: InFlightLoad, now: float) -> Status:
    return {
        "target": _target_id(load.request.target),
        "server": load.server_id,
        "age_s": round(now - load.started_at, 1),
        "estimate_s": round(load.estimate_s, 1),
        "stalled": load.is_stalled,
    }


def _target_id(target: Target) -> str:
    return target.adapter or target.model
