"""Loads that no request waits for yet: replicas, and copies of models without any.

A model without a copy that has had requesters is loaded when the weight store has a
turn for it, also if none of them is there at that moment: others will come.
"""

from __future__ import annotations

from typing import Final

import attrs

from .placement_choice import ServiceFleet
from .placement_plan import PlacementPlan
from .server_choice import ServerChoice
from .weight_store_queue import QUIET_TOKENS_PER_S

# A model that nobody waits for displaces only what costs less than this.
MAX_COPY_COST_S: Final = 1.0
# Turns of the weight store that are planned at a time without a request that waits.
MAX_EXPECTED_PRELOADS: Final = 3
# A replica must be worth this many times what it displaces.
MIN_REPLICA_GAIN: Final = 3.0

# Prompt tokens a second that one replica carries before another is added. Requests
# queue well below the rate at which a server reads prompts.
REPLICA_TOKENS_PER_S: Final = 10_000.0
# From here on a server's requests wait for each other for longer than they take.
OVERLOAD_TOKENS_PER_S: Final = 20_000.0
# Prompt tokens a second from which a model should not depend on one server.
SECOND_REPLICA_TOKENS_PER_S: Final = 1_500.0


@attrs.frozen
class PlannedPreload:
    """A model to load and where."""

    plan: PlacementPlan
    choice: ServerChoice
    # "replica", "expected" or "no_copy".
    reason: str


class PreloadPlanner:
    """Finds what the leader loads on its own account."""

    def __init__(self, own_id: str) -> None:
        """Take the leader's id, which stands for the asker of such loads."""
        self._leader_id = own_id

    def next_preload(self, fleet: ServiceFleet, now: float) -> PlannedPreload | None:
        """Return the most useful replica or copy, if there is one."""
        model = self._model_to_replicate(fleet, now)
        replica = None if model is None else self.plan_replica(fleet, model, now)
        return replica or self._plan_first_copy(fleet, now)

    def plan_replica(
        self, fleet: ServiceFleet, model: str, now: float
    ) -> PlannedPreload | None:
        """Return a load of a model on another server, if it is worth its place."""
        choice = _choose_replica(fleet, model, now)
        if choice is None:
            return None
        lost = sum(
            fleet.replica_value(victim, now) for victim in choice.eviction_candidates
        )
        if fleet.replica_value(model, now) < MIN_REPLICA_GAIN * lost:
            return None
        goal = PlacementPlan(
            model, "", {self._leader_id: _equivalent_requests(fleet, model, now)}
        )
        return PlannedPreload(goal, choice, "replica")

    def plan_expected_model(
        self, fleet: ServiceFleet, now: float
    ) -> PlannedPreload | None:
        """Return a load of the model without a copy that most requesters ask for.

        A model that waits for its turn already is left to its plan.
        """
        turns = fleet.store_queue
        if not turns.has_slot_soon(now):
            return None
        planned = fleet.planned_models()
        model = max(
            (
                name
                for name in fleet.requesters.targets()
                if name in fleet.engine.model_by_name
                and name not in planned
                and not fleet.copies.count(name)
            ),
            key=lambda name: turns.expected_requesters(name, now),
            default=None,
        )
        if model is None or not turns.is_next(model, now):
            return None
        idle = [server for server in fleet.servers if server.is_idle]
        choice = fleet.choose(fleet.engine.model_by_name[model], idle, now, waiting=1)
        if choice is None:
            return None
        return PlannedPreload(
            PlacementPlan(model, "", {self._leader_id: 1}), choice, "expected"
        )

    def pending_models(self, fleet: ServiceFleet) -> set[str]:
        """Return the models that the leader is still to load on its own account."""
        return {
            goal.model
            for server in fleet.servers
            for goal in server.plans
            if goal.waiting_by_gateway.keys() == {self._leader_id}
        }

    def _model_to_replicate(self, fleet: ServiceFleet, now: float) -> str | None:
        """Return the model that most needs one more replica, if one does.

        A model gets one replica at a time, unless its servers would be overloaded even
        with those that are still to be loaded.
        """
        pending = self.pending_models(fleet)
        if len(pending) > len(fleet.servers) // 2:
            return None
        shares = {
            model: share
            for model in fleet.engine.model_by_name
            if 0 < (planned := fleet.planned_replicas(model)) < len(fleet.servers)
            and (
                (share := fleet.demand.tokens_per_s(model, now) / planned)
                >= OVERLOAD_TOKENS_PER_S
                or model not in pending
            )
        }
        most = max(shares, key=shares.__getitem__, default=None)
        if most is None:
            return None
        alone = fleet.planned_replicas(most) == 1
        needs = SECOND_REPLICA_TOKENS_PER_S if alone else REPLICA_TOKENS_PER_S
        return most if shares[most] >= needs else None

    def _plan_first_copy(
        self, fleet: ServiceFleet, now: float
    ) -> PlannedPreload | None:
        """Return a load of a model without a copy on a server with time for it."""
        quiet = fleet.total_tokens_per_s(now) < QUIET_TOKENS_PER_S
        turns = fleet.store_queue
        if not (turns.has_free_slot(now) if quiet else turns.has_spare_slot(now)):
            return None
        model = _model_to_copy(fleet, now)
        idle = [s for s in fleet.servers if s.busy_until is None and not s.plans]
        if model is None or not idle:
            return None
        # Counted as one request, since the next one for it would wait in vain.
        spec = fleet.engine.model_by_name[model]
        choice = fleet.choose(spec, idle, now, waiting=1)
        if choice is None or choice.eviction_cost_s > MAX_COPY_COST_S:
            return None
        return PlannedPreload(
            PlacementPlan(model, "", {self._leader_id: 1}), choice, "no_copy"
        )


def _model_to_copy(fleet: ServiceFleet, now: float) -> str | None:
    """Return the most wanted model of which no server has a copy.

    While servers still register there is none, as one of them may have it.
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
    """Return how many waiting requests a replica of a model counts as.

    With none it would never have its turn; a model whose servers are overloaded goes
    before those that few requests wait for.
    """
    share = fleet.demand.tokens_per_s(model, now) / max(fleet.replicas(model), 1)
    return max(round(share / OVERLOAD_TOKENS_PER_S), 1)


def _choose_replica(fleet: ServiceFleet, model: str, now: float) -> ServerChoice | None:
    """Return where one more replica goes, in another zone if one can take it."""
    holders = [s for s in fleet.servers if model in s.planned_models()]
    zones = {server.record.zone for server in holders}
    overloaded = _equivalent_requests(fleet, model, now) > 1
    from_store = fleet.store_queue.has_spare_slot(now) or (
        overloaded and not fleet.store_queue.has_requested_plan(now)
    )
    free = [
        server
        for server in fleet.servers
        if server not in holders
        and not server.is_evicting(model)
        and (not server.needs_store(model) or (from_store and fleet.has_room(server)))
    ]
    apart = [s for s in free if s.record.zone not in zones]
    return fleet.choose(fleet.engine.model_by_name[model], apart or free, now)
