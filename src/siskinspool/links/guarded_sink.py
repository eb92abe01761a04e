"""Makes sure that an answer ends, however the task that gives it ends."""

from __future__ import annotations

from ..core.outcome import Refusal
from .answer_sink import AnswerSink


class GuardedSink(AnswerSink):
    """Passes an answer on to another sink and knows whether it has ended.

    A greenlet may end by an error that nobody expected, or be killed before it has run.
    `end_with` then gives the caller an answer, and does nothing after a whole one.
    """

    def __init__(self, sink: AnswerSink) -> None:
        """Guard a sink that has not got any part of the answer yet."""
        self._sink = sink
        self.has_ended = False

    def begin(self, status: int, headers: dict[str, str]) -> None:
        """Start a streamed answer."""
        self._sink.begin(status, headers)

    def send_event(self, data: bytes) -> None:
        """Add one server-sent event."""
        self._sink.send_event(data)

    def end(self) -> None:
        """End a complete streamed answer."""
        self._sink.end()
        self.has_ended = True

    def abort(self, refusal: Refusal) -> None:
        """End a streamed answer that is incomplete."""
        self._sink.abort(refusal)
        self.has_ended = True

    def send_whole(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a whole answer."""
        self._sink.send_whole(status, headers, body)
        self.has_ended = True

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal; if the answer has begun, end it as incomplete."""
        self._sink.refuse(refusal)
        self.has_ended = True

    def cut_short(self, refusal: Refusal) -> None:
        """Replace the pending part of the answer by a refusal; never blocks."""
        self._sink.cut_short(refusal)
        self.has_ended = True

    def close(self) -> None:
        """Discard the rest of the answer, since the caller has gone."""
        self._sink.close()
        self.has_ended = True

    def end_with(self, refusal: Refusal) -> bool:
        """End the answer with a refusal unless it has ended; return whether it did."""
        if self.has_ended:
            return False
        self.cut_short(refusal)
        return True
