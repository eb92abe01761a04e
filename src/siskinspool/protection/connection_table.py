"""The connections of one listener, and which one ends if there are too many."""

from __future__ import annotations

import contextlib
from enum import StrEnum
from typing import Final

import attrs
from gevent import socket

# A connection that is reading a body is not ended within this time of its progress.
READING_IDLE_S: Final = 1.0


class ConnectionPhase(StrEnum):
    """What a connection is doing."""

    # Between two requests, or before its first one is complete up to the body.
    IDLE = "idle"
    READING = "reading"
    # A request runs, or its answer is being written.
    RUNNING = "running"


@attrs.define(eq=False)
class Connection:
    """One connection of a caller; times are in seconds of the owner's clock."""

    socket: socket.socket = attrs.field(repr=False)
    # Start of the phase, or the last progress in it.
    active_at: float
    phase: ConnectionPhase = ConnectionPhase.IDLE

    def enter(self, phase: ConnectionPhase, now: float) -> None:
        """Change the phase, or note progress in the same one."""
        self.phase = phase
        self.active_at = now

    def stop_reading(self) -> None:
        """Let a read see the end of the connection; an answer can still be sent."""
        self._shut_down(socket.SHUT_RD)

    def end(self) -> None:
        """Let the connection's greenlet see the end of the connection."""
        self._shut_down(socket.SHUT_RDWR)

    def _shut_down(self, how: int) -> None:
        # The caller may have closed it before.
        with contextlib.suppress(OSError):
            self.socket.shutdown(how)


class ConnectionTable:
    """The open connections of a listener, up to a limit."""

    def __init__(self, max_connections: int) -> None:
        """Set how many connections may be open."""
        self._max_connections = max_connections
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
        """Return the connection that has been idle longest, or reads most slowly."""
        for phase, idle_s in (
            (ConnectionPhase.IDLE, 0.0),
            (ConnectionPhase.READING, READING_IDLE_S),
        ):
            found = [
                one
                for one in self._connections
                if one.phase is phase and now - one.active_at >= idle_s
            ]
            if found:
                return min(found, key=lambda one: one.active_at)
        return None
