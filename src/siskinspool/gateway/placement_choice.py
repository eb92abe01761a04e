"""Which server loads a model, and what makes room for it."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable
from typing import Final

import attrs

from .demand import REQUESTERS_HALF_LIFE_S, RecentCounts, TokenDemand, target_name
from .desired_state import EngineSpec, ModelSpec
from .fleet_copies import FleetCopies, FleetCopiesCache
from .managed_server import ManagedServer
from .messages import ModelExpected, PlacementRequest
from .placement_plan import PlacementPlan
from .server_choice import ServerChoice
from .server_times import SWAP_S
from .shortage import Shortages
from .store_limit import StoreLoads
from .weight_store_queue import WeightStoreQueue

# Seconds that the eviction of the whole demand would be worth.
EVICTION_COST_S: Final = 20.0
# Below this whole demand, in tokens a second, one request says little.
MIN_TOTAL_TOKENS_PER_S: Final = 2_000.0
# The only replica of a model yields only to one with at least this part of its demand.
MIN_DEMAND_RATIO: Final = 0.3
# Part of the requests for a server's models and copies that wait for a load there; the
# others find their model and adapter ready.
BLOCKED_SHARE: Final = 0.5
# Prompt tokens that a server reads in a second.
SERVER_TOKENS_PER_S: Final = 40_000.0
# Requesters a second that a model is likely to have before any have come.
PRIOR_REQUESTERS_PER_S: Final = 0.1
# Seconds that a model is worse off on a server whose time is all taken.
BUSY_COST_S: Final = 2.0
# Among models with little demand, one that is in use goes last.
IN_USE_TOKENS_PER_S: Final = 500.0
# A plan is changed if another server would have the model this much sooner.
MIN_TIME_GAIN_S: Final = 1.5
# A plan is compared with others at most this often.
COMPARE_INTERVAL_S: Final = 0.5
# A plan is void if what it evicts costs this much more than when it was made.
MAX_COST_INCREASE_S: Final = 1.5
# A model that stood on several servers at the start was placed there for its demand.
REPLICA_PRIOR: Final = 0.02


@attrs.define
class ServiceFleet:
    """The model servers of one service, with the demand for its models."""

    engine: EngineSpec
    servers: list[ManagedServer]
    demand: TokenDemand
    store: StoreLoads = attrs.field(factory=StoreLoads)
    shortages: Shortages = attrs.field(factory=Shortages)
    # All requesters so far, by model.
    requesters: RecentCounts = attrs.field(
        factory=lambda: RecentCounts(REQUESTERS_HALF_LIFE_S)
    )
    # The servers whose copies count, also those that are silent for a moment.
    staying: list[ManagedServer] = attrs.field(factory=list)
    # Servers whose entries have just lapsed and that may come back with their disks.
    lapsed: list[ManagedServer] = attrs.field(factory=list)
    copies_cache: FleetCopiesCache = attrs.field(factory=FleetCopiesCache)
    # No more servers are about to register, so what none of them has, nobody has.
    is_complete: bool = True

    # How many servers have each model ready, and hold or shall hold it; counted once
    # for all servers that a choice compares.
    _ready_by_model: Counter[str] | None = attrs.field(default=None, init=False)
    _planned_by_model: Counter[str] | None = attrs.field(default=None, init=False)
    _copies: FleetCopies | None = attrs.field(default=None, init=False)
    # Demand at the time of a choice, which asks for it once for each server.
    _tokens_by_model: dict[str, float] = attrs.field(factory=dict, init=False)
    _tokens_at: float = attrs.field(default=float("-inf"), init=False)

    @property
    def store_queue(self) -> WeightStoreQueue:
        """Return the loads that are to come from the weight store."""
        return WeightStoreQueue(
            self.engine,
            self.servers,
            self.demand,
            self.store,
            self.shortages,
            self.requesters,
            self.copies,
        )

    def invalidate_counts(self) -> None:
        """Count anew after a change of plans or holdings."""
        self._ready_by_model = self._planned_by_model = None

    def replicas(self, model: str) -> int:
        """Return how many servers have a model ready."""
        if self._ready_by_model is None:
            self._ready_by_model = Counter(
                name
                for server in self.servers
                for name in server.holdings.model_by_name
                if server.holds_model(name)
            )
        return self._ready_by_model[model]

    def planned_replicas(self, model: str) -> int:
        """Return how many servers hold, load or shall load a model."""
        if self._planned_by_model is None:
            self._planned_by_model = Counter(
                name for server in self.servers for name in server.planned_models()
            )
        return self._planned_by_model[model]

    @property
    def copies(self) -> FleetCopies:
        """Return the copies of weights on the servers that stay."""
        if self._copies is None:
            self._copies = self.copies_cache.copies(
                self.engine, self.staying, self.lapsed
            )
        return self._copies

    def tokens_per_s(self, model: str, now: float) -> float:
        """Return the demand for a model, in tokens a second."""
        if now != self._tokens_at:
            self._tokens_at = now
            self._tokens_by_model.clear()
        found = self._tokens_by_model.get(model)
        if found is None:
            found = self.demand.tokens_per_s(model, now)
            self._tokens_by_model[model] = found
        return found

    def replica_value(self, model: str, now: float) -> float:
        """Return the worth of one replica of a model, in tokens a second."""
        replicas = max(self.replicas(model), 1)
        prior = REPLICA_PRIOR * (replicas - 1)
        return self.tokens_per_s(model, now) / replicas + prior

    def server_demand(self, server: ManagedServer, now: float) -> float:
        """Return the demand that a server's models draw, in tokens a second."""
        return sum(
            self.tokens_per_s(model, now) / max(self.planned_replicas(model), 1)
            for model in server.planned_models()
        )

    def total_tokens_per_s(self, now: float) -> float:
        """Return the demand for all models, in tokens a second."""
        return self.demand.total_tokens_per_s(now)

    def has_room(self, server: ManagedServer) -> bool:
        """Return whether a server can take the largest model without an eviction."""
        sizes = [spec.weights_mb for spec in self.engine.model_by_name.values()]
        free_mb = self.engine.weights_mb - server.used_mb(self.engine)
        return free_mb >= max(sizes, default=0.0)

    def planned_models(self) -> set[str]:
        """Return the models that wait for their load or are being loaded."""
        return {goal.model for server in self.servers for goal in server.plans}

    def find_sooner_choice(
        self, server: ManagedServer, goal: PlacementPlan, now: float
    ) -> ServerChoice | None:
        """Return another server that would have a goal's model much sooner.

        It is looked for now and then, as each gateway asks for the model again.
        """
        if now < goal.compared_at + COMPARE_INTERVAL_S:
            return None
        goal.compared_at = now
        model = goal.model
        expected_s = self.ready_in_s(server, model, goal.waiting_requests, now)
        others = [
            other
            for other in self.servers
            if other is not server and other.find_plan(model, "") is None
        ]
        if expected_s < MIN_TIME_GAIN_S or len(others) < len(self.servers) - 1:
            return None
        spec = self.engine.model_by_name[model]
        choice = self.choose(spec, others, now, goal.waiting_requests)
        if choice is None or choice.ready_in_s + MIN_TIME_GAIN_S > expected_s:
            return None
        return choice

    def find_idle_choice(self, goal: PlacementPlan, now: float) -> ServerChoice | None:
        """Return a server that can load a goal's model now and has no quicker plan."""
        idle = [
            server
            for server in self.servers
            if server.is_idle
            and all(server.waits_for_store(other) for other in server.plans)
            and goal.model not in server.planned_models()
        ]
        spec = self.engine.model_by_name.get(goal.model)
        # A later desired state may have taken the model out.
        return (
            None
            if spec is None
            else self.choose(spec, idle, now, goal.waiting_requests)
        )

    def sort_plans(self, server: ManagedServer, now: float) -> None:
        """Put the goals first that serve most demand for the time they take."""
        ordered = sorted(
            server.plans, key=lambda goal: self._plan_rank(server, goal, now)
        )
        server.plans = deque(ordered)

    def _plan_rank(
        self, server: ManagedServer, goal: PlacementPlan, now: float
    ) -> float:
        """Return the time that a goal takes for what it is worth; the least goes first.

        To go by this ratio keeps the whole demand waiting for the shortest time.
        """
        if goal.adapter or goal.is_started:
            # Room that has been made for one model goes to no other.
            return 0.0
        if not goal.waiting_requests:
            return math.inf
        taken_s = server.plan_duration_s(goal, self.engine, now)
        return taken_s / self.demand.load_demand_per_s(
            goal.model, goal.waiting_requests, now
        )

    def _plans_before(
        self, server: ManagedServer, spec: ModelSpec, waiting: int, now: float
    ) -> list[PlacementPlan]:
        """Return the goals of a server that go before a new one."""
        taken_s = server.load_s(spec) + SWAP_S
        rank = taken_s / self.demand.load_demand_per_s(spec.name, max(waiting, 1), now)
        return [
            goal for goal in server.plans if self._plan_rank(server, goal, now) <= rank
        ]

    def _queue_wait_s(
        self, server: ManagedServer, spec: ModelSpec, waiting: int, now: float
    ) -> float:
        """Return how long a new goal waits for those that go before it."""
        return server.remaining_busy_s(self.engine, now) + sum(
            server.plan_duration_s(goal, self.engine, now)
            for goal in self._plans_before(server, spec, waiting, now)
        )

    def can_take_adapter(self, server: ManagedServer, now: float) -> bool:
        """Return whether an adapter slot is free or held by what no request uses."""
        free = server.adapter_count() < self.engine.adapter_slots
        return free or self.adapter_eviction_candidate(server, now) is not None

    def choose_holder(
        self, holders: list[ManagedServer], near_server: str, now: float
    ) -> ManagedServer:
        """Return the holder of a model that loads an adapter for it."""
        return min(
            holders,
            key=lambda server: (
                not self.can_take_adapter(server, now),
                server.busy_until is not None,
                server.record.server_id != near_server,
                len(server.plans),
                server.adapter_count(),
            ),
        )

    def model_expected(
        self, want: PlacementRequest, server: ManagedServer, now: float
    ) -> ModelExpected:
        """Return when a server will have a model that is planned for it."""
        goal = server.find_plan(want.model, "")
        waiting = want.waiting if goal is None else goal.waiting_requests
        in_s = self.ready_in_s(server, want.model, waiting, now)
        if goal is not None:
            goal.estimated_ready_at = now + in_s
        is_loading = server.loading_model == want.model
        return ModelExpected(want.model, want.adapter, in_s, is_loading)

    def ready_in_s(
        self, server: ManagedServer, model: str, waiting: int, now: float
    ) -> float:
        """Return when a server has a model that is planned for it.

        Its load begins once both the server and the weight store are free for it.
        """
        in_s = server.ready_in_s(model, self.engine, now)
        goal = server.find_plan(model, "")
        own_s = 0.0 if goal is None else server.plan_duration_s(goal, self.engine, now)
        spec = self.engine.model_by_name[model]
        return max(in_s, self.store_queue.wait_s(spec, server, waiting, now) + own_s)

    def choose(
        self,
        spec: ModelSpec,
        servers: Iterable[ManagedServer],
        now: float,
        waiting: int = 0,
    ) -> ServerChoice | None:
        """Return the server on which a model is ready at the lowest cost.

        ``waiting`` requests are not yet in the demand.
        """
        choices = []
        store_wait_s: float | None = None
        for server in servers:
            turn_in_s = 0.0
            if server.needs_store(spec.name):
                if store_wait_s is None:
                    store_wait_s = self.store_queue.wait_s(spec, server, waiting, now)
                turn_in_s = store_wait_s
            choice = self._evaluate(spec, server, now, waiting, turn_in_s)
            if choice is not None:
                choices.append(choice)
        return min(
            choices,
            key=lambda choice: (choice.cost_s, choice.server.record.server_id),
            default=None,
        )

    def _evaluate(
        self,
        spec: ModelSpec,
        server: ManagedServer,
        now: float,
        waiting: int,
        turn_in_s: float,
    ) -> ServerChoice | None:
        """Return a server as a choice; the weight store is free in ``turn_in_s``."""
        victims = self.eviction_candidates(spec, server, now, waiting)
        if victims is None:
            return None
        load_s = server.load_s(spec)
        begin_in_s = max(self._queue_wait_s(server, spec, waiting, now), turn_in_s)
        ready_in_s = load_s + begin_in_s
        lost = sum(self.replica_value(model, now) for model in victims)
        unload_s = sum(server.unload_s(model, now) for model in victims)
        blocked_s = (
            BLOCKED_SHARE
            * (load_s + unload_s)
            * self._blocked_share(server, victims, now)
        )
        load = (self.server_demand(server, now) - lost) / SERVER_TOKENS_PER_S
        victims_cost_s = self.eviction_cost_s(server, victims, now)
        # A model without a copy has to come from the store again.
        lost_copies = self.copies.expected_models_lost(server, spec.name, victims)
        cost_s = (
            ready_in_s
            + victims_cost_s
            + blocked_s
            + BUSY_COST_S * min(load, 1.0) ** 2
            + lost_copies * spec.store_load_s
            + self._blocked_copies_cost_s(spec, server, victims, now)
        )
        return ServerChoice(
            server, victims, ready_in_s + unload_s, cost_s, victims_cost_s
        )

    def _blocked_copies_cost_s(
        self,
        spec: ModelSpec,
        server: ManagedServer,
        victims: tuple[str, ...],
        now: float,
    ) -> float:
        """Return what it costs that a server has the only copies of other models.

        Their requesters are refused while it loads from the store, which is as bad as
        a delay of the load itself for as many requesters.
        """
        if not server.needs_store(spec.name):
            return 0.0
        models = self.copies.models_blocked_by_load(server, spec.name, victims)
        kept_waiting = sum(self._requesters_per_s(name, now) for name in models)
        return spec.store_load_s * kept_waiting / self._requesters_per_s(spec.name, now)

    def _requesters_per_s(self, model: str, now: float) -> float:
        return self.requesters.rate_per_s(model, now) + PRIOR_REQUESTERS_PER_S

    def _blocked_share(
        self, server: ManagedServer, victims: Iterable[str], now: float
    ) -> float:
        """Return the part of the demand that a load on a server keeps waiting.

        Meanwhile the server loads no adapter for the models that it holds, and no other
        model of which it has a copy.
        """
        total = max(self.total_tokens_per_s(now), MIN_TOTAL_TOKENS_PER_S)
        blocked = sum(
            self.tokens_per_s(model, now) / max(self.copies.count(model), 1)
            for model in server.copies()
            if model not in victims
        )
        return min(blocked / total, 1.0)

    def eviction_cost_s(
        self, server: ManagedServer, victims: Iterable[str], now: float
    ) -> float:
        """Return what it costs that models go: their demand and the wait for runs."""
        lost = sum(self.replica_value(model, now) for model in victims)
        total = max(self.total_tokens_per_s(now), MIN_TOTAL_TOKENS_PER_S)
        unload_s = sum(server.unload_s(model, now) for model in victims)
        return EVICTION_COST_S * min(lost / total, 1.0) + unload_s

    def is_costlier(
        self, server: ManagedServer, goal: PlacementPlan, now: float
    ) -> bool:
        """Return whether a goal's victims cost much more than when it was planned."""
        held = [name for name in goal.eviction_candidates if server.holds_model(name)]
        cost_s = self.eviction_cost_s(server, held, now)
        return cost_s > goal.eviction_cost_s + MAX_COST_INCREASE_S

    def eviction_candidates(
        self, spec: ModelSpec, server: ManagedServer, now: float, waiting: int
    ) -> tuple[str, ...] | None:
        """Return the models that have to go for one to fit; None if it cannot.

        The plans that are carried out before come first: they take the room that is
        free, and their victims are gone by then. What they load can go in its turn.
        """
        before = self._plans_before(server, spec, waiting, now)
        planned = {goal.model for goal in before if not goal.adapter}
        gone = {name for goal in before for name in goal.eviction_candidates}
        present = (server.holdings.model_by_name.keys() | planned) - gone
        wanted_later = {
            name for goal in server.plans for name in goal.eviction_candidates
        }
        free_mb = self.engine.weights_mb - sum(
            self._memory_mb(server, name) for name in present
        )
        candidates = sorted(
            (
                name
                for name in present
                if not self.is_protected(name, spec.name, waiting, now)
            ),
            key=lambda name: (
                name in planned or name in wanted_later,
                self.replica_value(name, now)
                + IN_USE_TOKENS_PER_S * server.is_used(name, "", now),
                self.copies.has_single_copy(name),
                self.demand.last_added_at(name),
                name,
            ),
        )
        victims: list[str] = []
        for name in candidates:
            if free_mb >= spec.weights_mb:
                break
            if name in self.engine.model_by_name:
                free_mb += self._memory_mb(server, name)
                victims.append(name)
        return tuple(victims) if free_mb >= spec.weights_mb else None

    def _memory_mb(self, server: ManagedServer, model: str) -> float:
        """Return the memory that a model fills, with the adapters it has here."""
        spec = self.engine.model_by_name.get(model)
        if spec is None:
            return self.engine.weights_mb
        held = server.holdings.model_by_name.get(model)
        adapters = 0 if held is None else len(held.adapters)
        return spec.weights_mb + adapters * spec.adapter_mb

    def is_protected(self, held: str, wanted: str, waiting: int, now: float) -> bool:
        """Return whether the only replica of a model is worth too much to yield."""
        if self.replicas(held) > 1:
            return False
        least = self.tokens_per_s(held, now) * MIN_DEMAND_RATIO
        return self.demand.load_demand_per_s(wanted, waiting, now) < least

    def adapter_eviction_candidate(
        self, server: ManagedServer, now: float
    ) -> tuple[str, str] | None:
        """Return the idle adapter least recently wanted, as (model, adapter)."""
        held = [
            (model.name, adapter)
            for model in server.holdings.model_by_name.values()
            for adapter in model.adapters
            if (model.name, adapter) not in server.load_by_adapter
            and not server.is_used(model.name, adapter, now)
        ]
        return min(
            held,
            key=lambda pair: (self.demand.last_added_at(target_name(*pair)), pair),
            default=None,
        )
