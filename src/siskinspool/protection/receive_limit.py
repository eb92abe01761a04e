"""Decides how much is received from one peer, and when its reader yields.

A socket on which bytes have always arrived never switches its greenlet, so that no
other greenlet runs and no timeout fires. `ReceiveLimit` counts the cost of what is
received, in bytes; the socket that uses it yields after each `YIELD_BYTES` of it.
"""

from __future__ import annotations

from typing import Final

# Cost of what is received before the reader yields to the other greenlets.
YIELD_BYTES: Final = 64 * 1024


class TooMuchReceivedError(ConnectionError):
    """A peer has sent more than a limit allows."""


class ReceiveLimit:
    """The limit of one message or connection."""

    def __init__(self) -> None:
        self._remaining_bytes = 0
        # Cost since the reader yielded.
        self._unyielded_bytes = 0

    def renew(self, size: int) -> None:
        """Set the cost of what may be received from now on, in bytes."""
        self._remaining_bytes = size

    def should_yield(self) -> bool:
        """Return whether to yield before more is received; a yes is given once."""
        is_due = self._unyielded_bytes >= YIELD_BYTES
        if is_due:
            self._unyielded_bytes = 0
        return is_due

    def count(self, cost_bytes: int) -> None:
        """Count what was received; raise TooMuchReceivedError beyond the limit."""
        self._unyielded_bytes += cost_bytes
        self._remaining_bytes -= cost_bytes
        if self._remaining_bytes < 0:
            raise TooMuchReceivedError("the peer has sent too much")
