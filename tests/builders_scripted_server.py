"""A faulty server for tests: it sends given bytes and closes the connection."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress

import attrs
import gevent
from gevent import socket
from gevent.server import StreamServer

# Placeholder in a script for the id of the received request.
REQUEST_ID_PLACEHOLDER = b"OWN-ID"
# Suffix of a script whose connection is reset instead of closed.
RESET = b"RESET"
# Makes close() reset the connection and discard unsent bytes.
NO_LINGER = struct.pack("ii", 1, 0)
EVENTS_HEAD = (
    b"HTTP/1.1 200 OK\r\nServer-Stamp: stamp\r\nContent-Type: text/event-stream\r\n"
)
END_CHUNK = b"0\r\n\r\n"


@attrs.define
class ScriptedServer:
    """Sends one script per connection, in order."""

    scripts: list[bytes]
    port: int = 0
    # The raw received requests.
    requests: list[bytes] = attrs.field(factory=list)

    def handle(self, sock: socket.socket, address: object) -> None:
        """Send the next script to a connection."""
        request = sock.recv(65_536)
        if not request:
            # A connection without a request only finds out about the path.
            return
        self.requests.append(request)
        script = self.scripts[len(self.requests) - 1]
        payload = script.removesuffix(RESET).replace(
            REQUEST_ID_PLACEHOLDER, _request_id(request)
        )
        sock.sendall(payload)
        if script.endswith(RESET):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        # The stream server closes the connection when this returns.


def _request_id(request: bytes) -> bytes:
    for line in request.split(b"\r\n"):
        name, _, text = line.partition(b": ")
        if name.lower() in (b"request-id", b"x-request-id"):
            return text
    return b""


@contextmanager
def _listening(
    server: ScriptedServer, handle: Callable[[socket.socket, object], None]
) -> Iterator[None]:
    """Let a function handle the connections to a free port."""
    listener = StreamServer(("127.0.0.1", 0), handle)
    listener.start()
    server.port = int(listener.server_port or 0)
    try:
        yield
    finally:
        listener.stop(timeout=0.1)


@contextmanager
def scripted_server(*scripts: bytes) -> Iterator[ScriptedServer]:
    """Run a server on a free port."""
    server = ScriptedServer(list(scripts))
    with _listening(server, server.handle):
        yield server


@contextmanager
def early_answer_server(beginning: bytes, delay_s: float) -> Iterator[ScriptedServer]:
    """Run a server that answers once it has a head, and resets the connection.

    It does so after a delay, and reads nothing more of the body.
    """
    server = ScriptedServer([])

    def handle(sock: socket.socket, _: object) -> None:
        request = sock.recv(4_096)
        server.requests.append(request)
        sock.sendall(beginning.replace(REQUEST_ID_PLACEHOLDER, _request_id(request)))
        gevent.sleep(delay_s)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)

    with _listening(server, handle):
        yield server


@contextmanager
def silent_server() -> Iterator[ScriptedServer]:
    """Run a server that reads requests and never answers."""
    with hanging_server(b"") as server:
        yield server


@contextmanager
def hanging_server(beginning: bytes) -> Iterator[ScriptedServer]:
    """Run a server that begins each answer and never ends it."""
    server = ScriptedServer([])

    def handle(sock: socket.socket, _: object) -> None:
        request = sock.recv(65_536)
        server.requests.append(request)
        sock.sendall(beginning.replace(REQUEST_ID_PLACEHOLDER, _request_id(request)))
        with suppress(ConnectionError):
            while sock.recv(65_536):
                pass

    with _listening(server, handle):
        yield server


def answer(
    status: int,
    body: bytes,
    *headers: bytes,
    request_id: bytes = REQUEST_ID_PLACEHOLDER,
) -> bytes:
    """Return an answer with a content length, for either front end."""
    lines = [
        b"HTTP/1.1 %d Status" % status,
        b"Server-Stamp: stamp",
        b"Content-Length: %d" % len(body),
        *_id_lines(request_id),
        *headers,
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def unframed(body: bytes) -> bytes:
    """Return a successful answer without a length, ended by closing the connection."""
    lines = [
        b"HTTP/1.1 200 OK",
        b"Server-Stamp: stamp",
        *_id_lines(REQUEST_ID_PLACEHOLDER),
    ]
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def refusal(request_id: bytes = REQUEST_ID_PLACEHOLDER) -> bytes:
    """Return the refusal of a server that is full."""
    return answer(503, b"full", b"Not-Run: 1", request_id=request_id)


def unframed_stream(*events: bytes) -> bytes:
    """Return an event stream without a length, ended by closing the connection."""
    lines = _id_lines(REQUEST_ID_PLACEHOLDER)
    return EVENTS_HEAD + b"\r\n".join(lines) + b"\r\n\r\n" + b"".join(events)


def stream(*events: bytes, end: bytes = END_CHUNK) -> bytes:
    """Return a chunked event stream; an empty ``end`` truncates it."""
    lines = [*_id_lines(REQUEST_ID_PLACEHOLDER), b"Transfer-Encoding: chunked"]
    chunks = b"".join(b"%x\r\n%b\r\n" % (len(event), event) for event in events)
    return EVENTS_HEAD + b"\r\n".join(lines) + b"\r\n\r\n" + chunks + end


def event(number: int) -> bytes:
    """Return one server-sent event."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def _id_lines(request_id: bytes) -> list[bytes]:
    return [b"Request-Id: " + request_id, b"X-Request-Id: " + request_id]
