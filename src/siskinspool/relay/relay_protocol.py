"""The bytes on a relayed connection.

The caller opens the connection with a frame (`encode_open`) and gets one back
(`encode_answer`). Then it sends its request as it is. What the server sends comes back
in frames, whose last one tells how the server has ended: in order, or by a reset. A
connection that ends without that frame was cut between the instances, so an answer
without a length never looks complete by mistake.

A frame is its length in four bytes, big endian, and that many bytes.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final, TypeVar

import msgspec

from ..core.malformed import MALFORMED_ERRORS
from ..server_signals.observations import ServerStart

LENGTH_BYTES: Final = 4
# Of the frames that open a connection.
MAX_OPENING_BYTES: Final = 1_024
MAX_BLOCK_BYTES: Final = 16_384
_LENGTH: Final = struct.Struct(">I")
_RESET_LENGTH: Final = 0xFFFFFFFF
END_FRAME: Final = _LENGTH.pack(0)
RESET_FRAME: Final = _LENGTH.pack(_RESET_LENGTH)


class RelayProtocolError(Exception):
    """The bytes do not follow the protocol."""


class RelayOpen(msgspec.Struct, frozen=True):
    """Asks for a connection to one start of a server."""

    server_id: str
    # The connection is closed after this time.
    timeout_s: float
    born_ms: int | None = None
    boot_id: str = ""

    @classmethod
    def for_start(cls, start: ServerStart, timeout_s: float) -> RelayOpen:
        """Return the request for a start."""
        return cls(start.server_id, timeout_s, start.born_ms, start.boot_id)


class RelayAnswer(msgspec.Struct, frozen=True):
    """Whether the connection to the server is open, or why it is not."""

    is_open: bool
    # The instance could not connect, which may be its own fault.
    is_unable: bool = False
    reason: str = ""


@dataclass(frozen=True)
class DataFrame:
    """Bytes of the server."""

    data: bytes


@dataclass(frozen=True)
class EndFrame:
    """The server has ended the connection in order."""


@dataclass(frozen=True)
class ResetFrame:
    """The server has reset the connection."""


Frame = DataFrame | EndFrame | ResetFrame
_OpeningT = TypeVar("_OpeningT", RelayOpen, RelayAnswer)


def encode_opening(message: RelayOpen | RelayAnswer) -> bytes:
    """Return the frame that opens a connection, or answers that."""
    return encode_data(msgspec.msgpack.encode(message))


def decode_opening(data: bytes, kind: type[_OpeningT]) -> _OpeningT:
    """Return the message in a frame's bytes; raises RelayProtocolError."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except MALFORMED_ERRORS as error:
        raise RelayProtocolError(str(error)) from error


def decode_opening_length(header: bytes) -> int:
    """Return the length of an opening frame; raises RelayProtocolError."""
    length = int(_LENGTH.unpack(header)[0])
    if not 0 < length <= MAX_OPENING_BYTES:
        raise RelayProtocolError(f"an opening frame of {length} bytes")
    return length


def encode_data(data: bytes) -> bytes:
    """Return the frame of a block, which has at least one byte."""
    return _LENGTH.pack(len(data)) + data


class FrameReader:
    """Decodes the frames that come back from a relay."""

    def __init__(self) -> None:
        # Bytes of an unfinished length.
        self._header = b""
        # Bytes that are left of the present data frame, passed on as they arrive.
        self._remaining = 0

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield what some bytes bring; raises RelayProtocolError."""
        position = 0
        while position < len(data):
            if self._remaining:
                block = data[position : position + self._remaining]
                self._remaining -= len(block)
                position += len(block)
                yield DataFrame(block)
                continue
            missing = LENGTH_BYTES - len(self._header)
            self._header += data[position : position + missing]
            position += missing
            if len(self._header) == LENGTH_BYTES:
                end = self._begin_frame()
                if end is not None:
                    yield end
                    return

    def _begin_frame(self) -> EndFrame | ResetFrame | None:
        length = int(_LENGTH.unpack(self._header)[0])
        self._header = b""
        if length == 0:
            return EndFrame()
        if length == _RESET_LENGTH:
            return ResetFrame()
        if length > MAX_BLOCK_BYTES:
            raise RelayProtocolError(f"a frame of {length} bytes")
        self._remaining = length
        return None
