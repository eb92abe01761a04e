"""How many loads from the weight store run at a time.

The store serves a few loads at full speed and slows all of them beyond, which the
platform does not announce. A server does nothing else while it loads, so loads that
slow each other down take servers away for nothing. The limit follows the durations:
a load that took longer than it should shows how many the store really carries, and one
that was on time at the limit allows one more. How long a load takes is settled by the
loads that run as it begins; later ones do not slow it down. The load of a server that
is lost goes on in the store until its time is over.
"""

from __future__ import annotations

import logging
import math
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
# The part of a load by which the durations may seem to show less than the store
# carries. Loads that nobody counted slow others down; a limit that is too low leaves
# the store unused, while one that is too high only makes loads longer.
CARRIED_MARGIN: Final = 0.2
# A number of loads that proved slow is not tried again for this time, since the trial
# takes longer than requesters wait. One at a time is always tried again.
SLOW_MEMORY_S: Final = 60.0


@attrs.frozen
class _RunningLoad:
    """A load under way; times are in seconds."""

    since: float
    # At full speed.
    full_speed_s: float
    # The loads that ran at its start, itself included.
    at_once: int
    expected_s: float


class StoreLoads:
    """The loads from the weight store under way, by server."""

    def __init__(self) -> None:
        self.limit = FIRST_LIMIT
        self._running_by_server: dict[str, _RunningLoad] = {}
        # So many loads at once were slow, and when.
        self._slow_at_once = math.inf
        self._slow_at = -math.inf
        # When the loads of servers that are lost end in the store.
        self._lost_until: list[float] = []

    @property
    def running(self) -> int:
        """Return how many loads are under way."""
        return len(self._running_by_server) + len(self._lost_until)

    def ends_at(self, server_id: str) -> float:
        """Return when the load of a server is expected to end."""
        load = self._running_by_server[server_id]
        return load.since + load.expected_s

    def servers(self) -> tuple[str, ...]:
        """Return the servers that load."""
        return tuple(self._running_by_server)

    def is_loading(self, server_id: str) -> bool:
        """Return whether a server loads."""
        return server_id in self._running_by_server

    def begin(self, server_id: str, full_speed_s: float, now: float) -> float:
        """Record that a server has begun a load; return how long it is to take."""
        at_once = self.running + 1
        expected_s = full_speed_s * max(at_once / self.limit, 1.0)
        load = _RunningLoad(now, full_speed_s, at_once, expected_s)
        self._running_by_server[server_id] = load
        return expected_s

    def inherit(self, limit: int, now: float) -> None:
        """Take over what an earlier leader has learnt; one more was slow, most likely.

        A store that carries more shows it after a while.
        """
        self.limit = limit
        self._slow_at_once, self._slow_at = limit + 1, now

    def resume(self, server_id: str, remaining_s: float, now: float) -> None:
        """Record a load that an earlier leader began; its duration tells nothing."""
        load = _RunningLoad(now, 0.0, self.running + 1, remaining_s)
        self._running_by_server[server_id] = load

    def end(self, server_id: str, now: float) -> None:
        """Record the end of a load."""
        load = self._running_by_server.pop(server_id, None)
        if load is None or load.full_speed_s <= 0:
            return
        took_s = now - load.since
        before = self.limit
        slow = took_s > load.full_speed_s * SLOW_SHARE + END_SEEN_S
        if slow and load.at_once > 1:
            share = load.at_once * load.full_speed_s / took_s
            carried = math.ceil(share - CARRIED_MARGIN)
            self.limit = min(max(carried, 1), self.limit)
            self._slow_at_once, self._slow_at = self.limit + 1, now
        elif not slow and load.at_once >= self.limit and self._may_rise(now):
            self.limit += 1
        if self.limit != before:
            log_event(
                logger,
                logging.INFO,
                "store_limit",
                limit=self.limit,
                before=before,
                took_s=took_s,
                full_speed_s=load.full_speed_s,
                at_once=load.at_once,
            )

    def _may_rise(self, now: float) -> bool:
        """Return whether one more load at a time may be tried."""
        known_slow = self.limit + 1 >= self._slow_at_once
        recent = now - self._slow_at < SLOW_MEMORY_S
        return self.limit == 1 or not (known_slow and recent)

    def lose(self, server_id: str) -> None:
        """Record that a server is gone; its load goes on in the store for its time."""
        load = self._running_by_server.pop(server_id, None)
        if load is not None:
            self._lost_until.append(load.since + load.expected_s)

    def forget_ended(self, now: float) -> None:
        """Forget the loads of lost servers whose time is over."""
        self._lost_until = [until for until in self._lost_until if until > now]

    def wait_s(self, full_speed_s: float, queued: int) -> float:
        """Return how long another load waits for those under way and in the queue."""
        ahead = self.running + queued
        return full_speed_s * max(ahead - self.limit + 1, 0) / self.limit
