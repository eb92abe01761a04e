"""Limits on answers of servers that send bytes endlessly."""

from __future__ import annotations

import math

import gevent
import pytest

from siskinspool.core.clock import MonotonicClock
from siskinspool.gateway.messages import OrderKind, OrderResult, ServerOrder
from siskinspool.links.server_link import (
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
# Bytes that the operating system buffers in addition to those read.
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
        until_s=math.inf,
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
def test_endless_head_is_aborted(beginning: bytes, piece: bytes) -> None:
    """Guards against reading an endless head until the process runs out of memory."""
    with endless_server(beginning, piece) as server, gevent.Timeout(10.0):
        answer = HttpServerLink().open_call(request(server), 5.0)
        assert isinstance(answer, Lost)
        gevent.sleep(0.1)
        assert server.connections_open == 0
        assert server.sent_bytes < MAX_HEAD_BYTES + BUFFER_BYTES


def test_trickling_head_is_aborted_in_time() -> None:
    """Guards against a time limit that restarts with each byte."""
    with endless_server(OK, b"X-A: b\r\n", 0.05) as server, gevent.Timeout(5.0):
        assert isinstance(HttpServerLink().open_call(request(server), 0.5), Lost)


def test_endless_body_is_aborted() -> None:
    """Guards against buffering an endless body until the process runs out of memory."""
    piece = chunk(b"a" * PIECE_BYTES)
    with endless_server(CHUNKED, piece) as server, gevent.Timeout(20.0):
        answer = HttpServerLink().open_call(request(server), 5.0)
        assert not isinstance(answer, NotSent | Lost)
        assert isinstance(answer.read_all(), Lost)
        answer.close()
        gevent.sleep(0.1)
        assert server.connections_open == 0
        assert server.sent_bytes < MAX_BODY_BYTES + BUFFER_BYTES


def test_endless_event_is_aborted() -> None:
    """Guards against buffering an endless event until the process is out of memory."""
    piece = chunk(b"a" * PIECE_BYTES)
    with endless_server(CHUNKED, piece) as server, gevent.Timeout(20.0):
        answer = HttpServerLink().open_call(request(server), 5.0)
        assert not isinstance(answer, NotSent | Lost)
        events = list(answer.events())
        answer.close()
        assert [type(event) for event in events] == [Lost]
        assert server.sent_bytes < MAX_EVENT_BYTES + BUFFER_BYTES


def test_order_and_report_time_out_on_trickling_bytes() -> None:
    """Guards against an order that never ends and blocks all further ones."""
    control = PlatformServerControl(MonotonicClock())
    with endless_server(OK, b"X-A: b\r\n", 0.05) as server, gevent.Timeout(5.0):
        assert control.send_order(order(server), "g1") is OrderResult.UNKNOWN
    with endless_server(CHUNKED, chunk(b" "), 0.05) as server, gevent.Timeout(5.0):
        assert control.read_holdings("s1", "127.0.0.1", server.port) is None
