"""Processor time of each decision per message, by the size that it depends on.

What is measured is the work of a task: it lets the decision handle a message or run its
timers, and asks for the next wake-up time.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Final

import attrs
import msgspec

from ...core.message import Outgoing
from ...machines.messages import (
    CatalogChanged,
    ReplicaRequest,
    ReplicaUsed,
)
from ...machines.routing_messages import CallEnded, CallResult, RouteCall
from ...manifest.changes import EntityChange
from ...manifest.document import manifest_digest, write_manifest
from ...manifest.head import (
    ChangeRecord,
    Head,
    encode_change,
    encode_head,
    format_digest,
)
from ...manifest.model import RequestClass
from ...manifest.revisions import Revisions
from ...store.keys import CONFIG_HEAD
from ...store.kv import KvChanged, KvGet, KvValue
from . import decisions, samples
from .contract_time import CONTRACT_MEASURES, Measure
from .decisions import START_S, ImmediateKvStore, deliver
from .gauge import processor_us, step, tick
from .slope import Point, Slope
from .wire_bytes import heartbeat

FLEETS: Final = (9, 59, 205, 410)
SERVERS: Final = (100, 400, 914)
ASSIGNED_SERVERS: Final = (100, 200, 400)
ENTITIES: Final = (1_000, 4_000, 16_000)
WAITING: Final = (0, 100, 400)


def _membership_heartbeat(members: int) -> float:
    decision = decisions.membership(members)
    message = samples.incoming(heartbeat(0), samples.instance_name(1), "membership")
    return processor_us(lambda n: step(decision, message, START_S + n / 1000))


def _membership_beat(members: int) -> float:
    decision = decisions.membership(members)
    return processor_us(lambda n: tick(decision, START_S + n * 0.5))


def _membership_statements(statements: int) -> float:
    decision = decisions.membership(410)
    message = samples.incoming(heartbeat(statements), samples.instance_name(1))
    return processor_us(lambda n: step(decision, message, START_S + n / 1000))


def _ownership_members(members: int) -> float:
    decision = decisions.ownership(members)
    # One instance leaves and joins in turn.
    changed = [samples.incoming(samples.membership(members - n)) for n in range(2)]
    return processor_us(lambda n: step(decision, changed[n % 2], START_S + n / 1000))


def _ownership_renewal(members: int) -> float:
    decision = decisions.ownership(members)

    def renew(number: int) -> None:
        now = START_S + number / 1000
        step(decision, samples.incoming(decisions.renewal(now)), now)

    return processor_us(renew)


def _revisions_change(entities: int) -> float:
    """Return the time to apply a new head that changes one key."""
    old = samples.manifest(servers=3, models=8, teams=50, keys=entities)
    decision = Revisions(samples.OWN, ("routing",))
    values = [msgspec.json.encode(old.keys[0])]
    other = json.loads(values[0]) | {"hash": "f" * 64}
    values.append(json.dumps(other).encode())
    base = Head(
        revision=1,
        token="t",
        digest=format_digest(manifest_digest(old)),
        change_key="",
        base_revision=1,
        base_parts=("part",),
    )
    batch = deliver(decision, KvChanged(CONFIG_HEAD, encode_head(base), 1))
    reply = KvValue(_request_id(batch), "part", write_manifest(old), 1)
    deliver(decision, reply)
    digests = [base.digest, _changed_digest(old.keys[0].id, values[1], entities)]

    def change(number: int) -> None:
        record = ChangeRecord(
            revision=number + 1,
            previous_key=f"change-{number}",
            changes=(EntityChange("keys", old.keys[0].id, values[number % 2]),),
        )
        head = Head(
            revision=number + 1,
            token="t",
            digest=digests[number % 2],
            change_key=f"change-{number + 1}",
            base_revision=1,
            base_parts=("part",),
        )
        batch = deliver(decision, KvChanged(CONFIG_HEAD, encode_head(head), number + 1))
        key, value = f"change-{number + 1}", encode_change(record)
        deliver(decision, KvValue(_request_id(batch), key, value, 1))

    time_us = processor_us(change)
    assert decision.revision > 1
    return time_us


def _changed_digest(key_id: str, value: bytes, entities: int) -> str:
    old = samples.manifest(servers=3, models=8, teams=50, keys=entities)
    key = attrs.evolve(old.keys[0], hash=json.loads(value)["hash"])
    new = attrs.evolve(old, keys=(key, *old.keys[1:]))
    return format_digest(manifest_digest(new))


def _request_id(batch: list[Outgoing]) -> str:
    return next(o.message.request_id for o in batch if isinstance(o.message, KvGet))


def _reporting_spread(members: int) -> float:
    decision = decisions.reporting(members, 400)
    own_server_id = next(
        o.message.server_id  # type: ignore[attr-defined]
        for o in decision.on_time(START_S + 1)
    )
    number = int(own_server_id.rpartition("-")[2])
    reports = [samples.report(number, 4, running) for running in range(2)]

    def spread(count: int) -> None:
        message = samples.incoming(reports[count % 2])
        assert len(step(decision, message, START_S + count / 1000)) > 1

    return processor_us(spread)


def _reporting_assign(servers: int, members: int) -> float:
    decision = decisions.reporting(members, servers)
    changed = samples.incoming(
        CatalogChanged(samples.catalog(servers=servers, models=10))
    )
    return processor_us(lambda n: step(decision, changed, START_S), repeats=1)


def _routing_report(servers: int) -> float:
    decision = decisions.routing(servers)
    messages = [
        samples.incoming(samples.report(n, decisions.HELD_REPLICAS))
        for n in range(servers)
    ]
    return processor_us(lambda n: step(decision, messages[n % servers], START_S + 1))


def _routing_call(servers: int) -> float:
    decision = decisions.routing(servers)

    def call(number: int) -> None:
        model = f"model-{number % servers:04d}"
        kind = RequestClass.URGENT
        request = RouteCall(f"c{number}", "team-0001", model, kind, 10.0)
        assert step(decision, samples.incoming(request), START_S + 1)
        result = CallEnded(f"c{number}", CallResult.OK)
        step(decision, samples.incoming(result), START_S + 1)

    return processor_us(call)


def _routing_report_waiting(waiting: int) -> float:
    servers = 100
    decision = decisions.routing(servers)
    for number in range(waiting):
        # No server has this model loaded.
        model = f"model-{servers + 3:04d}"
        request = RouteCall(
            f"w{number}", "team-0001", model, RequestClass.PATIENT, 60.0
        )
        step(decision, samples.incoming(request), START_S + 1)
    message = samples.incoming(samples.report(1, 0))
    time_us = processor_us(lambda n: step(decision, message, START_S + 2))
    assert decision.open_call_count == waiting
    return time_us


def _catalog_at_routing(servers: int) -> float:
    decision = decisions.routing(servers)
    changed = samples.incoming(CatalogChanged(decisions.serving_catalog(servers)))
    return processor_us(lambda n: step(decision, changed, START_S + 1))


def _placement_report(servers: int) -> float:
    decision, store = decisions.placement(servers), ImmediateKvStore()

    def report(number: int) -> None:
        now = START_S + 100 + number * 0.5 / servers
        message = samples.incoming(samples.report(number % servers, 0))
        store.answer_requests(decision, step(decision, message, now), now)

    return processor_us(report)


def _placement_review(servers: int) -> float:
    """Return the time of the review that runs each second.

    One target per server is in use.
    """
    decision, store = decisions.placement(servers), ImmediateKvStore()
    start = START_S + 100
    for number in range(servers):
        name = samples.server_name(number)
        used = ReplicaUsed(f"model-{number:04d}", "", name, 3, 1.0, 50.0)
        step(decision, samples.incoming(used, task="routing"), start)

    def review(number: int) -> None:
        now = start + number * 1.01
        store.answer_requests(decision, tick(decision, now), now)

    return processor_us(review, repeats=1)


def _placement_used(servers: int) -> float:
    decision = decisions.placement(servers)

    def use(number: int) -> None:
        now = START_S + 100 + number / 10_000
        server = number % servers
        name = samples.server_name(server)
        used = ReplicaUsed(f"model-{server:04d}", "", name, 3, 1.0, 50.0)
        sender = samples.instance_name(number % 59)
        step(decision, samples.incoming(used, sender, "routing"), now)

    return processor_us(use)


def _placement_request(servers: int) -> float:
    decision = decisions.placement(servers)
    store = ImmediateKvStore()
    now = START_S + 100
    for number in range(servers):
        message = samples.incoming(samples.report(number, 0))
        store.answer_requests(decision, step(decision, message, now), now)

    def request_replica(number: int) -> None:
        model = f"model-{number % servers:04d}"
        request = ReplicaRequest(model, "", RequestClass.URGENT, 30.0, 1)
        sender = samples.instance_name(number % 59)
        batch = step(decision, samples.incoming(request, sender, "routing"), now)
        store.answer_requests(decision, batch, now)

    return processor_us(request_replica, repeats=2)


def _catalog_at_placement(servers: int) -> float:
    decision = decisions.placement(servers)
    changed = samples.incoming(CatalogChanged(decisions.serving_catalog(servers)))
    return processor_us(lambda n: step(decision, changed, START_S + 100), repeats=3)


MEASURES: dict[str, tuple[str, tuple[int, ...], Measure]] = {
    "Membership.heartbeat": ("members", FLEETS, _membership_heartbeat),
    "Membership.beat": ("members", FLEETS, _membership_beat),
    "Membership.outage": ("statements", FLEETS, _membership_statements),
    "Ownership.members": ("members", FLEETS, _ownership_members),
    "Ownership.renewal": ("members", FLEETS, _ownership_renewal),
    "Revisions.change": ("entities", ENTITIES, _revisions_change),
    "Reporting.spread": ("members", FLEETS, _reporting_spread),
    "Reporting.assign_59": (
        "servers",
        ASSIGNED_SERVERS,
        lambda n: _reporting_assign(n, 59),
    ),
    "Reporting.assign_410": (
        "servers",
        ASSIGNED_SERVERS,
        lambda n: _reporting_assign(n, 410),
    ),
    "Routing.report": ("servers", SERVERS, _routing_report),
    "Routing.call": ("servers", SERVERS, _routing_call),
    "Routing.report_waiting": ("waiting calls", WAITING, _routing_report_waiting),
    "Routing.catalog": ("servers", SERVERS, _catalog_at_routing),
    "Placement.report": ("servers", SERVERS, _placement_report),
    "Placement.review": ("servers", SERVERS, _placement_review),
    "Placement.used": ("servers", SERVERS, _placement_used),
    "Placement.need": ("servers", SERVERS, _placement_request),
    "Placement.catalog": ("servers", SERVERS, _catalog_at_placement),
}


def measure() -> Iterator[Slope]:
    """Yield the processor time of each measured kind of work."""
    for name, (unit, sizes, value) in {**MEASURES, **CONTRACT_MEASURES}.items():
        points = [Point(size, value(size)) for size in sizes]
        yield Slope.fit(f"time.{name}", "us", unit, points)
