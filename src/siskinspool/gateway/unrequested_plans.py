"""Plans that the leader makes without a placement request: preloads and moves."""

from __future__ import annotations

from ..core.message import Outgoing
from .leadership_term import LeadershipTerm
from .plan_moves import plan_moves
from .preload import MAX_EXPECTED_PRELOADS, PlannedPreload, PreloadPlanner
from .server_orders import ServerOrders
from .service_fleet import ServiceFleet


class UnrequestedPlans:
    """Adds preloads and moves plans, and gives the orders that follow."""

    def __init__(
        self, planner: PreloadPlanner, term: LeadershipTerm, orders: ServerOrders
    ) -> None:
        self._planner = planner
        self._term = term
        self._orders = orders

    def plan_preloads(self, fleet: ServiceFleet, now: float) -> list[Outgoing]:
        """Plan preloads, but not while a successor may be giving orders."""
        if self._term.is_detached or any(s.order_count is None for s in fleet.servers):
            return []
        batch: list[Outgoing] = []
        for _ in range(MAX_EXPECTED_PRELOADS):
            if (preload := self._planner.plan_expected_model(fleet, now)) is None:
                break
            batch += self._start(fleet, preload, now)
        return batch + self._start(fleet, self._planner.next_preload(fleet, now), now)

    def add_replica(
        self, fleet: ServiceFleet, model: str, now: float
    ) -> list[Outgoing]:
        """Plan another replica of a model, unless a preload of it has not finished."""
        if model in self._planner.pending_models(fleet):
            return []
        return self._start(fleet, self._planner.plan_replica(fleet, model, now), now)

    def move_plans(self, fleet: ServiceFleet, now: float) -> list[Outgoing]:
        """Move plans to other servers where store slots would be unused or wasted."""
        batch: list[Outgoing] = []
        for plan_move in plan_moves(fleet, now):
            plan_move.server.plans.remove(plan_move.plan)
            self._orders.add_plan(
                fleet, plan_move.plan, plan_move.choice, plan_move.reason, now
            )
            batch += self._orders.advance(plan_move.choice.server, now)
        return batch

    def _start(
        self, fleet: ServiceFleet, preload: PlannedPreload | None, now: float
    ) -> list[Outgoing]:
        if preload is None:
            return []
        self._orders.add_plan(fleet, preload.plan, preload.choice, preload.reason, now)
        return self._orders.advance(preload.choice.server, now)
