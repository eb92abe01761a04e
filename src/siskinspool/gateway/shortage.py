"""Models that requests ask for while no server has them ready.

A shortage begins with the first requester of a model that no server can serve, and ends
when a server has the model. It knows the requesters that are still there, each with its
last moment, and counts all that have come meanwhile: a requester counts once, however
often it asks.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

# More new requesters of one model than this are not told apart.
MOST_FRESH: Final = 64


@attrs.define
class Shortage:
    """The requesters of one model since it was last ready; times are in seconds."""

    since: float
    # Requesters so far.
    asked: int = 0
    # Until when the requesters that are there can be served, by gateway and adapter.
    until_by_source: dict[tuple[str, str], tuple[float, ...]] = attrs.field(
        factory=dict
    )
    # When the latest of them came.
    came_at: list[float] = attrs.field(factory=list)

    def take(
        self,
        source: tuple[str, str],
        reach_s: Iterable[float],
        fresh_reach_s: Iterable[float],
        now: float,
    ) -> None:
        """Take in all requesters of a gateway that are there, and the new ones."""
        self.until_by_source[source] = tuple(now + seconds for seconds in reach_s)
        fresh = [now for _ in fresh_reach_s]
        self.asked += len(fresh)
        self.came_at = (self.came_at + fresh)[-MOST_FRESH:]

    def reachable(self, at: float) -> int:
        """Return how many of the requesters can still be served at a time."""
        return sum(
            1
            for until in self.until_by_source.values()
            for last_moment in until
            if last_moment >= at
        )

    def came_since(self, at: float) -> int:
        """Return how many of the latest requesters came after a time."""
        return sum(1 for came_at in self.came_at if came_at > at)


class Shortages:
    """The shortages of one service, by model."""

    def __init__(self) -> None:
        self._by_model: dict[str, Shortage] = {}

    def take(
        self,
        model: str,
        source: tuple[str, str],
        reach_s: tuple[float, ...],
        fresh_reach_s: tuple[float, ...],
        now: float,
    ) -> None:
        """Take in who asks for a model that no server has ready."""
        if model not in self._by_model and (reach_s or fresh_reach_s):
            self._by_model[model] = Shortage(now)
        if shortage := self._by_model.get(model):
            shortage.take(source, reach_s, fresh_reach_s, now)

    def end(self, model: str) -> Shortage | None:
        """Return the shortage of a model that is ready now, and forget it."""
        return self._by_model.pop(model, None)

    def asked(self, model: str) -> int:
        """Return the requesters of a model since it was last ready."""
        shortage = self._by_model.get(model)
        return 0 if shortage is None else shortage.asked

    def reachable(self, model: str, at: float) -> int:
        """Return how many requesters of a model can still be served at a time."""
        shortage = self._by_model.get(model)
        return 0 if shortage is None else shortage.reachable(at)

    def came_since(self, model: str, at: float) -> int:
        """Return how many new requesters of a model came after a time."""
        shortage = self._by_model.get(model)
        return 0 if shortage is None else shortage.came_since(at)

    def get(self, model: str) -> Shortage | None:
        """Return the shortage of a model, if there is one."""
        return self._by_model.get(model)

    def __len__(self) -> int:
        """Return how many models requests ask for in vain."""
        return len(self._by_model)
