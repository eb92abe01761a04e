"""The least progress of a body that is being read."""

from __future__ import annotations


class MinimumProgress:
    """Counts received bytes in windows of a fixed length."""

    def __init__(
        self, bytes_per_s: float, window_s: float, start_bytes: int, now: float
    ) -> None:
        """Set the rate and the window; ``start_bytes`` are credited to the first."""
        self._needed_bytes = bytes_per_s * window_s
        self._window_s = window_s
        self._ends_at = now + window_s
        self._received_bytes = start_bytes

    def record(self, size: int) -> None:
        """Count received bytes."""
        self._received_bytes += size

    def is_too_slow(self, now: float) -> bool:
        """Return whether a window has ended with too few bytes."""
        if now < self._ends_at:
            return False
        if self._received_bytes < self._needed_bytes:
            return True
        self._received_bytes = 0
        self._ends_at = now + self._window_s
        return False

    def remaining_s(self, now: float) -> float:
        """Return the time until the window ends."""
        return max(self._ends_at - now, 0.0)
