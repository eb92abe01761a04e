"""A simulated deployment with usage reports: gateways, store, platform and clocks."""

from __future__ import annotations

import json
import random
from collections import Counter, defaultdict, deque
from typing import Any

import attrs

from siskinspool.core.decision import Decision
from siskinspool.core.member import Member, MembershipChanged
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.duties.duty_messages import (
    DUTY_TASK,
    USAGE_COUNTS_TASK,
    USAGE_WINDOWS_TASK,
    WALL_CLOCK_TASK,
    ClockRead,
    DutyEnded,
    DutyResult,
    ReadClock,
    UsageOrder,
    UsageStarted,
)
from siskinspool.duties.duty_settings import Duty, DutySettings
from siskinspool.duties.usage_counts import UsageCounts
from siskinspool.duties.usage_windows import UsageWindows
from siskinspool.gateway.messages import (
    LeaderChanged,
    LeadershipExtended,
    LeadershipHeld,
    LeadershipLost,
)
from siskinspool.platform.duty_calls import PlatformUsageEncoding
from siskinspool.settings import Endpoint
from siskinspool.store.kv import (
    KvAnswerLost,
    KvConflict,
    KvDelete,
    KvDeleted,
    KvItem,
    KvList,
    KvListing,
    KvReply,
    KvSwap,
    KvSwapped,
    KvUnavailable,
)
from siskinspool.store.kv_task import KV_TASK

from .builders_gateway import member

# True time at the start, just after the beginning of a window.
START_UNIX_S = 1_790_000_000.2
STEP_S = 0.05
TERM_S = 1e9


def duty_settings(**changes: Any) -> DutySettings:
    """Return settings with windows of 5 s that are due after 10 s."""
    settings = DutySettings(
        cloud=Endpoint(host="127.0.0.1", port=1),
        duties=frozenset(Duty),
        calls_per_s=50.0,
        usage_window_s=5.0,
        usage_late_s=10.0,
        lease_s=3.0,
        epochs_checked=True,
    )
    return attrs.evolve(settings, **changes)


@attrs.define
class SimulatedStore:
    """A store whose answers may be lost."""

    item_by_key: dict[str, KvItem] = attrs.field(factory=dict)
    is_down: bool = False
    lose_answers: int = 0
    _revision: int = 0

    def execute(self, request: Message) -> KvReply:
        """Execute a request and return the reply that its sender gets."""
        match request:
            case KvList(request_id, prefix):
                reply = self._list(request_id, prefix)
                key = prefix
            case KvSwap() as swap:
                request_id, key = swap.request_id, swap.key
                if self.is_down:
                    return KvUnavailable(request_id, key)
                reply = self._swap(swap)
            case KvDelete(request_id, key, _):
                self.item_by_key.pop(key, None)
                reply = KvDeleted(request_id, key)
            case _:
                raise AssertionError(request)
        if self.is_down:
            return KvUnavailable(request_id, key)
        if self.lose_answers:
            self.lose_answers -= 1
            return KvAnswerLost(request_id, key)
        return reply

    def _list(self, request_id: str, prefix: str) -> KvReply:
        items = [
            item for key, item in self.item_by_key.items() if key.startswith(prefix)
        ]
        return KvListing(request_id, prefix, tuple(items))

    def _swap(self, swap: KvSwap) -> KvReply:
        known = self.item_by_key.get(swap.key)
        if (known.revision if known else 0) != swap.expected_revision:
            value, revision = (known.value, known.revision) if known else (None, 0)
            return KvConflict(swap.request_id, swap.key, value, revision)
        self._revision += 1
        self.item_by_key[swap.key] = KvItem(swap.key, swap.value, self._revision)
        return KvSwapped(swap.request_id, swap.key, self._revision)


@attrs.define
class SimulatedGateway:
    """The decisions of one gateway process and its clocks."""

    own: Member
    decision_by_task: dict[str, Decision]
    # The time of day is off by this from true time.
    wall_error_s: float = 0.0
    is_alive: bool = True


class DutySimulation:
    """Gateways in one process that exchange messages without delay."""

    def __init__(self, names: tuple[str, ...], seed: int = 1) -> None:
        self.now = 0.0
        self.store = SimulatedStore()
        self.settings = duty_settings()
        self.lose_calls = 0
        # This many messages between gateways are lost.
        self.lose_messages = 0
        # Bodies in the order in which the platform executed them, by window.
        self.bodies_by_window: defaultdict[int, list[bytes]] = defaultdict(list)
        # Requests that began to run, by window in true time.
        self.truth_by_window: Counter[int] = Counter()
        self.holder_id = ""
        self._epoch = 0
        self._rng = random.Random(seed)
        self._queue: deque[tuple[Address, Outgoing]] = deque()
        self.gateway_by_id = {name: self._start(member(name)) for name in names}
        self._notify_members()

    def _start(self, own: Member) -> SimulatedGateway:
        settings = self.settings
        return SimulatedGateway(
            own,
            {
                USAGE_COUNTS_TASK: UsageCounts(
                    own, settings.usage_window_s, self._rng, self.now
                ),
                USAGE_WINDOWS_TASK: UsageWindows(
                    own, settings, PlatformUsageEncoding(), self.now
                ),
            },
        )

    def window(self) -> int:
        """Return the present window in true time."""
        return int((START_UNIX_S + self.now) // self.settings.usage_window_s)

    def run_request(self, name: str, team: str = "smiths") -> None:
        """Let a request begin to run at a gateway."""
        if self.gateway_by_id[name].is_alive:
            self.truth_by_window[self.window()] += 1
            self.tell(name, USAGE_COUNTS_TASK, UsageStarted(team, self.now))

    def elect(self, name: str) -> None:
        """Make a gateway the holder; the last one learns of it."""
        if self.holder_id:
            self.tell_all(self.holder_id, LeadershipLost())
        self._epoch += 1
        self.holder_id = name
        for task in (USAGE_COUNTS_TASK, USAGE_WINDOWS_TASK):
            self.tell(name, task, LeadershipHeld(self._epoch, self.now))
            self.tell(name, task, LeadershipExtended(TERM_S))
        for other in self.gateway_by_id:
            self.tell_all(other, LeaderChanged(name))

    def kill(self, name: str) -> None:
        """End a gateway process; another one is elected if it was the holder."""
        self.gateway_by_id[name].is_alive = False
        self._notify_members()
        if name == self.holder_id:
            self.elect(self.alive_ids()[0])

    def alive_ids(self) -> list[str]:
        """Return the gateways that run."""
        return [name for name, one in self.gateway_by_id.items() if one.is_alive]

    def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            for name in self.alive_ids():
                for task, decision in self.gateway_by_id[name].decision_by_task.items():
                    wake_at = decision.wake_at()
                    if wake_at is not None and wake_at <= self.now:
                        sender = Address(name, task)
                        self._send(sender, decision.on_time(self.now))
            self._deliver()

    def tell_all(self, name: str, message: Message) -> None:
        """Send a message to all decisions of a gateway."""
        for task in self.gateway_by_id[name].decision_by_task:
            self.tell(name, task, message)

    def tell(self, name: str, task: str, message: Message) -> None:
        """Send a message to a decision, as a local task does."""
        self._send(Address(name, "test"), [Outgoing(Address(name, task), message)])
        self._deliver()

    def counts(self, window: int) -> dict[str, int]:
        """Return the reported counts of a window."""
        found: dict[str, int] = json.loads(self.bodies_by_window[window][0])["counts"]
        return found

    def _notify_members(self) -> None:
        members = {name: self.gateway_by_id[name].own for name in self.alive_ids()}
        for name in members:
            self.tell_all(name, MembershipChanged(members))

    def _send(self, sender: Address, batch: list[Outgoing]) -> None:
        self._queue.extend((sender, outgoing) for outgoing in batch)

    def _deliver(self) -> None:
        while self._queue:
            sender, outgoing = self._queue.popleft()
            recipient, message = outgoing.recipient, outgoing.message
            gateway = self.gateway_by_id[recipient.instance_id]
            if not gateway.is_alive or self._loses(sender, recipient):
                continue
            match recipient.task:
                case name if name == KV_TASK:
                    self._reply(recipient, sender, self.store.execute(message))
                case name if name == WALL_CLOCK_TASK:
                    self._reply(recipient, sender, self._read_clock(gateway, message))
                case name if name == DUTY_TASK:
                    self._call_platform(recipient, sender, message)
                case task if task in gateway.decision_by_task:
                    decision = gateway.decision_by_task[task]
                    incoming = Incoming(sender, message)
                    self._send(recipient, decision.handle(incoming, self.now))

    def _loses(self, sender: Address, recipient: Address) -> bool:
        if not self.lose_messages or sender.instance_id == recipient.instance_id:
            return False
        self.lose_messages -= 1
        return True

    def _reply(self, task: Address, recipient: Address, message: Message) -> None:
        self._queue.append((task, Outgoing(recipient, message)))

    def _read_clock(self, gateway: SimulatedGateway, message: Message) -> ClockRead:
        assert isinstance(message, ReadClock)
        unix_s = START_UNIX_S + self.now + gateway.wall_error_s
        return ClockRead(message.number, unix_s)

    def _call_platform(self, task: Address, sender: Address, order: Message) -> None:
        assert isinstance(order, UsageOrder)
        if order.epoch < self._epoch:
            self._reply(task, sender, DutyEnded(order, DutyResult.REFUSED_EPOCH))
            return
        self.bodies_by_window[order.window].append(order.body)
        if self.lose_calls:
            # The order is given again after its repeat interval.
            self.lose_calls -= 1
            return
        self._reply(task, sender, DutyEnded(order, DutyResult.DONE))
