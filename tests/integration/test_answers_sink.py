"""The queue towards a caller that does not read (R4, R8)."""

from __future__ import annotations

import gevent
import pytest

from siskinspool.core.errors import ErrorCode
from siskinspool.core.outcome import Refusal
from siskinspool.links.caller import (
    MAX_QUEUED_ITEMS,
    CallerSink,
    CutStreamError,
    StreamEnd,
    WholeAnswer,
    respond,
)

REVOKED = Refusal(401, ErrorCode.KEY_REJECTED, "the key was revoked")


def full_sink() -> CallerSink:
    """Return a sink whose head was taken and whose queue is full of events."""
    sink = CallerSink()
    sink.begin(200, {})
    sink.next_item()
    for _ in range(MAX_QUEUED_ITEMS):
        sink.send_event(b"data: {}\n\n")
    return sink


def test_cut_of_a_full_queue_does_not_block() -> None:
    """Guards against a front end that waits for a caller that does not read."""
    sink = full_sink()
    with gevent.Timeout(1.0):
        sink.cut_short(REVOKED)
    assert sink.next_item() == StreamEnd(REVOKED)


def test_producer_goes_on_after_the_caller_left() -> None:
    """Guards against a call that never ends because nobody takes its answer."""
    sink = full_sink()
    producer = gevent.spawn(sink.send_event, b"data: {}\n\n")
    gevent.sleep(0)
    sink.close()
    with gevent.Timeout(1.0):
        producer.join()
        for _ in range(MAX_QUEUED_ITEMS * 2):
            sink.send_event(b"data: {}\n\n")
        sink.end()


def test_cut_before_the_head_is_a_refusal() -> None:
    """Guards against an empty stream in place of a refusal."""
    sink = CallerSink()
    sink.begin(200, {})
    sink.cut_short(REVOKED)
    item = sink.next_item()
    assert isinstance(item, WholeAnswer) and item.status == 401


def test_left_caller_never_gets_a_whole_body() -> None:
    """Guards against a closing chunk after a stream that was abandoned."""
    sink = CallerSink()
    sink.begin(200, {})
    answer = respond(sink, lambda status, headers: None)
    sink.send_event(b"data: {}\n\n")
    assert next(answer) == b"data: {}\n\n"
    sink.close()
    assert next(answer).startswith(b"event: error")
    with pytest.raises(CutStreamError):
        next(answer)


def test_second_answer_cuts_a_stream() -> None:
    """Guards against a caller that waits on after an answer in place of an event."""
    sink = CallerSink()
    sink.begin(200, {})
    answer = respond(sink, lambda status, headers: None)
    sink.send_event(b"data: {}\n\n")
    assert next(answer) == b"data: {}\n\n"
    sink.send_whole(500, {}, b"failed")
    with pytest.raises(CutStreamError), gevent.Timeout(1.0):
        next(answer)
