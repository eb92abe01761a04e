"""Sends the answer to the caller over WSGI.

`CallerSink` puts the answer that a `CallTask` forwards into a queue that is bounded in
items and in bytes (`AnswerBacklog`). The greenlet of the caller's connection writes the
queued items, so a slow caller slows down reading from the server instead of filling
memory.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

from gevent.queue import Queue

from ..core.errors import ErrorCode
from ..core.outcome import Refusal, RunState
from ..protection.caller_protection import AnswerBacklog, CallerProtection
from .answer_sink import PROBLEM_CONTENT_TYPE, AnswerSink, problem_body

MAX_QUEUED_ITEMS: Final = 64
# Answers are written in pieces of this size. The timeout of the caller's socket applies
# to each piece, so a slow reader is served, and one that stalls is disconnected.
WRITE_PIECE_BYTES: Final = 64 * 1024

# A caller that closed only its sending side must be able to detect a cut stream.
_CALLER_GONE: Final = Refusal(
    400,
    ErrorCode.ANSWER_INCOMPLETE,
    "the caller closed its connection",
    RunState.UNKNOWN,
)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclass(frozen=True)
class StreamHead:
    """The status and headers of a streamed answer."""

    status: int
    headers: dict[str, str]


@dataclass(frozen=True)
class StreamEvent:
    """One server-sent event."""

    data: bytes


@dataclass(frozen=True)
class StreamEnd:
    """The end of a streamed answer, with a refusal if it was cut."""

    refusal: Refusal | None


@dataclass(frozen=True)
class WholeAnswer:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


AnswerItem = StreamHead | StreamEvent | StreamEnd | WholeAnswer


class CutStreamError(Exception):
    """Closes the caller's connection without the final chunk of the body."""


class CallerSink(AnswerSink):
    """Queues the answer for the greenlet of the caller's connection."""

    def __init__(self, backlog: AnswerBacklog | None = None) -> None:
        """Set the backlog in the memory budget of all callers; None for one apart."""
        self._backlog = backlog or CallerProtection.with_defaults().open_answer()
        # Bytes of the item that is being written.
        self._writing_bytes = 0
        self._items: Queue[AnswerItem] = Queue(MAX_QUEUED_ITEMS)
        self._has_begun = False
        # Further items are dropped: the caller disconnected or its key was revoked.
        self._is_closed = False

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Start a streamed answer."""
        self._has_begun = True
        self._put(StreamHead(status, headers))

    def send_event(self, data: bytes) -> None:
        """Add one server-sent event."""
        self._put(StreamEvent(data))

    def end(self) -> None:
        """End a complete streamed answer."""
        self._put(StreamEnd(None))

    def abort(self, refusal: Refusal) -> None:
        """End a streamed answer that is incomplete."""
        self._put(StreamEnd(refusal))

    def send_whole(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a whole answer."""
        self._has_begun = True
        self._put(WholeAnswer(status, headers, body))

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal; a stream that has begun is cut instead."""
        self._put(StreamEnd(refusal) if self._has_begun else self.refusal_item(refusal))

    def refusal_item(self, refusal: Refusal) -> WholeAnswer:
        """Return a refusal as an answer of this front end."""
        return refusal_item(refusal)

    def cut_event(self, refusal: Refusal) -> bytes:
        """Return the last event of a cut stream; empty for none."""
        return b"event: error\ndata: " + problem_body(refusal) + b"\n\n"

    def cut_short(self, refusal: Refusal) -> None:
        """Replace the queued items by a refusal; never blocks.

        The front end's task calls this, and a caller that does not read must not block
        that task.
        """
        if self._is_closed:
            return
        self._is_closed = True
        first_item: AnswerItem | None = None
        while not self._items.empty():
            item = self._items.get_nowait()
            self._backlog.remove(_size(item))
            first_item = first_item or item
        is_stream_started = self._has_begun and not isinstance(
            first_item, StreamHead | WholeAnswer
        )
        item = StreamEnd(refusal) if is_stream_started else self.refusal_item(refusal)
        self._items.put_nowait(item)

    def close(self) -> None:
        """Release the handler of a disconnected caller and drop further items."""
        self.cut_short(_CALLER_GONE)

    def _put(self, item: AnswerItem) -> None:
        size = _size(item)
        if size and not self._is_closed:
            self._backlog.wait_for_room(size)
        if not self._is_closed:
            self._backlog.add(size)
            self._items.put(item)

    def next_item(self) -> AnswerItem:
        """Wait for the next item; the one before has been written."""
        self._backlog.remove(self._writing_bytes)
        self._writing_bytes = 0
        item = self._items.get()
        self._writing_bytes = _size(item)
        return item

    def record_written(self, size: int) -> None:
        """Note that the caller has taken a piece of the answer."""
        self._backlog.record_progress(size)

    def release(self) -> None:
        """Free the memory of what is left; nothing more is written."""
        self._is_closed = True
        self._backlog.close()


def _size(item: AnswerItem) -> int:
    """Return the bytes of an item that count for the memory."""
    match item:
        case StreamEvent(data):
            return len(data)
        case WholeAnswer(body=body):
            return len(body)
    return 0


def refusal_item(refusal: Refusal) -> WholeAnswer:
    """Encode a refusal as a whole answer."""
    headers = {"content-type": PROBLEM_CONTENT_TYPE}
    if refusal.retry_after_s is not None:
        headers["retry-after"] = str(max(1, math.ceil(refusal.retry_after_s)))
    if refusal.status == 401:
        headers["www-authenticate"] = "Bearer"
    return WholeAnswer(refusal.status, headers, problem_body(refusal))


def status_line(status: int) -> str:
    """Return a status code with its reason phrase."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def respond_whole(
    item: WholeAnswer, start_response: StartResponse, *, closing: bool = False
) -> Iterator[bytes]:
    """Send a whole answer; ``closing`` closes the connection after it.

    The pieces are made as they are written, so that there is no second copy.
    """
    headers = _answer_headers(item, closing)
    headers.append(("Content-Length", str(len(item.body))))
    start_response(status_line(item.status), headers)
    return _pieces(item.body)


def _pieces(data: bytes) -> Iterator[bytes]:
    for start in range(0, len(data), WRITE_PIECE_BYTES):
        yield data[start : start + WRITE_PIECE_BYTES]


def _answer_headers(
    item: StreamHead | WholeAnswer, closing: bool
) -> list[tuple[str, str]]:
    headers = [(name.title(), text) for name, text in item.headers.items()]
    if closing:
        headers.append(("Connection", "close"))
    return headers


def respond(
    sink: CallerSink,
    start_response: StartResponse,
    is_closing: Callable[[], bool] = lambda: False,
) -> Iterator[bytes]:
    """Send an answer as it arrives; raise CutStreamError if it is cut.

    ``is_closing`` is called when the answer begins and returns whether the connection
    closes after it. Afterwards the memory of the answer is free.
    """
    try:
        for piece in _respond(sink, start_response, is_closing):
            yield piece
            # The piece before has been written once the next one is asked for.
            sink.record_written(len(piece))
    finally:
        sink.release()


def _respond(
    sink: CallerSink, start_response: StartResponse, is_closing: Callable[[], bool]
) -> Iterator[bytes]:
    item = sink.next_item()
    if isinstance(item, WholeAnswer):
        yield from respond_whole(item, start_response, closing=is_closing())
        return
    if not isinstance(item, StreamHead):
        raise CutStreamError
    start_response(status_line(item.status), _answer_headers(item, is_closing()))
    while True:
        item = sink.next_item()
        if isinstance(item, StreamEvent):
            yield from _pieces(item.data)
        elif isinstance(item, StreamEnd):
            if item.refusal is not None:
                if data := sink.cut_event(item.refusal):
                    yield data
                raise CutStreamError
            return
        else:
            # A second answer must neither enter the stream nor leave it unfinished.
            raise CutStreamError
