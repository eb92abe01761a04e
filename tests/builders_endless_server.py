"""Faulty servers for tests that send bytes endlessly until their peer closes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import gevent
from gevent import socket
from gevent.server import StreamServer

PIECE_BYTES = 4096


@attrs.define
class EndlessServer:
    """Sends a beginning and then the same piece repeatedly."""

    beginning: bytes
    piece: bytes
    # Time between two pieces, in seconds.
    pause_s: float
    port: int = 0
    sent_bytes: int = 0
    connections_open: int = 0

    def handle(self, sock: socket.socket, address: object) -> None:
        """Answer one connection."""
        self.connections_open += 1
        try:
            sock.recv(65_536)
            sock.sendall(self.beginning)
            while True:
                sock.sendall(self.piece)
                self.sent_bytes += len(self.piece)
                gevent.sleep(self.pause_s)
        except OSError:
            # The peer has closed.
            pass
        finally:
            self.connections_open -= 1


class ReadySocket(ABC):
    """A connection on which the next bytes have always arrived.

    A greenlet that reads from it is never switched by the socket.
    """

    def __init__(self) -> None:
        self.received_bytes = 0

    def recv(self, size: int) -> bytes:
        """Return the next bytes."""
        data = self.next_piece()
        assert len(data) <= size
        self.received_bytes += len(data)
        return data

    @abstractmethod
    def next_piece(self) -> bytes:
        """Return the next bytes, empty at the end."""

    def sendall(self, data: bytes) -> None:
        """Send nothing."""
        return

    def setsockopt(self, *option: int) -> None:
        """Set nothing."""
        return

    def settimeout(self, timeout_s: float) -> None:
        """Set nothing."""
        return

    def close(self) -> None:
        """Close nothing."""
        return


class EndlessSocket(ReadySocket):
    """Has a beginning and then the same piece without end."""

    def __init__(self, beginning: bytes, piece: bytes) -> None:
        super().__init__()
        self._beginning = beginning
        self._piece = piece

    def next_piece(self) -> bytes:
        """Return the beginning once, and then the piece."""
        data = self._beginning or self._piece
        self._beginning = b""
        return data


class PiecewiseSocket(ReadySocket):
    """Has the bytes of an answer in pieces of a size."""

    def __init__(self, data: bytes, piece_bytes: int) -> None:
        super().__init__()
        self._data = data
        self._piece_bytes = piece_bytes

    def next_piece(self) -> bytes:
        """Return the next piece."""
        begin = self.received_bytes
        return self._data[begin : begin + self._piece_bytes]


@contextmanager
def endless_server(
    beginning: bytes, piece: bytes, pause_s: float = 0.0
) -> Iterator[EndlessServer]:
    """Run a server on a free port."""
    server = EndlessServer(beginning, piece, pause_s)
    listener = StreamServer(("127.0.0.1", 0), server.handle)
    listener.start()
    server.port = int(listener.server_port or 0)
    try:
        yield server
    finally:
        listener.stop(timeout=0.1)
