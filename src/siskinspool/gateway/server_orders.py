"""The leader's orders to single servers, and what follows from their results.

`ServerOrders` gives each server one order at a time for its placement plans, reads its
reports, and notifies the gateways when a model is ready or about to be unloaded. Which
server gets a plan is decided by `siskinspool.gateway.placement`.
"""

from __future__ import annotations

from ..core.message import Address, Message, Outgoing
from .demand import target_name
from .leadership_term import LeadershipTerm
from .managed_server import ManagedServer
from .managed_site import ManagedSite
from .messages import (
    LEADERSHIP_TASK,
    ORDERS_TASK,
    ROUTING_TASK,
    HoldingsRead,
    LeadershipFenced,
    ModelReady,
    ModelUnloading,
    OrderEnded,
    OrderKind,
    OrderResult,
    ReadHoldings,
    ServerBlocked,
    ServerOrder,
)
from .order_planner import NextStep, OrderDue, OrderPlanner, PlanVoid, PlanWaits
from .placement_choice import choose_server
from .placement_log import PlacementLog, log_order_result
from .placement_plan import PlacementPlan
from .server_choice import ServerChoice
from .server_times import SILENCE_S
from .service_fleet import ServiceFleet


class ServerOrders:
    """Gives orders to servers within a leadership term; times are in seconds."""

    def __init__(
        self,
        instance_id: str,
        site: ManagedSite,
        term: LeadershipTerm,
        planner: OrderPlanner,
        log: PlacementLog,
    ) -> None:
        self._id = instance_id
        self._site = site
        self._term = term
        self._planner = planner
        self._log = log

    def add_plan(
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

    def advance(self, server: ManagedServer, now: float) -> list[Outgoing]:
        """Give the next order for a server's plans, if one can be given now."""
        if (
            not self._term.allows_orders(now)
            or server.pending_order is not None
            or server.is_reading_report
        ):
            return []
        batch = self._notify_loaded_adapters(server, now)
        if now < max(server.wait_until, server.unavailable_until):
            return batch
        if server.needs_report:
            return batch + self.read_report(server, now)
        if server.busy_until is not None:
            if now < server.busy_until:
                return batch
            if not server.mark_loaded_if_due(now):
                return batch + self.read_report(server, now)
            self._log.log_done_order(server, now)
        self.drop_stale(server, now)
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
        choice = choose_server(fleet, spec, servers, now, plan.waiting_requests)
        if choice is None:
            return []
        self.add_plan(fleet, plan, choice, "plan_void", now)
        return self.advance(choice.server, now)

    def drop_stale(self, server: ManagedServer, now: float) -> None:
        """Drop the plans of a server that no requester waits for any more."""
        for plan in server.drop_stale_plans(now):
            self._log.log_dropped_plan(server, plan, "nobody_asks", now)

    def _mark_silent(self, server: ManagedServer, now: float) -> None:
        """Drop the plans of a server that does not answer."""
        for plan in server.plans:
            self._log.log_dropped_plan(server, plan, "server_silent", now)
        server.mark_silent(now)

    def block(self, blocked: ServerBlocked, now: float) -> None:
        """Send a server nothing until the end of its pause, or ever if it leaves."""
        server = self._site.server_by_id.get(blocked.start.server_id)
        if server is None or server.record.start != blocked.start:
            return
        server.blocked_until = blocked.until
        if blocked.until <= now + SILENCE_S:
            # Its plans go on after the pause sooner than elsewhere.
            return
        for plan in server.plans:
            self._log.log_dropped_plan(server, plan, "server_blocked", now)
        server.plans.clear()
        server.needs_report = True

    def _notify_unloading(self, order: ServerOrder, now: float) -> list[Outgoing]:
        """Notify the gateways that use a model of its unload, ahead of the registry."""
        if order.kind is not OrderKind.UNLOAD or order.adapter:
            return []
        unloading = ModelUnloading(order.model, order.server_id)
        users = self._site.model_users.gateways(order.model, now)
        return [self.to_routing(user, unloading) for user in users]

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

    def handle_order_end(self, ended: OrderEnded, now: float) -> list[Outgoing]:
        """Apply the result of an order, and give the server's next one."""
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
        elif result is not OrderResult.WITHHELD:
            server.record_uncertain_order(now)
        return batch + self.advance(server, now)

    def read_report(self, server: ManagedServer, now: float) -> list[Outgoing]:
        """Read a server's report."""
        server.is_reading_report = True
        server.read_at = now
        record = server.record
        born_ms = record.holdings.born_ms
        read = ReadHoldings(record.server_id, record.host, record.port, born_ms)
        return [self._to_orders(read)]

    def handle_report(
        self, server: ManagedServer, read: HoldingsRead, now: float
    ) -> list[Outgoing]:
        """Apply a server's report, and give its next order."""
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
        return self.advance(server, now)

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
            self.to_routing(gateway, ready)
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

    def to_routing(self, instance_id: str, message: Message) -> Outgoing:
        """Address a message to the routing of a gateway."""
        return Outgoing(Address(instance_id, ROUTING_TASK), message)

    def _to_orders(self, message: Message) -> Outgoing:
        return Outgoing(Address(self._id, ORDERS_TASK), message)
