"""Which attempt of a requester a request is, told by its deadline.

The attempts of a requester have ids of their own, and each states the time that is
left. The requesters of a route mostly begin with the same time, so a request with
clearly less has been refused before.
"""

from __future__ import annotations

from typing import Final

import attrs

# A deadline below this part of the longest belongs to a later attempt. A refused
# requester is told to wait for half a second or more, of some 5 to 15 s.
FIRST_ATTEMPT_SHARE: Final = 0.97
# The longest deadline of a route is forgotten after one to two times this, since a
# single requester with more time makes all others look like later attempts.
LONGEST_DEADLINE_TTL_S: Final = 30.0


@attrs.define
class _LongestDeadline:
    """The longest deadline of a route in the present period and the one before."""

    since: float
    current_s: float = 0.0
    previous_s: float = 0.0


class DeadlineTracker:
    """Knows the longest recent deadline of each route; times are in seconds."""

    def __init__(self) -> None:
        self._longest_by_route: dict[str, _LongestDeadline] = {}

    def is_later_attempt(
        self, route: str, deadline_s: float | None, timeout_s: float, now: float
    ) -> bool:
        """Return whether a request is not its requester's first, and take note of it.

        The route's timeout takes the place of the longest deadline until one is known.
        """
        if deadline_s is None:
            return False
        longest = self._longest_by_route.setdefault(route, _LongestDeadline(now))
        if now - longest.since > LONGEST_DEADLINE_TTL_S:
            longest.previous_s, longest.current_s = longest.current_s, 0.0
            longest.since = now
        known_s = max(longest.current_s, longest.previous_s)
        longest.current_s = max(longest.current_s, deadline_s)
        return deadline_s < FIRST_ATTEMPT_SHARE * (known_s or timeout_s)
