"""msgpack encoding of claim log entries."""

from __future__ import annotations

from typing import Final

import msgspec

from ..core.malformed import MALFORMED_ERRORS
from .claim_log import Entry, EntryCodec

ENTRY_VERSION: Final = 1


class MsgpackEntryCodec(EntryCodec):
    """Encodes an entry as ``[version, entry]``."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(tuple[int, Entry])

    def encode(self, entry: Entry) -> bytes:
        """Return the encoded entry."""
        return self._encoder.encode((ENTRY_VERSION, entry))

    def decode(self, data: bytes) -> Entry | None:
        """Return the entry in ``data``, or None if it cannot be decoded."""
        try:
            version, entry = self._decoder.decode(data)
        except MALFORMED_ERRORS:
            return None
        return entry if version == ENTRY_VERSION else None
