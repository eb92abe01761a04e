"""A faulty server for tests that sends bytes endlessly until its peer closes."""

from __future__ import annotations

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
