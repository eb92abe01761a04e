"""Simulation of instances that compete for partitions through one service.

Every message is delivered in a separate step: requests reach the service in any order,
answers and watch events are delayed or lost, and processes pause and restart. The
clocks of the instances differ by any offset but advance at the same rate.
"""

from __future__ import annotations

import attrs

from siskinspool.core.member import Member, MembershipChanged
from siskinspool.core.message import Message, Outgoing
from siskinspool.machines.messages import OwnershipGained, ReleaseOwnership
from siskinspool.machines.ownership import Ownership
from siskinspool.relay.relay_messages import ReachChanged
from siskinspool.store.keys import OWNER_PREFIX, SESSION_PREFIX, session_key
from siskinspool.store.kv import (
    KvAnswerLost,
    KvChanged,
    KvConflict,
    KvGet,
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
from .builders_kv_service import InMemoryKeyValueService

PLACEMENT = "placement/lagos"
PARTITIONS = ("claims/0", PLACEMENT)
TTL_S = 10.0


@attrs.frozen
class PendingRenewal:
    """A renewal in flight; `sent_at` is the instance's time."""

    sent_at: float
    incarnation: str
    lease_id: int | None


@attrs.define
class PartitionInstance:
    """One instance: its decision and its messages in flight."""

    number: int
    offset_s: float
    process_number: int = 1
    paused: bool = False
    lease_id: int | None = None
    # Number of events of the log that the watch has delivered.
    log_position: int = 0
    requests: list[KvRequest] = attrs.field(factory=list)
    # Requests without an awaited answer that may still take effect.
    unanswered_requests: list[KvRequest] = attrs.field(factory=list)
    answers: list[KvReply] = attrs.field(factory=list)
    renewals: list[PendingRenewal] = attrs.field(factory=list)
    renewal_answers: list[Message] = attrs.field(factory=list)
    member_by_id: dict[str, Member] = attrs.field(factory=dict)
    decision: Ownership = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self.start_process()

    @property
    def name(self) -> str:
        return f"i{self.number}"

    @property
    def member(self) -> Member:
        return attrs.evolve(
            member(self.name), incarnation=f"{self.name}.{self.process_number}"
        )

    def start_process(self) -> None:
        """Start a new process without state."""
        incarnation = self.member.incarnation
        self.decision = Ownership(
            self.name, incarnation, PARTITIONS, ("watcher",), frozenset({PLACEMENT})
        )
        self.unanswered_requests += self.requests
        self.requests, self.answers, self.renewals, self.renewal_answers = (
            [],
            [],
            [],
            [],
        )
        self.lease_id, self.log_position, self.member_by_id = None, 0, {}


class OwnershipSimulation:
    """Instances and the service; `time` is the service's time."""

    def __init__(self, count: int = 3) -> None:
        self.time = 1000.0
        self.service = InMemoryKeyValueService(lambda: self.time)
        self.instances = [
            PartitionInstance(number, 77.7 * number) for number in range(count)
        ]
        self.epochs: dict[str, int] = {}
        self.gain_count = 0

    def owners(self, partition: str) -> list[str]:
        """Return the instances that may act as owner now, by their own clocks."""
        return [
            instance.name
            for instance in self.instances
            if instance.decision.owns(partition, self.time + instance.offset_s)
        ]

    def check(self) -> None:
        """Check that no two instances own a partition."""
        for partition in PARTITIONS:
            assert len(self.owners(partition)) <= 1, (partition, self.time)

    def advance(self, seconds: float) -> None:
        self.time += seconds
        self.service.expire()
        for instance in self.instances:
            wake_at = instance.decision.wake_at()
            now = self.time + instance.offset_s
            if not instance.paused and wake_at is not None and wake_at <= now:
                self._process_output(instance, instance.decision.on_time(now))

    def renew(self, instance: PartitionInstance, lost: bool = False) -> None:
        """Send a renewal and deliver its answer."""
        self.send_renewal(instance)
        self.process_renewal(instance)
        self.deliver_renewal_answer(instance, lost)

    def send_renewal(self, instance: PartitionInstance) -> None:
        # The session keeper has one call in flight at a time.
        if (
            not instance.paused
            and not instance.renewals
            and not instance.renewal_answers
        ):
            now = self.time + instance.offset_s
            instance.renewals.append(
                PendingRenewal(now, instance.member.incarnation, instance.lease_id)
            )

    def process_renewal(self, instance: PartitionInstance) -> None:
        if instance.renewals:
            renewal = instance.renewals.pop(0)
            answer: Message | None
            if renewal.lease_id is not None:
                alive = self.service.keep_alive(renewal.lease_id) is not None
                answer = self._renewed(renewal, renewal.lease_id) if alive else None
            else:
                answer = self._open(instance, renewal)
            instance.renewal_answers.append(answer or SessionGone())

    def deliver_renewal_answer(self, instance: PartitionInstance, lost: bool) -> None:
        if instance.renewal_answers and not instance.paused:
            answer = instance.renewal_answers.pop(0)
            if not lost:
                gone = isinstance(answer, SessionGone)
                instance.lease_id = None if gone else getattr(answer, "lease_id", None)
                self._deliver(instance, answer)

    def process_request(self, instance: PartitionInstance, index: int) -> None:
        if instance.requests:
            request = instance.requests.pop(index % len(instance.requests))
            instance.answers.append(self._execute(request))

    def process_late_request(self, instance: PartitionInstance, index: int) -> None:
        if instance.unanswered_requests:
            self._execute(
                instance.unanswered_requests.pop(
                    index % len(instance.unanswered_requests)
                )
            )

    def deliver_answer(
        self, instance: PartitionInstance, index: int, lost: bool
    ) -> None:
        if instance.answers and not instance.paused:
            answer = instance.answers.pop(index % len(instance.answers))
            self._deliver(
                instance, KvAnswerLost(answer.request_id, "") if lost else answer
            )

    def abandon_request(
        self, instance: PartitionInstance, index: int, sent: bool
    ) -> None:
        if instance.requests and not instance.paused:
            request = instance.requests.pop(index % len(instance.requests))
            if sent:
                instance.unanswered_requests.append(request)
                self._deliver(instance, KvAnswerLost(request.request_id, ""))
            else:
                self._deliver(instance, KvUnavailable(request.request_id, ""))

    def deliver_watch_events(self, instance: PartitionInstance, count: int) -> None:
        for event in self.service.log[instance.log_position :][:count]:
            if instance.paused:
                return
            instance.log_position += 1
            assert event.key is not None
            if event.key.startswith(OWNER_PREFIX):
                self._deliver(
                    instance, KvChanged(event.key, event.value, event.revision)
                )
            else:
                self._show_session(instance, event.key, event.value)

    def restart(self, instance: PartitionInstance) -> None:
        instance.process_number += 1
        instance.paused = False
        instance.start_process()

    def drain(self, instance: PartitionInstance) -> None:
        if not instance.paused:
            self._deliver(instance, ReleaseOwnership())

    def change_reach(self, instance: PartitionInstance, is_cut_off: bool) -> None:
        """Tell an instance that it has lost its paths to servers, or has them again."""
        if not instance.paused:
            self._deliver(instance, ReachChanged(is_cut_off))

    def settle(self, seconds: float, live: list[PartitionInstance]) -> None:
        """Deliver all messages at once and renew sessions for a while."""
        for step in range(int(seconds * 10)):
            for instance in live:
                instance.paused = False
                if step % 30 == 0 or (instance.lease_id is None and step % 10 == 0):
                    self.send_renewal(instance)
                while instance.renewals or instance.renewal_answers:
                    self.process_renewal(instance)
                    self.deliver_renewal_answer(instance, lost=False)
                self.deliver_watch_events(instance, 1_000)
                while instance.requests or instance.answers:
                    self.process_request(instance, 0)
                    self.deliver_answer(instance, 0, lost=False)
            self.advance(0.1)
            self.check()

    def _open(
        self, instance: PartitionInstance, renewal: PendingRenewal
    ) -> Message | None:
        key = session_key(instance.name)
        item = self.service.get(key)
        if item is not None:
            holder = decode_session(instance.name, item.value)
            if holder is None or holder.incarnation != renewal.incarnation:
                return None
        lease = self.service.grant_lease(TTL_S).lease_id
        value = encode_session(
            attrs.evolve(instance.member, incarnation=renewal.incarnation), lease
        )
        self.service.swap(key, item.revision if item else 0, value, lease)
        return self._renewed(renewal, lease)

    @staticmethod
    def _renewed(renewal: PendingRenewal, lease: int) -> SessionRenewed:
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
        self, instance: PartitionInstance, key: str, value: bytes | None
    ) -> None:
        name = key[len(SESSION_PREFIX) :]
        instance.member_by_id = dict(instance.member_by_id)
        shown = decode_session(name, value) if value is not None else None
        if shown is None:
            instance.member_by_id.pop(name, None)
        else:
            instance.member_by_id[name] = shown
        members = {**instance.member_by_id, instance.name: instance.member}
        self._deliver(instance, MembershipChanged(members))

    def _deliver(self, instance: PartitionInstance, message: Message) -> None:
        now = self.time + instance.offset_s
        self._process_output(instance, instance.decision.handle(incoming(message), now))

    def _process_output(
        self, instance: PartitionInstance, batch: list[Outgoing]
    ) -> None:
        for outgoing in batch:
            message = outgoing.message
            if isinstance(message, KvRequest):
                instance.requests.append(message)
            elif isinstance(message, OwnershipGained):
                self.gain_count += 1
                assert message.epoch > self.epochs.get(message.partition, 0)
                self.epochs[message.partition] = message.epoch
