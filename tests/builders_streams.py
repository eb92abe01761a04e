"""Builds instances with the decision on stream origins, and a simulated store."""

from __future__ import annotations

import heapq
import itertools
from collections import Counter

import attrs

from siskinspool.core.member import Member, MembershipChanged
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.gateway.servers import ServerRecord, ServerRemoved
from siskinspool.gateway.stream_origins import StreamOrigins
from siskinspool.store.kv import (
    KvConflict,
    KvGet,
    KvItem,
    KvList,
    KvListing,
    KvReply,
    KvSwap,
    KvSwapped,
    KvUnavailable,
    KvValue,
)
from siskinspool.store.kv_task import KV_TASK
from siskinspool.streams.stream_messages import (
    STREAMS_TASK,
    FindStreamOrigin,
    StreamBegun,
    StreamOriginFound,
    StreamOriginUnknown,
)

from .builders_gateway import holdings, server

HOP_S = 0.002
SERVICE = "writers"
START_S = 1_000.0


@attrs.define
class SimulatedStore:
    """The keys of the store, with a copy to which it may go back."""

    item_by_key: dict[str, KvItem] = attrs.field(factory=dict)
    is_down: bool = False
    # Nothing is answered.
    is_silent: bool = False
    _revision: int = 0
    _copy: dict[str, KvItem] = attrs.field(factory=dict)

    def copy(self) -> None:
        """Take a copy."""
        self._copy = dict(self.item_by_key)

    def go_back(self) -> None:
        """Lose what was written since the copy; revisions are given out again."""
        self.item_by_key = dict(self._copy)
        revisions = (item.revision for item in self._copy.values())
        self._revision = max(revisions, default=0)

    def answer(self, request: KvGet | KvList | KvSwap) -> KvReply:
        """Carry out a request."""
        key = request.prefix if isinstance(request, KvList) else request.key
        if self.is_down:
            return KvUnavailable(request.request_id, key)
        if isinstance(request, KvList):
            items = [item for name, item in self.item_by_key.items() if key in name]
            return KvListing(request.request_id, key, tuple(items))
        item = self.item_by_key.get(key, KvItem(key, b"", 0))
        if isinstance(request, KvGet):
            value = item.value if item.revision else None
            return KvValue(request.request_id, key, value, item.revision)
        if request.expected_revision != item.revision:
            return KvConflict(request.request_id, key, item.value, item.revision)
        self._revision += 1
        self.item_by_key[key] = KvItem(key, request.value, self._revision)
        return KvSwapped(request.request_id, key, self._revision)


class StreamSite:
    """Instances that exchange messages with a delay, and their store."""

    def __init__(self, instances: int = 3, first_start: bool = True) -> None:
        self.now = START_S
        self.store = SimulatedStore()
        self.names = [f"g{number}" for number in range(instances)]
        self.decision_by_name: dict[str, StreamOrigins] = {}
        self.record_by_id: dict[str, ServerRecord] = {}
        self.sent: Counter[str] = Counter()
        # How often the instances have been woken.
        self.wakes = 0
        self._order = itertools.count()
        self._in_flight: list[tuple[float, int, str, Outgoing]] = []
        self._answers: dict[str, Message] = {}
        self._questions = itertools.count()
        self.start(*self.names, first_start=first_start)
        self.advance(1.0)

    def start(self, *names: str, first_start: bool = False) -> None:
        """Start instances, without memory if they ran before."""
        for name in names:
            self.decision_by_name[name] = StreamOrigins(
                name, first_start, self.now, wall_clock=lambda: self.now
            )
        self._in_flight = [
            entry for entry in self._in_flight if entry[2] not in set(names)
        ]
        members = {name: Member(name, "x", "a", "127.0.0.1", 1) for name in self.names}
        for name in names:
            self.post(name, MembershipChanged(members))
            for record in self.record_by_id.values():
                self.post(name, record)

    def add_server(
        self, server_id: str, version: str, born_s: float = START_S, hidden: str = ""
    ) -> None:
        """Register a server, or let it start again; one instance may not see it."""
        held = holdings("m0", born_ms=int(born_s * 1000))
        record = server(server_id, holdings=held, software_version=version)
        self.record_by_id[server_id] = record
        for name in self.names:
            if name != hidden:
                self.post(name, record)

    def remove_server(self, server_id: str) -> None:
        """Remove a server's entry."""
        del self.record_by_id[server_id]
        self.post_all(ServerRemoved(server_id))

    def post_all(self, message: Message) -> None:
        """Let all instances handle a message."""
        for name in self.names:
            self.post(name, message)

    def post(self, name: str, message: Message, sender: str = "feed") -> None:
        """Let an instance handle a message of one of its own tasks."""
        incoming = Incoming(Address(name, sender), message)
        self._send(name, self.decision_by_name[name].handle(incoming, self.now))

    def begin(self, name: str, request_id: str, server_id: str) -> None:
        """Begin a stream at a server, as the registry shows it."""
        record = self.record_by_id[server_id]
        self.post(
            name,
            StreamBegun(request_id, SERVICE, record.software_version, record.start),
        )

    def find(self, name: str, request_id: str) -> str:
        """Return the version at which a stream may go on; empty if unknown."""
        sender = f"request{next(self._questions)}"
        self.post(name, FindStreamOrigin(request_id, SERVICE), sender)
        started_at = self.now
        while sender not in self._answers:
            assert self.now < started_at + 1.0, "no answer"
            self.advance(0.01)
        answer = self._answers.pop(sender)
        if isinstance(answer, StreamOriginUnknown):
            return ""
        assert isinstance(answer, StreamOriginFound)
        return answer.software_version

    def advance(self, seconds: float) -> None:
        """Deliver what is due until then."""
        until = self.now + seconds
        while True:
            wakes = [
                (max(at, self.now), name)
                for name, decision in self.decision_by_name.items()
                if (at := decision.wake_at()) is not None
            ]
            wake_at, name = min(wakes, default=(until + 1.0, ""))
            deliver_at = self._in_flight[0][0] if self._in_flight else until + 1.0
            if min(wake_at, deliver_at) > until:
                self.now = until
                return
            if deliver_at <= wake_at:
                self.now, _, sender, outgoing = heapq.heappop(self._in_flight)
                self._deliver(sender, outgoing)
            else:
                self.now = wake_at + 0.000_1
                self.wakes += 1
                self._send(name, self.decision_by_name[name].on_time(self.now))

    def _send(self, sender: str, batch: list[Outgoing]) -> None:
        for outgoing in batch:
            self.sent[type(outgoing.message).__name__] += 1
            entry = (self.now + HOP_S, next(self._order), sender, outgoing)
            heapq.heappush(self._in_flight, entry)

    def _deliver(self, sender: str, outgoing: Outgoing) -> None:
        to, message = outgoing.recipient, outgoing.message
        if to.task == KV_TASK:
            assert isinstance(message, KvGet | KvList | KvSwap)
            if self.store.is_silent:
                return
            self.post(sender, self.store.answer(message), KV_TASK)
        elif to.task != STREAMS_TASK:
            self._answers[to.task] = message
        elif to.instance_id in self.decision_by_name:
            incoming = Incoming(Address(sender, STREAMS_TASK), message)
            decision = self.decision_by_name[to.instance_id]
            self._send(to.instance_id, decision.handle(incoming, self.now))
