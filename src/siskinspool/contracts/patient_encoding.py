"""msgpack encoding of the head records of patient requests."""

from __future__ import annotations

from typing import Final

import msgspec

from ..core.malformed import MALFORMED_ERRORS
from .patient_record import Head, HeadCodec

HEAD_VERSION: Final = 1


class MsgpackHeadCodec(HeadCodec):
    """Encodes a head as ``[version, head]``."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(tuple[int, Head])

    def encode(self, head: Head) -> bytes:
        """Return the encoded head."""
        return self._encoder.encode((HEAD_VERSION, head))

    def decode(self, data: bytes) -> Head | None:
        """Return the head in ``data``, or None if it cannot be decoded."""
        try:
            version, head = self._decoder.decode(data)
        except MALFORMED_ERRORS:
            return None
        return head if version == HEAD_VERSION else None
