"""New streams that an instance has not told its recorders yet."""

from __future__ import annotations

import attrs

from .origin_table import add_key
from .stream_messages import KeysByOrigin, StreamsRecorded


@attrs.define
class UntoldStreams:
    """Streams by recorder, which are told together at intervals; times in seconds."""

    interval_s: float
    # The recorders archive them.
    is_archived: bool
    _keys_by_recorder: dict[str, KeysByOrigin] = attrs.field(factory=dict)
    _next_at: float = 0.0

    def add(self, recorder: str, service: str, version: str, key: int) -> None:
        """Add a stream for a recorder."""
        keys_by_origin = self._keys_by_recorder.setdefault(recorder, {})
        add_key(keys_by_origin, service, version, key)

    def due_at(self) -> float | None:
        """Return when the recorders are told next; None if there is nothing to tell."""
        return self._next_at if self._keys_by_recorder else None

    def pop_due(self, now: float) -> dict[str, StreamsRecorded]:
        """Return the messages that are due, by recorder."""
        if not self._keys_by_recorder or now < self._next_at:
            return {}
        self._next_at = now + self.interval_s
        due, self._keys_by_recorder = self._keys_by_recorder, {}
        return {
            recorder: StreamsRecorded(keys_by_origin, self.is_archived)
            for recorder, keys_by_origin in due.items()
        }
