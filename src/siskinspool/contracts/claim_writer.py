"""Reading and writing of the claim log of one shard.

`ClaimLogWriter` holds pending claims and records and advances the log until each is
settled. An entry is created under the next sequence number on the condition that the
key does not exist, so a successful write proves that all earlier entries were read
(R10).

A write whose answer was lost is repeated unchanged under the same number until the
number is used: by the write itself, by its first copy, or by another writer. Reading
the key and finding it absent is not sufficient, since the lost write can still take
effect. The outcome is then derived from the log alone (`ClaimLog.evaluate`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from ..store.keys import CLAIMS_PREFIX
from ..store.kv import (
    KvAnswerLost,
    KvConflict,
    KvGet,
    KvList,
    KvListing,
    KvReply,
    KvRequest,
    KvSwap,
    KvSwapped,
    KvUnavailable,
    KvValue,
)
from .claim_log import (
    RETENTION_S,
    ClaimLog,
    ClaimRecord,
    ClaimStatus,
    Entry,
    EntryCodec,
    FinishRecord,
    ReleaseRecord,
)
from .claim_messages import ClaimOutcome, InstanceIncarnation
from .kv_client import IdGenerator, SequentialKvClient

BATCH_WINDOW_S: Final = 0.003
# Keeps an entry with inline answers below the service's value limit of 1 MB.
BATCH_MAX_BYTES: Final = 512 * 1024
BATCH_MAX_RECORDS: Final = 500
# After this time entries may have expired and numbering may have restarted.
LOG_RELIST_INTERVAL_S: Final = 3600.0
# Interval at which new entries are read while a request waits for another token.
LOG_POLL_INTERVAL_S: Final = 1.0
# A new instance may hold a claim before its session is visible to this instance.
MEMBERSHIP_DELAY_S: Final = 2.0

EndRecord = ReleaseRecord | FinishRecord


@attrs.define
class PendingClaim:
    """A claim that is not settled yet."""

    claim: ClaimRecord
    added_at: float


@attrs.frozen
class _Batch:
    """An entry with the sequence number for which it was built."""

    seq: int
    entry: Entry
    value: bytes


class ClaimLogWriter(SequentialKvClient):
    """Settles claims and records of one shard through its log."""

    def __init__(self, shard: int, codec: EntryCodec, ids: IdGenerator) -> None:
        super().__init__(ids)
        self.shard = shard
        self.log: ClaimLog | None = None
        self.pending_claim_by_token: dict[str, PendingClaim] = {}
        self.pending_record_by_token: dict[str, EndRecord] = {}
        # When this instance last learned of a membership change.
        self.members_changed_at = 0.0
        self._codec = codec
        self._prefix = f"{CLAIMS_PREFIX}{shard}/"
        # Send time of the latest request that reached the end of the log.
        self._synced_at = 0.0
        self._flush_at = 0.0
        self._batch: _Batch | None = None
        # An earlier write of the batch got no answer and may have taken effect.
        self._is_batch_in_doubt = False
        self._is_unreadable = False

    def add_claim(self, claim: ClaimRecord, now: float) -> None:
        """Add a claim that must be settled."""
        if claim.token not in self.pending_claim_by_token:
            self.pending_claim_by_token[claim.token] = PendingClaim(claim, now)
            self._schedule_flush(now)

    def drop_claim(self, token: str) -> bool:
        """Drop a claim; return whether it is in the log or may still be written."""
        self.pending_claim_by_token.pop(token, None)
        in_batch = self._batch is not None and any(
            claimed.token == token for claimed in self._batch.entry.claimed
        )
        return in_batch or (self.log is not None and self.log.has_claim(token))

    def add_record(self, record: EndRecord, now: float) -> None:
        """Add a release or an answer that must be written."""
        if record.token not in self.pending_record_by_token:
            self.pending_record_by_token[record.token] = record
            self._schedule_flush(now)

    def drop_record(self, token: str) -> None:
        """Drop a pending record."""
        self.pending_record_by_token.pop(token, None)

    def is_recorded(self, token: str) -> bool:
        """Return whether the log contains a release or an answer of a token."""
        return self.log is not None and self.log.has_ended(token)

    def settle(
        self, pending: PendingClaim, is_gone: Callable[[InstanceIncarnation], bool]
    ) -> ClaimStatus | None:
        """Return the status of a claim, or None while it is undecided.

        RUNNING means that another token holds the key and its end must be awaited.
        """
        if self.log is None:
            return None
        status = self.log.evaluate(pending.claim)
        match status.outcome:
            case ClaimOutcome.FREE:
                return None
            case ClaimOutcome.MISMATCH:
                # The holder may have been released in an entry that was not read yet.
                return status if self._synced_at >= pending.added_at else None
            case ClaimOutcome.RUNNING if status.holder is not None:
                # The holder may have finished in an entry written before it ended.
                if is_gone(status.holder) and self._is_fresh(pending):
                    return ClaimStatus(ClaimOutcome.UNKNOWN)
        return status

    def next_request(self, now: float) -> KvRequest | None:
        """Return the next request to the key-value service."""
        if self._is_unreadable or not self._has_work():
            return None
        if self.log is None or now > self._synced_at + LOG_RELIST_INTERVAL_S:
            return KvList(self.ids.next_id(), self._prefix)
        if self._batch is None and now >= self._flush_at:
            self._batch = self._build_batch(self.log)
            self._is_batch_in_doubt = False
        if self._batch is not None:
            return self._build_swap(self._batch)
        if now >= self._read_due_at(self.log):
            key = self._entry_key(self.log.next_seq)
            return KvGet(self.ids.next_id(), key)
        return None

    def process_reply(
        self, request: KvRequest, reply: KvReply, sent_at: float, now: float
    ) -> None:
        """Process the reply to a read or a write."""
        match reply:
            case KvListing():
                self._apply_listing(reply, now)
                self._synced_at = sent_at
            case KvValue(value=None) if self.log is not None:
                self._synced_at = sent_at
                self.log.expire(now)
            case KvValue() if self.log is not None and reply.value is not None:
                self._apply(self.log.next_seq, reply.value, now)
            case KvSwapped() | KvConflict() | KvAnswerLost() | KvUnavailable():
                if isinstance(request, KvSwap):
                    self._on_write_reply(reply, sent_at, now)

    def due_at(self) -> float | None:
        """Return when the next read or write is due."""
        if self._is_unreadable or not self._has_work():
            return None
        if self.log is None or self._batch is not None:
            return 0.0
        due_at = self._read_due_at(self.log)
        if self._build_batch(self.log) is not None:
            due_at = min(due_at, self._flush_at)
        return min(due_at, self._synced_at + LOG_RELIST_INTERVAL_S)

    def _has_work(self) -> bool:
        return bool(
            self.pending_claim_by_token or self.pending_record_by_token or self._batch
        )

    def _schedule_flush(self, now: float) -> None:
        if self._flush_at <= now:
            self._flush_at = now + BATCH_WINDOW_S

    def _entry_key(self, seq: int) -> str:
        # The fixed width makes the key order equal to the numeric order.
        return f"{self._prefix}{seq:012d}"

    def _build_swap(self, batch: _Batch) -> KvSwap:
        return KvSwap(
            self.ids.next_id(),
            self._entry_key(batch.seq),
            0,
            batch.value,
            ttl_s=RETENTION_S,
        )

    def _is_fresh(self, pending: PendingClaim) -> bool:
        needed = max(pending.added_at, self.members_changed_at) + MEMBERSHIP_DELAY_S
        return self._synced_at >= needed

    def _read_due_at(self, log: ClaimLog) -> float:
        """Return when to read new entries for requests that wait for another token."""
        due_at = float("inf")
        for pending in self.pending_claim_by_token.values():
            if log.evaluate(pending.claim).outcome in (
                ClaimOutcome.RUNNING,
                ClaimOutcome.MISMATCH,
            ):
                if self._synced_at < pending.added_at:
                    return 0.0
                due_at = self._synced_at + LOG_POLL_INTERVAL_S
        return due_at

    def _build_batch(self, log: ClaimLog) -> _Batch | None:
        claimed: dict[tuple[str, str], ClaimRecord] = {}
        for pending in self.pending_claim_by_token.values():
            if log.evaluate(pending.claim).outcome is ClaimOutcome.FREE:
                key = (pending.claim.scope, pending.claim.key_digest)
                claimed.setdefault(key, pending.claim)
        records = [
            record
            for record in self.pending_record_by_token.values()
            if not log.has_ended(record.token)
        ]
        entry = _build_entry(list(claimed.values()), records)
        if entry == Entry():
            return None
        return _Batch(log.next_seq, entry, self._codec.encode(entry))

    def _on_write_reply(self, reply: KvReply, sent_at: float, now: float) -> None:
        batch = self._batch
        if batch is None or self.log is None:
            return
        match reply:
            case KvSwapped():
                self.log.apply(batch.seq, batch.entry, now)
                self._synced_at = sent_at
                self._batch = None
            case KvConflict(value=value) if value is not None:
                self._apply(batch.seq, value, now)
                self._batch = None
            case KvUnavailable() if not self._is_batch_in_doubt:
                # Definitely not written: a new batch is built.
                self._batch = None
            case _:
                self._is_batch_in_doubt = True

    def _apply_listing(self, listing: KvListing, now: float) -> None:
        self.log = ClaimLog()
        for item in listing.items:
            seq = int(item.key.removeprefix(self._prefix))
            self._apply(seq, item.value, now)
        # A lost write can only take effect while its number is the next one.
        if self._batch is not None and self._batch.seq != self.log.next_seq:
            self._batch = None

    def _apply(self, seq: int, value: bytes, now: float) -> None:
        entry = self._codec.decode(value)
        if entry is None or self.log is None:
            # Without this entry no later claim can be evaluated.
            self._is_unreadable = True
            return
        self.log.apply(seq, entry, now)


def _build_entry(claimed: list[ClaimRecord], records: list[EndRecord]) -> Entry:
    """Build an entry with as many records as the limits allow."""
    released: list[ReleaseRecord] = []
    finished: list[FinishRecord] = []
    size = 0
    for record in records[:BATCH_MAX_RECORDS]:
        if isinstance(record, ReleaseRecord):
            released.append(record)
            continue
        size += len(record.answer.body)
        if size > BATCH_MAX_BYTES and finished:
            break
        finished.append(record)
    return Entry(tuple(claimed[:BATCH_MAX_RECORDS]), tuple(released), tuple(finished))
