"""What a gateway knows about places when work waits: free, expected and kept ones.

`OverloadControl` belongs to the routing decision, which tells it what it sends, what
servers state and who waits. It does no I/O.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import attrs

from .kept_places import KeptPlaces, Promise, PromiseEnd, PromiseKey
from .place_forecast import Line, PlaceForecast
from .server_places import ServerPlaces
from .waiting_order import WaitingEntry

# How often the expected waits are compared with the time that requests have.
FORECAST_INTERVAL_S: Final = 0.1
# A request is refused before its time only if even this share of the expected wait is
# too long: a wrong refusal costs more than a wait without success.
CERTAIN_WAIT_SHARE: Final = 0.75


@attrs.define
class OverloadControl:
    """Free, expected and kept places; times are monotonic seconds."""

    places: ServerPlaces = attrs.field(factory=ServerPlaces)
    forecast: PlaceForecast = attrs.field(factory=PlaceForecast)
    kept: KeptPlaces = attrs.field(factory=KeptPlaces)
    _next_forecast_at: float = 0.0
    _wait_by_id: dict[str, float] = attrs.field(factory=dict)

    def is_forecast_due(self, now: float) -> bool:
        """Return whether the expected waits have to be computed again."""
        return now >= self._next_forecast_at

    def update_forecast(self, held: Sequence[WaitingEntry], now: float) -> None:
        """Compute the expected waits.

        ``held`` are the requests that wait because their servers have no place; others
        wait for a model, whose time the leader expects.
        """
        self._next_forecast_at = now + FORECAST_INTERVAL_S
        self.forecast.record_waiting(map(Line.from_entry, held), now)
        self.kept.drop_expired(now)
        self._wait_by_id = self.forecast.waits_s(held, now)

    def expected_wait_s(self, request_id: str) -> float | None:
        """Return how long a request is expected to wait, or None if unknown."""
        return self._wait_by_id.get(request_id)

    def is_hopeless(self, request_id: str, give_up_at: float, now: float) -> bool:
        """Return whether no place is expected before a request gives up."""
        wait_s = self._wait_by_id.get(request_id)
        return wait_s is not None and now + wait_s * CERTAIN_WAIT_SHARE > give_up_at

    def record_end(
        self, promise: Promise | None, arrived_at: float, now: float, *, is_served: bool
    ) -> None:
        """Record that a request got a place or was refused."""
        if promise is not None:
            self.kept.record_end(arrived_at, now, is_served=is_served)

    def make_promise(
        self, entry: WaitingEntry, retry_after_s: float, now: float
    ) -> None:
        """Keep a place for a refused requester that will come back."""
        key = PromiseKey(entry.team, entry.target)
        self.kept.promise(key, Promise(entry.since, now + retry_after_s))

    def due_count(self, entry: WaitingEntry, now: float) -> int:
        """Return how many places are kept from a first attempt now."""
        return self.kept.due_count(PromiseKey(entry.team, entry.target), now)

    def gauges(self) -> dict[str, float]:
        """Return the numbers of kept and broken promises."""
        return {
            f"routing.{end.value}": float(self.kept.count_by_end[end])
            for end in PromiseEnd
        }
