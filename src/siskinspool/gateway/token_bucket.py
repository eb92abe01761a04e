"""A token bucket rate limiter."""

from __future__ import annotations

import attrs


@attrs.define
class TokenBucket:
    """Grants at most ``capacity`` at once and ``per_s`` per second on average.

    Over any window of w seconds it grants at most capacity + w x per_s.
    """

    per_s: float
    capacity: float
    level: float
    # Time of the last refill in monotonic seconds.
    updated_at: float

    @classmethod
    def full(cls, per_s: float, capacity: float, now: float) -> TokenBucket:
        """Return a bucket that can grant its whole capacity at once."""
        return cls(per_s, capacity, capacity, now)

    @classmethod
    def empty(cls, per_s: float, capacity: float, now: float) -> TokenBucket:
        """Return a bucket that is empty at first."""
        return cls(per_s, capacity, 0.0, now)

    def try_take(self, amount: float, now: float, debt: float = 0.0) -> bool:
        """Take an amount if the level, plus an allowed debt, covers it."""
        self._refill(now)
        if amount > self.level + debt:
            return False
        self.level -= amount
        return True

    def can_take(self, amount: float, now: float) -> bool:
        """Return whether an amount can be taken without debt."""
        self._refill(now)
        return amount <= self.level

    def wait_s(self, amount: float, now: float, debt: float = 0.0) -> float:
        """Return the time until an amount, or the whole capacity, is available."""
        self._refill(now)
        missing = min(amount - debt, self.capacity) - self.level
        if missing <= 0:
            return 0.0
        return missing / self.per_s if self.per_s > 0 else float("inf")

    def resize(self, per_s: float, capacity: float, now: float) -> None:
        """Change rate and capacity; the level is cut to the new capacity."""
        self._refill(now)
        self.per_s = per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def _refill(self, now: float) -> None:
        if now > self.updated_at:
            self.level = min(
                self.capacity, self.level + (now - self.updated_at) * self.per_s
            )
            self.updated_at = now
