"""HTTP client for servers and services.

Every call opens its own connection and closes it at the end. A pooled connection would
save one round trip of about a millisecond, but the HTTP client may resend a request
when a pooled connection is stale, and a truncated stream could leave bytes for the next
call. With one connection per call neither can happen (R8, R10).

`open_call` sends the request once. `NotSent` means that no byte of it was sent; any
later failure is `Lost`: the server may have run the call. A faulty server may send
unlimited data, so the head, the body and each event have a limit (`AnswerSocket`), all
unfinished answers share a budget (`AnswerBudget`), and the head has a time limit. Bytes
after the answer belong to no call and are dropped (`ServerResponse`).
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Final

import attrs
import gevent
from gevent import socket

from ..protection.caller_protection import CallerProtection
from ..server_signals.observations import ServerStart
from .answer_budget import AnswerBudget
from .answer_socket import AnswerSocket, Connection
from .server_response import ServerResponse

CONNECT_TIMEOUT_S: Final = 1.0
MAX_HEAD_BYTES: Final = 64 * 1024
MAX_EVENT_BYTES: Final = 1024 * 1024
MAX_BODY_BYTES: Final = 8 * 1024 * 1024
# Of a server's report, whose names are kept as objects. The names of 1,700 models and
# 8,700 adapters take less than a third of it.
MAX_REPORT_BYTES: Final = 1024 * 1024
# Bodies up to this size are sent with the head, which saves a packet.
MAX_COPIED_BODY_BYTES: Final = 16 * 1024


@attrs.frozen
class ServerRequest:
    """A request to a server."""

    host: str
    port: int
    method: str
    uri: str
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)
    # Value of the `Host` header; None for the server's address.
    host_header: str | None = None
    # The start of the server that is meant; None if nothing else identifies it.
    start: ServerStart | None = None


@dataclass(frozen=True)
class NotSent:
    """No byte of the request left this instance."""

    reason: str
    # No server can be reached, so the failure shows nothing of this one.
    is_isolated: bool = False
    # The permission to send had ended, which shows nothing of the server either.
    is_withheld: bool = False


@dataclass(frozen=True)
class Lost:
    """The request may have reached the server, but no complete answer was received."""

    reason: str
    # The server closed or reset the connection before the end of the answer.
    is_disconnect: bool = False
    # Bytes of the answer had arrived.
    has_begun: bool = False


class Answer(ABC):
    """An answer whose head was received."""

    status: int
    headers: dict[str, str]
    # The instance through which the call was sent; empty for a direct connection.
    relay_id: str = ""

    @abstractmethod
    def read_all(self, max_bytes: int = MAX_BODY_BYTES) -> bytes | Lost:
        """Return the whole body, or Lost if it is incomplete or too large."""

    @abstractmethod
    def events(self) -> Iterator[bytes | Lost]:
        """Yield whole server-sent events; a Lost, if any, is the last item."""

    @abstractmethod
    def close(self) -> None:
        """Close the connection, which cancels the call at the server."""


class HttpAnswer(Answer):
    """An answer with its own connection."""

    def __init__(
        self, sock: AnswerSocket, response: ServerResponse, *, ends_by_close: bool
    ) -> None:
        """Initialise; ``ends_by_close`` accepts answers without a length."""
        self._sock = sock
        self._response = response
        self._ends_by_close = ends_by_close
        self.status = int(response.status_code)
        self.headers = {
            str(name).lower(): value if isinstance(value, str) else ", ".join(value)
            for name, value in response.items()
        }

    def read_all(self, max_bytes: int = MAX_BODY_BYTES) -> bytes | Lost:
        """Return the whole body, or Lost if it is incomplete or too large."""
        if not self._is_framed():
            # Without a length, a truncated body would look complete.
            return self._lost("the answer has neither a length nor chunks")
        self._sock.set_limit(max_bytes)
        try:
            body = bytes(self._response.read())
        except Exception as error:
            return self._lost(_reason(error))
        if not self._response.message_complete:
            return self._lost("the answer ended early")
        return body

    def events(self) -> Iterator[bytes | Lost]:
        """Yield whole server-sent events; a Lost, if any, is the last item."""
        self._sock.set_limit(MAX_EVENT_BYTES)
        has_events = False
        try:
            while event := self._response.read_event():
                has_events = True
                yield event
                self._sock.set_limit(MAX_EVENT_BYTES)
        except Exception as error:
            yield self._lost(_reason(error))
            return
        # Even a complete body may end in the middle of an event.
        if not self._response.message_complete or self._response.read():
            yield self._lost("the answer ended early")
        elif not has_events and not self._declares_end():
            # A server that ends after the head closes the connection, too.
            yield self._lost("the stream has neither an event nor an end")

    def _lost(self, reason: str) -> Lost:
        return _lost(self._sock, reason)

    def _is_framed(self) -> bool:
        return self._ends_by_close or self._declares_end()

    def _declares_end(self) -> bool:
        """Return whether the end of the body shows without the connection's."""
        if self.status in (204, 304) or self._response.method == "HEAD":
            return True
        is_chunked = "chunked" in self.headers.get("transfer-encoding", "").lower()
        return is_chunked or "content-length" in self.headers

    def close(self) -> None:
        """Close the connection, which cancels the call at the server."""
        self._sock.close()


class ServerLink(ABC):
    """Sends calls to servers."""

    @abstractmethod
    def open_call(
        self,
        request: ServerRequest,
        timeout_s: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Answer | NotSent | Lost:
        """Send a request once and return the answer's head.

        ``may_send`` is called right before the first byte is sent: the process may have
        been paused since the caller decided to send.
        """

    def has_lost_path(self, start: ServerStart) -> bool:
        """Return whether this instance does not reach a server that others reach.

        A connection to the server that was lost then shows no fault of the server.
        Takes the time of some connections.
        """
        return False


class HttpServerLink(ServerLink):
    """HTTP/1.1 over TCP."""

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        *,
        ends_by_close: bool = False,
        budget: AnswerBudget | None = None,
    ) -> None:
        """Set the connection timeout, and the memory for unfinished answers.

        With ``ends_by_close``, an answer without a length is complete when the server
        closes the connection; after a reset it is still incomplete.
        """
        self._connect_timeout_s = connect_timeout_s
        self._ends_by_close = ends_by_close
        self._budget = budget or AnswerBudget()

    @classmethod
    def from_protection(
        cls,
        protection: CallerProtection,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        *,
        ends_by_close: bool = False,
    ) -> HttpServerLink:
        """Return the link of a front end, within the limits of its process."""
        return cls(
            connect_timeout_s,
            ends_by_close=ends_by_close,
            budget=AnswerBudget.within(protection.limits.answer_read_bytes),
        )

    def open_call(
        self,
        request: ServerRequest,
        timeout_s: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Answer | NotSent | Lost:
        """Send a request once and return the answer's head."""
        connection = self.connect(request, timeout_s)
        if isinstance(connection, NotSent):
            return connection
        return self.exchange(connection, request, timeout_s, may_send)

    def connect(self, request: ServerRequest, timeout_s: float) -> Connection | NotSent:
        """Open a connection to the server of a request."""
        address = request.host, request.port
        try:
            sock = socket.create_connection(
                address, min(self._connect_timeout_s, timeout_s)
            )
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except Exception as error:
            # Also for a host that cannot be encoded for a look-up.
            return NotSent(_reason(error))
        return sock

    def exchange(
        self,
        connection: Connection,
        request: ServerRequest,
        timeout_s: float,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Answer | NotSent | Lost:
        """Send a request on an open connection and return the answer's head."""
        if not may_send():
            connection.close()
            return NotSent("the permission to send has ended", is_withheld=True)
        allowance = self._budget.new_allowance(f"{request.host}:{request.port}")
        answer_sock = AnswerSocket(connection, allowance)
        try:
            connection.settimeout(timeout_s)
            for part in encode_request(request):
                answer_sock.send_all(part)
            answer_sock.set_limit(MAX_HEAD_BYTES)
            # The socket's timeout applies to each read; bytes may arrive one by one.
            with gevent.Timeout(timeout_s, TimeoutError("no head in time")):
                response = ServerResponse(answer_sock, request.method)
            if not response.has_valid_status:
                raise ValueError(
                    f"no final answer has the status {response.get_code()}"
                )
        except Exception as error:
            answer_sock.close()
            return _lost(answer_sock, _reason(error))
        except BaseException:
            # The call was cancelled while waiting for the answer's head.
            answer_sock.close()
            raise
        return HttpAnswer(answer_sock, response, ends_by_close=self._ends_by_close)


def encode_request(request: ServerRequest) -> tuple[bytes, ...]:
    """Encode a request in parts; header values must not contain line breaks.

    A large body is a part of its own, so that no second copy is made of it.
    """
    lines = [
        f"{request.method} {request.uri} HTTP/1.1",
        f"Host: {request.host_header or f'{request.host}:{request.port}'}",
        "Connection: close",
    ]
    if request.body or request.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(request.body)}")
    for name, value in request.headers.items():
        if "\r" in value or "\n" in value:
            raise ValueError(f"header {name} contains a line break")
        lines.append(f"{name}: {value}")
    head = "\r\n".join(lines) + "\r\n\r\n"
    encoded = head.encode("latin-1", "replace")
    if len(request.body) > MAX_COPIED_BODY_BYTES:
        return encoded, request.body
    return (encoded + request.body,)


def _lost(sock: AnswerSocket, reason: str) -> Lost:
    """Return the outcome of a call whose answer is not complete."""
    return Lost(reason, sock.is_disconnected, sock.has_received)


def _reason(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"[:200]
