"""Private state of the `Ownership` decision: partitions and candidates."""

from __future__ import annotations

from enum import Enum, auto
from typing import Final

import attrs

from ..core.status import Status
from .messages import Member
from .ownership_records import NO_RECORD, OwnerRecord
from .rendezvous import score

# Claims of the instances after the winner in rendezvous order.
CLAIM_DELAY_PER_RANK_S: Final = 1.0
MAX_RANK: Final = 5


class RequestStep(Enum):
    """What a partition's outstanding request is for."""

    CHECK_SESSION = auto()
    CLAIM = auto()
    RELEASE = auto()
    READ_BACK = auto()


@attrs.frozen
class PartitionRequest:
    """The outstanding request of one partition."""

    request_id: str
    step: RequestStep
    sent_at: float
    # Revision of the record that the request was based on.
    revision: int
    # The session under which a claim was sent.
    lease_id: int | None = None
    # The record that is being written, or whose write is read back.
    written: OwnerRecord = NO_RECORD


@attrs.define
class Partition:
    """What is known about one partition."""

    name: str
    record: OwnerRecord = NO_RECORD
    revision: int = 0
    # Highest epoch seen; outlives a deleted record.
    epoch: int = 0
    # This instance owns it, as long as the session with this lease is valid.
    owned_by_lease: int | None = None
    pending_request: PartitionRequest | None = None
    # No request before this time; 0 if none failed.
    retry_at: float = 0.0
    # Since when nobody seems to own it.
    free_since: float | None = None
    # The last handover may be repeated from then on.
    next_handover_at: float = 0.0

    def is_recorded_owner(self, instance_id: str, incarnation: str) -> bool:
        """Return whether the record names this instance."""
        record = self.record
        return record.instance == instance_id and record.incarnation == incarnation


class OwnerCandidates:
    """The members that may own a partition, in rendezvous order."""

    def __init__(self, instance_id: str) -> None:
        self._id = instance_id
        self._member_by_id: dict[str, Member] = {}
        # Ranking 410 members for 49 partitions is too slow for every message.
        self._ranked_by_partition: dict[str, list[str]] = {}

    def __contains__(self, instance_id: str) -> bool:
        return instance_id in self._member_by_id

    def update(self, member_by_id: dict[str, Member]) -> None:
        """Take in the members."""
        self._member_by_id = member_by_id
        self._ranked_by_partition.clear()

    def has_session(self, instance_id: str, incarnation: str) -> bool:
        """Return whether an incarnation of an instance is a member."""
        member = self._member_by_id.get(instance_id)
        return member is not None and member.incarnation == incarnation

    def is_outranked(self, partition: str) -> bool:
        """Return whether another member wins the partition."""
        ranked = self._ranked_members(partition)
        return bool(ranked) and ranked[0] != self._id

    def claim_delay_s(self, partition: str) -> float:
        """Return how long this instance leaves a free partition to others."""
        ranked = self._ranked_members(partition)[:MAX_RANK]
        rank = ranked.index(self._id) if self._id in ranked else MAX_RANK
        return rank * CLAIM_DELAY_PER_RANK_S

    def _ranked_members(self, partition: str) -> list[str]:
        ranked = self._ranked_by_partition.get(partition)
        if ranked is None:
            ready = [one for one in self._member_by_id.values() if not one.draining]
            names = [one.instance_id for one in ready]
            ranked = sorted(names, key=lambda name: (-score(partition, name), name))
            self._ranked_by_partition[partition] = ranked
        return ranked


def partition_status(partitions: list[Partition]) -> Status:
    """Return recorded owners by partition, and the partitions owned here."""
    owned = [each.name for each in partitions if each.owned_by_lease is not None]
    owners = {
        each.name: {"instance": each.record.instance, "epoch": each.record.epoch}
        for each in partitions
        if not each.record.is_free
    }
    return {"owned": owned, "owners": owners}
