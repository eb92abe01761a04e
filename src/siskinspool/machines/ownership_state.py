"""State of the `Ownership` decision: partitions and candidate owners."""

from __future__ import annotations

from enum import Enum, auto
from typing import Final

import attrs

from ..core.member import Member
from ..core.status import Status
from .ownership_records import NO_RECORD, OwnerRecord
from .rendezvous import score

# Delay of a claim per rank after the winner in rendezvous order.
CLAIM_DELAY_PER_RANK_S: Final = 1.0
MAX_RANK: Final = 5


class RequestStep(Enum):
    """Purpose of the pending request of a partition."""

    CHECK_SESSION = auto()
    CLAIM = auto()
    RELEASE = auto()
    READ_BACK = auto()


@attrs.frozen
class PartitionRequest:
    """The pending request of one partition."""

    request_id: str
    step: RequestStep
    sent_at: float
    # Revision of the record that the request was based on.
    revision: int
    # The session under which a claim was sent.
    lease_id: int | None = None
    # The record that is being written, or whose write is being verified by a read.
    written: OwnerRecord = NO_RECORD


@attrs.define
class Partition:
    """The known state of one partition."""

    name: str
    record: OwnerRecord = NO_RECORD
    revision: int = 0
    # Highest epoch seen; outlives a deleted record.
    epoch: int = 0
    # This instance owns the partition while the session with this lease is valid.
    owned_by_lease: int | None = None
    pending_request: PartitionRequest | None = None
    # Earliest time of the next request; 0 if none failed.
    retry_at: float = 0.0
    # Since when the partition seems to have no owner.
    free_since: float | None = None
    # Earliest time of the next handover.
    next_handover_at: float = 0.0

    def is_recorded_owner(self, instance_id: str, incarnation: str) -> bool:
        """Return whether the record names this incarnation of an instance."""
        record = self.record
        return record.instance == instance_id and record.incarnation == incarnation


class OwnerCandidates:
    """The members that may own a partition, in rendezvous order."""

    def __init__(self, instance_id: str) -> None:
        self._id = instance_id
        self._member_by_id: dict[str, Member] = {}
        # Cached, because ranking 410 members for 49 partitions at every message is too
        # slow.
        self._ranked_by_partition: dict[str, list[str]] = {}

    def __contains__(self, instance_id: str) -> bool:
        return instance_id in self._member_by_id

    def update(self, member_by_id: dict[str, Member]) -> None:
        """Replace the members."""
        self._member_by_id = member_by_id
        self._ranked_by_partition.clear()

    def has_session(self, instance_id: str, incarnation: str) -> bool:
        """Return whether this incarnation of an instance is a member."""
        member = self._member_by_id.get(instance_id)
        return member is not None and member.incarnation == incarnation

    def is_outranked(self, partition: str) -> bool:
        """Return whether another member ranks first for the partition."""
        ranked = self._ranked_members(partition)
        return bool(ranked) and ranked[0] != self._id

    def claim_delay_s(self, partition: str) -> float:
        """Return how long this instance waits before it claims a free partition."""
        ranked = self._ranked_members(partition)[:MAX_RANK]
        rank = ranked.index(self._id) if self._id in ranked else MAX_RANK
        return rank * CLAIM_DELAY_PER_RANK_S

    def _ranked_members(self, partition: str) -> list[str]:
        ranked = self._ranked_by_partition.get(partition)
        if ranked is None:
            ready_members = [m for m in self._member_by_id.values() if not m.draining]
            names = [member.instance_id for member in ready_members]
            ranked = sorted(names, key=lambda name: (-score(partition, name), name))
            self._ranked_by_partition[partition] = ranked
        return ranked


def partition_status(partitions: list[Partition]) -> Status:
    """Return the recorded owners by partition, and the partitions owned here."""
    owned = [item.name for item in partitions if item.owned_by_lease is not None]
    owners = {
        item.name: {"instance": item.record.instance, "epoch": item.record.epoch}
        for item in partitions
        if not item.record.is_free
    }
    return {"owned": owned, "owners": owners}
