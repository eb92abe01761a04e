"""Preloads: loads of replicas and of models without a copy, before they are requested.

A model without a copy that has had requesters is loaded as soon as a weight-store slot
is free for it, even if no requester is pending at that moment, because more are
expected.
"""

from __future__ import annotations

from typing import Final

import attrs

from .placement_choice import choose_server
from .placement_plan import PlacementPlan
from .replica_candidates import OVERLOAD_TOKENS_PER_S, ReplicaCandidates
from .server_choice import ServerChoice
from .service_fleet import ServiceFleet
from .weight_store_queue import QUIET_TOKENS_PER_S

# A preload of a model without a copy may cost at most this much in evictions.
MAX_COPY_COST_S: Final = 1.0
# Maximum number of loads that are planned per round for expected requesters alone.
MAX_EXPECTED_PRELOADS: Final = 3
# A replica must be worth this many times as much as its evictions.
MIN_REPLICA_GAIN: Final = 3.0


@attrs.frozen
class PlannedPreload:
    """A preload with the chosen server."""

    plan: PlacementPlan
    choice: ServerChoice
    # "replica", "expected" or "no_copy".
    reason: str


class PreloadPlanner:
    """Chooses the preloads of the leader."""

    def __init__(self, leader_id: str, candidates: ReplicaCandidates) -> None:
        """Create a planner; preloads wait under the leader's own instance id."""
        self._leader_id = leader_id
        self._candidates = candidates

    def next_preload(self, fleet: ServiceFleet, now: float) -> PlannedPreload | None:
        """Return the most useful replica or first copy to load, if there is one."""
        return self._next_replica(fleet, now) or self._plan_first_copy(fleet, now)

    def plan_replica(
        self, fleet: ServiceFleet, model: str, now: float
    ) -> PlannedPreload | None:
        """Return a load of another replica of a model, if it is worth its evictions."""
        choice = _choose_replica(fleet, model, now)
        if choice is None:
            return None
        lost_value = sum(
            fleet.replica_value(candidate, now)
            for candidate in choice.eviction_candidates
        )
        if fleet.replica_value(model, now) < MIN_REPLICA_GAIN * lost_value:
            return None
        plan = PlacementPlan(
            model, "", {self._leader_id: _equivalent_requests(fleet, model, now)}
        )
        return PlannedPreload(plan, choice, "replica")

    def plan_expected_model(
        self, fleet: ServiceFleet, now: float
    ) -> PlannedPreload | None:
        """Return a load of the model without a copy that has the most requesters.

        Models whose plans already wait for a store slot are skipped.
        """
        queue = fleet.store_queue
        if not queue.has_slot_soon(now):
            return None
        planned = fleet.planned_models()
        model = max(
            (
                name
                for name in fleet.requesters.all_targets()
                if name in fleet.engine.model_by_name
                and name not in planned
                and not fleet.copies.count(name)
            ),
            key=lambda name: (queue.expected_requesters(name, now), name),
            default=None,
        )
        if model is None or not queue.is_next(model, now):
            return None
        idle = [server for server in fleet.servers if server.is_idle]
        spec = fleet.engine.model_by_name[model]
        choice = choose_server(fleet, spec, idle, now, waiting=1)
        if choice is None:
            return None
        return PlannedPreload(
            PlacementPlan(model, "", {self._leader_id: 1}), choice, "expected"
        )

    def pending_models(self, fleet: ServiceFleet) -> set[str]:
        """Return the models with preloads that have not finished."""
        return {
            plan.model
            for server in fleet.servers
            for plan in server.plans
            if plan.waiting_by_gateway.keys() == {self._leader_id}
        }

    def _next_replica(self, fleet: ServiceFleet, now: float) -> PlannedPreload | None:
        """Return a replica of the model that most needs one and can have one."""
        pending = self.pending_models(fleet)
        if len(pending) > len(fleet.servers) // 2:
            return None
        for model in self._candidates.models(fleet, pending, now):
            if replica := self.plan_replica(fleet, model, now):
                return replica
        return None

    def _plan_first_copy(
        self, fleet: ServiceFleet, now: float
    ) -> PlannedPreload | None:
        """Return a load of a model without a copy on an idle server."""
        is_quiet = fleet.total_tokens_per_s(now) < QUIET_TOKENS_PER_S
        queue = fleet.store_queue
        if not (queue.has_free_slot(now) if is_quiet else queue.has_spare_slot(now)):
            return None
        model = _model_to_copy(fleet, now)
        idle = [s for s in fleet.servers if s.busy_until is None and not s.plans]
        if model is None or not idle:
            return None
        # Counted as one waiting request, because the next requester would have to wait
        # for the whole load.
        spec = fleet.engine.model_by_name[model]
        choice = choose_server(fleet, spec, idle, now, waiting=1)
        if choice is None or choice.eviction_cost_s > MAX_COPY_COST_S:
            return None
        return PlannedPreload(
            PlacementPlan(model, "", {self._leader_id: 1}), choice, "no_copy"
        )


def _model_to_copy(fleet: ServiceFleet, now: float) -> str | None:
    """Return the model without a copy that has the most demand.

    There is none while servers are still registering, since one of them may have a
    copy.
    """
    if not fleet.is_complete:
        return None
    planned = fleet.planned_models()
    return max(
        (
            model
            for model in fleet.engine.model_by_name
            if not fleet.copies.count(model) and model not in planned
        ),
        key=lambda model: fleet.demand.tokens_per_s(model, now),
        default=None,
    )


def _equivalent_requests(fleet: ServiceFleet, model: str, now: float) -> int:
    """Return the number of waiting requests that a replica of a model counts as.

    With zero it would never get a store slot. A model whose servers are overloaded
    takes precedence over models with few waiting requests.
    """
    tokens_per_s = fleet.demand.tokens_per_s(model, now) / max(fleet.replicas(model), 1)
    return max(round(tokens_per_s / OVERLOAD_TOKENS_PER_S), 1)


def _choose_replica(fleet: ServiceFleet, model: str, now: float) -> ServerChoice | None:
    """Return the server for one more replica, in another zone if possible."""
    holders = [s for s in fleet.servers if model in s.planned_models()]
    zones = {server.record.zone for server in holders}
    is_overloaded = _equivalent_requests(fleet, model, now) > 1
    may_use_store = fleet.store_queue.has_spare_slot(now) or (
        is_overloaded and not fleet.store_queue.has_requested_plan(now)
    )
    candidates = [
        server
        for server in fleet.servers
        if server not in holders
        and not server.is_evicting(model)
        and (
            not server.needs_store(model) or (may_use_store and fleet.has_room(server))
        )
    ]
    in_other_zones = [s for s in candidates if s.record.zone not in zones]
    return choose_server(
        fleet, fleet.engine.model_by_name[model], in_other_zones or candidates, now
    )
