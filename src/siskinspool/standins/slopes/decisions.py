"""Builds decisions in a steady state of a given size, without tasks or sockets."""

from __future__ import annotations

import random

from ...contracts.claim_encoding import MsgpackEntryCodec
from ...contracts.claim_log import ClaimRecord, Entry
from ...contracts.claim_messages import ClaimCall, InstanceIncarnation
from ...contracts.claims import Claims
from ...contracts.fair_queue import FairQueue
from ...contracts.limits_partition import limits_partition
from ...contracts.patient import PatientQueue
from ...contracts.patient_encoding import MsgpackHeadCodec
from ...contracts.patient_messages import SubmitPatient
from ...contracts.patient_record import Head
from ...contracts.quota_allocator import QuotaAllocator
from ...contracts.team_limits import TeamLimits
from ...core.decision import Decision
from ...core.message import Incoming, Message, Outgoing
from ...entry import partition_names
from ...machines.membership import Membership, MembershipSubscribers
from ...machines.messages import (
    CatalogChanged,
    OwnersChanged,
    OwnershipGained,
    RampSlots,
)
from ...machines.ownership import Ownership
from ...machines.ownership_records import OwnerRecord, encode_record
from ...machines.placement import Placement
from ...machines.record_encoding import JsonRecordEncoding
from ...machines.reporting import Reporting
from ...machines.routing import Routing
from ...manifest.model import Catalog
from ...store.keys import CLAIMS_PREFIX, PATIENT_PREFIX, owner_key, session_key
from ...store.kv import (
    KvChanged,
    KvGet,
    KvItem,
    KvList,
    KvListing,
    KvReply,
    KvRequest,
    KvSwap,
    KvSwapped,
    KvValue,
)
from ...store.kv_events import SessionRenewed
from ...store.session_keeper import encode_session
from . import samples

START_S = 1_000.0
PLACEMENT = f"placement/{samples.SITE}"
INCARNATION = "0123456789ab"
OWN = InstanceIncarnation(samples.OWN, INCARNATION)
HELD_REPLICAS = 4


class ImmediateKvStore:
    """Answers the requests of a decision to the key-value service immediately."""

    def __init__(self, items: tuple[KvItem, ...] = ()) -> None:
        self.revision = 1
        self.calls = 0
        self._items = items

    def answer_requests(
        self, decision: Decision, batch: list[Outgoing], now: float
    ) -> None:
        """Answer the requests of a batch and those that follow, until none is left."""
        while batch:
            requests = [o.message for o in batch if isinstance(o.message, KvRequest)]
            batch = []
            for request in requests:
                batch += decision.handle(samples.incoming(self._answer(request)), now)

    def _answer(self, request: KvRequest) -> KvReply:
        self.calls += 1
        match request:
            case KvList(request_id, prefix):
                found = tuple(i for i in self._items if i.key.startswith(prefix))
                return KvListing(request_id, prefix, found)
            case KvGet(request_id, key):
                return KvValue(request_id, key, None, 0)
            case KvSwap() as swap:
                self.revision += 1
                return KvSwapped(swap.request_id, swap.key, self.revision)
            case _:
                raise NotImplementedError(type(request).__name__)


def deliver(
    decision: Decision, message: Message, now: float = START_S
) -> list[Outgoing]:
    """Let a decision handle a message from its own instance."""
    return decision.handle(samples.incoming(message), now)


def renewal(now: float) -> SessionRenewed:
    """Return the event of a renewed session of the own instance."""
    return SessionRenewed(INCARNATION, 7, now, 15.0)


def membership(members: int) -> Membership:
    """Return a membership that knows the sessions of all members."""
    subscribers = MembershipSubscribers(freshness=("frontend",), leaving=("routing",))
    decision = Membership(samples.member(0), subscribers)
    for name, member in samples.members(members).items():
        deliver(decision, KvChanged(session_key(name), encode_session(member, 7), 1))
    return decision


def ownership(members: int) -> Ownership:
    """Return the ownership of an instance that owns no partition."""
    names = partition_names(samples.SITE)
    decision = Ownership(samples.OWN, INCARNATION, names, ("routing",))
    deliver(decision, samples.membership(members))
    owner = samples.member(1)
    for number, name in enumerate(names):
        record = OwnerRecord(owner.instance_id, owner.incarnation, 3, "token")
        change = KvChanged(owner_key(name), encode_record(record), number + 1)
        deliver(decision, change)
    deliver(decision, renewal(START_S))
    return decision


def reporting(members: int, servers: int) -> Reporting:
    """Return a reporting decision whose servers are assigned."""
    decision = Reporting(samples.OWN, samples.SITE)
    deliver(decision, samples.membership(members))
    deliver(decision, CatalogChanged(samples.catalog(servers=servers, models=10)))
    deliver(decision, OwnersChanged({PLACEMENT: samples.instance_name(1)}))
    return decision


def serving_catalog(servers: int) -> Catalog:
    """Return a catalog of servers, a model for each of them, and some teams."""
    return samples.catalog(servers=servers, models=servers + HELD_REPLICAS, teams=50)


def routing(servers: int) -> Routing:
    """Return a routing that has a report of every server; no server is ramping."""
    decision = Routing(
        samples.OWN, samples.ZONES[0], lambda: FairQueue(2_000), random.Random(1)
    )
    deliver(decision, CatalogChanged(serving_catalog(servers)))
    # With few instances, each has slots on every server, so that calls find a server.
    deliver(decision, samples.membership(3))
    deliver(decision, OwnersChanged({PLACEMENT: samples.instance_name(1)}))
    for number in range(servers):
        report = samples.report(number, HELD_REPLICAS, running=0)
        deliver(decision, report)
        deliver(decision, RampSlots(report.server_id, report.boot_id, 1, None, 2.0))
    return decision


def placement(servers: int) -> Placement:
    """Return the placement of an owner that has written all records again."""
    decision = Placement(samples.OWN, INCARNATION, samples.SITE, JsonRecordEncoding())
    deliver(decision, CatalogChanged(serving_catalog(servers)))
    deliver(decision, samples.membership(59))
    store = ImmediateKvStore()
    store.answer_requests(
        decision, deliver(decision, OwnershipGained(PLACEMENT, 1)), START_S
    )
    store.answer_requests(decision, decision.on_time(START_S), START_S)
    for number in range(servers):
        store.answer_requests(
            decision, deliver(decision, samples.report(number, 0)), START_S
        )
    # All ramps end within these 6 s.
    for tenths in range(1, 61):
        now = START_S + tenths
        store.answer_requests(decision, decision.on_time(now), now)
    return decision


def limits_owners() -> OwnersChanged:
    """Return the owners of the quota allocator's partitions."""
    owner = samples.instance_name(1)
    return OwnersChanged({f"limits/{number}": owner for number in range(16)})


def team_limits(teams: int) -> TeamLimits:
    """Return the limits of an instance before any request."""
    decision = TeamLimits(samples.OWN, INCARNATION, START_S)
    deliver(decision, CatalogChanged(samples.catalog(teams=teams)))
    deliver(decision, limits_owners())
    deliver(decision, samples.membership(59))
    return decision


def quota_allocator(teams: int, members: int) -> QuotaAllocator:
    """Return the allocator of an owner of the partitions of all teams."""
    decision = QuotaAllocator()
    deliver(decision, renewal(START_S))
    deliver(decision, CatalogChanged(samples.catalog(teams=teams)))
    deliver(decision, samples.membership(members))
    names = {limits_partition(f"team-{number:04d}") for number in range(teams)}
    for name in sorted(names):
        deliver(decision, OwnershipGained(name, 1))
    return decision


def claims(kept: int) -> Claims:
    """Return the claims of the owner of one shard with claims in its log."""
    codec = MsgpackEntryCodec()
    claimed = (
        ClaimRecord("team-0001", f"{number:064x}", "0" * 64, f"{number:032x}", OWN)
        for number in range(kept)
    )
    entries = (codec.encode(Entry((one,))) for one in claimed)
    items = tuple(
        KvItem(f"{CLAIMS_PREFIX}0/{seq:012d}", value, seq)
        for seq, value in enumerate(entries, 1)
    )
    decision = Claims(OWN, codec, shards=1)
    deliver(decision, samples.membership(59))
    deliver(decision, OwnershipGained("claims/0", 1))
    claim_batch(decision, ImmediateKvStore(items), 1, START_S)
    return decision


def claim_batch(
    decision: Claims, store: ImmediateKvStore, size: int, now: float
) -> None:
    """Claim the given number of new keys, which are written as one log entry."""
    batch: list[Outgoing] = []
    for number in range(size):
        batch += decision.handle(_claim(number, now), now)
    store.answer_requests(decision, batch, now)
    batch = decision.on_time(now + 0.004)
    store.answer_requests(decision, batch, now + 0.004)


def _claim(number: int, now: float) -> Incoming:
    token = f"{now:.6f}-{number}"
    call = ClaimCall("team-0001", f"{token:>064}", "0" * 64, token, 10.0)
    return samples.incoming(call, task=f"reply:{number}")


def submission(number: int) -> SubmitPatient:
    """Return a patient request."""
    return SubmitPatient(
        f"{number:032x}",
        "team-0001",
        "POST",
        "/v1/chat/completions",
        "",
        (("content-type", "application/json"),),
        b"x" * 500,
        True,
        80_000.0,
    )


def patient_queue(waiting: int) -> PatientQueue:
    """Return the queue of the owner of one shard without members that run requests."""
    codec = MsgpackHeadCodec()
    items = tuple(
        KvItem(
            f"{PATIENT_PREFIX}0/{number:032x}",
            codec.encode(Head(submission(number))),
            number + 1,
        )
        for number in range(waiting)
    )
    decision = PatientQueue(OWN, codec, shards=1)
    deliver(decision, samples.membership(0))
    deliver(decision, CatalogChanged(samples.catalog(teams=2)))
    ImmediateKvStore(items).answer_requests(
        decision, deliver(decision, OwnershipGained("patient/0", 1)), START_S
    )
    return decision
