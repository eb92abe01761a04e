"""The decision on servers' signals: which servers may be chosen, and from when.

A server that states that it is leaving gets no further request. A server that states a
pause gets none until its end and is then tried with a few requests, whose answers
allow more. Both apply to one start of the server (`ServerStart`), so an answer from
before a restart changes nothing for the new start.

The decision does no I/O and knows no front end. Its owner tells it the heads of answers
and the requests that it sends.
"""

from __future__ import annotations

import logging
import math
import random
from collections import OrderedDict
from typing import Final

from ..core.status import Status
from ..telemetry.logs import log_event
from .observations import (
    AnswerStarted,
    LeavingStated,
    Observation,
    PauseStated,
    ServerStart,
)
from .pause import FIRST_TRIAL_COUNT, Pause
from .permission import (
    GONE,
    MAY_BE_CHOSEN,
    MayBeChosenByMore,
    ServerPermission,
)

logger = logging.getLogger(__name__)

# A longer pause is taken as this one. A server that states hours by mistake would
# otherwise be out of use until its restart.
MAX_PAUSE_S: Final = 60.0
# The gateways open a server at different times after its pause: up to this share of the
# pause later, and at most up to this time, as service must be back within a second.
SPREAD_SHARE: Final = 0.5
MAX_SPREAD_S: Final = 0.4
# A pause is forgotten this long after its end, also if the server was not tried: it may
# have been removed.
UNTRIED_TTL_S: Final = 60.0
# A restart does not show where servers name no start. One that leaves is tried again
# after this time, by which it has ended or says so again.
UNNAMED_LEAVING_S: Final = 60.0
# Servers that are leaving are remembered beyond the removal of their registry entries,
# which may return with the same start. Far more than leave within minutes.
MAX_LEAVING: Final = 8192


class ServerSignals:
    """The signals of all servers at one gateway; times are seconds on its clock."""

    def __init__(self, rng: random.Random) -> None:
        """Initialize with the random source of the spread of openings."""
        self._rng = rng
        # Until when a start counts as leaving.
        self._leaving: OrderedDict[ServerStart, float] = OrderedDict()
        self._pause_by_start: dict[ServerStart, Pause] = {}
        self._leaving_count = 0
        self._pause_count = 0

    def permission(self, start: ServerStart, now: float) -> ServerPermission:
        """Return whether a server may be chosen."""
        if self._is_leaving(start, now):
            return GONE
        pause = self._current_pause(start, now)
        if pause is None:
            return MAY_BE_CHOSEN
        return MayBeChosenByMore(pause.remaining_trials(now))

    def opens_at(self, start: ServerStart, now: float) -> float:
        """Return when a server may get its next request; infinity if it is leaving."""
        if self._is_leaving(start, now):
            return math.inf
        pause = self._current_pause(start, now)
        return now if pause is None else pause.next_trial_at(now)

    def observe(self, observation: Observation) -> bool:
        """Apply the head of an answer; return whether a permission has changed."""
        match observation:
            case LeavingStated(start, at):
                return self._observe_leaving(start, at)
            case PauseStated(start, at, retry_after_s):
                return self._observe_pause(start, at, retry_after_s)
            case AnswerStarted(start, at):
                return self._observe_answer(start, at)

    @property
    def has_pauses(self) -> bool:
        """Whether any server's pause is not over."""
        return bool(self._pause_by_start)

    def record_sent(self, start: ServerStart, now: float) -> None:
        """Record that a request is sent to a server."""
        pause = self._pause_by_start.get(start)
        if pause is not None:
            pause.record_sent(now)

    def status(self, start: ServerStart, now: float) -> Status:
        """Return the signals of a server for operators."""
        return {
            "leaving": self._is_leaving(start, now),
            "paused_s": self._paused_s(start, now),
        }

    def gauges(self) -> dict[str, float]:
        """Return how often servers have stated that they leave or pause.

        Also returns the number of servers whose pause is not over.
        """
        return {
            "signals.leaving_stated": float(self._leaving_count),
            "signals.pauses_stated": float(self._pause_count),
            "signals.servers_paused": float(len(self._pause_by_start)),
        }

    def _paused_s(self, start: ServerStart, now: float) -> float:
        pause = self._pause_by_start.get(start)
        return 0.0 if pause is None else round(max(pause.opens_at - now, 0.0), 3)

    def _current_pause(self, start: ServerStart, now: float) -> Pause | None:
        """Return the pause of a server, unless it ended long ago."""
        pause = self._pause_by_start.get(start)
        if pause is not None and now > pause.opens_at + UNTRIED_TTL_S:
            del self._pause_by_start[start]
            return None
        return pause

    def _is_leaving(self, start: ServerStart, now: float) -> bool:
        until = self._leaving.get(start)
        return until is not None and now < until

    def _observe_leaving(self, start: ServerStart, at: float) -> bool:
        was_leaving = self._is_leaving(start, at)
        self._leaving[start] = math.inf if start.is_named else at + UNNAMED_LEAVING_S
        if was_leaving:
            return False
        while len(self._leaving) > MAX_LEAVING:
            self._leaving.popitem(last=False)
        self._pause_by_start.pop(start, None)
        self._leaving_count += 1
        _log_transition("server_leaving", start)
        return True

    def _observe_pause(
        self, start: ServerStart, at: float, retry_after_s: float
    ) -> bool:
        if self._is_leaving(start, at) or not retry_after_s > 0:
            return False
        pause_s = min(retry_after_s, MAX_PAUSE_S)
        ends_at = at + pause_s
        pause = self._pause_by_start.get(start)
        if pause is not None and ends_at <= pause.ends_at:
            # An answer that was under way when the longer pause was stated.
            return False
        spread_s = min(pause_s * SPREAD_SHARE, MAX_SPREAD_S)
        opens_at = ends_at + self._rng.uniform(0.0, spread_s)
        if pause is None:
            self._drop_untried(at)
            self._pause_by_start[start] = Pause(ends_at, opens_at)
            is_new = True
        else:
            is_new = pause.is_tried(at)
            pause.extend(ends_at, max(opens_at, pause.opens_at))
        if is_new:
            self._pause_count += 1
            _log_transition("server_paused", start, pause_s=pause_s)
        return True

    def _drop_untried(self, now: float) -> None:
        """Drop the pauses of servers that were not tried for long after them."""
        for start, pause in list(self._pause_by_start.items()):
            if now > pause.opens_at + UNTRIED_TTL_S:
                del self._pause_by_start[start]

    def _observe_answer(self, start: ServerStart, at: float) -> bool:
        pause = self._pause_by_start.get(start)
        if pause is None or not pause.is_tried(at):
            # During a pause, it answers a request that was sent before.
            return False
        if pause.trial_limit == FIRST_TRIAL_COUNT:
            _log_transition("server_tried", start)
        if pause.record_answer():
            del self._pause_by_start[start]
            _log_transition("server_pause_over", start)
        return True


def _log_transition(
    event: str, start: ServerStart, pause_s: float | None = None
) -> None:
    log_event(
        logger,
        logging.INFO,
        event,
        server=start.server_id,
        born_ms=start.born_ms,
        boot=start.boot_id or None,
        pause_s=pause_s,
    )
