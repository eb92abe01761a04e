"""Short spells in which a server is slower than it lastingly is."""

from __future__ import annotations

import math
from typing import Final

import attrs

from .robust_mean import RobustMean

# Half-life of a stated slowdown: the figure changes many times a second, and spells
# last some 600 ms.
SLOWDOWN_HALF_LIFE_S: Final = 0.1
# Stated slowdowns beyond this are taken as false.
MAX_SLOWDOWN: Final = 4.0


@attrs.define
class SpellEstimate:
    """Separates the stated slowdown into its usual value and the present spell."""

    # Logarithm of the slowdown that the server usually states.
    _usual: RobustMean = attrs.field(factory=RobustMean)
    _log_ratio: float = 0.0
    _stated_at: float = -math.inf

    def record(self, slowdown: float, now: float) -> None:
        """Record a stated slowdown."""
        limited = min(max(slowdown, 1.0 / MAX_SLOWDOWN), MAX_SLOWDOWN)
        self._usual.add(math.log(limited))
        self._log_ratio = math.log(limited) - self._usual.value
        self._stated_at = now

    def ratio(self, now: float) -> float:
        """Return how much longer work takes now than usual at this server."""
        age_s = max(now - self._stated_at, 0.0)
        return math.exp(self._log_ratio * 0.5 ** (age_s / SLOWDOWN_HALF_LIFE_S))
