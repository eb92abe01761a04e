"""Choice of a server among those that can take a call.

The default compares two random candidates, which with late reports spreads load far
better than taking the lowest reported load: many instances would all pick the same
server until its next report.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final

import attrs

# Own-zone servers above this load compete with those of other zones.
SPILL_LOAD_RATIO: Final = 0.75
# Load difference that is worth leaving the own zone for: zones are 1 to 1.5 ms apart,
# so a small difference is not.
REMOTE_PENALTY: Final = 0.1


@attrs.frozen
class Candidate:
    """A server that may take the call now."""

    server_id: str
    # 0 for the own zone, 1 for others.
    zone_rank: int
    # Estimated load as a part of capacity.
    load_ratio: float
    # How much of the prompt's prefix is cached, in units of load ratio.
    prefix_bonus: float = 0.0
    # The call would be the breaker's probe.
    is_probe: bool = False

    @property
    def score(self) -> float:
        """Return the cost of choosing this server; lower is better."""
        return self.load_ratio + self.zone_rank * REMOTE_PENALTY - self.prefix_bonus


class CandidateChooser(ABC):
    """Chooses one server."""

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return the server to use; None if there is no candidate."""


class TwoRandomChoices(CandidateChooser):
    """The better of two random candidates, and of the one with the best prefix."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return the server to use; None if there is no candidate."""
        if not candidates:
            return None
        local = [candidate for candidate in candidates if candidate.zone_rank == 0]
        picked = self._pick(local)
        if all(candidate.load_ratio >= SPILL_LOAD_RATIO for candidate in picked):
            picked += self._pick([c for c in candidates if c.zone_rank != 0])
        # A cached prefix is rarely at one of two random servers.
        cached = max(candidates, key=lambda candidate: candidate.prefix_bonus)
        if cached.prefix_bonus > 0:
            picked.append(cached)
        return min(picked, key=lambda candidate: candidate.score)

    def _pick(self, candidates: list[Candidate]) -> list[Candidate]:
        return self._rng.sample(candidates, min(2, len(candidates)))
