"""Simulation of a fleet of membership decisions with failing links and service.

The simulation also records when each revision was accepted. An instance violates R4 if
it counts as current without the accepted revision for longer than the limit.
"""

from __future__ import annotations

import random

import attrs

from siskinspool.core.member import Member
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.machines.heartbeat import Heartbeat
from siskinspool.machines.membership import Membership, MembershipSubscribers
from siskinspool.machines.messages import (
    CatalogChanged,
    FreshnessChanged,
    PeerRevisionSeen,
)
from siskinspool.store.keys import CONFIG_HEAD, session_key
from siskinspool.store.kv import KvChanged
from siskinspool.store.kv_events import KvReachability, ProbeHead
from siskinspool.store.session_keeper import encode_session

from .builders import catalog

WATCHERS = MembershipSubscribers(members=(), freshness=("gate",), leaving=("gate",))
PROBE_TIMEOUT_S = 1.0


@attrs.define
class SimulatedInstance:
    """One instance of the fleet."""

    member: Member
    offset_s: float
    decision: Membership
    freshness: FreshnessChanged = attrs.field(
        factory=lambda: FreshnessChanged(False, False, 0.0)
    )
    # Whether the instance cannot reach the service.
    is_cut_off: bool = False
    is_paused: bool = False
    revision: int = 0
    inbox: list[Incoming] = attrs.field(factory=list)
    sent_bytes: int = 0
    heard_revisions: list[PeerRevisionSeen] = attrs.field(factory=list)


class FleetSimulation:
    """Instances, links with delays, and the service with its accepted revision."""

    def __init__(self, count: int, seed: int = 1, zones: int = 3) -> None:
        self.time = 500.0
        self.delay_s = 0.002
        self.is_service_down = False
        self.revision = 1
        self.accepted_at = self.time
        self.blocked_links: set[tuple[str, str]] = set()
        self.probes = 0
        self._rng = random.Random(seed)
        self._in_flight: list[tuple[float, str, Incoming]] = []
        self.instance_by_name: dict[str, SimulatedInstance] = {}
        for number in range(count):
            name = f"i{number:03d}"
            one = Member(name, f"{name}.1", f"z{number % zones}", "127.0.0.1", 1)
            offset_s = self._rng.uniform(0, 1e5)
            self.instance_by_name[name] = SimulatedInstance(
                one, offset_s, Membership(one, WATCHERS)
            )
        for instance in self.instance_by_name.values():
            for other in self.instance_by_name.values():
                name = other.member.instance_id
                value = encode_session(other.member, 1)
                self.deliver(instance, KvChanged(session_key(name), value, 1))
            self.apply(instance)

    @property
    def instances(self) -> list[SimulatedInstance]:
        return list(self.instance_by_name.values())

    def is_current(self, instance: SimulatedInstance) -> bool:
        """Return whether a request handler would accept requests now."""
        now = self.time + instance.offset_s
        return instance.freshness.is_fresh and now < instance.freshness.fresh_until

    def accept_revision(self) -> None:
        """Accept a new configuration if the service answers."""
        if not self.is_service_down:
            self.revision += 1
            self.accepted_at = self.time

    def apply(self, instance: SimulatedInstance) -> None:
        """Apply the newest revision at an instance."""
        instance.revision = self.revision
        self.deliver(instance, CatalogChanged(catalog(revision=self.revision)))

    def check(self) -> None:
        """Check that no instance is current that missed a revision for over 4 s."""
        for instance in self.instances:
            missing = instance.revision < self.revision
            if missing and self.time - self.accepted_at > 4.0 + 1e-6:
                assert not self.is_current(instance), instance.member.instance_id

    def run(self, seconds: float, step_s: float = 0.05) -> None:
        """Advance the time in steps and check each."""
        for _ in range(round(seconds / step_s)):
            self.advance(step_s)
            self.check()

    def advance(self, seconds: float) -> None:
        self.time += seconds
        due = [one for one in self._in_flight if one[0] <= self.time]
        self._in_flight = [one for one in self._in_flight if one[0] > self.time]
        for _, name, message in due:
            self.instance_by_name[name].inbox.append(message)
        for instance in self.instances:
            if instance.is_paused:
                continue
            inbox, instance.inbox = instance.inbox, []
            for message in inbox:
                self._handle(instance, message)
            wake_at = instance.decision.wake_at()
            now = self.time + instance.offset_s
            if wake_at is not None and wake_at <= now:
                self._process_output(instance, instance.decision.on_time(now))

    def deliver(self, instance: SimulatedInstance, message: Message) -> None:
        own = Address(instance.member.instance_id, "test")
        self._handle(instance, Incoming(own, message))

    def _handle(self, instance: SimulatedInstance, message: Incoming) -> None:
        now = self.time + instance.offset_s
        self._process_output(instance, instance.decision.handle(message, now))

    def _process_output(
        self, instance: SimulatedInstance, batch: list[Outgoing]
    ) -> None:
        for outgoing in batch:
            match outgoing.message:
                case Heartbeat():
                    self._send_heartbeat(instance, outgoing)
                case ProbeHead():
                    self._probe(instance)
                case FreshnessChanged() as freshness:
                    instance.freshness = freshness
                case PeerRevisionSeen() as revision_seen:
                    instance.heard_revisions.append(revision_seen)
                case _:
                    pass

    def _send_heartbeat(self, instance: SimulatedInstance, outgoing: Outgoing) -> None:
        source, target = instance.member.instance_id, outgoing.recipient.instance_id
        if (source, target) not in self.blocked_links:
            sender = Address(source, "membership")
            arrives_at = self.time + self.delay_s
            message = Incoming(sender, outgoing.message)
            self._in_flight.append((arrives_at, target, message))

    def _probe(self, instance: SimulatedInstance) -> None:
        self.probes += 1
        own = Address(instance.member.instance_id, "kv")
        at = self.time + instance.offset_s
        answers: list[Message] = [KvReachability(False, at)]
        arrives_at = self.time + PROBE_TIMEOUT_S
        if not self.is_service_down and not instance.is_cut_off:
            head = b'{"revision":%d}' % self.revision
            changed = KvChanged(CONFIG_HEAD, head, self.revision)
            answers = [changed, KvReachability(True, at, head_read=True)]
            arrives_at = self.time + 0.002
        for answer in answers:
            self._in_flight.append(
                (arrives_at, instance.member.instance_id, Incoming(own, answer))
            )
