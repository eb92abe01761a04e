"""Sizes of the messages between instances and of the records that they share.

The sizes are those of the codec's output, without the overhead of the transport's
frames, TCP and IP.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator

import msgspec

from ...contracts.claim_encoding import MsgpackEntryCodec
from ...contracts.claim_log import ClaimRecord, Entry, FinishRecord
from ...contracts.claim_messages import (
    ClaimOutcome,
    ClaimPending,
    ClaimSettled,
    ForwardClaim,
    ForwardRecord,
    InstanceIncarnation,
    RecordSettled,
    StoredAnswer,
)
from ...contracts.share_messages import QuotaAmount, ShareGrant, ShareReport
from ...core.message import Address, Message, Outgoing
from ...links.codec import MsgpackCodec
from ...machines.heartbeat import Heartbeat, member_hash
from ...machines.messages import (
    RampSlots,
    ReplicaPlanned,
    ReplicaRequest,
    ReplicaUsed,
)
from ...machines.neighbours import Neighbours
from ...manifest.changes import EntityChange
from ...manifest.head import ChangeRecord, Head, encode_change, encode_head
from ...manifest.model import RequestClass
from ...manifest.revision_messages import AskChanges, ChangesSince
from ...store.keys import CONFIG_BODY_PREFIX, CONFIG_HEAD
from ...store.session_keeper import encode_session
from . import samples
from .slope import Point, Slope

BATCHES = (1, 16, 64)
FLEETS = (9, 59, 205, 410)
AMOUNT = QuotaAmount(1_234_567, 4_567_890, 3_456_789)
CLAIMANT = InstanceIncarnation(samples.OWN, "0123456789ab")
DIGEST = "0123456789abcdef" * 4
TOKEN = "0123456789abcdef" * 2


def message_bytes(message: Message, task: str = "routing") -> int:
    """Return the encoded size of a message with its envelope."""
    outgoing = Outgoing(Address(samples.instance_name(1), task), message)
    return len(MsgpackCodec().encode(Address(samples.OWN, task), outgoing))


def heartbeat(statements: int) -> Heartbeat:
    """Return a heartbeat with the given number of outage statements."""
    names = (samples.instance_name(number) for number in range(statements))
    ages = {member_hash(name): 20 + index % 20 for index, name in enumerate(names)}
    return Heartbeat(123_456_789, 123_456_700, 250, 20_000, 20_000, 600, outage=ages)


def neighbour_count(members: int) -> float:
    """Return the mean number of heartbeat partners once their choice is stable."""
    by_id = samples.members(members)
    neighbours_by_id = {name: Neighbours(member) for name, member in by_id.items()}
    for neighbours in neighbours_by_id.values():
        neighbours.set_members(by_id)
    partners: dict[str, list[str]] = {}
    for now in (0.0, 0.5, 1.0):
        partners = {
            name: list(neighbours.echo_by_recipient(now))
            for name, neighbours in neighbours_by_id.items()
        }
        for name, recipients in partners.items():
            for recipient in recipients:
                beat = Heartbeat(int(now * 1000) + 1, -1, 0, 1, 1, 0)
                neighbours_by_id[recipient].record_heartbeat(name, beat, now)
    return sum(len(names) for names in partners.values()) / members


def share_report() -> ShareReport:
    """Return the report of a share that is in use."""
    return ShareReport(
        "team-0001",
        CLAIMANT.incarnation,
        123_456,
        12,
        7,
        11,
        3,
        AMOUNT,
        AMOUNT,
        AMOUNT,
        2_345_678,
        0,
    )


def share_grant() -> ShareGrant:
    """Return the grant that answers a share report."""
    return ShareGrant(
        "team-0001", 12, 7, 123_456, AMOUNT, AMOUNT, 1_234_567, 4_567_890, 3600.0
    )


def _forward_claim(number: int) -> ForwardClaim:
    token = f"{number:032x}"
    return ForwardClaim(3, "team-0001", DIGEST, DIGEST, token, CLAIMANT, 9.75)


def _claim_settled() -> ClaimSettled:
    return ClaimSettled(TOKEN, CLAIMANT, ClaimOutcome.GRANTED, None)


def _replica_used() -> ReplicaUsed:
    server = samples.server_name(1)
    return ReplicaUsed("model-0001", "adapter-00001", server, 3, 1.25, 12_345.678)


def _replica_request() -> ReplicaRequest:
    return ReplicaRequest("model-0001", "adapter-00001", RequestClass.URGENT, 9.75, 4)


def _replica_planned() -> ReplicaPlanned:
    return ReplicaPlanned("model-0001", "adapter-00001", samples.server_name(1), 4.5)


def _ramp_slots() -> RampSlots:
    return RampSlots(samples.server_name(1), "boot-0123456789ab", 12, 2, 2.0, 12_345.6)


MESSAGES: dict[str, Callable[[], Message]] = {
    "ShareReport": share_report,
    "ShareGrant": share_grant,
    "NeedReplica": _replica_request,
    "ReplicaPlanned": _replica_planned,
    "ReplicaUsed": _replica_used,
    "RampSlots": _ramp_slots,
    "ForwardClaim": lambda: _forward_claim(7),
    "ClaimPending": lambda: ClaimPending(TOKEN),
    "ClaimSettled": _claim_settled,
    "RecordSettled": lambda: RecordSettled(TOKEN),
    "AskChanges": lambda: AskChanges(20_000),
}


def _changes(count: int) -> tuple[EntityChange, ...]:
    keys = samples.manifest(teams=1, keys=count).keys
    return tuple(EntityChange("keys", key.id, msgspec.json.encode(key)) for key in keys)


def _head(parts: int) -> bytes:
    names = tuple(
        f"{CONFIG_BODY_PREFIX}{19_950:012d}-{TOKEN}-{n}" for n in range(parts)
    )
    key = f"{CONFIG_BODY_PREFIX}{20_000:012d}-{TOKEN}"
    head = Head(
        revision=20_000,
        token=TOKEN,
        digest=TOKEN,
        change_key=key,
        base_revision=19_950,
        base_parts=names,
    )
    return encode_head(head)


def _claim_entry_bytes(claims: int) -> int:
    claimed = tuple(
        ClaimRecord("team-0001", DIGEST, DIGEST, f"{number:032x}", CLAIMANT)
        for number in range(claims)
    )
    return len(MsgpackEntryCodec().encode(Entry(claimed)))


def _finish_entry_bytes(claims: int) -> int:
    answer = StoredAnswer(200, "application/json", b"x" * 200)
    finished = tuple(FinishRecord(f"{number:032x}", answer) for number in range(claims))
    return len(MsgpackEntryCodec().encode(Entry((), (), finished)))


def _watch_event_bytes(value_bytes: int) -> int:
    """Return the size of one event of the gateway's JSON watch."""
    text = "A" * (-(-value_bytes // 3) * 4)
    key = "A" * (-(-len(CONFIG_HEAD) // 3) * 4)
    kv = {"key": key, "mod_revision": "1234567", "create_revision": "7", "value": text}
    header = {"revision": "1234567"}
    line = {"result": {"header": header, "events": [{"type": "PUT", "kv": kv}]}}
    return len(json.dumps(line).encode()) + 1


def _forward_record_bytes(answer_bytes: int) -> int:
    answer = StoredAnswer(200, "application/json", b"x" * answer_bytes)
    return message_bytes(ForwardRecord(3, TOKEN, CLAIMANT, answer), "claims")


def _change_record_bytes(count: int) -> int:
    record = ChangeRecord(
        revision=20_000, previous_key=TOKEN * 2, changes=_changes(count)
    )
    return len(encode_change(record))


def _changes_since_bytes(count: int) -> int:
    return message_bytes(ChangesSince(1, 2, TOKEN, _changes(count), b""), "revisions")


BY_SIZE: tuple[tuple[str, str, tuple[int, ...], Callable[[int], float]], ...] = (
    (
        "bytes.Heartbeat",
        "outage statements",
        (0, 59, 205, 410),
        lambda n: message_bytes(heartbeat(n), "membership"),
    ),
    (
        "bytes.ServerReport",
        "replicas",
        (0, 4, 16, 64),
        lambda n: message_bytes(samples.report(1, n)),
    ),
    ("bytes.ForwardRecord", "answer bytes", (0, 200, 2_000), _forward_record_bytes),
    ("bytes.claim_entry", "claims in the batch", BATCHES, _claim_entry_bytes),
    (
        "bytes.finish_entry",
        "answers of 200 bytes in the batch",
        BATCHES,
        _finish_entry_bytes,
    ),
    ("bytes.change_record", "changed entities", (1, 4, 16), _change_record_bytes),
    ("bytes.ChangesSince", "changed entities", (1, 4, 16), _changes_since_bytes),
    ("bytes.head", "parts of the base", (1, 4, 16), lambda n: len(_head(n))),
    ("bytes.watch_event", "bytes of the value", (150, 600, 2_400), _watch_event_bytes),
)


def measure() -> Iterator[Slope]:
    """Yield the slopes of all sizes and of the number of heartbeat partners."""
    points = [Point(size, neighbour_count(size)) for size in FLEETS]
    note = "3 zones; a line fits badly, since partners are at most 8"
    yield Slope.fit("count.partners", "members", "members", points, note)
    for name, build in MESSAGES.items():
        size = message_bytes(build())
        points = [
            Point(n, sum(message_bytes(build()) for _ in range(n))) for n in BATCHES
        ]
        assert points[0].value == size
        yield Slope.fit(f"bytes.{name}", "bytes", "messages", points)
    for name, unit, sizes, value in BY_SIZE:
        points = [Point(size, float(value(size))) for size in sizes]
        yield Slope.fit(name, "bytes", unit, points)
    points = [
        Point(
            n, float(sum(len(encode_session(samples.member(i), 12)) for i in range(n)))
        )
        for n in BATCHES
    ]
    yield Slope.fit("bytes.session", "bytes", "sessions", points)
