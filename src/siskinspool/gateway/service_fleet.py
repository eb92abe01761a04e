"""The servers of one service as the leader plans them, with the demand for its models.

A `ServiceFleet` is a view for one decision: it answers how many replicas and copies a
model has, what an eviction costs, in which order the plans of a server are carried out
and when a model will be ready. `placement_choice` compares its servers.
"""

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
from .messages import ModelExpected
from .placement_plan import PlacementPlan
from .planning_budget import PlanningBudget
from .server_times import SWAP_S
from .shortage import Shortages
from .store_limit import StoreLoads
from .store_slot_rank import RankCache
from .weight_store_queue import WeightStoreQueue

# Cost in seconds of evictions that lose the whole demand.
EVICTION_COST_S: Final = 20.0
# Total demand is taken as at least this, since below it single requests would dominate.
MIN_TOTAL_REQUESTS_PER_S: Final = 0.4
# The only replica of a model is evicted only for a model with at least this share of
# its demand.
MIN_DEMAND_RATIO: Final = 0.3
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
    ranks: RankCache = attrs.field(factory=RankCache)
    budget: PlanningBudget = attrs.field(factory=PlanningBudget)
    # No more servers are about to register, so a model without a copy here has none.
    is_complete: bool = True

    # Number of servers that have each model ready, and that hold it or plan to; counted
    # once for all servers that a choice compares.
    _ready_by_model: Counter[str] | None = attrs.field(default=None, init=False)
    _planned_by_model: Counter[str] | None = attrs.field(default=None, init=False)
    _copies: FleetCopies | None = attrs.field(default=None, init=False)
    _store_queue: WeightStoreQueue | None = attrs.field(default=None, init=False)
    # Demand at the time of a choice, cached since a choice needs it for each server.
    _tokens_by_model: dict[str, float] = attrs.field(factory=dict, init=False)
    _tokens_at: float = attrs.field(default=float("-inf"), init=False)

    @property
    def store_queue(self) -> WeightStoreQueue:
        """Return the queue of loads from the weight store."""
        if self._store_queue is None:
            self._store_queue = WeightStoreQueue(
                self.engine,
                self.servers,
                self.demand,
                self.store,
                self.shortages,
                self.requesters,
                self.copies,
                self.ranks,
            )
        return self._store_queue

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

    def total_at_least_tokens_per_s(self, now: float) -> float:
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

    def plans_before(
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

    def queue_wait_s(
        self, server: ManagedServer, spec: ModelSpec, waiting: int, now: float
    ) -> float:
        """Return how long a new plan waits for those that precede it."""
        return server.remaining_busy_s(self.engine, now) + sum(
            server.plan_duration_s(plan, self.engine, now)
            for plan in self.plans_before(server, spec, waiting, now)
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
        self, model: str, adapter: str, server: ManagedServer, waiting: int, now: float
    ) -> ModelExpected:
        """Return the estimate for gateways of when a planned model is ready.

        ``waiting`` is the number of requests, for a model without a plan.
        """
        plan = server.find_plan(model, "")
        if plan is not None:
            waiting = plan.waiting_requests
        in_s = self.ready_in_s(server, model, waiting, now)
        if plan is not None:
            plan.estimated_ready_at = now + in_s
        return ModelExpected(model, adapter, in_s, server.loading_model == model)

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

    def eviction_cost_s(
        self, server: ManagedServer, evictions: Iterable[str], now: float
    ) -> float:
        """Return the cost of evictions: lost demand and the wait for requests."""
        lost_demand = sum(self.replica_value(model, now) for model in evictions)
        total = self.total_at_least_tokens_per_s(now)
        unload_s = sum(server.unload_s(model, now) for model in evictions)
        return EVICTION_COST_S * min(lost_demand / total, 1.0) + unload_s

    def is_costlier(
        self, server: ManagedServer, plan: PlacementPlan, now: float
    ) -> bool:
        """Return whether a plan's evictions cost much more than at planning time."""
        held = [name for name in plan.eviction_candidates if server.holds_model(name)]
        cost_s = self.eviction_cost_s(server, held, now)
        return cost_s > plan.eviction_cost_s + MAX_COST_INCREASE_S

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
