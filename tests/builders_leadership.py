"""Simulation of gateways that compete for the leader's key of one store.

The store has leases and eras and may return from an older copy. Calls are carried out
and answered late or never, watches report late or by listings, and processes are cut
off, stopped, killed and started again. Each leader orders whenever its term allows, and
`OrderLog` checks rule ONE at each order.
"""

from __future__ import annotations

from typing import Final

import attrs

from siskinspool.core.member import Member, MembershipChanged
from siskinspool.core.message import Message, Outgoing
from siskinspool.feed.change_feed import REWRITE_GRACE_S
from siskinspool.gateway.bounds import OrderBounds
from siskinspool.gateway.leadership import LEADER_KEY, Leadership, StopLeading
from siskinspool.gateway.leadership_term import LeadershipTerm
from siskinspool.gateway.messages import (
    LeadershipExtended,
    LeadershipFenced,
    LeadershipHeld,
    LeadershipLost,
    LeaderSucceeded,
)
from siskinspool.machines.session_validity import SessionValidity
from siskinspool.relay.relay_messages import ReachChanged
from siskinspool.store.keys import SESSION_PREFIX, session_key
from siskinspool.store.kv import (
    KvAnswerLost,
    KvChanged,
    KvConflict,
    KvDelete,
    KvDeleted,
    KvReply,
    KvSwap,
    KvSwapped,
    KvUnavailable,
    WatchListed,
)
from siskinspool.store.kv_events import KvReachability, SessionGone, SessionRenewed
from siskinspool.store.revision import era_of, make_revision, number_of

from .builders_gateway import bounds, incoming, member

LEASE_S: Final = 3.0
TTL_S: Final = 2.5
RENEW_INTERVAL_S: Final = 0.7
RETRY_INTERVAL_S: Final = 0.35
# A renewal that is sent so long after the one before it may be the first since.
SILENCE_S: Final = TTL_S - RENEW_INTERVAL_S
CALL_TIMEOUT_S: Final = 1.0
DELAY_S: Final = 0.01
STEP_S: Final = 0.1
# From SIGTERM to the end of the session.
DRAIN_S: Final = 2.6
# A machine is in touch if there was no fault for so long.
CONTACT_S: Final = 3.0


@attrs.frozen
class StoredKey:
    """A key in the store; ``number`` is the store's own number of its last change."""

    value: bytes
    number: int
    lease_id: int


@attrs.frozen
class Change:
    """A change of a key in the order of the store; value None if it was removed."""

    at: float
    key: str
    value: bytes | None
    revision: int


@attrs.frozen
class LeasedCopy:
    """The state of the store at one moment."""

    number: int
    stored_by_key: dict[str, StoredKey]
    expiry_by_lease_id: dict[int, float]
    next_lease_id: int
    made_at: float


@attrs.define
class LeasedStore:
    """The store: keys, leases, eras, and the changes since the last return."""

    now: float = 0.0
    era: int = 1
    number: int = 1
    next_lease_id: int = 1
    stored_by_key: dict[str, StoredKey] = attrs.field(factory=dict)
    expiry_by_lease_id: dict[int, float] = attrs.field(factory=dict)
    changes: list[Change] = attrs.field(factory=list)

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return make_revision(self.era, self.number)

    def advance(self, now: float) -> None:
        """Let the leases end that have not been renewed."""
        self.now = now
        for lease_id, expiry in list(self.expiry_by_lease_id.items()):
            if expiry <= now:
                self.revoke(lease_id)

    def grant(self) -> int:
        """Return a new lease."""
        lease_id = self.next_lease_id
        self.next_lease_id += 1
        self.expiry_by_lease_id[lease_id] = self.now + TTL_S
        return lease_id

    def renew(self, lease_id: int) -> bool:
        """Renew a lease; return whether it exists."""
        if lease_id not in self.expiry_by_lease_id:
            return False
        self.expiry_by_lease_id[lease_id] = self.now + TTL_S
        return True

    def revoke(self, lease_id: int) -> None:
        """End a lease, and remove its keys."""
        self.expiry_by_lease_id.pop(lease_id, None)
        for key, stored in list(self.stored_by_key.items()):
            if stored.lease_id == lease_id:
                self.write(key, None, 0)

    def number_of_key(self, key: str) -> int:
        """Return the number of a key's last change; 0 if it does not exist."""
        stored = self.stored_by_key.get(key)
        return 0 if stored is None else stored.number

    def write(self, key: str, value: bytes | None, lease_id: int) -> int:
        """Write or remove a key; return the revision."""
        self.number += 1
        if value is None:
            del self.stored_by_key[key]
        else:
            self.stored_by_key[key] = StoredKey(value, self.number, lease_id)
        self.changes.append(Change(self.now, key, value, self.revision))
        return self.revision

    def copy(self) -> LeasedCopy:
        """Return a copy of the present state."""
        return LeasedCopy(
            self.number,
            dict(self.stored_by_key),
            dict(self.expiry_by_lease_id),
            self.next_lease_id,
            self.now,
        )

    def return_from(self, copy: LeasedCopy, renews_leases: bool) -> None:
        """Return from a copy; its leases have their whole time or what was left."""
        self.era += 1
        self.number = copy.number
        self.stored_by_key = dict(copy.stored_by_key)
        self.next_lease_id = copy.next_lease_id
        self.expiry_by_lease_id = {
            lease_id: self.now
            + (TTL_S if renews_leases else max(expiry - copy.made_at, 0.0))
            for lease_id, expiry in copy.expiry_by_lease_id.items()
        }
        self.changes = []


@attrs.define
class Machine:
    """One machine: the process that runs there, and its faults."""

    name: str
    process_number: int = 0
    is_alive: bool = False
    is_stopped: bool = False
    is_cut_from_store: bool = False
    is_cut_from_peers: bool = False
    has_lost_servers: bool = False
    leaves_at: float | None = None
    # How late watches report.
    lag_s: float = 0.0
    # Its next calls get no answer; they are carried out after these times.
    lost_calls_s: list[float] = attrs.field(factory=list)
    disturbed_at: float = float("-inf")

    @property
    def member(self) -> Member:
        """The member that the present process is."""
        return member(self.name, str(self.process_number))

    def is_calm(self) -> bool:
        """Return whether no fault acts on the machine."""
        return self.is_alive and not (
            self.is_stopped
            or self.is_cut_from_store
            or self.is_cut_from_peers
            or self.leaves_at is not None
        )


@attrs.define
class Process:
    """The decision of one process, its session and its messages under way."""

    machine: Machine
    decision: Leadership
    # What the adapter knows of the store.
    era: int = 0
    lease_id: int | None = None
    lease_era: int = 0
    renewal_due: float = 0.0
    session: SessionValidity = attrs.field(factory=SessionValidity)
    term: LeadershipTerm = attrs.field(factory=LeadershipTerm)
    inbox: list[tuple[float, Message, str]] = attrs.field(factory=list)
    # The watch: the next change to report, or None if it has to list.
    position: int | None = None
    watch_era: int = 0
    revision_by_key: dict[str, int] = attrs.field(factory=dict)
    value_by_key: dict[str, bytes] = attrs.field(factory=dict)
    # Removals that a return has shown, with the times when they are reported.
    held_removals: list[tuple[float, str, int]] = attrs.field(factory=list)
    member_by_id: dict[str, Member] = attrs.field(factory=dict)

    def learn_era(self, era: int) -> bool:
        """Record the era of an answer; return whether the answer counts."""
        if era < self.era:
            return False
        self.era = era
        return True


@attrs.frozen
class Call:
    """A call under way to the store."""

    process: Process
    request: KvSwap | KvDelete
    lease_id: int
    due: float
    is_answered: bool


@attrs.frozen
class Order:
    """An order at the server."""

    at: float
    holder: str
    epoch: int
    in_touch: bool


@attrs.define
class OrderLog:
    """The orders at one server, and the check of rule ONE."""

    epochs_checked: bool
    orders: list[Order] = attrs.field(factory=list)
    holder_by_epoch: dict[int, str] = attrs.field(factory=dict)
    highest: int = 0

    def record_term(self, epoch: int, holder: str) -> None:
        """Check that no two holders have one epoch number."""
        assert self.holder_by_epoch.setdefault(epoch, holder) == holder

    def arrive(self, order: Order) -> bool:
        """Record an order; return whether it is carried out."""
        self.record_term(order.epoch, order.holder)
        other = next(
            (o for o in reversed(self.orders) if o.holder != order.holder), None
        )
        if other is not None and self._counts(other) and self._counts(order):
            assert order.at - other.at >= LEASE_S - 1e-6, (other, order)
        self.orders.append(order)
        if order.epoch < self.highest:
            assert self.epochs_checked, (self.highest, order)
            return False
        self.highest = order.epoch
        return True

    def _counts(self, order: Order) -> bool:
        return order.in_touch or not self.epochs_checked


class LeaderSite:
    """The machines of a site, their store and one server."""

    def __init__(self, count: int, epochs_checked: bool) -> None:
        self.now = 0.0
        self.store = LeasedStore()
        self.copy = self.store.copy()
        self.log = OrderLog(epochs_checked)
        self.orders = OrderBounds(lease_s=LEASE_S, epochs_checked=epochs_checked)
        self.machine_by_name = {f"g{n}": Machine(f"g{n}") for n in range(count)}
        self.process_by_name: dict[str, Process] = {}
        self.calls: list[Call] = []
        self.store_disturbed_at = float("-inf")
        for name in self.machine_by_name:
            self.start(name, first_start=True)

    # Faults

    def start(self, name: str, *, first_start: bool = False) -> None:
        """Start a process on a machine where none runs."""
        machine = self.machine_by_name[name]
        if machine.is_alive:
            return
        machine.process_number += 1
        machine.is_alive, machine.is_stopped, machine.leaves_at = True, False, None
        if not first_start:
            machine.disturbed_at = self.now
        decision = Leadership(
            machine.member,
            bounds(orders=self.orders),
            ("watcher",),
            self.now,
            session_silence_s=SILENCE_S,
            session_ttl_s=TTL_S,
            first_start=first_start,
        )
        process = Process(machine, decision, renewal_due=self.now)
        process.member_by_id[name] = machine.member
        self.process_by_name[name] = process
        self._deliver(process, MembershipChanged(dict(process.member_by_id)))
        if machine.has_lost_servers:
            self._deliver(process, ReachChanged(True))

    def kill(self, name: str) -> None:
        """End a process; its calls under way are still carried out."""
        machine = self.machine_by_name[name]
        machine.is_alive, machine.disturbed_at = False, self.now
        self.process_by_name.pop(name, None)

    def terminate(self, name: str) -> None:
        """Send SIGTERM; the process ends its session and then itself."""
        machine = self.machine_by_name[name]
        if machine.is_alive and machine.leaves_at is None:
            machine.leaves_at = self.now + DRAIN_S
            self._deliver(self.process_by_name[name], StopLeading())

    def set_reach(self, name: str, is_cut_off: bool) -> None:
        """Cut a machine off from the servers, or end that."""
        machine = self.machine_by_name[name]
        if machine.has_lost_servers != is_cut_off:
            machine.has_lost_servers = is_cut_off
            if machine.is_alive:
                process = self.process_by_name[name]
                self._deliver(process, ReachChanged(is_cut_off))

    def keep_copy(self) -> None:
        """Keep a copy from which the store may return."""
        self.copy = self.store.copy()

    def return_store(self, renews_leases: bool) -> None:
        """Let the store return from the copy that was kept last."""
        self.store_disturbed_at = self.now
        self.store.return_from(self.copy, renews_leases)

    def forget_history(self) -> None:
        """Make all watches list again."""
        for process in self.process_by_name.values():
            process.position = None

    def end_faults(self) -> None:
        """End all faults and start all processes."""
        for name, machine in self.machine_by_name.items():
            machine.is_stopped = False
            machine.is_cut_from_store = machine.is_cut_from_peers = False
            machine.lag_s = 0.0
            machine.lost_calls_s.clear()
            self.set_reach(name, is_cut_off=False)
            self.start(name)

    # Time

    def run(self, seconds: float) -> None:
        """Let time pass."""
        for _ in range(round(seconds / STEP_S)):
            self.now = round(self.now + STEP_S, 6)
            self._step()

    def _step(self) -> None:
        self.store.advance(self.now)
        for call in [one for one in self.calls if one.due <= self.now]:
            self.calls.remove(call)
            self._execute(call)
        for name, machine in self.machine_by_name.items():
            if not machine.is_calm():
                machine.disturbed_at = self.now
            if machine.lag_s or machine.lost_calls_s:
                self.store_disturbed_at = self.now
            if machine.is_alive and not machine.is_stopped:
                self._step_process(self.process_by_name[name])

    def _step_process(self, process: Process) -> None:
        machine = process.machine
        # A process that was stopped may order before it handles its messages.
        self._order(process)
        if machine.leaves_at is not None and self.now >= machine.leaves_at:
            self._end_process(process)
            return
        self._renew(process)
        self._watch(process)
        for _ in range(3):
            self._handle_due(process)
            wake_at = process.decision.wake_at()
            if wake_at is not None and wake_at <= self.now:
                self._send(process, process.decision.on_time(self.now))
        self._order(process)

    def _handle_due(self, process: Process) -> None:
        due = [one for one in process.inbox if one[0] <= self.now]
        process.inbox = [one for one in process.inbox if one[0] > self.now]
        for _, message, sender in due:
            if isinstance(message, SessionRenewed):
                process.session.record_renewal(message)
            if isinstance(message, SessionGone):
                process.session.record_end()
            handled = process.decision.handle(incoming(message, sender), self.now)
            self._send(process, handled)

    def _end_process(self, process: Process) -> None:
        machine = process.machine
        has_lease = process.lease_era == self.store.era
        if process.lease_id is not None and has_lease and not machine.is_cut_from_store:
            self.store.revoke(process.lease_id)
        self.kill(machine.name)

    def _order(self, process: Process) -> None:
        if not process.term.allows_orders(self.now):
            return
        if process.machine.has_lost_servers:
            return
        name, epoch = process.machine.name, process.term.permit().epoch
        calm_since = max(process.machine.disturbed_at, self.store_disturbed_at)
        in_touch = self.now - calm_since > CONTACT_S
        if not self.log.arrive(Order(self.now, name, epoch, in_touch)):
            self._deliver(process, LeadershipFenced(epoch))

    # Messages

    def _deliver(
        self, process: Process, message: Message, sender: str = "", delay_s: float = 0.0
    ) -> None:
        name = sender or process.machine.name
        process.inbox.append((self.now + delay_s, message, name))

    def _send(self, process: Process, batch: list[Outgoing]) -> None:
        for outgoing in batch:
            match outgoing.message:
                case KvSwap() | KvDelete() as request:
                    self._call(process, request)
                case LeadershipHeld(epoch, from_s):
                    self.log.record_term(epoch, process.machine.name)
                    process.term.begin(epoch, from_s)
                case LeadershipExtended(until_s, detached):
                    process.term.extend(until_s, detached)
                case LeadershipLost():
                    process.term.end()
                case LeaderSucceeded() as succeeded:
                    name = outgoing.recipient.instance_id
                    self._tell_peer(process, name, succeeded)

    def _tell_peer(self, process: Process, name: str, message: Message) -> None:
        peer = self.process_by_name.get(name)
        if peer is None or peer.machine.is_cut_from_peers:
            return
        if not process.machine.is_cut_from_peers:
            self._deliver(peer, message, process.machine.name, DELAY_S)

    # Calls to the store

    def _call(self, process: Process, request: KvSwap | KvDelete) -> None:
        machine = process.machine
        lease_id: int | None = 0
        if isinstance(request, KvSwap):
            is_known = process.session.era == process.era
            lease_id = process.session.valid_lease_id(self.now) if is_known else None
        if lease_id is None or machine.is_cut_from_store:
            unavailable = KvUnavailable(request.request_id, request.key)
            self._deliver(process, unavailable, delay_s=DELAY_S)
            return
        if era_of(request.expected_revision) < process.era and (
            request.expected_revision
        ):
            self._deliver(process, self._conflict(process, request), delay_s=DELAY_S)
            return
        delay_s, is_answered = DELAY_S, True
        if machine.lost_calls_s:
            delay_s, is_answered = machine.lost_calls_s.pop(0), False
            lost = KvAnswerLost(request.request_id, request.key)
            self._deliver(process, lost, delay_s=CALL_TIMEOUT_S)
        due = self.now + delay_s
        self.calls.append(Call(process, request, lease_id, due, is_answered))

    def _execute(self, call: Call) -> None:
        reply = self._reply(call.process, call.request, call.lease_id)
        if call.is_answered:
            self._deliver(call.process, reply)
            reachable = KvReachability(True, self.now, era=call.process.era)
            self._deliver(call.process, reachable)

    def _reply(
        self, process: Process, request: KvSwap | KvDelete, lease_id: int
    ) -> KvReply:
        store, key, request_id = self.store, request.key, request.request_id
        lost = KvAnswerLost(request_id, key)
        if number_of(request.expected_revision) != store.number_of_key(key):
            return self._conflict(process, request)
        if isinstance(request, KvSwap):
            if lease_id not in store.expiry_by_lease_id:
                return KvUnavailable(request_id, key)
            revision = store.write(key, request.value, lease_id)
        elif key in store.stored_by_key:
            revision = store.write(key, None, 0)
        else:
            revision = store.revision
        expected_era = era_of(request.expected_revision)
        is_other_era = request.expected_revision and expected_era != store.era
        if not process.learn_era(store.era) or is_other_era:
            return lost
        if isinstance(request, KvDelete):
            return KvDeleted(request_id, key)
        return KvSwapped(request_id, key, revision)

    def _conflict(self, process: Process, request: KvSwap | KvDelete) -> KvReply:
        stored = self.store.stored_by_key.get(request.key)
        process.learn_era(self.store.era)
        if stored is None:
            return KvConflict(request.request_id, request.key, None, 0)
        revision = make_revision(self.store.era, stored.number)
        return KvConflict(request.request_id, request.key, stored.value, revision)

    # The session

    def _renew(self, process: Process) -> None:
        if self.now < process.renewal_due:
            return
        machine = process.machine
        if machine.is_cut_from_store:
            process.renewal_due = self.now + RETRY_INTERVAL_S
            self._deliver(process, KvReachability(False, self.now))
            return
        process.renewal_due = self.now + RENEW_INTERVAL_S
        process.learn_era(self.store.era)
        if process.lease_id is not None and not self._keeps_lease(process):
            process.lease_id = None
            self._deliver(process, SessionGone())
        if process.lease_id is None:
            self._open_session(process)
        assert process.lease_id is not None
        self._deliver(
            process,
            SessionRenewed(
                machine.member.incarnation,
                process.lease_id,
                self.now,
                TTL_S,
                process.lease_era,
            ),
        )
        self._deliver(process, KvReachability(True, self.now, era=process.era))

    def _keeps_lease(self, process: Process) -> bool:
        assert process.lease_id is not None
        if not self.store.renew(process.lease_id):
            return False
        if process.lease_era != self.store.era:
            stored = self.store.stored_by_key.get(session_key(process.machine.name))
            if stored is None or stored.value != _session_value(process):
                return False
            process.lease_era = self.store.era
        return True

    def _open_session(self, process: Process) -> None:
        process.lease_id, process.lease_era = self.store.grant(), self.store.era
        key = session_key(process.machine.name)
        self.store.write(key, _session_value(process), process.lease_id)

    # The watch

    def _watch(self, process: Process) -> None:
        if process.machine.is_cut_from_store:
            process.position = None
            return
        if process.position is None or process.watch_era != self.store.era:
            self._list(process)
        due = [one for one in process.held_removals if one[0] <= self.now]
        for one in due:
            process.held_removals.remove(one)
            self._report(process, one[1], None, one[2])
        assert process.position is not None
        for change in self.store.changes[process.position :]:
            if change.at + process.machine.lag_s > self.now:
                break
            process.position += 1
            self._publish(process, change.key, change.value, change.revision)

    def _list(self, process: Process) -> None:
        """List the keys; after a return, as `ChangeFeed` does."""
        process.learn_era(self.store.era)
        process.position = len(self.store.changes)
        is_return = process.watch_era not in (0, self.store.era)
        process.watch_era = self.store.era
        known = dict(process.revision_by_key)
        for key, stored in self.store.stored_by_key.items():
            revision = make_revision(self.store.era, stored.number)
            is_kept = process.value_by_key.get(key) == stored.value
            if is_kept and number_of(known.get(key, 0)) == stored.number:
                process.revision_by_key[key] = revision
            else:
                self._publish(process, key, stored.value, revision)
        for key in known.keys() - self.store.stored_by_key.keys():
            del process.revision_by_key[key]
            grace_s = REWRITE_GRACE_S if is_return else 0.0
            removal = self.now + grace_s, key, self.store.revision
            process.held_removals.append(removal)
        self._deliver(process, WatchListed("shared"))

    def _publish(
        self, process: Process, key: str, value: bytes | None, revision: int
    ) -> None:
        if revision <= process.revision_by_key.get(key, 0):
            return
        process.held_removals = [one for one in process.held_removals if one[1] != key]
        process.revision_by_key[key] = revision
        if value is None:
            del process.revision_by_key[key]
            process.value_by_key.pop(key, None)
        else:
            process.value_by_key[key] = value
        self._report(process, key, value, revision)

    def _report(
        self, process: Process, key: str, value: bytes | None, revision: int
    ) -> None:
        if key == LEADER_KEY:
            self._deliver(process, KvChanged(key, value, revision))
        name = key.removeprefix(SESSION_PREFIX)
        if name == key or name == process.machine.name:
            return
        if value is None:
            process.member_by_id.pop(name, None)
        else:
            process.member_by_id[name] = member(name)
        self._deliver(process, MembershipChanged(dict(process.member_by_id)))


def _session_value(process: Process) -> bytes:
    return f"{process.machine.member.incarnation}/{process.lease_id}".encode()
