"""Decodes chunked bodies in batches (RFC 9112, section 7.1).

A batch may hold hundreds of chunks, and may end anywhere. Lines end with CRLF; anything
else is refused, since two recipients could disagree about where the body ends.
"""

from __future__ import annotations

import re
from typing import Final

_CRLF: Final = b"\r\n"
# At most 16 digits, as many as a length of 64 bits has.
_SIZE_LINE: Final = re.compile(rb"([0-9A-Fa-f]{1,16})(;[^\r\n\0]*)?")
_TRAILER_LINE: Final = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\r\n\0]*")
MAX_LINE_BYTES: Final = 8_192
MAX_TRAILER_BYTES: Final = 16_384


class MalformedChunkError(ValueError):
    """Bytes that are not a chunked body."""


class ChunkDecoder:
    """Decodes one chunked body."""

    def __init__(self) -> None:
        # Bytes of data, and of the line end after them, that are still to come.
        self._data_left = 0
        self._line_end_left = 0
        # The beginning of a line whose end has not come.
        self._line = b""
        self._trailer_bytes = 0
        self._is_in_trailer = False
        self.has_ended = False
        self.chunk_count = 0

    @property
    def data_left(self) -> int:
        """Bytes of the current chunk that are still to come."""
        return self._data_left

    def take_data(self, size: int) -> None:
        """Count data of the current chunk that was received without `feed`."""
        self._data_left -= size
        if not self._data_left:
            self._line_end_left = len(_CRLF)

    def feed(self, batch: bytes, body: bytearray) -> int:
        """Add the data in a batch to a body; return how many bytes were used.

        All are used unless the body ends before. Raises MalformedChunkError.
        """
        position = 0
        while position < len(batch) and not self.has_ended:
            if self._data_left:
                taken = min(self._data_left, len(batch) - position)
                body += batch[position : position + taken]
                self.take_data(taken)
                position += taken
            elif self._line_end_left:
                position = self._skip_line_end(batch, position)
            else:
                position = self._read_line(batch, position)
        return position

    def _skip_line_end(self, batch: bytes, position: int) -> int:
        expected = _CRLF[-self._line_end_left :]
        found = batch[position : position + self._line_end_left]
        if not expected.startswith(found):
            raise MalformedChunkError("a chunk does not end with its line")
        self._line_end_left -= len(found)
        return position + len(found)

    def _read_line(self, batch: bytes, position: int) -> int:
        end = batch.find(b"\n", position)
        if end < 0:
            self._line += batch[position:]
            if len(self._line) > MAX_LINE_BYTES:
                raise MalformedChunkError("a line is too long")
            return len(batch)
        line = self._line + batch[position : end + 1]
        self._line = b""
        if not line.endswith(_CRLF) or len(line) > MAX_LINE_BYTES:
            raise MalformedChunkError("a line does not end")
        self._handle_line(line[: -len(_CRLF)])
        return end + 1

    def _handle_line(self, line: bytes) -> None:
        if self._is_in_trailer:
            self._handle_trailer(line)
            return
        found = _SIZE_LINE.fullmatch(line)
        if found is None:
            raise MalformedChunkError("not the size of a chunk")
        self.chunk_count += 1
        self._data_left = int(found[1], 16)
        self._is_in_trailer = not self._data_left

    def _handle_trailer(self, line: bytes) -> None:
        if not line:
            self.has_ended = True
            return
        self._trailer_bytes += len(line)
        if self._trailer_bytes > MAX_TRAILER_BYTES or not _TRAILER_LINE.fullmatch(line):
            raise MalformedChunkError("not a trailer")
