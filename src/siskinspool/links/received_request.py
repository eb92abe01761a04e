"""Reads the requests of callers from their connections.

`read_body` reads a body within limits on its size, its pace and the memory of all
bodies, and `read_request` a whole request. After a refusal that leaves a part of a body
unread, the connection closes, because that part must not be read as the next request.
"""

from __future__ import annotations

from typing import Any, Final

import attrs

from ..contracts.call import HttpRequest
from ..core.errors import ErrorCode
from ..core.outcome import Refusal
from ..protection.body_reader import BodyFailure, BodyReader
from ..protection.caller_protection import BodyRoom, CallerProtection
from ..protection.connection_table import Connection, ConnectionPhase

MAX_BODY_BYTES: Final = 8 * 1024 * 1024
# Longest window of the least progress of a body: a slow caller is served, and one that
# sends a byte now and then is not.
PIECE_TIMEOUT_S: Final = 30.0
# Callers that were refused for lack of room may come again after this time; a body
# waits about as long for room.
OVERLOAD_RETRY_S: Final = 1.0

BODY_TOO_LARGE: Final = Refusal(413, ErrorCode.BODY_TOO_LARGE, "the body is too large")
_BODY_TOO_SLOW: Final = Refusal(
    408, ErrorCode.REQUEST_TIMEOUT, "the body did not arrive in time"
)
_BODY_INCOMPLETE: Final = Refusal(400, ErrorCode.BAD_REQUEST, "the body ended early")
_BODY_SHED: Final = Refusal(
    408,
    ErrorCode.REQUEST_TIMEOUT,
    "the body came too slowly while memory was short",
    retry_after_s=OVERLOAD_RETRY_S,
)
_NO_ROOM: Final = Refusal(
    503,
    ErrorCode.OVERLOADED,
    "there is no memory for the body at present",
    retry_after_s=OVERLOAD_RETRY_S,
)
_REFUSAL_BY_FAILURE: Final = {
    BodyFailure.TOO_LARGE: BODY_TOO_LARGE,
    BodyFailure.TOO_SLOW: _BODY_TOO_SLOW,
    BodyFailure.SHED: _BODY_SHED,
    BodyFailure.NO_ROOM: _NO_ROOM,
    BodyFailure.INCOMPLETE: _BODY_INCOMPLETE,
}


@attrs.frozen
class ReceivedBody:
    """The body of a request, with the room that it takes until `release`."""

    data: bytes = attrs.field(repr=False)
    room: BodyRoom

    def release(self) -> None:
        """Free the room at the end of the request."""
        self.room.release()


def stop_reading_body(source: Any) -> None:
    """Keep gevent from reading the rest of a body; ``source`` is its WSGI input."""
    source._chunked_input_error = True


def read_body(environ: dict[str, Any], max_bytes: int) -> ReceivedBody | Refusal:
    """Return the body of the request in a WSGI environment; release it at the end.

    After a refusal the caller's connection must be closed (`respond_whole` with
    ``closing``), since the rest of the body stays unread.
    """
    protection: CallerProtection = environ["siskinspool.protection"]
    connection: Connection = environ["siskinspool.connection"]
    source = environ["wsgi.input"]
    room = protection.open_body()
    room.add_head(environ["siskinspool.head_bytes"])
    reader = BodyReader(source, protection, connection, room, PIECE_TIMEOUT_S)
    body: bytes | BodyFailure | None = None
    try:
        body = reader.read(max_bytes)
    finally:
        if not isinstance(body, bytes):
            room.release()
    if isinstance(body, BodyFailure):
        stop_reading_body(source)
        return _REFUSAL_BY_FAILURE[body]
    room.hold()
    connection.enter(ConnectionPhase.RUNNING, protection.clock.now())
    return ReceivedBody(body, room)


@attrs.frozen
class ReceivedRequest:
    """A request with the room that its body takes until `release`."""

    request: HttpRequest
    room: BodyRoom

    def release(self) -> None:
        """Free the room at the end of the request."""
        self.room.release()


def read_request(environ: dict[str, Any]) -> ReceivedRequest | Refusal:
    """Return the request in a WSGI environment, including its body.

    After a refusal the caller's connection must be closed, as with `read_body`.
    """
    body = read_body(environ, MAX_BODY_BYTES)
    if isinstance(body, Refusal):
        return body
    try:
        request = HttpRequest(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            query=environ.get("QUERY_STRING", ""),
            headers=request_headers(environ),
            body=body.data,
        )
    except BaseException:
        body.release()
        raise
    return ReceivedRequest(request, body.room)


def request_headers(environ: dict[str, Any]) -> dict[str, str]:
    """Return the headers in a WSGI environment by lower-case name."""
    headers = {
        name[5:].replace("_", "-").lower(): text
        for name, text in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return headers
