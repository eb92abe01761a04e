"""Gateways that elect a leader, simulated with faults of all parts."""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from enum import Enum, auto
from typing import Final

from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.gateway.bounds import OrderBounds
from siskinspool.gateway.leadership import LEADER_KEY, Leadership, StopLeading
from siskinspool.gateway.leadership_term import LeadershipTerm
from siskinspool.gateway.messages import (
    LeadershipExtended,
    LeadershipHeld,
    LeadershipLost,
)
from siskinspool.relay.relay_messages import ReachChanged
from siskinspool.store.kv import (
    KvAnswerLost,
    KvChanged,
    KvDelete,
    KvReply,
    KvSwap,
    KvUnavailable,
    WatchListed,
)
from siskinspool.store.kv_events import KvReachability, SessionGone, SessionRenewed

from .builders_gateway import bounds, member, membership
from .builders_leader_store import SESSION_TTL_S, LeaderStore

STEP_S: Final = 0.05
RENEW_INTERVAL_S: Final = 0.7
RETRY_INTERVAL_S: Final = 0.35
ANSWER_TIMEOUT_S: Final = 1.0
# From the request to stop until the session is ended.
DRAIN_S: Final = 2.5
# Orders of two gateways must be this far apart.
LEASE_S: Final = 3.0
WATCHER: Final = "watcher"


class Fault(Enum):
    """What may happen to the store or to a gateway."""

    RETURN = auto()
    KILL = auto()
    STOP = auto()
    FREEZE = auto()
    # No path to the store, or to the servers.
    CUT_FROM_STORE = auto()
    CUT_FROM_SERVERS = auto()


class SimulatedLeader:
    """One gateway and its processes, one after another."""

    def __init__(self, name: str, simulation: LeaderSimulation) -> None:
        self.name = name
        self._simulation = simulation
        self._starts = 0
        self.start(simulation.now)

    def start(self, now: float) -> None:
        """Start a process, which knows nothing."""
        self._starts += 1
        self.own = member(self.name, str(self._starts))
        self.decision = Leadership(
            self.own,
            bounds(orders=self._simulation.orders),
            (WATCHER,),
            now,
            session_silence_s=SESSION_TTL_S - RENEW_INTERVAL_S,
            session_ttl_s=SESSION_TTL_S,
            first_start=False,
        )
        self.term = LeadershipTerm()
        self.inbox: list[tuple[str, Message]] = []
        self.lease_id: int | None = None
        self.session_era = 0
        # None while it runs.
        self.start_at: float | None = None
        self.stop_at: float | None = None
        self.frozen_until = 0.0
        self.cut_until = 0.0
        self.reaches_servers_at: float | None = None
        self._renew_at = now
        self._watch_at = now
        self._seen_revision = 0
        self._listed_era = 0
        self._known_members: frozenset[str] = frozenset()

    @property
    def is_running(self) -> bool:
        """Whether a process runs."""
        return self.start_at is None

    def post(self, message: Message, sender: str = "") -> None:
        """Deliver a message at the next step."""
        self.inbox.append((sender or self.name, message))

    def advance(self, now: float) -> None:
        """Let the process, the session and the watch do what is due."""
        if self.start_at is not None:
            if now >= self.start_at:
                self.start(now)
            return
        if now < self.frozen_until:
            return
        if self.stop_at is not None and now >= self.stop_at:
            self._end(now)
            return
        if self.reaches_servers_at is not None and now >= self.reaches_servers_at:
            self.reaches_servers_at = None
            self.post(ReachChanged(False))
        self._renew(now)
        self._watch(now)
        inbox, self.inbox = self.inbox, []
        for sender, message in inbox:
            incoming = Incoming(Address(sender, "test"), message)
            self._send(self.decision.handle(incoming, now))
        due = self.decision.wake_at()
        if due is not None and due <= now:
            self._send(self.decision.on_time(now))

    def may_order(self, now: float) -> bool:
        """Return whether the process runs and may give an order."""
        is_awake = self.is_running and now >= self.frozen_until
        return is_awake and self.term.allows_orders(now)

    def _end(self, now: float) -> None:
        if self.lease_id is not None:
            self._simulation.store.end_session(self.lease_id)
        self.start_at = now + self._simulation.rng.uniform(0.3, 2.0)

    def _renew(self, now: float) -> None:
        if now < self._renew_at:
            return
        if now < self.cut_until:
            self._renew_at = now + RETRY_INTERVAL_S
            self.post(KvReachability(False, now))
            return
        self._renew_at = now + RENEW_INTERVAL_S
        store = self._simulation.store
        lease_id = store.renew_session(self.name, self.lease_id, now)
        if self.lease_id not in (None, lease_id):
            self.post(SessionGone())
        self.lease_id, self.session_era = lease_id, store.era
        renewed = SessionRenewed(
            self.own.incarnation, lease_id, now, SESSION_TTL_S, store.era
        )
        self.post(renewed)
        self.post(KvReachability(True, now, era=store.era))

    def _watch(self, now: float) -> None:
        if now < max(self._watch_at, self.cut_until):
            return
        self._watch_at = now + self._simulation.rng.uniform(0.05, 0.5)
        store = self._simulation.store
        if self._listed_era != store.era:
            self._list(store)
        for change in store.changes:
            if change.revision > self._seen_revision:
                self.post(change)
        self._seen_revision = store.revision
        members = frozenset(store.lease_by_instance) | {self.name}
        if members != self._known_members:
            self._known_members = members
            self.post(membership(*members))

    def _list(self, store: LeaderStore) -> None:
        if store.key is not None:
            self.post(KvChanged(LEADER_KEY, store.key.value, store.key.revision))
        elif self._listed_era:
            self.post(KvChanged(LEADER_KEY, None, store.revision))
        self.post(WatchListed("shared"))
        self._listed_era, self._seen_revision = store.era, store.revision

    def _send(self, batch: list[Outgoing]) -> None:
        for outgoing in batch:
            recipient, message = outgoing.recipient, outgoing.message
            if recipient.task == WATCHER:
                self._update_term(message)
            elif isinstance(message, KvSwap | KvDelete):
                self._call_store(message)
            else:
                self._simulation.post_to_peer(recipient, message, self.name)

    def _update_term(self, message: Message) -> None:
        match message:
            case LeadershipHeld(epoch, from_s):
                self.term.begin(epoch, from_s)
                self._simulation.holders_by_epoch[epoch].add(self.own.incarnation)
            case LeadershipExtended(until_s, detached):
                self.term.extend(until_s, detached)
            case LeadershipLost():
                self.term.end()

    def _call_store(self, request: KvSwap | KvDelete) -> None:
        simulation, now = self._simulation, self._simulation.now
        incarnation, lease_id = self.own.incarnation, self.lease_id

        def reply(message: KvReply) -> None:
            if self.is_running and self.own.incarnation == incarnation:
                self.post(message)

        lost = KvAnswerLost(request.request_id, request.key)
        if now < self.cut_until:
            simulation.schedule(ANSWER_TIMEOUT_S, lambda: reply(lost))
            return
        if isinstance(request, KvSwap) and self.session_era != simulation.store.era:
            reply(KvUnavailable(request.request_id, request.key))
            return
        if simulation.loses_answer():
            # The call may be executed seconds later.
            delay_s = simulation.rng.uniform(0.0, 3.0)
            simulation.schedule(
                delay_s, lambda: simulation.store.execute(request, lease_id)
            )
            simulation.schedule(ANSWER_TIMEOUT_S, lambda: reply(lost))
            return
        simulation.schedule(
            simulation.rng.uniform(0.005, 0.1),
            lambda: reply(simulation.store.execute(request, lease_id)),
        )


class LeaderSimulation:
    """Gateways, their store and the orders that they give; times are in seconds."""

    def __init__(self, seed: int, epochs_checked: bool, fault_interval_s: float):
        self.rng = random.Random(seed)
        self.now = 100.0
        self.store = LeaderStore()
        self.orders = OrderBounds(lease_s=LEASE_S, epochs_checked=epochs_checked)
        self.holders_by_epoch: defaultdict[int, set[str]] = defaultdict(set)
        # The times and gateways of orders that came too early after another one's.
        self.early_orders: list[str] = []
        self.last_order_by_name: dict[str, float] = {}
        self._loss = self.rng.choice([0.0, 0.1, 0.3])
        self._fault_interval_s = fault_interval_s
        self._scheduled: list[tuple[float, Callable[[], object]]] = []
        count = self.rng.choice([2, 3, 4])
        names = [f"g{number}" for number in range(count)]
        self._leader_by_name = {name: SimulatedLeader(name, self) for name in names}

    def run(self, seconds: float, *, faults: bool) -> None:
        """Let time pass, with or without faults."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            self.store.advance(self.now)
            self._run_scheduled()
            leaders = list(self._leader_by_name.values())
            self.rng.shuffle(leaders)
            for leader in leaders:
                leader.advance(self.now)
                if leader.may_order(self.now):
                    self._record_order(leader.name)
            if faults and self.rng.random() < STEP_S / self._fault_interval_s:
                self._inject(self.rng.choice(list(Fault)))

    def schedule(self, delay_s: float, action: Callable[[], object]) -> None:
        """Do something later."""
        self._scheduled.append((self.now + delay_s, action))

    def loses_answer(self) -> bool:
        """Return whether the answer to a call is lost."""
        return self.rng.random() < self._loss

    def post_to_peer(self, recipient: Address, message: Message, sender: str) -> None:
        """Deliver a message to another gateway, if its process runs then."""
        peer = self._leader_by_name[recipient.instance_id]

        def deliver() -> None:
            if peer.is_running:
                peer.post(message, sender)

        self.schedule(self.rng.uniform(0.001, 0.1), deliver)

    def _run_scheduled(self) -> None:
        due = [action for at, action in self._scheduled if at <= self.now]
        self._scheduled = [one for one in self._scheduled if one[0] > self.now]
        for action in due:
            action()

    def _record_order(self, name: str) -> None:
        for other, at in self.last_order_by_name.items():
            if other != name and self.now - at < LEASE_S - STEP_S / 2:
                self.early_orders.append(
                    f"{name} at {self.now:.2f}, {other} at {at:.2f}"
                )
        self.last_order_by_name[name] = self.now

    def _inject(self, fault: Fault) -> None:
        rng, now = self.rng, self.now
        leader = self._choose_victim()
        if fault is Fault.RETURN:
            self.store.return_from_copy(rng.uniform(0.3, 8.0), now)
            return
        if not leader.is_running:
            return
        match fault:
            case Fault.KILL:
                leader.start_at = now + rng.uniform(0.3, 3.0)
                leader.term.end()
            case Fault.STOP if leader.stop_at is None:
                leader.stop_at = now + DRAIN_S
                leader.post(StopLeading())
            case Fault.FREEZE:
                leader.frozen_until = now + rng.uniform(0.5, 5.0)
            case Fault.CUT_FROM_STORE:
                leader.cut_until = now + rng.uniform(0.5, 8.0)
            case Fault.CUT_FROM_SERVERS if leader.reaches_servers_at is None:
                leader.reaches_servers_at = now + rng.uniform(0.5, 5.0)
                leader.post(ReachChanged(True))

    def _choose_victim(self) -> SimulatedLeader:
        """Return any gateway, more often one that leads."""
        leaders = list(self._leader_by_name.values())
        leading = [one for one in leaders if one.is_running and one.term.epoch]
        is_targeted = bool(leading) and self.rng.random() < 0.6
        return self.rng.choice(leading if is_targeted else leaders)
