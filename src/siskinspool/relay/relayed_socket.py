"""The calling side of a relayed connection."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import Final

import gevent
from gevent import socket

from .relay_protocol import (
    LENGTH_BYTES,
    DataFrame,
    EndFrame,
    Frame,
    FrameReader,
    RelayAnswer,
    RelayOpen,
    RelayProtocolError,
    decode_opening,
    decode_opening_length,
    encode_opening,
)

# Of the connection to the other instance, whose host is near or gone.
CONNECT_TIMEOUT_S: Final = 0.3


class RelayLostError(OSError):
    """The connection to the other instance failed, which shows nothing of the server.

    It is no ConnectionError, which would count as the server's.
    """


@dataclass(frozen=True)
class RelayRefused:
    """No connection was made; nothing was sent to the server."""

    reason: str
    # The other instance could not connect to the server.
    is_unable: bool = False
    # The other instance did not answer.
    is_lost: bool = False


class RelayedSocket:
    """A connection to a server through another instance; see `Connection`."""

    def __init__(self, sock: socket.socket) -> None:
        """Initialize with the connection to the other instance, once it is open."""
        self._sock = sock
        self._reader = FrameReader()
        self._frames: deque[Frame] = deque()

    def recv(self, size: int, /) -> bytes:
        """Receive some bytes of the server; none at the end of the connection."""
        while not self._frames:
            self._receive(size)
        match self._frames[0]:
            case DataFrame(data):
                if len(data) > size:
                    self._frames[0] = DataFrame(data[size:])
                    return data[:size]
                self._frames.popleft()
                return data
            case EndFrame():
                return b""
        raise ConnectionResetError("the server has reset the relayed connection")

    def sendall(self, data: bytes, /) -> None:
        """Send all bytes to the server."""
        try:
            self._sock.sendall(data)
        except ConnectionError as error:
            raise RelayLostError(f"sending through the relay: {error}") from error

    def settimeout(self, timeout_s: float, /) -> None:
        """Set the limit on the time that one call may block."""
        self._sock.settimeout(timeout_s)

    def close(self) -> None:
        """Close the connection, which closes the one to the server, too."""
        self._sock.close()

    def _receive(self, size: int) -> None:
        try:
            data = self._sock.recv(size)
        except ConnectionError as error:
            raise RelayLostError(f"reading from the relay: {error}") from error
        if not data:
            raise RelayLostError("the relay has closed the connection")
        try:
            self._frames.extend(self._reader.feed(data))
        except RelayProtocolError as error:
            raise RelayLostError(f"from the relay: {error}") from error


def open_relayed(
    host: str, port: int, opening: RelayOpen, timeout_s: float
) -> RelayedSocket | RelayRefused:
    """Return a connection to a server through the instance at an address.

    ``timeout_s`` is for the opening alone.
    """
    deadline = gevent.Timeout.start_new(timeout_s)
    sock: socket.socket | None = None
    try:
        connect_s = min(CONNECT_TIMEOUT_S, timeout_s)
        sock = socket.create_connection((host, port), connect_s)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(timeout_s)
        sock.sendall(encode_opening(opening))
        answer = _read_answer(sock)
    except gevent.Timeout as expired:
        _close(sock)
        if expired is not deadline:
            raise
        return RelayRefused("the relay did not answer in time", is_lost=True)
    except (OSError, RelayProtocolError) as error:
        _close(sock)
        return RelayRefused(f"{type(error).__name__}: {error}", is_lost=True)
    except BaseException:
        # The call was cancelled.
        _close(sock)
        raise
    finally:
        deadline.close()
    if not answer.is_open:
        sock.close()
        return RelayRefused(answer.reason, is_unable=answer.is_unable)
    return RelayedSocket(sock)


def _read_answer(sock: socket.socket) -> RelayAnswer:
    length = decode_opening_length(receive_exactly(sock, LENGTH_BYTES))
    return decode_opening(receive_exactly(sock, length), RelayAnswer)


def receive_exactly(sock: socket.socket, size: int) -> bytes:
    """Return this many bytes; raises ConnectionError if the connection ends before."""
    data = b""
    while len(data) < size:
        block = sock.recv(size - len(data))
        if not block:
            raise ConnectionError("the connection has ended")
        data += block
    return data


def _close(sock: socket.socket | None) -> None:
    if sock is not None:
        sock.close()
