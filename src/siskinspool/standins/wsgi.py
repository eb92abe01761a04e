"""WSGI base classes of the stand-ins.

A stand-in binds to a port chosen by the kernel, prints one JSON line
``{"ready": true, "port": N}`` and serves until SIGTERM or SIGINT.
"""

from __future__ import annotations

import json
import re
import signal
import socket
import struct
import sys
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from typing import Any, Final
from urllib.parse import unquote

import attrs
import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIHandler, WSGIServer

Json = dict[str, Any]
StartResponse = Callable[[str, list[tuple[str, str]]], Any]

_CREDENTIAL_HEADERS: Final = frozenset(
    {"authorization", "proxy-authorization", "x-api-key", "api-key", "cookie"}
)
_KEY_PATTERN: Final = re.compile(r"sk-[^.\s]+\.[\w-]{16,}", re.IGNORECASE)

_REASON_BY_STATUS: Final = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    500: "Internal Server Error",
    503: "Service Unavailable",
    507: "Insufficient Storage",
}


@attrs.frozen
class Request:
    """An HTTP request with its whole body."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> Json:
        """Return the body as a JSON object; raise ValueError if it is not one."""
        value = json.loads(self.body or b"{}")
        if not isinstance(value, dict):
            raise ValueError("the body is not a JSON object")
        return value


@attrs.frozen
class Response:
    """An HTTP response; an iterable body is produced while it is sent."""

    status: int = 200
    body: bytes | Iterable[bytes] = b""
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()

    @classmethod
    def from_json(cls, value: object, status: int = 200) -> Response:
        """Return a JSON response."""
        return cls(status, json.dumps(value).encode() + b"\n")


class CloseConnection(Exception):  # noqa: N818 - control flow, not an error
    """Raised by an application to reset the connection without a response."""


class EndlessAnswer(Exception):  # noqa: N818 - control flow, not an error
    """Raised by an application to send bytes until the peer closes."""

    def __init__(self, beginning: bytes, piece: bytes) -> None:
        """Set the bytes that are sent first, and those that are sent without end."""
        super().__init__("an answer without end")
        self.beginning = beginning
        self.piece = piece

    def send(self, sock: socket.socket) -> None:
        """Send on a connection; return when the peer has closed it."""
        try:
            sock.sendall(self.beginning)
            while True:
                sock.sendall(self.piece)
                gevent.sleep(0)
        except OSError:
            # The peer has closed.
            return


class _ResettableHandler(WSGIHandler):
    """Passes the socket of the connection to the application."""

    def get_environ(self) -> Json:
        environ: Json = super().get_environ()
        environ["siskinspool.socket"] = self.socket
        return environ

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close the connection without a response if the application has reset it."""
        if isinstance(v, CloseConnection):
            # The socket is closed with the handler's file, which still refers to it.
            self.close_connection = True
            return
        super().handle_error(t, v, tb)

    def log_error(self, msg: str, *args: object) -> None:
        """Drop messages about connections that the peer closed."""


def reset_connection(sock: socket.socket) -> None:
    """Close a connection so that the peer sees a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


class App(ABC):
    """A WSGI application with a single method that handles requests."""

    @abstractmethod
    def handle_request(self, request: Request) -> Response:
        """Return the response to a request."""

    def __call__(self, environ: Json, start_response: StartResponse) -> Iterable[bytes]:
        """Handle a request through the WSGI interface."""
        request = read_request(environ)
        try:
            response = self.handle_request(request)
        except (ValueError, KeyError) as error:
            response = Response.from_json({"error": str(error)}, 400)
        except CloseConnection:
            reset_connection(environ["siskinspool.socket"])
            raise
        except EndlessAnswer as answer:
            answer.send(environ["siskinspool.socket"])
            raise CloseConnection from answer
        reason = _REASON_BY_STATUS.get(response.status, "Status")
        headers = [("Content-Type", response.content_type), *response.headers]
        body = response.body
        if isinstance(body, bytes):
            headers.append(("Content-Length", str(len(body))))
            body = [body]
        start_response(f"{response.status} {reason}", headers)
        return body


def has_credential(request: Request) -> bool:
    """Return whether a request holds a credential or an API key outside its body."""
    if _CREDENTIAL_HEADERS & request.headers.keys():
        return True
    texts = [request.path, request.query, *request.headers, *request.headers.values()]
    return any(_KEY_PATTERN.search(unquote(unquote(text))) for text in texts)


def read_request(environ: Json) -> Request:
    """Build the request of a WSGI environment and read its body."""
    headers = {
        name[5:].replace("_", "-").lower(): value
        for name, value in environ.items()
        if name.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return Request(
        method=environ["REQUEST_METHOD"],
        path=environ["PATH_INFO"],
        query=environ.get("QUERY_STRING", ""),
        headers=headers,
        body=environ["wsgi.input"].read(),
    )


def serve(app: App, port: int) -> None:
    """Serve an application on loopback until SIGTERM or SIGINT."""
    server = WSGIServer(
        ("127.0.0.1", port),
        app,
        log=None,
        error_log=None,
        handler_class=_ResettableHandler,
    )
    server.start()
    announce(int(server.server_port or 0))
    wait_for_stop()
    server.stop(timeout=0.2)


def announce(port: int, **extra: int) -> None:
    """Print the bound port as a JSON line for the process that started this one."""
    print(json.dumps({"ready": True, "port": port, **extra}), flush=True)


def wait_for_stop() -> None:
    """Wait for SIGTERM or SIGINT."""
    stopped = Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stopped.set)
    stopped.wait()
    sys.stdout.flush()
