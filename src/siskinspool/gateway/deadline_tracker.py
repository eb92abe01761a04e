"""Detects retries of a requester by their shorter deadlines.

Each attempt of a requester has an id of its own and states the time that is left. The
requesters of a route start with similar times, so a request with clearly less has been
refused before.
"""

from __future__ import annotations

from typing import Final

import attrs

# A deadline below this share of the longest belongs to a later attempt. Requesters
# differ in their time limits, and a refused one waits up to a third of its time. Taking
# a retry for a first attempt is the smaller error: its requester is expected once more.
FIRST_ATTEMPT_SHARE: Final = 0.8
# Until this many deadlines of a route are known, the longest is at least its timeout.
MIN_DEADLINES: Final = 8
# The longest deadline of a route expires after one to two times this, since a single
# requester with more time makes all others look like later attempts.
LONGEST_DEADLINE_TTL_S: Final = 30.0


@attrs.define
class _LongestDeadline:
    """The longest deadline of a route in the current and the previous period."""

    since: float
    # Number of deadlines so far.
    count: int = 0
    current_s: float = 0.0
    previous_s: float = 0.0


class DeadlineTracker:
    """Tracks the longest recent deadline of each route; times are in seconds."""

    def __init__(self) -> None:
        self._longest_by_route: dict[str, _LongestDeadline] = {}

    def is_later_attempt(
        self, route: str, deadline_s: float | None, timeout_s: float, now: float
    ) -> bool:
        """Record a request's deadline; return whether it is a later attempt."""
        if deadline_s is None:
            return False
        longest = self._longest_by_route.setdefault(route, _LongestDeadline(now))
        if now - longest.since > LONGEST_DEADLINE_TTL_S:
            longest.previous_s, longest.current_s = longest.current_s, 0.0
            longest.since = now
        known_s = max(longest.current_s, longest.previous_s)
        if longest.count < MIN_DEADLINES:
            known_s = max(known_s, timeout_s)
        longest.count += 1
        longest.current_s = max(longest.current_s, deadline_s)
        return deadline_s < FIRST_ATTEMPT_SHARE * known_s
