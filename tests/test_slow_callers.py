"""Callers that send or read slowly: sound ones are served, stalled ones end."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket

from .builders_front_listener import (
    front_listener,
    read_answer,
    request_head,
    trickle,
)
from .builders_scripted_server import answer, scripted_server

HEADER_TIMEOUT_S = 0.5
# Between two bytes of a stalled caller; far below the idle limit.
PAUSE_S = 0.05
IDLE_TIMEOUT_S = 3.0
# Allowance for a busy machine.
SLACK_S = 1.5
LARGE_BODY = b"x" * 8_000_000


def test_head_that_arrives_byte_by_byte_ends_at_the_limit() -> None:
    """Guards against connections that a stalled caller holds for ever."""
    with front_listener(header_timeout_s=HEADER_TIMEOUT_S) as front:
        head = request_head("X-Long: " + "a" * 2_000)
        assert trickle(front.connect(), head, PAUSE_S) < HEADER_TIMEOUT_S + SLACK_S


def test_request_line_that_arrives_byte_by_byte_ends_at_the_limit() -> None:
    """Guards against a limit that starts only after the request line."""
    with front_listener(header_timeout_s=HEADER_TIMEOUT_S) as front:
        line = b"GET /" + b"a" * 2_000
        assert trickle(front.connect(), line, PAUSE_S) < HEADER_TIMEOUT_S + SLACK_S


def test_idle_connection_outlives_the_limit_on_heads() -> None:
    """Guards against a limit that counts the time between two requests."""
    with (
        scripted_server(answer(200, b"one"), answer(200, b"two")) as server,
        front_listener(server.port, header_timeout_s=HEADER_TIMEOUT_S) as front,
    ):
        sock = front.connect()
        for body in (b"one", b"two"):
            gevent.sleep(2 * HEADER_TIMEOUT_S)
            sock.sendall(request_head("Content-Length: 0"))
            assert sock.recv(65_536).endswith(body)


def test_body_that_stalls_ends_with_a_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a body that arrives byte by byte without an end."""
    monkeypatch.setattr("siskinspool.links.received_request.PIECE_TIMEOUT_S", 0.5)
    with front_listener() as front:
        sock = front.connect()
        sock.sendall(request_head("Content-Length: 2000"))
        assert trickle(sock, b"x" * 2_000, PAUSE_S) < 0.5 + SLACK_S


def test_slow_but_steady_body_is_read(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against cutting a large request only because it takes long."""
    monkeypatch.setattr("siskinspool.links.received_request.PIECE_TIMEOUT_S", 0.5)
    with (
        scripted_server(answer(200, b"ran")) as server,
        front_listener(server.port) as front,
    ):
        sock = front.connect()
        size = 10 * 65_536
        sock.sendall(request_head(f"Content-Length: {size}", "Connection: close"))
        for _ in range(10):
            sock.sendall(b"x" * 65_536)
            gevent.sleep(0.15)
        assert read_answer(sock).endswith(b"ran")


def test_slow_but_steady_reader_gets_the_whole_answer() -> None:
    """Guards against cutting a large answer after the time limit of a single write."""
    with (
        scripted_server(answer(200, LARGE_BODY)) as server,
        front_listener(server.port, idle_timeout_s=1.0) as front,
    ):
        # The listener adds a margin of two seconds to the idle limit.
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.connect(("127.0.0.1", front.port))
        sock.settimeout(5.0)
        sock.sendall(request_head("Content-Length: 0", "Connection: close"))
        received = b""
        while block := sock.recv(65_536):
            received += block
            gevent.sleep(0.06)
    assert received.endswith(LARGE_BODY)
