"""The fair order: places of a service are shared max-min between the waiting teams.

Within a service the more urgent class is first, with a tenth of the turns left to the
others. Within a class the team with the lowest start tag is next, and within a team the
oldest request. A request that cannot be served now, for example because no server holds
its model, costs its team nothing and blocks no other.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Iterable
from typing import Final

import attrs

from .team_tags import TeamTags
from .urgency_turns import UrgencyTurns
from .waiting_order import TryServe, UsageClass, WaitingEntry, WaitingOrder

# Tags without effect are removed when more teams than this have one.
MAX_IDLE_TAGS: Final = 1_024
# What a team has used is forgotten over about this time, so that news of other gateways
# that was wrong or has ended does not hold a team back for long.
USAGE_MEMORY_S: Final = 3.0


class _ClassPass:
    """One pass over the waiting requests of one class of a service."""

    def __init__(self, tags: TeamTags, entries: Iterable[WaitingEntry]) -> None:
        self._tags = tags
        self._queue_by_team: dict[str, deque[WaitingEntry]] = {}
        for entry in sorted(entries, key=lambda item: item.since):
            self._queue_by_team.setdefault(entry.team, deque()).append(entry)
        for team in self._queue_by_team:
            # Also lifts teams whose requests could not be served for a while.
            tags.start_waiting(team)
        self._heap = [(tags.tag(team), team) for team in self._queue_by_team]
        heapq.heapify(self._heap)

    @property
    def has_entries(self) -> bool:
        """Return whether some entries have not been tried in this pass."""
        return bool(self._heap)

    def serve_next(self, try_serve: TryServe) -> bool:
        """Try entries in order until one is served; return False if none was."""
        while self._heap:
            _, team = self._heap[0]
            queue = self._queue_by_team[team]
            entry = queue.popleft()
            is_served = try_serve(entry)
            if is_served:
                self._tags.charge(team, entry.cost)
            if queue:
                heapq.heapreplace(self._heap, (self._tags.tag(team), team))
            else:
                heapq.heappop(self._heap)
            if is_served:
                return True
        return False


@attrs.define
class _ServiceOrder:
    """The fair order of one service."""

    turns: UrgencyTurns = attrs.field(factory=UrgencyTurns)
    tags_by_class: dict[int, TeamTags] = attrs.field(factory=dict)

    def tags(self, priority: int) -> TeamTags:
        """Return the tags of a class."""
        tags = self.tags_by_class.setdefault(priority, TeamTags())
        if len(tags) > MAX_IDLE_TAGS:
            tags.drop_idle(())
        return tags

    def serve(self, entries: list[WaitingEntry], try_serve: TryServe) -> None:
        """Call ``try_serve`` once for each entry."""
        entries_by_class: dict[int, list[WaitingEntry]] = {}
        for entry in entries:
            entries_by_class.setdefault(entry.priority, []).append(entry)
        if len(entries_by_class) == 1:
            self.turns.restart()
        pass_by_class = {
            priority: _ClassPass(self.tags(priority), found)
            for priority, found in entries_by_class.items()
        }
        while pass_by_class:
            self._serve_next(pass_by_class, try_serve)
            for priority, class_pass in list(pass_by_class.items()):
                if not class_pass.has_entries:
                    del pass_by_class[priority]

    def _serve_next(
        self, pass_by_class: dict[int, _ClassPass], try_serve: TryServe
    ) -> None:
        for priority in self.turns.order(pass_by_class):
            if pass_by_class[priority].serve_next(try_serve):
                self.turns.record_served(priority, pass_by_class)
                return


class FairOrder(WaitingOrder):
    """Shares the places of each service between the teams that wait."""

    def __init__(self) -> None:
        self._order_by_service: dict[str, _ServiceOrder] = {}

    def serve(self, entries: Iterable[WaitingEntry], try_serve: TryServe) -> None:
        """Call ``try_serve`` once for each entry, the next in turn first."""
        entries_by_service: dict[str, list[WaitingEntry]] = {}
        for entry in entries:
            entries_by_service.setdefault(entry.service, []).append(entry)
        for service, found in entries_by_service.items():
            self._order(service).serve(found, try_serve)

    def record_served(self, entry: WaitingEntry) -> None:
        """Charge a team for a request that got a server on arrival."""
        tags = self._order(entry.service).tags(entry.priority)
        tags.charge(entry.team, entry.cost)

    def record_elsewhere(
        self, usages: Iterable[tuple[UsageClass, str, float]], elapsed_s: float
    ) -> None:
        """Charge the teams for what they use at other gateways.

        Both this and the memory apply to the same tags, so that teams which wait here
        are held to equal usage over all gateways.
        """
        factor = math.exp(-elapsed_s / USAGE_MEMORY_S)
        for order in self._order_by_service.values():
            for tags in order.tags_by_class.values():
                tags.shrink_leads(factor)
        for usage_class, team, cost_per_s in usages:
            tags = self._order(usage_class.service).tags(usage_class.priority)
            tags.charge_elsewhere(team, cost_per_s * elapsed_s)

    def _order(self, service: str) -> _ServiceOrder:
        return self._order_by_service.setdefault(service, _ServiceOrder())
