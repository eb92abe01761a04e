"""Encoding of server records for the key-value service.

`JsonRecordEncoding` writes one JSON object per record, so that operators can read it.
The decision gets the encoding as an argument and never handles bytes itself.
"""

from __future__ import annotations

from abc import ABC, abstractmethod

import msgspec

from ..core.malformed import MALFORMED_ERRORS
from .reservations import ServerRecord


class RecordEncoding(ABC):
    """Converts server records to and from values of the key-value service."""

    @abstractmethod
    def encode(self, record: ServerRecord) -> bytes:
        """Return the stored form of a record."""

    @abstractmethod
    def decode(self, value: bytes) -> ServerRecord | None:
        """Return the record, or None if the value is not a valid record."""


class JsonRecordEncoding(RecordEncoding):
    """Encodes records as JSON with msgspec."""

    def __init__(self) -> None:
        self._encoder = msgspec.json.Encoder()
        self._decoder = msgspec.json.Decoder(ServerRecord)

    def encode(self, record: ServerRecord) -> bytes:
        """Return the record as JSON."""
        return self._encoder.encode(record)

    def decode(self, value: bytes) -> ServerRecord | None:
        """Return the record, or None if the value does not decode."""
        try:
            return self._decoder.decode(value)
        except MALFORMED_ERRORS:
            return None
