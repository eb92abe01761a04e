"""Heads and bodies that are refused, and what must not be read as a request."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket

from siskinspool.links.received_request import MAX_BODY_BYTES

from .builders_front_listener import (
    FrontListener,
    front_listener,
    page_listener,
    read_answer,
    request_head,
)
from .builders_scripted_server import answer, scripted_server


def smuggle(front: FrontListener, head: bytes, body: bytes) -> bytes:
    """Send a request whose body goes on after the limit; return all answers."""
    sock = front.connect()
    sock.sendall(head + body)
    try:
        return read_answer(sock)
    except TimeoutError:
        return b"the connection stays open"
    except OSError:
        return b""


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
def test_rest_of_a_refused_body_is_no_request(chunked: bool) -> None:
    """Guards against running a request that stands in a body beyond the limit."""
    hidden = request_head("Content-Length: 0", request_id="hidden")
    body = b"x" * 1_001 + hidden
    if chunked:
        head = request_head("Transfer-Encoding: chunked")
        body = b"%x\r\n" % 1_001 + body
    else:
        head = request_head(f"Content-Length: {len(body)}")
    with (
        scripted_server(answer(200, b"ran"), answer(200, b"ran")) as server,
        front_listener(server.port, max_body_bytes=1_000) as front,
    ):
        received = smuggle(front, head, body)
    assert server.requests == []
    assert received.count(b"HTTP/1.1 ") <= 1


LAST_CHUNK = b"0\r\n\r\n"
# Header lines that two recipients read differently; LENGTH is that of the body.
AMBIGUOUS_LINES = {
    "length-and-coding": ("Content-Length: LENGTH", "Transfer-Encoding: chunked"),
    "coding-and-length": ("Transfer-Encoding: chunked", "Content-Length: LENGTH"),
    "space-before-colon": ("X-Note : a", "Content-Length: LENGTH"),
    "length-with-space": ("Content-Length : LENGTH", "X-Note: a"),
    "no-colon": ("X-Note", "Content-Length: LENGTH"),
    "no-name": (": a", "Content-Length: LENGTH"),
    "continuation": ("X-Note: a", " b", "Content-Length: LENGTH"),
    "bare-return": ("X-Note: a\rContent-Length: 0", "Content-Length: LENGTH"),
    "two-lengths": ("Content-Length: 0", "Content-Length: LENGTH"),
    "signed-length": ("Content-Length: +LENGTH",),
    "grouped-length": ("Content-Length: 0_0",),
    "two-codings": ("Transfer-Encoding: chunked", "Transfer-Encoding: identity"),
}


@pytest.mark.parametrize("form", AMBIGUOUS_LINES)
def test_body_of_an_ambiguous_head_is_no_request(form: str) -> None:
    """Guards against running a request that stands in the body of another one."""
    hidden = request_head("Content-Length: 0", request_id="hidden")
    body = LAST_CHUNK + hidden
    lines = [line.replace("LENGTH", str(len(body))) for line in AMBIGUOUS_LINES[form]]
    with (
        scripted_server(answer(200, b"ran"), answer(200, b"ran")) as server,
        front_listener(server.port) as front,
    ):
        received = smuggle(front, request_head(*lines), body)
    assert server.requests == []
    assert received.count(b"HTTP/1.1 ") == 1
    assert received.startswith(b"HTTP/1.1 400 ")


@pytest.mark.parametrize("line", ["Connection: Upgrade", "Upgrade: websocket"])
def test_request_to_upgrade_ends_with_its_body(line: str) -> None:
    """Guards against taking the next request for a part of the body."""
    first = request_head(line, "Content-Length: 4") + b"body"
    second = request_head("Content-Length: 0", "Connection: close", request_id="r2")
    with (
        scripted_server(answer(200, b"first"), answer(200, b"second")) as server,
        front_listener(server.port) as front,
    ):
        received = smuggle(front, first, second)
    assert [request.endswith(b"\r\n\r\nbody") for request in server.requests] == [
        True,
        False,
    ]
    assert received.index(b"first") < received.index(b"second")


@pytest.mark.parametrize(("max_bytes", "status"), [(1_000, b"431"), (40_000, b"200")])
def test_operator_limits_the_size_of_headers(max_bytes: int, status: bytes) -> None:
    """Guards against a limit other than the operator's."""
    filler = [f"X-{number}: {'a' * 2_000}" for number in range(10)]
    head = request_head(*filler, "Content-Length: 0", "Connection: close")
    with (
        scripted_server(answer(200, b"ran")) as server,
        front_listener(server.port, max_header_bytes=max_bytes) as front,
    ):
        received = smuggle(front, head, b"")
    assert received.startswith(b"HTTP/1.1 " + status)


@pytest.mark.parametrize(
    "head",
    [b"Transfer-Encoding: chunked", b"Content-Length: 8000000"],
    ids=["chunked", "length"],
)
def test_body_that_nobody_reads_ends_the_connection(head: bytes) -> None:
    """Guards against reading a body without end on an address that ignores bodies.

    Three such bodies on the readiness address of a gateway kept its whole process busy.
    """
    piece = b"1000\r\n" + b"a" * 0x1000 + b"\r\n"
    sent_bytes = 0
    with page_listener() as port, gevent.Timeout(10.0):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(b"POST /-/ready HTTP/1.1\r\nHost: a\r\n" + head + b"\r\n\r\n")
        answer = sock.recv(65_536)
        with pytest.raises(OSError):
            while sent_bytes < MAX_BODY_BYTES:
                sock.sendall(piece)
                sent_bytes += len(piece)
    assert answer.startswith(b"HTTP/1.1 200 OK")
    assert b"Connection: close" in answer


def test_page_without_a_body_keeps_the_connection() -> None:
    """Guards against a new connection for each probe."""
    request = b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
    with page_listener() as port, gevent.Timeout(10.0):
        sock = socket.create_connection(("127.0.0.1", port))
        for _ in range(2):
            sock.sendall(request)
            assert sock.recv(65_536).startswith(b"HTTP/1.1 200 OK")
