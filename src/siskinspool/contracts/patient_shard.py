"""The patient requests of one shard, as managed by its owner.

`PatientShard` reads the heads of the shard, accepts new requests, assigns them to
instances and stores their answers. Every state change is durable before it takes
effect: a request is accepted after its head is written, and `RunPatient` is sent after
the state ``running`` and its token are written (R3, R10).
"""

from __future__ import annotations

from typing import Final

import attrs

from ..core.member import Member
from ..core.message import Address, Message, Outgoing
from ..core.status import Status
from ..manifest.model import Catalog
from ..store.keys import PATIENT_PREFIX
from ..store.kv import KvList, KvListing, KvReply, KvRequest
from .answer_parts import PartFetch, PartUpload
from .claim_messages import InstanceIncarnation
from .kv_client import IdGenerator, SequentialKvClient
from .patient_messages import (
    PatientAccepted,
    PatientFailure,
    PatientFinished,
    PatientRecorded,
    PatientRefusal,
    PatientRefused,
    PatientReturned,
    PatientState,
    RunPatient,
    SubmitPatient,
)
from .patient_record import Head, HeadCodec, HeadWriter

INLINE_MAX_BYTES: Final = 32 * 1024
ANSWER_TTL_S: Final = 24 * 3600.0
# Limit of concurrent requests of this shard at one instance.
RUNS_PER_INSTANCE: Final = 8
# How long the answer to a non-idempotent request is awaited from an instance without a
# session: it may only be paused or cut off.
RUNNER_ABSENCE_S: Final = 15.0
# Interval at which `RunPatient` is repeated until the runner confirms it.
RUN_RESEND_INTERVAL_S: Final = 2.0
# A request whose head is not written within this time is refused.
ACCEPT_TIMEOUT_S: Final = 4.0
# Repeated listing finds heads that a former owner wrote after the first listing.
RELIST_INTERVAL_S: Final = 30.0
# Number of refusals that are stored to answer repeated requests.
MAX_STORED_REFUSALS: Final = 10_000


@attrs.define
class PendingRequest:
    """A request of the shard that is not finished."""

    request_id: str
    writer: HeadWriter
    # Recomputed by a new owner, whose monotonic clock differs.
    deadline: float
    accept_until: float
    waiters: list[Address] = attrs.field(factory=list)
    run_at: float = 0.0
    is_started: bool = False
    # Since when the runner has no session; None while it has one.
    runner_absent_since: float | None = None
    fetch: PartFetch | None = None


class _Lister(SequentialKvClient):
    """Lists the heads of a shard periodically."""

    def __init__(self, prefix: str, ids: IdGenerator) -> None:
        super().__init__(ids)
        self.listing: KvListing | None = None
        self.list_at = 0.0
        self._prefix = prefix

    def next_request(self, now: float) -> KvRequest | None:
        return KvList(self.ids.next_id(), self._prefix) if now >= self.list_at else None

    def process_reply(
        self, request: KvRequest, reply: KvReply, sent_at: float, now: float
    ) -> None:
        if isinstance(reply, KvListing):
            self.listing = reply
            self.list_at = now + RELIST_INTERVAL_S

    def due_at(self) -> float | None:
        return self.list_at


class PatientShard:
    """The requests of one shard; created for each period of ownership."""

    def __init__(
        self,
        shard: int,
        shards: int,
        codec: HeadCodec,
        ids: IdGenerator,
        refusal_by_id: dict[str, PatientRefusal],
    ) -> None:
        self.is_loaded = False
        self._prefix = f"{PATIENT_PREFIX}{shard}/"
        # Each shard is limited to this fraction of the site's bound.
        self._shards = shards
        self._codec = codec
        self._ids = ids
        self._lister = _Lister(self._prefix, ids)
        self._pending_by_id: dict[str, PendingRequest] = {}
        # A repeated request must not be accepted after it was refused as "not run".
        self._refusal_by_id = refusal_by_id
        # Runners that returned a request; they get no further requests.
        self._stopping_runners: set[InstanceIncarnation] = set()
        self._has_members = False
        self._outgoing: list[Outgoing] = []

    def kv_clients(self) -> list[SequentialKvClient]:
        """Return the clients of the key-value service."""
        clients: list[SequentialKvClient] = [self._lister]
        for pending in self._pending_by_id.values():
            clients.append(pending.writer)
            if pending.fetch is not None:
                clients.append(pending.fetch)
        return clients

    @property
    def open_requests(self) -> int:
        """The number of unfinished requests of the shard."""
        return len(self._pending_by_id)

    def status(self) -> list[Status]:
        """Return the unfinished requests, without their content."""
        heads = [
            (pending.request_id, pending.writer.head or pending.writer.pending_head)
            for pending in self._pending_by_id.values()
        ]
        return [
            {
                "id": request_id,
                "team": head.request.team,
                "target": head.request.route,
                "state": str(head.state),
                "instance": head.runner.instance_id if head.runner else "",
            }
            for request_id, head in heads
            if head is not None and not head.has_ended
        ]

    def submit(
        self, request: SubmitPatient, waiter: Address, catalog: Catalog, now: float
    ) -> None:
        """Accept or refuse a request, or its repetition; the shard must be loaded."""
        request_id = request.request_id
        pending = self._pending_by_id.get(request_id)
        if pending is not None:
            if pending.writer.head is not None:
                self._send(waiter, PatientAccepted(request_id))
            elif waiter not in pending.waiters:
                pending.waiters.append(waiter)
            return
        refusal = self._refusal_by_id.get(request_id) or self._check_bounds(
            request, catalog
        )
        if refusal is not None:
            self._refuse(request_id, [waiter], refusal)
            return
        pending = self._new_pending(request_id, request, now)
        pending.waiters.append(waiter)
        self._pending_by_id[request_id] = pending
        if len(request.body) <= INLINE_MAX_BYTES:
            pending.writer.start_write(Head(request))
            return
        head = Head(attrs.evolve(request, body=b""))
        upload = PartUpload(head.body_prefix, request.body, None, self._ids)
        head = attrs.evolve(head, body_parts=len(upload.parts))
        pending.writer.start_write(head, None, upload)

    def on_started(self, request_id: str, token: str) -> None:
        """Record that the runner has received a request."""
        pending = self._pending_by_id.get(request_id)
        head = None if pending is None else pending.writer.head
        if pending is not None and head is not None and head.token == token:
            pending.is_started = True

    def on_returned(self, runner: Address, message: PatientReturned) -> None:
        """Make a request that its runner returned available to others (R12)."""
        pending = self._pending_by_id.get(message.request_id)
        head = None if pending is None else pending.writer.head
        if pending is None or head is None or head.token != message.token:
            if self.is_loaded:
                self._send(runner, PatientRecorded(message.token))
        elif pending.writer.pending_head is None and head.runner is not None:
            self._stopping_runners.add(head.runner)
            pending.writer.start_write(_reset_to_accepted(head))

    def on_finished(self, runner: Address, message: PatientFinished) -> None:
        """Store the answer of a run."""
        pending = self._pending_by_id.get(message.request_id)
        head = None if pending is None else pending.writer.head
        if pending is None or head is None or head.token != message.token:
            if self.is_loaded:
                self._send(runner, PatientRecorded(message.token))
            return
        if pending.writer.pending_head is not None:
            # Another write is in progress; the runner will repeat its answer.
            return
        done = attrs.evolve(
            head,
            state=PatientState.DONE,
            status=message.status,
            content_type=message.content_type,
            answer=message.body,
        )
        if len(message.body) <= INLINE_MAX_BYTES:
            pending.writer.start_write(done, ANSWER_TTL_S)
            return
        upload = PartUpload(head.answer_prefix, message.body, ANSWER_TTL_S, self._ids)
        done = attrs.evolve(done, answer=b"", answer_parts=len(upload.parts))
        pending.writer.start_write(done, ANSWER_TTL_S, upload)

    def advance(self, members: dict[str, Member] | None, now: float) -> list[Outgoing]:
        """Process completed writes and whatever is due; return the messages."""
        self._merge_listing(now)
        self._has_members = members is not None
        runs = self._count_runs_by_instance(members or {})
        for pending in list(self._pending_by_id.values()):
            self._advance_pending(pending, members, runs, now)
        out, self._outgoing = self._outgoing, []
        return out

    def wake_at(self) -> float:
        """Return the earliest deadline or repetition."""
        due = [
            self._pending_due_at(pending) for pending in self._pending_by_id.values()
        ]
        return min(due, default=float("inf"))

    def _pending_due_at(self, pending: PendingRequest) -> float:
        """Return when the next deadline or repetition for a request is due."""
        head = pending.writer.head
        if head is None:
            return pending.accept_until if pending.waiters else float("inf")
        if pending.writer.pending_head is not None or not self._has_members:
            return float("inf")
        if head.state is PatientState.ACCEPTED:
            return pending.deadline
        if pending.runner_absent_since is not None:
            return pending.runner_absent_since + RUNNER_ABSENCE_S
        is_fetching = pending.fetch is not None and pending.fetch.due_at() is not None
        if pending.is_started or is_fetching:
            return float("inf")
        return pending.run_at

    def _new_pending(
        self, request_id: str, request: SubmitPatient, now: float
    ) -> PendingRequest:
        writer = HeadWriter(self._prefix + request_id, self._codec, self._ids)
        deadline = now + request.deadline_in_s
        return PendingRequest(request_id, writer, deadline, now + ACCEPT_TIMEOUT_S)

    def _check_bounds(
        self, request: SubmitPatient, catalog: Catalog
    ) -> PatientRefusal | None:
        team = catalog.team_by_id.get(request.team)
        heads = [
            pending.writer.head or pending.writer.pending_head
            for pending in self._list_pending()
        ]
        team_heads = [
            head for head in heads if head and head.request.team == request.team
        ]
        if team is None or len(team_heads) >= team.max_waiting:
            return PatientRefusal.TEAM_FULL
        max_heads = max(1, catalog.manifest.site.max_waiting // self._shards)
        return PatientRefusal.SITE_FULL if len(heads) >= max_heads else None

    def _list_pending(self) -> list[PendingRequest]:
        return list(self._pending_by_id.values())

    def _refuse(
        self, request_id: str, waiters: list[Address], reason: PatientRefusal
    ) -> None:
        if reason is not PatientRefusal.OUTCOME_UNKNOWN:
            self._refusal_by_id[request_id] = reason
            if len(self._refusal_by_id) > MAX_STORED_REFUSALS:
                del self._refusal_by_id[next(iter(self._refusal_by_id))]
        for waiter in waiters:
            self._send(waiter, PatientRefused(request_id, reason))

    def _merge_listing(self, now: float) -> None:
        listing, self._lister.listing = self._lister.listing, None
        if listing is None:
            return
        self.is_loaded = True
        for stored in listing.items:
            head = self._codec.decode(stored.value)
            if head is None or head.has_ended:
                continue
            request_id = head.request.request_id
            pending = self._pending_by_id.get(request_id)
            if pending is None:
                pending = self._new_pending(request_id, head.request, now)
                self._pending_by_id[request_id] = pending
            if (
                pending.writer.pending_head is None
                and stored.revision > pending.writer.revision
            ):
                pending.writer.head, pending.writer.revision = head, stored.revision
                pending.is_started = False

    def _advance_pending(
        self,
        pending: PendingRequest,
        members: dict[str, Member] | None,
        runs: dict[str, int],
        now: float,
    ) -> None:
        writer = pending.writer
        if writer.has_conflict:
            # The next listing reads what the other owner wrote.
            del self._pending_by_id[pending.request_id]
            self._lister.list_at = now
            return
        if writer.head is None:
            self._advance_unwritten(pending, now)
            return
        for waiter in pending.waiters:
            self._send(waiter, PatientAccepted(pending.request_id))
        pending.waiters.clear()
        if writer.head.has_ended:
            self._remove_ended(pending, writer.head)
        elif writer.pending_head is None and members is not None:
            if writer.head.state is PatientState.ACCEPTED:
                self._assign(pending, writer.head, members, runs, now)
            else:
                self._check_run(pending, writer.head, members, now)

    def _advance_unwritten(self, pending: PendingRequest, now: float) -> None:
        if now < pending.accept_until or not pending.waiters:
            return
        waiters, pending.waiters = pending.waiters, []
        if pending.writer.is_certainly_unwritten():
            del self._pending_by_id[pending.request_id]
            self._refuse(pending.request_id, waiters, PatientRefusal.STORE_UNAVAILABLE)
        else:
            self._refuse(pending.request_id, waiters, PatientRefusal.OUTCOME_UNKNOWN)

    def _count_runs_by_instance(self, members: dict[str, Member]) -> dict[str, int]:
        """Return the number of runs of each instance that accepts new requests."""
        runs = {
            instance_id: 0
            for instance_id, member in members.items()
            if not member.draining
            and InstanceIncarnation(instance_id, member.incarnation)
            not in self._stopping_runners
        }
        for pending in self._pending_by_id.values():
            head = pending.writer.pending_head or pending.writer.head
            if head and head.runner and head.runner.instance_id in runs:
                runs[head.runner.instance_id] += 1
        return runs

    def _assign(
        self,
        pending: PendingRequest,
        head: Head,
        members: dict[str, Member],
        runs: dict[str, int],
        now: float,
    ) -> None:
        if now >= pending.deadline:
            self._fail(pending, head, PatientFailure.DEADLINE_PASSED)
            return
        if not runs:
            return
        chosen = min(runs, key=lambda instance_id: (runs[instance_id], instance_id))
        if runs[chosen] >= RUNS_PER_INSTANCE:
            return
        runs[chosen] += 1
        runner = InstanceIncarnation(chosen, members[chosen].incarnation)
        token = self._ids.next_id()
        running = attrs.evolve(
            head, state=PatientState.RUNNING, runner=runner, token=token
        )
        pending.is_started, pending.run_at = False, now
        pending.writer.start_write(running)

    def _check_run(
        self,
        pending: PendingRequest,
        head: Head,
        members: dict[str, Member],
        now: float,
    ) -> None:
        runner = head.runner
        member = None if runner is None else members.get(runner.instance_id)
        if member is not None:
            pending.runner_absent_since = None
        if runner is None or member is None or member.incarnation != runner.incarnation:
            if head.request.idempotent:
                pending.writer.start_write(_reset_to_accepted(head))
            elif member is not None or _is_absent_for_long(pending, now):
                self._fail(pending, head, PatientFailure.OUTCOME_UNKNOWN)
        elif not pending.is_started and now >= pending.run_at:
            self._send_run(pending, head, runner, now)

    def _send_run(
        self,
        pending: PendingRequest,
        head: Head,
        runner: InstanceIncarnation,
        now: float,
    ) -> None:
        request = head.request
        if head.body_parts:
            if pending.fetch is None:
                part_count = head.body_parts
                pending.fetch = PartFetch(head.body_prefix, part_count, self._ids)
            if not pending.fetch.is_done:
                pending.run_at = now + (
                    RUN_RESEND_INTERVAL_S if pending.fetch.is_missing else 0.0
                )
                return
            request = attrs.evolve(request, body=pending.fetch.body)
        run = RunPatient(head.token, runner.incarnation, request)
        self._send(Address(runner.instance_id, "runner"), run)
        pending.run_at = now + RUN_RESEND_INTERVAL_S

    def _fail(
        self, pending: PendingRequest, head: Head, failure: PatientFailure
    ) -> None:
        failed = attrs.evolve(head, state=PatientState.FAILED, failure=failure)
        pending.writer.start_write(failed, ANSWER_TTL_S)

    def _remove_ended(self, pending: PendingRequest, head: Head) -> None:
        del self._pending_by_id[pending.request_id]
        if head.runner is not None:
            runner = Address(head.runner.instance_id, "runner")
            self._send(runner, PatientRecorded(head.token))

    def _send(self, recipient: Address, message: Message) -> None:
        self._outgoing.append(Outgoing(recipient, message))


def _is_absent_for_long(pending: PendingRequest, now: float) -> bool:
    """Return whether an absent runner is given up; record since when it is absent."""
    if pending.runner_absent_since is None:
        pending.runner_absent_since = now
    return now >= pending.runner_absent_since + RUNNER_ABSENCE_S


def _reset_to_accepted(head: Head) -> Head:
    return attrs.evolve(head, state=PatientState.ACCEPTED, runner=None, token="")
