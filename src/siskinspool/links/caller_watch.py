"""Detects that a caller closes its connection while its request is running."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final

import gevent
from gevent import socket
from gevent.hub import get_hub

# Event mask of libev for a file descriptor that is readable.
_READABLE: Final = 1


class CallerWatch:
    """Calls back once if the caller closes its connection before `stop`.

    `stop` has to be called before the socket is closed: the event loop must not poll a
    descriptor that is closed or belongs to another connection by then. It takes effect
    at once, which the end of a greenlet that waits for the socket would not.
    """

    def __init__(self, sock: socket.socket, on_gone: Callable[[], None]) -> None:
        """Watch a connected socket from now on."""
        self._sock = sock
        self._on_gone = on_gone
        self._greenlet: gevent.Greenlet[..., None] | None = None
        self._watcher: Any = get_hub().loop.io(sock.fileno(), _READABLE)
        self._watcher.start(self._on_readable)

    def stop(self) -> None:
        """End the watch; may be called more than once."""
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None
        if self._greenlet is not None:
            self._greenlet.kill(block=False)
            self._greenlet = None

    def _on_readable(self) -> None:
        # Bytes of a pipelined request end the watch, because a later close cannot be
        # detected while they are unread.
        self.stop()
        # The event loop itself must not wait.
        self._greenlet = gevent.spawn(self._check)

    def _check(self) -> None:
        try:
            is_gone = self._sock.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            is_gone = True
        self._greenlet = None
        if is_gone:
            self._on_gone()
