"""Builders for tests of `pace`: estimates of servers with a known history."""

from __future__ import annotations

import itertools

from siskinspool.pace.load import LoadFigure
from siskinspool.pace.server_estimate import (
    FleetEstimate,
    SendEnd,
    SendResult,
    ServerEstimate,
    Work,
)

SLOTS = 64
PROMPT = Work(prefill_tokens=800, is_exact=True)
# Time to the first event of `PROMPT` at an idle server of the usual speed.
USUAL_FIRST_EVENT_S = 0.025
USUAL_GAP_S = 0.01
EVENTS = 50

_numbers = itertools.count()


def figure(running: int = 0, waiting: int = 0, slowdown: float = 1.0) -> LoadFigure:
    """Return a load figure of a server with 64 slots."""
    return LoadFigure(running=running, waiting=waiting, slots=SLOTS, slowdown=slowdown)


def estimate(fleet: FleetEstimate | None = None) -> ServerEstimate:
    """Return the estimate of a server that has just started."""
    return ServerEstimate.of_fleet(fleet or FleetEstimate())


def answer(
    server: ServerEstimate,
    slowdown: float,
    now: float,
    *,
    is_answered: bool = True,
    stated: LoadFigure | None = None,
) -> float:
    """Let a server answer one stream this much slower than usual; return its end."""
    request_id = f"r{next(_numbers)}"
    server.record_sent(request_id, PROMPT, SLOTS, now)
    now += USUAL_FIRST_EVENT_S * slowdown
    if is_answered:
        server.record_first_event(request_id, stated or figure(), now)
        now += USUAL_GAP_S * (EVENTS - 1) * slowdown
    result = SendResult.ANSWERED if is_answered else SendResult.FAILED
    end = SendEnd(result=result, events=EVENTS if is_answered else 0)
    server.record_end(request_id, end, now)
    return now
