"""The leader's answers to placement requests.

A request is answered with `ModelReady` if a server has the model, otherwise with
`ModelExpected` for the plan that will load it. A model without a plan gets one on the
server that `placement_choice` finds. All requests for one model are handled together.
"""

from __future__ import annotations

import logging
from typing import Final

from ..core.message import Outgoing
from ..telemetry.logs import log_event
from .leadership_term import LeadershipTerm
from .managed_server import ManagedServer
from .managed_site import ManagedSite
from .messages import ModelExpected, ModelReady, PlacementRequest
from .placement_choice import choose_server, find_sooner_choice
from .placement_log import PlacementLog
from .placement_plan import PlacementPlan
from .planning_budget import PlanningBudget
from .request_table import RequestTable, TargetRequests
from .server_orders import ServerOrders
from .service_fleet import ServiceFleet
from .unrequested_plans import UnrequestedPlans

logger = logging.getLogger(__name__)

# If all holders of a model are busy for longer than this, another server loads it.
MAX_ADAPTER_WAIT_S: Final = 1.0


class RequestedPlans:
    """Plans the models that gateways request; times are in seconds."""

    def __init__(
        self,
        site: ManagedSite,
        term: LeadershipTerm,
        orders: ServerOrders,
        unrequested: UnrequestedPlans,
        log: PlacementLog,
        budget: PlanningBudget,
    ) -> None:
        self._site = site
        self._term = term
        self._orders = orders
        self._unrequested = unrequested
        self._log = log
        self._budget = budget
        self._table = RequestTable()
        # Requests that wait until the reports of all servers have been read.
        self._unread_table = RequestTable()
        # When the budget allows more work.
        self._due_at = 0.0

    def handle(
        self, request: PlacementRequest, gateway: str, now: float
    ) -> list[Outgoing]:
        """Handle a request, at once unless the budget is spent."""
        if not self._term.allows_orders(now):
            return []
        batch: list[Outgoing] = []
        for server in self._site.servers_to_check(request.silent_servers, now):
            batch += self._orders.read_report(server, now)
        self._table.add(TargetRequests.from_request(request, gateway), now)
        return batch + self.handle_waiting(now)

    def handle_waiting(self, now: float) -> list[Outgoing]:
        """Handle the requests that wait, as far as the budget goes."""
        batch: list[Outgoing] = []
        while self._budget.is_available(now):
            requests = self._table.pop_first(now)
            if requests is None:
                return batch
            batch += self._handle_target(requests, now)
        self._due_at = now + self._budget.resume_in_s(now)
        return batch

    def resume(self, service: str, now: float) -> list[Outgoing]:
        """Handle the requests that waited for reports, once all have been read."""
        if not self._unread_table:
            return []
        fleet = self._site.fleet(service, now)
        if fleet is None or any(one.order_count is None for one in fleet.servers):
            return []
        for requests in self._unread_table.pop_all(now):
            self._table.add(requests, now)
        return self.handle_waiting(now)

    @property
    def due_at(self) -> float:
        """When a waiting request can be handled; infinite without one."""
        return self._due_at if self._table else float("inf")

    def clear(self) -> None:
        """Drop all requests, for a new leadership term."""
        self._table.clear()
        self._unread_table.clear()

    def _handle_target(self, requests: TargetRequests, now: float) -> list[Outgoing]:
        target = requests.target
        fleet = self._site.fleet(target.service, now)
        if fleet is None or target.model not in fleet.engine.model_by_name:
            return []
        self._budget.spend_for_look(len(fleet.servers))
        for gateway in requests.request_by_gateway:
            self._site.model_users.record_request(target.model, gateway, now)
        unread = [server for server in fleet.servers if server.order_count is None]
        if unread:
            # Without the reports a plan might load what is already there.
            self._unread_table.add(requests, now)
            batch: list[Outgoing] = []
            for server in unread:
                batch += self._orders.advance(server, now)
            return batch
        if target.adapter:
            return self._request_adapter(fleet, requests, now)
        return self._request_model(fleet, requests, now)

    def _request_model(
        self, fleet: ServiceFleet, requests: TargetRequests, now: float
    ) -> list[Outgoing]:
        model = requests.target.model
        missing = dict(requests.request_by_gateway)
        batch: list[Outgoing] = []
        for server in fleet.servers:
            if server.needs_report and model in server.holdings.model_by_name:
                # Read the report first; the gateways repeat their requests.
                return batch + self._orders.advance(server, now)
            if server.holds_model(model):
                batch += self._notify_ready(fleet, server, requests, missing, now)
        if not missing:
            return batch
        requests = TargetRequests(requests.target, missing)
        for server in fleet.servers:
            plan = server.find_or_restore_plan(model, now)
            if plan is not None:
                return batch + self._join_plan(fleet, server, plan, requests, now)
        return batch + self._add_plan(fleet, requests, now)

    def _notify_ready(
        self,
        fleet: ServiceFleet,
        server: ManagedServer,
        requests: TargetRequests,
        missing: dict[str, PlacementRequest],
        now: float,
    ) -> list[Outgoing]:
        """Tell gateways that a server is ready, and remove them from ``missing``.

        Gateways that do not reach the server remain.
        """
        target, server_id = requests.target, server.record.server_id
        told = [
            gateway
            for gateway, request in missing.items()
            if server_id not in request.silent_servers
        ]
        if not told:
            return []
        self._log.log_shortage_end(server, target.model, fleet.shortages, now)
        for gateway in told:
            del missing[gateway]
        if target.adapter:
            return []
        ready = ModelReady(target.model, "", server_id)
        return [self._orders.to_routing(gateway, ready) for gateway in told]

    def _join_plan(
        self,
        fleet: ServiceFleet,
        server: ManagedServer,
        plan: PlacementPlan,
        requests: TargetRequests,
        now: float,
    ) -> list[Outgoing]:
        """Let requests wait for a plan, on another server if that is ready sooner."""
        for gateway, request in requests.request_by_gateway.items():
            plan.record_request(gateway, request.waiting, now)
        fleet.sort_plans(server, now)
        batch: list[Outgoing] = []
        sooner = None
        if server.loading_model != plan.model:
            sooner = find_sooner_choice(fleet, server, plan, now)
        if sooner is not None:
            server.plans.remove(plan)
            self._orders.add_plan(fleet, plan, sooner, "sooner", now)
            server = sooner.server
            batch = self._orders.advance(server, now)
        return self._expected(fleet, server, requests, now) + batch

    def _add_plan(
        self, fleet: ServiceFleet, requests: TargetRequests, now: float
    ) -> list[Outgoing]:
        """Plan a model that no server has, loads or plans to load."""
        model = requests.target.model
        servers = [
            server
            for server in fleet.servers
            if not server.holds_model(model) and server.loading_model != model
        ]
        spec = fleet.engine.model_by_name[model]
        choice = choose_server(fleet, spec, servers, now, requests.waiting)
        if choice is None:
            log_event(logger, logging.WARNING, "model_has_no_room", model=model)
            return []
        waiting_by_gateway = {
            gateway: request.waiting
            for gateway, request in requests.request_by_gateway.items()
        }
        plan = PlacementPlan(model, "", waiting_by_gateway, now)
        self._orders.add_plan(fleet, plan, choice, "wanted", now)
        batch = self._expected(fleet, choice.server, requests, now)
        return batch + self._orders.advance(choice.server, now)

    def _expected(
        self,
        fleet: ServiceFleet,
        server: ManagedServer,
        requests: TargetRequests,
        now: float,
    ) -> list[Outgoing]:
        """Tell gateways when a planned model will be ready."""
        target = requests.target
        expected = fleet.model_expected(
            target.model, target.adapter, server, requests.waiting, now
        )
        return [
            self._orders.to_routing(gateway, expected)
            for gateway in requests.request_by_gateway
        ]

    def _request_adapter(
        self, fleet: ServiceFleet, requests: TargetRequests, now: float
    ) -> list[Outgoing]:
        model, adapter = requests.target.model, requests.target.adapter
        holders = [server for server in fleet.servers if server.holds_model(model)]
        if not holders:
            return self._request_model(fleet, requests, now)
        for server in holders:
            plan = server.find_plan(model, adapter)
            if plan is not None:
                for gateway, request in requests.request_by_gateway.items():
                    plan.record_request(gateway, request.waiting, now)
                return []
            adapter_load = server.load_by_adapter.get((model, adapter))
            if adapter_load is not None:
                adapter_load.waiting_gateways.update(requests.request_by_gateway)
                return []
            if server.holds_adapter(model, adapter) and not server.needs_report:
                ready = ModelReady(model, adapter, server.record.server_id)
                return [
                    self._orders.to_routing(gateway, ready)
                    for gateway in requests.request_by_gateway
                ]
        return self._add_adapter_plan(fleet, holders, requests, now)

    def _add_adapter_plan(
        self,
        fleet: ServiceFleet,
        holders: list[ManagedServer],
        requests: TargetRequests,
        now: float,
    ) -> list[Outgoing]:
        """Plan an adapter on a server that has its model."""
        model, adapter = requests.target.model, requests.target.adapter
        chosen = fleet.choose_holder(holders, requests.near_server, now)
        if not fleet.has_adapter_slot(chosen, now):
            # Requests use all adapters of all holders.
            return self._unrequested.add_replica(fleet, model, now)
        waiting_by_gateway = {
            gateway: request.waiting
            for gateway, request in requests.request_by_gateway.items()
        }
        chosen.plans.append(PlacementPlan(model, adapter, waiting_by_gateway, now))
        batch = self._orders.advance(chosen, now)
        if chosen.busy_until is not None:
            in_s = chosen.remaining_busy_s(fleet.engine, now)
            expected = ModelExpected(model, adapter, in_s)
            batch += [
                self._orders.to_routing(gateway, expected)
                for gateway in requests.request_by_gateway
            ]
            if in_s > MAX_ADAPTER_WAIT_S:
                # No holder can load an adapter soon, but another server can load the
                # model.
                batch += self._unrequested.add_replica(fleet, model, now)
        return batch
