"""Server-sent events of a stream that may be resumed at another server."""

from __future__ import annotations

import attrs


def event_id(event: bytes) -> int | None:
    """Return the number in an event's ``id`` field, or None."""
    for line in event.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            text = value.strip()
            return int(text) if text.isdigit() else None
    return None


@attrs.define
class StreamPosition:
    """A requester's position in a stream."""

    # Id of the last event sent to the requester; None before the first.
    last_id: int | None = None

    @classmethod
    def from_header(cls, last_event_id: str) -> StreamPosition:
        """Return the position that a requester states in ``Last-Event-Id``."""
        return cls(int(last_event_id) if last_event_id.isdecimal() else None)

    def accepts(self, event: bytes) -> bool:
        """Return whether an event is new to the requester; advance to it if so.

        A server that resumes a stream starts after the last event; events that it
        repeats must not reach the requester twice.
        """
        number = event_id(event)
        if number is None:
            return True
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True

    def has_gap_before(self, event: bytes) -> bool:
        """Return whether an event before this one is missing."""
        number = event_id(event)
        if number is None or self.last_id is None:
            return False
        return number > self.last_id + 1
