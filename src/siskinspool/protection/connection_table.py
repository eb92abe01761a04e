"""The connections of one listener, and which one ends if there are too many."""

from __future__ import annotations

import contextlib
from enum import StrEnum

import attrs
from gevent import socket

from .minimum_progress import TransferLag


class ConnectionPhase(StrEnum):
    """What a connection is doing."""

    # Between two requests, or before its first one is complete up to the body.
    IDLE = "idle"
    READING = "reading"
    # A request runs, or its answer is being written.
    RUNNING = "running"


@attrs.define(eq=False)
class Connection:
    """One connection of a caller."""

    sock: socket.socket = attrs.field(repr=False)
    # Of the phase; only bodies that are being read progress.
    lag: TransferLag
    phase: ConnectionPhase = ConnectionPhase.IDLE
    # The process has ended it; errors on its socket follow from that.
    is_ended: bool = False

    @classmethod
    def from_socket(
        cls, sock: socket.socket, needed_bytes_per_s: float, now: float
    ) -> Connection:
        """Return a new connection, whose bodies lag below a rate."""
        return cls(sock, TransferLag(needed_bytes_per_s, now))

    def enter(self, phase: ConnectionPhase, now: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.lag.restart(now)

    def stop_reading(self) -> None:
        """Let a read see the end of the connection; an answer can still be sent."""
        self._shut_down(socket.SHUT_RD)

    def end(self) -> None:
        """Let the connection's greenlet see the end of the connection."""
        self.is_ended = True
        self._shut_down(socket.SHUT_RDWR)

    def _shut_down(self, how: int) -> None:
        # The caller may have closed it before.
        with contextlib.suppress(OSError):
            self.sock.shutdown(how)


class ConnectionTable:
    """The open connections of a listener, up to a limit."""

    def __init__(self, max_connections: int, reading_lag_s: float) -> None:
        """Set how many may be open, and how much a body lags whose one may end."""
        self._max_connections = max_connections
        self._reading_lag_s = reading_lag_s
        self._connections: dict[Connection, None] = {}

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: Connection, now: float) -> Connection | None:
        """Add a connection; return the one to end, itself if no other may be."""
        if len(self._connections) < self._max_connections:
            self._connections[connection] = None
            return None
        ended = self._choose(now)
        if ended is None:
            return connection
        self.remove(ended)
        self._connections[connection] = None
        return ended

    def remove(self, connection: Connection) -> None:
        """Forget a connection; may be called more than once."""
        self._connections.pop(connection, None)

    def _choose(self, now: float) -> Connection | None:
        """Return the connection that has been idle longest, or lags most."""
        for phase, lag_s in (
            (ConnectionPhase.IDLE, 0.0),
            (ConnectionPhase.READING, self._reading_lag_s),
        ):
            found = [
                one
                for one in self._connections
                if one.phase is phase and one.lag.lag_s(now) >= lag_s
            ]
            if found:
                return max(found, key=lambda one: one.lag.lag_s(now))
        return None
