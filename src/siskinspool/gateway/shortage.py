"""Models that requests ask for while no server has them ready.

A shortage begins with the first request for a model that no server can serve, and ends
when a server has the model. It counts the requests meanwhile and knows until when each
of their requesters can still be served: one that is refused comes back, so that may be
later than its request waits.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

import attrs

# More requesters of one model than this are not told apart.
MOST_REQUESTERS: Final = 64


@attrs.define
class Shortage:
    """The requests for one model since it was last ready; times are in seconds."""

    since: float
    # Requests so far.
    asked: int = 0
    # Until when the latest requesters can be served, and when they asked.
    served_until: list[float] = attrs.field(factory=list)
    asked_at: list[float] = attrs.field(factory=list)

    def ask(self, reach_s: Iterable[float], now: float) -> None:
        """Count requests whose requesters can be served for some more seconds."""
        until = [now + seconds for seconds in reach_s]
        self.asked += len(until)
        still = [at for at in self.served_until if at > now]
        self.served_until = (still + until)[-MOST_REQUESTERS:]
        self.asked_at = (self.asked_at + [now] * len(until))[-MOST_REQUESTERS:]

    def reachable(self, at: float) -> int:
        """Return how many of the requesters can still be served at a time."""
        return sum(1 for until in self.served_until if until >= at)

    def asked_since(self, at: float) -> int:
        """Return how many of the latest requests came after a time."""
        return sum(1 for asked_at in self.asked_at if asked_at > at)


class Shortages:
    """The shortages of one service, by model."""

    def __init__(self) -> None:
        self._by_model: dict[str, Shortage] = {}

    def ask(self, model: str, reach_s: Iterable[float], now: float) -> None:
        """Record that requests ask for a model that no server has ready."""
        shortage = self._by_model.setdefault(model, Shortage(now))
        shortage.ask(reach_s, now)

    def end(self, model: str) -> Shortage | None:
        """Return the shortage of a model that is ready now, and forget it."""
        return self._by_model.pop(model, None)

    def asked(self, model: str) -> int:
        """Return the requests for a model since it was last ready."""
        shortage = self._by_model.get(model)
        return 0 if shortage is None else shortage.asked

    def reachable(self, model: str, at: float) -> int:
        """Return how many requesters of a model can still be served at a time."""
        shortage = self._by_model.get(model)
        return 0 if shortage is None else shortage.reachable(at)

    def asked_since(self, model: str, at: float) -> int:
        """Return how many requests for a model came after a time."""
        shortage = self._by_model.get(model)
        return 0 if shortage is None else shortage.asked_since(at)

    def get(self, model: str) -> Shortage | None:
        """Return the shortage of a model, if there is one."""
        return self._by_model.get(model)

    def __len__(self) -> int:
        """Return how many models requests ask for in vain."""
        return len(self._by_model)
