"""The least progress of a body that is being read, and how far a transfer lags."""

from __future__ import annotations


class TransferLag:
    """How far a transfer is behind one at the needed rate, in seconds.

    Each byte makes up for the time that it may take. A caller that sends a byte now and
    then therefore lags almost as much as one that sends nothing.
    """

    def __init__(self, bytes_per_s: float, now: float) -> None:
        """Set the needed rate; times are in seconds of the owner's clock."""
        self._bytes_per_s = bytes_per_s
        self._done_at = now

    def lag_s(self, now: float) -> float:
        """Return the lag."""
        return now - self._done_at

    def record(self, size: int, now: float) -> None:
        """Count transferred bytes; what is ahead of the rate is not credited."""
        self._done_at = min(self._done_at + size / self._bytes_per_s, now)

    def excuse(self, seconds: float) -> None:
        """Leave out a time in which the caller was made to wait."""
        self._done_at += seconds

    def restart(self, now: float) -> None:
        """Start again without a lag."""
        self._done_at = now


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
