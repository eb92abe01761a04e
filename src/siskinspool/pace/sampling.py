"""Which servers are compared for a request.

Load figures are some 200 ms old. If each of many senders compared all servers, all
would send to the one that looked best until its next figure. A random few, drawn by
speed, spread the requests, and the comparison still avoids the loaded ones.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final

import attrs

# Servers that are compared. On a simulated site with 24 servers, 2 and 3 left the
# busiest server above 1.3 times the mean at low load; 6 sent fewer requests to the
# servers that had cached their prompts.
FEW: Final = 4


@attrs.frozen
class Contender:
    """A server that may be compared."""

    server_id: str
    # Lasting speed; servers are drawn in proportion to it.
    speed: float
    # Neither full nor slowed nor failing, as far as is known.
    is_good: bool


class Sampler(ABC):
    """Selects the servers to compare."""

    @abstractmethod
    def sample(self, contenders: Sequence[Contender]) -> set[str]:
        """Return the ids of the servers to compare; empty without contenders."""


class RandomFew(Sampler):
    """Draws a few of the good servers, or of all if too few are good."""

    def __init__(self, rng: random.Random, count: int = FEW) -> None:
        self._rng = rng
        self._count = count

    def sample(self, contenders: Sequence[Contender]) -> set[str]:
        """Return the ids of servers drawn without repetition."""
        good = [one for one in contenders if one.is_good]
        drawn = good if len(good) >= self._count else contenders
        # The largest of these keys are a weighted sample (Efraimidis and Spirakis).
        ranked = sorted(
            drawn, key=lambda one: self._rng.random() ** (1.0 / one.speed), reverse=True
        )
        return {one.server_id for one in ranked[: self._count]}
