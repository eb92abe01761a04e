"""Bodies that are refused before they were read to the end."""

from __future__ import annotations

import pytest

from .builders_front_listener import (
    FrontListener,
    front_listener,
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
