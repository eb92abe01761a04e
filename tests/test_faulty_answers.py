"""Answers of faulty servers, as clients of both front ends see them (R8, R9, R10)."""

from __future__ import annotations

import pytest

from .builders_front_ends import FrontEnd, GatewayFront, ProductFront
from .builders_scripted_server import (
    OWN_ID,
    answer,
    event,
    refusal,
    scripted_server,
    stream,
)

DONE = b"data: [DONE]\n\n"
OTHER_ID = b"r0"


@pytest.fixture(params=[GatewayFront, ProductFront], ids=["gateway", "product"])
def front(request: pytest.FixtureRequest) -> FrontEnd:
    made = request.param()
    assert isinstance(made, FrontEnd)
    return made


@pytest.mark.parametrize("may_repeat", [False, True], ids=["once", "repeatable"])
@pytest.mark.parametrize("refused_id", [OWN_ID, OTHER_ID], ids=["own", "other"])
def test_refusal_after_an_answer_does_not_replace_it(
    front: FrontEnd, refused_id: bytes, may_repeat: bool
) -> None:
    """Guards against 'not run' for a request that ran, and against a second run."""
    script = answer(200, b"ran") + refusal(refused_id)
    with scripted_server(script, answer(200, b"ran again")) as server:
        received = front.send(server.port, server.port, may_repeat=may_repeat)
    assert (received.status, received.body) == (200, b"ran")
    assert len(server.requests) == 1


def test_rubbish_after_an_answer_is_dropped(front: FrontEnd) -> None:
    """Guards against the loss of an answer that came whole."""
    with scripted_server(answer(200, b"ran") + b"\x00rubbish\r\n") as server:
        received = front.send(server.port)
    assert (received.status, received.body) == (200, b"ran")


def test_answer_after_a_stream_stays_out_of_it(front: FrontEnd) -> None:
    """Guards against the text of a refusal as an event of a stream."""
    whole = event(1) + event(2) + DONE
    script = stream(event(1), event(2), DONE) + answer(503, event(3))
    with scripted_server(script) as server:
        received = front.send(server.port, events=True)
    assert (received.status, received.body) == (200, whole)
    assert received.is_whole
