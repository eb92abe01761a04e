"""Which servers are compared for a request.

Load figures are some 200 ms old. If each of many senders compared all servers, all
would send to the one that looked best until its next figure. A random few, drawn by
speed, spread the requests, and the comparison still avoids the loaded ones.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence
from typing import Final, TypeVar

import attrs

# Servers that are compared. Fewer leave the load uneven; more concentrate the requests
# of all senders on the same server.
FEW: Final = 4
# Fewer of a small number, since comparing nearly all is what the sample is to prevent.
MIN_FEW: Final = 2
# Servers that are examined for a sample, to bound its cost on a large site.
MAX_CONTENDERS: Final = 32

T = TypeVar("T")


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
    def shortlist(self, servers: Sequence[T]) -> Sequence[T]:
        """Return the servers to examine as contenders."""

    @abstractmethod
    def sample(self, contenders: Sequence[Contender]) -> set[str]:
        """Return the ids of the servers to compare; empty without contenders."""


class RandomFew(Sampler):
    """Draws a few of the good servers, or of all if too few are good."""

    def __init__(self, rng: random.Random, most: int = FEW) -> None:
        """Initialize with a random source and the most servers to compare."""
        self._rng = rng
        self._most = most

    def shortlist(self, servers: Sequence[T]) -> Sequence[T]:
        """Return all servers, or random ones of a large number."""
        if len(servers) <= MAX_CONTENDERS:
            return servers
        return self._rng.sample(servers, MAX_CONTENDERS)

    def sample(self, contenders: Sequence[Contender]) -> set[str]:
        """Return the ids of servers drawn without repetition."""
        count = min(self._most, max(len(contenders) // 2, MIN_FEW))
        good = [one for one in contenders if one.is_good]
        drawn = good if len(good) >= count else contenders
        # The largest of these keys are a weighted sample (Efraimidis and Spirakis).
        ranked = sorted(
            drawn, key=lambda one: self._rng.random() ** (1.0 / one.speed), reverse=True
        )
        return {one.server_id for one in ranked[:count]}
