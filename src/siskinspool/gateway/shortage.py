"""Models that requests ask for while no server has them ready.

A shortage begins with the first requester of a model that no server can serve, and ends
when a server has the model. It knows the requesters that are still there, each with its
last moment, and counts all that have come meanwhile: a requester counts once, however
often it asks.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs


@attrs.define
class Shortage:
    """The requesters of one model since it was last ready; times are in seconds."""

    since: float
    # Requesters so far.
    requester_count: int = 0
    # Until when the requesters that are there can be served, by gateway and adapter.
    until_by_source: dict[tuple[str, str], tuple[float, ...]] = attrs.field(
        factory=dict
    )

    def update(
        self,
        source: tuple[str, str],
        reach_s: Iterable[float],
        new: int,
        now: float,
    ) -> None:
        """Take in all requesters of a gateway that are there; some of them are new."""
        until = tuple(now + seconds for seconds in reach_s)
        # Requesters whose time is over have left, also if nobody says so.
        self.until_by_source = {
            other: last_moments
            for other, last_moments in {**self.until_by_source, source: until}.items()
            if last_moments and max(last_moments) > now
        }
        self.requester_count += new

    def reachable_requesters(self, at: float) -> int:
        """Return how many of the requesters can still be served at a time."""
        return sum(
            1
            for until in self.until_by_source.values()
            for last_moment in until
            if last_moment >= at
        )


class Shortages:
    """The shortages of one service, by model."""

    def __init__(self) -> None:
        self._by_model: dict[str, Shortage] = {}

    def update(
        self,
        model: str,
        source: tuple[str, str],
        reach_s: tuple[float, ...],
        new: int,
        now: float,
    ) -> None:
        """Take in who asks for a model that no server has ready."""
        if model not in self._by_model and (reach_s or new):
            self._by_model[model] = Shortage(now)
        if shortage := self._by_model.get(model):
            shortage.update(source, reach_s, new, now)

    def drop_abandoned(self, now: float) -> None:
        """Forget the models all of whose known requesters have left."""
        self._by_model = {
            model: shortage
            for model, shortage in self._by_model.items()
            if shortage.reachable_requesters(now)
        }

    def end(self, model: str) -> Shortage | None:
        """Return the shortage of a model that is ready now, and forget it."""
        return self._by_model.pop(model, None)

    def requester_count(self, model: str) -> int:
        """Return the requesters of a model since it was last ready."""
        shortage = self._by_model.get(model)
        return 0 if shortage is None else shortage.requester_count

    def reachable_requesters(self, model: str, at: float) -> int:
        """Return how many requesters of a model can still be served at a time."""
        shortage = self._by_model.get(model)
        return 0 if shortage is None else shortage.reachable_requesters(at)

    def short_s(self, model: str, now: float) -> float:
        """Return for how long requesters have asked for a model in vain."""
        shortage = self._by_model.get(model)
        return 0.0 if shortage is None else now - shortage.since

    def get(self, model: str) -> Shortage | None:
        """Return the shortage of a model, if there is one."""
        return self._by_model.get(model)

    def __len__(self) -> int:
        """Return how many models requests ask for in vain."""
        return len(self._by_model)
