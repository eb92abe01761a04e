"""The value of the leader's key in the platform's store.

The record states the era of the store for which it was written. After the store has
returned from an older copy, a record in that copy is of an earlier era: it shows who
led when the copy was made, not who has led since.
"""

from __future__ import annotations

import attrs
import msgspec

from ..core.malformed import MALFORMED_ERRORS
from ..core.member import Member
from ..store.revision import era_of


@attrs.frozen
class LeaderRecord:
    """The instance that holds the key."""

    instance_id: str
    incarnation: str
    # Records of earlier builds state none.
    era: int = 0
    # On its machine's clock in seconds: when the orders of all holders before it are
    # old enough, and when the record was written.
    orders_from_s: float = 0.0
    written_at_s: float = 0.0

    def is_of(self, member: Member) -> bool:
        """Return whether this process of a member has written the record."""
        return (self.instance_id, self.incarnation) == (
            member.instance_id,
            member.incarnation,
        )

    def is_of_predecessor(self, member: Member) -> bool:
        """Return whether an earlier process on a member's machine has written it.

        A machine runs one process at a time, so that process has ended.
        """
        return self.instance_id == member.instance_id and not self.is_of(member)

    def is_current(self, revision: int) -> bool:
        """Return whether a record with a revision was written in that era."""
        return self.era == era_of(revision)


class _Record(msgspec.Struct):
    instance_id: str
    incarnation: str
    era: int = 0
    orders_from_s: float = 0.0
    written_at_s: float = 0.0


def encode_record(record: LeaderRecord) -> bytes:
    """Return the value of the leader's key."""
    encoded = _Record(
        record.instance_id,
        record.incarnation,
        record.era,
        record.orders_from_s,
        record.written_at_s,
    )
    return msgspec.json.encode(encoded)


def decode_record(value: bytes) -> LeaderRecord | None:
    """Return the record in a value, or None if it is malformed."""
    try:
        record = msgspec.json.decode(value, type=_Record)
    except MALFORMED_ERRORS:
        return None
    return LeaderRecord(
        record.instance_id,
        record.incarnation,
        record.era,
        record.orders_from_s,
        record.written_at_s,
    )
