"""Choice of a server among the candidates for a call.

The default compares two random candidates. Reports are delayed, so if every instance
chose the lowest reported load, all would pick the same server until its next report.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final

import attrs

# Above this load, servers in the own zone compete with those of other zones.
SPILL_LOAD_RATIO: Final = 0.75
# Penalty for a server in another zone, in units of load ratio: zones are 1 to 1.5 ms
# apart, so a small load difference does not justify leaving the own zone.
REMOTE_PENALTY: Final = 0.1


@attrs.frozen
class Candidate:
    """A server to which the call may be sent now."""

    server_id: str
    # 0 for the own zone, 1 for others.
    zone_rank: int
    # Estimated load as a fraction of capacity.
    load_ratio: float
    # Reward for a cached prompt prefix, in units of load ratio.
    prefix_bonus: float = 0.0
    # The call would be the probe of a half-open circuit breaker.
    is_probe: bool = False

    @property
    def score(self) -> float:
        """Return the cost of choosing this server; lower is better."""
        return self.load_ratio + self.zone_rank * REMOTE_PENALTY - self.prefix_bonus


@attrs.frozen(kw_only=True)
class ServerRun:
    """A call that a server has answered."""

    server_id: str
    # Changes with every start of the server; empty if unknown.
    boot_id: str
    took_s: float
    # Mean of the recent calls of the same queue.
    mean_s: float


class CandidateChooser(ABC):
    """Strategy for choosing one server."""

    @abstractmethod
    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return the server to use; None if there is no candidate."""

    def record_run(self, run: ServerRun) -> None:  # noqa: B027
        """Record how long a call took; ignored by default."""

    def keep_only(self, server_ids: frozenset[str]) -> None:  # noqa: B027
        """Forget servers that have left the catalog; nothing is kept by default."""


class TwoRandomChoices(CandidateChooser):
    """Compares two random candidates and the one with the longest cached prefix."""

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
        # Two random servers rarely include the one that has cached the prefix.
        cached = max(candidates, key=lambda candidate: candidate.prefix_bonus)
        if cached.prefix_bonus > 0:
            picked.append(cached)
        return min(picked, key=lambda candidate: candidate.score)

    def _pick(self, candidates: list[Candidate]) -> list[Candidate]:
        return self._rng.sample(candidates, min(2, len(candidates)))
