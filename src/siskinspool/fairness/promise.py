"""The promise of a place to a refused requester."""

from __future__ import annotations

from typing import Final

import attrs

# A place is kept for this long after the promised time.
KEEP_S: Final = 1.0


@attrs.frozen
class Promise:
    """A time at which a refused requester was told to come back."""

    # When its refused attempt began to wait.
    since: float
    due_at: float

    def is_open(self, now: float) -> bool:
        """Return whether a retry may still claim the place."""
        return now <= self.due_at + KEEP_S

    def is_due(self, now: float) -> bool:
        """Return whether the place is kept at this time."""
        return self.due_at <= now <= self.due_at + KEEP_S
