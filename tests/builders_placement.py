"""Simulated environment of `Placement`: servers, key-value service and instances.

Time is a number that the test advances. Nothing sleeps, and no socket is opened.
"""

from __future__ import annotations

from collections.abc import Callable

import attrs

from siskinspool.core.member import Member, MembershipChanged
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.machines.messages import (
    CatalogChanged,
    LeavingChanged,
    OrderKind,
    OrderResult,
    OrderSettled,
    OwnersChanged,
    OwnershipGained,
    OwnershipLost,
    RampSlots,
    ReplicaPlanned,
    ReplicaRefused,
    ReplicaRequest,
    ReplicaState,
    ReplicaUsed,
    ReportedReplica,
    SendOrder,
    ServerReport,
    ServerUnreachable,
)
from siskinspool.machines.placement import Placement
from siskinspool.machines.ramp import HeldSlots
from siskinspool.machines.record_encoding import JsonRecordEncoding
from siskinspool.machines.reservations import Reservation, ServerRecord
from siskinspool.manifest.model import Catalog, RequestClass, Server
from siskinspool.store.keys import SERVERS_PREFIX
from siskinspool.store.kv import (
    KvAnswerLost,
    KvConflict,
    KvDelete,
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

PARTITION = "placement/lagos"
ENCODING = JsonRecordEncoding()


class SimulatedKeyValueStore:
    """In-memory key-value service that can lose answers, delay writes and be down."""

    def __init__(self) -> None:
        self.item_by_key: dict[str, KvItem] = {}
        self.revision = 0
        self.is_down = False
        # Number of next writes that take effect, but whose answers are lost.
        self.answers_to_lose = 0
        # Number of next writes that are delayed, and whose answers are lost.
        self.writes_to_delay = 0
        self.delayed_writes: list[KvSwap] = []
        # Whether delayed writes take effect right after the next read.
        self.apply_after_read = False

    def call(self, request: KvRequest) -> KvReply:
        """Execute a request and return the answer that the caller receives."""
        key = request.key if isinstance(request, (KvGet, KvSwap, KvDelete)) else ""
        if self.is_down:
            return KvUnavailable(request.request_id, key)
        match request:
            case KvList():
                items = sorted(self.item_by_key.items())
                found = tuple(i for k, i in items if k.startswith(request.prefix))
                return KvListing(request.request_id, request.prefix, found)
            case KvGet():
                item = self.item_by_key.get(key) or KvItem(key, b"", 0)
                value = item.value if item.revision else None
                while self.apply_after_read and self.delayed_writes:
                    self.swap(self.delayed_writes.pop(0))
                return KvValue(request.request_id, key, value, item.revision)
            case KvSwap():
                if self.writes_to_delay > 0:
                    self.writes_to_delay -= 1
                    self.delayed_writes.append(request)
                    return KvAnswerLost(request.request_id, key)
                reply = self.swap(request)
                if self.answers_to_lose > 0:
                    self.answers_to_lose -= 1
                    return KvAnswerLost(request.request_id, key)
                return reply
        raise AssertionError(request)

    def swap(self, request: KvSwap) -> KvReply:
        """Compare and swap one key."""
        item = self.item_by_key.get(request.key)
        revision = item.revision if item is not None else 0
        if revision != request.expected_revision:
            value = item.value if item is not None else None
            return KvConflict(request.request_id, request.key, value, revision)
        self.revision += 1
        stored = KvItem(request.key, request.value, self.revision)
        self.item_by_key[request.key] = stored
        return KvSwapped(request.request_id, request.key, self.revision)

    def record(self, server_id: str) -> ServerRecord:
        """Return a server's record as stored."""
        item = self.item_by_key.get(SERVERS_PREFIX + server_id)
        record = ENCODING.decode(item.value) if item is not None else None
        return record or ServerRecord(0)


@attrs.define
class _HeldReplica:
    """A replica on a simulated server."""

    target: tuple[str, str]
    memory_mib: int
    loaded_at: float
    failed: bool = False


class SimulatedServer:
    """A simulated server that executes orders without checking memory.

    An overcommitted decision therefore shows as used memory above the total memory.
    """

    def __init__(self, server: Server, load_s: float = 1.0) -> None:
        self.server = server
        self.load_s = load_s
        self.boot_count = 1
        self.highest_fence = 0
        self.held_by_replica: dict[str, _HeldReplica] = {}
        self.started_loads: list[tuple[str, tuple[str, str]]] = []
        self.is_reachable = True
        self.fail_loads = False
        # Number of running requests in its reports.
        self.running = 0

    @property
    def used_mib(self) -> int:
        """Return the memory of all loaded and loading replicas."""
        return sum(
            held.memory_mib for held in self.held_by_replica.values() if not held.failed
        )

    def restart(self) -> None:
        """Restart cold; the highest fence is kept, since servers persist it."""
        self.boot_count += 1
        self.held_by_replica.clear()

    def execute_order(
        self, order: SendOrder, memory_mib: int, now: float
    ) -> OrderResult:
        """Execute an order."""
        if self.server.checks_fencing and order.fence < self.highest_fence:
            return OrderResult.STALE_FENCE
        self.highest_fence = max(self.highest_fence, order.fence)
        if order.kind in (OrderKind.UNLOAD, OrderKind.UNLOAD_ADAPTER):
            self.held_by_replica.pop(order.replica_id, None)
        elif order.replica_id not in self.held_by_replica:
            target = (order.model, order.adapter)
            held = _HeldReplica(target, memory_mib, now + self.load_s, self.fail_loads)
            self.held_by_replica[order.replica_id] = held
            self.started_loads.append((order.replica_id, target))
        return OrderResult.ACCEPTED

    def report(self, now: float) -> ServerReport:
        """Return the server's report."""
        return ServerReport(
            self.server.id,
            f"b{self.boot_count}",
            self.server.capacity,
            self.running,
            0,
            self.server.memory_mib,
            self.used_mib,
            tuple(
                ReportedReplica(replica_id, *held.target, self._state(held, now))
                for replica_id, held in sorted(self.held_by_replica.items())
            ),
            highest_fence=self.highest_fence,
        )

    def loaded(self, now: float) -> list[tuple[str, str]]:
        """Return the targets that are loaded."""
        held = self.held_by_replica.values()
        return [h.target for h in held if h.loaded_at <= now and not h.failed]

    @staticmethod
    def _state(held: _HeldReplica, now: float) -> ReplicaState:
        if held.failed:
            return ReplicaState.FAILED
        loaded = held.loaded_at <= now
        return ReplicaState.LOADED if loaded else ReplicaState.LOADING


@attrs.define
class SimulatedInstance:
    """One instance with its decision, undelivered messages and ramp slots."""

    instance_id: str
    placement: Placement
    slots: HeldSlots = attrs.field(factory=HeldSlots)
    inbox: list[Incoming] = attrs.field(factory=list)
    # Orders that its task ``orders`` has queued, but not sent.
    orders: list[SendOrder] = attrs.field(factory=list)
    is_paused: bool = False
    is_alive: bool = True


class SimulatedSite:
    """A simulated site of instances, servers and a key-value service."""

    def __init__(self, catalog: Catalog, instances: int = 2) -> None:
        self.catalog = catalog
        self.now = 100.0
        self.kv = SimulatedKeyValueStore()
        self.epoch = 0
        self.owner = ""
        self.server_by_id = {
            s.id: SimulatedServer(s) for s in catalog.server_by_id.values()
        }
        self.instance_by_id: dict[str, SimulatedInstance] = {}
        self.answers: list[tuple[str, Message]] = []
        self.ever_decided: set[str] = set()
        self.gone_instance_ids: set[str] = set()
        self.leaving_server_ids: set[str] = set()
        # Faults of the next orders: "lost" (executed, answer lost), "late" (answer
        # lost, executed when the test releases it) or "refused" (no connection).
        self.order_faults: list[str] = []
        self.late_orders: list[SendOrder] = []
        self.on_change: Callable[[], None] = lambda: None
        for number in range(1, instances + 1):
            self._add(f"i{number}")
        self.notify_membership()

    def _add(self, instance_id: str) -> None:
        placement = Placement(instance_id, f"{instance_id}-1", "lagos", ENCODING)
        self.instance_by_id[instance_id] = SimulatedInstance(instance_id, placement)
        self.post(instance_id, CatalogChanged(self.catalog))

    def post(self, instance_id: str, message: Message, sender: str = "") -> None:
        """Queue a message for an instance's placement task."""
        address = Address(sender or instance_id, "test")
        self.instance_by_id[instance_id].inbox.append(Incoming(address, message))

    def notify_membership(self) -> None:
        """Send the live instances the membership and the list of leaving ones."""
        live = [
            i for i in self.instance_by_id.values() if i.is_alive and not i.is_paused
        ]
        members = {
            i.instance_id: Member(i.instance_id, f"{i.instance_id}-1", "a", "", 1)
            for i in live
        }
        leaving = LeavingChanged(
            frozenset(self.leaving_server_ids),
            frozenset(),
            frozenset(self.gone_instance_ids),
        )
        for instance in live:
            self.post(instance.instance_id, MembershipChanged(members))
            self.post(instance.instance_id, leaving)

    def transfer_ownership(self, instance_id: str) -> None:
        """Make an instance the owner of the partition and notify all instances."""
        former, self.owner = self.owner, instance_id
        self.epoch += 1
        if former and former != instance_id:
            self.post(former, OwnershipLost(PARTITION))
        self.post(instance_id, OwnershipGained(PARTITION, self.epoch))
        for other in self.instance_by_id:
            self.post(other, OwnersChanged({PARTITION: instance_id}))

    def change_catalog(self, catalog: Catalog) -> None:
        """Send a new catalog to all instances."""
        self.catalog = catalog
        for instance_id in self.instance_by_id:
            self.post(instance_id, CatalogChanged(catalog))

    def pause(self, instance_id: str) -> None:
        """Pause a process, which then handles and sends nothing."""
        self.instance_by_id[instance_id].is_paused = True
        self.notify_membership()

    def resume(self, instance_id: str) -> None:
        """Resume a paused process with its pending messages and orders."""
        self.instance_by_id[instance_id].is_paused = False
        self.notify_membership()

    def kill(self, instance_id: str) -> None:
        """End a process; the platform lists it as gone."""
        instance = self.instance_by_id[instance_id]
        instance.is_alive = False
        instance.inbox.clear()
        instance.orders.clear()
        self.gone_instance_ids.add(instance_id)
        self.notify_membership()

    def request_replica(
        self,
        model: str,
        adapter: str = "",
        instance_id: str = "i1",
        deadline_s: float = 30.0,
    ) -> None:
        """Send the owner a replica request from an instance."""
        message = ReplicaRequest(model, adapter, RequestClass.URGENT, deadline_s, 1)
        self.post(self.owner, message, instance_id)

    def report_use(
        self, model: str, server_id: str, running: int, instance_id: str = "i1"
    ) -> None:
        """Send the owner an instance's usage: running requests, and no new ones."""
        used = ReplicaUsed(model, "", server_id, running, 0.0, self.now)
        self.post(self.owner, used, instance_id)

    def settle(self) -> None:
        """Handle messages until no running instance has any pending."""
        for _ in range(1000):
            busy = [
                i
                for i in self.instance_by_id.values()
                if i.inbox and i.is_alive and not i.is_paused
            ]
            if not busy:
                return
            for instance in busy:
                self.step(instance)
        raise AssertionError("messages are still pending after 1000 rounds")

    def step(self, instance: SimulatedInstance) -> None:
        """Make one instance handle one message and send its orders."""
        incoming = instance.inbox.pop(0)
        self.deliver(instance, instance.placement.handle(incoming, self.now))
        self.send_orders(instance)

    def run(self, seconds: float, step_s: float = 0.25, report: bool = True) -> None:
        """Advance time, with server reports on every second step."""
        for number in range(round(seconds / step_s)):
            self.now += step_s
            if report and number % 2 == 0:
                self.report_all()
            for instance in self.instance_by_id.values():
                wake_at = instance.placement.wake_at()
                if instance.is_paused or not instance.is_alive:
                    continue
                if wake_at is not None and wake_at <= self.now:
                    out = instance.placement.on_time(self.now)
                    self.deliver(instance, out)
                self.send_orders(instance)
            self.settle()
            self.on_change()

    def report_all(self) -> None:
        """Send the owner the report of each server."""
        for server in self.server_by_id.values():
            message: Message = ServerUnreachable(server.server.id)
            if server.is_reachable:
                message = server.report(self.now)
            if self.owner:
                self.post(self.owner, message)

    def send_orders(self, instance: SimulatedInstance) -> None:
        """Send the queued orders of a running instance, with the planned faults."""
        while instance.orders and instance.is_alive and not instance.is_paused:
            order = instance.orders.pop(0)
            fault = self.order_faults.pop(0) if self.order_faults else ""
            result = OrderResult.LOST
            if fault == "refused":
                result = OrderResult.NOT_SENT
            elif fault == "late":
                self.late_orders.append(order)
            else:
                answer = self.deliver_order(order)
                result = answer if fault != "lost" else result
            settled = OrderSettled(
                order.order_id, order.server_id, order.replica_id, result
            )
            address = Address(instance.instance_id, "orders")
            instance.inbox.append(Incoming(address, settled))

    def deliver_order(self, order: SendOrder) -> OrderResult:
        """Deliver an order to its server."""
        result = self.server_by_id[order.server_id].execute_order(
            order, self.memory_mib(order.model, order.adapter), self.now
        )
        self.on_change()
        return result

    def memory_mib(self, model: str, adapter: str) -> int:
        """Return the memory of a target."""
        if adapter:
            return self.catalog.adapter_by_id[adapter].memory_mib
        return self.catalog.model_by_id[model].memory_mib

    def reservations(self) -> list[Reservation]:
        """Return all stored reservations."""
        return [
            entry
            for server_id in self.server_by_id
            for entry in self.kv.record(server_id).reservations
        ]

    def loads_started(self, model: str, adapter: str = "") -> int:
        """Return the number of loads of a target that servers have started."""
        return sum(
            target == (model, adapter)
            for server in self.server_by_id.values()
            for _, target in server.started_loads
        )

    def loaded_on(self, model: str) -> list[str]:
        """Return the servers on which a model is loaded."""
        return [
            server.server.id
            for server in self.server_by_id.values()
            if (model, "") in server.loaded(self.now)
        ]

    def refusals(self) -> list[str]:
        """Return the reasons of all refusals so far."""
        return [m.reason for _, m in self.answers if isinstance(m, ReplicaRefused)]

    def plans(self) -> list[ReplicaPlanned]:
        """Return all answers so far that name a server."""
        return [m for _, m in self.answers if isinstance(m, ReplicaPlanned)]

    def deliver(self, instance: SimulatedInstance, batch: list[Outgoing]) -> None:
        """Deliver the messages that an instance's decision returned."""
        own = Address(instance.instance_id, "placement")
        for outgoing in batch:
            message = outgoing.message
            recipient = outgoing.recipient
            if isinstance(message, KvRequest):
                reply = self.kv.call(message)
                instance.inbox.append(
                    Incoming(Address(instance.instance_id, "kv"), reply)
                )
                self.record_decided()
            elif isinstance(message, SendOrder):
                instance.orders.append(message)
            elif isinstance(message, RampSlots):
                holder = self.instance_by_id[recipient.instance_id]
                if holder.is_alive and not holder.is_paused:
                    holder.slots.accept(message, self.now)
            elif recipient.task == "placement":
                self.instance_by_id[recipient.instance_id].inbox.append(
                    Incoming(own, message)
                )
            else:
                self.answers.append((recipient.instance_id, message))

    def record_decided(self) -> None:
        """Add the replicas in the stored records to `ever_decided`."""
        self.ever_decided |= {entry.replica_id for entry in self.reservations()}
