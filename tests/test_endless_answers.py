"""Servers that send bytes without end until the caller closes."""

from __future__ import annotations

import gevent
import pytest

from siskinspool.gateway.messages import OrderKind, OrderResult, ServerOrder
from siskinspool.links.backend import (
    MAX_BODY_BYTES,
    MAX_EVENT_BYTES,
    MAX_HEAD_BYTES,
    HttpServerLink,
    Lost,
    NotSent,
    ServerRequest,
)
from siskinspool.platform.server_calls import PlatformServerControl

from .builders_endless_server import PIECE_BYTES, EndlessServer, endless_server

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# Bytes that the system's buffers take beside those that were read.
BUFFER_BYTES = 8 * 1024 * 1024


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def request(server: EndlessServer) -> ServerRequest:
    """Return a request for a server."""
    return ServerRequest(
        host="127.0.0.1",
        port=server.port,
        method="GET",
        uri="/",
        headers={},
        body=b"",
    )


def order(server: EndlessServer) -> ServerOrder:
    """Return an order for a server."""
    return ServerOrder(
        server_id="s1",
        host="127.0.0.1",
        port=server.port,
        kind=OrderKind.LOAD,
        model="m0",
        adapter="",
        expected_count=0,
        epoch=1,
    )


@pytest.mark.parametrize(
    ("beginning", "piece"),
    [
        (OK, b"X-Filler: " + b"a" * PIECE_BYTES + b"\r\n"),
        (OK + b"X-Filler: ", b"a" * PIECE_BYTES),
        (b"", b"a" * PIECE_BYTES),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    ],
    ids=["headers", "header", "no-http", "interim"],
)
def test_head_without_end_is_given_up(beginning: bytes, piece: bytes) -> None:
    """Guards against a process that a server's head fills until it is killed."""
    with endless_server(beginning, piece) as server, gevent.Timeout(10.0):
        answer = HttpServerLink().open_call(request(server), 5.0)
        assert isinstance(answer, Lost)
        gevent.sleep(0.1)
        assert server.connections_open == 0
        assert server.sent_bytes < MAX_HEAD_BYTES + BUFFER_BYTES


def test_head_that_trickles_is_given_up_in_time() -> None:
    """Guards against a time limit that each byte begins anew."""
    with endless_server(OK, b"X-A: b\r\n", 0.05) as server, gevent.Timeout(5.0):
        assert isinstance(HttpServerLink().open_call(request(server), 0.5), Lost)


def test_body_without_end_is_given_up() -> None:
    """Guards against an answer that is gathered until the process is killed."""
    piece = chunk(b"a" * PIECE_BYTES)
    with endless_server(CHUNKED, piece) as server, gevent.Timeout(20.0):
        answer = HttpServerLink().open_call(request(server), 5.0)
        assert not isinstance(answer, NotSent | Lost)
        assert isinstance(answer.read_all(), Lost)
        answer.close()
        gevent.sleep(0.1)
        assert server.connections_open == 0
        assert server.sent_bytes < MAX_BODY_BYTES + BUFFER_BYTES


def test_event_without_end_is_given_up() -> None:
    """Guards against an event that is gathered until the process is killed."""
    piece = chunk(b"a" * PIECE_BYTES)
    with endless_server(CHUNKED, piece) as server, gevent.Timeout(20.0):
        answer = HttpServerLink().open_call(request(server), 5.0)
        assert not isinstance(answer, NotSent | Lost)
        events = list(answer.events())
        answer.close()
        assert [type(event) for event in events] == [Lost]
        assert server.sent_bytes < MAX_EVENT_BYTES + BUFFER_BYTES


def test_order_and_report_end_though_bytes_trickle() -> None:
    """Guards against a server that gets no more orders, as one never ends."""
    control = PlatformServerControl()
    with endless_server(OK, b"X-A: b\r\n", 0.05) as server, gevent.Timeout(5.0):
        assert control.send_order(order(server), "g1") is OrderResult.UNKNOWN
    with endless_server(CHUNKED, chunk(b" "), 0.05) as server, gevent.Timeout(5.0):
        assert control.read_holdings("s1", "127.0.0.1", server.port) is None
