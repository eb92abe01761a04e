"""Builders of test data for routing, and a harness that drives one `Routing`."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

import attrs

from siskinspool.contracts.fair_queue import FairQueue
from siskinspool.core.member import MembershipChanged
from siskinspool.core.message import Message, Outgoing
from siskinspool.machines.candidate import Candidate, CandidateChooser
from siskinspool.machines.messages import (
    CatalogChanged,
    LeavingChanged,
    OwnersChanged,
    RampSlots,
    ReplicaState,
    ReportedReplica,
    ServerReport,
)
from siskinspool.machines.routing import Routing
from siskinspool.machines.routing_messages import (
    CallDispatched,
    CallRefused,
    RouteCall,
)
from siskinspool.manifest.model import (
    Catalog,
    RequestClass,
    Route,
    Service,
    Zone,
    ZoneState,
)
from tests import builders

SERVERS = (
    builders.server("s1", zone="a", capacity=4),
    builders.server("s2", zone="a", capacity=4),
    builders.server("s3", zone="b", capacity=4),
)
SERVICES = (
    Service(id="v1", zone="a", host="127.0.0.1", port=2, capacity=2),
    Service(id="v2", zone="b", host="127.0.0.1", port=3, capacity=2),
)


def catalog(
    closed: frozenset[str] = frozenset(),
    models: tuple[str, ...] = ("m1",),
    revision: int = 1,
) -> Catalog:
    """Return models, an adapter `a1`, and the route `r1` with two services."""
    base = builders.catalog(
        servers=SERVERS,
        models=tuple(builders.model(model_id) for model_id in models),
        adapters=(builders.adapter("a1"),),
        teams=(builders.team("t1"), builders.team("t2")),
    )
    zones = tuple(
        Zone(id=zone, state=ZoneState.CLOSED if zone in closed else ZoneState.OPEN)
        for zone in ("a", "b", "c")
    )
    manifest = attrs.evolve(
        base.manifest,
        zones=zones,
        services=SERVICES,
        routes=(Route(id="r1", path="/r1", services=("v1", "v2")),),
    )
    return Catalog.from_manifest(revision, manifest)


def report(
    server_id: str = "s1",
    boot_id: str = "b1",
    running: int = 0,
    held: tuple[str, ...] = ("m1",),
    age_s: float = 0.0,
    capacity: int = 4,
) -> ServerReport:
    """Return a report with loaded replicas; `a1` is the adapter on `m1`."""
    replicas = tuple(
        ReportedReplica(
            f"{server_id}-{target}",
            "m1" if target == "a1" else target,
            "a1" if target == "a1" else "",
            ReplicaState.LOADED,
        )
        for target in held
    )
    return ServerReport(
        server_id, boot_id, capacity, running, 0, 1000, 0, replicas, age_s=age_s
    )


def slots(
    server_id: str = "s1",
    count: int | None = None,
    boot_id: str = "b1",
    epoch: int = 1,
    ttl_s: float = 10.0,
) -> RampSlots:
    """Return a ramp lease; by default the end of the ramp."""
    return RampSlots(server_id, boot_id, epoch, count, ttl_s)


def call(
    call_id: str = "c1",
    target: str = "m1",
    deadline_in_s: float = 10.0,
    urgent: bool = True,
    team: str = "t1",
    prefix: tuple[int, ...] = (),
    idempotent: bool = True,
    excluded: frozenset[str] = frozenset(),
) -> RouteCall:
    """Return a request for a server."""
    kind = RequestClass.URGENT if urgent else RequestClass.PATIENT
    return RouteCall(
        call_id, team, target, kind, deadline_in_s, prefix, idempotent, excluded
    )


def leaving(*server_ids: str) -> LeavingChanged:
    """Return a change of the leaving servers."""
    return LeavingChanged(frozenset(server_ids), frozenset())


def members(count: int) -> MembershipChanged:
    """Return a membership of a number of live instances."""
    names = [f"i{number}" for number in range(1, count + 1)]
    return MembershipChanged({name: builders.member(name) for name in names})


OWNERS = OwnersChanged({"placement/lagos": "i9"})


class RandomChooser(CandidateChooser):
    """Chooses at random; a baseline for the choice among two candidates."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        return self._rng.choice(candidates) if candidates else None


class LowestLoadChooser(CandidateChooser):
    """Chooses the lowest load, so that all instances choose the same server."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, candidates: Sequence[Candidate]) -> Candidate | None:
        return min(candidates, key=lambda candidate: candidate.score, default=None)


class RoutingHarness:
    """Drives one `Routing` with simulated time and keeps the messages it sent."""

    def __init__(
        self,
        seed: int = 1,
        configured: bool = True,
        chooser: CandidateChooser | None = None,
    ) -> None:
        self.routing = Routing(
            "i1", "a", lambda: FairQueue(10_000), random.Random(seed), chooser
        )
        self.now = 100.0
        self.sent: list[Outgoing] = []
        # Called with each message when it is sent.
        self.observe: Callable[[Message], None] = lambda message: None
        if configured:
            self.send(CatalogChanged(catalog()), OWNERS)

    def send(self, *messages: Message) -> list[Message]:
        """Deliver messages and return the messages sent in response."""
        answers: list[Message] = []
        for message in messages:
            incoming = builders.incoming(message)
            answers += self._record(self.routing.handle(incoming, self.now))
        return answers

    def make_ready(self, *server_ids: str, held: tuple[str, ...] = ("m1",)) -> None:
        """Report servers as idle with replicas and end their ramp."""
        for server_id in server_ids:
            self.send(report(server_id, held=held), slots(server_id))

    def advance(self, duration_s: float) -> list[Message]:
        """Advance the time and run the decision at each wake-up time."""
        end = self.now + duration_s
        answers: list[Message] = []
        while (at := self.routing.wake_at()) is not None and at <= end:
            # A wake-up time that does not advance would be a busy loop in production.
            self.now = max(self.now, at)
            answers += self._record(self.routing.on_time(self.now))
            again = self.routing.wake_at()
            assert again is None or again > self.now
        self.now = end
        return answers

    def dispatched(self) -> dict[str, CallDispatched]:
        """Return the calls dispatched so far."""
        found = (out.message for out in self.sent)
        return {m.call_id: m for m in found if isinstance(m, CallDispatched)}

    def refused(self) -> dict[str, CallRefused]:
        """Return the calls refused so far."""
        found = (out.message for out in self.sent)
        return {m.call_id: m for m in found if isinstance(m, CallRefused)}

    def _record(self, batch: list[Outgoing]) -> list[Message]:
        self.sent += batch
        for outgoing in batch:
            self.observe(outgoing.message)
        return [outgoing.message for outgoing in batch]
