"""How many loads from the weight store run at a time.

The store serves a few loads at full speed and slows all of them beyond, which the
platform does not announce. A server does nothing else while it loads, so loads that
slow each other down take servers away for nothing. The limit follows the durations:
a load that took longer than it should shows how many the store really carries, and one
that was on time at the limit allows one more. How long a load takes is settled by the
loads that run as it begins; later ones do not slow it down. A load under way that is
late lowers the limit until its end shows the figure. The load of a server that is lost
goes on in the store until its time is over.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Container, Iterable
from heapq import heapify, heappop, heappush
from typing import Final

import attrs

from ..telemetry.logs import log_event

logger = logging.getLogger(__name__)

# Before the first load has ended.
INITIAL_LIMIT: Final = 3
# A load that takes longer than this share of its time was slowed down; the rest is
# the time until its end is seen.
SLOW_RATIO: Final = 1.15
END_DETECTION_S: Final = 0.4
# The part of a load by which the durations may seem to show less than the store
# carries. Loads that nobody counted slow others down; a limit that is too low leaves
# the store unused, while one that is too high only makes loads longer.
CAPACITY_MARGIN: Final = 0.2
# Below this, a load under way lowers the limit only as far as its time shows: an end
# that is seen late must not leave half of the store unused.
MIN_LATE_LIMIT: Final = 2
# A number of loads that proved slow is not tried again for this time, since the trial
# takes longer than requesters wait. One at a time is always tried again.
SLOW_TTL_S: Final = 60.0


@attrs.frozen
class _RunningLoad:
    """A load under way; times are in seconds."""

    since: float
    # At full speed.
    full_speed_s: float
    # The loads that ran at its start, itself included.
    concurrent_loads: int
    # Set for the load of an earlier leader only.
    remaining_s: float = 0.0

    def expected_s(self, limit: int) -> float:
        """Return how long it takes if the store carries so many loads."""
        slowed_s = self.full_speed_s * max(self.concurrent_loads / limit, 1.0)
        return slowed_s + self.remaining_s

    def ends_by(self, at: float) -> bool:
        """Return whether it has ended at full speed; not known of an earlier one."""
        return self.full_speed_s > 0 and self.since + self.full_speed_s <= at

    def is_slow(self, took_s: float) -> bool:
        """Return whether a time is longer than at full speed."""
        on_time_s = self.full_speed_s * SLOW_RATIO + END_DETECTION_S
        return self.full_speed_s > 0 and took_s > on_time_s

    def estimated_limit(self, took_s: float) -> int:
        """Return how many loads the store carries as a time of this load shows."""
        share = self.concurrent_loads * self.full_speed_s / took_s
        return max(math.ceil(share - CAPACITY_MARGIN), 1)


class StoreLoads:
    """The loads from the weight store under way, by server."""

    def __init__(self) -> None:
        # As far as loads have ended.
        self._learned_limit = INITIAL_LIMIT
        # What the store carries at most as late loads under way show, by server.
        self._late_limit_by_server: dict[str, int] = {}
        self._running_by_server: dict[str, _RunningLoad] = {}
        # So many loads at once were slow, and when.
        self._slow_concurrency = math.inf
        self._slow_at = -math.inf
        # So many loads at once ran at full speed.
        self._proven_concurrency = 0
        # When the loads of servers that are lost end in the store.
        self._lost_load_ends: list[float] = []

    @property
    def limit(self) -> int:
        """Return how many loads the store carries at full speed."""
        return min((self._learned_limit, *self._late_limit_by_server.values()))

    @property
    def running(self) -> int:
        """Return how many loads have not been seen to end."""
        return len(self._running_by_server) + len(self._lost_load_ends)

    def running_at(self, now: float, at: float) -> int:
        """Return how many loads of those under way now run at a time.

        The end of a load is seen with the next report only. One whose time is over
        counts as ended until that report is due, if as many loads at once have proved
        to run at full speed.
        """
        ended = sum(
            load.concurrent_loads <= self._proven_concurrency
            and load.ends_by(at)
            and now <= load.since + load.full_speed_s + END_DETECTION_S
            for load in self._running_by_server.values()
        )
        lost = sum(until > at for until in self._lost_load_ends)
        return len(self._running_by_server) - ended + lost

    def ends_at(self, server_id: str) -> float:
        """Return when the load of a server is expected to end."""
        load = self._running_by_server[server_id]
        return load.since + load.expected_s(self.limit)

    def servers(self) -> tuple[str, ...]:
        """Return the servers that load."""
        return tuple(self._running_by_server)

    def is_loading(self, server_id: str) -> bool:
        """Return whether a server loads."""
        return server_id in self._running_by_server

    def begin(self, server_id: str, full_speed_s: float, now: float) -> float:
        """Record that a server has begun a load; return how long it is to take."""
        load = _RunningLoad(now, full_speed_s, self.running_at(now, now) + 1)
        self._running_by_server[server_id] = load
        return load.expected_s(self.limit)

    def inherit_limit(self, limit: int, now: float) -> None:
        """Take over what an earlier leader has learnt; one more was slow, most likely.

        A store that carries more shows it after a while.
        """
        self._learned_limit = limit
        self._slow_concurrency, self._slow_at = limit + 1, now

    def resume(self, server_id: str, remaining_s: float, now: float) -> None:
        """Record a load that an earlier leader began; its duration tells nothing."""
        load = _RunningLoad(now, 0.0, self.running_at(now, now) + 1, remaining_s)
        self._running_by_server[server_id] = load

    def record_late_loads(
        self, now: float, silent_servers: Container[str] = ()
    ) -> None:
        """Lower the limit while a load takes longer than one that the store carries.

        Its end then shows the figure, which may be higher if nobody counted a load. The
        load of a server that does not answer may have ended.
        """
        for server_id, load in self._running_by_server.items():
            took_s = now - load.since
            if server_id in silent_servers:
                continue
            if load.concurrent_loads == 1 or not load.is_slow(took_s):
                continue
            limit = load.estimated_limit(took_s)
            if load.concurrent_loads > MIN_LATE_LIMIT:
                limit = min(limit, load.concurrent_loads - 1)
            before = self.limit
            self._late_limit_by_server[server_id] = limit
            if self.limit != before:
                log_event(
                    logger,
                    logging.INFO,
                    "store_load_late",
                    server=server_id,
                    limit=self.limit,
                    before=before,
                    running_s=took_s,
                    full_speed_s=load.full_speed_s,
                    at_once=load.concurrent_loads,
                )

    def end(self, server_id: str, now: float) -> None:
        """Record the end of a load."""
        self._late_limit_by_server.pop(server_id, None)
        load = self._running_by_server.pop(server_id, None)
        if load is None or load.full_speed_s <= 0:
            return
        took_s = now - load.since
        before = self._learned_limit
        slow = load.is_slow(took_s)
        if not slow:
            self._proven_concurrency = max(
                self._proven_concurrency, load.concurrent_loads
            )
        if slow and load.concurrent_loads > 1:
            self._proven_concurrency = min(
                self._proven_concurrency, load.concurrent_loads - 1
            )
            self._learned_limit = min(load.estimated_limit(took_s), before)
            self._slow_concurrency, self._slow_at = self._learned_limit + 1, now
        elif (
            not slow and load.concurrent_loads >= before and self._can_raise_limit(now)
        ):
            self._learned_limit += 1
        if self._learned_limit != before:
            log_event(
                logger,
                logging.INFO,
                "store_limit",
                limit=self._learned_limit,
                before=before,
                took_s=took_s,
                full_speed_s=load.full_speed_s,
                at_once=load.concurrent_loads,
            )

    def _can_raise_limit(self, now: float) -> bool:
        """Return whether one more load at a time may be tried."""
        known_slow = self._learned_limit + 1 >= self._slow_concurrency
        recent = now - self._slow_at < SLOW_TTL_S
        return self._learned_limit == 1 or not (known_slow and recent)

    def record_lost_server(self, server_id: str) -> None:
        """Record that a server is gone; its load goes on in the store for its time."""
        if server_id in self._running_by_server:
            self._lost_load_ends.append(self.ends_at(server_id))
            del self._running_by_server[server_id]
        self._late_limit_by_server.pop(server_id, None)

    def drop_ended_loads(self, now: float) -> None:
        """Forget the loads of lost servers whose time is over."""
        self._lost_load_ends = [until for until in self._lost_load_ends if until > now]

    def wait_s(
        self, queued_s: Iterable[float], now: float, beside_s: Iterable[float] = ()
    ) -> float:
        """Return when another load can begin at full speed, in seconds from now.

        The loads in the queue take ``queued_s`` and begin before it in this order;
        loads that the ledger does not know of yet end in ``beside_s``. A load that is
        late is likely to take about as long again as it is late.
        """
        ends = [self.ends_at(server_id) for server_id in self._running_by_server]
        ends_in_s = [abs(end - now) for end in (*ends, *self._lost_load_ends)]
        ends_in_s += beside_s
        heapify(ends_in_s)
        limit, begin_s = self.limit, 0.0
        for load_s in (*queued_s, 0.0):
            while len(ends_in_s) >= limit:
                begin_s = max(begin_s, heappop(ends_in_s))
            heappush(ends_in_s, begin_s + load_s)
        return begin_s
