"""How many loads from the weight store run at a time.

The store serves a few loads at full speed and slows all of them beyond, which the
platform does not announce. A server does nothing else while it loads, so loads that
slow each other down take servers away for nothing. The limit follows the durations:
a load that took longer than it should shows how many the store really carries, and one
that was on time at the limit allows one more. How long a load takes is settled by the
loads that run as it begins; later ones do not slow it down.
"""

from __future__ import annotations

import logging
from typing import Final

import attrs

from ..telemetry.logs import log_event

logger = logging.getLogger(__name__)

# Before the first load has ended.
FIRST_LIMIT: Final = 4
# A load that takes longer than this share of its time was slowed down; the rest is
# the time until its end is seen.
SLOW_SHARE: Final = 1.15
END_SEEN_S: Final = 0.4


@attrs.frozen
class _RunningLoad:
    """A load under way."""

    since: float
    # The loads that ran at its start, itself included.
    at_once: int


class StoreLoads:
    """The loads from the weight store under way, by server."""

    def __init__(self) -> None:
        self.limit = FIRST_LIMIT
        self._running_by_server: dict[str, _RunningLoad] = {}

    @property
    def running(self) -> int:
        """Return how many loads are under way."""
        return len(self._running_by_server)

    def servers(self) -> tuple[str, ...]:
        """Return the servers that load."""
        return tuple(self._running_by_server)

    def has_room(self) -> bool:
        """Return whether another load would run at full speed."""
        return self.running < self.limit

    def begin(self, server_id: str, now: float) -> None:
        """Record that a server has begun a load."""
        self._running_by_server[server_id] = _RunningLoad(now, self.running + 1)

    def end(self, server_id: str, full_speed_s: float, now: float) -> None:
        """Record the end of a load that takes a known time at full speed."""
        load = self._running_by_server.pop(server_id, None)
        if load is None or full_speed_s <= 0:
            return
        took_s = now - load.since
        before = self.limit
        slow = took_s > full_speed_s * SLOW_SHARE + END_SEEN_S
        if slow and load.at_once > 1:
            carried = round(load.at_once * full_speed_s / took_s)
            self.limit = min(max(carried, 1), self.limit)
        elif not slow and load.at_once >= self.limit:
            self.limit += 1
        if self.limit != before:
            log_event(
                logger,
                logging.INFO,
                "store_limit",
                limit=self.limit,
                before=before,
                took_s=took_s,
                full_speed_s=full_speed_s,
                at_once=load.at_once,
            )

    def drop(self, server_id: str) -> None:
        """Forget the load of a server that is gone; its duration says nothing."""
        self._running_by_server.pop(server_id, None)

    def wait_s(self, full_speed_s: float, queued: int) -> float:
        """Return how long another load waits for those under way and in the queue."""
        ahead = self.running + queued
        return full_speed_s * max(ahead - self.limit + 1, 0) / self.limit
