"""Decides which replicas a site loads and reserves their memory (R1, R2).

The task ``placement`` runs on every instance and is active only while its instance owns
the partition ``placement/<site>``. A takeover seals every server record before any
decision. A decision is one compare-and-swap on a server's record, and its order is sent
only after that write has succeeded, with the record's revision as fence. See
docs/decisions/load-records.md for the safety argument.

This module connects the parts: records (`record_store`), observations (`reservations`,
`fleet`), the load queue (`load_planner`), reconciliation, scaling and ramps.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import attrs

from ..core.decision import Decision
from ..core.member import MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..store.kv import KvReply
from .fleet import Fleet
from .load_planner import LoadPlanner
from .loads import LoadRequest, Waiter
from .messages import (
    CatalogChanged,
    LeavingChanged,
    OrderResult,
    OrderSettled,
    OwnersChanged,
    OwnershipGained,
    OwnershipLost,
    ReplicaRefused,
    ReplicaRequest,
    ReplicaUsed,
    ServerReport,
    ServerUnreachable,
)
from .order_ledger import OrderLedger
from .placement_status import site_status
from .ramp import RampPlan
from .reconciliation import Reconciler
from .record_encoding import RecordEncoding
from .record_store import RecordStore
from .replica_scaling import ReplicaScaler
from .reservations import Target
from .result_forwarding import ResultForwarding
from .server_chooser import LowestCostChooser, ServerChooser
from .site_ramps import SiteRamps
from .usage import UsageTable

TASK_NAME: Final = "placement"
REVIEW_PERIOD_S: Final = 1.0
# Instances repeat a replica request every second while calls wait. If it stayed valid
# until the deadline, it would keep a replica in memory long after its calls ended.
REPLICA_REQUEST_TTL_S: Final = 4.0


class Placement(Decision):
    """Makes the placement decisions at the owner; inactive on all other instances."""

    def __init__(
        self,
        instance_id: str,
        incarnation: str,
        site_id: str,
        encoding: RecordEncoding,
        chooser: ServerChooser | None = None,
    ) -> None:
        self._instance_id = instance_id
        self.partition = f"placement/{site_id}"
        self._active = False
        self.fleet = Fleet()
        self.usage = UsageTable()
        self.ramp = RampPlan()
        self._ledger = OrderLedger(instance_id, incarnation)
        self.store = RecordStore(encoding, f"{instance_id}:{incarnation}")
        self.planner = LoadPlanner(
            self.fleet,
            self.usage,
            self.store,
            self._ledger,
            self.ramp,
            chooser or LowestCostChooser(),
        )
        self._reconciler = Reconciler(
            self.fleet, self.store, self._ledger, self.ramp, self.planner
        )
        self._ramps = SiteRamps(self.fleet, self.usage, self.store, self.ramp)
        self._scaling = ReplicaScaler(self.fleet, self.usage, self.store, self.planner)
        self._dirty_servers: set[str] = set()
        self._forwarding = ResultForwarding(instance_id, TASK_NAME)
        # Whether records of new servers have to be sealed.
        self._is_seal_missing_due = False
        self._next_review_at = 0.0
        self._now = 0.0
        self._handlers: dict[type[Message], Callable[..., list[Outgoing]]] = {
            CatalogChanged: self._on_catalog,
            OwnershipGained: self._on_gained,
            OwnershipLost: self._on_lost,
            OwnersChanged: self._on_owners,
            ReplicaRequest: self._on_replica_request,
            ReplicaUsed: self._on_used,
            ServerReport: self._on_report,
            ServerUnreachable: self._on_unreachable,
            LeavingChanged: self._on_leaving,
            MembershipChanged: self._on_membership,
            OrderSettled: self._on_settled,
        }

    @property
    def is_active(self) -> bool:
        """Return whether this instance owns the partition."""
        return self._active

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle one message and return the messages to send."""
        self._now = now
        message = incoming.message
        if isinstance(message, KvReply):
            out = self._on_kv(message, now)
        else:
            handler = self._handlers.get(type(message))
            out = handler(incoming.sender, message, now) if handler else []
        return out + self._run_due_work(now)

    def on_time(self, now: float) -> list[Outgoing]:
        """Run the work that has become due."""
        self._now = now
        return self._run_due_work(now)

    def status(self, now: float) -> Status:
        """Return records and loads; only that it is inactive if it is not the owner."""
        if not self._active:
            return {"active": False}
        return site_status(self.planner, self.store, self.ramp, now)

    def gauges(self) -> dict[str, float]:
        """Return the number of queued and in-flight loads; 0 at other instances."""
        return {
            "loads.queued": len(self.planner.queue),
            "loads.running": len(self.planner.in_flight_loads.all()),
        }

    def wake_at(self) -> float | None:
        """Return when work is due next."""
        times: list[float | None] = [self._forwarding.wake_at()]
        if self._active:
            times += [
                self.store.wake_at(),
                self.planner.wake_at(self._now),
                self.planner.in_flight_loads.next_stall_at(),
                self.ramp.wake_at(),
            ]
        if self._active and self.store.is_ready():
            times.append(self._next_review_at)
        return min((at for at in times if at is not None), default=None)

    # -- Configuration and membership --------------------------------------------

    def _on_catalog(
        self, sender: Address, message: CatalogChanged, now: float
    ) -> list[Outgoing]:
        open_before = self._open_servers()
        self.fleet.catalog = message.catalog
        self._is_seal_missing_due = True
        self.planner.limits.set_site(message.catalog.manifest.site)
        self._start_reopened_ramps(open_before, now)
        return []

    def _on_leaving(
        self, sender: Address, message: LeavingChanged, now: float
    ) -> list[Outgoing]:
        open_before = self._open_servers()
        self.fleet.leaving = message
        self._start_reopened_ramps(open_before, now)
        return []

    def _open_servers(self) -> set[str]:
        servers = self.fleet.catalog.server_by_id
        return {server_id for server_id in servers if self.fleet.is_open(server_id)}

    def _start_reopened_ramps(self, open_before: set[str], now: float) -> None:
        """Start ramps of servers that are open again after leaving or a closed zone."""
        open_now = self._open_servers()
        self._dirty_servers |= open_before ^ open_now
        for server_id in sorted(open_now - open_before):
            if self._active:
                self._ramps.start_ramp(server_id, now)

    def _on_membership(
        self, sender: Address, message: MembershipChanged, now: float
    ) -> list[Outgoing]:
        self.fleet.member_by_id = dict(message.member_by_id)
        self.ramp.set_instances(set(message.member_by_id))
        return []

    # -- Ownership ----------------------------------------------------------------

    def _on_gained(
        self, sender: Address, message: OwnershipGained, now: float
    ) -> list[Outgoing]:
        if message.partition != self.partition or message.epoch <= self.store.epoch:
            return []
        self._active = True
        out = self._refuse_waiters()
        self._forwarding.set_owner(self._instance_id, now)
        self._is_seal_missing_due = True
        self._reset()
        self.store.take_over(message.epoch)
        self.ramp.start_epoch(message.epoch, now)
        self.planner.replica_view.set_owner_since(now)
        self._next_review_at = now + REVIEW_PERIOD_S
        return out

    def _on_lost(
        self, sender: Address, message: OwnershipLost, now: float
    ) -> list[Outgoing]:
        if message.partition != self.partition or not self._active:
            return []
        return self._deactivate(now)

    def _deactivate(self, now: float) -> list[Outgoing]:
        self._active = False
        self._forwarding.set_owner("", now)
        self.store.reset()
        out = self._refuse_waiters()
        self._reset()
        for settled in self._ledger.discard_unsent():
            self._forwarding.add(settled, now)
        return out

    def _reset(self) -> None:
        self.fleet.reset()
        self.planner.queue.clear()
        self.planner.in_flight_loads.clear()
        self._reconciler.clear()
        self._scaling.clear()
        self._dirty_servers.clear()

    def _refuse_waiters(self) -> list[Outgoing]:
        requests = self.planner.queue.in_order()
        requests += [load.request for load in self.planner.in_flight_loads.all()]
        return [
            Outgoing(
                address,
                ReplicaRefused(
                    request.target.model, request.target.adapter, "not_owner"
                ),
            )
            for request in requests
            for address in request.waiter_by_address
        ]

    def _on_owners(
        self, sender: Address, message: OwnersChanged, now: float
    ) -> list[Outgoing]:
        if not self._active:
            owner = message.owner_by_partition.get(self.partition, "")
            self._forwarding.set_owner(owner, now)
        return []

    # -- Replica requests and usage -----------------------------------------------

    def _on_replica_request(
        self, sender: Address, message: ReplicaRequest, now: float
    ) -> list[Outgoing]:
        refusal = ReplicaRefused(message.model, message.adapter, "not_owner")
        if not self._active:
            return [Outgoing(sender, refusal)]
        target = Target(message.model, message.adapter)
        if self.fleet.memory_mib(target) is None:
            refusal = attrs.evolve(refusal, reason="unknown_model")
            return [Outgoing(sender, refusal)]
        deadline_at = now + message.deadline_in_s
        self.usage.record_demand(target, min(deadline_at, now + REPLICA_REQUEST_TTL_S))
        self.usage.record_waiting_calls(
            target, sender.instance_id, message.waiting, now
        )
        # An instance that uses no replica sends no `ReplicaUsed`. Without this clock
        # sample, its last one would be too old for a valid grant.
        self.ramp.record_clock(sender.instance_id, message.sent_at, now)
        self.ramp.make_grants_due(now)
        waiter = Waiter(deadline_at, message.waiting)
        self.planner.queue.add(
            LoadRequest(
                target,
                message.request_class,
                deadline_at,
                waiter_by_address={sender: waiter},
            )
        )
        return []

    def _on_used(
        self, sender: Address, message: ReplicaUsed, now: float
    ) -> list[Outgoing]:
        if self._active:
            self.usage.record_use(sender.instance_id, message, now)
            self.ramp.record_clock(sender.instance_id, message.sent_at, now)
        return []

    # -- Servers ------------------------------------------------------------------

    def _on_report(
        self, sender: Address, message: ServerReport, now: float
    ) -> list[Outgoing]:
        server_id = message.server_id
        if not self._active or self.fleet.server(server_id) is None:
            return []
        observations = self.fleet.observations(server_id)
        if not observations.accept_report(message, now):
            return []
        self.ramp.update_from_report(message, now)
        self._reconciler.update_absences(server_id, now)
        self.planner.in_flight_loads.handle_report(server_id, now)
        self._ramps.start_ramp_if_cold(server_id, now)
        self._dirty_servers.add(server_id)
        return []

    def _on_unreachable(
        self, sender: Address, message: ServerUnreachable, now: float
    ) -> list[Outgoing]:
        if self._active:
            self.fleet.observations(message.server_id).is_unreachable = True
            self.ramp.record_failure(message.server_id, now)
        return []

    # -- Orders and records -------------------------------------------------------

    def _on_settled(
        self, sender: Address, message: OrderSettled, now: float
    ) -> list[Outgoing]:
        if sender.instance_id == self._instance_id:
            self._ledger.record_result(message.order_id, message.result)
            if not self._active and message.result is not OrderResult.LOST:
                self._forwarding.add(message, now)
        if self._active:
            observations = self.fleet.observations(message.server_id)
            observations.record_result(message.order_id, message.result, now)
            self._dirty_servers.add(message.server_id)
        return []

    def _on_kv(self, reply: KvReply, now: float) -> list[Outgoing]:
        if self._active:
            self.store.handle(reply, now)
        return []

    # -- One step -----------------------------------------------------------------

    def _run_due_work(self, now: float) -> list[Outgoing]:
        out = self._forwarding.due_results(now)
        if not self._active:
            return out
        if self.store.is_superseded:
            return out + self._deactivate(now)
        if self._is_seal_missing_due and self.store.is_listed():
            self._is_seal_missing_due = False
            self.store.seal_missing(set(self.fleet.catalog.server_by_id))
        self.store.on_time(now)
        out += self._drain_committed(now)
        self.planner.in_flight_loads.requeue_stalled(now)
        if self.store.is_ready():
            out += self._reconcile_and_plan(now)
        else:
            out += self.planner.expire_requests(now)
        if self.ramp.is_due(now):
            out += self._ramps.due_slot_messages(now)
            self._dirty_servers.update(self.ramp.awaiting_end())
        kv = Address(self._instance_id, "kv")
        out += [Outgoing(kv, request) for request in self.store.requests]
        self.store.requests.clear()
        return out

    def _reconcile_and_plan(self, now: float) -> list[Outgoing]:
        if now >= self._next_review_at:
            self._next_review_at = now + REVIEW_PERIOD_S
            self._dirty_servers.update(
                load.server_id for load in self.planner.in_flight_loads.all()
            )
            self.usage.expire(now)
            self._scaling.review(now)
        server_ids, self._dirty_servers = self._dirty_servers, set()
        for server_id in sorted(server_ids):
            self._reconciler.reconcile(server_id, now)
        return self._ramps.with_end_notices(self.planner.plan(now))

    def _drain_committed(self, now: float) -> list[Outgoing]:
        out: list[Outgoing] = []
        orders_task = Address(self._instance_id, "orders")
        for committed in self.store.committed:
            record = self.store.record(committed.server_id)
            if record is None:
                continue
            for order in committed.orders:
                self._ledger.mark_sent(order.order_id)
                out.append(Outgoing(orders_task, order))
            for entry in committed.released:
                self.fleet.drop_reservation(committed.server_id, entry)
            self.fleet.update_index(committed.server_id, record)
            out += self.planner.in_flight_loads.handle_record(
                committed.server_id, record, now
            )
            if record.warm_boot_id:
                self.ramp.end_ramp(committed.server_id, record.warm_boot_id, now)
            self._dirty_servers.add(committed.server_id)
        self.store.committed.clear()
        return out
