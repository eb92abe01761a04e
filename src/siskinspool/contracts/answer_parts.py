"""Storage of large request and answer bodies, split into parts with one key each.

`PartUpload` writes the parts before the record that refers to them, and `PartFetch`
reads them back. Each key contains a unique token, so a part that already exists was
written by an earlier attempt of the same upload.
"""

from __future__ import annotations

from typing import Final

from ..store.kv import (
    KvConflict,
    KvGet,
    KvReply,
    KvRequest,
    KvSwap,
    KvSwapped,
    KvValue,
)
from .kv_client import IdGenerator, SequentialKvClient

# The key-value service accepts values of up to 1 MB.
PART_MAX_BYTES: Final = 512 * 1024


def split_parts(body: bytes) -> tuple[bytes, ...]:
    """Split a body into parts of at most `PART_MAX_BYTES`."""
    starts = range(0, len(body), PART_MAX_BYTES)
    return tuple(body[start : start + PART_MAX_BYTES] for start in starts)


class PartUpload(SequentialKvClient):
    """Writes the parts of a body, one after the other."""

    def __init__(
        self, prefix: str, body: bytes, ttl_s: float | None, ids: IdGenerator
    ) -> None:
        super().__init__(ids)
        self.parts = split_parts(body)
        self._prefix = prefix
        self._ttl_s = ttl_s
        self._written_count = 0

    @property
    def is_done(self) -> bool:
        """Whether all parts are written."""
        return self._written_count == len(self.parts)

    def next_request(self, now: float) -> KvRequest | None:
        """Return the request that writes the next part."""
        if self.is_done:
            return None
        key = f"{self._prefix}{self._written_count}"
        part = self.parts[self._written_count]
        return KvSwap(self.ids.next_id(), key, 0, part, ttl_s=self._ttl_s)

    def process_reply(
        self, request: KvRequest, reply: KvReply, sent_at: float, now: float
    ) -> None:
        """Advance to the next part if this one is stored; otherwise it is retried."""
        if isinstance(reply, KvSwapped) or (
            isinstance(reply, KvConflict) and reply.value is not None
        ):
            self._written_count += 1

    def due_at(self) -> float | None:
        """Return 0 while parts remain, otherwise None."""
        return None if self.is_done else 0.0


class PartFetch(SequentialKvClient):
    """Reads the parts of a body, one after the other."""

    def __init__(self, prefix: str, part_count: int, ids: IdGenerator) -> None:
        super().__init__(ids)
        self.is_missing = False
        self._prefix = prefix
        self._part_count = part_count
        self._read_parts: list[bytes] = []

    @property
    def is_done(self) -> bool:
        """Whether all parts are read."""
        return len(self._read_parts) == self._part_count

    @property
    def body(self) -> bytes:
        """The parts read so far, joined."""
        return b"".join(self._read_parts)

    def next_request(self, now: float) -> KvRequest | None:
        """Return the request that reads the next part."""
        if self.is_done or self.is_missing:
            return None
        return KvGet(self.ids.next_id(), f"{self._prefix}{len(self._read_parts)}")

    def process_reply(
        self, request: KvRequest, reply: KvReply, sent_at: float, now: float
    ) -> None:
        """Append the part that was read, or record that it is missing."""
        if not isinstance(reply, KvValue):
            return
        if reply.value is None:
            self.is_missing = True
        else:
            self._read_parts.append(reply.value)

    def due_at(self) -> float | None:
        """Return 0 while parts remain, otherwise None."""
        return None if self.is_done or self.is_missing else 0.0
