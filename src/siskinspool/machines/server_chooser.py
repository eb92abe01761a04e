"""Choice of the server for a load.

`ServerChooser` is the interface. `LowestCostChooser` chooses by a cost in seconds: the
expected load time, the value of the replicas that would be unloaded, and penalties for
server load, little free memory, a zone that already has a replica, and a ramp.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final

import attrs

from .eviction import EvictionGroup
from .messages import CheckpointTier

# Waiting for the unloads of eviction candidates takes a few reports.
_EVICTION_COST_S: Final = 2.0
_FULL_LOAD_COST_S: Final = 4.0
_FULL_MEMORY_COST_S: Final = 0.5
_SAME_ZONE_COST_S: Final = 1.0
# A ramping server takes about this long to full capacity.
_RAMP_COST_S: Final = 10.0


@attrs.frozen
class ServerCandidate:
    """A server on which the load is possible."""

    server_id: str
    zone: str
    tier: CheckpointTier
    expected_load_s: float
    # Memory left after the load, before any unload; negative if something must be
    # unloaded.
    remaining_mib: int
    memory_mib: int
    eviction_candidates: tuple[EvictionGroup, ...]
    # Running and queued requests divided by the server's capacity.
    load: float
    replicas_in_zone: int
    is_ramping: bool


class ServerChooser(ABC):
    """Chooses one of the servers on which a load is possible."""

    @abstractmethod
    def choose(self, candidates: Sequence[ServerCandidate]) -> ServerCandidate | None:
        """Return the best candidate, or None if there is none."""


class LowestCostChooser(ServerChooser):
    """Chooses the lowest cost in seconds; the server id breaks ties."""

    def choose(self, candidates: Sequence[ServerCandidate]) -> ServerCandidate | None:
        """Return the candidate with the lowest cost."""
        return min(
            candidates, key=lambda c: (self.cost_s(c), c.server_id), default=None
        )

    def cost_s(self, candidate: ServerCandidate) -> float:
        """Return the cost of a load on a candidate in seconds."""
        cost = candidate.expected_load_s + _FULL_LOAD_COST_S * candidate.load
        cost += _SAME_ZONE_COST_S * candidate.replicas_in_zone
        cost += _RAMP_COST_S if candidate.is_ramping else 0.0
        if candidate.eviction_candidates:
            reload_cost = sum(
                group.reload_cost for group in candidate.eviction_candidates
            )
            cost += _EVICTION_COST_S * (1.0 + reload_cost)
        used = 1.0 - max(candidate.remaining_mib, 0) / max(candidate.memory_mib, 1)
        return cost + _FULL_MEMORY_COST_S * used
