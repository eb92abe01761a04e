"""Reads the header section of a caller's request and checks its framing.

A recipient that repairs or skips a malformed line, or picks one of two lengths, can
disagree with the sender about where the body ends, and a request can be smuggled in
that body. Such heads are refused (RFC 9112, sections 5 and 6).
"""

from __future__ import annotations

import re
from typing import Any, Final

CONTENT_LENGTH: Final = "content-length"
TRANSFER_ENCODING: Final = "transfer-encoding"

# A field name directly followed by a colon. A carriage return may only end the line,
# and a line that begins with white space would continue the one before it.
_FIELD_LINE: Final = re.compile(
    rb"([!#$%&'*+.^_`|~0-9A-Za-z-]+):([^\r\n\0]*)\r?\n", re.ASCII
)
_END_OF_SECTION: Final = (b"\r\n", b"\n")


class MalformedHeadError(ValueError):
    """A head that two recipients may read differently."""


class HeadersTooLargeError(ValueError):
    """A header section that exceeds the limit."""


class HeaderSection:
    """A file that passes the lines of one header section on and checks them."""

    def __init__(self, rfile: Any, max_bytes: int) -> None:
        """Read from a binary file, at most ``max_bytes`` in total."""
        self._rfile = rfile
        self._max_bytes = max_bytes
        self._remaining_bytes = max_bytes
        self._framing_values: dict[str, list[str]] = {
            CONTENT_LENGTH: [],
            TRANSFER_ENCODING: [],
        }

    @property
    def read_bytes(self) -> int:
        """Bytes of the section that were read."""
        return self._max_bytes - self._remaining_bytes

    def readline(self, limit: int = -1) -> bytes:
        """Return the next line; raise a ValueError if it is refused."""
        line: bytes = self._rfile.readline(limit)
        self._remaining_bytes -= len(line)
        if self._remaining_bytes < 0:
            raise HeadersTooLargeError("the header section is too large")
        if line not in _END_OF_SECTION:
            self._check_field(line)
        return line

    def _check_field(self, line: bytes) -> None:
        field = _FIELD_LINE.fullmatch(line)
        if field is None:
            raise MalformedHeadError("not a header line")
        name = field[1].decode("ascii").lower()
        if name in self._framing_values:
            value = field[2].decode("latin-1").strip(" \t")
            self._framing_values[name].append(value)

    def check_framing(self, version: str | None) -> None:
        """Raise MalformedHeadError if the end of the body is ambiguous.

        ``version`` is the protocol version of the request, such as ``HTTP/1.1``.
        """
        lengths = self._framing_values[CONTENT_LENGTH]
        codings = self._framing_values[TRANSFER_ENCODING]
        if len(lengths) + len(codings) > 1:
            raise MalformedHeadError("more than one length or coding")
        if any(not _is_number(length) for length in lengths):
            raise MalformedHeadError("the length is not a number")
        if any(coding.lower() != "chunked" for coding in codings):
            raise MalformedHeadError("the coding is not supported")
        if codings and version != "HTTP/1.1":
            raise MalformedHeadError("the version has no chunked bodies")


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal()
