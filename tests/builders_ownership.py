"""A world of instances that compete for partitions through one service.

Every message is a step of its own: requests reach the service in any order, answers
and watch events wait, get lost or come late, processes pause and restart. Clocks of
instances are apart by any amount but advance at the same rate.
"""

from __future__ import annotations

import attrs

from siskinspool.core.message import Message, Outgoing
from siskinspool.machines.messages import (
    Member,
    MembershipChanged,
    OwnershipGained,
    ReleaseOwnership,
)
from siskinspool.machines.ownership import Ownership
from siskinspool.store.keys import OWNER_PREFIX, SESSION_PREFIX, session_key
from siskinspool.store.kv import (
    KvChanged,
    KvConflict,
    KvGet,
    KvLost,
    KvReply,
    KvRequest,
    KvSwap,
    KvSwapped,
    KvUnavailable,
    KvValue,
)
from siskinspool.store.kv_events import SessionGone, SessionRenewed
from siskinspool.store.session_keeper import decode_session, encode_session

from .builders import incoming, member
from .builders_service import MemoryService

PARTITIONS = ("claims/0", "placement/lagos")
TTL_S = 10.0


@attrs.frozen
class Renewal:
    """A renewal under way; `last_sent_at` is the instance's time."""

    sent_at: float
    incarnation: str
    lease_id: int | None


@attrs.define
class PartitionInstance:
    """One instance: its decision and what is under way to and from it."""

    number: int
    offset_s: float
    life: int = 1
    paused: bool = False
    lease_id: int | None = None
    # Events of the log that the watch has shown.
    log_position: int = 0
    requests: list[KvRequest] = attrs.field(factory=list)
    # Requests whose answer was given up, but that may still take effect.
    late: list[KvRequest] = attrs.field(factory=list)
    answers: list[KvReply] = attrs.field(factory=list)
    renewals: list[Renewal] = attrs.field(factory=list)
    renewed: list[Message] = attrs.field(factory=list)
    member_by_id: dict[str, Member] = attrs.field(factory=dict)
    decision: Ownership = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.boot()

    @property
    def name(self) -> str:
        return f"i{self.number}"

    @property
    def member(self) -> Member:
        return attrs.evolve(member(self.name), incarnation=f"{self.name}.{self.life}")

    def boot(self) -> None:
        """Start a new process, which knows nothing."""
        incarnation = self.member.incarnation
        self.decision = Ownership(self.name, incarnation, PARTITIONS, ("watcher",))
        self.late += self.requests
        self.requests, self.answers, self.renewals, self.renewed = [], [], [], []
        self.lease_id, self.log_position, self.member_by_id = None, 0, {}


class OwnershipSimulation:
    """Instances and the service; `time` is the service's time."""

    def __init__(self, nodes: int = 3) -> None:
        self.time = 1000.0
        self.service = MemoryService(lambda: self.time)
        self.nodes = [
            PartitionInstance(number, 77.7 * number) for number in range(nodes)
        ]
        self.epochs: dict[str, int] = {}
        self.gains = 0

    def owners(self, partition: str) -> list[str]:
        """Return the instances that may act as owner now, by their own clocks."""
        return [
            node.name
            for node in self.nodes
            if node.decision.owns(partition, self.time + node.offset_s)
        ]

    def check(self) -> None:
        """Check that no two instances own a partition."""
        for partition in PARTITIONS:
            assert len(self.owners(partition)) <= 1, (partition, self.time)

    def advance(self, seconds: float) -> None:
        self.time += seconds
        self.service.expire()
        for node in self.nodes:
            wake_at = node.decision.wake_at()
            now = self.time + node.offset_s
            if not node.paused and wake_at is not None and wake_at <= now:
                self._process_output(node, node.decision.on_time(now))

    def renew(self, node: PartitionInstance, lost: bool = False) -> None:
        """Carry a renewal there and back."""
        self.send_renewal(node)
        self.process_renewal(node)
        self.deliver_renewal_answer(node, lost)

    def send_renewal(self, node: PartitionInstance) -> None:
        # The session keeper has one call under way at a time.
        if not node.paused and not node.renewals and not node.renewed:
            now = self.time + node.offset_s
            node.renewals.append(Renewal(now, node.member.incarnation, node.lease_id))

    def process_renewal(self, node: PartitionInstance) -> None:
        if node.renewals:
            renewal = node.renewals.pop(0)
            answer: Message | None
            if renewal.lease_id is not None:
                alive = self.service.keep_alive(renewal.lease_id) is not None
                answer = self._renewed(renewal, renewal.lease_id) if alive else None
            else:
                answer = self._open(node, renewal)
            node.renewed.append(answer or SessionGone())

    def deliver_renewal_answer(self, node: PartitionInstance, lost: bool) -> None:
        if node.renewed and not node.paused:
            answer = node.renewed.pop(0)
            if not lost:
                gone = isinstance(answer, SessionGone)
                node.lease_id = None if gone else getattr(answer, "lease_id", None)
                self._deliver(node, answer)

    def process_request(self, node: PartitionInstance, index: int) -> None:
        if node.requests:
            request = node.requests.pop(index % len(node.requests))
            node.answers.append(self._execute(request))

    def process_late_request(self, node: PartitionInstance, index: int) -> None:
        if node.late:
            self._execute(node.late.pop(index % len(node.late)))

    def deliver_answer(self, node: PartitionInstance, index: int, lost: bool) -> None:
        if node.answers and not node.paused:
            answer = node.answers.pop(index % len(node.answers))
            self._deliver(node, KvLost(answer.request_id, "") if lost else answer)

    def abandon_request(self, node: PartitionInstance, index: int, sent: bool) -> None:
        if node.requests and not node.paused:
            request = node.requests.pop(index % len(node.requests))
            if sent:
                node.late.append(request)
                self._deliver(node, KvLost(request.request_id, ""))
            else:
                self._deliver(node, KvUnavailable(request.request_id, ""))

    def deliver_watch_events(self, node: PartitionInstance, count: int) -> None:
        for event in self.service.log[node.log_position :][:count]:
            if node.paused:
                return
            node.log_position += 1
            assert event.key is not None
            if event.key.startswith(OWNER_PREFIX):
                self._deliver(node, KvChanged(event.key, event.value, event.revision))
            else:
                self._show_session(node, event.key, event.value)

    def restart(self, node: PartitionInstance) -> None:
        node.life += 1
        node.paused = False
        node.boot()

    def drain(self, node: PartitionInstance) -> None:
        if not node.paused:
            self._deliver(node, ReleaseOwnership())

    def settle(self, seconds: float, live: list[PartitionInstance]) -> None:
        """Let everything arrive at once for a while, and sessions be renewed."""
        for step in range(int(seconds * 10)):
            for node in live:
                node.paused = False
                if step % 30 == 0 or (node.lease_id is None and step % 10 == 0):
                    self.send_renewal(node)
                while node.renewals or node.renewed:
                    self.process_renewal(node)
                    self.deliver_renewal_answer(node, lost=False)
                self.deliver_watch_events(node, 1_000)
                while node.requests or node.answers:
                    self.process_request(node, 0)
                    self.deliver_answer(node, 0, lost=False)
            self.advance(0.1)
            self.check()

    def _open(self, node: PartitionInstance, renewal: Renewal) -> Message | None:
        key = session_key(node.name)
        item = self.service.get(key)
        if item is not None:
            holder = decode_session(node.name, item.value)
            if holder is None or holder.incarnation != renewal.incarnation:
                return None
        lease = self.service.grant_lease(TTL_S)
        value = encode_session(
            attrs.evolve(node.member, incarnation=renewal.incarnation), lease
        )
        self.service.swap(key, item.revision if item else 0, value, lease)
        return self._renewed(renewal, lease)

    @staticmethod
    def _renewed(renewal: Renewal, lease: int) -> SessionRenewed:
        return SessionRenewed(renewal.incarnation, lease, renewal.sent_at, TTL_S)

    def _execute(self, request: KvRequest) -> KvReply:
        if isinstance(request, KvGet):
            item = self.service.get(request.key)
            value, revision = (item.value, item.revision) if item else (None, 0)
            return KvValue(request.request_id, request.key, value, revision)
        assert isinstance(request, KvSwap)
        result = self.service.swap(
            request.key, request.expected_revision, request.value, None
        )
        if result.succeeded:
            return KvSwapped(request.request_id, request.key, result.revision)
        return KvConflict(
            request.request_id, request.key, result.value, result.revision
        )

    def _show_session(
        self, node: PartitionInstance, key: str, value: bytes | None
    ) -> None:
        name = key[len(SESSION_PREFIX) :]
        node.member_by_id = dict(node.member_by_id)
        shown = decode_session(name, value) if value is not None else None
        if shown is None:
            node.member_by_id.pop(name, None)
        else:
            node.member_by_id[name] = shown
        members = {**node.member_by_id, node.name: node.member}
        self._deliver(node, MembershipChanged(members))

    def _deliver(self, node: PartitionInstance, message: Message) -> None:
        now = self.time + node.offset_s
        self._process_output(node, node.decision.handle(incoming(message), now))

    def _process_output(self, node: PartitionInstance, batch: list[Outgoing]) -> None:
        for outgoing in batch:
            message = outgoing.message
            if isinstance(message, KvRequest):
                node.requests.append(message)
            elif isinstance(message, OwnershipGained):
                self.gains += 1
                assert message.epoch > self.epochs.get(message.partition, 0)
                self.epochs[message.partition] = message.epoch
