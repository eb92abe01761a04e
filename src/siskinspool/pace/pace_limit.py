"""Limit on the requests in flight to a server that has just started or recovered.

What such a server can take is unknown, and all senders see it as idle at once. Each
sender therefore begins with a small part of its share of the slots and increases it
while no answer shows a queue or a failure. No sender tells another: most have less than
one request in flight at a server, so a limit below 1 stands for that many on average,
and the senders' first requests are spread by a phase of their own.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

# The senders together begin with this part of the slots.
START_SHARE: Final = 1 / 8
# The limit reaches the sender's share of the slots after this time without bad signs,
# or after the time for which the server says that it is cold.
RAMP_S: Final = 1.0
# It is reached after the time of this many requests, if that is sooner: calls to plain
# services take some 15 ms, and the other servers bear their load until then.
RAMP_REQUESTS: Final = 8.0
# Added for each answer without a queue, as a part of the sender's share of the slots.
CLEAR_ANSWER_SHARE: Final = 1 / 8
# The limit is multiplied by this on a queue or a failure.
DECREASE_RATIO: Final = 0.5
# After a decrease, neither an increase nor a further decrease for this long: answers
# until then belong to requests sent before.
HOLD_S: Final = 0.5
# The limit grows to this multiple of the sender's share, as senders are uneven.
MAX_SHARE: Final = 1.25
# It ends after this time at its maximum without bad signs. If it ended at once, all
# senders would fill the server that is still emptier than the others.
SETTLE_S: Final = 1.0
# A server to which nothing was sent for this long, or by phase twice as long, gets a
# single request.
QUIET_S: Final = 2.0


@attrs.frozen(kw_only=True)
class PaceStart:
    """What the limit begins with."""

    # The sender's share of the slots.
    share: float
    # From 0 to 1; differs between senders and spreads their first requests.
    phase: float
    # Mean time of a request in flight, which turns a limit below 1 into a rate.
    in_flight_s: float
    # How long the server says that it is cold.
    cold_s: float = 0.0

    @property
    def ramp_s(self) -> float:
        """How long the limit grows to the sender's share."""
        return max(self.cold_s, min(RAMP_S, RAMP_REQUESTS * self.in_flight_s))

    @property
    def settle_s(self) -> float:
        """How long the limit stays at its maximum."""
        return min(SETTLE_S, RAMP_REQUESTS * self.in_flight_s)

    @property
    def hold_s(self) -> float:
        """How long answers belong to requests sent before a decrease."""
        return min(HOLD_S, RAMP_REQUESTS * self.in_flight_s)


_NO_START: Final = PaceStart(share=0.0, phase=0.0, in_flight_s=1.0)


@attrs.define
class PaceLimit:
    """One sender's limit for one server; it is inactive in steady state."""

    # Requests in flight; infinite while inactive.
    limit: float = math.inf
    _start: PaceStart = _NO_START
    # Part of a request that may be sent while the limit is below 1.
    _credit: float = 0.0
    _updated_at: float = 0.0
    _held_until: float = -math.inf
    # When the limit reached its maximum; None while it is below.
    _settling_since: float | None = None
    _sent_at: float = 0.0

    @property
    def is_active(self) -> bool:
        """Whether requests are limited."""
        return self.limit < math.inf

    def begin(self, start: PaceStart, now: float) -> None:
        """Begin with a part of the sender's share of the slots."""
        self._start = start
        self.limit = start.share * START_SHARE
        self._credit = start.phase
        self._updated_at = self._sent_at = now
        self._held_until = -math.inf
        self._settling_since = None

    def current(self, now: float) -> float:
        """Return the requests in flight that are allowed; infinite without a limit."""
        self._advance(now)
        return self.limit

    def may_send(self, in_flight: int, now: float) -> bool:
        """Return whether a further request may be sent."""
        self._advance(now)
        if not self.is_active or in_flight + 1 <= self.limit:
            return True
        quiet_s = QUIET_S * (1.0 + self._start.phase)
        is_due = self._credit >= 1.0 or now - self._sent_at >= quiet_s
        return in_flight == 0 and is_due

    def record_sent(self, now: float) -> None:
        """Record that a request is sent."""
        self._advance(now)
        self._credit = max(self._credit - 1.0, 0.0)
        self._sent_at = now

    def record_clear_answer(self, now: float) -> None:
        """Record an answer that did not wait in a queue: additive increase."""
        self._advance(now)
        if self.is_active and now >= self._held_until:
            step = self._start.share * CLEAR_ANSWER_SHARE
            self.limit = min(self.limit + step, self._maximum)
            self._end_if_settled(now, now)

    def record_bad_sign(self, now: float) -> None:
        """Record a queue, a rejection or a failure: multiplicative decrease."""
        self._advance(now)
        if self.is_active and now >= self._held_until:
            minimum = self._start.share * START_SHARE * DECREASE_RATIO
            self.limit = max(self.limit * DECREASE_RATIO, minimum)
            self._held_until = now + self._start.hold_s
            self._settling_since = None

    @property
    def _maximum(self) -> float:
        return self._start.share * MAX_SHARE

    def _advance(self, now: float) -> None:
        """Add what the time since the last step allows."""
        if not self.is_active or now <= self._updated_at:
            return
        granted = (now - self._updated_at) * self.limit / self._start.in_flight_s
        self._credit = min(self._credit + granted, 1.0)
        since = max(self._updated_at, self._held_until)
        self._updated_at = now
        if now > since:
            self._increase(since, now)

    def _increase(self, since: float, now: float) -> None:
        """Increase the limit with time, which may have reached its maximum before."""
        per_s = self._start.share * (1.0 - START_SHARE) / self._start.ramp_s
        reached_at = since + (self._maximum - self.limit) / per_s
        self.limit = min(self.limit + (now - since) * per_s, self._maximum)
        self._end_if_settled(reached_at, now)

    def _end_if_settled(self, reached_at: float, now: float) -> None:
        if self.limit < self._maximum:
            return
        if self._settling_since is None:
            self._settling_since = reached_at
        if now >= self._settling_since + self._start.settle_s:
            self.limit = math.inf
