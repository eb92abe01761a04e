"""Limits and error handling for connections from callers.

`CallerHandler` extends gevent's WSGI handler: it limits the size and the time of the
header section and checks it, ends a cut answer without the final chunk, and logs
connection errors.
`CallerServer` keeps the number of connections within the limit of its table.
After an answer that leaves a part of a body unread, the connection closes, because that
part must not be read as the next request. `received_request` reads the bodies.
"""

from __future__ import annotations

import logging
from http import HTTPStatus
from typing import Any, Final, cast

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from ..core.errors import ErrorCode
from ..core.outcome import Refusal, RunState
from ..protection.caller_protection import CallerProtection
from ..protection.connection_table import Connection, ConnectionPhase, ConnectionTable
from ..protection.limit_counters import Limit
from ..telemetry.logs import log_event
from .caller import CutStreamError, refusal_item
from .header_section import HeaderSection, HeadersTooLargeError
from .received_request import (
    BODY_TOO_LARGE,
    MAX_BODY_BYTES,
    OVERLOAD_RETRY_S,
    stop_reading_body,
)

logger = logging.getLogger(__name__)

MAX_HEADER_BYTES: Final = 16 * 1024
# Timeout for each read or write on a caller's connection.
SOCKET_TIMEOUT_S: Final = 30.0
# Time for a header section, from its first byte.
HEAD_TIMEOUT_S: Final = 10.0
# New connections that are accepted before the others get their turn. Each holds a
# descriptor until its greenlet has run.
MAX_ACCEPT: Final = 20


class _RefusedRequestError(Exception):
    """A request that is refused before its body is read."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.code)
        self.refusal = refusal


_HEADERS_TOO_LARGE: Final = Refusal(
    431, ErrorCode.HEADERS_TOO_LARGE, "the headers are too large"
)
_HEADERS_TOO_SLOW: Final = Refusal(
    408, ErrorCode.REQUEST_TIMEOUT, "the headers did not arrive in time"
)
_NO_CONNECTION: Final = Refusal(
    503,
    ErrorCode.OVERLOADED,
    "too many connections",
    retry_after_s=OVERLOAD_RETRY_S,
)
_NOT_HTTP: Final = Refusal(
    400, ErrorCode.BAD_REQUEST, "the request line or the headers cannot be read"
)


class CallerServer(WSGIServer):
    """A WSGI server for callers, with a limit on connections."""

    max_accept = MAX_ACCEPT

    def __init__(
        self,
        listener: tuple[str, int],
        application: Any,
        protection: CallerProtection,
        *,
        handler_class: type[CallerHandler],
        connections: ConnectionTable | None = None,
        eviction_limit: Limit = Limit.CONNECTION_EVICTED,
    ) -> None:
        """Set the listener; ``connections`` replaces the table of the protection."""
        super().__init__(
            listener,
            application,
            log=None,
            error_log=None,
            handler_class=handler_class,
            # Otherwise the base class looks the name of the host up, which may take
            # seconds, and loads a thread pool for it.
            environ={"SERVER_NAME": listener[0]},
        )
        self.protection = protection
        if connections is None:
            connections = protection.connections
        self._connections = connections
        self._eviction_limit = eviction_limit

    def handle(self, sock: Any, address: Any) -> None:
        """Serve one connection, unless there are too many."""
        now = self.protection.clock.now()
        needed_bytes_per_s = self.protection.settings.needed_bytes_per_s
        connection = Connection.from_socket(sock, needed_bytes_per_s, now)
        ended = self._connections.add(connection, now)
        if ended is connection:
            self.protection.record(Limit.CONNECTION_REFUSED)
            _refuse_connection(sock)
            return
        if ended is not None:
            self.protection.record(self._eviction_limit)
            ended.end()
        try:
            handler = self.handler_class(sock, address, self)
            assert isinstance(handler, CallerHandler)
            handler.connection = connection
            handler.handle()
        finally:
            self._connections.remove(connection)


def _refuse_connection(sock: Any) -> None:
    """Answer that there are too many connections; never waits for the caller."""
    sock.settimeout(0.0)
    try:
        sock.send(_encode_refusal(_NO_CONNECTION))
    except OSError:
        # The send buffer of a new connection has room, so the caller has gone.
        pass
    finally:
        sock.close()


class CallerHandler(WSGIHandler):
    """Limits the header section and passes the connection to the application."""

    connection: Connection
    _head_bytes = 0

    idle_timeout_s = SOCKET_TIMEOUT_S
    head_timeout_s = HEAD_TIMEOUT_S
    max_header_bytes = MAX_HEADER_BYTES
    _head_timer: gevent.Timeout | None = None

    def handle(self) -> None:
        """Serve the requests of one connection."""
        # Also applies while waiting for a head, so that idle connections are closed.
        self.socket.settimeout(self.idle_timeout_s)
        try:
            super().handle()
        except OSError as error:
            # A refusal could not be sent, as the connection has ended.
            self.log_error(type(error).__name__)

    def handle_one_request(self) -> Any:
        """Serve the next request of the connection."""
        self._enter(ConnectionPhase.IDLE)
        try:
            return super().handle_one_request()
        finally:
            self._stop_head_timer()

    def read_requestline(self) -> Any:
        """Read the first line of a request; its time starts with the first byte."""
        self.rfile.peek(1)
        self._head_timer = gevent.Timeout.start_new(
            self.head_timeout_s, TimeoutError("no head in time")
        )
        return super().read_requestline()

    def _stop_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.close()
            self._head_timer = None

    def read_request(self, raw_requestline: str) -> Any:
        """Read the head of a request; raise an exception to refuse it."""
        rfile = self.rfile
        section = HeaderSection(rfile, self.max_header_bytes)
        self.rfile = cast(Any, section)
        try:
            valid = super().read_request(raw_requestline)
        finally:
            self.rfile = rfile
            self._stop_head_timer()
        self._head_bytes = section.read_bytes
        section.check_framing(self.request_version)
        if (self.content_length or 0) > MAX_BODY_BYTES:
            raise _RefusedRequestError(BODY_TOO_LARGE)
        return valid

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Return the answer to a request that cannot be parsed."""
        refusal = _NOT_HTTP
        if isinstance(ex, _RefusedRequestError):
            refusal = ex.refusal
        elif isinstance(ex, HeadersTooLargeError):
            refusal = _HEADERS_TOO_LARGE
        elif isinstance(ex, TimeoutError):
            refusal = _HEADERS_TOO_SLOW
        self.close_connection = True
        log_event(
            logger,
            logging.INFO,
            "refused",
            code=refusal.code,
            error=type(ex).__name__,
        )
        return str(refusal.status), _encode_refusal(refusal)

    def _send_refusal(self, refusal: Refusal) -> None:
        self.close_connection = True
        self.socket.sendall(_encode_refusal(refusal))

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment."""
        environ: dict[str, Any] = super().get_environ()
        self._enter(ConnectionPhase.RUNNING)
        environ["siskinspool.socket"] = self.socket
        environ["siskinspool.connection"] = self.connection
        environ["siskinspool.protection"] = self._protection()
        environ["siskinspool.head_bytes"] = self._head_bytes
        # Requests to switch protocols are ignored (RFC 9110, section 7.8). gevent would
        # pass on the bare connection, where the next request follows the body.
        environ["wsgi.input"] = self.wsgi_input
        # The raw request target; PATH_INFO is decoded.
        environ["siskinspool.target"] = self.path
        return environ

    def finalize_headers(self) -> None:
        """Complete the head of an answer.

        A body that the application has not read ends the connection: gevent would read
        it, however long it is, to find the next request.
        """
        super().finalize_headers()
        if not self._has_unread_body():
            return
        self.close_connection = True
        stop_reading_body(self.wsgi_input)
        headers = cast(list[tuple[bytes, bytes]], self.response_headers)
        if all(name.lower() != b"connection" for name, _ in headers):
            headers.append((b"Connection", b"close"))

    def _has_unread_body(self) -> bool:
        source: Any = self.wsgi_input
        return bool(
            source.chunked_input or source.position < (source.content_length or 0)
        )

    def _protection(self) -> CallerProtection:
        server = self.server
        assert isinstance(server, CallerServer)
        return server.protection

    def _enter(self, phase: ConnectionPhase) -> None:
        self.connection.enter(phase, self._protection().clock.now())

    def log_error(self, msg: str, *args: object) -> None:
        """Log a connection error at debug level, since broken connections are normal.

        The text after the first colon quotes the request, which may contain a key.
        """
        detail = msg.partition(":")[0][:100]
        log_event(logger, logging.DEBUG, "connection_error", detail=detail)

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close the connection after an exception in the application."""
        if isinstance(v, CutStreamError) or self.connection.is_ended:
            # Without the final chunk the caller can detect the cut answer (R8).
            self.close_connection = True
            return
        if isinstance(v, OSError):
            super().handle_error(t, v, tb)
            return
        log_event(logger, logging.ERROR, "request_failed", error=t.__name__)
        logger.debug("request failure", exc_info=(t, v, tb))
        self.close_connection = True
        if not self.headers_sent:
            refusal = Refusal(
                500, ErrorCode.INTERNAL, "internal error", RunState.UNKNOWN
            )
            self._send_refusal(refusal)


def _encode_refusal(refusal: Refusal) -> bytes:
    """Encode a refusal that closes the connection."""
    body = refusal_item(refusal).body
    head = (
        f"HTTP/1.1 {refusal.status} {HTTPStatus(refusal.status).phrase}\r\n"
        "Content-Type: application/problem+json\r\nConnection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
