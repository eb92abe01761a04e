"""Builders for tests of claims and patient requests.

`KvModel` is an in-memory key-value service whose answers can be lost. `Simulation` runs
decisions step by step: each message and call is delivered when the test says so.
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
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.links.codec import Decoded, MsgpackCodec
from siskinspool.machines.messages import Member, MembershipChanged, OwnersChanged
from siskinspool.store.kv import (
    KvConflict,
    KvDelete,
    KvDeleted,
    KvGet,
    KvItem,
    KvList,
    KvListing,
    KvLost,
    KvReply,
    KvRequest,
    KvSwap,
    KvSwapped,
    KvUnavailable,
    KvValue,
)


class DeliveryOutcome(StrEnum):
    """What becomes of a message or call."""

    ANSWERED = "answered"
    # Not sent.
    UNAVAILABLE = "unavailable"
    # Took effect or not, but the answer is lost.
    LOST_AFTER = "lost_after"
    LOST_BEFORE = "lost_before"
    # The answer is lost and the call takes effect later.
    LOST_LATE = "lost_late"


class KvModel:
    """The key-value service in memory."""

    def __init__(self) -> None:
        self.item_by_key: dict[str, KvItem] = {}
        self.late: list[KvRequest] = []
        self._revision = 0

    def call(
        self, request: KvRequest, fate: DeliveryOutcome = DeliveryOutcome.ANSWERED
    ) -> KvReply:
        """Execute a request as its fate says and return the answer."""
        match fate:
            case DeliveryOutcome.ANSWERED:
                return self._execute(request)
            case DeliveryOutcome.UNAVAILABLE:
                return KvUnavailable(request.request_id, "")
            case DeliveryOutcome.LOST_AFTER:
                self._execute(request)
            case DeliveryOutcome.LOST_LATE:
                self.late.append(request)
        return KvLost(request.request_id, "")

    def apply_late(self) -> None:
        """Let the first late call take effect."""
        self._execute(self.late.pop(0))

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
    """A message on its way."""

    sender: Address
    outgoing: Outgoing


class Simulation:
    """Decisions on several instances, each under one task name."""

    def __init__(self) -> None:
        self.now = 1000.0
        self.kv = KvModel()
        self.decision_by_address: dict[Address, Decision] = {}
        self.pending: list[PendingDelivery] = []
        # What reached tasks that are not simulated, such as request handlers.
        self.received: list[tuple[Address, Message]] = []
        self.frozen: set[str] = set()
        self._codec = MsgpackCodec()

    def post(self, sender: Address, recipient: Address, message: Message) -> None:
        """Hand a message to a decision at once."""
        decision = self.decision_by_address.get(recipient)
        if decision is None:
            self.received.append((recipient, message))
            return
        self._send(recipient, decision.handle(Incoming(sender, message), self.now))

    def deliver(
        self,
        index: int,
        fate: DeliveryOutcome = DeliveryOutcome.ANSWERED,
        copy: bool = False,
    ) -> None:
        """Deliver one parcel; messages to peers are lost unless answered."""
        index %= len(self.pending)
        if self.pending[index].outgoing.recipient.instance_id in self.frozen:
            return
        parcel = self.pending[index] if copy else self.pending.pop(index)
        recipient, message = parcel.outgoing.recipient, parcel.outgoing.message
        if isinstance(message, KvRequest):
            if not copy:
                self.post(recipient, parcel.sender, self.kv.call(message, fate))
        elif fate is DeliveryOutcome.ANSWERED:
            self.post(parcel.sender, recipient, self._over_wire(parcel))

    def advance(self, seconds: float) -> None:
        """Let time pass and due decisions act once."""
        self.now += seconds
        for address, decision in list(self.decision_by_address.items()):
            wake_at = decision.wake_at()
            is_due = wake_at is not None and wake_at <= self.now
            if is_due and address.instance_id not in self.frozen:
                self._send(address, decision.on_time(self.now))
                again_at = decision.wake_at()
                # A task would spin on a time that `on_time` does not move on.
                assert again_at is None or again_at > self.now, (address, again_at)

    def run(self, seconds: float, step: float = 0.05) -> None:
        """Deliver everything in order while time passes, with no faults."""
        end = self.now + seconds
        while self.now < end:
            self.advance(step)
            for _ in range(500):
                open_ = [p for p in self.pending if not self._is_recipient_frozen(p)]
                if not open_:
                    break
                self.deliver(self.pending.index(open_[0]))

    def run_to_write(self, steps: int = 60) -> PendingDelivery | None:
        """Run without faults until a write is on its way; return it."""
        for _ in range(steps):
            while self.pending:
                write = next((p for p in self.pending if self._is_write(p)), None)
                if write is not None:
                    return write
                if self._is_recipient_frozen(self.pending[0]):
                    return None
                self.deliver(0)
            self.advance(0.02)
        return None

    def _is_write(self, parcel: PendingDelivery) -> bool:
        is_held = parcel.outgoing.recipient.instance_id in self.frozen
        return isinstance(parcel.outgoing.message, KvSwap) and not is_held

    def _is_recipient_frozen(self, parcel: PendingDelivery) -> bool:
        return parcel.outgoing.recipient.instance_id in self.frozen

    def _over_wire(self, parcel: PendingDelivery) -> Message:
        if parcel.sender.instance_id == parcel.outgoing.recipient.instance_id:
            return parcel.outgoing.message
        data = self._codec.encode(parcel.sender, parcel.outgoing)
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
class Arrival:
    """One request as its handler sees it."""

    instance: str
    key: str
    body: str
    token: str
    reply: Message | None = None
    # The body that the handler recorded as the answer.
    answer: bytes | None = None
    released: bool = False


class ClaimCluster:
    """Three instances with `Claims`, and the checks on what handlers are told."""

    def __init__(self, instances: tuple[str, ...] = ("a", "b", "c")) -> None:
        self.sim = Simulation()
        self.arrivals: list[Arrival] = []
        # Tokens whose handler was told that the answer is kept.
        self.recorded: set[str] = set()
        self.incarnation_by_id: dict[str, int] = {}
        for instance in instances:
            self.start(instance)
        self.announce()

    def start(self, instance: str) -> None:
        """Start an instance, in place of an earlier incarnation."""
        number = self.incarnation_by_id.get(instance, 0) + 1
        self.incarnation_by_id[instance] = number
        address = Address(instance, "claims")
        claimant = InstanceIncarnation(instance, str(number))
        decision = Claims(claimant, MsgpackEntryCodec(), shards=1)
        self.sim.decision_by_address[address] = decision
        self.sim.pending = [p for p in self.sim.pending if p.sender != address]
        self.sim.frozen.discard(instance)

    def kill(self, instance: str) -> None:
        """End an instance; its handlers and calls end with it."""
        self.start(instance)
        for arrival in self.arrivals:
            if arrival.instance == instance:
                arrival.instance = "dead"

    def announce(self) -> None:
        """Tell every instance who is a member."""
        members = {
            name: Member(name, str(number), "z", "127.0.0.1", 1)
            for name, number in self.incarnation_by_id.items()
        }
        self.send_to_all(MembershipChanged(members))

    def set_owner(self, observer: str, owner: str) -> None:
        """Let one instance believe in an owner."""
        self.send(observer, OwnersChanged({"claims/0": owner}))

    def send(self, instance: str, message: Message, task: str = "test") -> None:
        """Post a message of a local task to the claims of an instance."""
        address = Address(instance, "claims")
        self.sim.post(Address(instance, task), address, message)
        self.check()

    def send_to_all(self, message: Message) -> None:
        """Post a message to all instances."""
        for instance in self.incarnation_by_id:
            if instance not in self.sim.frozen:
                self.send(instance, message)

    def request_claim(
        self, instance: str, key: str = "k", body: str = "b", deadline_in_s: float = 10
    ) -> Arrival:
        """Let a request arrive."""
        token = f"t{len(self.arrivals)}"
        arrival = Arrival(instance, key, body, token)
        self.arrivals.append(arrival)
        call = ClaimCall("team", key, body, token, deadline_in_s)
        self.send(instance, call, f"reply:{token}")
        return arrival

    def finish(self, arrival: Arrival, size: int = 10) -> None:
        """Let the granted call of a request be answered."""
        arrival.answer = arrival.token.encode() * size
        message = FinishClaim(arrival.token, 200, "text/plain", arrival.answer)
        self.send(arrival.instance, message, f"reply:done-{arrival.token}")

    def release(self, arrival: Arrival) -> None:
        """Let the granted call of a request stay unsent."""
        arrival.released = True
        self.send(arrival.instance, ReleaseClaim(arrival.token))

    def holders(self) -> list[Arrival]:
        """Return granted requests of live handlers that have not ended."""
        return [
            arrival
            for arrival in self.arrivals
            if isinstance(arrival.reply, ClaimGranted)
            and arrival.instance != "dead"
            and arrival.answer is None
            and not arrival.released
        ]

    def check(self) -> None:
        """Check what handlers were told since the last check."""
        for recipient, message in self.sim.received:
            name = recipient.task.removeprefix("reply:")
            if name.startswith("done-"):
                assert message == ClaimRecorded(name.removeprefix("done-"))
                self.recorded.add(message.token)
                continue
            arrival = next(item for item in self.arrivals if item.token == name)
            assert arrival.reply is None, f"two answers to {arrival}: {message}"
            self._check_reply(arrival, message)
            arrival.reply = message
        self.sim.received.clear()

    def _check_reply(self, arrival: Arrival, message: Message) -> None:
        same_key = [item for item in self.arrivals if item.key == arrival.key]
        granted = [item for item in same_key if isinstance(item.reply, ClaimGranted)]
        if isinstance(message, ClaimGranted):
            assert message.token == arrival.token
            held = [item.token for item in granted if not item.released]
            assert not held, f"{arrival.token} granted beside {held}"
        if isinstance(message, ClaimReplayed):
            answers = [
                item.answer
                for item in granted
                if item.body == arrival.body and not item.released
            ]
            assert message.body in answers, "a replay of an answer never given"
        if isinstance(message, ClaimUnavailable):
            assert arrival.reply is None
