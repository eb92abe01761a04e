"""Messages about the origin of streams, between tasks and between instances."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from typing import Final

import attrs

from ..core.message import Message
from ..links.codec import wire
from ..server_signals.observations import ServerStart

STREAMS_TASK: Final = "streams"
KEY_BYTES: Final = 8

# Streams by service and software version; each is named by its `stream_key`. The empty
# version means that the version is not known after all.
KeysByOrigin = dict[str, dict[str, tuple[int, ...]]]


def stream_key(request_id: str) -> int:
    """Return the 64-bit number that stands for the request that began a stream."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=KEY_BYTES).digest()
    return int.from_bytes(digest, "big")


@attrs.frozen
class RecordedStream:
    """A stream and the version that it has begun at; empty if it is doubtful."""

    service: str
    software_version: str
    key: int


def recorded_streams(keys_by_origin: KeysByOrigin) -> Iterator[RecordedStream]:
    """Yield the streams of a message or of an archive."""
    for service, keys_by_version in keys_by_origin.items():
        for version, keys in keys_by_version.items():
            for key in keys:
                yield RecordedStream(service, version, key)


@attrs.frozen
class StreamBegun(Message):
    """The first event of a stream is about to be passed on."""

    request_id: str
    service: str
    software_version: str
    server: ServerStart


@attrs.frozen
class FindStreamOrigin(Message):
    """Asks for the version that a stream has begun at.

    Answered by `StreamOriginFound` or `StreamOriginUnknown`.
    """

    # The request that brought the first event; empty if the requester names none.
    request_id: str
    service: str


@attrs.frozen
class StreamOriginFound(Message):
    """A stream may go on at servers of this version."""

    software_version: str


@attrs.frozen
class StreamOriginUnknown(Message):
    """Nobody knows which version a stream has begun at."""


@wire
@attrs.frozen
class StreamsRecorded(Message):
    """Streams that the sender has begun, for an instance that records them."""

    keys_by_origin: KeysByOrigin
    # The recipient also archives them in the key-value service.
    is_archived: bool


@wire
@attrs.frozen
class StreamOriginAsked(Message):
    """Asks a recorder for the origin of a stream; answered by `StreamOriginTold`."""

    number: int
    key: int
    service: str


@wire
@attrs.frozen
class StreamOriginTold(Message):
    """Answer to `StreamOriginAsked`; the version is empty if it is not known."""

    number: int
    software_version: str
