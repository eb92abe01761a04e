"""Builders of waiting requests for tests of the fair order and the kept places."""

from __future__ import annotations

import itertools
from typing import Any

from siskinspool.fairness.retry_advice import RefusedRequest
from siskinspool.fairness.server_places import StatedLoad
from siskinspool.fairness.waiting_order import WaitingEntry, WaitingOrder

TARGET = ("writers", "m0", "")
_numbers = itertools.count()


def waiting_entry(team: str = "a", **changes: Any) -> WaitingEntry:
    """Return a waiting request; later calls return later requests."""
    number = next(_numbers)
    values: dict[str, Any] = {
        "request_id": f"e{number}",
        "target": TARGET,
        "team": team,
        "priority": 0,
        "arrived_at": float(number),
        "cost": 1.0,
    }
    return WaitingEntry(**values | changes)


def refused(request_id: str = "r1", **changes: Any) -> RefusedRequest:
    """Return a refused request with 6 s left and nothing expected."""
    values: dict[str, Any] = {
        "request_id": request_id,
        "ready_at": None,
        "place_at": None,
        "remaining_s": 6.0,
    }
    return RefusedRequest(**values | changes)


def stated_load(count: int, slots: int = 64) -> StatedLoad:
    """Return the load of the server ``s1``."""
    return StatedLoad(server_id="s1", count=count, slots=slots)


def serve(
    order: WaitingOrder, waiting: list[WaitingEntry], places: int
) -> list[WaitingEntry]:
    """Give places one after the other and return who got them, in order."""
    served: list[WaitingEntry] = []
    for _ in range(places):
        count = len(served)

        def take_one(entry: WaitingEntry, before: int = count) -> bool:
            if len(served) > before:
                return False
            served.append(entry)
            return True

        order.serve([entry for entry in waiting if entry not in served], take_one)
    return served
