"""Compresses large messages between instances.

An instance may have to inform many others at once over a slow link. Registry entries
and configurations are repetitive, so that compression makes them several times smaller.
A compressed message is `MARKER` and the deflated bytes of the envelope; an instance
that does not know the marker takes it for a malformed message.
"""

from __future__ import annotations

import zlib
from typing import Final

from ..core.message import Address, Outgoing
from .codec import Codec, Decoded, Malformed

# No msgpack value begins with this byte.
MARKER: Final = b"\xc1"
# Smaller messages fit into one packet anyway.
MIN_BYTES: Final = 1_024
# Of a message after it has been inflated.
MAX_BYTES: Final = 4 * 1024 * 1024
# The fastest level: the processor is as scarce as the link.
_LEVEL: Final = 1


class CompressingCodec(Codec):
    """Encodes with another codec and compresses large results."""

    def __init__(self, codec: Codec) -> None:
        """Wrap the codec of the envelopes."""
        self._codec = codec

    def encode(self, sender: Address, outgoing: Outgoing) -> bytes:
        """Encode a message; raise TypeError for a local-only class."""
        data = self._codec.encode(sender, outgoing)
        if len(data) < MIN_BYTES:
            return data
        compressed = MARKER + zlib.compress(data, _LEVEL)
        return compressed if len(compressed) < len(data) else data

    def decode(self, data: bytes) -> Decoded | Malformed:
        """Decode a message, or return why it is malformed."""
        if not data.startswith(MARKER):
            return self._codec.decode(data)
        inflater = zlib.decompressobj()
        try:
            inflated = inflater.decompress(data[len(MARKER) :], MAX_BYTES)
        except zlib.error as error:
            return Malformed(f"compression: {error}")
        if not inflater.eof:
            return Malformed("the compressed message is cut or too large")
        return self._codec.decode(inflated)
