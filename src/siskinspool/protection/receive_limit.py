"""Limits what is received from one peer, and how long it keeps the process busy.

A socket on which bytes have always arrived never switches its greenlet, so that no
other greenlet runs and no timeout fires. `ReceiveLimit` counts the cost of what is
received, in bytes, and lets the others run after each `TURN_BYTES` of it.
"""

from __future__ import annotations

from typing import Final

import gevent

# Cost of what is received before the other greenlets run.
TURN_BYTES: Final = 64 * 1024


class TooMuchReceivedError(ConnectionError):
    """A peer has sent more than a limit allows."""


class ReceiveLimit:
    """The limit of one message or connection."""

    def __init__(self) -> None:
        self._remaining_bytes = 0
        # Cost since the others had their turn.
        self._turn_bytes = 0

    def renew(self, size: int) -> None:
        """Set the cost of what may be received from now on, in bytes."""
        self._remaining_bytes = size

    def take_turn(self) -> None:
        """Let the others run if it is time; called before more is received."""
        if self._turn_bytes >= TURN_BYTES:
            self._turn_bytes = 0
            gevent.sleep(0)

    def count(self, cost_bytes: int) -> None:
        """Count what was received; raise TooMuchReceivedError beyond the limit."""
        self._turn_bytes += cost_bytes
        self._remaining_bytes -= cost_bytes
        if self._remaining_bytes < 0:
            raise TooMuchReceivedError("the answer is too large")
