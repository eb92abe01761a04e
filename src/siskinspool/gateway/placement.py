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
from typing import Final

from ..core.decision import Decision
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..store.kv import KvReply
from ..store.kv_task import KV_TASK
from ..telemetry.logs import log_event
from .demand import target_name
from .leadership_term import LeadershipTerm
from .load_ledger import LoadLedger, LoadsHandedOver
from .managed_server import ManagedServer
from .managed_site import ManagedSite
from .messages import (
    LEADERSHIP_TASK,
    ORDERS_TASK,
    PLACEMENT_TASK,
    ROUTING_TASK,
    HoldingsRead,
    LeadershipExtended,
    LeadershipFenced,
    LeadershipHeld,
    LeadershipLost,
    ModelExpected,
    ModelReady,
    ModelUnloading,
    OrderEnded,
    OrderKind,
    OrderResult,
    PlacementRequest,
    ReadHoldings,
    ServerOrder,
)
from .order_planner import NextStep, OrderDue, OrderPlanner, PlanVoid, PlanWaits
from .placement_choice import ServiceFleet
from .placement_log import PlacementLog, log_order_result
from .placement_plan import PlacementPlan
from .plan_moves import plan_moves
from .preload import MAX_EXPECTED_PRELOADS, PlannedPreload, PreloadPlanner
from .server_choice import ServerChoice

logger = logging.getLogger(__name__)

TICK_S: Final = 0.25
# If all holders of a model are busy for longer than this, another server loads it.
MAX_ADAPTER_WAIT_S: Final = 1.0


class Placement(Decision):
    """Gives orders to servers while this instance leads."""

    def __init__(self, instance_id: str, first_start: bool) -> None:
        """Create the decision; ``first_start`` is true on the system's first start."""
        self._id = instance_id
        self._planner = OrderPlanner(first_start)
        self._preload_planner = PreloadPlanner(instance_id)
        self._site = ManagedSite()
        self._term = LeadershipTerm()
        self._next_tick_at = 0.0
        self._log = PlacementLog()
        self._ledger = LoadLedger()
        # Placement requests that wait for the first reports, by (model, adapter,
        # gateway).
        self._pending_requests: dict[tuple[str, str, str], PlacementRequest] = {}

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a placement request, the end of an order or a change."""
        sender = incoming.sender.instance_id
        match incoming.message:
            case PlacementRequest() as request:
                self._site.update_requesters(request, sender, now)
                return self._handle_request(request, sender, now)
            case OrderEnded() as ended:
                return self._handle_order_end(ended, now)
            case HoldingsRead() as read:
                return self._handle_report(read, now)
            case KvReply() as reply:
                self._site.inherit_loads(self._ledger.handle_reply(reply), now)
            case LoadsHandedOver(loads):
                self._site.inherit_loads(loads, now)
            case other:
                if not self._site.handle_change(other, sender, now):
                    return self._handle_leadership(other, now)
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Advance all servers.

        Plans are made at each tick, and at any time when a store slot is about to be
        free.
        """
        is_tick = now >= self._next_tick_at
        if is_tick:
            self._next_tick_at = now + TICK_S
        self._site.update_store_loads(now)
        if not self._term.allows_orders(now):
            return []
        batch: list[Outgoing] = []
        for fleet in self._site.fleets(now):
            if is_tick or fleet.store_queue.has_slot_soon(now):
                batch += self._move_plans(fleet, now)
                batch += self._plan_preloads(fleet, now)
        for server in list(self._site.server_by_id.values()):
            if server.record.service in self._site.engine_by_service:
                batch += self._advance(server, now)
        if due := self._ledger.write(self._site.in_flight_loads(now), now):
            batch.append(Outgoing(Address(self._id, KV_TASK), due))
        return batch

    def wake_at(self) -> float | None:
        """Return when a server needs attention."""
        if self._term.epoch is None:
            return None
        return min(self._next_tick_at, self._site.attention_at())

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
            batch += self._read_report(server, now)
        unread = [server for server in fleet.servers if server.order_count is None]
        if unread:
            # Without the reports a plan might load what is already there.
            self._pending_requests[(request.model, request.adapter, gateway)] = request
            for server in unread:
                batch += self._advance(server, now)
            return batch
        if request.adapter:
            return batch + self._request_adapter(fleet, request, gateway, now)
        return batch + self._request_model(fleet, request, gateway, now)

    def _request_model(
        self, fleet: ServiceFleet, request: PlacementRequest, gateway: str, now: float
    ) -> list[Outgoing]:
        model = request.model
        for server in fleet.servers:
            self._drop_stale(server, now)
        silent = set(request.silent_servers)
        for server in fleet.servers:
            if server.needs_report and model in server.holdings.model_by_name:
                # Read the report first; the gateway repeats its request.
                return self._advance(server, now)
            if server.holds_model(model) and server.record.server_id not in silent:
                self._log.log_shortage_end(server, model, fleet.shortages, now)
                ready = ModelReady(model, request.adapter, server.record.server_id)
                return [] if request.adapter else [self._to_routing(gateway, ready)]
        for server in fleet.servers:
            plan = server.find_or_restore_plan(model, now)
            if plan is None:
                continue
            plan.record_request(gateway, request.waiting, now)
            fleet.sort_plans(server, now)
            batch: list[Outgoing] = []
            sooner = None
            if server.loading_model != model:
                sooner = fleet.find_sooner_choice(server, plan, now)
            if sooner is not None:
                server.plans.remove(plan)
                self._add_plan(fleet, plan, sooner, "sooner", now)
                server = sooner.server
                batch = self._advance(server, now)
            expected = fleet.model_expected(request, server, now)
            return [self._to_routing(gateway, expected), *batch]
        servers = [
            server
            for server in fleet.servers
            if not server.holds_model(model) and server.loading_model != model
        ]
        choice = fleet.choose(
            fleet.engine.model_by_name[model], servers, now, request.waiting
        )
        if choice is None:
            log_event(logger, logging.WARNING, "model_has_no_room", model=model)
            return []
        plan = PlacementPlan(model, "", {gateway: request.waiting}, now)
        self._add_plan(fleet, plan, choice, "wanted", now)
        reply = self._to_routing(
            gateway, fleet.model_expected(request, choice.server, now)
        )
        return [reply, *self._advance(choice.server, now)]

    def _add_plan(
        self,
        fleet: ServiceFleet,
        plan: PlacementPlan,
        choice: ServerChoice,
        reason: str,
        now: float,
    ) -> None:
        """Add a plan to the chosen server."""
        self._log.log_plan(plan.model, choice, reason)
        plan.eviction_candidates = choice.eviction_candidates
        plan.eviction_cost_s = choice.eviction_cost_s
        plan.planned_at = now
        plan.is_started = False
        choice.server.plans.append(plan)
        fleet.invalidate_counts()
        fleet.sort_plans(choice.server, now)

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
                return [self._to_routing(gateway, ready)]
        chosen = fleet.choose_holder(holders, request.near_server, now)
        if not fleet.has_adapter_slot(chosen, now):
            # Requests use all adapters of all holders.
            if model not in self._preload_planner.pending_models(fleet):
                batch += self._add_replica(fleet, model, now)
            return batch
        chosen.plans.append(
            PlacementPlan(model, adapter, {gateway: request.waiting}, now)
        )
        batch += self._advance(chosen, now)
        if chosen.busy_until is not None:
            in_s = chosen.remaining_busy_s(fleet.engine, now)
            batch.append(self._to_routing(gateway, ModelExpected(model, adapter, in_s)))
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
        self._add_plan(fleet, preload.plan, preload.choice, preload.reason, now)
        return self._advance(preload.choice.server, now)

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
            self._add_plan(
                fleet, plan_move.plan, plan_move.choice, plan_move.reason, now
            )
            batch += self._advance(plan_move.choice.server, now)
        return batch

    # Orders

    def _advance(self, server: ManagedServer, now: float) -> list[Outgoing]:
        """Give the next order for a server's plans, if one can be given now."""
        if (
            not self._term.allows_orders(now)
            or server.pending_order is not None
            or server.is_reading_report
        ):
            return []
        batch = self._notify_loaded_adapters(server, now)
        if now < max(server.wait_until, server.silent_until):
            return batch
        if server.needs_report:
            return batch + self._read_report(server, now)
        if server.busy_until is not None:
            if now < server.busy_until:
                return batch
            if not server.mark_loaded_if_due(now):
                return batch + self._read_report(server, now)
            self._log.log_done_order(server, now)
        self._drop_stale(server, now)
        # No adapter can be loaded during a model load, and adapter loads take little
        # time.
        server.prioritize_quick_plans()
        for plan in list(server.plans):
            if not any(plan is other for other in server.plans):
                # It was removed while an earlier void plan was replaced.
                continue
            if server.has_target(plan):
                server.plans.remove(plan)
                batch += self._notify_ready(server, plan, now)
                continue
            step = self._next_step(server, plan, now)
            match step:
                case OrderDue(order):
                    server.pending_order = order
                    plan.is_started = True
                    if fleet := self._site.fleet(server.record.service, now):
                        self._log.log_order(order, server, plan, fleet, now)
                    batch += self._notify_unloading(order, now)
                    return [*batch, self._to_orders(order)]
                case PlanWaits(until):
                    server.wait_for_plan(until, now)
                case PlanVoid(reason):
                    server.plans.remove(plan)
                    self._log.log_dropped_plan(server, plan, reason, now)
                    batch += self._replan(server.record.service, plan, now)
                    if server.pending_order is not None:
                        return batch
        return batch

    def _replan(self, service: str, plan: PlacementPlan, now: float) -> list[Outgoing]:
        """Find another server for a model whose plan is void."""
        fleet = self._site.fleet(service, now)
        if plan.adapter or plan.is_preload or fleet is None or plan.planned_at >= now:
            # Gateways repeat their requests, and preloads are chosen again.
            return []
        spec = fleet.engine.model_by_name.get(plan.model)
        if spec is None:
            # A later desired state has removed the model.
            return []
        servers = [s for s in fleet.servers if plan.model not in s.planned_models()]
        choice = fleet.choose(spec, servers, now, plan.waiting_requests)
        if choice is None:
            return []
        self._add_plan(fleet, plan, choice, "plan_void", now)
        return self._advance(choice.server, now)

    def _drop_stale(self, server: ManagedServer, now: float) -> None:
        for plan in server.drop_stale_plans(now):
            self._log.log_dropped_plan(server, plan, "nobody_asks", now)

    def _mark_silent(self, server: ManagedServer, now: float) -> None:
        """Drop the plans of a server that does not answer."""
        for plan in server.plans:
            self._log.log_dropped_plan(server, plan, "server_silent", now)
        server.mark_silent(now)

    def _notify_unloading(self, order: ServerOrder, now: float) -> list[Outgoing]:
        """Notify the gateways that use a model of its unload, ahead of the registry."""
        if order.kind is not OrderKind.UNLOAD or order.adapter:
            return []
        unloading = ModelUnloading(order.model, order.server_id)
        users = self._site.model_users.gateways(order.model, now)
        return [self._to_routing(user, unloading) for user in users]

    def _next_step(
        self, server: ManagedServer, plan: PlacementPlan, now: float
    ) -> NextStep:
        fleet = self._site.fleet(server.record.service, now)
        if (
            fleet is None
            or plan.model not in fleet.engine.model_by_name
            or not server.is_usable(now)
        ):
            return PlanVoid("server_unusable")
        return self._planner.next_step(fleet, server, plan, self._term.permit(), now)

    def _handle_order_end(self, ended: OrderEnded, now: float) -> list[Outgoing]:
        order, result = ended.order, ended.result
        server = self._site.server_by_id.get(order.server_id)
        log_order_result(ended)
        batch: list[Outgoing] = []
        if result is OrderResult.FENCED:
            fenced = LeadershipFenced(order.epoch)
            batch.append(Outgoing(Address(self._id, LEADERSHIP_TASK), fenced))
        if server is None or server.pending_order != order:
            return batch
        server.pending_order = None
        if result in (OrderResult.ACCEPTED, OrderResult.HOLDS):
            self._site.record_accepted(server, order, result, now)
        elif result in (OrderResult.NOT_SENT, OrderResult.INVALID):
            self._mark_silent(server, now)
        else:
            server.record_uncertain_order(now)
        return batch + self._advance(server, now)

    def _read_report(self, server: ManagedServer, now: float) -> list[Outgoing]:
        server.is_reading_report = True
        server.read_at = now
        record = server.record
        read = ReadHoldings(record.server_id, record.host, record.port)
        return [self._to_orders(read)]

    def _handle_report(self, read: HoldingsRead, now: float) -> list[Outgoing]:
        server = self._site.server_by_id.get(read.server_id)
        if server is None:
            return []
        server.is_reading_report = False
        if read.holdings is None:
            self._mark_silent(server, now)
            return []
        server.silent_until = now
        was_loading = server.loading_model is not None
        restarted = server.holdings.born_ms != read.holdings.born_ms
        is_current = server.update_report(read.holdings, now)
        if was_loading and server.loading_model is None:
            self._site.end_load(server, restarted, now)
        self._log.log_done_order(server, now)
        self._site.resume_load(server, now)
        if not is_current or server.busy_until is not None:
            server.wait_until = now + server.poll_interval_s(now)
        return self._advance(server, now) + self._handle_pending_requests(now)

    def _handle_pending_requests(self, now: float) -> list[Outgoing]:
        """Handle the placement requests that were waiting for reports."""
        pending, self._pending_requests = self._pending_requests, {}
        batch: list[Outgoing] = []
        for (_, _, gateway), request in pending.items():
            batch += self._handle_request(request, gateway, now)
        return batch

    # Notifications

    def _notify_ready(
        self, server: ManagedServer, plan: PlacementPlan, now: float
    ) -> list[Outgoing]:
        ready = ModelReady(plan.model, plan.adapter, server.record.server_id)
        if not plan.adapter:
            shortages = self._site.shortages(server.record.service)
            self._log.log_shortage_end(server, plan.model, shortages, now)
        if plan.waiting_by_gateway:
            server.record_runs({target_name(plan.model, plan.adapter): 0.0}, now)
        return [
            self._to_routing(gateway, ready)
            for gateway in sorted(plan.waiting_by_gateway)
        ]

    def _notify_loaded_adapters(
        self, server: ManagedServer, now: float
    ) -> list[Outgoing]:
        batch: list[Outgoing] = []
        for (model, adapter), adapter_load in server.pop_loaded_adapters(now):
            waiting = dict.fromkeys(adapter_load.waiting_gateways, 1)
            batch += self._notify_ready(
                server, PlacementPlan(model, adapter, waiting), now
            )
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
                    loads = LoadsHandedOver(self._site.in_flight_loads(now))
                    return [Outgoing(Address(successor_id, PLACEMENT_TASK), loads)]
        return []

    def _to_routing(self, instance_id: str, message: Message) -> Outgoing:
        return Outgoing(Address(instance_id, ROUTING_TASK), message)

    def _to_orders(self, message: Message) -> Outgoing:
        return Outgoing(Address(self._id, ORDERS_TASK), message)
