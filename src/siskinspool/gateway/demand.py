"""Recent demand for models and adapters, decaying with time."""

from __future__ import annotations

import math
from typing import Final

import attrs

# Demand of the past counts half after this time.
DEMAND_HALF_LIFE_S: Final = 8.0
# Less than this is forgotten, in tokens.
LEAST_TOKENS: Final = 1.0


@attrs.define
class _Seen:
    """Demand of one model, decaying."""

    tokens: float
    at: float


class Demand:
    """Prompt tokens wanted of each model in the recent past."""

    def __init__(self) -> None:
        self._seen_by_target: dict[str, _Seen] = {}

    def add(self, target: str, tokens: float, now: float) -> None:
        """Count tokens for a model or adapter."""
        seen = self._seen_by_target.get(target)
        if seen is None:
            self._seen_by_target[target] = _Seen(tokens, now)
        else:
            seen.tokens = self._decayed(seen, now) + tokens
            seen.at = now

    def tokens_per_s(self, target: str, now: float) -> float:
        """Return the recent rate of a model or adapter."""
        seen = self._seen_by_target.get(target)
        if seen is None:
            return 0.0
        # A steady rate r adds up to r x half-life / ln 2.
        return self._decayed(seen, now) * math.log(2) / DEMAND_HALF_LIFE_S

    def last_at(self, target: str) -> float:
        """Return when a model or adapter was last wanted."""
        seen = self._seen_by_target.get(target)
        return float("-inf") if seen is None else seen.at

    def recent_tokens(self, now: float) -> dict[str, int]:
        """Return the decayed tokens of all models and adapters."""
        tokens_by_target = {
            target: int(self._decayed(seen, now))
            for target, seen in self._seen_by_target.items()
        }
        return {
            target: tokens
            for target, tokens in tokens_by_target.items()
            if tokens >= LEAST_TOKENS
        }

    @staticmethod
    def _decayed(seen: _Seen, now: float) -> float:
        age_s = max(now - seen.at, 0.0)
        return float(seen.tokens * 0.5 ** (age_s / DEMAND_HALF_LIFE_S))
