"""The ``placement`` decision: the leader's orders to model servers.

Gateways send the leader placement requests for models and reports of what they route.
For a requested model the leader chooses the server where it is ready soonest at the
lowest cost, evicts other models if necessary and loads the model, with one order at a
time for each server. It sends the requesting gateways an estimate and a notification
when the model is ready. Without requests it preloads models that no server has a copy
of, so that a later load need not use the weight store, and adds replicas of models with
much demand.

Loads from the weight store are limited by a token bucket, which is sized so that two
successive leaders stay within the bound.
"""

from __future__ import annotations

import logging
from functools import partial
from typing import Final

from ..core.decision import Decision
from ..core.message import Address, Incoming, Outgoing
from ..core.status import Status
from ..store.kv import KvReply
from ..store.kv_task import KV_TASK
from ..telemetry.logs import log_event
from .leadership_term import LeadershipTerm
from .load_ledger import LoadLedger, LoadsHandedOver
from .managed_site import ManagedSite
from .messages import (
    PLACEMENT_TASK,
    HoldingsRead,
    LeadershipExtended,
    LeadershipHeld,
    LeadershipLost,
    ModelExpected,
    ModelReady,
    OrderEnded,
    PlacementRequest,
    ServerBlocked,
)
from .order_planner import OrderPlanner
from .placement_choice import choose_server, find_sooner_choice
from .placement_log import PlacementLog
from .placement_plan import PlacementPlan
from .plan_moves import plan_moves
from .preload import MAX_EXPECTED_PRELOADS, PlannedPreload, PreloadPlanner
from .replica_candidates import AllBusyModels, BusiestModel
from .scheduling_settings import SchedulingSettings
from .server_orders import ServerOrders
from .servers import RegistryListed
from .service_fleet import ServiceFleet

logger = logging.getLogger(__name__)

TICK_S: Final = 0.25
# Between ticks, a store slot that is about to be free is looked for at most this often.
SLOT_CHECK_INTERVAL_S: Final = 0.05
# If all holders of a model are busy for longer than this, another server loads it.
MAX_ADAPTER_WAIT_S: Final = 1.0


class Placement(Decision):
    """Gives orders to servers while this instance leads."""

    def __init__(
        self, instance_id: str, first_start: bool, scheduling: SchedulingSettings
    ) -> None:
        """Create the decision; ``first_start`` is true on the system's first start."""
        self._id = instance_id
        self._planner = OrderPlanner(first_start)
        self._preload_planner = PreloadPlanner(
            instance_id,
            AllBusyModels() if scheduling.replica_scaling else BusiestModel(),
        )
        self._site = ManagedSite()
        self._term = LeadershipTerm()
        self._next_tick_at = 0.0
        self._next_slot_check_at = 0.0
        # When a server is due next; None if that has to be found out.
        self._attention_at: float | None = None
        self._log = PlacementLog()
        self._ledger = LoadLedger()
        self._orders = ServerOrders(
            instance_id, self._site, self._term, self._planner, self._log
        )
        # Placement requests that wait for the first reports, by (model, adapter,
        # gateway).
        self._pending_requests: dict[tuple[str, str, str], PlacementRequest] = {}

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a placement request, the end of an order or a change."""
        self._attention_at = None
        sender = incoming.sender.instance_id
        match incoming.message:
            case PlacementRequest() as request:
                self._site.update_requesters(request, sender, now)
                return self._handle_request(request, sender, now)
            case OrderEnded() as ended:
                return self._orders.handle_order_end(ended, now)
            case HoldingsRead() as read:
                return self._handle_report(read, now)
            case ServerBlocked() as blocked:
                self._orders.block(blocked, now)
            case KvReply() as reply:
                self._site.inherit_record(self._ledger.handle_reply(reply), now)
            case LoadsHandedOver(loads):
                self._site.inherit_loads(loads, now)
            case RegistryListed():
                self._ledger.read_again()
            case other:
                if not self._site.handle_change(other, sender, now):
                    return self._handle_leadership(other, now)
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Give the orders that are due, and plan loads that no request asks for.

        All servers are advanced at each tick, between ticks only those that are due.
        """
        self._attention_at = None
        is_tick = now >= self._next_tick_at
        if is_tick:
            self._next_tick_at = now + TICK_S
        self._site.update_store_loads(now)
        if not self._term.allows_orders(now):
            return []
        batch: list[Outgoing] = []
        if is_tick or now >= self._next_slot_check_at:
            self._next_slot_check_at = now + SLOT_CHECK_INTERVAL_S
            for fleet in self._site.fleets(now):
                if is_tick or fleet.store_queue.has_slot_soon(now):
                    batch += self._move_plans(fleet, now)
                    batch += self._plan_preloads(fleet, now)
        for server in list(self._site.server_by_id.values()):
            is_due = is_tick or server.attention_at() <= now
            if is_due and server.record.service in self._site.engine_by_service:
                batch += self._orders.advance(server, now)
        loads = self._site.in_flight_loads(now)
        if due := self._ledger.write(loads, now, partial(self._site.record, now=now)):
            batch.append(Outgoing(Address(self._id, KV_TASK), due))
        return batch

    def wake_at(self) -> float | None:
        """Return when a server needs attention."""
        if self._term.epoch is None:
            return None
        if self._attention_at is None:
            self._attention_at = self._site.attention_at()
        return min(self._next_tick_at, self._attention_at)

    def status(self, now: float) -> Status:
        """Return the state of the servers as known to the leader."""
        if self._term.epoch is None:
            return {"leading": False}
        return {
            "leading": self._term.allows_orders(now),
            "epoch": self._term.epoch,
            "servers": self._site.status(),
            "store_limits": self._site.store_limits(),
        }

    def gauges(self) -> dict[str, float]:
        """Return counts of plans and unloads since the start of the process."""
        return self._log.gauges() | {
            "placement.models_short": float(self._site.count_shortages())
        }

    # Placement requests

    def _handle_request(
        self, request: PlacementRequest, gateway: str, now: float
    ) -> list[Outgoing]:
        fleet = self._site.fleet(request.service, now)
        if fleet is None or request.model not in fleet.engine.model_by_name:
            return []
        if not self._term.allows_orders(now):
            return []
        self._site.model_users.record_request(request.model, gateway, now)
        batch: list[Outgoing] = []
        for server in self._site.servers_to_check(request.silent_servers, now):
            batch += self._orders.read_report(server, now)
        unread = [server for server in fleet.servers if server.order_count is None]
        if unread:
            # Without the reports a plan might load what is already there.
            self._pending_requests[(request.model, request.adapter, gateway)] = request
            for server in unread:
                batch += self._orders.advance(server, now)
            return batch
        if request.adapter:
            return batch + self._request_adapter(fleet, request, gateway, now)
        return batch + self._request_model(fleet, request, gateway, now)

    def _request_model(
        self, fleet: ServiceFleet, request: PlacementRequest, gateway: str, now: float
    ) -> list[Outgoing]:
        model = request.model
        for server in fleet.servers:
            self._orders.drop_stale(server, now)
        silent = set(request.silent_servers)
        for server in fleet.servers:
            if server.needs_report and model in server.holdings.model_by_name:
                # Read the report first; the gateway repeats its request.
                return self._orders.advance(server, now)
            if server.holds_model(model) and server.record.server_id not in silent:
                self._log.log_shortage_end(server, model, fleet.shortages, now)
                ready = ModelReady(model, request.adapter, server.record.server_id)
                return (
                    [] if request.adapter else [self._orders.to_routing(gateway, ready)]
                )
        for server in fleet.servers:
            plan = server.find_or_restore_plan(model, now)
            if plan is None:
                continue
            plan.record_request(gateway, request.waiting, now)
            fleet.sort_plans(server, now)
            batch: list[Outgoing] = []
            sooner = None
            if server.loading_model != model:
                sooner = find_sooner_choice(fleet, server, plan, now)
            if sooner is not None:
                server.plans.remove(plan)
                self._orders.add_plan(fleet, plan, sooner, "sooner", now)
                server = sooner.server
                batch = self._orders.advance(server, now)
            expected = fleet.model_expected(request, server, now)
            return [self._orders.to_routing(gateway, expected), *batch]
        servers = [
            server
            for server in fleet.servers
            if not server.holds_model(model) and server.loading_model != model
        ]
        choice = choose_server(
            fleet, fleet.engine.model_by_name[model], servers, now, request.waiting
        )
        if choice is None:
            log_event(logger, logging.WARNING, "model_has_no_room", model=model)
            return []
        plan = PlacementPlan(model, "", {gateway: request.waiting}, now)
        self._orders.add_plan(fleet, plan, choice, "wanted", now)
        reply = self._orders.to_routing(
            gateway, fleet.model_expected(request, choice.server, now)
        )
        return [reply, *self._orders.advance(choice.server, now)]

    def _request_adapter(
        self, fleet: ServiceFleet, request: PlacementRequest, gateway: str, now: float
    ) -> list[Outgoing]:
        model, adapter = request.model, request.adapter
        batch: list[Outgoing] = []
        holders = [server for server in fleet.servers if server.holds_model(model)]
        if not holders:
            return self._request_model(fleet, request, gateway, now)
        for server in holders:
            plan = server.find_plan(model, adapter)
            if plan is not None:
                plan.record_request(gateway, request.waiting, now)
                return []
            adapter_load = server.load_by_adapter.get((model, adapter))
            if adapter_load is not None:
                adapter_load.waiting_gateways.add(gateway)
                return []
            if server.holds_adapter(model, adapter) and not server.needs_report:
                ready = ModelReady(model, adapter, server.record.server_id)
                return [self._orders.to_routing(gateway, ready)]
        chosen = fleet.choose_holder(holders, request.near_server, now)
        if not fleet.has_adapter_slot(chosen, now):
            # Requests use all adapters of all holders.
            if model not in self._preload_planner.pending_models(fleet):
                batch += self._add_replica(fleet, model, now)
            return batch
        chosen.plans.append(
            PlacementPlan(model, adapter, {gateway: request.waiting}, now)
        )
        batch += self._orders.advance(chosen, now)
        if chosen.busy_until is not None:
            in_s = chosen.remaining_busy_s(fleet.engine, now)
            batch.append(
                self._orders.to_routing(gateway, ModelExpected(model, adapter, in_s))
            )
            if (
                in_s > MAX_ADAPTER_WAIT_S
                and model not in self._preload_planner.pending_models(fleet)
            ):
                # No holder can load an adapter soon, but another server can load the
                # model.
                batch += self._add_replica(fleet, model, now)
        return batch

    # Preloads

    def _plan_preloads(self, fleet: ServiceFleet, now: float) -> list[Outgoing]:
        """Plan preloads, but not while a successor may be giving orders."""
        if self._term.is_detached or any(s.order_count is None for s in fleet.servers):
            return []
        batch: list[Outgoing] = []
        for _ in range(MAX_EXPECTED_PRELOADS):
            if (
                preload := self._preload_planner.plan_expected_model(fleet, now)
            ) is None:
                break
            batch += self._start_preload(fleet, preload, now)
        preload = self._preload_planner.next_preload(fleet, now)
        return batch + self._start_preload(fleet, preload, now)

    def _start_preload(
        self, fleet: ServiceFleet, preload: PlannedPreload | None, now: float
    ) -> list[Outgoing]:
        if preload is None:
            return []
        self._orders.add_plan(fleet, preload.plan, preload.choice, preload.reason, now)
        return self._orders.advance(preload.choice.server, now)

    def _add_replica(
        self, fleet: ServiceFleet, model: str, now: float
    ) -> list[Outgoing]:
        replica = self._preload_planner.plan_replica(fleet, model, now)
        return self._start_preload(fleet, replica, now)

    def _move_plans(self, fleet: ServiceFleet, now: float) -> list[Outgoing]:
        """Move plans to other servers where store slots would be unused or wasted."""
        batch: list[Outgoing] = []
        for plan_move in plan_moves(fleet, now):
            plan_move.server.plans.remove(plan_move.plan)
            self._orders.add_plan(
                fleet, plan_move.plan, plan_move.choice, plan_move.reason, now
            )
            batch += self._orders.advance(plan_move.choice.server, now)
        return batch

    # Reports

    def _handle_report(self, read: HoldingsRead, now: float) -> list[Outgoing]:
        server = self._site.server_by_id.get(read.server_id)
        if server is None:
            return []
        batch = self._orders.handle_report(server, read, now)
        # A silent server's report unblocks no request.
        return batch if read.holdings is None else batch + self._handle_pending(now)

    def _handle_pending(self, now: float) -> list[Outgoing]:
        """Handle the placement requests that were waiting for reports."""
        pending, self._pending_requests = self._pending_requests, {}
        batch: list[Outgoing] = []
        for (_, _, gateway), request in pending.items():
            batch += self._handle_request(request, gateway, now)
        return batch

    # Leadership

    def _handle_leadership(self, message: object, now: float) -> list[Outgoing]:
        match message:
            case LeadershipHeld(epoch, from_s):
                self._term.begin(epoch, from_s)
                self._planner.begin_term()
                self._site.reset_plans(now)
                self._next_tick_at = now
                read = self._ledger.begin_term(now)
                return [Outgoing(Address(self._id, KV_TASK), read)]
            case LeadershipExtended(until_s, detached):
                self._term.extend(until_s, detached)
            case LeadershipLost(successor_id):
                self._term.end()
                if successor_id:
                    loads = self._site.in_flight_loads(now)
                    recipient = Address(successor_id, PLACEMENT_TASK)
                    return [Outgoing(recipient, LoadsHandedOver(loads))]
        return []
