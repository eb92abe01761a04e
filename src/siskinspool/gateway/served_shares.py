"""How many of the served requests have a prompt part.

A part that most requests share is in any crash by chance. Its share of the served
requests says how probable that is.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final

import attrs

# The counts decay with this time constant, so they follow a change of the requests.
DECAY_S: Final = 30.0
# Added to the count of all requests, so that few requests prove no large share.
PRIOR_REQUESTS: Final = 10.0
# Parts whose count is kept.
MAX_PARTS: Final = 4096


@attrs.define
class _DecayingCount:
    """A count that decays; times are in seconds."""

    value: float = 0.0
    at: float = -math.inf

    def at_time(self, now: float) -> float:
        """Return the count, decayed to a time."""
        return self.value * math.exp(min(self.at - now, 0.0) / DECAY_S)

    def add(self, now: float) -> None:
        """Count one more."""
        self.value = self.at_time(now) + 1.0
        self.at = max(self.at, now)


class ServedShares:
    """The shares of parts in the served requests of this gateway."""

    def __init__(self) -> None:
        # All requests since the start of the process.
        self.request_count = 0
        self._requests = _DecayingCount()
        self._count_by_part: OrderedDict[str, _DecayingCount] = OrderedDict()

    def record_request(self, part_ids: Iterable[str], at: float) -> None:
        """Record a served request with these parts."""
        self.request_count += 1
        self._requests.add(at)
        for part_id in set(part_ids):
            self._count_by_part.setdefault(part_id, _DecayingCount()).add(at)
            self._count_by_part.move_to_end(part_id)
        while len(self._count_by_part) > MAX_PARTS:
            self._count_by_part.popitem(last=False)

    def share(self, part_id: str, now: float) -> float:
        """Return the share of requests with a part, rather too low than too high."""
        count = self._count_by_part.get(part_id)
        if count is None:
            return 0.0
        all_requests = self._requests.at_time(now) + PRIOR_REQUESTS
        return min(count.at_time(now) / all_requests, 1.0)
