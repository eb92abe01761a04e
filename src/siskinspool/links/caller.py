"""The caller's side of a call: the answer as WSGI sends it.

`CallerSink` turns what the `CallTask` hands over into items of a bounded queue. The
greenlet that serves the caller's connection takes them out and writes them, so a slow
caller slows the reading from the server instead of filling memory.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any, Final

import gevent
from gevent import socket
from gevent.queue import Queue

from ..core.errors import ErrorCode
from ..core.outcome import Refusal, RunState
from .answer_sink import PROBLEM_CONTENT_TYPE, AnswerSink, problem_body

MAX_QUEUED_ITEMS: Final = 64
# A caller that takes no byte for this long is cut off.
WRITE_TIMEOUT_S: Final = 30.0

# A caller that closed only its sending side must not take a cut stream for whole.
_CALLER_GONE: Final = Refusal(
    400,
    ErrorCode.ANSWER_INCOMPLETE,
    "the caller closed its connection",
    RunState.UNKNOWN,
)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@dataclass(frozen=True)
class StreamHead:
    """The start of a streamed answer."""

    status: int
    headers: dict[str, str]


@dataclass(frozen=True)
class StreamEvent:
    """One server-sent event."""

    data: bytes


@dataclass(frozen=True)
class StreamEnd:
    """The end of a streamed answer; a refusal if it was cut."""

    refusal: Refusal | None


@dataclass(frozen=True)
class WholeAnswer:
    """A whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes


AnswerItem = StreamHead | StreamEvent | StreamEnd | WholeAnswer


class CutStreamError(Exception):
    """Ends the caller's connection without the closing chunk of the body."""


class CallerSink(AnswerSink):
    """Queues the answer for the greenlet of the caller's connection."""

    def __init__(self) -> None:
        self._items: Queue[AnswerItem] = Queue(MAX_QUEUED_ITEMS)
        self._begun = False
        # Nothing more is taken: the caller has gone or its key was revoked.
        self._closed = False

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Take the head of a streamed answer."""
        self._begun = True
        self._put(StreamHead(status, headers))

    def send_event(self, data: bytes) -> None:
        """Take one server-sent event."""
        self._put(StreamEvent(data))

    def end(self) -> None:
        """Take the end of a complete streamed answer."""
        self._put(StreamEnd(None))

    def abort(self, refusal: Refusal) -> None:
        """Take the end of a streamed answer that was cut."""
        self._put(StreamEnd(refusal))

    def send_whole(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Take a whole answer."""
        self._begun = True
        self._put(WholeAnswer(status, headers, body))

    def refuse(self, refusal: Refusal) -> None:
        """Take a refusal; a stream that has begun is cut instead."""
        self._put(StreamEnd(refusal) if self._begun else self.refusal_item(refusal))

    def refusal_item(self, refusal: Refusal) -> WholeAnswer:
        """Return a refusal in the form of this front end."""
        return refusal_item(refusal)

    def cut_event(self, refusal: Refusal) -> bytes:
        """Return the last event of a stream that was cut; empty for none."""
        return b"event: error\ndata: " + problem_body(refusal) + b"\n\n"

    def cut_short(self, refusal: Refusal) -> None:
        """Take a refusal in place of the queued items; never blocks.

        The front end ends calls from its own task, which a caller that does not read
        must not hold up.
        """
        if self._closed:
            return
        self._closed = True
        first: AnswerItem | None = None
        while not self._items.empty():
            item = self._items.get_nowait()
            first = first or item
        begun = self._begun and not isinstance(first, StreamHead | WholeAnswer)
        item = StreamEnd(refusal) if begun else self.refusal_item(refusal)
        self._items.put_nowait(item)

    def close(self) -> None:
        """Wake the handler, whose caller has gone, and drop what still comes."""
        self.cut_short(_CALLER_GONE)

    def _put(self, item: AnswerItem) -> None:
        if not self._closed:
            self._items.put(item)

    def next_item(self) -> AnswerItem:
        """Wait for the next item."""
        return self._items.get()


def refusal_item(refusal: Refusal) -> WholeAnswer:
    """Return a refusal as a whole answer."""
    headers = {"content-type": PROBLEM_CONTENT_TYPE}
    if refusal.retry_after_s is not None:
        headers["retry-after"] = str(max(1, math.ceil(refusal.retry_after_s)))
    if refusal.status == 401:
        headers["www-authenticate"] = "Bearer"
    return WholeAnswer(refusal.status, headers, problem_body(refusal))


def status_line(status: int) -> str:
    """Return a status with its phrase."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def respond_whole(
    item: WholeAnswer, start_response: StartResponse, *, closing: bool = False
) -> list[bytes]:
    """Send a whole answer; with ``closing`` it ends its connection."""
    headers = _answer_headers(item, closing)
    headers.append(("Content-Length", str(len(item.body))))
    start_response(status_line(item.status), headers)
    return [item.body]


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
    """Send an answer as it arrives; raise CutStreamError if it was cut.

    ``is_closing`` tells, as the answer begins, whether it ends its connection.
    """
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
            yield item.data
        elif isinstance(item, StreamEnd):
            if item.refusal is not None:
                if data := sink.cut_event(item.refusal):
                    yield data
                raise CutStreamError
            return
        else:
            # A second answer must neither enter the stream nor leave it without end.
            raise CutStreamError


def watch_caller(
    sock: socket.socket, on_gone: Callable[[], None]
) -> gevent.Greenlet[..., None]:
    """Call ``on_gone`` when the caller closes its connection.

    Bytes of a following request end the watch: they cannot be told from a caller that
    still waits.
    """

    def wait() -> None:
        try:
            socket.wait_read(sock.fileno())
            gone = sock.recv(1, socket.MSG_PEEK) == b""
        except OSError:
            gone = True
        if gone:
            on_gone()

    return gevent.spawn(wait)
