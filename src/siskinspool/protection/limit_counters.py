"""Counts how often each limit was met, and logs it at a bounded rate."""

from __future__ import annotations

import logging
from enum import StrEnum
from typing import Final

from ..telemetry.logs import log_event

logger = logging.getLogger(__name__)

# Between two log lines of the same limit; a crowd meets a limit many times a second.
LOG_INTERVAL_S: Final = 5.0


class Limit(StrEnum):
    """A limit on callers."""

    BODY_NO_ROOM = "body_no_room"
    BODY_SHED = "body_shed"
    BODY_SLOW = "body_slow"
    ANSWER_SHED = "answer_shed"
    ANSWER_BACKLOG = "answer_backlog"
    PARSE_TURN = "parse_turn"
    CONNECTION_EVICTED = "connection_evicted"
    CONNECTION_REFUSED = "connection_refused"
    PAGE_CONNECTION = "page_connection"


class LimitCounters:
    """The counters of all limits of a process."""

    def __init__(self) -> None:
        self.count_by_limit = dict.fromkeys(Limit, 0)
        self._logged_at_by_limit: dict[Limit, float] = {}

    def record(self, limit: Limit, now: float) -> None:
        """Count one case, and log it unless the limit was logged recently."""
        self.count_by_limit[limit] += 1
        logged_at = self._logged_at_by_limit.get(limit)
        if logged_at is not None and now - logged_at < LOG_INTERVAL_S:
            return
        self._logged_at_by_limit[limit] = now
        log_event(
            logger,
            logging.WARNING,
            "limit_met",
            limit=limit,
            count=self.count_by_limit[limit],
        )
