"""The value of a weight-store slot for a model, and a cache of these values.

Each estimate of when a load can start compares the model with all that wait for the
store, and there are hundreds of estimates a second.
"""

from __future__ import annotations

from typing import Final

import attrs

# A value follows the clock this closely. It follows requests for its model at once.
RANK_TTL_S: Final = 0.2


@attrs.frozen
class StoreSlotRank:
    """The value of a store slot for a model; the one with the greatest key is first."""

    # Requesters that the load is expected to serve.
    requesters: float
    # Duration of the model's shortage, in seconds.
    shortage_s: float
    tokens_per_s: float
    key: tuple[float, float, float] = attrs.field(init=False)

    @key.default
    def _make_key(self) -> tuple[float, float, float]:
        return self.requesters, self.shortage_s, self.tokens_per_s


@attrs.frozen
class _CachedRank:
    rank: StoreSlotRank
    computed_at: float
    # Some server had a copy of the model.
    has_copy: bool


class RankCache:
    """The last rank of each model, by its number of waiting requests."""

    def __init__(self) -> None:
        self._rank_by_model: dict[str, dict[int, _CachedRank]] = {}

    def find(
        self, model: str, waiting: int, *, has_copy: bool, now: float
    ) -> StoreSlotRank | None:
        """Return a rank that is recent enough, or None."""
        found = self._rank_by_model.get(model, {}).get(waiting)
        if found is None or found.has_copy != has_copy:
            return None
        return found.rank if now - found.computed_at < RANK_TTL_S else None

    def add(
        self,
        model: str,
        waiting: int,
        rank: StoreSlotRank,
        *,
        has_copy: bool,
        now: float,
    ) -> None:
        """Keep a rank, and drop the model's outdated ones."""
        kept = {
            other: cached
            for other, cached in self._rank_by_model.get(model, {}).items()
            if now - cached.computed_at < RANK_TTL_S
        }
        kept[waiting] = _CachedRank(rank, now, has_copy)
        self._rank_by_model[model] = kept

    def forget(self, model: str) -> None:
        """Drop the ranks of a model whose requesters have changed."""
        self._rank_by_model.pop(model, None)

    def clear(self) -> None:
        """Drop all ranks."""
        self._rank_by_model.clear()
