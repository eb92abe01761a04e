"""The work that a gateway has at present, by service."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable

from ..duties.duty_messages import ServiceWork, WorkObserved
from .server_view import ServerView
from .waiting_request import WaitingRequest


def observe_work(
    views: Iterable[ServerView], waiting: Iterable[WaitingRequest]
) -> WorkObserved:
    """Return the running and waiting requests of each service that has any."""
    waiting_by_service = Counter(item.call.service for item in waiting)
    running_by_service: defaultdict[str, Counter[str]] = defaultdict(Counter)
    for view in views:
        if running := len(view.in_flight_by_request):
            running_by_service[view.record.service][view.record.zone] += running
    return WorkObserved(
        tuple(
            ServiceWork(
                service, waiting_by_service[service], dict(running_by_service[service])
            )
            for service in sorted(waiting_by_service | running_by_service.keys())
        )
    )
