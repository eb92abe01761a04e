"""Decision `PatientQueue`: durable requests that run when capacity is free (R3, R10).

All requests of a team belong to one shard, so that the shard's owner can enforce the
team's bound. Each instance forwards the requests that its handlers submit to the owner,
and reads the state of requests directly from the key-value service. `PatientShard`
implements the owner's part.
"""

from __future__ import annotations

from typing import Final

import attrs
import xxhash

from ..core.decision import Decision
from ..core.member import Member, MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..machines.messages import (
    CatalogChanged,
    OwnersChanged,
    OwnershipGained,
    OwnershipLost,
)
from ..manifest.model import Catalog
from ..store.keys import PATIENT_PREFIX
from ..store.kv import KvReply
from .claim_messages import InstanceIncarnation
from .kv_client import IdGenerator, SequentialKvClient
from .patient_messages import (
    GetPatientStatus,
    PatientAccepted,
    PatientFinished,
    PatientRefusal,
    PatientRefused,
    PatientReturned,
    PatientStarted,
    PatientState,
    PatientStatus,
    SubmitPatient,
)
from .patient_record import HeadCodec
from .patient_shard import PatientShard
from .patient_status import PatientStatusReader

TASK: Final = "patient"
SHARDS: Final = 16
SUBMIT_TIMEOUT_S: Final = 5.0
FORWARD_RESEND_INTERVAL_S: Final = 1.0
STATUS_TIMEOUT_S: Final = 5.0


def shard_of(team: str, shards: int = SHARDS) -> int:
    """Return the shard that a team belongs to."""
    return xxhash.xxh64_intdigest(team.encode()) % shards


@attrs.define
class _Submission:
    """A request of a local handler that the owner has not answered yet."""

    message: SubmitPatient
    reply_to: Address
    deadline: float
    send_at: float
    # The processes that a copy was sent to, by instance and incarnation.
    sent_to: set[tuple[str, str]] = attrs.field(factory=set)


class PatientQueue(Decision):
    """Patient requests submitted at one instance, and the shards that it owns."""

    def __init__(
        self, claimant: InstanceIncarnation, codec: HeadCodec, shards: int = SHARDS
    ) -> None:
        self._own_incarnation = claimant
        self._codec = codec
        self._shards = shards
        name = f"{TASK}-{claimant.instance_id}-{claimant.incarnation}"
        self._ids = IdGenerator(name)
        self._kv = Address(claimant.instance_id, "kv")
        self._catalog: Catalog | None = None
        self._member_by_id: dict[str, Member] | None = None
        self._owner_by_partition: dict[str, str] = {}
        self._shard_by_number: dict[int, PatientShard] = {}
        self._submission_by_id: dict[str, _Submission] = {}
        # Survives the loss of a shard; see `PatientShard`.
        self._refusal_by_id: dict[str, PatientRefusal] = {}
        self._readers: list[PatientStatusReader] = []
        self._outgoing: list[Outgoing] = []

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a request, a reply of the key-value service or a message of a peer."""
        self._dispatch(incoming.sender, incoming.message, now)
        return self._advance(now)

    def on_time(self, now: float) -> list[Outgoing]:
        """Repeat, assign or expire whatever is due."""
        return self._advance(now)

    def status(self, now: float) -> Status:
        """Return the unfinished requests of the owned shards."""
        shards = self._shard_by_number.values()
        return {
            "requests": [row for shard in shards for row in shard.status()],
            "loading": [
                n for n, shard in self._shard_by_number.items() if not shard.is_loaded
            ],
        }

    def gauges(self) -> dict[str, float]:
        """Return the number of unfinished requests of the owned shards."""
        counts = (shard.open_requests for shard in self._shard_by_number.values())
        return {"patient.open": sum(counts)}

    def wake_at(self) -> float | None:
        """Return the earliest time at which a deadline, repetition or call is due."""
        times = [client.wake_at() for client in self._kv_clients()]
        due = [time for time in times if time is not None]
        for submission in self._submission_by_id.values():
            due += [submission.deadline, submission.send_at]
        due += [shard.wake_at() for shard in self._shard_by_number.values()]
        due += [reader.deadline for reader in self._readers]
        earliest = min(due, default=float("inf"))
        return None if earliest == float("inf") else earliest

    def _dispatch(self, sender: Address, message: Message, now: float) -> None:
        match message:
            case SubmitPatient():
                self._on_submit(sender, message, now)
            case PatientAccepted():
                self._end_submission(message.request_id, message)
            case PatientRefused():
                self._on_refused(message)
            case GetPatientStatus():
                self._on_get_status(sender, message, now)
            case PatientStarted():
                for shard in self._shard_by_number.values():
                    shard.on_started(message.request_id, message.token)
            case PatientReturned():
                for shard in self._shard_by_number.values():
                    shard.on_returned(sender, message)
            case PatientFinished():
                for shard in self._shard_by_number.values():
                    shard.on_finished(sender, message)
            case KvReply():
                for client in self._kv_clients():
                    client.on_reply(message, now)
            case MembershipChanged():
                self._member_by_id = dict(message.member_by_id)
            case CatalogChanged():
                self._catalog = message.catalog
            case OwnersChanged():
                self._owner_by_partition = dict(message.owner_by_partition)
            case OwnershipGained() | OwnershipLost():
                self._on_ownership(message)

    def _on_ownership(self, message: OwnershipGained | OwnershipLost) -> None:
        kind, _, number = message.partition.partition("/")
        if kind != TASK:
            return
        self._shard_by_number.pop(int(number), None)
        if isinstance(message, OwnershipGained):
            self._shard_by_number[int(number)] = PatientShard(
                int(number), self._shards, self._codec, self._ids, self._refusal_by_id
            )

    def _on_submit(self, sender: Address, message: SubmitPatient, now: float) -> None:
        if sender.task != TASK:
            submission = _Submission(message, sender, now + SUBMIT_TIMEOUT_S, now)
            self._submission_by_id[message.request_id] = submission
            return
        # A peer believes that this instance is the owner; it repeats until answered.
        self._submit_locally(message, sender, now)

    def _submit_locally(
        self, message: SubmitPatient, waiter: Address, now: float
    ) -> bool:
        shard = self._shard_by_number.get(shard_of(message.team, self._shards))
        if shard is None or not shard.is_loaded or self._catalog is None:
            return False
        shard.submit(message, waiter, self._catalog, now)
        return True

    def _on_refused(self, message: PatientRefused) -> None:
        submission = self._submission_by_id.get(message.request_id)
        if submission is not None and len(submission.sent_to) > 1:
            # Another owner may have received and accepted a copy.
            message = attrs.evolve(message, reason=PatientRefusal.OUTCOME_UNKNOWN)
        self._end_submission(message.request_id, message)

    def _end_submission(self, request_id: str, reply: Message) -> None:
        submission = self._submission_by_id.pop(request_id, None)
        if submission is not None:
            self._send(submission.reply_to, reply)

    def _on_get_status(
        self, sender: Address, message: GetPatientStatus, now: float
    ) -> None:
        shard = shard_of(message.team, self._shards)
        reader = PatientStatusReader(
            f"{PATIENT_PREFIX}{shard}/{message.request_id}",
            message.team,
            sender,
            now + STATUS_TIMEOUT_S,
            self._codec,
            self._ids,
        )
        self._readers.append(reader)

    def _advance(self, now: float) -> list[Outgoing]:
        for submission in list(self._submission_by_id.values()):
            self._advance_submission(submission, now)
        for shard in self._shard_by_number.values():
            self._route_shard_messages(shard.advance(self._member_by_id, now))
        self._advance_readers(now)
        for client in self._kv_clients():
            request = client.poll(now)
            if request is not None:
                self._send(self._kv, request)
        out, self._outgoing = self._outgoing, []
        return out

    def _route_shard_messages(self, batch: list[Outgoing]) -> None:
        """Send messages of a shard; handle replies to this instance directly."""
        own = Address(self._own_incarnation.instance_id, TASK)
        for outgoing in batch:
            message = outgoing.message
            if outgoing.recipient != own:
                self._outgoing.append(outgoing)
            elif isinstance(message, PatientRefused):
                self._on_refused(message)
            elif isinstance(message, PatientAccepted):
                self._end_submission(message.request_id, message)

    def _advance_submission(self, submission: _Submission, now: float) -> None:
        message = submission.message
        if now >= submission.deadline:
            was_sent = bool(submission.sent_to)
            unknown_reason = PatientRefusal.OUTCOME_UNKNOWN
            reason = unknown_reason if was_sent else PatientRefusal.STORE_UNAVAILABLE
            refused = PatientRefused(message.request_id, reason)
            self._end_submission(message.request_id, refused)
            return
        if now < submission.send_at:
            return
        submission.send_at = now + FORWARD_RESEND_INTERVAL_S
        own = Address(self._own_incarnation.instance_id, TASK)
        if self._submit_locally(message, own, now):
            submission.sent_to.add((own.instance_id, self._own_incarnation.incarnation))
            return
        shard = shard_of(message.team, self._shards)
        owner = self._owner_by_partition.get(f"{TASK}/{shard}")
        if owner is not None and owner != self._own_incarnation.instance_id:
            member = (self._member_by_id or {}).get(owner)
            incarnation = "" if member is None else member.incarnation
            submission.sent_to.add((owner, incarnation))
            self._send(Address(owner, TASK), message)

    def _advance_readers(self, now: float) -> None:
        for reader in list(self._readers):
            if reader.result is None and now >= reader.deadline:
                reader.result = PatientStatus(PatientState.UNAVAILABLE)
                reader.is_done = True
            if reader.result is not None and not reader.is_answered:
                reader.is_answered = True
                self._send(reader.reply_to, reader.result)
            if reader.is_done or now >= reader.deadline:
                self._readers.remove(reader)

    def _kv_clients(self) -> list[SequentialKvClient]:
        clients: list[SequentialKvClient] = list(self._readers)
        for shard in self._shard_by_number.values():
            clients += shard.kv_clients()
        return clients

    def _send(self, recipient: Address, message: Message) -> None:
        self._outgoing.append(Outgoing(recipient, message))
