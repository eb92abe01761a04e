"""Ownership of partitions: at most one valid owner at any time.

The owner of a partition is stored in the record ``owner/<partition>``, which changes
only by compare-and-swap. Two rules prevent overlapping owners:

- An owner acts only while its session is valid by its own clock, counted from the send
  time of the last renewal. The service expires the session later than that.
- A record that names another instance is taken over only if a *read*, made after the
  record was seen, shows that the session of its owner (instance and incarnation) is
  gone. The watch alone is not enough: an answer may contain a new record before the
  watch delivers the new owner's session.

An instance whose session ended claims its partitions again, even if the records still
name it. A claim is ignored if its answer arrives under another session than the one it
was sent under, because the record may have been taken over in between.

The rendezvous-hash winner among the members claims a free partition at once, and each
following rank after a further delay, so that the partition does not stay free if the
winner does not respond. An owner that is not the winner hands over, one partition at a
time.

An instance without paths to the servers gives up the partitions whose owner sends them
orders, which are never relayed, and claims them only when it has paths again.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..core.decision import Decision
from ..core.member import MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..relay.relay_messages import ReachChanged
from ..store.keys import OWNER_PREFIX, owner_key, session_key
from ..store.kv import (
    KvAnswerLost,
    KvChanged,
    KvConflict,
    KvGet,
    KvReply,
    KvSwap,
    KvSwapped,
    KvValue,
)
from ..store.kv_events import SessionGone, SessionRenewed
from ..store.session_keeper import decode_session
from .messages import OwnersChanged, OwnershipGained, OwnershipLost, ReleaseOwnership
from .ownership_records import (
    NO_RECORD,
    OwnerRecord,
    decode_record,
    encode_record,
)
from .ownership_state import (
    OwnerCandidates,
    Partition,
    PartitionRequest,
    RequestStep,
    partition_status,
)
from .session_validity import SessionValidity

OWNERSHIP_TASK: Final = "ownership"
RETRY_INTERVAL_S: Final = 1.0
# The task ``kv`` answers each request, unless its inbox refused the message.
ANSWER_TIMEOUT_S: Final = 10.0
# The members must be unchanged for this long before a partition is handed over.
HANDOVER_SETTLE_S: Final = 3.0
HANDOVER_INTERVAL_S: Final = 0.5
# Limits how often a partition is handed over to a winner that does not claim it.
HANDOVER_RETRY_INTERVAL_S: Final = 60.0


class Ownership(Decision):
    """Claims, holds and hands over partitions."""

    def __init__(
        self,
        instance_id: str,
        incarnation: str,
        partition_names: tuple[str, ...],
        subscribers: tuple[str, ...],
        ordering_partitions: frozenset[str] = frozenset(),
    ) -> None:
        """Initialize with the partitions and the tasks to notify.

        The owners of ``ordering_partitions`` send orders to servers.
        """
        self._id = instance_id
        self._incarnation = incarnation
        self._subscribers = subscribers
        self._partition_by_name = {name: Partition(name) for name in partition_names}
        self._session = SessionValidity()
        self._candidates = OwnerCandidates(self._id)
        self._members_changed_at = 0.0
        self._next_handover_at = 0.0
        self._is_releasing = False
        self._ordering_partitions = ordering_partitions
        self._is_cut_off = False
        self._request_count = 0
        self._published_owners: dict[str, str] = {}
        self._wake_at: float | None = None

    def owns(self, partition: str, now: float) -> bool:
        """Return whether this instance may act as the partition's owner now."""
        lease_id = self._session.valid_lease_id(now)
        owned_by_lease = self._partition_by_name[partition].owned_by_lease
        return lease_id is not None and owned_by_lease == lease_id

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle changes of the session, the members and the records, and answers."""
        batch = self._revoke_invalid(now)
        match incoming.message:
            case SessionRenewed() as renewed:
                self._session.record_renewal(renewed)
                batch += self._revoke_invalid(now)
            case SessionGone():
                self._session.record_end()
                batch += self._revoke_invalid(now)
            case MembershipChanged(member_by_id):
                self._candidates.update(member_by_id)
                self._members_changed_at = now
            case ReleaseOwnership():
                self._is_releasing = True
            case ReachChanged(is_cut_off):
                self._is_cut_off = is_cut_off
            case KvChanged(key, value, revision) if key.startswith(OWNER_PREFIX):
                partition = self._partition_by_name.get(key[len(OWNER_PREFIX) :])
                if partition is not None:
                    batch += self._handle_record_change(partition, value, revision)
            case KvReply() as reply:
                batch += self._handle_reply(reply, now)
            case _:
                return batch
        return batch + self._send_due_requests(now)

    def on_time(self, now: float) -> list[Outgoing]:
        """Give up ownership that is no longer valid, and send requests that are due."""
        return self._revoke_invalid(now) + self._send_due_requests(now)

    def status(self, now: float) -> Status:
        """Return the recorded owners and the partitions that this instance owns."""
        return partition_status(list(self._partition_by_name.values()))

    def wake_at(self) -> float | None:
        """Return the end of the session's validity or the time of the next request."""
        return self._wake_at

    # Records

    def _handle_record_change(
        self, partition: Partition, value: bytes | None, revision: int
    ) -> list[Outgoing]:
        if value is None and revision >= partition.revision:
            return self._set_record(partition, NO_RECORD, 0)
        if revision > partition.revision:
            return self._set_record(partition, decode_record(value), revision)
        return []

    def _set_record(
        self, partition: Partition, record: OwnerRecord, revision: int
    ) -> list[Outgoing]:
        if (record.instance, record.incarnation) != (
            partition.record.instance,
            partition.record.incarnation,
        ):
            partition.free_since = None
        partition.record = record
        partition.revision = revision
        partition.epoch = max(partition.epoch, record.epoch)
        # Any change of the record ends the ownership of this instance. A claim of its
        # own sets it again afterwards.
        return self._revoke(partition)

    def _revoke_invalid(self, now: float) -> list[Outgoing]:
        lease_id = self._session.valid_lease_id(now)
        batch = []
        for partition in self._partition_by_name.values():
            if (
                partition.owned_by_lease is not None
                and partition.owned_by_lease != lease_id
            ):
                batch += self._revoke(partition)
        return batch

    def _revoke(self, partition: Partition) -> list[Outgoing]:
        if partition.owned_by_lease is None:
            return []
        partition.owned_by_lease = None
        return self._notify(OwnershipLost(partition.name))

    # Answers

    def _handle_reply(self, reply: KvReply, now: float) -> list[Outgoing]:
        name = reply.request_id.rpartition("#")[0]
        partition = self._partition_by_name.get(name)
        if partition is None or partition.pending_request is None:
            return []
        request = partition.pending_request
        if request.request_id != reply.request_id:
            return []
        partition.pending_request = None
        match reply:
            case KvSwapped(revision=revision):
                return self._on_written(partition, request, revision, now)
            case KvConflict(value=value, revision=revision):
                return self._update_record(partition, value, revision)
            case KvValue() if request.step is RequestStep.CHECK_SESSION:
                return self._on_session_read(partition, request, reply, now)
            case KvValue(value=value, revision=revision):
                if value == encode_record(request.written):
                    return self._on_written(partition, request, revision, now)
                return self._update_record(partition, value, revision)
            case KvAnswerLost() if request.step in (
                RequestStep.CLAIM,
                RequestStep.RELEASE,
            ):
                return [self._read_back(partition, request, now)]
            case _:
                if request.step is RequestStep.READ_BACK:
                    # Whether the write took effect is still unknown.
                    partition.pending_request = request
                partition.retry_at = now + RETRY_INTERVAL_S
                return []

    def _update_record(
        self, partition: Partition, value: bytes | None, revision: int
    ) -> list[Outgoing]:
        if revision == 0:
            return self._set_record(partition, NO_RECORD, 0)
        return self._handle_record_change(partition, value, revision)

    def _on_written(
        self, partition: Partition, request: PartitionRequest, revision: int, now: float
    ) -> list[Outgoing]:
        if revision < partition.revision:
            # The watch has already delivered a later record.
            return []
        batch = self._set_record(partition, request.written, revision)
        lease_id = self._session.valid_lease_id(now)
        is_own_claim = request.written.instance == self._id
        if not is_own_claim or lease_id is None or lease_id != request.lease_id:
            return batch
        partition.owned_by_lease = lease_id
        return batch + self._notify(
            OwnershipGained(partition.name, request.written.epoch)
        )

    def _on_session_read(
        self,
        partition: Partition,
        request: PartitionRequest,
        reply: KvValue,
        now: float,
    ) -> list[Outgoing]:
        if partition.revision != request.revision:
            # The answer says nothing about the owner that was recorded since.
            return []
        owner = partition.record
        if reply.value is not None:
            holder = decode_session(owner.instance, reply.value)
            if holder is None or holder.incarnation == owner.incarnation:
                partition.retry_at = now + RETRY_INTERVAL_S
                return []
        return self._claim(partition, now)

    # Requests

    def _send_due_requests(self, now: float) -> list[Outgoing]:
        batch: list[Outgoing] = []
        lease_id = self._session.valid_lease_id(now)
        times = []
        if lease_id is not None:
            times.append(self._session.valid_until())
        settled_at = self._members_changed_at + HANDOVER_SETTLE_S
        for partition in self._partition_by_name.values():
            if partition.pending_request is not None:
                batch += self._follow_up(partition, partition.pending_request, now)
            elif self._gives_up(partition):
                batch += self._release(partition, now)
            elif partition.owned_by_lease is not None:
                batch += self._hand_over(partition, settled_at, now)
            elif lease_id is not None and self._id in self._candidates:
                batch += self._try_claim(partition, now)
            times.append(self._due_at(partition, settled_at, now))
        self._wake_at = min((at for at in times if at is not None), default=None)
        return batch + self._publish_owners()

    def _due_at(
        self, partition: Partition, settled_at: float, now: float
    ) -> float | None:
        request = partition.pending_request
        if request is not None:
            is_waiting = (
                request.step is RequestStep.READ_BACK and partition.retry_at > 0
            )
            return (
                partition.retry_at if is_waiting else request.sent_at + ANSWER_TIMEOUT_S
            )
        if self._session.valid_lease_id(now) is None or self._gives_up(partition):
            return partition.retry_at if partition.retry_at > now else None
        if partition.owned_by_lease is not None:
            if not self._candidates.is_outranked(partition.name):
                return None
            return max(settled_at, self._next_handover_at, partition.next_handover_at)
        if partition.free_since is None or self._id not in self._candidates:
            return None
        claim_at = partition.free_since + self._candidates.claim_delay_s(partition.name)
        return max(claim_at, partition.retry_at)

    def _follow_up(
        self, partition: Partition, request: PartitionRequest, now: float
    ) -> list[Outgoing]:
        due_at = self._due_at(partition, 0.0, now)
        if due_at is None or now < due_at:
            return []
        if request.step is RequestStep.CHECK_SESSION:
            partition.pending_request = None
            return []
        return [self._read_back(partition, request, now)]

    def _try_claim(self, partition: Partition, now: float) -> list[Outgoing]:
        record = partition.record
        is_own = partition.is_recorded_owner(self._id, self._incarnation)
        if not is_own and self._candidates.has_session(
            record.instance, record.incarnation
        ):
            partition.free_since = None
            return []
        if partition.free_since is None:
            partition.free_since = now
        if now < partition.retry_at:
            return []
        if is_own:
            return self._claim(partition, now)
        if now < partition.free_since + self._candidates.claim_delay_s(partition.name):
            return []
        if record.is_free:
            return self._claim(partition, now)
        request_id = self._next_request_id(partition)
        partition.pending_request = PartitionRequest(
            request_id, RequestStep.CHECK_SESSION, now, partition.revision
        )
        return [self._kv_message(KvGet(request_id, session_key(record.instance)))]

    def _claim(self, partition: Partition, now: float) -> list[Outgoing]:
        lease_id = self._session.valid_lease_id(now)
        if lease_id is None or self._gives_up(partition):
            return []
        return [
            self._write_record(
                partition, self._id, self._incarnation, RequestStep.CLAIM, lease_id, now
            )
        ]

    def _gives_up(self, partition: Partition) -> bool:
        """Return whether this instance must not own a partition now."""
        is_unable = self._is_cut_off and partition.name in self._ordering_partitions
        return self._is_releasing or is_unable

    def _release(self, partition: Partition, now: float) -> list[Outgoing]:
        is_own = partition.is_recorded_owner(self._id, self._incarnation)
        if not is_own or now < partition.retry_at:
            return []
        # Tasks that act for the partition are notified before the record changes.
        batch = self._revoke(partition)
        return [
            *batch,
            self._write_record(partition, "", "", RequestStep.RELEASE, None, now),
        ]

    def _hand_over(
        self, partition: Partition, settled_at: float, now: float
    ) -> list[Outgoing]:
        due_at = self._due_at(partition, settled_at, now)
        if due_at is None or now < due_at:
            return []
        self._next_handover_at = now + HANDOVER_INTERVAL_S
        partition.next_handover_at = now + HANDOVER_RETRY_INTERVAL_S
        return self._release(partition, now)

    def _write_record(
        self,
        partition: Partition,
        instance: str,
        incarnation: str,
        step: RequestStep,
        lease_id: int | None,
        now: float,
    ) -> Outgoing:
        request_id = self._next_request_id(partition)
        token = f"{self._id}:{self._incarnation}:{request_id}"
        record = OwnerRecord(instance, incarnation, partition.epoch + 1, token)
        partition.pending_request = PartitionRequest(
            request_id, step, now, partition.revision, lease_id, record
        )
        key = owner_key(partition.name)
        return self._kv_message(
            KvSwap(request_id, key, partition.revision, encode_record(record))
        )

    def _read_back(
        self, partition: Partition, request: PartitionRequest, now: float
    ) -> Outgoing:
        request_id = self._next_request_id(partition)
        partition.pending_request = attrs.evolve(
            request, request_id=request_id, step=RequestStep.READ_BACK, sent_at=now
        )
        partition.retry_at = 0.0
        return self._kv_message(KvGet(request_id, owner_key(partition.name)))

    def _next_request_id(self, partition: Partition) -> str:
        self._request_count += 1
        return f"{partition.name}#{self._request_count}"

    # Output

    def _publish_owners(self) -> list[Outgoing]:
        owners = {
            partition.name: partition.record.instance
            for partition in self._partition_by_name.values()
            if not partition.record.is_free
        }
        if owners == self._published_owners:
            return []
        self._published_owners = owners
        return self._notify(OwnersChanged(owners))

    def _notify(self, message: Message) -> list[Outgoing]:
        return [
            Outgoing(Address(self._id, name), message) for name in self._subscribers
        ]

    def _kv_message(self, message: Message) -> Outgoing:
        return Outgoing(Address(self._id, "kv"), message)
