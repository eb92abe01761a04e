"""The parser of a server's answer.

A connection carries one call, and therefore one final answer. A faulty server may send
more data after it: garbage, or another answer. The HTTP client's parser treats such
bytes as the next answer, whose status, headers and body then replace or extend those
of the first. `ServerResponse` stops after the first final answer and drops the rest.

A chunked body is whole once the chunk of size zero has arrived (RFC 9112, section 8).
The trailers after it are dropped, too: nobody uses them, they may never end, and the
parser would keep each line as objects that take many times its bytes.
"""

from __future__ import annotations

from typing import Final, cast

from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPSocketResponse

from .answer_socket import CHUNK_COST_BYTES, FIELD_COST_BYTES, AnswerSocket

# Lower codes are interim answers that precede the final one.
MIN_FINAL_STATUS: Final = 200
# Higher codes have no meaning (RFC 9110, section 15).
MAX_FINAL_STATUS: Final = 599
EVENT_END: Final = b"\n\n"


class ServerResponse(HTTPSocketResponse):
    """The first final answer on a connection."""

    # Status in the latest head; the parser's own status is lost when bytes follow the
    # answer.
    _status = 0
    _has_ended = False
    # Cost of the heads and header lines in the latest block.
    _head_cost_bytes = 0
    # Parts of the body in the latest block.
    _part_count = 0

    def __init__(self, sock: AnswerSocket, method: str) -> None:
        """Read the head of the answer to a request with this method."""
        self._answer_sock = sock
        super().__init__(cast(socket.socket, sock), method=method)

    @property
    def has_valid_status(self) -> bool:
        """Return whether the status is one of a final answer."""
        return MIN_FINAL_STATUS <= self._status <= MAX_FINAL_STATUS

    def get_code(self) -> int:
        """Return the status code."""
        return self._status

    def feed(self, data: str | bytes) -> None:
        """Parse bytes; ignore those after the final answer."""
        if self._has_ended:
            return
        self._head_cost_bytes = 0
        self._part_count = 0
        try:
            super().feed(data)
        except HTTPParseError:
            if not self._has_ended:
                raise
        if not self._has_ended:
            # The first part is free: each block of a large chunk has one.
            chunk_count = max(self._part_count - 1, 0)
            cost_bytes = self._head_cost_bytes + chunk_count * CHUNK_COST_BYTES
            self._answer_sock.record_parsed(cost_bytes)

    def read_event(self) -> bytes:
        """Return the body up to the end of the next event, empty if it has none.

        Each byte is searched once. The library's `readline` searches a whole unfinished
        line again for each block.
        """
        searched_bytes = 0
        while (position := self._body_buffer.find(EVENT_END, searched_bytes)) < 0:
            if self.message_complete:
                return b""
            # The end may have begun with the last bytes.
            searched_bytes = max(len(self._body_buffer) - len(EVENT_END) + 1, 0)
            self._receive_block()
        size = position + len(EVENT_END)
        event = bytes(self._body_buffer[:size])
        del self._body_buffer[:size]
        return event

    def _receive_block(self) -> None:
        try:
            self.feed(self._answer_sock.recv(self.block_size))
        except BaseException:
            self.release()
            raise

    def _on_headers_complete(self) -> int | bool | None:
        self._status = super().get_code()
        return super()._on_headers_complete()

    def _on_header_field(self, string: str) -> None:
        if self.headers_complete:
            self._on_message_complete()
            # Stops the parser before it reads the trailers.
            raise HTTPParseError("trailers after the body")
        super()._on_header_field(string)

    def _flush_header(self) -> None:
        self._head_cost_bytes += FIELD_COST_BYTES
        super()._flush_header()

    def _on_message_begin(self) -> None:
        if self._has_ended:
            # Stops the parser before it reads the head of another answer.
            raise HTTPParseError("bytes after the answer")
        self._head_cost_bytes += FIELD_COST_BYTES
        super()._on_message_begin()

    def _on_body(self, buf: bytearray) -> None:
        self._part_count += 1
        super()._on_body(buf)

    def _on_message_complete(self) -> None:
        self._has_ended = self._status >= MIN_FINAL_STATUS
        super()._on_message_complete()
