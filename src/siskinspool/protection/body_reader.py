"""Reads the body of a request from a caller's connection.

A body is admitted before its bytes are taken: by its length, or step by step if it
comes in chunks. Other connections get their turn after each piece, and small chunks of
all connections are parsed one batch at a time.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import Any, Final

import gevent

from .caller_protection import BodyRoom, CallerProtection
from .chunk_decoder import ChunkDecoder, MalformedChunkError
from .connection_table import Connection, ConnectionPhase
from .limit_counters import Limit
from .minimum_progress import MinimumProgress

PIECE_BYTES: Final = 65_536
# A body in chunks reserves its memory in steps of this size.
RESERVE_STEP_BYTES: Final = 16_384
# Chunks of one batch from which on the next batch waits for its turn.
DENSE_CHUNKS: Final = 64
# Left to the other greenlets after a batch of small chunks, which takes about as long.
PARSE_PAUSE_S: Final = 0.001


class BodyFailure(StrEnum):
    """Why a body was not read."""

    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    SHED = "shed"
    NO_ROOM = "no_room"
    INCOMPLETE = "incomplete"


_LIMIT_BY_FAILURE: Final = {
    BodyFailure.TOO_SLOW: Limit.BODY_SLOW,
    BodyFailure.SHED: Limit.BODY_SHED,
    BodyFailure.NO_ROOM: Limit.BODY_NO_ROOM,
}


class _BodyError(Exception):
    """Ends the reading of a body."""

    def __init__(self, failure: BodyFailure) -> None:
        super().__init__(failure)
        self.failure = failure


class BodyReader:
    """Reads one body; ``source`` is the WSGI input of gevent."""

    def __init__(
        self,
        source: Any,
        protection: CallerProtection,
        connection: Connection,
        room: BodyRoom,
        max_window_s: float,
    ) -> None:
        """Set the connection and the room; a window of the progress has a maximum."""
        self._source = source
        self._protection = protection
        self._connection = connection
        self._room = room
        room.on_shed(connection.stop_reading)
        settings = protection.settings
        self._progress = MinimumProgress(
            settings.body_bytes_per_s,
            min(settings.body_window_s, max_window_s),
            settings.body_start_bytes,
            protection.clock.now(),
        )

    def read(self, max_bytes: int) -> bytes | BodyFailure:
        """Return the body, of at most ``max_bytes``."""
        now = self._protection.clock.now()
        self._connection.enter(ConnectionPhase.READING, now)
        try:
            if self._source.chunked_input:
                return self._read_chunks(max_bytes)
            return self._read_length(max_bytes)
        except _BodyError as error:
            failure = error.failure
        except (MalformedChunkError, OSError):
            # A reader that is woken because its body is shed gets an OSError.
            is_shed = self._room.is_shed
            failure = BodyFailure.SHED if is_shed else BodyFailure.INCOMPLETE
        if failure in _LIMIT_BY_FAILURE:
            self._protection.record(_LIMIT_BY_FAILURE[failure])
        return failure

    def _read_length(self, max_bytes: int) -> bytes:
        length = self._source.content_length or 0
        if length > max_bytes:
            raise _BodyError(BodyFailure.TOO_LARGE)
        # The head counts, too. In one step, as a body that waits to be admitted and
        # holds some room already could be shed.
        self._reserve(length)
        if not length:
            return b""
        self._source._send_100_continue()
        body = bytearray()
        while len(body) < length:
            body += self._receive_piece(length - len(body))
        self._source.position = length
        return bytes(body)

    def _read_chunks(self, max_bytes: int) -> bytes:
        self._reserve(RESERVE_STEP_BYTES)
        self._source._send_100_continue()
        decoder, body = ChunkDecoder(), bytearray()
        is_dense = False
        while not decoder.has_ended:
            if len(body) + decoder.data_left > max_bytes:
                raise _BodyError(BodyFailure.TOO_LARGE)
            if decoder.data_left:
                size = min(decoder.data_left, PIECE_BYTES)
                self._reserve(len(body) + size)
                piece = self._receive_piece(size)
                decoder.take_data(len(piece))
                body += piece
            else:
                is_dense = self._decode_batch(decoder, body, is_dense)
        # gevent would otherwise read on, to discard the rest.
        self._source.chunked_input = False
        return bytes(body)

    def _decode_batch(
        self, decoder: ChunkDecoder, body: bytearray, is_dense: bool
    ) -> bool:
        """Decode one batch; return whether it had many chunks."""
        rfile = self._source.rfile
        batch = self._receive(rfile.peek)[: self._protection.settings.parse_turn_bytes]
        self._reserve(len(body) + len(batch))
        chunks_before = decoder.chunk_count
        if is_dense:
            self._protection.record(Limit.PARSE_TURN)
            with self._protection.parse_turn:
                used = decoder.feed(batch, body)
                # Held meanwhile, so that one batch of all is parsed in this time.
                gevent.sleep(PARSE_PAUSE_S)
        else:
            used = decoder.feed(batch, body)
            gevent.sleep(0)
        rfile.read(used)
        return decoder.chunk_count - chunks_before >= DENSE_CHUNKS

    def _receive_piece(self, size: int) -> bytes:
        """Return between one and ``size`` bytes."""
        rfile = self._source.rfile
        piece = self._receive(lambda: rfile.read1(min(size, PIECE_BYTES)))
        # A socket that always has bytes would otherwise keep the process to itself.
        gevent.sleep(0)
        return piece

    def _receive(self, read: Callable[[], bytes]) -> bytes:
        """Return the next bytes; raises _BodyError if they do not come in time."""
        while True:
            clock = self._protection.clock
            data = self._read_within(self._progress.remaining_s(clock.now()), read)
            now = clock.now()
            if data:
                self._progress.record(len(data))
                self._room.record_progress(len(data))
                self._connection.lag.record(len(data), now)
            if self._room.is_shed:
                raise _BodyError(BodyFailure.SHED)
            if self._progress.is_too_slow(now):
                raise _BodyError(BodyFailure.TOO_SLOW)
            if data == b"":
                raise _BodyError(BodyFailure.INCOMPLETE)
            if data is not None:
                return data

    @staticmethod
    def _read_within(timeout_s: float, read: Callable[[], bytes]) -> bytes | None:
        """Return what was read, empty at the end, or None if nothing came in time."""
        timer = gevent.Timeout.start_new(timeout_s)
        try:
            return read()
        except gevent.Timeout as expired:
            if expired is not timer:
                raise
            return None
        finally:
            timer.close()

    def _reserve(self, size: int) -> None:
        steps = -(-size // RESERVE_STEP_BYTES)
        if not self._room.reserve(steps * RESERVE_STEP_BYTES):
            is_shed = self._room.is_shed
            raise _BodyError(BodyFailure.SHED if is_shed else BodyFailure.NO_ROOM)
