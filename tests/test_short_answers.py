"""Tests that clients can detect truncated answers (R8)."""

from __future__ import annotations

import pytest

from .builders_front_ends import FrontEnd, GatewayFrontEnd, ProductFrontEnd
from .builders_scripted_server import (
    RESET,
    answer,
    early_answer_server,
    event,
    refusal,
    scripted_server,
    stream,
    unframed,
    unframed_stream,
)

DONE = b"data: [DONE]\n\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
HEAD_END = b"\r\n\r\n"
# Larger than what the sockets buffer.
UPLOAD = b"x" * 6_000_000
HALF_EVENT = b"id: 3\ndata: pie"


@pytest.fixture(params=[GatewayFrontEnd, ProductFrontEnd], ids=["gateway", "product"])
def front(request: pytest.FixtureRequest) -> FrontEnd:
    front_end = request.param()
    assert isinstance(front_end, FrontEnd)
    return front_end


def truncated_heads(script: bytes) -> list[bytes]:
    """Return all prefixes of a script that end before the end of the head."""
    return [script[:size] for size in range(script.rindex(HEAD_END) + len(HEAD_END))]


@pytest.mark.parametrize("events", [False, True], ids=["plain", "stream"])
@pytest.mark.parametrize(
    "script",
    [
        answer(200, b""),
        unframed(b""),
        unframed_stream(),
        stream(end=b""),
        refusal().removesuffix(b"full"),
        INTERIM + answer(200, b""),
    ],
    ids=["length", "no-length", "events", "chunks", "refusal", "interim"],
)
def test_head_that_is_cut_anywhere_is_no_answer(
    front: FrontEnd, script: bytes, events: bool
) -> None:
    """Guards against reading a success or a 'not run' from a truncated head."""
    truncated_scripts = truncated_heads(script)
    with scripted_server(*truncated_scripts) as server:
        answers = [front.send(server.port, events=events) for _ in truncated_scripts]
    assert {received.status for received in answers} == {502}
    assert len(server.requests) == len(truncated_scripts)


@pytest.mark.parametrize(
    "script",
    [answer(200, b"the whole body")[:-1], unframed(b"the whole") + RESET],
    ids=["length", "reset"],
)
def test_body_that_is_cut_is_no_answer(front: FrontEnd, script: bytes) -> None:
    """Guards against forwarding a truncated body as a complete one."""
    with scripted_server(script) as server:
        assert front.send(server.port).status == 502


def test_body_without_a_length_ends_with_its_connection() -> None:
    """Guards against losing answers that platform servers end by closing."""
    with scripted_server(unframed(b"ran"), unframed(b"ran")) as server:
        received = GatewayFrontEnd().send(server.port)
        assert (received.status, received.body) == (200, b"ran")
        # Servers at the product's own sites must declare the length of a body.
        assert ProductFrontEnd().send(server.port).status == 502


@pytest.mark.parametrize(
    "script",
    [
        stream(event(1), event(2), HALF_EVENT),
        stream(event(1), event(2), HALF_EVENT, end=b""),
        unframed_stream(event(1), event(2), HALF_EVENT),
        unframed_stream(event(1), event(2), HALF_EVENT) + RESET,
    ],
    ids=["ended", "cut", "closed", "reset"],
)
def test_stream_that_stops_in_an_event_is_cut(front: FrontEnd, script: bytes) -> None:
    """Guards against a stream that lacks its last event but looks complete."""
    with scripted_server(script) as server:
        received = front.send(server.port, events=True)
    assert b"pie\n" not in received.body and not received.body.endswith(HALF_EVENT)
    assert not received.is_whole


def test_stream_without_a_length_ends_with_its_connection() -> None:
    """Guards against losing streams that platform servers end by closing."""
    with scripted_server(unframed_stream(event(1), event(2))) as server:
        received = GatewayFrontEnd().send(server.port, events=True)
    assert (received.status, received.body) == (200, event(1) + event(2))
    assert received.is_whole


@pytest.mark.parametrize("begun", [(), (event(1),)], ids=["first", "resumed"])
def test_stream_without_a_length_or_an_event_is_no_answer(
    begun: tuple[bytes, ...],
) -> None:
    """Guards against a server that ends after the head of a stream.

    Its connection closes as at the end of a complete stream without a length.
    """
    scripts = [unframed_stream(*begun, HALF_EVENT)] if begun else []
    with scripted_server(*scripts, unframed_stream()) as server:
        ports = [server.port] * (len(scripts) + 1)
        received = GatewayFrontEnd().send(*ports, is_repeatable=True, events=True)
    assert received.status == (200 if begun else 502)
    assert not (begun and received.is_whole)


def test_stream_that_stops_in_an_event_goes_on_elsewhere() -> None:
    """Guards against losing an event when a stream moves to another server."""
    broken = unframed_stream(event(1), event(2), HALF_EVENT)
    with scripted_server(broken, stream(event(3))) as server:
        received = GatewayFrontEnd().send(
            server.port, server.port, is_repeatable=True, events=True
        )
    assert received.body == event(1) + event(2) + event(3)
    assert received.is_whole


@pytest.mark.parametrize("body", [b'{"a": 1}', b"one\n\ntwo"], ids=["line", "parts"])
def test_success_on_a_stream_route_that_is_no_stream_is_whole(
    front: FrontEnd, body: bytes
) -> None:
    """Guards against losing the part of a body after its last blank line.

    The gateway used to send a body without a blank line as an empty one.
    """
    script = answer(200, body, b"Content-Type: application/json")
    with scripted_server(script) as server:
        received = front.send(server.port, events=True)
    assert (received.status, received.body) == (200, body)
    assert received.is_whole


@pytest.mark.parametrize("events", [False, True], ids=["plain", "stream"])
@pytest.mark.parametrize("status", [b"000", b"099", b"100", b"101", b"199", b"600"])
def test_answer_without_a_final_status_is_no_answer(
    front: FrontEnd, status: bytes, events: bool
) -> None:
    """Guards against forwarding an answer whose status is none of a final answer."""
    script = answer(200, b"ran").replace(b" 200 ", b" %b " % status)
    with scripted_server(script) as server:
        assert front.send(server.port, events=events).status == 502


@pytest.mark.parametrize("delay_s", [0.0, 0.05], ids=["at-once", "later"])
@pytest.mark.parametrize("begins", [unframed(b"the whole"), unframed_stream(event(1))])
def test_early_answer_that_is_reset_during_an_upload_is_no_answer(
    front: FrontEnd, begins: bytes, delay_s: float
) -> None:
    """Guards against a part of a body that passes for all of it.

    The error of a failed write may hide the reset from the reads that follow.
    """
    with early_answer_server(begins, delay_s) as server:
        received = front.send(server.port, body=UPLOAD)
    assert received.status == 502
