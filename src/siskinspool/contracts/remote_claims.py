"""Handling of claims and records that other instances forward to the owner of a shard.

Each request is acknowledged immediately, so that a slow key-value service is not
mistaken for an unreachable owner, and answered once the log has settled it. Requests
may be repeated. Nothing here relies on owning the shard: the log guarantees safety.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from ..core.message import Address, Outgoing
from .claim_log import ClaimRecord, FinishRecord, ReleaseRecord
from .claim_messages import (
    ClaimOutcome,
    ClaimPending,
    ClaimSettled,
    ForwardClaim,
    ForwardRecord,
    InstanceIncarnation,
    RecordSettled,
)
from .claim_writer import ClaimLogWriter
from .local_claims import RECORD_RETRY_S


@attrs.define
class RemoteClaim:
    """A claim that another instance forwarded."""

    claim: ClaimRecord
    shard: int
    requester: Address
    deadline: float
    # The requester was informed that another token is running.
    is_running_reported: bool = False


@attrs.define
class RemoteRecord:
    """A release or answer that another instance forwarded."""

    shard: int
    requester: Address
    expires_at: float


class RemoteClaimHandler:
    """Settles claims and records on behalf of other instances."""

    def __init__(self, writer_by_shard: dict[int, ClaimLogWriter]) -> None:
        self._writer_by_shard = writer_by_shard
        self._claim_by_token: dict[str, RemoteClaim] = {}
        self._record_by_token: dict[str, RemoteRecord] = {}

    def handle_claim(
        self, sender: Address, message: ForwardClaim, now: float
    ) -> list[Outgoing]:
        """Add a forwarded claim, or replace it if repeated, and acknowledge it."""
        writer = self._writer_by_shard.get(message.shard)
        if writer is None:
            return []
        claim = ClaimRecord(
            message.scope,
            message.key_digest,
            message.body_digest,
            message.token,
            message.claimant,
        )
        deadline = now + message.deadline_in_s
        remote_claim = RemoteClaim(claim, message.shard, sender, deadline)
        self._claim_by_token[message.token] = remote_claim
        writer.add_claim(claim, now)
        return [Outgoing(sender, ClaimPending(message.token))]

    def handle_record(
        self, sender: Address, message: ForwardRecord, now: float
    ) -> list[Outgoing]:
        """Add a forwarded release or answer and acknowledge it; may be repeated."""
        writer = self._writer_by_shard.get(message.shard)
        if writer is None:
            return []
        token, answer = message.token, message.answer
        record = ReleaseRecord(token) if answer is None else FinishRecord(token, answer)
        self._record_by_token[token] = RemoteRecord(
            message.shard, sender, now + RECORD_RETRY_S
        )
        writer.add_record(record, now)
        return [Outgoing(sender, ClaimPending(token))]

    def settle(self, is_gone: Callable[[InstanceIncarnation], bool]) -> list[Outgoing]:
        """Return the answers to requests that the log has settled."""
        return self._settle_claims(is_gone) + self._settle_records()

    def expire(self, now: float) -> None:
        """Drop claims and records whose time limit has passed."""
        for token, remote_claim in list(self._claim_by_token.items()):
            if now >= remote_claim.deadline:
                self._drop_claim(token, remote_claim)
        for token, record in list(self._record_by_token.items()):
            if now >= record.expires_at:
                self._drop_record(token, record)

    def wake_at(self) -> float:
        """Return when `expire` is due next; infinity if nothing is pending."""
        due = [remote_claim.deadline for remote_claim in self._claim_by_token.values()]
        due += [record.expires_at for record in self._record_by_token.values()]
        return min(due, default=float("inf"))

    def _settle_claims(
        self, is_gone: Callable[[InstanceIncarnation], bool]
    ) -> list[Outgoing]:
        out: list[Outgoing] = []
        for token, remote_claim in list(self._claim_by_token.items()):
            writer = self._writer_by_shard[remote_claim.shard]
            status = writer.settle(writer.pending_claim_by_token[token], is_gone)
            if status is None:
                continue
            if status.outcome is ClaimOutcome.RUNNING:
                if not remote_claim.is_running_reported:
                    remote_claim.is_running_reported = True
                    pending = ClaimPending(token, running=True)
                    out.append(Outgoing(remote_claim.requester, pending))
                continue
            settled = ClaimSettled(
                token, remote_claim.claim.claimant, status.outcome, status.answer
            )
            out.append(Outgoing(remote_claim.requester, settled))
            self._drop_claim(token, remote_claim)
        return out

    def _settle_records(self) -> list[Outgoing]:
        out: list[Outgoing] = []
        for token, record in list(self._record_by_token.items()):
            if self._writer_by_shard[record.shard].is_recorded(token):
                out.append(Outgoing(record.requester, RecordSettled(token)))
                self._drop_record(token, record)
        return out

    def _drop_claim(self, token: str, remote_claim: RemoteClaim) -> None:
        del self._claim_by_token[token]
        self._writer_by_shard[remote_claim.shard].drop_claim(token)

    def _drop_record(self, token: str, record: RemoteRecord) -> None:
        del self._record_by_token[token]
        self._writer_by_shard[record.shard].drop_record(token)
