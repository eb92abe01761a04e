"""An HTTP client with kept connections that limits what an answer may cost.

The library's client reads until an answer ends. A peer may send bytes without end, and
as long as they have always arrived, the greenlet that reads them is never switched.
`BoundedClient` limits the bytes of a head, those of an answer and the number of header
lines, each of which is kept as objects, and yields to other greenlets in between.
"""

from __future__ import annotations

from typing import Any, Final

import gevent
from gevent import socket
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.header import Headers
from geventhttpclient.response import HTTPParseError, HTTPSocketPoolResponse

from ..protection.receive_limit import ReceiveLimit

# Of a head and its trailers together; callers, too, may send so many.
MAX_HEADER_LINES: Final = 100
MAX_HEAD_BYTES: Final = 64 * 1024


class _BoundedSocket(socket.socket):
    """A socket that limits the bytes of the answer that is being read."""

    def __init__(self, *kind: int) -> None:
        super().__init__(*kind)
        self.limit = ReceiveLimit()

    def recv(self, *args: Any) -> bytes:
        """Receive some bytes; raise TooMuchReceivedError beyond the limit."""
        if self.limit.should_yield():
            gevent.sleep(0)
        data: bytes = super().recv(*args)
        self.limit.count(len(data))
        return data


class _BoundedHeaders(Headers):
    """Header lines of one message, up to a number."""

    _line_count = 0

    def add(self, field: str, value: Any) -> None:
        """Add a line; raise HTTPParseError if there are too many."""
        self._line_count += 1
        if self._line_count > MAX_HEADER_LINES:
            raise HTTPParseError("too many header lines")
        super().add(field, value)


class _BoundedPool(ConnectionPool):
    """Connections that may receive a head when they are taken for a call."""

    def _create_tcp_socket(
        self, family: int, socktype: int, protocol: int
    ) -> socket.socket:
        return _BoundedSocket(family, socktype, protocol)

    def get_socket(self) -> socket.socket:
        """Return a connection for one call."""
        sock = super().get_socket()
        assert isinstance(sock, _BoundedSocket)
        sock.limit.renew(MAX_HEAD_BYTES)
        return sock


class BoundedClient(HTTPClient):
    """A client of one host; answers beyond a limit raise TooMuchReceivedError."""

    def __init__(
        self,
        host: str,
        port: int,
        *,
        connect_timeout_s: float,
        timeout_s: float,
        connections: int,
        max_answer_bytes: int,
    ) -> None:
        """Set the peer; ``timeout_s`` applies to each read."""
        super().__init__(
            host,
            port=port,
            connection_timeout=connect_timeout_s,
            network_timeout=timeout_s,
            concurrency=connections,
            headers_type=_BoundedHeaders,
        )
        self._connection_pool = _BoundedPool(
            host,
            port,
            host,
            port,
            size=connections,
            connection_timeout=connect_timeout_s,
            network_timeout=timeout_s,
        )
        self._max_answer_bytes = max_answer_bytes

    def request(self, *args: Any, **options: Any) -> HTTPSocketPoolResponse:
        """Send a request; return the answer once its head is complete."""
        response = super().request(*args, **options)
        self.renew_limit(response)
        return response

    def renew_limit(self, response: HTTPSocketPoolResponse) -> None:
        """Count the bytes of an answer from zero; for a stream of messages."""
        sock = response._sock
        if isinstance(sock, _BoundedSocket):
            sock.limit.renew(self._max_answer_bytes)
