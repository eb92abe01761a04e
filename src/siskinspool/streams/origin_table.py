"""The origins of streams that an instance knows, within a bound."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterator
from typing import Final

import attrs

from ..server_signals.observations import ServerStart
from .stream_messages import (
    KeysByOrigin,
    StreamBegun,
    recorded_streams,
    stream_key,
)

# Some 10 MB. A recorder of 24 instances with 32 new streams a second each fills it in
# over a minute.
MAX_STREAMS: Final = 65_536
# Streams of the instance itself.
MAX_OWN_STREAMS: Final = 4_096


class OriginTable:
    """The software versions of streams, by stream; the oldest are dropped first."""

    def __init__(self) -> None:
        self._version_by_key: OrderedDict[tuple[str, int], str] = OrderedDict()

    def find(self, service: str, key: int) -> str | None:
        """Return the version of a stream; empty if it is doubtful, None if unknown."""
        return self._version_by_key.get((service, key))

    def add(self, service: str, version: str, key: int) -> None:
        """Add a stream. A version that was found to be doubtful stays so."""
        if self._version_by_key.get((service, key)) == "":
            return
        self._version_by_key[(service, key)] = version
        if len(self._version_by_key) > MAX_STREAMS:
            self._version_by_key.popitem(last=False)

    def add_all(self, keys_by_origin: KeysByOrigin) -> None:
        """Add the streams of a message or of an archive."""
        for stream in recorded_streams(keys_by_origin):
            self.add(stream.service, stream.software_version, stream.key)

    def __len__(self) -> int:
        """Return the number of streams."""
        return len(self._version_by_key)


@attrs.frozen
class OwnStream:
    """A stream that this instance has begun; the time is in seconds."""

    key: int
    service: str
    software_version: str
    server: ServerStart
    begun_at: float


class OwnStreams:
    """The last streams that this instance has begun."""

    def __init__(self) -> None:
        self._streams: deque[OwnStream] = deque(maxlen=MAX_OWN_STREAMS)

    def add(self, begun: StreamBegun, now: float) -> OwnStream:
        """Add a stream and return it."""
        stream = OwnStream(
            stream_key(begun.request_id),
            begun.service,
            begun.software_version,
            begun.server,
            now,
        )
        self._streams.append(stream)
        return stream

    def of_service(self, service: str) -> Iterator[OwnStream]:
        """Yield the streams of a service."""
        return (one for one in self._streams if one.service == service)

    def at_server(self, server_id: str, since: float) -> Iterator[OwnStream]:
        """Yield the streams that have begun at a server since a time."""
        return (
            one
            for one in self._streams
            if one.server.server_id == server_id and one.begun_at >= since
        )

    def drop(self, before: float) -> None:
        """Drop the streams that had begun before a time."""
        while self._streams and self._streams[0].begun_at < before:
            self._streams.popleft()


def add_key(keys_by_origin: KeysByOrigin, service: str, version: str, key: int) -> None:
    """Add a stream to the streams of a message."""
    keys_by_version = keys_by_origin.setdefault(service, {})
    keys_by_version[version] = (*keys_by_version.get(version, ()), key)
