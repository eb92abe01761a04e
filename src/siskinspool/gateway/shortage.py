"""Shortages: models that are requested while no server has them ready.

A shortage starts with the first requester of a model that no server can serve, and ends
when a server has the model ready. It keeps the present requesters with the times until
which they can be served, and counts all requesters since its start. Each requester is
counted once, however often it retries.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs


@attrs.define
class Shortage:
    """The requesters of one model since it was last ready; times are in seconds."""

    since: float
    # Number of requesters so far.
    requester_count: int = 0
    # Times until which present requesters can be served, by gateway and adapter.
    until_by_source: dict[tuple[str, str], tuple[float, ...]] = attrs.field(
        factory=dict
    )

    def update(
        self,
        source: tuple[str, str],
        reach_s: Iterable[float],
        new_requesters: int,
        now: float,
    ) -> None:
        """Replace the present requesters of a gateway and count the new ones."""
        until = tuple(now + seconds for seconds in reach_s)
        # Requesters whose time is over have left, even without a report.
        self.until_by_source = {
            other: last_moments
            for other, last_moments in {**self.until_by_source, source: until}.items()
            if last_moments and max(last_moments) > now
        }
        self.requester_count += new_requesters

    def reachable_requesters(self, at: float) -> int:
        """Return the number of requesters that can still be served at a time."""
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
        new_requesters: int,
        now: float,
    ) -> None:
        """Update the requesters of a model that no server has ready."""
        if model not in self._by_model and (reach_s or new_requesters):
            self._by_model[model] = Shortage(now)
        if shortage := self._by_model.get(model):
            shortage.update(source, reach_s, new_requesters, now)

    def drop_abandoned(self, now: float) -> None:
        """Drop the shortages whose known requesters have all left."""
        self._by_model = {
            model: shortage
            for model, shortage in self._by_model.items()
            if shortage.reachable_requesters(now)
        }

    def end(self, model: str) -> Shortage | None:
        """Remove and return the shortage of a model that is now ready, if any."""
        return self._by_model.pop(model, None)

    def requester_count(self, model: str) -> int:
        """Return the number of requesters of a model since it was last ready."""
        shortage = self._by_model.get(model)
        return 0 if shortage is None else shortage.requester_count

    def reachable_requesters(self, model: str, at: float) -> int:
        """Return how many requesters of a model can still be served at a time."""
        shortage = self._by_model.get(model)
        return 0 if shortage is None else shortage.reachable_requesters(at)

    def short_s(self, model: str, now: float) -> float:
        """Return the duration of a model's shortage in seconds; 0 without one."""
        shortage = self._by_model.get(model)
        return 0.0 if shortage is None else now - shortage.since

    def get(self, model: str) -> Shortage | None:
        """Return the shortage of a model, if there is one."""
        return self._by_model.get(model)

    def __len__(self) -> int:
        """Return the number of models with a shortage."""
        return len(self._by_model)
