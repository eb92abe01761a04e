"""Decision `Claims`: grants the right to send a non-idempotent call (R9, R10).

A request handler requests a claim with a unique token. The claim is forwarded to the
``claims`` task of the shard's owner, or written to the log by this instance if it owns
the shard or cannot reach the owner. Both may happen for one token: the log accepts a
token only once, and only this instance answers its handler, once.

A call is granted only by this instance and only while its handler waits. Once the
deadline has passed, the answer `ClaimUnavailable` is therefore correct immediately; a
token that may be in the log is released there afterwards. A release also invalidates a
claim of the same token that is recorded later.
"""

from __future__ import annotations

from typing import Final

import xxhash

from ..core.decision import Decision
from ..core.member import Member, MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..machines.messages import OwnersChanged, OwnershipGained, OwnershipLost
from ..store.keys import ANSWERS_PREFIX
from ..store.kv import KvReply
from .answer_parts import PartFetch, PartUpload
from .claim_log import RETENTION_S, ClaimRecord, EntryCodec, FinishRecord, ReleaseRecord
from .claim_messages import (
    ClaimCall,
    ClaimGranted,
    ClaimMismatch,
    ClaimOutcome,
    ClaimPending,
    ClaimRecorded,
    ClaimReplayed,
    ClaimSettled,
    ClaimUnavailable,
    ClaimUnknown,
    FinishClaim,
    ForwardClaim,
    ForwardRecord,
    InstanceIncarnation,
    RecordSettled,
    ReleaseClaim,
    StoredAnswer,
)
from .claim_writer import ClaimLogWriter, EndRecord
from .kv_client import IdGenerator, SequentialKvClient
from .local_claims import RECORD_RETRY_S, Forwarding, LocalClaim, LocalRecord
from .remote_claims import RemoteClaimHandler

TASK: Final = "claims"
SHARDS: Final = 16
# Larger answers are stored outside the log.
INLINE_MAX_BYTES: Final = 32 * 1024
# The parts of an answer must outlive the entry that refers to them.
ANSWER_TTL_S: Final = RETENTION_S + 600.0
# An owner that did not answer is bypassed for this time.
SILENT_OWNER_COOLDOWN_S: Final = 2.0


def shard_of(scope: str, key_digest: str, shards: int = SHARDS) -> int:
    """Return the shard that a key belongs to."""
    return xxhash.xxh64_intdigest(f"{scope}\0{key_digest}".encode()) % shards


class Claims(Decision):
    """Settles the claims of one instance and those forwarded to it."""

    def __init__(
        self, claimant: InstanceIncarnation, codec: EntryCodec, shards: int = SHARDS
    ) -> None:
        self._own_incarnation = claimant
        self._shards = shards
        name = f"{TASK}-{claimant.instance_id}-{claimant.incarnation}"
        self._ids = IdGenerator(name)
        self._writer_by_shard = {
            shard: ClaimLogWriter(shard, codec, self._ids) for shard in range(shards)
        }
        self._kv = Address(claimant.instance_id, "kv")
        self._member_by_id: dict[str, Member] | None = None
        self._owner_by_partition: dict[str, str] = {}
        self._avoid_until_by_owner: dict[str, float] = {}
        self._claim_by_token: dict[str, LocalClaim] = {}
        self._record_by_token: dict[str, LocalRecord] = {}
        self._remote_claims = RemoteClaimHandler(self._writer_by_shard)
        # Shards of granted tokens that were neither released nor finished.
        self._shard_by_granted_token: dict[str, int] = {}
        self._outgoing: list[Outgoing] = []

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a request, a reply of the key-value service or a message of a peer."""
        # A grant that arrives after the deadline must not take effect.
        self._expire(now)
        self._dispatch(incoming.sender, incoming.message, now)
        return self._advance(now)

    def on_time(self, now: float) -> list[Outgoing]:
        """Repeat, expire or write whatever is due."""
        self._expire(now)
        return self._advance(now)

    def wake_at(self) -> float | None:
        """Return the earliest time at which a deadline, repetition or write is due."""
        times = [client.wake_at() for client in self._kv_clients()]
        due = [time for time in times if time is not None]
        for local_claim in self._claim_by_token.values():
            due += [local_claim.deadline, local_claim.forwarding.wake_at()]
        for local_record in self._record_by_token.values():
            # A record is forwarded only after the parts of its answer are written.
            is_uploading = local_record.upload is not None
            due += (
                [local_record.expires_at]
                if is_uploading
                else [local_record.forwarding.wake_at()]
            )
        due.append(self._remote_claims.wake_at())
        earliest = min(due)
        return None if earliest == float("inf") else earliest

    def _dispatch(self, sender: Address, message: Message, now: float) -> None:
        match message:
            case ClaimCall():
                self._on_claim_call(sender, message, now)
            case ReleaseClaim():
                self._on_release(message.token, now)
            case FinishClaim():
                self._on_finish(sender, message, now)
            case KvReply():
                for client in self._kv_clients():
                    client.on_reply(message, now)
            case ForwardClaim():
                self._outgoing += self._remote_claims.handle_claim(sender, message, now)
            case ForwardRecord():
                self._outgoing += self._remote_claims.handle_record(
                    sender, message, now
                )
            case ClaimPending():
                self._on_pending(message, now)
            case ClaimSettled():
                self._on_settled(message, now)
            case RecordSettled():
                self._end_record(message.token)
            case MembershipChanged():
                self._member_by_id = dict(message.member_by_id)
                for writer in self._writer_by_shard.values():
                    writer.members_changed_at = now
            case OwnersChanged():
                self._owner_by_partition = dict(message.owner_by_partition)
            case OwnershipGained():
                self._owner_by_partition[message.partition] = (
                    self._own_incarnation.instance_id
                )
            case OwnershipLost():
                self._owner_by_partition.pop(message.partition, None)

    def _on_claim_call(self, sender: Address, call: ClaimCall, now: float) -> None:
        if (
            call.token in self._claim_by_token
            or call.token in self._shard_by_granted_token
        ):
            return
        claim = ClaimRecord(
            call.scope,
            call.key_digest,
            call.body_digest,
            call.token,
            self._own_incarnation,
        )
        # A token whose release is still being written must not be granted again.
        if call.deadline_in_s <= 0 or call.token in self._record_by_token:
            self._send(sender, ClaimUnavailable())
            return
        shard = shard_of(call.scope, call.key_digest, self._shards)
        deadline = now + call.deadline_in_s
        local_claim = LocalClaim(
            claim, shard, sender, deadline, self._choose_forwarding(shard, now)
        )
        self._claim_by_token[call.token] = local_claim

    def _on_release(self, token: str, now: float) -> None:
        local_claim = self._claim_by_token.get(token)
        if local_claim is not None:
            self._end_claim(local_claim, None, now)
        shard = self._shard_by_granted_token.pop(token, None)
        if shard is not None:
            self._start_record(shard, ReleaseRecord(token), None, now)

    def _on_finish(self, sender: Address, finish: FinishClaim, now: float) -> None:
        shard = self._shard_by_granted_token.pop(finish.token, None)
        if shard is None:
            return
        if len(finish.body) <= INLINE_MAX_BYTES:
            answer = StoredAnswer(finish.status, finish.content_type, finish.body)
            self._start_record(shard, FinishRecord(finish.token, answer), sender, now)
            return
        prefix = f"{ANSWERS_PREFIX}{finish.token}/"
        upload = PartUpload(prefix, finish.body, ANSWER_TTL_S, self._ids)
        part_count = len(upload.parts)
        answer = StoredAnswer(
            finish.status, finish.content_type, b"", part_count, prefix
        )
        record = FinishRecord(finish.token, answer)
        self._start_record(shard, record, sender, now, upload)

    def _start_record(
        self,
        shard: int,
        record: EndRecord,
        reply_to: Address | None,
        now: float,
        upload: PartUpload | None = None,
    ) -> None:
        forwarding = self._choose_forwarding(shard, now)
        expires_at = now + RECORD_RETRY_S
        local_record = LocalRecord(
            shard, record, reply_to, expires_at, forwarding, upload
        )
        self._record_by_token[record.token] = local_record

    def _choose_forwarding(self, shard: int, now: float) -> Forwarding:
        owner = self._owner_by_partition.get(f"claims/{shard}")
        is_unreachable = (
            owner == self._own_incarnation.instance_id
            or (self._member_by_id is not None and owner not in self._member_by_id)
            or (owner is not None and self._avoid_until_by_owner.get(owner, now) > now)
        )
        return Forwarding(None if is_unreachable else owner, now)

    def _on_pending(self, message: ClaimPending, now: float) -> None:
        local_claim = self._claim_by_token.get(message.token)
        if local_claim is not None:
            local_claim.forwarding.record_acknowledgement(now)
            local_claim.is_other_running |= message.running
        local_record = self._record_by_token.get(message.token)
        if local_record is not None:
            local_record.forwarding.record_acknowledgement(now)

    def _on_settled(self, message: ClaimSettled, now: float) -> None:
        local_claim = self._claim_by_token.get(message.token)
        if local_claim is not None and message.claimant == self._own_incarnation:
            self._settle_claim(local_claim, message.verdict, message.answer, now)

    def _advance(self, now: float) -> list[Outgoing]:
        self._settle_claims(now)
        self._outgoing += self._remote_claims.settle(self._is_gone)
        self._settle_records(now)
        self._forward_due(now)
        for client in self._kv_clients():
            request = client.poll(now)
            if request is not None:
                self._send(self._kv, request)
        out, self._outgoing = self._outgoing, []
        return out

    def _settle_claims(self, now: float) -> None:
        for local_claim in list(self._claim_by_token.values()):
            writer = self._writer_by_shard[local_claim.shard]
            pending = writer.pending_claim_by_token.get(local_claim.claim.token)
            if local_claim.fetch is not None:
                self._settle_fetch(local_claim, local_claim.fetch, now)
            elif pending is not None:
                status = writer.settle(pending, self._is_gone)
                if status is not None:
                    self._settle_claim(local_claim, status.outcome, status.answer, now)

    def _settle_claim(
        self,
        local_claim: LocalClaim,
        outcome: ClaimOutcome,
        answer: StoredAnswer | None,
        now: float,
    ) -> None:
        match outcome:
            case ClaimOutcome.GRANTED:
                self._shard_by_granted_token[local_claim.claim.token] = (
                    local_claim.shard
                )
                self._end_claim(local_claim, ClaimGranted(local_claim.claim.token), now)
            case ClaimOutcome.REPLAYED if answer is not None:
                self._replay_answer(local_claim, answer, now)
            case ClaimOutcome.MISMATCH:
                self._end_claim(local_claim, ClaimMismatch(), now)
            case ClaimOutcome.UNKNOWN:
                self._end_claim(local_claim, ClaimUnknown(), now)
            case ClaimOutcome.RELEASED:
                self._end_claim(local_claim, ClaimUnavailable(), now)
            case ClaimOutcome.RUNNING:
                local_claim.is_other_running = True

    def _replay_answer(
        self, local_claim: LocalClaim, answer: StoredAnswer, now: float
    ) -> None:
        if answer.parts == 0:
            reply = ClaimReplayed(answer.status, answer.content_type, answer.body)
            self._end_claim(local_claim, reply, now)
        elif local_claim.fetch is None:
            # The key has a final answer, so the log need not be read any further.
            self._writer_by_shard[local_claim.shard].drop_claim(local_claim.claim.token)
            local_claim.forwarding = Forwarding(None)
            local_claim.answer = answer
            local_claim.fetch = PartFetch(answer.parts_prefix, answer.parts, self._ids)

    def _settle_fetch(
        self, local_claim: LocalClaim, fetch: PartFetch, now: float
    ) -> None:
        if fetch.is_missing:
            self._end_claim(local_claim, ClaimUnknown(), now)
        elif fetch.is_done and local_claim.answer is not None:
            stored = local_claim.answer
            reply = ClaimReplayed(stored.status, stored.content_type, fetch.body)
            self._end_claim(local_claim, reply, now)

    def _end_claim(
        self, local_claim: LocalClaim, reply: Message | None, now: float
    ) -> None:
        """Remove a claim and answer its handler; release the token unless granted."""
        token = local_claim.claim.token
        del self._claim_by_token[token]
        may_be_logged = self._writer_by_shard[local_claim.shard].drop_claim(token)
        if reply is not None:
            self._send(local_claim.reply_to, reply)
        if isinstance(reply, ClaimGranted | ClaimReplayed):
            return
        if may_be_logged or local_claim.was_forwarded:
            self._start_record(local_claim.shard, ReleaseRecord(token), None, now)

    def _settle_records(self, now: float) -> None:
        for token, local_record in list(self._record_by_token.items()):
            if local_record.upload is not None and local_record.upload.is_done:
                local_record.upload = None
            if self._writer_by_shard[local_record.shard].is_recorded(token):
                self._end_record(token)

    def _end_record(self, token: str) -> None:
        local_record = self._record_by_token.pop(token, None)
        if local_record is None:
            return
        self._writer_by_shard[local_record.shard].drop_record(token)
        if local_record.reply_to is not None:
            self._send(local_record.reply_to, ClaimRecorded(token))

    def _forward_due(self, now: float) -> None:
        for local_claim in self._claim_by_token.values():
            if self._is_forward_due(local_claim.forwarding, now):
                self._send_claim(local_claim, now)
            if local_claim.forwarding.owner_id is None and local_claim.fetch is None:
                self._writer_by_shard[local_claim.shard].add_claim(
                    local_claim.claim, now
                )
        for local_record in self._record_by_token.values():
            if local_record.upload is not None:
                continue
            if self._is_forward_due(local_record.forwarding, now):
                self._send_record(local_record, now)
            if local_record.forwarding.owner_id is None:
                self._writer_by_shard[local_record.shard].add_record(
                    local_record.record, now
                )

    def _is_forward_due(self, forwarding: Forwarding, now: float) -> bool:
        """Return whether to send to the owner; switch to the log if it is silent."""
        if forwarding.owner_id is None or now < forwarding.due_at:
            return False
        if not forwarding.is_acknowledged:
            self._avoid_until_by_owner[forwarding.owner_id] = (
                now + SILENT_OWNER_COOLDOWN_S
            )
            forwarding.owner_id = None
            return False
        return True

    def _send_claim(self, local_claim: LocalClaim, now: float) -> None:
        claim = local_claim.claim
        forward = ForwardClaim(
            local_claim.shard,
            claim.scope,
            claim.key_digest,
            claim.body_digest,
            claim.token,
            claim.claimant,
            local_claim.deadline - now,
        )
        local_claim.was_forwarded = True
        self._send_to_owner(local_claim.forwarding, forward, now)

    def _send_record(self, local_record: LocalRecord, now: float) -> None:
        record = local_record.record
        answer = record.answer if isinstance(record, FinishRecord) else None
        forward = ForwardRecord(
            local_record.shard, record.token, self._own_incarnation, answer
        )
        self._send_to_owner(local_record.forwarding, forward, now)

    def _send_to_owner(
        self, forwarding: Forwarding, message: Message, now: float
    ) -> None:
        if forwarding.owner_id is not None:
            self._send(Address(forwarding.owner_id, TASK), message)
            forwarding.record_sent(now)

    def _expire(self, now: float) -> None:
        for local_claim in list(self._claim_by_token.values()):
            if now >= local_claim.deadline:
                is_known = local_claim.is_other_running or local_claim.fetch is not None
                reply = ClaimUnknown() if is_known else ClaimUnavailable()
                self._end_claim(local_claim, reply, now)
        for token, local_record in list(self._record_by_token.items()):
            if now >= local_record.expires_at:
                del self._record_by_token[token]
                self._writer_by_shard[local_record.shard].drop_record(token)
        self._remote_claims.expire(now)

    def _is_gone(self, claimant: InstanceIncarnation) -> bool:
        """Return whether an instance's incarnation has definitely ended."""
        if claimant.instance_id == self._own_incarnation.instance_id:
            return claimant != self._own_incarnation
        if self._member_by_id is None:
            return False
        member = self._member_by_id.get(claimant.instance_id)
        return member is None or member.incarnation != claimant.incarnation

    def _kv_clients(self) -> list[SequentialKvClient]:
        clients: list[SequentialKvClient] = list(self._writer_by_shard.values())
        for local_claim in self._claim_by_token.values():
            if local_claim.fetch is not None:
                clients.append(local_claim.fetch)
        for local_record in self._record_by_token.values():
            if local_record.upload is not None:
                clients.append(local_record.upload)
        return clients

    def _send(self, recipient: Address, message: Message) -> None:
        self._outgoing.append(Outgoing(recipient, message))
