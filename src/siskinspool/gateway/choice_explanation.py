"""Explains which server a request would get now, and why, without sending it.

`Routing` answers `ExplainChoice` with the result of the same functions that choose a
server for a real request. Whether a server has a place at the moment
(`OverloadPolicy.full_servers`) is not considered.
"""

from __future__ import annotations

import math

import attrs

from ..core.message import Message
from .messages import AssignServer
from .request import PromptPart
from .server_view import ServerView


@attrs.frozen(kw_only=True)
class ExplainChoice(Message):
    """Asks which server a request would get; answered by `ChoiceExplained`."""

    service: str
    # Empty for a plain service.
    model: str = ""
    # Empty for the base model.
    adapter: str = ""
    parts: tuple[PromptPart, ...] = ()

    def as_call(self) -> AssignServer:
        """Return the request as `Routing` gets it, with the highest priority."""
        return AssignServer(
            request_id="",
            team="",
            service=self.service,
            model=self.model,
            adapter=self.adapter,
            parts=self.parts,
            tokens=sum(part.tokens for part in self.parts),
            output_tokens=0,
            priority=0,
            excluded=frozenset(),
            avoided=frozenset(),
            repeat=False,
            max_wait_s=0.0,
            reach_s=0.0,
            route="",
            timeout_s=0.0,
            deadline_s=None,
        )


@attrs.frozen(kw_only=True)
class ServerFinding:
    """What the choice knows of one server of the service; times are in seconds."""

    server_id: str
    zone: str
    # The result of all conditions, and the main ones on their own.
    may_serve: bool
    is_open: bool
    holds_model: bool
    is_cold: bool
    # Limit on this gateway's requests in flight; None if there is none.
    pace_limit: float | None
    own_requests: int
    # Estimated requests of all gateways.
    running: float
    waiting: float
    # Lasting speed, and the present slowdown besides it, relative to the usual.
    speed: float
    slowdown: float
    recent_failures: float
    cost_s: float

    @classmethod
    def of_view(
        cls,
        view: ServerView,
        call: AssignServer,
        now: float,
        *,
        may_serve: bool,
        cost_s: float,
    ) -> ServerFinding:
        """Return the finding on a server."""
        record, estimate = view.record, view.estimate
        load = estimate.current_load(record.slots, now)
        pace_limit = estimate.pace.current(now)
        return cls(
            server_id=record.server_id,
            zone=record.zone,
            may_serve=may_serve,
            is_open=view.is_open(now),
            holds_model=not call.model or view.holds(call.model, call.adapter, now),
            is_cold=view.is_cold(now),
            pace_limit=pace_limit if math.isfinite(pace_limit) else None,
            own_requests=estimate.in_flight,
            running=load.running,
            waiting=load.waiting,
            speed=estimate.relative_speed,
            slowdown=estimate.spell.ratio(now),
            recent_failures=view.current_failures(now),
            cost_s=cost_s,
        )


@attrs.frozen
class ChoiceExplained(Message):
    """The server that a request would get now, and the findings on all servers."""

    # Empty if the request would wait. The choice among a random few may differ the
    # next time.
    server_id: str
    # The server that all gateways prefer for the prompt; empty without one.
    preferred_id: str
    findings: tuple[ServerFinding, ...]
