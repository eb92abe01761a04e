"""How long a leader may go on while the platform's store does not answer it.

A successor is elected within seconds if only the leader is cut off from the store. An
outage that lasts longer probably affects the whole store, and a leader whose orders
servers compare by epoch number may go on in it for some time.
"""

from __future__ import annotations

from typing import Final

import attrs

# A failed renewal of the session is reported at least this often.
OUTAGE_SIGNAL_TTL_S: Final = 2.5
MAX_DETACHED_S: Final = 30.0


@attrs.define
class StoreOutage:
    """The present outage of the store at one instance, if there is one."""

    # The first and the last unanswered call; None if the last call was answered.
    _first_unanswered_at: float | None = None
    _last_unanswered_at: float | None = None

    def record_answer(self) -> None:
        """Record that the store has answered a call."""
        self._first_unanswered_at = self._last_unanswered_at = None

    def record_failure(self, now: float) -> None:
        """Record that a call got no answer."""
        self._last_unanswered_at = now
        if self._first_unanswered_at is None:
            self._first_unanswered_at = now

    def allows_detached_term(self, now: float) -> bool:
        """Return whether a leader may go on without a valid session."""
        first_at, last_at = self._first_unanswered_at, self._last_unanswered_at
        if first_at is None or last_at is None:
            return False
        is_present = now - last_at < OUTAGE_SIGNAL_TTL_S
        return is_present and now - first_at < MAX_DETACHED_S
