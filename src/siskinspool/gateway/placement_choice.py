"""The choice of a server for a model, and of the models that are evicted for it."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable
from typing import Final

import attrs

from .demand import RequesterCounts, TokenDemand, target_name
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

# Cost in seconds of evictions that lose the whole demand.
EVICTION_COST_S: Final = 20.0
# Total demand is taken as at least this, since below it single requests would dominate.
MIN_TOTAL_REQUESTS_PER_S: Final = 0.4
# The only replica of a model is evicted only for a model with at least this share of
# its demand.
MIN_DEMAND_RATIO: Final = 0.3
# Share of the requests for a server's models and copies that a load there delays. The
# others find their model and adapter ready.
BLOCKED_SHARE: Final = 0.5
# Prompt tokens that a server processes per second.
SERVER_TOKENS_PER_S: Final = 40_000.0
# Assumed requesters per second of a model that has had none yet.
PRIOR_REQUESTERS_PER_S: Final = 0.1
# Cost in seconds of placing a model on a fully loaded server.
BUSY_COST_S: Final = 2.0
# Additional value of a model in use, so that among models with little demand it is
# evicted last.
IN_USE_REQUESTS_PER_S: Final = 0.1
# A plan is moved if another server would have the model ready this much sooner.
MIN_TIME_GAIN_S: Final = 1.5
# A plan is compared with other servers at most this often.
COMPARE_INTERVAL_S: Final = 0.5
# A plan is void if its evictions cost this much more than when it was made.
MAX_COST_INCREASE_S: Final = 1.5
# Value of each further replica without demand. A model that was on several servers at
# the start was placed there for its demand.
REPLICA_PRIOR: Final = 0.02


@attrs.define
class ServiceFleet:
    """The model servers of one service with the demand for its models."""

    engine: EngineSpec
    servers: list[ManagedServer]
    demand: TokenDemand
    store: StoreLoads = attrs.field(factory=StoreLoads)
    shortages: Shortages = attrs.field(factory=Shortages)
    # All requesters so far, by model.
    requesters: RequesterCounts = attrs.field(factory=RequesterCounts)
    # The servers whose copies count, including servers that are briefly silent.
    staying: list[ManagedServer] = attrs.field(factory=list)
    # Servers whose entries have just lapsed and that may return with their disks.
    lapsed: list[ManagedServer] = attrs.field(factory=list)
    copies_cache: FleetCopiesCache = attrs.field(factory=FleetCopiesCache)
    # No more servers are about to register, so a model without a copy here has none.
    is_complete: bool = True

    # Number of servers that have each model ready, and that hold it or plan to; counted
    # once for all servers that a choice compares.
    _ready_by_model: Counter[str] | None = attrs.field(default=None, init=False)
    _planned_by_model: Counter[str] | None = attrs.field(default=None, init=False)
    _copies: FleetCopies | None = attrs.field(default=None, init=False)
    # Demand at the time of a choice, cached since a choice needs it for each server.
    _tokens_by_model: dict[str, float] = attrs.field(factory=dict, init=False)
    _tokens_at: float = attrs.field(default=float("-inf"), init=False)

    @property
    def store_queue(self) -> WeightStoreQueue:
        """Return the queue of loads from the weight store."""
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
        """Discard the cached counts after a change of plans or holdings."""
        self._ready_by_model = self._planned_by_model = None

    def replicas(self, model: str) -> int:
        """Return the number of servers that have a model ready."""
        if self._ready_by_model is None:
            self._ready_by_model = Counter(
                name
                for server in self.servers
                for name in server.holdings.model_by_name
                if server.holds_model(name)
            )
        return self._ready_by_model[model]

    def planned_replicas(self, model: str) -> int:
        """Return the number of servers that hold, load or plan to load a model."""
        if self._planned_by_model is None:
            self._planned_by_model = Counter(
                name for server in self.servers for name in server.planned_models()
            )
        return self._planned_by_model[model]

    @property
    def copies(self) -> FleetCopies:
        """Return the weight copies on the servers that stay."""
        if self._copies is None:
            self._copies = self.copies_cache.copies(
                self.engine, self.staying, self.lapsed
            )
        return self._copies

    def tokens_per_s(self, model: str, now: float) -> float:
        """Return the demand for a model, in tokens per second."""
        if now != self._tokens_at:
            self._tokens_at = now
            self._tokens_by_model.clear()
        found = self._tokens_by_model.get(model)
        if found is None:
            found = self.demand.tokens_per_s(model, now)
            self._tokens_by_model[model] = found
        return found

    def replica_value(self, model: str, now: float) -> float:
        """Return the value of one replica of a model, in tokens per second."""
        replicas = max(self.replicas(model), 1)
        prior = REPLICA_PRIOR * (replicas - 1)
        return self.tokens_per_s(model, now) / replicas + prior

    def server_demand(self, server: ManagedServer, now: float) -> float:
        """Return the demand for a server's models there, in tokens per second."""
        return sum(
            self.tokens_per_s(model, now) / max(self.planned_replicas(model), 1)
            for model in server.planned_models()
        )

    def total_tokens_per_s(self, now: float) -> float:
        """Return the demand for all models, in tokens per second."""
        return self.demand.total_tokens_per_s(now)

    def _total_at_least_tokens_per_s(self, now: float) -> float:
        """Return the total demand, or a minimum if there is hardly any."""
        least = MIN_TOTAL_REQUESTS_PER_S * self.demand.request_tokens(now)
        return max(self.total_tokens_per_s(now), least)

    def has_room(self, server: ManagedServer) -> bool:
        """Return whether the largest model fits on a server without an eviction."""
        sizes = [spec.weights_mb for spec in self.engine.model_by_name.values()]
        free_mb = self.engine.weights_mb - server.used_mb(self.engine)
        return free_mb >= max(sizes, default=0.0)

    def planned_models(self) -> set[str]:
        """Return the models that are planned to be loaded or being loaded."""
        return {plan.model for server in self.servers for plan in server.plans}

    def find_sooner_choice(
        self, server: ManagedServer, plan: PlacementPlan, now: float
    ) -> ServerChoice | None:
        """Return another server that would have a plan's model ready much sooner.

        The comparison is rate-limited, since each gateway repeats its requests.
        """
        if now < plan.compared_at + COMPARE_INTERVAL_S:
            return None
        plan.compared_at = now
        model = plan.model
        expected_s = self.ready_in_s(server, model, plan.waiting_requests, now)
        others = [
            other
            for other in self.servers
            if other is not server and other.find_plan(model, "") is None
        ]
        if expected_s < MIN_TIME_GAIN_S or len(others) < len(self.servers) - 1:
            return None
        spec = self.engine.model_by_name[model]
        choice = self.choose(spec, others, now, plan.waiting_requests)
        if choice is None or choice.ready_in_s + MIN_TIME_GAIN_S > expected_s:
            return None
        return choice

    def find_idle_choice(self, plan: PlacementPlan, now: float) -> ServerChoice | None:
        """Return an idle server whose own plans all wait for the weight store."""
        idle = [
            server
            for server in self.servers
            if server.is_idle
            and all(server.waits_for_store(other) for other in server.plans)
            and plan.model not in server.planned_models()
        ]
        spec = self.engine.model_by_name.get(plan.model)
        # A later desired state may have removed the model.
        return (
            None
            if spec is None
            else self.choose(spec, idle, now, plan.waiting_requests)
        )

    def sort_plans(self, server: ManagedServer, now: float) -> None:
        """Sort the plans of a server by the demand they serve for their duration."""
        ordered = sorted(
            server.plans, key=lambda plan: self._plan_rank(server, plan, now)
        )
        server.plans = deque(ordered)

    def _plan_rank(
        self, server: ManagedServer, plan: PlacementPlan, now: float
    ) -> float:
        """Return the duration of a plan divided by its demand; the lowest is first.

        This order minimizes the demand that waits, summed over time.
        """
        if plan.adapter or plan.is_started:
            # Memory that was freed for one model is not given to another.
            return 0.0
        if not plan.waiting_requests:
            return math.inf
        duration_s = server.plan_duration_s(plan, self.engine, now)
        return duration_s / self.demand.load_demand_per_s(
            plan.model, plan.waiting_requests, now
        )

    def _plans_before(
        self, server: ManagedServer, spec: ModelSpec, waiting: int, now: float
    ) -> list[PlacementPlan]:
        """Return the plans of a server that precede a new one."""
        duration_s = server.load_s(spec) + SWAP_S
        rank = duration_s / self.demand.load_demand_per_s(
            spec.name, max(waiting, 1), now
        )
        return [
            plan for plan in server.plans if self._plan_rank(server, plan, now) <= rank
        ]

    def _queue_wait_s(
        self, server: ManagedServer, spec: ModelSpec, waiting: int, now: float
    ) -> float:
        """Return how long a new plan waits for those that precede it."""
        return server.remaining_busy_s(self.engine, now) + sum(
            server.plan_duration_s(plan, self.engine, now)
            for plan in self._plans_before(server, spec, waiting, now)
        )

    def has_adapter_slot(self, server: ManagedServer, now: float) -> bool:
        """Return whether an adapter slot is free or held by an idle adapter."""
        free = server.adapter_count() < self.engine.adapter_slots
        return free or self.adapter_eviction_candidate(server, now) is not None

    def choose_holder(
        self, holders: list[ManagedServer], near_server: str, now: float
    ) -> ManagedServer:
        """Return the holder of a model that is to load an adapter for it."""
        return min(
            holders,
            key=lambda server: (
                not self.has_adapter_slot(server, now),
                server.busy_until is not None,
                server.record.server_id != near_server,
                len(server.plans),
                server.adapter_count(),
            ),
        )

    def model_expected(
        self, request: PlacementRequest, server: ManagedServer, now: float
    ) -> ModelExpected:
        """Return the estimate for a gateway of when a planned model is ready."""
        plan = server.find_plan(request.model, "")
        waiting = request.waiting if plan is None else plan.waiting_requests
        in_s = self.ready_in_s(server, request.model, waiting, now)
        if plan is not None:
            plan.estimated_ready_at = now + in_s
        is_loading = server.loading_model == request.model
        return ModelExpected(request.model, request.adapter, in_s, is_loading)

    def ready_in_s(
        self, server: ManagedServer, model: str, waiting: int, now: float
    ) -> float:
        """Return the delay until a planned model is ready on a server.

        Its load starts once both the server and a store slot are free.
        """
        in_s = server.ready_in_s(model, self.engine, now)
        plan = server.find_plan(model, "")
        plan_s = 0.0 if plan is None else server.plan_duration_s(plan, self.engine, now)
        spec = self.engine.model_by_name[model]
        return max(in_s, self.store_queue.wait_s(spec, server, waiting, now) + plan_s)

    def choose(
        self,
        spec: ModelSpec,
        servers: Iterable[ManagedServer],
        now: float,
        waiting: int = 0,
    ) -> ServerChoice | None:
        """Return the server on which a model is ready at the lowest cost, if any.

        ``waiting`` is the number of requests that the demand does not include yet.
        """
        choices = []
        store_wait_s: float | None = None
        for server in servers:
            slot_in_s = 0.0
            if server.needs_store(spec.name):
                if store_wait_s is None:
                    store_wait_s = self.store_queue.wait_s(spec, server, waiting, now)
                slot_in_s = store_wait_s
            choice = self._evaluate(spec, server, now, waiting, slot_in_s)
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
        slot_in_s: float,
    ) -> ServerChoice | None:
        """Return a server with its costs, or None if the model does not fit."""
        evictions = self.eviction_candidates(spec, server, now, waiting)
        if evictions is None:
            return None
        load_s = server.load_s(spec)
        begin_in_s = max(self._queue_wait_s(server, spec, waiting, now), slot_in_s)
        ready_in_s = load_s + begin_in_s
        lost_demand = sum(self.replica_value(model, now) for model in evictions)
        unload_s = sum(server.unload_s(model, now) for model in evictions)
        blocked_s = (
            BLOCKED_SHARE
            * (load_s + unload_s)
            * self._blocked_share(server, evictions, now)
        )
        load = (self.server_demand(server, now) - lost_demand) / SERVER_TOKENS_PER_S
        eviction_cost_s = self.eviction_cost_s(server, evictions, now)
        # A model without a copy would have to be loaded from the weight store again.
        lost_copies = self.copies.expected_models_lost(server, spec.name, evictions)
        cost_s = (
            ready_in_s
            + eviction_cost_s
            + blocked_s
            + BUSY_COST_S * min(load, 1.0) ** 2
            + lost_copies * spec.store_load_s
            + self._blocked_copies_cost_s(spec, server, evictions, now)
        )
        return ServerChoice(
            server, evictions, ready_in_s + unload_s, cost_s, eviction_cost_s
        )

    def _blocked_copies_cost_s(
        self,
        spec: ModelSpec,
        server: ManagedServer,
        evictions: tuple[str, ...],
        now: float,
    ) -> float:
        """Return the cost of blocking a server that has the only copies of models.

        Requesters of these models are refused while the server loads from the weight
        store, which is as bad as delaying the load itself for as many requesters.
        """
        if not server.needs_store(spec.name):
            return 0.0
        models = self.copies.models_blocked_by_load(server, spec.name, evictions)
        blocked_requesters_per_s = sum(
            self._requesters_per_s(name, now) for name in models
        )
        return (
            spec.store_load_s
            * blocked_requesters_per_s
            / self._requesters_per_s(spec.name, now)
        )

    def _requesters_per_s(self, model: str, now: float) -> float:
        return self.requesters.rate_per_s(model, now) + PRIOR_REQUESTERS_PER_S

    def _blocked_share(
        self, server: ManagedServer, evictions: Iterable[str], now: float
    ) -> float:
        """Return the share of the demand that a load on a server delays.

        Meanwhile the server loads no adapter for its models, and no other model of
        which it has a copy.
        """
        total = self._total_at_least_tokens_per_s(now)
        blocked = sum(
            self.tokens_per_s(model, now) / max(self.copies.count(model), 1)
            for model in server.copies()
            if model not in evictions
        )
        return min(blocked / total, 1.0)

    def eviction_cost_s(
        self, server: ManagedServer, evictions: Iterable[str], now: float
    ) -> float:
        """Return the cost of evictions: lost demand and the wait for requests."""
        lost_demand = sum(self.replica_value(model, now) for model in evictions)
        total = self._total_at_least_tokens_per_s(now)
        unload_s = sum(server.unload_s(model, now) for model in evictions)
        return EVICTION_COST_S * min(lost_demand / total, 1.0) + unload_s

    def is_costlier(
        self, server: ManagedServer, plan: PlacementPlan, now: float
    ) -> bool:
        """Return whether a plan's evictions cost much more than at planning time."""
        held = [name for name in plan.eviction_candidates if server.holds_model(name)]
        cost_s = self.eviction_cost_s(server, held, now)
        return cost_s > plan.eviction_cost_s + MAX_COST_INCREASE_S

    def eviction_candidates(
        self, spec: ModelSpec, server: ManagedServer, now: float, waiting: int
    ) -> tuple[str, ...] | None:
        """Return the models to evict so that one fits, or None if it cannot.

        Preceding plans are assumed to be done: their models are loaded and their
        eviction candidates are unloaded. The models that they load may be evicted too.
        """
        earlier_plans = self._plans_before(server, spec, waiting, now)
        planned = {plan.model for plan in earlier_plans if not plan.adapter}
        evicted = {name for plan in earlier_plans for name in plan.eviction_candidates}
        present = (server.holdings.model_by_name.keys() | planned) - evicted
        evicted_later = {
            name for plan in server.plans for name in plan.eviction_candidates
        }
        free_mb = self.engine.weights_mb - sum(
            self._memory_mb(server, name) for name in present
        )
        in_use_tokens_per_s = IN_USE_REQUESTS_PER_S * self.demand.request_tokens(now)
        candidates = sorted(
            (
                name
                for name in present
                if not self.is_protected(name, spec.name, waiting, now)
            ),
            key=lambda name: (
                name in planned or name in evicted_later,
                self.replica_value(name, now)
                + in_use_tokens_per_s * server.is_used(name, "", now),
                self.copies.has_single_copy(name),
                self.demand.last_added_at(name),
                name,
            ),
        )
        evictions: list[str] = []
        for name in candidates:
            if free_mb >= spec.weights_mb:
                break
            if name in self.engine.model_by_name:
                free_mb += self._memory_mb(server, name)
                evictions.append(name)
        return tuple(evictions) if free_mb >= spec.weights_mb else None

    def _memory_mb(self, server: ManagedServer, model: str) -> float:
        """Return the memory that a model takes up, with its adapters here."""
        spec = self.engine.model_by_name.get(model)
        if spec is None:
            return self.engine.weights_mb
        held = server.holdings.model_by_name.get(model)
        adapters = 0 if held is None else len(held.adapters)
        return spec.weights_mb + adapters * spec.adapter_mb

    def is_protected(self, held: str, requested: str, waiting: int, now: float) -> bool:
        """Return whether a model's only replica has too much demand to be evicted."""
        if self.replicas(held) > 1:
            return False
        min_demand = self.tokens_per_s(held, now) * MIN_DEMAND_RATIO
        return self.demand.load_demand_per_s(requested, waiting, now) < min_demand

    def adapter_eviction_candidate(
        self, server: ManagedServer, now: float
    ) -> tuple[str, str] | None:
        """Return the least recently used idle adapter, as (model, adapter)."""
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
