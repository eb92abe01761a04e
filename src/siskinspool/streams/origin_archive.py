"""The archive of stream origins in the key-value service, for a start without memory.

A recorder writes the streams of each half second to the next of its keys, which it uses
in turn, so that the archive is bounded. The key of the current half second is written
several times, as streams begin: those that were not yet written when all instances
ended are unknown afterwards.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Iterable
from typing import Final

import msgspec

from ..core.malformed import MALFORMED_ERRORS
from ..core.message import Message
from ..store.keys import ROOT
from ..store.kv import (
    KvConflict,
    KvItem,
    KvReply,
    KvSwap,
    KvSwapped,
)
from ..telemetry.logs import log_event
from .stream_messages import KeysByOrigin, RecordedStream, recorded_streams

logger = logging.getLogger(__name__)

ARCHIVE_PREFIX: Final = f"{ROOT}streams/begun/"
# Shortest time between two writes, in seconds.
WRITE_INTERVAL_S: Final = 0.2
# The streams of this time share a key.
SLOT_S: Final = 0.5
# A write without a reply is repeated after this time.
REPLY_TIMEOUT_S: Final = 2.0
# Keys of one recorder; they cover 40 s.
SLOTS: Final = 80
# Streams of one key, some 40 KB.
MAX_STREAMS_PER_KEY: Final = 4_096
MAX_PENDING_STREAMS: Final = 4 * MAX_STREAMS_PER_KEY
REQUEST_PREFIX: Final = "archive-"

_decoder: Final = msgspec.msgpack.Decoder(dict[str, dict[str, tuple[int, ...]]])


def decode_streams(items: Iterable[KvItem]) -> list[KeysByOrigin]:
    """Decode the values of an archive; unreadable ones are logged and left out."""
    found: list[KeysByOrigin] = []
    for item in items:
        try:
            found.append(_decoder.decode(item.value))
        except MALFORMED_ERRORS as error:
            log_event(
                logger,
                logging.WARNING,
                "stream_archive_unreadable",
                key=item.key,
                error=str(error),
            )
    return found


class OriginArchive:
    """Writes the streams that an instance records; its requests go to ``kv``."""

    def __init__(self, instance_id: str) -> None:
        self._instance_id = instance_id
        self._pending: deque[RecordedStream] = deque(maxlen=MAX_PENDING_STREAMS)
        self._revision_by_slot: dict[int, int] = {}
        self._slot = 0
        self._slot_since = float("-inf")
        # The streams that the current key holds.
        self._slot_streams: list[RecordedStream] = []
        # The keys of an earlier start are known, so they are not overwritten first.
        self.is_resumed = False
        self._number = 0
        # The request in flight, and the streams that it writes.
        self._request_id = ""
        self._written: list[RecordedStream] = []
        self._sent_at = float("-inf")

    def resume(self, items: Iterable[KvItem]) -> None:
        """Go on after the key that an earlier start of this instance wrote last."""
        prefix = f"{ARCHIVE_PREFIX}{self._instance_id}/"
        own = [item for item in items if item.key.startswith(prefix)]
        for item in own:
            slot = item.key.removeprefix(prefix)
            if slot.isdecimal() and int(slot) < SLOTS:
                self._revision_by_slot[int(slot)] = item.revision
        if self._revision_by_slot and not self.is_resumed:
            latest = max(self._revision_by_slot, key=self._revision_by_slot.__getitem__)
            self._slot = (latest + 1) % SLOTS
        self.is_resumed = True

    def add(self, keys_by_origin: KeysByOrigin) -> None:
        """Add streams to the next write."""
        self._pending.extend(recorded_streams(keys_by_origin))

    def due_at(self) -> float | None:
        """Return when the next write is due, or None if there is nothing to write."""
        if self._request_id:
            return self._sent_at + REPLY_TIMEOUT_S
        if not self._pending or not self.is_resumed:
            return None
        return self._sent_at + WRITE_INTERVAL_S

    @property
    def needs_listing(self) -> bool:
        """Return whether a write waits until the archive has been listed."""
        return bool(self._pending) and not self.is_resumed

    def write(self, now: float) -> Message | None:
        """Return the write that is due, if any."""
        due_at = self.due_at()
        if due_at is None or now < due_at:
            return None
        if self._request_id:
            # Its outcome is unknown, so the streams are written again.
            self._fail()
        is_full = len(self._slot_streams) >= MAX_STREAMS_PER_KEY
        if is_full or now >= self._slot_since + SLOT_S:
            self._begin_slot(now)
        room = MAX_STREAMS_PER_KEY - len(self._slot_streams)
        while self._pending and len(self._written) < room:
            self._written.append(self._pending.popleft())
        self._number += 1
        self._request_id = f"{REQUEST_PREFIX}{self._number}"
        self._sent_at = now
        return KvSwap(
            self._request_id,
            f"{ARCHIVE_PREFIX}{self._instance_id}/{self._slot:02}",
            self._revision_by_slot.get(self._slot, 0),
            _encode([*self._slot_streams, *self._written]),
        )

    def handle_reply(self, reply: KvReply) -> None:
        """Handle the reply to a write."""
        if reply.request_id != self._request_id:
            return
        match reply:
            case KvSwapped(_, _, revision):
                self._revision_by_slot[self._slot] = revision
                self._slot_streams += self._written
                self._request_id, self._written = "", []
            case KvConflict(_, _, _, revision):
                # An earlier start of this instance has written the key.
                self._revision_by_slot[self._slot] = revision
                self._fail()
            case _:
                self._fail()

    def _begin_slot(self, now: float) -> None:
        if self._slot_streams:
            self._slot = (self._slot + 1) % SLOTS
        self._slot_since, self._slot_streams = now, []

    def _fail(self) -> None:
        self._pending.extendleft(reversed(self._written))
        self._request_id, self._written = "", []


def _encode(streams: Iterable[RecordedStream]) -> bytes:
    keys: dict[str, dict[str, list[int]]] = {}
    for stream in streams:
        keys_by_version = keys.setdefault(stream.service, {})
        keys_by_version.setdefault(stream.software_version, []).append(stream.key)
    return msgspec.msgpack.encode(keys)
