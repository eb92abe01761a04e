"""Choice of a server by its speed, as its answers show it."""

from __future__ import annotations

import random
from collections.abc import Sequence

import attrs

from ..pace.sampling import Contender, RandomFew
from ..pace.speed import FleetSpeed, SpeedEstimate, WorkKind
from .candidate import Candidate, CandidateChooser, ServerRun


@attrs.define
class _KnownSpeed:
    """The speed of one start of a server."""

    boot_id: str
    estimate: SpeedEstimate


class SpeedChoices(CandidateChooser):
    """Compares a few candidates, drawn by speed, and the one with the longest prefix.

    A run is compared with the mean run of its queue, so that calls of all sizes say
    something about the speed.
    """

    def __init__(self, rng: random.Random) -> None:
        """Initialize with a random source."""
        self._sampler = RandomFew(rng)
        self._fleet = FleetSpeed()
        self._speed_by_server: dict[str, _KnownSpeed] = {}

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        """Return the server to use; None if there is no candidate."""
        if not candidates:
            return None
        examined = self._sampler.shortlist(candidates)
        drawn = self._sampler.sample([self._contender(one) for one in examined])
        picked = [one for one in examined if one.server_id in drawn]
        # A few random servers rarely include the one that has cached the prefix.
        cached = max(candidates, key=lambda candidate: candidate.prefix_bonus)
        if cached.prefix_bonus > 0:
            picked.append(cached)
        return min(picked, key=self._cost)

    def record_run(self, run: ServerRun) -> None:
        """Record a run; after a restart of the server, its estimate starts anew."""
        known = self._speed_by_server.get(run.server_id)
        if known is None or known.boot_id != run.boot_id:
            known = _KnownSpeed(run.boot_id, SpeedEstimate(self._fleet))
            self._speed_by_server[run.server_id] = known
        known.estimate.record(WorkKind.SHORT_CALL, run.took_s, run.mean_s)

    def keep_only(self, server_ids: frozenset[str]) -> None:
        """Forget all other servers."""
        for server_id in self._speed_by_server.keys() - server_ids:
            del self._speed_by_server[server_id]

    def _slowdown(self, server_id: str) -> float:
        known = self._speed_by_server.get(server_id)
        return 1.0 if known is None else known.estimate.slowdown

    def _contender(self, candidate: Candidate) -> Contender:
        speed = 1.0 / self._slowdown(candidate.server_id)
        return Contender(candidate.server_id, speed, not candidate.is_probe)

    def _cost(self, candidate: Candidate) -> float:
        """Return the score, with the load at the speed at which it is worked off."""
        excess = self._slowdown(candidate.server_id) - 1.0
        # The call itself takes longer, too, even at an idle server.
        return candidate.score + (1.0 + candidate.load_ratio) * excess
