"""The patient requests of one shard, as managed by its owner.

`PatientShard` reads the heads of the shard, accepts new requests, assigns them to
instances and stores their answers. Every state change is durable before it takes
effect: a request is accepted after its head is written, and `RunPatient` is sent after
the state ``running`` and its token are written (R3, R10).
"""

from __future__ import annotations

from typing import Final

import attrs

from ..core.message import Address, Message, Outgoing
from ..core.status import Status
from ..machines.messages import Member
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
# Interval at which `RunPatient` is repeated until the runner confirms it.
RUN_RESEND_INTERVAL_S: Final = 2.0
# A request whose head is not written within this time is refused.
ACCEPT_TIMEOUT_S: Final = 4.0
# Repeated listing finds heads that a former owner wrote after the first listing.
RELIST_INTERVAL_S: Final = 30.0
# Number of refusals that are stored to answer repeated requests.
MAX_STORED_REFUSALS: Final = 10_000


@attrs.define
class Item:
    """A request of the shard that is not finished."""

    request_id: str
    writer: HeadWriter
    # Restarts with a new owner, since its monotonic clock is another one.
    deadline: float
    accept_until: float
    waiters: list[Address] = attrs.field(factory=list)
    run_at: float = 0.0
    is_started: bool = False
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
        self, call: KvRequest, reply: KvReply, sent_at: float, now: float
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
        self._item_by_id: dict[str, Item] = {}
        # A repeated request must not be accepted after it was refused as "not run".
        self._refusal_by_id = refusal_by_id
        # Runners that returned a request; they get no further requests.
        self._stopping_runners: set[InstanceIncarnation] = set()
        self._has_members = False
        self._outgoing: list[Outgoing] = []

    def kv_clients(self) -> list[SequentialKvClient]:
        """Return the clients of the key-value service."""
        callers: list[SequentialKvClient] = [self._lister]
        for item in self._item_by_id.values():
            callers.append(item.writer)
            if item.fetch is not None:
                callers.append(item.fetch)
        return callers

    @property
    def open_requests(self) -> int:
        """The number of unfinished requests of the shard."""
        return len(self._item_by_id)

    def status(self) -> list[Status]:
        """Return the unfinished requests, without their content."""
        heads = [
            (item.request_id, item.writer.head or item.writer.pending_head)
            for item in self._item_by_id.values()
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
        item = self._item_by_id.get(request_id)
        if item is not None:
            if item.writer.head is not None:
                self._send(waiter, PatientAccepted(request_id))
            elif waiter not in item.waiters:
                item.waiters.append(waiter)
            return
        refusal = self._refusal_by_id.get(request_id) or self._check_bounds(
            request, catalog
        )
        if refusal is not None:
            self._refuse(request_id, [waiter], refusal)
            return
        item = self._new_item(request_id, request, now)
        item.waiters.append(waiter)
        self._item_by_id[request_id] = item
        if len(request.body) <= INLINE_MAX_BYTES:
            item.writer.start_write(Head(request))
            return
        head = Head(attrs.evolve(request, body=b""))
        upload = PartUpload(head.body_prefix, request.body, None, self._ids)
        head = attrs.evolve(head, body_parts=len(upload.parts))
        item.writer.start_write(head, None, upload)

    def on_started(self, request_id: str, token: str) -> None:
        """Record that the runner has received a request."""
        item = self._item_by_id.get(request_id)
        head = None if item is None else item.writer.head
        if item is not None and head is not None and head.token == token:
            item.is_started = True

    def on_returned(self, runner: Address, message: PatientReturned) -> None:
        """Make a request that its runner returned available to others (R12)."""
        item = self._item_by_id.get(message.request_id)
        head = None if item is None else item.writer.head
        if item is None or head is None or head.token != message.token:
            if self.is_loaded:
                self._send(runner, PatientRecorded(message.token))
        elif item.writer.pending_head is None and head.runner is not None:
            self._stopping_runners.add(head.runner)
            item.writer.start_write(_reset_to_accepted(head))

    def on_finished(self, runner: Address, message: PatientFinished) -> None:
        """Store the answer of a run."""
        item = self._item_by_id.get(message.request_id)
        head = None if item is None else item.writer.head
        if item is None or head is None or head.token != message.token:
            if self.is_loaded:
                self._send(runner, PatientRecorded(message.token))
            return
        if item.writer.pending_head is not None:
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
            item.writer.start_write(done, ANSWER_TTL_S)
            return
        upload = PartUpload(head.answer_prefix, message.body, ANSWER_TTL_S, self._ids)
        done = attrs.evolve(done, answer=b"", answer_parts=len(upload.parts))
        item.writer.start_write(done, ANSWER_TTL_S, upload)

    def advance(self, members: dict[str, Member] | None, now: float) -> list[Outgoing]:
        """Process completed writes and whatever is due; return the messages."""
        self._merge_listing(now)
        self._has_members = members is not None
        runs = self._count_runs_by_instance(members or {})
        for item in list(self._item_by_id.values()):
            self._advance_item(item, members, runs, now)
        out, self._outgoing = self._outgoing, []
        return out

    def wake_at(self) -> float:
        """Return the earliest deadline or repetition."""
        due = [self._item_due_at(item) for item in self._item_by_id.values()]
        return min(due, default=float("inf"))

    def _item_due_at(self, item: Item) -> float:
        """Return when the passing of time alone requires an action for a request."""
        head = item.writer.head
        if head is None:
            return item.accept_until if item.waiters else float("inf")
        if item.writer.pending_head is not None or not self._has_members:
            return float("inf")
        if head.state is PatientState.ACCEPTED:
            return item.deadline
        is_fetching = item.fetch is not None and item.fetch.due_at() is not None
        if item.is_started or is_fetching:
            return float("inf")
        return item.run_at

    def _new_item(self, request_id: str, request: SubmitPatient, now: float) -> Item:
        writer = HeadWriter(self._prefix + request_id, self._codec, self._ids)
        deadline = now + request.deadline_in_s
        return Item(request_id, writer, deadline, now + ACCEPT_TIMEOUT_S)

    def _check_bounds(
        self, request: SubmitPatient, catalog: Catalog
    ) -> PatientRefusal | None:
        team = catalog.team_by_id.get(request.team)
        heads = [
            item.writer.head or item.writer.pending_head for item in self._list_items()
        ]
        of_team = [head for head in heads if head and head.request.team == request.team]
        if team is None or len(of_team) >= team.max_waiting:
            return PatientRefusal.TEAM_FULL
        quota = max(1, catalog.manifest.site.max_waiting // self._shards)
        return PatientRefusal.SITE_FULL if len(heads) >= quota else None

    def _list_items(self) -> list[Item]:
        return list(self._item_by_id.values())

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
        for kept in listing.items:
            head = self._codec.decode(kept.value)
            if head is None or head.has_ended:
                continue
            request_id = head.request.request_id
            item = self._item_by_id.get(request_id)
            if item is None:
                item = self._new_item(request_id, head.request, now)
                self._item_by_id[request_id] = item
            if (
                item.writer.pending_head is None
                and kept.revision > item.writer.revision
            ):
                item.writer.head, item.writer.revision = head, kept.revision
                item.is_started = False

    def _advance_item(
        self,
        item: Item,
        members: dict[str, Member] | None,
        runs: dict[str, int],
        now: float,
    ) -> None:
        writer = item.writer
        if writer.has_conflict:
            # The next listing reads what the other owner wrote.
            del self._item_by_id[item.request_id]
            self._lister.list_at = now
            return
        if writer.head is None:
            self._advance_unwritten(item, now)
            return
        for waiter in item.waiters:
            self._send(waiter, PatientAccepted(item.request_id))
        item.waiters.clear()
        if writer.head.has_ended:
            self._remove_ended(item, writer.head)
        elif writer.pending_head is None and members is not None:
            if writer.head.state is PatientState.ACCEPTED:
                self._assign(item, writer.head, members, runs, now)
            else:
                self._check_run(item, writer.head, members, now)

    def _advance_unwritten(self, item: Item, now: float) -> None:
        if now < item.accept_until or not item.waiters:
            return
        waiters, item.waiters = item.waiters, []
        if item.writer.is_certainly_unwritten():
            del self._item_by_id[item.request_id]
            self._refuse(item.request_id, waiters, PatientRefusal.STORE_UNAVAILABLE)
        else:
            self._refuse(item.request_id, waiters, PatientRefusal.OUTCOME_UNKNOWN)

    def _count_runs_by_instance(self, members: dict[str, Member]) -> dict[str, int]:
        """Return the number of runs of each instance that accepts new requests."""
        runs = {
            key: 0
            for key, member in members.items()
            if not member.draining
            and InstanceIncarnation(key, member.incarnation)
            not in self._stopping_runners
        }
        for item in self._item_by_id.values():
            head = item.writer.pending_head or item.writer.head
            if head and head.runner and head.runner.instance_id in runs:
                runs[head.runner.instance_id] += 1
        return runs

    def _assign(
        self,
        item: Item,
        head: Head,
        members: dict[str, Member],
        runs: dict[str, int],
        now: float,
    ) -> None:
        if now >= item.deadline:
            self._fail(item, head, PatientFailure.DEADLINE_PASSED)
            return
        if not runs:
            return
        chosen = min(runs, key=lambda key: (runs[key], key))
        if runs[chosen] >= RUNS_PER_INSTANCE:
            return
        runs[chosen] += 1
        runner = InstanceIncarnation(chosen, members[chosen].incarnation)
        token = self._ids.next_id()
        running = attrs.evolve(
            head, state=PatientState.RUNNING, runner=runner, token=token
        )
        item.is_started, item.run_at = False, now
        item.writer.start_write(running)

    def _check_run(
        self, item: Item, head: Head, members: dict[str, Member], now: float
    ) -> None:
        runner = head.runner
        member = None if runner is None else members.get(runner.instance_id)
        if runner is None or member is None or member.incarnation != runner.incarnation:
            if head.request.idempotent:
                item.writer.start_write(_reset_to_accepted(head))
            else:
                self._fail(item, head, PatientFailure.OUTCOME_UNKNOWN)
        elif not item.is_started and now >= item.run_at:
            self._send_run(item, head, runner, now)

    def _send_run(
        self, item: Item, head: Head, runner: InstanceIncarnation, now: float
    ) -> None:
        request = head.request
        if head.body_parts:
            if item.fetch is None:
                parts = head.body_parts
                item.fetch = PartFetch(head.body_prefix, parts, self._ids)
            if not item.fetch.is_done:
                item.run_at = now + (
                    RUN_RESEND_INTERVAL_S if item.fetch.is_missing else 0.0
                )
                return
            request = attrs.evolve(request, body=item.fetch.body)
        run = RunPatient(head.token, runner.incarnation, request)
        self._send(Address(runner.instance_id, "runner"), run)
        item.run_at = now + RUN_RESEND_INTERVAL_S

    def _fail(self, item: Item, head: Head, failure: PatientFailure) -> None:
        failed = attrs.evolve(head, state=PatientState.FAILED, failure=failure)
        item.writer.start_write(failed, ANSWER_TTL_S)

    def _remove_ended(self, item: Item, head: Head) -> None:
        del self._item_by_id[item.request_id]
        if head.runner is not None:
            runner = Address(head.runner.instance_id, "runner")
            self._send(runner, PatientRecorded(head.token))

    def _send(self, recipient: Address, message: Message) -> None:
        self._outgoing.append(Outgoing(recipient, message))


def _reset_to_accepted(head: Head) -> Head:
    return attrs.evolve(head, state=PatientState.ACCEPTED, runner=None, token="")
