"""Which load the weight store serves next.

The store serves few loads at full speed, each of which takes seconds, so its turns are
worth more than a server's time. What is loaded stays on a disk and is ready again
within a second, so a turn serves all who will ask for the model, not only who waits for
it. Its worth has two parts, which are counted apart: the requesters that are there and
can wait until the load ends, and those that will come, at the rate at which the model
has had requesters so far. Those who have left count in the rate only. Among equals the
model that has been short for longest goes first. What the leader wants itself, such as
a replica, is loaded while no requester waits for the store.

A model for which room has been made has its turn, although its load has not begun.
"""

from __future__ import annotations

from typing import Final

import attrs

from .demand import RecentCounts, TokenDemand
from .desired_state import EngineSpec, ModelSpec
from .fleet_copies import FleetCopies
from .managed_server import ManagedServer
from .placement_plan import PlacementPlan
from .server_times import SWAP_S
from .shortage import Shortages
from .store_limit import StoreLoads

# Part of the servers that may load from the weight store at a time.
STORE_SERVERS_SHARE: Final = 0.5
# Requests that wait for one model and outweigh all else.
MANY_WAITING_REQUESTS: Final = 3
# Below this demand no request waits, and loads disturb nobody.
QUIET_TOKENS_PER_S: Final = 1.0
# A load is worth its turn for about one requester: one that is there, or some that have
# come lately.
MIN_REQUESTERS: Final = 0.9
# Requesters that come within this time count for a turn. Later the model may have lost
# its copy, or its requesters.
HORIZON_S: Final = 30.0
# Plans are on idle servers this long before their turn, so that no other plan takes it
# because its server happens to be idle: room is made within half a second, and plans
# are looked at four times a second.
SLOT_LEAD_S: Final = 1.0
# A requester is served if its load ends this long before it leaves: the end is seen
# with the next report, and then the server reads the prompt.
FIRST_EVENT_S: Final = 0.5


@attrs.frozen(order=True)
class StoreSlotRank:
    """What a turn of the weight store is worth; the greatest goes first."""

    # Requesters that it is expected to serve.
    requesters: float
    # How long the model has been asked for in vain, in seconds.
    short_s: float
    tokens_per_s: float

    @property
    def is_worth_slot(self) -> bool:
        """Return whether the load is worth its turn."""
        return self.requesters >= MIN_REQUESTERS


@attrs.frozen
class StoreSlotUse:
    """What a turn of the weight store is worth, and what the next one would be."""

    requesters: float
    # Empty if no other model waits.
    next_model: str
    next_requesters: float


@attrs.define
class WeightStoreQueue:
    """The loads of a service that are to come from the weight store."""

    engine: EngineSpec
    servers: list[ManagedServer]
    demand: TokenDemand
    store: StoreLoads
    shortages: Shortages
    # All requesters so far, by model.
    requesters: RecentCounts
    copies: FleetCopies

    def wait_s(
        self, spec: ModelSpec, server: ManagedServer, waiting: int, now: float
    ) -> float:
        """Return in how many seconds the turn of a load from the weight store comes."""
        if not server.needs_store(spec.name) or spec.name in (
            server.loading_model,
            server.ordered_store_load,
        ):
            return 0.0
        rank = self._rank(spec.name, waiting, now)
        ordered = {model for one in self.servers if (model := one.ordered_store_load)}
        passed = ordered | {spec.name}
        # Loads take much the same time, so their order changes little.
        ahead = dict.fromkeys(
            goal.model
            for _, goal in self._plans()
            if goal.model not in passed
            and (
                goal.is_started
                or self._rank(goal.model, goal.waiting_requests, now) >= rank
            )
        )
        # Loads that are not in the account of the store yet.
        beside_s = [self._store_load_s(model) for model in ordered]
        beside_s += [
            one.remaining_busy_s(self.engine, now)
            for one in self.servers
            if one.has_unknown_order
        ]
        queued_s = (self._store_load_s(model) + SWAP_S for model in ahead)
        return self.store.wait_s(queued_s, now, beside_s)

    def _store_load_s(self, model: str) -> float:
        spec = self.engine.model_by_name.get(model)
        return 0.0 if spec is None else spec.store_load_s

    def has_spare_slot(self, now: float) -> bool:
        """Return whether the weight store may load what nobody waits for.

        Such a load keeps a server from all else for seconds, and the store from models
        that requests wait for.
        """
        return 2 * self._started_loads(now) < self.store.limit and not self._plans()

    def has_free_slot(self, now: float) -> bool:
        """Return whether another load would run at full speed."""
        return self._free_slots(now, now) > 0

    def has_slot_soon(self, now: float) -> bool:
        """Return whether another load is about to run at full speed."""
        return self._free_slots(now, now + SLOT_LEAD_S) > 0

    def has_requested_plan(self, now: float) -> bool:
        """Return whether a load that waits for its turn would serve somebody."""
        return any(
            self._rank(goal.model, goal.waiting_requests, now).is_worth_slot
            and self._can_occupy_server(goal, now)
            for _, goal in self._plans()
        )

    def can_start(self, server: ManagedServer, goal: PlacementPlan, now: float) -> bool:
        """Return whether a goal's next step towards a load from the store may be taken.

        The load begins if the store can serve it at full speed and no other server
        waits with a model that goes before; room for it is made so much before as that
        takes. The turn is kept for a model with requesters, whose server is busy for a
        moment, if there are none for this one.
        """
        if goal.is_started:
            # Its own turn is counted.
            return self._free_slots(now, now + server.eviction_s(goal, now)) >= 0
        free = self._free_slots(now, now + server.eviction_s(goal, now))
        if free <= 0 or not self._can_occupy_server(goal, now):
            return False
        rank = self._rank(goal.model, goal.waiting_requests, now)
        if not rank.is_worth_slot and self.has_requested_plan(now):
            return False
        ahead = {
            other.model
            for one, other in self.unstarted_plans()
            if other is not goal
            and one.is_idle
            and self._can_occupy_server(other, now)
            and self._rank(other.model, other.waiting_requests, now) > rank
        }
        return free > len(ahead - {goal.model})

    def _can_occupy_server(self, goal: PlacementPlan, now: float) -> bool:
        """Return whether a goal may keep a server from all other loads for seconds.

        It may if nothing has to go for it, if many requests wait, or while most servers
        are left for loads from disk.
        """
        if (
            goal.waiting_requests >= MANY_WAITING_REQUESTS
            or not goal.eviction_candidates
        ):
            return True
        if self.demand.total_tokens_per_s(now) < QUIET_TOKENS_PER_S:
            return True
        begun = self._started_loads(now)
        return begun + 1 <= len(self.servers) * STORE_SERVERS_SHARE

    def due_plans_on_busy_servers(
        self, now: float
    ) -> list[tuple[ManagedServer, PlacementPlan]]:
        """Return the goals whose turn is near while their servers do something else."""
        free = self._free_slots(now, now + SLOT_LEAD_S)
        if free <= 0:
            return []
        ordered = sorted(
            self.unstarted_plans(),
            key=lambda pair: self._rank(pair[1].model, pair[1].waiting_requests, now),
            reverse=True,
        )
        return [pair for pair in ordered[:free] if not pair[0].is_idle]

    def unstarted_plans(self) -> list[tuple[ManagedServer, PlacementPlan]]:
        """Return the goals for which nothing has been done yet."""
        return [(server, goal) for server, goal in self._plans() if not goal.is_started]

    def expected_requesters(self, model: str, now: float) -> float:
        """Return how many requesters a load that begins now is expected to serve.

        If a server has a copy, but is silent or busy for a while, it is likely to serve
        them sooner.
        """
        if self.copies.count(model):
            return 0.0
        served_from = now + self._store_load_s(model) + SWAP_S + FIRST_EVENT_S
        present = self.shortages.reachable_requesters(model, served_from)
        return present + self.requesters.rate_per_s(model, now) * HORIZON_S

    def is_worth_slot(self, model: str, now: float) -> bool:
        """Return whether a load of a model is worth a turn."""
        return self.expected_requesters(model, now) >= MIN_REQUESTERS

    def is_next(self, model: str, now: float) -> bool:
        """Return whether a model's turn is near, counting all that wait for theirs."""
        rank = self._rank(model, 0, now)
        ahead = {
            goal.model
            for _, goal in self.unstarted_plans()
            if self._rank(goal.model, goal.waiting_requests, now).requesters
            >= rank.requesters
        }
        free = self._free_slots(now, now + SLOT_LEAD_S)
        return rank.is_worth_slot and len(ahead) < free

    def slot_use(self, goal: PlacementPlan, now: float) -> StoreSlotUse:
        """Return what the turn of a goal is worth, and the best of those that wait."""
        others = {other.model for _, other in self.unstarted_plans()} - {goal.model}
        worth_by_model = {
            model: self.expected_requesters(model, now)
            for model in {*others, goal.model}
        }
        best = max(others, key=worth_by_model.__getitem__, default="")
        return StoreSlotUse(
            worth_by_model[goal.model], best, worth_by_model.get(best, 0.0)
        )

    def _rank(self, model: str, waiting: int, now: float) -> StoreSlotRank:
        return StoreSlotRank(
            # A smaller difference says nothing.
            round(self.expected_requesters(model, now), 1),
            self.shortages.short_s(model, now),
            self.demand.load_demand_per_s(model, waiting, now),
        )

    def _starting_loads(self) -> int:
        """Return the loads that have a turn and are not in the account of the store.

        What an earlier leader ordered may be a load from the store; others are over
        within a second.
        """
        return sum(
            bool(server.ordered_store_load)
            or server.has_unknown_order
            or any(goal.is_started for goal in self._plans_of(server))
            for server in self.servers
            if server.plans or not server.is_idle
        )

    def _started_loads(self, now: float) -> int:
        """Return the loads under way, with those that are about to begin."""
        return self.store.running_at(now, now) + self._starting_loads()

    def _free_slots(self, now: float, at: float) -> int:
        """Return how many more loads the store serves at full speed from a time on.

        It is negative if there is not even one for each load that is about to begin.
        """
        room = self.store.limit - self.store.running_at(now, at)
        # Most of the time the store is full, so the servers need not be looked at.
        return room - self._starting_loads() if room > 0 else -1

    def _plans(self) -> list[tuple[ManagedServer, PlacementPlan]]:
        """Return the goals that are still to be loaded from the weight store."""
        return [
            (server, goal) for server in self.servers for goal in self._plans_of(server)
        ]

    def _plans_of(self, server: ManagedServer) -> list[PlacementPlan]:
        return [
            goal
            for goal in server.plans
            if not goal.adapter
            and server.loading_model != goal.model
            and server.needs_store(goal.model)
        ]
