"""The connection of one call, which limits what a server's answer may cost.

A received byte may cost far more than a byte: the parser keeps each header line as
objects, and needs as much processor time for a line or a chunk as for hundreds of plain
bytes. An `AnswerSocket` therefore counts the received bytes and what the parser makes
of them (`record_parsed`) together, against the limit of the answer and against the
memory that all unfinished answers share (`AnswerAllowance`). The same count decides
when the reader yields to other greenlets (`ReceiveLimit`).
"""

from __future__ import annotations

from abc import abstractmethod
from typing import Final, Protocol

import gevent

from ..protection.receive_limit import ReceiveLimit
from .answer_budget import AnswerAllowance

# Cost of a header line, or of the head of an interim answer, in addition to its bytes:
# the memory of its objects.
FIELD_COST_BYTES: Final = 256
# Cost of a chunk in addition to its bytes: what the processor does with plain bytes in
# the same time.
CHUNK_COST_BYTES: Final = 64


class Connection(Protocol):
    """What a call needs of its connection; a gevent socket has it."""

    @abstractmethod
    def recv(self, size: int, /) -> bytes:
        """Receive some bytes; none after the server has ended the connection.

        Raises ConnectionError if the server has reset it, other errors of class
        OSError if it failed otherwise.
        """

    @abstractmethod
    def sendall(self, data: bytes, /) -> None:
        """Send all bytes; raises errors of class OSError."""

    @abstractmethod
    def settimeout(self, timeout_s: float, /) -> None:
        """Set the limit on the time that one call may block."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection."""


class AnswerSocket:
    """A socket for `ServerResponse` that limits what is received.

    It remembers whether the server has sent anything, and whether it has closed or
    reset the connection.
    """

    def __init__(self, sock: Connection, allowance: AnswerAllowance) -> None:
        """Set the connection, and the answer's part of the budget of all answers."""
        self._sock = sock
        self._allowance = allowance
        self._limit = ReceiveLimit()
        self.has_received = False
        self.is_disconnected = False

    def set_limit(self, size: int) -> None:
        """Set the cost of what may be received from now on, without what came before.

        The cost is in bytes.
        """
        self._limit.renew(size)
        self._allowance.release()

    def recv(self, size: int) -> bytes:
        """Receive some bytes; raise an error if they exceed a limit."""
        if self._limit.should_yield():
            gevent.sleep(0)
        try:
            data = self._sock.recv(size)
        except ConnectionError:
            self.is_disconnected = True
            raise
        if data:
            self.has_received = True
        else:
            self.is_disconnected = True
        self._count(len(data))
        return data

    def record_parsed(self, cost_bytes: int) -> None:
        """Count what the parser made of the last bytes; raise an error at a limit."""
        self._count(cost_bytes)

    def _count(self, cost_bytes: int) -> None:
        self._limit.count(cost_bytes)
        self._allowance.add(cost_bytes)

    def send_all(self, data: bytes) -> None:
        """Send a whole request."""
        try:
            self._sock.sendall(data)
        except ConnectionError:
            self.is_disconnected = True
            raise

    def close(self) -> None:
        """Close the connection."""
        self._sock.close()
        self._allowance.release()
