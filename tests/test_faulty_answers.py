"""Answers of faulty servers as received by clients of both front ends (R8, R9, R10)."""

from __future__ import annotations

import pytest

from siskinspool.contracts.call import forwarded_headers

from .builders_front_ends import FrontEnd, GatewayFrontEnd, ProductFrontEnd
from .builders_scripted_server import (
    REQUEST_ID_PLACEHOLDER,
    answer,
    event,
    refusal,
    scripted_server,
    stream,
)

DONE = b"data: [DONE]\n\n"
OTHER_ID = b"r0"


@pytest.fixture(params=[GatewayFrontEnd, ProductFrontEnd], ids=["gateway", "product"])
def front(request: pytest.FixtureRequest) -> FrontEnd:
    front_end = request.param()
    assert isinstance(front_end, FrontEnd)
    return front_end


@pytest.mark.parametrize("is_repeatable", [False, True], ids=["once", "repeatable"])
@pytest.mark.parametrize(
    "refused_id", [REQUEST_ID_PLACEHOLDER, OTHER_ID], ids=["own", "other"]
)
def test_refusal_after_an_answer_does_not_replace_it(
    front: FrontEnd, refused_id: bytes, is_repeatable: bool
) -> None:
    """Guards against 'not run' for a request that ran, and against a second run."""
    script = answer(200, b"ran") + refusal(refused_id)
    with scripted_server(script, answer(200, b"ran again")) as server:
        received = front.send(server.port, server.port, is_repeatable=is_repeatable)
    assert (received.status, received.body) == (200, b"ran")
    assert len(server.requests) == 1


def test_rubbish_after_an_answer_is_dropped(front: FrontEnd) -> None:
    """Guards against losing a complete answer."""
    with scripted_server(answer(200, b"ran") + b"\x00rubbish\r\n") as server:
        received = front.send(server.port)
    assert (received.status, received.body) == (200, b"ran")


def test_trailers_without_end_do_not_lose_an_answer(front: FrontEnd) -> None:
    """Guards against reading on after the chunk that ends the body (R8)."""
    trailers = b"a:\r\n" * 1_000
    script = stream(event(1), DONE, end=b"0\r\n") + trailers
    with scripted_server(script, script.replace(b"event-stream", b"plain")) as server:
        streamed = front.send(server.port, events=True)
        plain = front.send(server.port)
    for received in (streamed, plain):
        assert (received.status, received.body) == (200, event(1) + DONE)
        assert received.is_whole


def test_answer_after_a_stream_stays_out_of_it(front: FrontEnd) -> None:
    """Guards against the body of a refusal being sent as an event of a stream."""
    expected_body = event(1) + event(2) + DONE
    script = stream(event(1), event(2), DONE) + answer(503, event(3))
    with scripted_server(script) as server:
        received = front.send(server.port, events=True)
    assert (received.status, received.body) == (200, expected_body)
    assert received.is_whole


@pytest.mark.parametrize("status", [421, 429, 503])
def test_refusal_of_another_request_promises_nothing(
    front: FrontEnd, status: int
) -> None:
    """Guards against a second run of a request that the first server still runs."""
    other_refusal = answer(status, b"full", b"Not-Run: 1", request_id=OTHER_ID)
    with scripted_server(other_refusal, answer(200, b"ran again")) as server:
        received = front.send(server.port, server.port)
    assert received.status == 502
    assert "retry-after" not in received.headers
    assert len(server.requests) == 1


@pytest.mark.parametrize("status", [421, 429, 503])
def test_refusal_without_an_id_promises_nothing(status: int) -> None:
    """Guards against trusting a refusal that does not identify the request."""
    refusal_without_id = answer(status, b"full", b"Not-Run: 1", request_id=b"")
    with scripted_server(refusal_without_id, answer(200, b"ran again")) as server:
        received = GatewayFrontEnd().send(server.port, server.port)
    assert received.status == 502
    assert len(server.requests) == 1


def test_own_refusal_lets_another_server_run_the_request() -> None:
    """Guards against treating a refusal as a lost answer."""
    with scripted_server(refusal(), answer(200, b"ran")) as server:
        received = GatewayFrontEnd().send(server.port, server.port)
    assert (received.status, received.body) == (200, b"ran")


@pytest.mark.parametrize("events", [False, True], ids=["plain", "stream"])
@pytest.mark.parametrize("status", [408, 429, 503])
def test_status_alone_promises_nothing(status: int, events: bool) -> None:
    """Guards against 'not run' for a request that a server may have run.

    A request that may run only once must not be sent again either.
    """
    script = answer(status, b"busy")
    with scripted_server(script, answer(200, b"ran again")) as server:
        received = GatewayFrontEnd().send(server.port, server.port, events=events)
    assert received.status == 502
    assert "server-stamp" not in received.headers
    assert len(server.requests) == 1


@pytest.mark.parametrize("status", [400, 404, 500, 504])
def test_failure_of_a_server_is_passed_on_whole(front: FrontEnd, status: int) -> None:
    """Guards against changing the status or body of a server's error."""
    with scripted_server(answer(status, b"why")) as server:
        received = front.send(server.port)
    assert (received.status, received.body) == (status, b"why")
    assert received.headers["server-stamp"] == "stamp"


@pytest.mark.parametrize(
    ("script", "status"),
    [
        (answer(200, b"ran") + refusal(), 200),
        (answer(200, b"ran") + refusal(OTHER_ID), 200),
        (answer(503, b"full", request_id=OTHER_ID), 502),
        (answer(200, b"ran")[:-1], 502),
        (answer(200, b"ran")[:20], 502),
    ],
    ids=["own-after", "other-after", "other", "short-body", "short-head"],
)
def test_calls_with_a_key_record_what_the_server_answered(
    script: bytes, status: int
) -> None:
    """Guards against recording a wrong outcome for later calls with the key."""
    front = ProductFrontEnd(idempotency_key="k1")
    with scripted_server(script) as server:
        received = front.send(server.port)
    recorded = [(record.status, record.body) for record in front.finished]
    assert recorded == [(received.status, received.body)]
    assert received.status == status
    if status == 200:
        assert received.body == b"ran"
    else:
        assert b'"run": "unknown"' in received.body


# A stream that is truncated after its second event.
BROKEN = stream(event(1), event(2), end=b"")
NO_CONTINUATION = {
    "failure": answer(500, b"failed\n\n"),
    "full": answer(503, b"full\n\n"),
    "client-error": answer(400, b"unknown\n\n"),
    "redirect": answer(302, b"", b"Location: /elsewhere"),
    "other-success": answer(206, event(3), b"Content-Type: text/event-stream"),
    "page": answer(200, b"<p>failed</p>\n\n", b"Content-Type: text/html"),
    "untyped": answer(200, b"failed\n\n"),
    "half-head": b"HTTP/1.1 500 Error\r\nRequest-Id: OWN-ID\r\n\r",
    "no-http": b"data: failed\n\n",
    "refusal": refusal(),
}


@pytest.mark.parametrize("name", sorted(NO_CONTINUATION))
def test_broken_stream_holds_nothing_of_a_further_answer(name: str) -> None:
    """Guards against an error in a stream, and a cut stream that looks complete.

    A stream that neither continues nor ends would also keep its client waiting.
    """
    with scripted_server(BROKEN, NO_CONTINUATION[name]) as server:
        received = GatewayFrontEnd().send(
            server.port, server.port, is_repeatable=True, events=True
        )
    assert len(server.requests) == 2
    assert b"Last-Event-Id: 2" in server.requests[1]
    assert (received.status, received.body) == (200, event(1) + event(2))
    assert not received.is_whole


def test_broken_stream_goes_on_after_a_failure_elsewhere() -> None:
    """Guards against ending a stream at the first server that cannot resume it."""
    continuation = stream(event(2), event(3))
    with scripted_server(BROKEN, answer(400, b"unknown"), continuation) as server:
        received = GatewayFrontEnd().send(
            *[server.port] * 3, is_repeatable=True, events=True
        )
    assert received.body == event(1) + event(2) + event(3)
    assert received.is_whole


def test_position_in_a_stream_is_not_forwarded_by_the_product() -> None:
    """Guards against a stream that goes on at another software version."""
    assert forwarded_headers({"last-event-id": "3", "accept": "a"}) == {"accept": "a"}


def test_broken_stream_of_the_product_is_not_resumed() -> None:
    """Guards against sending another answer in a stream that has begun."""
    with scripted_server(BROKEN, answer(500, b"failed\n\n")) as server:
        received = ProductFrontEnd().send(
            server.port, server.port, is_repeatable=True, events=True
        )
    assert len(server.requests) == 1
    assert received.body.startswith(event(1) + event(2) + b"event: error\n")
    assert b"answer_incomplete" in received.body
    assert not received.is_whole
