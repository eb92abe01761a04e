"""The choice of a server for a model, and of the models that are evicted for it.

A `ServerComparison` prices the servers of a fleet for the load of one model. A price is
the time until the model is ready, plus the costs that the load has for other models.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import attrs

from .desired_state import ModelSpec
from .managed_server import ManagedServer
from .placement_plan import PlacementPlan
from .server_choice import ServerChoice
from .service_fleet import ServiceFleet

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
# Servers that a choice prices, unless the model fits on none of them.
MAX_PRICED_SERVERS: Final = 32
# A plan is moved if another server would have the model ready this much sooner.
MIN_TIME_GAIN_S: Final = 1.5
# A plan is compared with other servers at most this often.
COMPARE_INTERVAL_S: Final = 0.5


def choose_server(
    fleet: ServiceFleet,
    spec: ModelSpec,
    servers: Iterable[ManagedServer],
    now: float,
    waiting: int = 0,
) -> ServerChoice | None:
    """Return the server on which a model is ready at the lowest cost, if any.

    ``waiting`` is the number of requests that the demand does not include yet.
    """
    return ServerComparison(fleet, spec, waiting, now).cheapest(servers)


def find_sooner_choice(
    fleet: ServiceFleet, server: ManagedServer, plan: PlacementPlan, now: float
) -> ServerChoice | None:
    """Return another server that would have a plan's model ready much sooner.

    The comparison is rate-limited, since each gateway repeats its requests.
    """
    if now < plan.compared_at + COMPARE_INTERVAL_S:
        return None
    plan.compared_at = now
    model = plan.model
    expected_s = fleet.ready_in_s(server, model, plan.waiting_requests, now)
    others = [
        other
        for other in fleet.servers
        if other is not server and other.find_plan(model, "") is None
    ]
    if expected_s < MIN_TIME_GAIN_S or len(others) < len(fleet.servers) - 1:
        return None
    spec = fleet.engine.model_by_name[model]
    comparison = ServerComparison(fleet, spec, plan.waiting_requests, now)
    least_s = min(map(comparison.least_ready_s, others), default=math.inf)
    if least_s + MIN_TIME_GAIN_S > expected_s:
        return None
    choice = comparison.cheapest(others)
    if choice is None or choice.ready_in_s + MIN_TIME_GAIN_S > expected_s:
        return None
    return choice


def find_idle_choice(
    fleet: ServiceFleet, plan: PlacementPlan, now: float
) -> ServerChoice | None:
    """Return an idle server whose own plans all wait for the weight store."""
    idle = [
        server
        for server in fleet.servers
        if server.is_idle
        and all(server.waits_for_store(other) for other in server.plans)
        and plan.model not in server.planned_models()
    ]
    spec = fleet.engine.model_by_name.get(plan.model)
    # A later desired state may have removed the model.
    return (
        None
        if spec is None
        else choose_server(fleet, spec, idle, now, plan.waiting_requests)
    )


@attrs.define
class ServerComparison:
    """Compares servers for the load of one model; times are in seconds."""

    _fleet: ServiceFleet
    _spec: ModelSpec
    # Number of requests that the demand does not include yet.
    _waiting: int
    _now: float
    # Delay until a store slot is free; None until a server needs one.
    _slot_in_s: float | None = attrs.field(default=None, init=False)

    def cheapest(self, servers: Iterable[ManagedServer]) -> ServerChoice | None:
        """Return the server with the lowest cost, or None if the model fits nowhere.

        Servers are priced in the order of the least time that they need, and no more of
        them once that time alone exceeds the lowest cost. Of those that need the same
        time, such as all idle servers for a model that none of them has a copy of, the
        ones with the least demand are priced first, and the rest is left out.
        """
        fleet, now = self._fleet, self._now
        ordered = sorted(
            (
                self._least_unqueued_s(server),
                fleet.server_demand(server, now),
                server.record.server_id,
                server,
            )
            for server in servers
        )
        best: ServerChoice | None = None
        for priced, (least_s, _, _, server) in enumerate(ordered):
            if best is not None:
                if least_s > best.cost_s or priced >= MAX_PRICED_SERVERS:
                    break
                if self.least_ready_s(server) > best.cost_s:
                    continue
            choice = self._evaluate(server)
            if choice is not None and (
                best is None or choice.preference < best.preference
            ):
                best = choice
        return best

    def least_ready_s(self, server: ManagedServer) -> float:
        """Return the least time until the model can be ready on a server."""
        busy_s = server.remaining_busy_s(self._fleet.engine, self._now)
        return server.load_s(self._spec) + max(busy_s, self._store_wait_s(server))

    def _least_unqueued_s(self, server: ManagedServer) -> float:
        """Return the same time without the wait for the weight store."""
        busy_s = server.remaining_busy_s(self._fleet.engine, self._now)
        return server.load_s(self._spec) + busy_s

    def _store_wait_s(self, server: ManagedServer) -> float:
        """Return the delay until the load may use the weight store, if it needs it."""
        if not server.needs_store(self._spec.name):
            return 0.0
        if self._slot_in_s is None:
            self._slot_in_s = self._fleet.store_queue.wait_s(
                self._spec, server, self._waiting, self._now
            )
        return self._slot_in_s

    def _evaluate(self, server: ManagedServer) -> ServerChoice | None:
        """Return a server with its costs, or None if the model does not fit."""
        fleet, spec, now = self._fleet, self._spec, self._now
        fleet.budget.spend(1.0)
        slot_in_s = self._store_wait_s(server)
        evictions = self._eviction_candidates(server)
        if evictions is None:
            return None
        load_s = server.load_s(spec)
        queue_wait_s = fleet.queue_wait_s(server, spec, self._waiting, now)
        ready_in_s = load_s + max(queue_wait_s, slot_in_s)
        lost_demand = sum(fleet.replica_value(model, now) for model in evictions)
        unload_s = sum(server.unload_s(model, now) for model in evictions)
        blocked_s = (
            BLOCKED_SHARE * (load_s + unload_s) * self._blocked_share(server, evictions)
        )
        demand = fleet.server_demand(server, now) - lost_demand
        load = demand / SERVER_TOKENS_PER_S
        eviction_cost_s = fleet.eviction_cost_s(server, evictions, now)
        # A model without a copy would have to be loaded from the weight store again.
        lost_copies = fleet.copies.expected_models_lost(server, spec.name, evictions)
        cost_s = (
            ready_in_s
            + eviction_cost_s
            + blocked_s
            + BUSY_COST_S * min(load, 1.0) ** 2
            + lost_copies * spec.store_load_s
            + self._blocked_copies_cost_s(server, evictions)
        )
        return ServerChoice(
            server, evictions, ready_in_s + unload_s, cost_s, eviction_cost_s
        )

    def _blocked_copies_cost_s(
        self, server: ManagedServer, evictions: tuple[str, ...]
    ) -> float:
        """Return the cost of blocking a server that has the only copies of models.

        Requesters of these models are refused while the server loads from the weight
        store, which is as bad as delaying the load itself for as many requesters.
        """
        spec = self._spec
        if not server.needs_store(spec.name):
            return 0.0
        models = self._fleet.copies.models_blocked_by_load(server, spec.name, evictions)
        blocked_requesters_per_s = sum(self._requesters_per_s(name) for name in models)
        return (
            spec.store_load_s
            * blocked_requesters_per_s
            / self._requesters_per_s(spec.name)
        )

    def _requesters_per_s(self, model: str) -> float:
        rate_per_s = self._fleet.requesters.rate_per_s(model, self._now)
        return rate_per_s + PRIOR_REQUESTERS_PER_S

    def _blocked_share(
        self, server: ManagedServer, evictions: tuple[str, ...]
    ) -> float:
        """Return the share of the demand that a load on a server delays.

        Meanwhile the server loads no adapter for its models, and no other model of
        which it has a copy.
        """
        fleet, now = self._fleet, self._now
        blocked = sum(
            fleet.tokens_per_s(model, now) / max(fleet.copies.count(model), 1)
            for model in server.copies()
            if model not in evictions
        )
        return min(blocked / fleet.total_at_least_tokens_per_s(now), 1.0)

    def _eviction_candidates(self, server: ManagedServer) -> tuple[str, ...] | None:
        """Return the models to evict so that this one fits, or None if it cannot.

        Preceding plans are assumed to be done: their models are loaded and their
        eviction candidates are unloaded. The models that they load may be evicted too.
        """
        fleet, spec, now = self._fleet, self._spec, self._now
        earlier_plans = fleet.plans_before(server, spec, self._waiting, now)
        planned = {plan.model for plan in earlier_plans if not plan.adapter}
        evicted = {name for plan in earlier_plans for name in plan.eviction_candidates}
        present = (server.holdings.model_by_name.keys() | planned) - evicted
        evicted_later = {
            name for plan in server.plans for name in plan.eviction_candidates
        }
        free_mb = fleet.engine.weights_mb - sum(
            self._memory_mb(server, name) for name in present
        )
        demand = fleet.demand
        in_use_tokens_per_s = IN_USE_REQUESTS_PER_S * demand.request_tokens(now)
        candidates = sorted(
            (
                name
                for name in present
                if not fleet.is_protected(name, spec.name, self._waiting, now)
            ),
            key=lambda name: (
                name in planned or name in evicted_later,
                fleet.replica_value(name, now)
                + in_use_tokens_per_s * server.is_used(name, "", now),
                fleet.copies.has_single_copy(name),
                demand.last_added_at(name),
                name,
            ),
        )
        evictions: list[str] = []
        for name in candidates:
            if free_mb >= spec.weights_mb:
                break
            if name in fleet.engine.model_by_name:
                free_mb += self._memory_mb(server, name)
                evictions.append(name)
        return tuple(evictions) if free_mb >= spec.weights_mb else None

    def _memory_mb(self, server: ManagedServer, model: str) -> float:
        """Return the memory that a model takes up, with its adapters on a server."""
        engine = self._fleet.engine
        spec = engine.model_by_name.get(model)
        if spec is None:
            return engine.weights_mb
        held = server.holdings.model_by_name.get(model)
        adapters = 0 if held is None else len(held.adapters)
        return spec.weights_mb + adapters * spec.adapter_mb
