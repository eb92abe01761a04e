"""A fleet of membership decisions whose links and service can be cut.

The world keeps, besides the decisions, when each revision was accepted. An instance
that is current without the accepted revision for more than the limit breaks R4.
"""

from __future__ import annotations

import random

import attrs

from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.machines.heartbeat import Heartbeat
from siskinspool.machines.membership import Membership, MembershipSubscribers
from siskinspool.machines.messages import (
    CatalogChanged,
    FreshnessChanged,
    Member,
    PeerRevisionSeen,
)
from siskinspool.store.keys import CONFIG_HEAD, session_key
from siskinspool.store.kv import KvChanged
from siskinspool.store.kv_events import KvReachable, ProbeHead
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
    currency: FreshnessChanged = attrs.field(
        factory=lambda: FreshnessChanged(False, False, 0.0)
    )
    # Cut from the service.
    is_cut_off: bool = False
    paused: bool = False
    revision: int = 0
    inbox: list[Incoming] = attrs.field(factory=list)
    sent_bytes: int = 0
    heard_revisions: list[PeerRevisionSeen] = attrs.field(factory=list)


class Fleet:
    """Stations, links with delays, and the service with its accepted revision."""

    def __init__(self, count: int, seed: int = 1, zones: int = 3) -> None:
        self.time = 500.0
        self.delay_s = 0.002
        self.down = False
        self.revision = 1
        self.accepted_at = self.time
        self.blocked: set[tuple[str, str]] = set()
        self.probes = 0
        self._choose = random.Random(seed)
        self._under_way: list[tuple[float, str, Incoming]] = []
        self.station_by_name: dict[str, SimulatedInstance] = {}
        for number in range(count):
            name = f"i{number:03d}"
            one = Member(name, f"{name}.1", f"z{number % zones}", "127.0.0.1", 1)
            offset_s = self._choose.uniform(0, 1e5)
            self.station_by_name[name] = SimulatedInstance(
                one, offset_s, Membership(one, WATCHERS)
            )
        for station in self.station_by_name.values():
            for other in self.station_by_name.values():
                name = other.member.instance_id
                value = encode_session(other.member, 1)
                self.tell(station, KvChanged(session_key(name), value, 1))
            self.apply(station)

    @property
    def stations(self) -> list[SimulatedInstance]:
        return list(self.station_by_name.values())

    def is_current(self, station: SimulatedInstance) -> bool:
        """Return what a request handler would find now."""
        now = self.time + station.offset_s
        return station.currency.is_fresh and now < station.currency.fresh_until

    def accept_revision(self) -> None:
        """Let the operators change the configuration, if the service answers."""
        if not self.down:
            self.revision += 1
            self.accepted_at = self.time

    def apply(self, station: SimulatedInstance) -> None:
        """Put the newest revision in force at an instance."""
        station.revision = self.revision
        self.tell(station, CatalogChanged(catalog(revision=self.revision)))

    def check(self) -> None:
        """Check that nobody is current that missed a revision for over 4 s."""
        for station in self.stations:
            missing = station.revision < self.revision
            if missing and self.time - self.accepted_at > 4.0 + 1e-6:
                assert not self.is_current(station), station.member.instance_id

    def run(self, seconds: float, step_s: float = 0.05) -> None:
        """Let time pass, with checks."""
        for _ in range(round(seconds / step_s)):
            self.advance(step_s)
            self.check()

    def advance(self, seconds: float) -> None:
        self.time += seconds
        due = [one for one in self._under_way if one[0] <= self.time]
        self._under_way = [one for one in self._under_way if one[0] > self.time]
        for _, name, message in due:
            self.station_by_name[name].inbox.append(message)
        for station in self.stations:
            if station.paused:
                continue
            inbox, station.inbox = station.inbox, []
            for message in inbox:
                self._handle(station, message)
            wake_at = station.decision.wake_at()
            now = self.time + station.offset_s
            if wake_at is not None and wake_at <= now:
                self._take(station, station.decision.on_time(now))

    def tell(self, station: SimulatedInstance, message: Message) -> None:
        own = Address(station.member.instance_id, "test")
        self._handle(station, Incoming(own, message))

    def _handle(self, station: SimulatedInstance, message: Incoming) -> None:
        now = self.time + station.offset_s
        self._take(station, station.decision.handle(message, now))

    def _take(self, station: SimulatedInstance, batch: list[Outgoing]) -> None:
        for outgoing in batch:
            match outgoing.message:
                case Heartbeat():
                    self._carry(station, outgoing)
                case ProbeHead():
                    self._probe(station)
                case FreshnessChanged() as currency:
                    station.currency = currency
                case PeerRevisionSeen() as heard:
                    station.heard_revisions.append(heard)
                case _:
                    pass

    def _carry(self, station: SimulatedInstance, outgoing: Outgoing) -> None:
        source, target = station.member.instance_id, outgoing.recipient.instance_id
        if (source, target) not in self.blocked:
            sender = Address(source, "membership")
            arrives_at = self.time + self.delay_s
            message = Incoming(sender, outgoing.message)
            self._under_way.append((arrives_at, target, message))

    def _probe(self, station: SimulatedInstance) -> None:
        self.probes += 1
        own = Address(station.member.instance_id, "kv")
        at = self.time + station.offset_s
        answers: list[Message] = [KvReachable(False, at)]
        arrives_at = self.time + PROBE_TIMEOUT_S
        if not self.down and not station.is_cut_off:
            head = b'{"revision":%d}' % self.revision
            changed = KvChanged(CONFIG_HEAD, head, self.revision)
            answers = [changed, KvReachable(True, at, head_read=True)]
            arrives_at = self.time + 0.002
        for answer in answers:
            self._under_way.append(
                (arrives_at, station.member.instance_id, Incoming(own, answer))
            )
