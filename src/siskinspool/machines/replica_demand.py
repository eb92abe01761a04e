"""Replicas that waiting calls need, and the answers of the placement owner.

A demand exists while calls wait for a replica. It is sent at once, repeated every
second until it is answered, and repeated when a planned replica is overdue.
"""

from __future__ import annotations

from typing import Final

import attrs

from .call_targets import ReplicaKey, ReplicaTarget, Target
from .messages import ReplicaPlanned, ReplicaRefused

REQUEST_INTERVAL_S: Final = 1.0


@attrs.define
class ReplicaDemand:
    """The demand for one replica, and its latest answer."""

    key: ReplicaKey
    request_at: float
    call_ids: set[str] = attrs.field(factory=set, init=False)
    # Server of the planned replica; None before an answer.
    planned_server_id: str | None = attrs.field(default=None, init=False)
    ready_at: float = attrs.field(default=0.0, init=False)
    refusal_reason: str = attrs.field(default="", init=False)


class ReplicaDemands:
    """All replica demands of an instance."""

    def __init__(self) -> None:
        self._demand_by_key: dict[ReplicaKey, ReplicaDemand] = {}

    def __len__(self) -> int:
        """Return the number of replicas in demand."""
        return len(self._demand_by_key)

    def get(self, key: ReplicaKey) -> ReplicaDemand | None:
        """Return the demand for a replica; None if no call waits for it."""
        return self._demand_by_key.get(key)

    def for_target(self, target: Target) -> ReplicaDemand | None:
        """Return the demand for a target; None for a plain service."""
        return self.get(target.key) if isinstance(target, ReplicaTarget) else None

    def add(self, target: Target, call_id: str, now: float) -> None:
        """Record a waiting call; calls to a plain service are ignored."""
        if not isinstance(target, ReplicaTarget):
            return
        new_demand = ReplicaDemand(target.key, now)
        self._demand_by_key.setdefault(target.key, new_demand).call_ids.add(call_id)

    def remove(self, target: Target, call_id: str) -> None:
        """Remove a call that no longer waits, and its demand if it was the last."""
        demand = self.for_target(target)
        if demand is None:
            return
        demand.call_ids.discard(call_id)
        if not demand.call_ids:
            del self._demand_by_key[demand.key]

    def record_plan(self, answer: ReplicaPlanned, now: float) -> ReplicaDemand | None:
        """Record a plan; return the demand that it answers, if calls still wait."""
        demand = self._demand_by_key.get(ReplicaKey(answer.model, answer.adapter))
        if demand is not None:
            demand.planned_server_id = answer.server_id
            demand.ready_at = now + answer.expected_in_s
            demand.refusal_reason = ""
            demand.request_at = demand.ready_at + REQUEST_INTERVAL_S
        return demand

    def record_refusal(self, answer: ReplicaRefused, now: float) -> None:
        """Record that no replica can be placed now; the demand is sent again later."""
        demand = self._demand_by_key.get(ReplicaKey(answer.model, answer.adapter))
        if demand is not None:
            demand.planned_server_id = None
            demand.refusal_reason = answer.reason
            demand.request_at = now + REQUEST_INTERVAL_S

    def make_all_due(self, now: float) -> None:
        """Make all demands due at once, for a new owner."""
        for demand in self._demand_by_key.values():
            demand.request_at = now

    def pop_due(self, now: float) -> list[ReplicaDemand]:
        """Return the demands to send now and schedule their repetition."""
        due = [d for d in self._demand_by_key.values() if d.request_at <= now]
        for demand in due:
            demand.request_at = now + REQUEST_INTERVAL_S
        return due

    def next_due_at(self) -> float | None:
        """Return when the next demand is due."""
        return min((d.request_at for d in self._demand_by_key.values()), default=None)
