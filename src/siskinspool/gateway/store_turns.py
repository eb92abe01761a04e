"""Which load the weight store serves next.

The store serves few loads at full speed, each of which takes seconds, so its turns are
worth more than a server's time.
"""

from __future__ import annotations

from typing import Final

import attrs

from .demand import Demand
from .desired_state import ModelSpec
from .goal import Goal
from .managed_server import ManagedServer
from .shortage import Shortages
from .store_limit import StoreLoads

# Part of the servers that may load from the weight store at a time.
STORE_SERVERS_SHARE: Final = 0.5
# Requests that wait for one model and outweigh all else.
MANY_WAITING: Final = 3
# Below this demand no request waits, and loads disturb nobody.
QUIET_TOKENS_PER_S: Final = 1.0


@attrs.define
class StoreTurns:
    """The loads of a service that are to come from the weight store."""

    servers: list[ManagedServer]
    demand: Demand
    store: StoreLoads
    shortages: Shortages

    def wait_s(
        self, spec: ModelSpec, server: ManagedServer, waiting: int, now: float
    ) -> float:
        """Return how long a load waits for others from the weight store."""
        if server.loading == spec.name or not server.needs_store(spec.name):
            return 0.0
        wanted = self.demand.wanted_per_s(spec.name, waiting, now)
        ahead = {
            goal.model
            for _, goal in self._goals()
            if self.demand.wanted_per_s(goal.model, goal.waiting, now) >= wanted
        }
        return self.store.wait_s(spec.store_load_s, len(ahead - {spec.name}))

    def is_spare(self) -> bool:
        """Return whether the weight store may load what nobody waits for.

        Such a load keeps a server from all else for seconds, and the store from models
        that requests wait for.
        """
        return 2 * self.store.running < self.store.limit and not self._goals()

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

    def may_begin(self, goal: Goal, now: float) -> bool:
        """Return whether a goal's model may be loaded from the weight store now.

        Such a load takes seconds in which its server loads nothing else. It begins if
        the store can serve it at full speed and no other server waits with a model that
        is wanted more, and if nothing has to go for it, if many requests wait, or while
        most servers are left for loads from disk.
        """
        wanted = self.demand.wanted_per_s(goal.model, goal.waiting, now)
        ahead = {
            other.model
            for server, other in self._goals()
            if other is not goal
            and server.is_idle
            and self.demand.wanted_per_s(other.model, other.waiting, now) > wanted
        }
        begun = self.store.running + sum(
            server.begins_store_load for server in self.servers
        )
        if begun + len(ahead - {goal.model}) >= self.store.limit:
            return False
        if goal.waiting >= MANY_WAITING or not goal.victims:
            return True
        if self.demand.total_tokens_per_s(now) < QUIET_TOKENS_PER_S:
            return True
        return begun + 1 <= len(self.servers) * STORE_SERVERS_SHARE
