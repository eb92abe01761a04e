"""Places kept for requesters that were told when to come back.

A refused requester's next attempt has another request id and may arrive at another
gateway. Each gateway therefore keeps as many places for a team and target as it has
promised, and lets any later attempt of the team for the target claim one: of what all
gateways promise, about as many retries arrive at each as it has promised itself.

A place is kept inside the team's own share: first attempts of the same team leave it
free. First attempts of other teams have their own shares; holding them back as well
would let a team delay its neighbours by being refused often.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum
from typing import Final

import attrs

from .promise import Promise
from .waiting_order import Target

# A retry this much before the promised time still claims its place.
EARLY_S: Final = 0.25
# A claimed place must be given within this time after the retry's arrival.
KEPT_WITHIN_S: Final = 1.0
# Promises kept at a time for one team and target; further refused requesters have none.
MAX_PROMISES: Final = 256


class PromiseEnd(StrEnum):
    """What became of a claimed promise."""

    KEPT = "promise_kept"
    # The retry got a place, but later than promised.
    LATE = "promise_broken_late"
    # The retry was refused, too.
    REFUSED = "promise_broken_refused"


@attrs.frozen
class PromiseKey:
    """The team and target whose places are kept."""

    team: str
    target: Target


class KeptPlaces:
    """The unclaimed promises of one gateway; times are monotonic seconds."""

    def __init__(self) -> None:
        self._promises_by_key: dict[PromiseKey, list[Promise]] = {}
        self.count_by_end: Counter[PromiseEnd] = Counter()

    def promise(self, key: PromiseKey, promise: Promise) -> None:
        """Keep a place for a refused requester that will retry."""
        promises = self._promises_by_key.setdefault(key, [])
        if len(promises) < MAX_PROMISES:
            promises.append(promise)

    def claim(self, key: PromiseKey, now: float) -> Promise | None:
        """Return the earliest promise that a later attempt can claim."""
        claimable = [
            promise
            for promise in self._open_promises(key, now)
            if promise.due_at - EARLY_S <= now
        ]
        if not claimable:
            return None
        claimed = min(claimable, key=lambda item: item.due_at)
        self._promises_by_key[key].remove(claimed)
        return claimed

    def due_count(self, key: PromiseKey, now: float) -> int:
        """Return how many places the team's first attempts must leave free."""
        return sum(item.is_due(now) for item in self._open_promises(key, now))

    def record_end(self, arrived_at: float, now: float, *, is_served: bool) -> None:
        """Count a claimed promise whose retry got a place or was refused."""
        if not is_served:
            self.count_by_end[PromiseEnd.REFUSED] += 1
        elif now <= arrived_at + KEPT_WITHIN_S:
            self.count_by_end[PromiseEnd.KEPT] += 1
        else:
            self.count_by_end[PromiseEnd.LATE] += 1

    def drop_expired(self, now: float) -> None:
        """Drop the promises whose retry has not come."""
        for key in list(self._promises_by_key):
            self._open_promises(key, now)

    def _open_promises(self, key: PromiseKey, now: float) -> list[Promise]:
        known = self._promises_by_key.get(key, [])
        promises = [promise for promise in known if promise.is_open(now)]
        if promises:
            self._promises_by_key[key] = promises
        else:
            self._promises_by_key.pop(key, None)
        return promises
