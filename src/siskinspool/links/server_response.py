"""The parser of a server's answer.

A connection carries one call, so it carries one final answer. A faulty server may write
more after it: rubbish, or an answer once more. The parser of the HTTP client takes such
bytes for the next answer, whose status, headers and body then replace or extend those
of the first. `ServerResponse` ends with the first final answer and drops the rest.
"""

from __future__ import annotations

from typing import Final

from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

# Lower ones are interim answers, after which the final one follows.
MIN_FINAL_STATUS: Final = 200


class ServerResponse(HTTPSocketResponse):
    """The first final answer on a connection."""

    # Status of the answer whose head came last; the parser's own is lost when bytes
    # follow the answer.
    _status = 0
    _has_ended = False

    def get_code(self) -> int:
        """Return the status."""
        return self._status

    def feed(self, data: str | bytes) -> None:
        """Parse bytes; those after the final answer have no effect."""
        if self._has_ended:
            return
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._has_ended:
                raise

    def _on_headers_complete(self) -> int | bool | None:
        self._status = super().get_code()
        return super()._on_headers_complete()

    def _on_message_begin(self) -> None:
        if self._has_ended:
            # The error stops the parser before it reads the head of another answer.
            raise HTTPParseError("bytes after the answer")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        self._has_ended = self._status >= MIN_FINAL_STATUS
        super()._on_message_complete()
