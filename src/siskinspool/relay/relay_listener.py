"""The serving side of relayed connections.

One greenlet serves each connection: it asks whether the server may get a request from
this instance, connects, and forwards the bytes in both directions, one block at a time.
The caller's end of the connection closes the server's at once, which cancels the call.
"""

from __future__ import annotations

import errno
import logging
from collections.abc import Callable, Iterable
from typing import Final

import attrs
import gevent
from gevent import socket
from gevent.event import Event
from gevent.pool import Pool
from gevent.server import StreamServer

from ..settings import Endpoint
from ..telemetry.logs import log_event
from .relay_messages import RelayDenied, RelayGranted
from .relay_protocol import (
    END_FRAME,
    LENGTH_BYTES,
    MAX_BLOCK_BYTES,
    RESET_FRAME,
    RelayAnswer,
    RelayOpen,
    RelayProtocolError,
    decode_opening,
    decode_opening_length,
    encode_data,
    encode_opening,
)
from .relayed_socket import receive_exactly

logger = logging.getLogger(__name__)

MAX_RELAYED_CONNECTIONS: Final = 256
# The opening frame follows the connection at once.
OPENING_TIMEOUT_S: Final = 1.0
CONNECT_TIMEOUT_S: Final = 0.3
# The caller ends a call at its timeout. This ends one whose caller has vanished.
TIMEOUT_MARGIN_S: Final = 1.0
MAX_TIMEOUT_S: Final = 600.0
# Lets the caller close first, so that the last frame is not lost by a reset.
CLOSE_WAIT_S: Final = 0.5

# Asks whether this instance may connect to a server.
AskPermission = Callable[[RelayOpen], RelayGranted | RelayDenied]


@attrs.define
class RelayCounts:
    """Counts since the start of the process."""

    opened: int = 0
    refused: int = 0


class RelayListener:
    """Accepts relayed connections of other instances."""

    def __init__(
        self, host: str, ports: Iterable[int], ask_permission: AskPermission
    ) -> None:
        """Bind the first free port, or one that the kernel chooses."""
        listener = _bind(host, ports)
        self.port = int(listener.getsockname()[1])
        # Its greenlets end with the listener.
        self._server = StreamServer(listener, self._serve, spawn=Pool())
        self._ask_permission = ask_permission
        self._counts = RelayCounts()
        self._active_count = 0
        self._is_idle = Event()
        self._is_idle.set()
        self._refuses_new = False

    def start(self) -> None:
        """Start accepting connections."""
        self._server.start()

    def stop(self) -> None:
        """Close all connections."""
        self._server.stop(timeout=0.1)

    def refuse_new(self) -> None:
        """Refuse new connections, as the instance is stopping."""
        self._refuses_new = True

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no connection is open; return False on a timeout."""
        return bool(self._is_idle.wait(max(timeout_s, 0.0)))

    def gauges(self) -> dict[str, float]:
        """Return the open connections and the counts by name."""
        return {
            "relay.open_connections": float(self._active_count),
            "relay.opened": float(self._counts.opened),
            "relay.refused": float(self._counts.refused),
        }

    def _serve(self, caller: socket.socket, _: object) -> None:
        self._active_count += 1
        self._is_idle.clear()
        server: socket.socket | None = None
        try:
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            opening = _read_opening(caller)
            server = self._open(caller, opening)
            if server is not None:
                timeout_s = min(opening.timeout_s, MAX_TIMEOUT_S) + TIMEOUT_MARGIN_S
                with gevent.Timeout(timeout_s, TimeoutError("the call has ended")):
                    _forward_both(caller, server)
        except (OSError, RelayProtocolError) as error:
            logger.debug("relayed connection failed: %s", error)
        finally:
            for sock in (caller, server):
                if sock is not None:
                    sock.close()
            self._active_count -= 1
            if self._active_count == 0:
                self._is_idle.set()

    def _open(self, caller: socket.socket, opening: RelayOpen) -> socket.socket | None:
        """Answer the caller's opening frame; return the connection to the server."""
        permission = self._permission(opening)
        if isinstance(permission, RelayDenied):
            is_unable = permission.is_unable
            self._refuse(caller, opening, permission.reason, is_unable=is_unable)
            return None
        server = _connect(permission)
        if server is None:
            self._refuse(caller, opening, "no connection", is_unable=True)
            return None
        try:
            caller.sendall(encode_opening(RelayAnswer(is_open=True)))
        except OSError:
            server.close()
            raise
        self._counts.opened += 1
        return server

    def _permission(self, opening: RelayOpen) -> RelayGranted | RelayDenied:
        if self._refuses_new:
            return RelayDenied("the instance is stopping")
        if self._active_count > MAX_RELAYED_CONNECTIONS:
            return RelayDenied("too many relayed connections")
        return self._ask_permission(opening)

    def _refuse(
        self,
        caller: socket.socket,
        opening: RelayOpen,
        reason: str,
        *,
        is_unable: bool = False,
    ) -> None:
        self._counts.refused += 1
        log_event(
            logger,
            logging.INFO,
            "relay_refused",
            server=opening.server_id,
            reason=reason,
        )
        answer = RelayAnswer(is_open=False, is_unable=is_unable, reason=reason)
        caller.sendall(encode_opening(answer))


def connect_directly(endpoint: Endpoint, timeout_s: float) -> socket.socket | None:
    """Return a connection to a server, or None if there is none in time."""
    try:
        sock = socket.create_connection((endpoint.host, endpoint.port), timeout_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    except OSError:
        return None
    return sock


def _read_opening(caller: socket.socket) -> RelayOpen:
    caller.settimeout(OPENING_TIMEOUT_S)
    length = decode_opening_length(receive_exactly(caller, LENGTH_BYTES))
    return decode_opening(receive_exactly(caller, length), RelayOpen)


def _connect(granted: RelayGranted) -> socket.socket | None:
    endpoint = Endpoint(host=granted.host, port=granted.port)
    return connect_directly(endpoint, CONNECT_TIMEOUT_S)


def _forward_both(caller: socket.socket, server: socket.socket) -> None:
    """Forward bytes until the server has ended or the caller has left."""
    caller.settimeout(None)
    server.settimeout(None)
    requests = gevent.spawn(_forward_request, caller, server)
    answers = gevent.spawn(_forward_answer, server, caller)
    ended = Event()
    for greenlet in (requests, answers):
        greenlet.rawlink(lambda _: ended.set())
    try:
        ended.wait()
        if answers.dead:
            requests.join(CLOSE_WAIT_S)
    finally:
        gevent.killall([requests, answers])


def _forward_request(caller: socket.socket, server: socket.socket) -> None:
    """Forward the request until the caller closes its connection."""
    is_open = True
    try:
        while block := caller.recv(MAX_BLOCK_BYTES):
            # The other direction tells how the server has ended.
            is_open = is_open and _send(server, block)
    except OSError as error:
        logger.debug("the caller has left: %s", error)


def _send(server: socket.socket, block: bytes) -> bool:
    """Send a block; return False if the server does not read any more."""
    try:
        server.sendall(block)
    except OSError:
        return False
    return True


def _forward_answer(server: socket.socket, caller: socket.socket) -> None:
    """Forward what the server sends, and how it ends."""
    try:
        try:
            while block := _receive(server):
                caller.sendall(encode_data(block))
            last = END_FRAME
        except _ServerResetError:
            last = RESET_FRAME
        caller.sendall(last)
    except OSError as error:
        logger.debug("the caller has left: %s", error)


class _ServerResetError(Exception):
    """The server has reset the connection."""


def _receive(server: socket.socket) -> bytes:
    try:
        return bytes(server.recv(MAX_BLOCK_BYTES))
    except OSError as error:
        raise _ServerResetError(str(error)) from error


def _bind(host: str, ports: Iterable[int]) -> socket.socket:
    """Return a listening socket on the first free port, or on any port."""
    for port in (*ports, 0):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError as error:
            sock.close()
            if error.errno != errno.EADDRINUSE:
                raise
            continue
        sock.listen(MAX_RELAYED_CONNECTIONS)
        return sock
    raise OSError(errno.EADDRINUSE, "no port is free")
