"""The protection at work in a front end, with a budget of one megabyte."""

from __future__ import annotations

import contextlib
import json

import gevent
import pytest

from siskinspool.links.caller import CallerSink, respond
from siskinspool.protection.limit_counters import Limit

from .builders_front_listener import (
    FrontListener,
    front_listener,
    read_answer,
    request_head,
)
from .builders_protection import protection
from .builders_scripted_server import answer, scripted_server

LARGE_BYTES = 600_000
EVENT = b"x" * 40_000
EVENT_COUNT = 60
BACKLOG_BYTES = 100_000


def send(front: FrontListener, size: int, sent: int | None = None) -> bytes:
    """Send a body, or the first part of one; return the answer."""
    sock = front.connect()
    sock.sendall(request_head(f"Content-Length: {size}", "Connection: close"))
    sock.sendall(b"x" * (size if sent is None else sent))
    return read_answer(sock)


def check_refusal(received: bytes, status: bytes) -> None:
    """Fail unless an answer refuses a request that has not run."""
    assert received.startswith(b"HTTP/1.1 " + status)
    assert json.loads(received.partition(b"\r\n\r\n")[2])["run"] == "not_run"
    assert b"\r\nRetry-After: " in received


def test_stalled_body_makes_room_for_another() -> None:
    """Guards against room that a stalled caller keeps, and an untruthful refusal."""
    with (
        scripted_server(answer(200, b"ran")) as server,
        front_listener(
            server.port, protection=protection(shed_lag_s=0.1, body_wait_s=2.0)
        ) as front,
    ):
        stalled = gevent.spawn(send, front, LARGE_BYTES, 1_000)
        gevent.sleep(0.3)
        assert send(front, LARGE_BYTES).endswith(b"ran")
        check_refusal(stalled.get(timeout=5), b"408")
        assert len(server.requests) == 1


def test_body_without_room_is_refused_and_a_small_one_is_served() -> None:
    """Guards against bodies that push out small ones, or run after a refusal."""
    with (
        scripted_server(answer(200, b"ran")) as server,
        front_listener(server.port, protection=protection(shed_lag_s=60.0)) as front,
    ):
        reading = gevent.spawn(send, front, LARGE_BYTES, 1_000)
        gevent.sleep(0.1)
        check_refusal(send(front, LARGE_BYTES, 0), b"503")
        assert send(front, 1_000).endswith(b"ran")
        assert len(server.requests) == 1
        assert front.front.protection.gauges()["protection_body_no_room"] == 1
        reading.kill()


def test_evicted_connections_end_without_errors(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guards against an error report for each connection that makes room."""
    with (
        scripted_server(answer(200, b"ran")) as server,
        front_listener(server.port, protection=protection()) as front,
    ):
        unfinished = [front.connect() for _ in range(60)]
        for sock in unfinished:
            with contextlib.suppress(OSError):
                sock.sendall(request_head("Content-Length: 5")[:-2])
        gevent.sleep(0.2)
        assert send(front, 1_000).endswith(b"ran")
        gauges = front.front.protection.gauges()
        assert gauges["protection_connection_evicted"] >= 40
        assert gauges["protection_connections"] <= 20
    assert "Error" not in capfd.readouterr().err


@pytest.mark.parametrize("is_shed", [False, True])
def test_slow_reader_of_a_stream(is_shed: bool) -> None:
    """Guards against a backlog beyond its limit, lost events and a stuck stream."""
    shared = protection(backlog_bytes=BACKLOG_BYTES)
    backlog = shared.open_answer()
    sink = CallerSink(backlog)
    backlog.on_shed(sink.close)

    def produce() -> None:
        sink.begin(200, {})
        for _ in range(EVENT_COUNT):
            sink.send_event(EVENT)
        sink.end()

    producer = gevent.spawn(produce)
    received = 0
    other = shared.open_answer()
    pieces = respond(sink, lambda status, headers: None)
    with gevent.Timeout(5.0):
        try:
            for piece in pieces:
                received += len(piece)
                gevent.sleep(0.002)
                used = shared.gauges()["protection_used_bytes"]
                assert used <= BACKLOG_BYTES + len(EVENT) or is_shed
                if is_shed:
                    # More than all of the budget is held for another caller.
                    other.add(1_200_000)
        except Exception as error:
            assert is_shed, error
        producer.join()
    other.close()
    assert is_shed == bool(shared.counters.count_by_limit[Limit.ANSWER_SHED])
    assert (received < EVENT_COUNT * len(EVENT)) == is_shed
    assert shared.gauges()["protection_used_bytes"] == 0
