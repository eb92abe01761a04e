"""The weight-store queue: which load from the weight store starts next.

The store serves few loads at full speed, and each takes seconds, so its slots are more
valuable than a server's time. A loaded model stays on a disk and can be made ready
again within a second, so a slot serves not only the waiting requests but all later
requesters of the model. The value of a slot has two parts, which are counted
separately: the present requesters that can wait until the load ends, and the expected
ones, at the rate at which the model has had requesters so far. Requesters that have
left count in the rate only. Among models of equal value the one with the longest
shortage is first. Preloads, such as replicas, are loaded only while no requester
waits for the store.

A plan that has started, for instance with an eviction, holds a store slot even before
its load starts.
"""

from __future__ import annotations

from typing import Final

import attrs

from .demand import RequesterCounts, TokenDemand
from .desired_state import EngineSpec, ModelSpec
from .fleet_copies import FleetCopies
from .managed_server import ManagedServer
from .placement_plan import PlacementPlan
from .server_times import SWAP_S
from .shortage import Shortages
from .store_limit import StoreLoads
from .store_slot_rank import RankCache, StoreSlotRank

# Share of the servers that may load from the weight store at a time.
STORE_SERVERS_SHARE: Final = 0.5
# A model with this many waiting requests may always occupy a server.
MANY_WAITING_REQUESTS: Final = 3
# Below this demand no request waits, and loads disturb no requests.
QUIET_TOKENS_PER_S: Final = 1.0
# A load must serve about one requester to be worth a store slot: a present one, or
# several recent ones.
MIN_REQUESTERS: Final = 0.9
# Requesters expected within this time count for a slot. Later the model may have lost
# its copy or its requesters.
HORIZON_S: Final = 30.0
# Plans are placed on idle servers this long before their slot is free, so that no other
# plan takes the slot because its server happens to be idle. Evictions take at most half
# a second, and plans are checked four times a second.
SLOT_LEAD_S: Final = 1.0
# A requester is served only if the load ends this long before it leaves: the end is
# seen in the next report, and then the server has to process the prompt.
FIRST_EVENT_S: Final = 0.5


@attrs.frozen
class StoreSlotUse:
    """The value of the slot of a plan, and of the best waiting alternative."""

    requesters: float
    # Empty if no other model waits.
    next_model: str
    next_requesters: float


@attrs.define
class WeightStoreQueue:
    """The queue of a service's loads from the weight store."""

    engine: EngineSpec
    servers: list[ManagedServer]
    demand: TokenDemand
    store: StoreLoads
    shortages: Shortages
    # All requesters so far, by model.
    requesters: RequesterCounts
    copies: FleetCopies
    ranks: RankCache = attrs.field(factory=RankCache)

    def wait_s(
        self, spec: ModelSpec, server: ManagedServer, waiting: int, now: float
    ) -> float:
        """Return the delay in seconds until a load from the store gets a slot."""
        if not server.needs_store(spec.name) or spec.name in (
            server.loading_model,
            server.ordered_store_load,
        ):
            return 0.0
        key = self._rank(spec.name, waiting, now).key
        ordered = {
            model
            for fleet_server in self.servers
            if (model := fleet_server.ordered_store_load)
        }
        excluded = ordered | {spec.name}
        # Loads take about the same time, so their order hardly matters.
        preceding = dict.fromkeys(
            plan.model
            for _, plan in self._plans()
            if plan.model not in excluded
            and (
                plan.is_started
                or self._rank(plan.model, plan.waiting_requests, now).key >= key
            )
        )
        # Loads that `StoreLoads` has not recorded yet.
        unrecorded_s = [self._store_load_s(model) for model in ordered]
        unrecorded_s += [
            fleet_server.remaining_busy_s(self.engine, now)
            for fleet_server in self.servers
            if fleet_server.has_unknown_order
        ]
        queued_s = (self._store_load_s(model) + SWAP_S for model in preceding)
        return self.store.wait_s(queued_s, now, unrecorded_s)

    def _store_load_s(self, model: str) -> float:
        spec = self.engine.model_by_name.get(model)
        return 0.0 if spec is None else spec.store_load_s

    def has_spare_slot(self, now: float) -> bool:
        """Return whether the store may be used for a model without waiting requests.

        Such a load blocks a server for seconds, and keeps the store from loading models
        that requests wait for.
        """
        return 2 * self.started_loads(now) < self.store.limit and not self._plans()

    def has_free_slot(self, now: float) -> bool:
        """Return whether another load would run at full speed."""
        return self._free_slots(now, now) > 0

    def has_slot_soon(self, now: float) -> bool:
        """Return whether another load will soon be able to run at full speed."""
        return self._free_slots(now, now + SLOT_LEAD_S) > 0

    def has_requested_plan(self, now: float) -> bool:
        """Return whether a load that waits for a slot would serve a requester."""
        has_spare_servers = self._has_spare_servers(now)
        return any(
            _can_occupy_server(plan, has_spare_servers)
            and self._is_plan_worth_slot(plan, now)
            for _, plan in self._plans()
        )

    def can_start(self, server: ManagedServer, plan: PlacementPlan, now: float) -> bool:
        """Return whether a plan may take its next step towards a load from the store.

        It may if the store can serve the load at full speed and no other server waits
        with a model that precedes it. Evictions start early enough to be done by then.
        If this model has no requesters, the slot is kept for a model with requesters
        whose server is busy for a moment.
        """
        if plan.is_started:
            # Its own slot is included in the count.
            return self._free_slots(now, now + server.eviction_s(plan, now)) >= 0
        free_slots = self._free_slots(now, now + server.eviction_s(plan, now))
        if free_slots <= 0:
            return False
        has_spare_servers = self._has_spare_servers(now)
        if not _can_occupy_server(plan, has_spare_servers):
            return False
        if not self._is_plan_worth_slot(plan, now) and self.has_requested_plan(now):
            return False
        key = self._rank(plan.model, plan.waiting_requests, now).key
        preceding = {
            other.model
            for fleet_server, other in self.unstarted_plans()
            if other is not plan
            and fleet_server.is_idle
            and _can_occupy_server(other, has_spare_servers)
            and self._rank(other.model, other.waiting_requests, now).key > key
        }
        return free_slots > len(preceding - {plan.model})

    def _has_spare_servers(self, now: float) -> bool:
        """Return whether most servers would remain for loads from disk."""
        if self.demand.total_tokens_per_s(now) < QUIET_TOKENS_PER_S:
            return True
        started = self.started_loads(now)
        return started + 1 <= len(self.servers) * STORE_SERVERS_SHARE

    def _is_plan_worth_slot(self, plan: PlacementPlan, now: float) -> bool:
        rank = self._rank(plan.model, plan.waiting_requests, now)
        return rank.requesters >= MIN_REQUESTERS

    def due_plans_on_busy_servers(
        self, now: float
    ) -> list[tuple[ManagedServer, PlacementPlan]]:
        """Return the plans whose slot is near, but whose servers are busy."""
        free_slots = self._free_slots(now, now + SLOT_LEAD_S)
        if free_slots <= 0:
            return []
        ordered = sorted(
            self.unstarted_plans(),
            key=lambda pair: (
                self._rank(pair[1].model, pair[1].waiting_requests, now).key
            ),
            reverse=True,
        )
        return [pair for pair in ordered[:free_slots] if not pair[0].is_idle]

    def unstarted_plans(self) -> list[tuple[ManagedServer, PlacementPlan]]:
        """Return the plans for which no order has been given."""
        return [(server, plan) for server, plan in self._plans() if not plan.is_started]

    def expected_requesters(self, model: str, now: float) -> float:
        """Return how many requesters a load that starts now is expected to serve.

        Zero if a server has a copy: even if it is silent or busy for a while, it will
        probably serve them sooner.
        """
        if self.copies.count(model):
            return 0.0
        served_at = now + self._store_load_s(model) + SWAP_S + FIRST_EVENT_S
        present = self.shortages.reachable_requesters(model, served_at)
        return present + self.requesters.rate_per_s(model, now) * HORIZON_S

    def is_worth_slot(self, model: str, now: float) -> bool:
        """Return whether a load of a model is worth a slot."""
        return self.expected_requesters(model, now) >= MIN_REQUESTERS

    def is_next(self, model: str, now: float) -> bool:
        """Return whether a model would be among the next to get a slot."""
        rank = self._rank(model, 0, now)
        preceding = {
            plan.model
            for _, plan in self.unstarted_plans()
            if self._rank(plan.model, plan.waiting_requests, now).requesters
            >= rank.requesters
        }
        free_slots = self._free_slots(now, now + SLOT_LEAD_S)
        is_worth_slot = rank.requesters >= MIN_REQUESTERS
        return is_worth_slot and len(preceding) < free_slots

    def started_loads(self, now: float) -> int:
        """Return the number of loads in flight, with those about to start."""
        return self.store.running_at(now, now) + self._starting_loads()

    def slot_use(self, plan: PlacementPlan, now: float) -> StoreSlotUse:
        """Return the value of a plan's slot, and of the best waiting alternative."""
        others = {other.model for _, other in self.unstarted_plans()} - {plan.model}
        value_by_model = {
            model: self.expected_requesters(model, now)
            for model in {*others, plan.model}
        }
        best = max(others, key=value_by_model.__getitem__, default="")
        return StoreSlotUse(
            value_by_model[plan.model], best, value_by_model.get(best, 0.0)
        )

    def _rank(self, model: str, waiting: int, now: float) -> StoreSlotRank:
        has_copy = self.copies.count(model) > 0
        rank = self.ranks.find(model, waiting, has_copy=has_copy, now=now)
        if rank is None:
            rank = StoreSlotRank(
                # Smaller differences are not significant.
                round(self.expected_requesters(model, now), 1),
                self.shortages.shortage_s(model, now),
                self.demand.load_demand_per_s(model, waiting, now),
            )
            self.ranks.add(model, waiting, rank, has_copy=has_copy, now=now)
        return rank

    def _starting_loads(self) -> int:
        """Return the number of loads that hold a slot but are not recorded yet.

        An unknown order of an earlier leader may be a load from the weight store; other
        orders are done within a second.
        """
        return sum(
            bool(server.ordered_store_load)
            or server.has_unknown_order
            or any(
                plan.is_started and _is_store_plan(server, plan)
                for plan in server.plans
            )
            for server in self.servers
            if server.plans or not server.is_idle
        )

    def _free_slots(self, now: float, at: float) -> int:
        """Return how many more loads can run at full speed from a time on.

        It is negative if there are too few slots for the loads about to start.
        """
        free_slots = self.store.limit - self.store.running_at(now, at)
        # Usually the store is full, so the servers need not be checked.
        return free_slots - self._starting_loads() if free_slots > 0 else -1

    def _plans(self) -> list[tuple[ManagedServer, PlacementPlan]]:
        """Return the plans that are still to be loaded from the weight store."""
        return [
            (server, plan)
            for server in self.servers
            for plan in server.plans
            if _is_store_plan(server, plan)
        ]


def _is_store_plan(server: ManagedServer, plan: PlacementPlan) -> bool:
    """Return whether a plan is still to be loaded from the weight store."""
    return (
        not plan.adapter
        and server.loading_model != plan.model
        and server.needs_store(plan.model)
    )


def _can_occupy_server(plan: PlacementPlan, has_spare_servers: bool) -> bool:
    """Return whether a plan may block a server for all other loads for seconds.

    It may if it needs no eviction, if many requests wait, or if most servers remain for
    loads from disk.
    """
    return (
        has_spare_servers
        or not plan.eviction_candidates
        or plan.waiting_requests >= MANY_WAITING_REQUESTS
    )
