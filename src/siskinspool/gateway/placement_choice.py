"""The choice of a server for a model, and of the models that are evicted for it."""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable
from typing import Final

import attrs

from .choice import Choice
from .demand import REQUESTERS_HALF_LIFE_S, Demand, RecentCounts, target_name
from .desired_state import EngineSpec, ModelSpec
from .fleet_copies import CopiesMemory, FleetCopies
from .goal import Goal
from .managed_server import ManagedServer
from .messages import ModelExpected, WantModel
from .server_times import SWAP_S
from .shortage import Shortages
from .store_limit import StoreLoads
from .store_turns import StoreTurns

# Cost in seconds of an eviction that takes away the whole demand.
EVICTION_COST_S: Final = 20.0
# Total demand is taken as at least this, in tokens per second, since below it single
# requests would dominate.
LEAST_TOTAL_TOKENS_PER_S: Final = 2_000.0
# The only replica of a model is evicted only for a model with at least this share of
# its demand.
LEAST_DEMAND_RATIO: Final = 0.3
# Share of the requests for a server's models and copies that a load there delays. The
# others find their model and adapter ready.
BLOCKED_SHARE: Final = 0.5
# Prompt tokens that a server processes per second.
SERVER_TOKENS_PER_S: Final = 40_000.0
# Assumed requesters per second of a model that has had none yet.
LIKELY_REQUESTERS_PER_S: Final = 0.1
# Cost in seconds of placing a model on a fully loaded server.
BUSY_COST_S: Final = 2.0
# Additional value of a model in use, so that among models with little demand it is
# evicted last.
IN_USE_TOKENS_PER_S: Final = 500.0
# A plan is moved if another server would have the model ready this much sooner.
MUCH_SOONER_S: Final = 1.5
# A plan is compared with other servers at most this often.
WEIGH_INTERVAL_S: Final = 0.5
# A plan is void if its evictions cost this much more than when it was made.
MUCH_DEARER_S: Final = 1.5
# Value of each further replica without demand. A model that was on several servers at
# the start was placed there for its demand.
REPLICA_PRIOR: Final = 0.02


@attrs.define
class ServiceFleet:
    """The model servers of one service with the demand for its models."""

    engine: EngineSpec
    servers: list[ManagedServer]
    demand: Demand
    store: StoreLoads = attrs.field(factory=StoreLoads)
    shortages: Shortages = attrs.field(factory=Shortages)
    # All requesters so far, by model.
    requesters: RecentCounts = attrs.field(
        factory=lambda: RecentCounts(REQUESTERS_HALF_LIFE_S)
    )
    # The servers whose copies count, including servers that are briefly silent.
    staying: list[ManagedServer] = attrs.field(factory=list)
    # Servers whose entries have just lapsed and that may return with their disks.
    lapsed: list[ManagedServer] = attrs.field(factory=list)
    copies_memory: CopiesMemory = attrs.field(factory=CopiesMemory)
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
    def turns(self) -> StoreTurns:
        """Return the queue of loads from the weight store."""
        return StoreTurns(
            self.engine,
            self.servers,
            self.demand,
            self.store,
            self.shortages,
            self.requesters,
            self.copies,
        )

    def forget_counts(self) -> None:
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
            self._copies = self.copies_memory.copies(
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

    def value(self, model: str, now: float) -> float:
        """Return the value of one replica of a model, in tokens per second."""
        replicas = max(self.replicas(model), 1)
        prior = REPLICA_PRIOR * (replicas - 1)
        return self.tokens_per_s(model, now) / replicas + prior

    def load(self, server: ManagedServer, now: float) -> float:
        """Return the demand for a server's models there, in tokens per second."""
        return sum(
            self.tokens_per_s(model, now) / max(self.planned_replicas(model), 1)
            for model in server.planned_models()
        )

    def total_rate(self, now: float) -> float:
        """Return the demand for all models, in tokens per second."""
        return self.demand.total_tokens_per_s(now)

    def has_room(self, server: ManagedServer) -> bool:
        """Return whether the largest model fits on a server without an eviction."""
        sizes = [spec.weights_mb for spec in self.engine.model_by_name.values()]
        free_mb = self.engine.weights_mb - server.used_mb(self.engine)
        return free_mb >= max(sizes, default=0.0)

    def planned(self) -> set[str]:
        """Return the models that are planned to be loaded or being loaded."""
        return {goal.model for server in self.servers for goal in server.goals}

    def better_choice(
        self, server: ManagedServer, goal: Goal, now: float
    ) -> Choice | None:
        """Return another server that would have a plan's model ready much sooner.

        The comparison is rate-limited, since each gateway repeats its requests.
        """
        if now < goal.weighed_at + WEIGH_INTERVAL_S:
            return None
        goal.weighed_at = now
        model = goal.model
        expected_s = self.ready_in_s(server, model, goal.waiting, now)
        others = [
            other
            for other in self.servers
            if other is not server and other.has_goal(model, "") is None
        ]
        if expected_s < MUCH_SOONER_S or len(others) < len(self.servers) - 1:
            return None
        spec = self.engine.model_by_name[model]
        choice = self.choose(spec, others, now, goal.waiting)
        if choice is None or choice.ready_in_s + MUCH_SOONER_S > expected_s:
            return None
        return choice

    def idle_choice(self, goal: Goal, now: float) -> Choice | None:
        """Return an idle server whose own plans all wait for the weight store."""
        idle = [
            server
            for server in self.servers
            if server.is_idle
            and all(server.waits_for_store(other) for other in server.goals)
            and goal.model not in server.planned_models()
        ]
        spec = self.engine.model_by_name.get(goal.model)
        # A later desired state may have removed the model.
        return None if spec is None else self.choose(spec, idle, now, goal.waiting)

    def sort_goals(self, server: ManagedServer, now: float) -> None:
        """Sort the plans of a server by the demand they serve for their duration."""
        ordered = sorted(server.goals, key=lambda goal: self._rank(server, goal, now))
        server.goals = deque(ordered)

    def _rank(self, server: ManagedServer, goal: Goal, now: float) -> float:
        """Return the duration of a plan divided by its demand; the lowest goes first.

        This order minimizes the demand that waits, summed over time.
        """
        if goal.adapter or goal.begun:
            # Room that was made for one model is not given to another.
            return 0.0
        if not goal.waiting:
            return math.inf
        taken_s = server.goal_s(goal, self.engine, now)
        return taken_s / self.demand.wanted_per_s(goal.model, goal.waiting, now)

    def _goals_before(
        self, server: ManagedServer, spec: ModelSpec, waiting: int, now: float
    ) -> list[Goal]:
        """Return the plans of a server that go before a new one."""
        taken_s = server.load_s(spec) + SWAP_S
        rank = taken_s / self.demand.wanted_per_s(spec.name, max(waiting, 1), now)
        return [goal for goal in server.goals if self._rank(server, goal, now) <= rank]

    def _queue_s(
        self, server: ManagedServer, spec: ModelSpec, waiting: int, now: float
    ) -> float:
        """Return how long a new plan waits for those that go before it."""
        return server.busy_s(self.engine, now) + sum(
            server.goal_s(goal, self.engine, now)
            for goal in self._goals_before(server, spec, waiting, now)
        )

    def can_take_adapter(self, server: ManagedServer, now: float) -> bool:
        """Return whether an adapter slot is free or held by an idle adapter."""
        free = server.adapter_count() < self.engine.adapter_slots
        return free or self.adapter_victim(server, now) is not None

    def choose_holder(
        self, holders: list[ManagedServer], near_server: str, now: float
    ) -> ManagedServer:
        """Return the holder of a model that is to load an adapter for it."""
        return min(
            holders,
            key=lambda server: (
                not self.can_take_adapter(server, now),
                server.busy_until is not None,
                server.record.server_id != near_server,
                len(server.goals),
                server.adapter_count(),
            ),
        )

    def expect(
        self, want: WantModel, server: ManagedServer, now: float
    ) -> ModelExpected:
        """Return the estimate for a gateway of when a planned model is ready."""
        goal = server.has_goal(want.model, "")
        waiting = want.waiting if goal is None else goal.waiting
        in_s = self.ready_in_s(server, want.model, waiting, now)
        if goal is not None:
            goal.promised_at = now + in_s
        is_loading = server.loading == want.model
        return ModelExpected(want.model, want.adapter, in_s, is_loading)

    def ready_in_s(
        self, server: ManagedServer, model: str, waiting: int, now: float
    ) -> float:
        """Return the delay until a planned model is ready on a server.

        Its load starts once both the server and a store slot are free.
        """
        in_s = server.ready_in_s(model, self.engine, now)
        goal = server.has_goal(model, "")
        own_s = 0.0 if goal is None else server.goal_s(goal, self.engine, now)
        spec = self.engine.model_by_name[model]
        return max(in_s, self.turns.wait_s(spec, server, waiting, now) + own_s)

    def choose(
        self,
        spec: ModelSpec,
        servers: Iterable[ManagedServer],
        now: float,
        waiting: int = 0,
    ) -> Choice | None:
        """Return the server on which a model is ready at the lowest cost, if any.

        ``waiting`` is the number of requests that the demand does not include yet.
        """
        choices = []
        store_wait_s: float | None = None
        for server in servers:
            turn_in_s = 0.0
            if server.needs_store(spec.name):
                if store_wait_s is None:
                    store_wait_s = self.turns.wait_s(spec, server, waiting, now)
                turn_in_s = store_wait_s
            choice = self._consider(spec, server, now, waiting, turn_in_s)
            if choice is not None:
                choices.append(choice)
        return min(
            choices,
            key=lambda choice: (choice.cost_s, choice.server.record.server_id),
            default=None,
        )

    def _consider(
        self,
        spec: ModelSpec,
        server: ManagedServer,
        now: float,
        waiting: int,
        turn_in_s: float,
    ) -> Choice | None:
        """Return a server with its costs, or None if there is no room for the model."""
        victims = self.victims(spec, server, now, waiting)
        if victims is None:
            return None
        load_s = server.load_s(spec)
        begin_in_s = max(self._queue_s(server, spec, waiting, now), turn_in_s)
        ready_in_s = load_s + begin_in_s
        lost = sum(self.value(model, now) for model in victims)
        unload_s = sum(server.unload_s(model, now) for model in victims)
        blocked_s = (
            BLOCKED_SHARE
            * (load_s + unload_s)
            * self._blocked_share(server, victims, now)
        )
        load = (self.load(server, now) - lost) / SERVER_TOKENS_PER_S
        victims_cost_s = self.victims_cost_s(server, victims, now)
        # A model without a copy would have to be loaded from the weight store again.
        lost_copies = self.copies.only_copies_lost(server, spec.name, victims)
        cost_s = (
            ready_in_s
            + victims_cost_s
            + blocked_s
            + BUSY_COST_S * min(load, 1.0) ** 2
            + lost_copies * spec.store_load_s
            + self._out_of_reach_s(spec, server, victims, now)
        )
        return Choice(server, victims, ready_in_s + unload_s, cost_s, victims_cost_s)

    def _out_of_reach_s(
        self,
        spec: ModelSpec,
        server: ManagedServer,
        victims: tuple[str, ...],
        now: float,
    ) -> float:
        """Return the cost of blocking a server that has the only copies of models.

        Requesters of these models are refused while the server loads from the weight
        store, which is as bad as delaying the load itself for as many requesters.
        """
        if not server.needs_store(spec.name):
            return 0.0
        models = self.copies.out_of_reach(server, spec.name, victims)
        kept_waiting = sum(self._requesters_per_s(name, now) for name in models)
        return spec.store_load_s * kept_waiting / self._requesters_per_s(spec.name, now)

    def _requesters_per_s(self, model: str, now: float) -> float:
        return self.requesters.per_s(model, now) + LIKELY_REQUESTERS_PER_S

    def _blocked_share(
        self, server: ManagedServer, victims: Iterable[str], now: float
    ) -> float:
        """Return the share of the demand that a load on a server delays.

        Meanwhile the server loads no adapter for its models, and no other model of
        which it has a copy.
        """
        total = max(self.total_rate(now), LEAST_TOTAL_TOKENS_PER_S)
        blocked = sum(
            self.tokens_per_s(model, now) / max(self.copies.count(model), 1)
            for model in server.copies()
            if model not in victims
        )
        return min(blocked / total, 1.0)

    def victims_cost_s(
        self, server: ManagedServer, victims: Iterable[str], now: float
    ) -> float:
        """Return the cost of evictions: lost demand and the wait for requests."""
        lost = sum(self.value(model, now) for model in victims)
        total = max(self.total_rate(now), LEAST_TOTAL_TOKENS_PER_S)
        unload_s = sum(server.unload_s(model, now) for model in victims)
        return EVICTION_COST_S * min(lost / total, 1.0) + unload_s

    def is_dearer(self, server: ManagedServer, goal: Goal, now: float) -> bool:
        """Return whether a plan's evictions cost much more than at planning time."""
        held = [name for name in goal.victims if server.holds_model(name)]
        cost_s = self.victims_cost_s(server, held, now)
        return cost_s > goal.victims_cost_s + MUCH_DEARER_S

    def victims(
        self, spec: ModelSpec, server: ManagedServer, now: float, waiting: int
    ) -> tuple[str, ...] | None:
        """Return the models to evict so that one fits, or None if it cannot.

        Plans that go before are assumed to be done: their models take up room and their
        eviction candidates are gone. What they load may be evicted in turn.
        """
        before = self._goals_before(server, spec, waiting, now)
        planned = {goal.model for goal in before if not goal.adapter}
        gone = {name for goal in before for name in goal.victims}
        present = (server.holdings.model_by_name.keys() | planned) - gone
        wanted_later = {name for goal in server.goals for name in goal.victims}
        free_mb = self.engine.weights_mb - sum(
            self._mb(server, name) for name in present
        )
        candidates = sorted(
            (
                name
                for name in present
                if not self.outweighs(name, spec.name, waiting, now)
            ),
            key=lambda name: (
                name in planned or name in wanted_later,
                self.value(name, now)
                + IN_USE_TOKENS_PER_S * server.is_used(name, "", now),
                self.copies.is_only(name),
                self.demand.last_at(name),
                name,
            ),
        )
        victims: list[str] = []
        for name in candidates:
            if free_mb >= spec.weights_mb:
                break
            if name in self.engine.model_by_name:
                free_mb += self._mb(server, name)
                victims.append(name)
        return tuple(victims) if free_mb >= spec.weights_mb else None

    def _mb(self, server: ManagedServer, model: str) -> float:
        """Return the memory that a model takes up, with its adapters here."""
        spec = self.engine.model_by_name.get(model)
        if spec is None:
            return self.engine.weights_mb
        held = server.holdings.model_by_name.get(model)
        adapters = 0 if held is None else len(held.adapters)
        return spec.weights_mb + adapters * spec.adapter_mb

    def outweighs(self, held: str, wanted: str, waiting: int, now: float) -> bool:
        """Return whether a model's only replica has too much demand to be evicted."""
        if self.replicas(held) > 1:
            return False
        least = self.tokens_per_s(held, now) * LEAST_DEMAND_RATIO
        return self.demand.wanted_per_s(wanted, waiting, now) < least

    def adapter_victim(
        self, server: ManagedServer, now: float
    ) -> tuple[str, str] | None:
        """Return the least recently used idle adapter, as (model, adapter)."""
        held = [
            (model.name, adapter)
            for model in server.holdings.model_by_name.values()
            for adapter in model.adapters
            if (model.name, adapter) not in server.arrival_by_adapter
            and not server.is_used(model.name, adapter, now)
        ]
        return min(
            held,
            key=lambda pair: (self.demand.last_at(target_name(*pair)), pair),
            default=None,
        )
