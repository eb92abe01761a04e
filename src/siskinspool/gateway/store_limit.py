"""The number of parallel loads that the weight store can carry.

The store serves a few loads at full speed and slows all of them down beyond that
number, which the platform does not publish. A server does nothing else while it loads,
so slow loads waste the time of servers. The limit is estimated from the durations of
loads: a late load shows how many the store really carries, and a load that is on time
at the limit raises the limit by one, on trial. The duration of a load depends on the
loads running at its start; later ones do not slow it down. An in-flight load that is
late lowers the limit until its end shows the exact number. When a server is lost, its
load continues in the store for its expected duration.

Only one load at a time tries a higher limit; until its end is seen, the others keep to
the number that has proved itself. A load that is late although no more loads were
counted than once ran at full speed has probably run beside uncounted ones, so a single
one of them does not lower the limit.
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

# The limit before the first load has ended.
INITIAL_LIMIT: Final = 3
# A load was slowed down if it took longer than its full-speed duration times this
# ratio, plus the time until its end is detected.
SLOW_RATIO: Final = 1.15
END_DETECTION_S: Final = 0.4
# Part of a load by which durations may underestimate the store's capacity. Uncounted
# loads slow others down. A limit that is too low leaves the store unused, while one
# that is too high only makes loads longer.
CAPACITY_MARGIN: Final = 0.2
# Below this, an in-flight load lowers the limit only as far as its duration proves: an
# end that is detected late must not leave half of the store unused.
MIN_LATE_LIMIT: Final = 2
# A number of parallel loads that proved slow is not tried again for this time, since
# the trial takes longer than requesters wait. A second parallel load is always tried
# again.
SLOW_TTL_S: Final = 60.0


@attrs.frozen
class _RunningLoad:
    """An in-flight load; times are in seconds."""

    since: float
    # Duration at full speed; 0 if an earlier leader started the load.
    full_speed_s: float
    # Number of loads running at its start, including itself.
    concurrent_loads: int
    # Expected remaining duration of a load that an earlier leader started.
    remaining_s: float = 0.0

    def expected_s(self, limit: int) -> float:
        """Return the expected duration if the store carries ``limit`` loads."""
        slowed_s = self.full_speed_s * max(self.concurrent_loads / limit, 1.0)
        return slowed_s + self.remaining_s

    def ends_by(self, at: float) -> bool:
        """Return whether it has ended at full speed; False if that is unknown."""
        return self.full_speed_s > 0 and self.since + self.full_speed_s <= at

    def is_slow(self, took_s: float) -> bool:
        """Return whether a duration is longer than at full speed."""
        on_time_s = self.full_speed_s * SLOW_RATIO + END_DETECTION_S
        return self.full_speed_s > 0 and took_s > on_time_s

    def estimated_limit(self, took_s: float) -> int:
        """Return how many loads the store carries, given a duration of this load."""
        share = self.concurrent_loads * self.full_speed_s / took_s
        return max(math.ceil(share - CAPACITY_MARGIN), 1)


class StoreLoads:
    """The in-flight loads from the weight store, by server."""

    def __init__(self) -> None:
        # The limit as shown by finished loads.
        self._learned_limit = INITIAL_LIMIT
        # Upper bounds of the limit as shown by in-flight loads that are late, by
        # server.
        self._late_limit_by_server: dict[str, int] = {}
        self._running_by_server: dict[str, _RunningLoad] = {}
        # The lowest number of parallel loads known to be slow, and when that was seen.
        self._slow_concurrency = math.inf
        self._slow_at = -math.inf
        # The highest number of parallel loads known to run at full speed.
        self._proven_concurrency = 0
        # The learned limit is one more than has proved itself.
        self._is_on_trial = False
        # When a load was first slow at no more than the proven number, since the last
        # one that ran at full speed at it.
        self._contradicted_at: float | None = None
        # When the loads of lost servers end in the store.
        self._lost_load_ends: list[float] = []
        # When the loads end that an earlier leader has recorded, while their servers'
        # reports do not show whether they are still in flight.
        self._inherited_load_end_by_server: dict[str, float] = {}

    @property
    def limit(self) -> int:
        """Return how many loads the store carries at full speed."""
        limit = min((self._learned_limit, *self._late_limit_by_server.values()))
        return min(limit, self._proven_concurrency) if self._is_trial_running else limit

    @property
    def limit_to_hand_over(self) -> int:
        """Return the limit for a successor, which cannot see the end of a trial."""
        if self._is_on_trial:
            return min(self.limit, self._proven_concurrency)
        return self.limit

    @property
    def proven_concurrency(self) -> int:
        """Return the highest number of parallel loads known to run at full speed."""
        return self._proven_concurrency

    @property
    def _is_trial_running(self) -> bool:
        """Return whether a load is in flight that tries a higher limit."""
        return self._is_on_trial and any(
            load.concurrent_loads > self._proven_concurrency
            for load in self._running_by_server.values()
        )

    @property
    def running(self) -> int:
        """Return the number of loads whose end has not been seen."""
        return len(self._running_by_server) + len(self._unseen_load_ends())

    def _unseen_load_ends(self) -> list[float]:
        """Return when the loads end whose end no report will show."""
        return [*self._lost_load_ends, *self._inherited_load_end_by_server.values()]

    def running_at(self, now: float, at: float) -> int:
        """Return how many of the loads now in flight run at a time.

        The end of a load is seen only in the next report. Until that is due, a load
        counts as ended once its full-speed duration is over, if as many parallel loads
        are known to run at full speed.
        """
        ended = sum(
            load.concurrent_loads <= self._proven_concurrency
            and load.ends_by(at)
            and now <= load.since + load.full_speed_s + END_DETECTION_S
            for load in self._running_by_server.values()
        )
        unseen = sum(until > at for until in self._unseen_load_ends())
        return len(self._running_by_server) - ended + unseen

    def ends_at(self, server_id: str) -> float:
        """Return the expected end of a server's load."""
        load = self._running_by_server[server_id]
        return load.since + load.expected_s(self.limit)

    def servers(self) -> tuple[str, ...]:
        """Return the servers with an in-flight load."""
        return tuple(self._running_by_server)

    def is_loading(self, server_id: str) -> bool:
        """Return whether a server has an in-flight load."""
        return server_id in self._running_by_server

    def begin(self, server_id: str, full_speed_s: float, now: float) -> float:
        """Record the start of a server's load; return its expected duration."""
        load = _RunningLoad(now, full_speed_s, self.running_at(now, now) + 1)
        self._running_by_server[server_id] = load
        return load.expected_s(self.limit)

    def inherit_limit(
        self, limit: int, now: float, proven_concurrency: int = 0
    ) -> None:
        """Take over the limit of an earlier leader, assuming that one more is slow.

        If the store carries more, the limit is raised after a while.
        """
        self._learned_limit, self._is_on_trial = limit, False
        # A leader that is cut off hands over no proven number; its ledger has one.
        proven = max(proven_concurrency, self._proven_concurrency)
        self._proven_concurrency = min(proven, limit)
        self._slow_concurrency, self._slow_at = limit + 1, now

    def expect(self, server_id: str, remaining_s: float, now: float) -> None:
        """Count a load of an earlier leader that its server has not shown yet.

        If the server is lost, the load continues in the store for its time.
        """
        if remaining_s > 0 and server_id not in self._running_by_server:
            self._inherited_load_end_by_server[server_id] = now + remaining_s

    def drop_expected(self, server_id: str) -> None:
        """Record that an expected load has ended."""
        self._inherited_load_end_by_server.pop(server_id, None)

    def resume(self, server_id: str, remaining_s: float, now: float) -> None:
        """Record an earlier leader's load, whose duration does not affect the limit."""
        self.drop_expected(server_id)
        load = _RunningLoad(now, 0.0, self.running_at(now, now) + 1, remaining_s)
        self._running_by_server[server_id] = load

    def record_late_loads(
        self, now: float, silent_servers: Container[str] = ()
    ) -> None:
        """Lower the limit while a load takes longer than at full speed.

        Its end then shows the exact number, which may be higher if other loads were not
        counted. Silent servers are left out, since their loads may have ended.
        """
        for server_id, load in self._running_by_server.items():
            took_s = now - load.since
            if server_id in silent_servers:
                continue
            if load.concurrent_loads <= max(self._proven_concurrency, 1):
                continue
            if not load.is_slow(took_s):
                continue
            limit = load.estimated_limit(took_s)
            if load.concurrent_loads > MIN_LATE_LIMIT:
                limit = min(limit, load.concurrent_loads - 1)
            limit = max(limit, self._proven_concurrency)
            previous_limit = self.limit
            self._late_limit_by_server[server_id] = limit
            if self.limit != previous_limit:
                log_event(
                    logger,
                    logging.INFO,
                    "store_load_late",
                    server=server_id,
                    limit=self.limit,
                    before=previous_limit,
                    running_s=took_s,
                    full_speed_s=load.full_speed_s,
                    at_once=load.concurrent_loads,
                )

    def end(self, server_id: str, now: float) -> None:
        """Record the end of a load and update the limit."""
        self._late_limit_by_server.pop(server_id, None)
        load = self._running_by_server.pop(server_id, None)
        if load is None or load.full_speed_s <= 0:
            return
        took_s = now - load.since
        previous_limit = self._learned_limit
        if load.is_slow(took_s):
            self._record_slow_load(load, took_s, now)
        else:
            self._record_load_on_time(load, now)
        if self._learned_limit != previous_limit:
            log_event(
                logger,
                logging.INFO,
                "store_limit",
                limit=self._learned_limit,
                before=previous_limit,
                took_s=took_s,
                full_speed_s=load.full_speed_s,
                at_once=load.concurrent_loads,
            )

    def _record_load_on_time(self, load: _RunningLoad, now: float) -> None:
        """Raise the proven number, and the limit on trial if it was used up."""
        if load.concurrent_loads >= self._proven_concurrency:
            self._proven_concurrency = load.concurrent_loads
            self._contradicted_at = None
        if self._learned_limit <= self._proven_concurrency:
            self._is_on_trial = False
        if load.concurrent_loads >= self._learned_limit and self._can_raise_limit(now):
            self._learned_limit += 1
            self._is_on_trial = True

    def _record_slow_load(self, load: _RunningLoad, took_s: float, now: float) -> None:
        """Lower the limit, unless the load has run beside uncounted ones."""
        if load.concurrent_loads == 1:
            return
        if load.concurrent_loads <= self._proven_concurrency:
            if self._contradicted_at is None:
                self._contradicted_at = now
            if load.since <= self._contradicted_at:
                return
            # It has happened again since.
            self._proven_concurrency = load.concurrent_loads - 1
        estimate = max(load.estimated_limit(took_s), self._proven_concurrency)
        if estimate < self._learned_limit:
            self._learned_limit, self._is_on_trial = estimate, False
        self._slow_concurrency, self._slow_at = self._learned_limit + 1, now

    def _can_raise_limit(self, now: float) -> bool:
        """Return whether one more parallel load may be tried."""
        is_known_slow = self._learned_limit + 1 >= self._slow_concurrency
        is_recent = now - self._slow_at < SLOW_TTL_S
        return self._learned_limit == 1 or not (is_known_slow and is_recent)

    def record_lost_server(self, server_id: str) -> None:
        """Record that a server is lost; its load continues in the store until due."""
        if server_id in self._running_by_server:
            self._lost_load_ends.append(self.ends_at(server_id))
            del self._running_by_server[server_id]
        self._late_limit_by_server.pop(server_id, None)

    def drop_ended_loads(self, now: float) -> None:
        """Drop the loads that are due to have ended and whose end no report shows."""
        self._lost_load_ends = [until for until in self._lost_load_ends if until > now]
        self._inherited_load_end_by_server = {
            server_id: until
            for server_id, until in self._inherited_load_end_by_server.items()
            if until > now
        }

    def wait_s(
        self, queued_s: Iterable[float], now: float, unrecorded_s: Iterable[float] = ()
    ) -> float:
        """Return the delay in seconds until another load can start at full speed.

        The queued loads take ``queued_s`` and start before it in this order. Loads that
        are not recorded here yet end in ``unrecorded_s``. A late load is expected to
        take about as long again as it is late.
        """
        ends = [self.ends_at(server_id) for server_id in self._running_by_server]
        ends_in_s = [abs(end - now) for end in (*ends, *self._unseen_load_ends())]
        ends_in_s += unrecorded_s
        heapify(ends_in_s)
        limit, begin_s = self.limit, 0.0
        for load_s in (*queued_s, 0.0):
            while len(ends_in_s) >= limit:
                begin_s = max(begin_s, heappop(ends_in_s))
            heappush(ends_in_s, begin_s + load_s)
        return begin_s
