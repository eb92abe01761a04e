"""Names of partitions and their owner records."""

from __future__ import annotations

from typing import Final

import msgspec

from ..core.malformed import MALFORMED_ERRORS

PARTITIONS_PER_KIND: Final = 16
SHARDED_KINDS: Final = ("limits", "claims", "patient")


def partition_names_of(site_id: str) -> tuple[str, ...]:
    """Return the names of all partitions of a site."""
    sharded = (
        f"{kind}/{number}"
        for kind in SHARDED_KINDS
        for number in range(PARTITIONS_PER_KIND)
    )
    return (f"placement/{site_id}", *sharded)


class OwnerRecord(msgspec.Struct, frozen=True):
    """Value of an owner key; the instance is empty for a released partition."""

    instance: str
    incarnation: str
    # Increases with every change of the record.
    epoch: int
    # Unique for each write, to recognize it after a lost answer.
    token: str

    @property
    def is_free(self) -> bool:
        """Return whether the last owner released the partition."""
        return not self.instance


# Represents a record that does not exist or cannot be decoded.
NO_RECORD: Final = OwnerRecord("", "", 0, "")


def encode_record(record: OwnerRecord) -> bytes:
    """Return the value of an owner key."""
    return msgspec.json.encode(record)


def decode_record(value: bytes | None) -> OwnerRecord:
    """Return the record in a value; `NO_RECORD` if absent or malformed."""
    if value is None:
        return NO_RECORD
    try:
        return msgspec.json.decode(value, type=OwnerRecord)
    except MALFORMED_ERRORS:
        return NO_RECORD
