"""Which load the weight store serves next.

The store serves few loads at full speed, each of which takes seconds, so its turns are
worth more than a server's time. A turn goes to the model for which the load would serve
most requesters: those that are there and can wait until it ends, and those that are
likely to come in time. Among equals the one that has been short for longest goes first.
What has been asked in vain before does not count, as those requesters have left. What
the leader wants itself, such as a replica, is loaded while no requester waits for the
store.
"""

from __future__ import annotations

from typing import Final

import attrs

from .demand import Demand
from .desired_state import EngineSpec, ModelSpec
from .goal import Goal
from .managed_server import SWAP_S, ManagedServer
from .shortage import Shortages
from .store_limit import StoreLoads

# Part of the servers that may load from the weight store at a time.
STORE_SERVERS_SHARE: Final = 0.5
# Requests that wait for one model and outweigh all else.
MANY_WAITING: Final = 3
# Below this demand no request waits, and loads disturb nobody.
QUIET_TOKENS_PER_S: Final = 1.0
# A load is worth its turn for about one requester that is likely to come.
LEAST_EXPECTED: Final = 0.9


@attrs.frozen(order=True)
class TurnRank:
    """What a turn of the weight store is worth; the greatest goes first."""

    # Some requester can wait until the load ends, or is likely to come.
    reaches_requester: bool
    # How many those are.
    requesters: float
    # How long the model has been asked for in vain, in seconds.
    short_s: float
    tokens_per_s: float


@attrs.define
class StoreTurns:
    """The loads of a service that are to come from the weight store."""

    engine: EngineSpec
    servers: list[ManagedServer]
    demand: Demand
    store: StoreLoads
    shortages: Shortages

    def wait_s(
        self, spec: ModelSpec, server: ManagedServer, waiting: int, now: float
    ) -> float:
        """Return in how many seconds the turn of a load from the weight store comes."""
        if not server.needs_store(spec.name) or spec.name in (
            server.loading,
            server.ordered_store_load,
        ):
            return 0.0
        rank = self._rank(spec.name, waiting, now)
        ordered = {model for one in self.servers if (model := one.ordered_store_load)}
        passed = ordered | {spec.name}
        # Loads take much the same time, so their order changes little.
        ahead = dict.fromkeys(
            goal.model
            for _, goal in self._goals()
            if goal.model not in passed
            and self._rank(goal.model, goal.waiting, now) >= rank
        )
        # Loads that are not in the account of the store yet.
        beside_s = [self._store_load_s(model) for model in ordered]
        beside_s += [
            one.busy_s(self.engine, now)
            for one in self.servers
            if one.has_unknown_order
        ]
        queued_s = (self._store_load_s(model) + SWAP_S for model in ahead)
        return self.store.wait_s(queued_s, now, beside_s)

    def _store_load_s(self, model: str) -> float:
        spec = self.engine.model_by_name.get(model)
        return 0.0 if spec is None else spec.store_load_s

    def is_spare(self) -> bool:
        """Return whether the weight store may load what nobody waits for.

        Such a load keeps a server from all else for seconds, and the store from models
        that requests wait for.
        """
        return 2 * self._begun() < self.store.limit and not self._goals()

    def has_room(self) -> bool:
        """Return whether another load would run at full speed."""
        return self._begun() < self.store.limit

    def has_requesters(self, now: float) -> bool:
        """Return whether a load that waits for its turn would serve somebody."""
        return any(
            self._rank(goal.model, goal.waiting, now).reaches_requester
            and self._may_take_server(goal, now)
            for _, goal in self._goals()
        )

    def may_begin(self, goal: Goal, now: float) -> bool:
        """Return whether a goal's model may be loaded from the weight store now.

        It begins if the store can serve it at full speed and no other server waits
        with a model that goes before. The turn is kept for a model with requesters,
        whose server is busy for a moment, if there are none for this one.
        """
        free = self._free_turns()
        if free <= 0 or not self._may_take_server(goal, now):
            return False
        rank = self._rank(goal.model, goal.waiting, now)
        if not rank.reaches_requester and self.has_requesters(now):
            return False
        ahead = {
            other.model
            for server, other in self._goals()
            if other is not goal
            and server.is_idle
            and self._may_take_server(other, now)
            and self._rank(other.model, other.waiting, now) > rank
        }
        return free > len(ahead - {goal.model})

    def _may_take_server(self, goal: Goal, now: float) -> bool:
        """Return whether a goal may keep a server from all other loads for seconds.

        It may if nothing has to go for it, if many requests wait, or while most servers
        are left for loads from disk.
        """
        if goal.waiting >= MANY_WAITING or not goal.victims:
            return True
        if self.demand.total_tokens_per_s(now) < QUIET_TOKENS_PER_S:
            return True
        return self._begun() + 1 <= len(self.servers) * STORE_SERVERS_SHARE

    def due_on_busy_servers(self, now: float) -> list[tuple[ManagedServer, Goal]]:
        """Return the goals whose turn it is while their servers do something else."""
        free = self._free_turns()
        if free <= 0:
            return []
        ordered = sorted(
            self._goals(),
            key=lambda pair: self._rank(pair[1].model, pair[1].waiting, now),
            reverse=True,
        )
        return [
            (server, goal)
            for server, goal in ordered[:free]
            if not server.is_idle and not goal.begun
        ]

    def waiting(self) -> list[tuple[ManagedServer, Goal]]:
        """Return the goals for which nothing has been done yet."""
        return [(server, goal) for server, goal in self._goals() if not goal.begun]

    def _rank(self, model: str, waiting: int, now: float) -> TurnRank:
        load_s = self._store_load_s(model)
        present = self.shortages.reachable(model, now + load_s + SWAP_S)
        expected = self.shortages.expected(model, load_s, now)
        return TurnRank(
            present > 0 or expected >= LEAST_EXPECTED,
            present + expected,
            self.shortages.short_s(model, now),
            self.demand.wanted_per_s(model, waiting, now),
        )

    def _begun(self) -> int:
        """Return the loads under way and those that are about to begin.

        What an earlier leader ordered may be a load from the store; others are over
        within a second.
        """
        return self.store.running + sum(
            bool(server.ordered_store_load) or server.has_unknown_order
            for server in self.servers
        )

    def _free_turns(self) -> int:
        """Return how many more loads the store serves at full speed."""
        return self.store.limit - self._begun()

    def _goals(self) -> list[tuple[ManagedServer, Goal]]:
        """Return the goals that are still to be loaded from the weight store."""
        return [
            (server, goal)
            for server in self.servers
            for goal in server.goals
            if not goal.adapter
            and server.loading != goal.model
            and server.needs_store(goal.model)
        ]
