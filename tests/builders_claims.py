"""Builders for tests of claims and patient requests.

`KvModel` is an in-memory key-value service whose answers can be lost. `Simulation` runs
decisions step by step: the test decides when each message and request is delivered.
"""

from __future__ import annotations

from enum import StrEnum

import attrs

from siskinspool.contracts.claim_encoding import MsgpackEntryCodec
from siskinspool.contracts.claim_messages import (
    ClaimCall,
    ClaimGranted,
    ClaimRecorded,
    ClaimReplayed,
    ClaimUnavailable,
    FinishClaim,
    InstanceIncarnation,
    ReleaseClaim,
)
from siskinspool.contracts.claims import Claims
from siskinspool.core.decision import Decision
from siskinspool.core.member import Member, MembershipChanged
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.links.codec import Decoded, MsgpackCodec
from siskinspool.machines.messages import OwnersChanged
from siskinspool.store.kv import (
    KvAnswerLost,
    KvConflict,
    KvDelete,
    KvDeleted,
    KvGet,
    KvItem,
    KvList,
    KvListing,
    KvReply,
    KvRequest,
    KvSwap,
    KvSwapped,
    KvUnavailable,
    KvValue,
)


class DeliveryOutcome(StrEnum):
    """Outcome of a message or of a request to the key-value service."""

    ANSWERED = "answered"
    # The request was not sent.
    UNAVAILABLE = "unavailable"
    # The answer is lost; the request took effect (after) or did not (before).
    LOST_AFTER = "lost_after"
    LOST_BEFORE = "lost_before"
    # The answer is lost and the request takes effect later.
    LOST_LATE = "lost_late"


class KvModel:
    """An in-memory model of the key-value service."""

    def __init__(self) -> None:
        self.item_by_key: dict[str, KvItem] = {}
        self.delayed: list[KvRequest] = []
        self._revision = 0

    def call(
        self, request: KvRequest, outcome: DeliveryOutcome = DeliveryOutcome.ANSWERED
    ) -> KvReply:
        """Execute a request with the given outcome and return the reply."""
        match outcome:
            case DeliveryOutcome.ANSWERED:
                return self._execute(request)
            case DeliveryOutcome.UNAVAILABLE:
                return KvUnavailable(request.request_id, "")
            case DeliveryOutcome.LOST_AFTER:
                self._execute(request)
            case DeliveryOutcome.LOST_LATE:
                self.delayed.append(request)
        return KvAnswerLost(request.request_id, "")

    def apply_late(self) -> None:
        """Execute the first delayed request."""
        self._execute(self.delayed.pop(0))

    def _execute(self, request: KvRequest) -> KvReply:
        match request:
            case KvGet(request_id, key):
                item = self.item_by_key.get(key, KvItem(key, b"", 0))
                value = item.value if item.revision else None
                return KvValue(request_id, key, value, item.revision)
            case KvList(request_id, prefix):
                keys = sorted(key for key in self.item_by_key if key.startswith(prefix))
                items = tuple(self.item_by_key[key] for key in keys)
                return KvListing(request_id, prefix, items)
            case KvSwap() | KvDelete():
                return self._change(request)
        raise AssertionError(request)

    def _change(self, request: KvSwap | KvDelete) -> KvReply:
        key = request.key
        item = self.item_by_key.get(key)
        revision = 0 if item is None else item.revision
        if revision != request.expected_revision:
            value = None if item is None else item.value
            return KvConflict(request.request_id, key, value, revision)
        if isinstance(request, KvDelete):
            self.item_by_key.pop(key, None)
            return KvDeleted(request.request_id, key)
        self._revision += 1
        self.item_by_key[key] = KvItem(key, request.value, self._revision)
        return KvSwapped(request.request_id, key, self._revision)


@attrs.frozen
class PendingDelivery:
    """A message that is not delivered yet."""

    sender: Address
    outgoing: Outgoing


class Simulation:
    """Runs decisions on several instances, each addressed by its task name."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.kv = KvModel()
        self.decision_by_address: dict[Address, Decision] = {}
        self.pending: list[PendingDelivery] = []
        # Messages to tasks that are not simulated, such as request handlers.
        self.received: list[tuple[Address, Message]] = []
        self.frozen: set[str] = set()
        self._codec = MsgpackCodec()

    def post(self, sender: Address, recipient: Address, message: Message) -> None:
        """Deliver a message to a decision immediately."""
        decision = self.decision_by_address.get(recipient)
        if decision is None:
            self.received.append((recipient, message))
            return
        self._send(recipient, decision.handle(Incoming(sender, message), self.now))

    def deliver(
        self,
        index: int,
        outcome: DeliveryOutcome = DeliveryOutcome.ANSWERED,
        copy: bool = False,
    ) -> None:
        """Deliver one pending message; to a peer only if the outcome is ANSWERED."""
        index %= len(self.pending)
        if self.pending[index].outgoing.recipient.instance_id in self.frozen:
            return
        delivery = self.pending[index] if copy else self.pending.pop(index)
        recipient, message = delivery.outgoing.recipient, delivery.outgoing.message
        if isinstance(message, KvRequest):
            if not copy:
                self.post(recipient, delivery.sender, self.kv.call(message, outcome))
        elif outcome is DeliveryOutcome.ANSWERED:
            self.post(delivery.sender, recipient, self._over_wire(delivery))

    def advance(self, seconds: float) -> None:
        """Advance the time and run each due decision once."""
        self.now += seconds
        for address, decision in list(self.decision_by_address.items()):
            wake_at = decision.wake_at()
            is_due = wake_at is not None and wake_at <= self.now
            if is_due and address.instance_id not in self.frozen:
                self._send(address, decision.on_time(self.now))
                next_wake_at = decision.wake_at()
                # A task would spin if `on_time` did not advance its wake-up time.
                assert next_wake_at is None or next_wake_at > self.now, (
                    address,
                    next_wake_at,
                )

    def run(self, seconds: float, step: float = 0.05) -> None:
        """Deliver all messages in order while time passes, without faults."""
        end = self.now + seconds
        while self.now < end:
            self.advance(step)
            for _ in range(500):
                deliverable = [
                    delivery
                    for delivery in self.pending
                    if not self._is_recipient_frozen(delivery)
                ]
                if not deliverable:
                    break
                self.deliver(self.pending.index(deliverable[0]))

    def run_to_write(self, steps: int = 60) -> PendingDelivery | None:
        """Run without faults until a write is pending; return it."""
        for _ in range(steps):
            while self.pending:
                write = next(
                    (delivery for delivery in self.pending if self._is_write(delivery)),
                    None,
                )
                if write is not None:
                    return write
                if self._is_recipient_frozen(self.pending[0]):
                    return None
                self.deliver(0)
            self.advance(0.02)
        return None

    def _is_write(self, delivery: PendingDelivery) -> bool:
        is_frozen = delivery.outgoing.recipient.instance_id in self.frozen
        return isinstance(delivery.outgoing.message, KvSwap) and not is_frozen

    def _is_recipient_frozen(self, delivery: PendingDelivery) -> bool:
        return delivery.outgoing.recipient.instance_id in self.frozen

    def _over_wire(self, delivery: PendingDelivery) -> Message:
        if delivery.sender.instance_id == delivery.outgoing.recipient.instance_id:
            return delivery.outgoing.message
        data = self._codec.encode(delivery.sender, delivery.outgoing)
        decoded = self._codec.decode(data)
        assert isinstance(decoded, Decoded), decoded
        return decoded.incoming.message

    def _send(self, sender: Address, batch: list[Outgoing]) -> None:
        for outgoing in batch:
            if outgoing.recipient.task.startswith("reply:"):
                self.post(sender, outgoing.recipient, outgoing.message)
            else:
                self.pending.append(PendingDelivery(sender, outgoing))


@attrs.define
class ClaimAttempt:
    """A request as seen by its handler."""

    instance: str
    key: str
    body: str
    token: str
    reply: Message | None = None
    # The body that the handler recorded as the answer.
    answer: bytes | None = None
    released: bool = False


class ClaimCluster:
    """Instances that run `Claims`, with checks of the replies to handlers."""

    def __init__(self, instances: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.sim = Simulation()
        self.attempts: list[ClaimAttempt] = []
        # Tokens whose handler was informed that the answer is stored.
        self.recorded: set[str] = set()
        self.incarnation_by_id: dict[str, int] = {}
        for instance in instances:
            self.start(instance)
        self.announce()

    def start(self, instance: str) -> None:
        """Start an instance; replaces an earlier incarnation."""
        number = self.incarnation_by_id.get(instance, 0) + 1
        self.incarnation_by_id[instance] = number
        address = Address(instance, "claims")
        claimant = InstanceIncarnation(instance, str(number))
        decision = Claims(claimant, MsgpackEntryCodec(), shards=1)
        self.sim.decision_by_address[address] = decision
        self.sim.pending = [
            delivery for delivery in self.sim.pending if delivery.sender != address
        ]
        self.sim.frozen.discard(instance)

    def kill(self, instance: str) -> None:
        """Restart an instance; its earlier handlers and calls end."""
        self.start(instance)
        for attempt in self.attempts:
            if attempt.instance == instance:
                attempt.instance = "dead"

    def announce(self) -> None:
        """Inform every instance of the current members."""
        members = {
            name: Member(name, str(number), "z", "127.0.0.1", 1)
            for name, number in self.incarnation_by_id.items()
        }
        self.send_to_all(MembershipChanged(members))

    def set_owner(self, observer: str, owner: str) -> None:
        """Inform one instance of an owner of the shard."""
        self.send(observer, OwnersChanged({"claims/0": owner}))

    def send(self, instance: str, message: Message, task: str = "test") -> None:
        """Send a message from a local task to the claims task of an instance."""
        address = Address(instance, "claims")
        self.sim.post(Address(instance, task), address, message)
        self.check()

    def send_to_all(self, message: Message) -> None:
        """Send a message to all instances that are not frozen."""
        for instance in self.incarnation_by_id:
            if instance not in self.sim.frozen:
                self.send(instance, message)

    def request_claim(
        self, instance: str, key: str = "k", body: str = "b", deadline_in_s: float = 10
    ) -> ClaimAttempt:
        """Submit a request that needs a claim."""
        token = f"t{len(self.attempts)}"
        attempt = ClaimAttempt(instance, key, body, token)
        self.attempts.append(attempt)
        call = ClaimCall("team", key, body, token, deadline_in_s)
        self.send(instance, call, f"reply:{token}")
        return attempt

    def finish(self, attempt: ClaimAttempt, size: int = 10) -> None:
        """Record the answer of a granted call."""
        attempt.answer = attempt.token.encode() * size
        message = FinishClaim(attempt.token, 200, "text/plain", attempt.answer)
        self.send(attempt.instance, message, f"reply:done-{attempt.token}")

    def release(self, attempt: ClaimAttempt) -> None:
        """Release the claim of a granted call that was not sent."""
        attempt.released = True
        self.send(attempt.instance, ReleaseClaim(attempt.token))

    def holders(self) -> list[ClaimAttempt]:
        """Return requests of live handlers with a grant that is still open."""
        return [
            attempt
            for attempt in self.attempts
            if isinstance(attempt.reply, ClaimGranted)
            and attempt.instance != "dead"
            and attempt.answer is None
            and not attempt.released
        ]

    def check(self) -> None:
        """Check the replies to handlers since the last check."""
        for recipient, message in self.sim.received:
            name = recipient.task.removeprefix("reply:")
            if name.startswith("done-"):
                assert message == ClaimRecorded(name.removeprefix("done-"))
                self.recorded.add(message.token)
                continue
            attempt = next(item for item in self.attempts if item.token == name)
            assert attempt.reply is None, f"two answers to {attempt}: {message}"
            self._check_reply(attempt, message)
            attempt.reply = message
        self.sim.received.clear()

    def _check_reply(self, attempt: ClaimAttempt, message: Message) -> None:
        same_key = [item for item in self.attempts if item.key == attempt.key]
        granted = [item for item in same_key if isinstance(item.reply, ClaimGranted)]
        if isinstance(message, ClaimGranted):
            assert message.token == attempt.token
            held = [item.token for item in granted if not item.released]
            assert not held, f"{attempt.token} granted beside {held}"
        if isinstance(message, ClaimReplayed):
            answers = [
                item.answer
                for item in granted
                if item.body == attempt.body and not item.released
            ]
            assert message.body in answers, "a replay of an answer never given"
        if isinstance(message, ClaimUnavailable):
            assert attempt.reply is None
