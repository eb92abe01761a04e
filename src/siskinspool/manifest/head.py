"""Records of the configuration in the key-value service.

``config/head`` is the only record that is ever updated, by compare-and-swap. It is
small, because every instance reads it every few seconds. It holds the key of the latest
`ChangeRecord`; each change record holds the key of the previous one, back to a base:
the whole manifest, split into parts. Change records and parts are written before the
head, under keys with a unique token, and are immutable.
"""

from __future__ import annotations

from typing import Final

import attrs
import msgspec

from ..store.keys import CONFIG_BODY_PREFIX
from .changes import EntityChange, diff
from .document import manifest_digest, write_manifest
from .model import Manifest

MAX_PART_BYTES: Final = 512 * 1024
# Length of the chain of change records after which a new base is written.
MAX_CHAIN_LENGTH: Final = 64


@attrs.frozen(kw_only=True)
class Head:
    """The record that identifies the configuration in force."""

    revision: int
    # Unique for each attempt to publish; shows whose write took effect.
    token: str
    digest: str
    # Key of the latest change record; empty if this revision is a base.
    change_key: str
    base_revision: int
    # Keys of the parts of the base manifest.
    base_parts: tuple[str, ...]


@attrs.frozen(kw_only=True)
class ChangeRecord:
    """The changes from one revision to the next."""

    revision: int
    # Key of the previous record; empty if the base precedes this one.
    previous_key: str
    changes: tuple[EntityChange, ...]


@attrs.frozen
class KeyValueRecord:
    """A key of the key-value service and its value."""

    key: str
    value: bytes


@attrs.frozen
class Publication:
    """The writes of an operator's client: first the records, then the head."""

    records: tuple[KeyValueRecord, ...]
    head: Head


def encode_head(head: Head) -> bytes:
    """Return a head as JSON."""
    return msgspec.json.encode(head)


def decode_head(data: bytes) -> Head:
    """Return the head decoded from JSON; raise msgspec.DecodeError if malformed."""
    return msgspec.json.decode(data, type=Head)


def encode_change(record: ChangeRecord) -> bytes:
    """Return a change record as msgpack."""
    return msgspec.msgpack.encode(record)


def decode_change(data: bytes) -> ChangeRecord:
    """Return a change record from msgpack; raise msgspec.DecodeError if malformed."""
    return msgspec.msgpack.decode(data, type=ChangeRecord)


def format_digest(digest: int) -> str:
    """Return a digest as hex digits, as it is stored in the head."""
    return f"{digest:032x}"


def plan_publication(
    head: Head | None, old: Manifest | None, new: Manifest, token: str
) -> Publication:
    """Return the writes that bring a manifest into force.

    ``head`` and ``old`` are the head and manifest in force, or None if there are none.
    """
    revision = 1 if head is None else head.revision + 1
    digest = format_digest(manifest_digest(new))
    chain_length = MAX_CHAIN_LENGTH if head is None else revision - head.base_revision
    if head is None or old is None or chain_length >= MAX_CHAIN_LENGTH:
        return _plan_base(revision, new, token, digest)
    record = ChangeRecord(
        revision=revision, previous_key=head.change_key, changes=diff(old, new)
    )
    data = encode_change(record)
    if len(data) > MAX_PART_BYTES:
        return _plan_base(revision, new, token, digest)
    key = f"{CONFIG_BODY_PREFIX}{revision:012d}-{token}"
    new_head = attrs.evolve(
        head, revision=revision, token=token, digest=digest, change_key=key
    )
    return Publication((KeyValueRecord(key, data),), new_head)


def _plan_base(revision: int, new: Manifest, token: str, digest: str) -> Publication:
    data = write_manifest(new)
    records = tuple(
        KeyValueRecord(
            f"{CONFIG_BODY_PREFIX}{revision:012d}-{token}-{number}",
            data[start : start + MAX_PART_BYTES],
        )
        for number, start in enumerate(range(0, len(data), MAX_PART_BYTES))
    )
    head = Head(
        revision=revision,
        token=token,
        digest=digest,
        change_key="",
        base_revision=revision,
        base_parts=tuple(record.key for record in records),
    )
    return Publication(records, head)
