"""Choice of the server for a request among those that may serve it.

`ServerSelection` is the interface. `LowestCost` compares all candidates by fixed costs
per request; `LowestExpectedTime` by the time to a first event that each server's own
answers suggest.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from ..machines.rendezvous import score
from ..pace.sampling import RandomFew, Sampler
from .messages import AssignServer
from .scheduling_settings import SchedulingSettings
from .server_view import NON_PREFERRED_COST_S, ServerView


class ServerSelection(ABC):
    """Selects the server with the lowest cost in seconds; the server id breaks ties."""

    def __init__(self, zone: str) -> None:
        """Initialize with the zone of this gateway."""
        self._zone = zone

    def select(
        self, candidates: Sequence[ServerView], call: AssignServer, now: float
    ) -> ServerView | None:
        """Return the server for a request; None if there is no candidate."""
        if len(candidates) < 2:
            return candidates[0] if candidates else None
        preferred = preferred_server(candidates, call)

        def cost_s(view: ServerView) -> float:
            cost = self.cost_s(view, call, now)
            return cost if view is preferred else cost + NON_PREFERRED_COST_S

        compared = self.compared(candidates, preferred, now)
        return min(compared, key=lambda view: (cost_s(view), view.record.server_id))

    def compared(
        self,
        candidates: Sequence[ServerView],
        preferred: ServerView | None,
        now: float,
    ) -> Sequence[ServerView]:
        """Return the candidates whose costs are compared; all by default."""
        return candidates

    @abstractmethod
    def cost_s(self, view: ServerView, call: AssignServer, now: float) -> float:
        """Return the estimated time to the first event of a request."""


class LowestCost(ServerSelection):
    """Takes all servers as equally fast."""

    def cost_s(self, view: ServerView, call: AssignServer, now: float) -> float:
        """Return the cost of the requests at a server, without its speed."""
        return view.cost_s(call, self._zone, now)


class LowestExpectedTime(ServerSelection):
    """Compares a few servers, with the speed and the present spell of each."""

    def __init__(self, zone: str, sampler: Sampler) -> None:
        """Initialize with the zone of this gateway and the servers to compare."""
        super().__init__(zone)
        self._sampler = sampler

    def compared(
        self,
        candidates: Sequence[ServerView],
        preferred: ServerView | None,
        now: float,
    ) -> Sequence[ServerView]:
        """Return a few servers and the preferred one, which may have the prompt."""
        examined = self._sampler.shortlist(candidates)
        drawn = self._sampler.sample([view.contender(now) for view in examined])
        compared = [view for view in examined if view.record.server_id in drawn]
        return compared if preferred is None else [*compared, preferred]

    def cost_s(self, view: ServerView, call: AssignServer, now: float) -> float:
        """Return the time to the first event that the server's answers suggest."""
        return view.expected_first_event_s(call, self._zone, now)


def selection_for(
    scheduling: SchedulingSettings, zone: str, rng: random.Random
) -> ServerSelection:
    """Return the selection that the settings ask for."""
    if scheduling.speed_estimates:
        return LowestExpectedTime(zone, RandomFew(rng))
    return LowestCost(zone)


def preferred_server(
    candidates: Sequence[ServerView], call: AssignServer
) -> ServerView | None:
    """Return the server that all gateways prefer for the prompt's first part."""
    if not call.parts:
        return None
    key = f"{call.model}/{call.adapter}/{call.parts[0].part_id}"
    return max(candidates, key=lambda view: score(key, view.record.server_id))
