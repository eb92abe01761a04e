"""The servers, models and demand known to a gateway, whether it leads or not."""

from __future__ import annotations

import logging
import time
from collections.abc import Iterable
from typing import Final

from ..core.status import Status
from ..telemetry.logs import log_event
from .demand import (
    REQUESTERS_HALF_LIFE_S,
    ModelUsers,
    RequesterCounts,
    TokenDemand,
)
from .desired_state import DesiredState, EngineSpec
from .fleet_copies import FleetCopiesCache
from .inherited_loads import InheritedLoads, remaining_s
from .load_ledger import (
    LoadEntry,
    LoadsByService,
    RecordsByService,
    ServiceLoads,
    ServiceRecord,
)
from .managed_server import ManagedServer
from .messages import (
    DemandReport,
    OrderKind,
    OrderResult,
    PlacementRequest,
    RequestersReport,
    ServerOrder,
)
from .planning_budget import PlanningBudget
from .server_times import REPORT_LAG_S
from .servers import ServerRecord, ServerRemoved, ZoneEvacuated
from .service_fleet import ServiceFleet
from .shortage import Shortages
from .site_servers import SiteServers
from .store_limit import StoreLoads
from .store_slot_rank import RankCache

logger = logging.getLogger(__name__)

# The report of a server that a gateway finds silent is read at most this often.
SILENT_READ_INTERVAL_S: Final = 0.5


class ManagedSite:
    """All model servers with the demand for their models; times are in seconds."""

    def __init__(self, budget: PlanningBudget) -> None:
        """Create a site; choices for its fleets are charged to ``budget``."""
        self._budget = budget
        self.engine_by_service: dict[str, EngineSpec] = {}
        self._servers = SiteServers()
        self.model_users = ModelUsers()
        self._demand_by_service: dict[str, TokenDemand] = {}
        self._requesters_by_service: dict[str, RequesterCounts] = {}
        self._store_by_service: dict[str, StoreLoads] = {}
        self._shortages_by_service: dict[str, Shortages] = {}
        # Loads that an earlier leader started.
        self._inherited = InheritedLoads()
        self._ranks_by_service: dict[str, RankCache] = {}
        self._copies_by_service: dict[str, FleetCopiesCache] = {}

    @property
    def server_by_id(self) -> dict[str, ManagedServer]:
        """The known servers."""
        return self._servers.by_id

    def handle_change(self, change: object, sender: str, now: float) -> bool:
        """Handle a change of the servers or the demand; return whether it was one."""
        match change:
            case DemandReport() as report:
                self._handle_demand(report, sender, now)
            case RequestersReport() as report:
                self.update_requesters(report, sender, now)
            case ServerRecord() | ServerRemoved() | ZoneEvacuated():
                self._servers.handle_change(change, now)
            case DesiredState() as desired:
                self._handle_desired_state(desired)
            case _:
                return False
        return True

    def _handle_desired_state(self, desired: DesiredState) -> None:
        self._ranks_by_service.clear()
        self.engine_by_service = {
            service.name: service.engine
            for service in desired.service_by_name.values()
            if service.engine is not None
        }

    def _handle_demand(self, report: DemandReport, sender: str, now: float) -> None:
        """Handle a gateway's report of routed tokens, requests and requesters."""
        demand = self._demand_by_service.setdefault(report.service, TokenDemand())
        for server_id, runs in report.runs_by_server.items():
            if server := self.server_by_id.get(server_id):
                server.record_runs(runs, now)
        for target, tokens in report.tokens_by_target.items():
            demand.add(target, tokens, now)
            model, _, adapter = target.partition("/")
            self.model_users.record_request(model, sender, now)
            if adapter:
                demand.add(model, tokens, now)

        demand.add_requests(sum(report.requesters_by_model.values()), now)
        requesters = self.requesters(report.service)
        for model, count in report.requesters_by_model.items():
            requesters.add(model, count, now)
            self._ranks(report.service).forget(model)

    def update_requesters(
        self, message: PlacementRequest | RequestersReport, sender: str, now: float
    ) -> None:
        """Update the waiting and retrying requesters of a gateway for a model."""
        is_request = isinstance(message, PlacementRequest)
        silent = message.silent_servers if isinstance(message, PlacementRequest) else ()
        new_requesters = (
            len(message.fresh_reach_s) if isinstance(message, PlacementRequest) else 0
        )
        if message.service not in self.engine_by_service or any(
            server.holds_model(message.model)
            and server.is_available(now)
            and not (is_request and server.needs_report)
            and server.record.server_id not in silent
            for server in self._servers.staying(message.service)
        ):
            # The model is ready for these requesters, or they wait for an adapter only.
            return
        source = (sender, message.adapter)
        self._ranks(message.service).forget(message.model)
        shortages = self.shortages(message.service)
        shortages.update(message.model, source, message.reach_s, new_requesters, now)

    def attention_at(self) -> float:
        """Return when the next step of any server is due."""
        steps = (server.attention_at() for server in self.server_by_id.values())
        return min(steps, default=float("inf"))

    def status(self) -> Status:
        """Return the status of each server for operators."""
        return {name: server.status() for name, server in self.server_by_id.items()}

    def store_limits(self) -> Status:
        """Return how many loads each service's store carries at full speed."""
        return {name: store.limit for name, store in self._store_by_service.items()}

    def servers_to_check(
        self, server_ids: Iterable[str], now: float
    ) -> list[ManagedServer]:
        """Return the servers reported as silent whose reports have to be read."""
        known = (self.server_by_id.get(server_id) for server_id in server_ids)
        return [
            server
            for server in known
            if server is not None
            and not server.is_reading_report
            and now >= server.unavailable_until
            # A report read earlier may predate the last order.
            and now - server.changed_at >= REPORT_LAG_S
            and now - server.read_at > SILENT_READ_INTERVAL_S
        ]

    def fleet(self, service: str, now: float) -> ServiceFleet | None:
        """Return the usable servers of a service, or None if it has no engine."""
        engine = self.engine_by_service.get(service)
        if engine is None:
            return None
        staying = self._servers.staying(service)
        return ServiceFleet(
            engine,
            [server for server in staying if server.is_available(now)],
            self._demand_by_service.setdefault(service, TokenDemand()),
            self.store_loads(service),
            self.shortages(service),
            self.requesters(service),
            staying=staying,
            lapsed=self._servers.lapsed(service, now),
            copies_cache=self._copies_by_service.setdefault(
                service, FleetCopiesCache()
            ),
            ranks=self._ranks(service),
            budget=self._budget,
            is_complete=self._servers.is_complete(service, now),
        )

    def _ranks(self, service: str) -> RankCache:
        return self._ranks_by_service.setdefault(service, RankCache())

    def fleets(self, now: float) -> list[ServiceFleet]:
        """Return the fleets of all services with engines."""
        found = [self.fleet(service, now) for service in self.engine_by_service]
        return [fleet for fleet in found if fleet is not None]

    def record_accepted(
        self, server: ManagedServer, order: ServerOrder, result: OrderResult, now: float
    ) -> None:
        """Record an order that was accepted or whose effect was there already."""
        service = server.record.service
        engine = self.engine_by_service.get(service)
        spec = None if engine is None else engine.model_by_name.get(order.model)
        unloads_adapter = bool(order.adapter) and order.kind is OrderKind.UNLOAD
        if spec is None:
            server.record_uncertain_order(now)
        elif result is OrderResult.ACCEPTED:
            is_model_load = order.kind is OrderKind.LOAD and not order.adapter
            load_s = server.load_s(spec)
            if is_model_load and server.needs_store(order.model):
                store = self.store_loads(service)
                load_s = store.begin(order.server_id, load_s, now)
            server.record_accepted(order, spec, load_s, now)
            if unloads_adapter:
                server.record_adapter_unload(order, now)
        elif unloads_adapter:
            # An unload of an idle adapter is carried out at once.
            server.record_accepted(order, spec, 0.0, now)
        else:
            server.needs_report = True

    def end_load(self, server: ManagedServer, restarted: bool, now: float) -> None:
        """Record that a server's load has ended, or was lost in a restart."""
        store = self.store_loads(server.record.service)
        if restarted:
            store.record_lost_server(server.record.server_id)
        else:
            store.end(server.record.server_id, now)

    def store_loads(self, service: str) -> StoreLoads:
        """Return the loads of a service's models from the weight store."""
        return self._store_by_service.setdefault(service, StoreLoads())

    def in_flight_loads(self, now: float) -> LoadsByService:
        """Return the in-flight loads from the weight store, for a successor."""
        unix_offset_s = time.time() - now
        return {
            service: ServiceLoads(
                store.limit_to_hand_over,
                frozenset(
                    entry
                    for server in self.server_by_id.values()
                    if server.record.service == service
                    and (entry := self._load_entry(server, store, unix_offset_s, now))
                ),
            )
            for service, store in self._store_by_service.items()
        }

    def _load_entry(
        self, server: ManagedServer, store: StoreLoads, unix_offset_s: float, now: float
    ) -> LoadEntry | None:
        """Return a server's load from the weight store, or None without one.

        It may be an order that has no answer yet.
        """
        engine = self.engine_by_service.get(server.record.service)
        server_id, born_ms = server.record.server_id, server.holdings.born_ms
        order = server.pending_order
        if order is not None and server.ordered_store_load and engine is not None:
            spec = engine.model_by_name.get(order.model)
            load_s = 0.0 if spec is None else spec.store_load_s
            ends_at = round(unix_offset_s + now + load_s)
            count = order.expected_count + 1
            return LoadEntry(server_id, born_ms, order.model, count, ends_at)
        loading, known = server.loading_model, server.order_count
        if loading is None or known is None or not store.is_loading(server_id):
            return None
        ends_at = round(unix_offset_s + store.ends_at(server_id))
        return LoadEntry(server_id, born_ms, loading, known, ends_at)

    def inherit_record(self, record_by_service: RecordsByService, now: float) -> None:
        """Take over what an earlier leader has recorded."""
        self.inherit_loads(dict(record_by_service), now)
        for service, recorded in record_by_service.items():
            store = self.store_loads(service)
            store.inherit_limit(recorded.limit, now, recorded.proven_concurrency)
            self._inherit_requesters(service, recorded, now)

    def inherit_loads(self, loads_by_service: LoadsByService, now: float) -> None:
        """Take over the in-flight loads that an earlier leader has recorded."""
        for service, service_loads in loads_by_service.items():
            self.store_loads(service).inherit_limit(service_loads.limit, now)
            for entry in service_loads.loads:
                self._inherited.add(entry)
                self._expect_load(service, entry, now)
        for server in self.server_by_id.values():
            self.resume_load(server, now)

    def _expect_load(self, service: str, entry: LoadEntry, now: float) -> None:
        """Count a load that its server may not have shown yet."""
        engine = self.engine_by_service.get(service)
        spec = None if engine is None else engine.model_by_name.get(entry.model)
        if spec is None:
            return
        store = self.store_loads(service)
        store.expect(entry.server_id, remaining_s(entry, spec), now)

    def resume_load(self, server: ManagedServer, now: float) -> None:
        """Recognize an earlier leader's load that keeps a server busy, or its end."""
        store = self.store_loads(server.record.service)
        if self._inherited.is_over(server):
            store.drop_expected(server.record.server_id)
            return
        entry = self._inherited.current(server)
        engine = self.engine_by_service.get(server.record.service)
        if entry is None or engine is None:
            return
        spec = engine.model_by_name.get(entry.model)
        if spec is None:
            return
        log_event(
            logger,
            logging.INFO,
            "load_inherited",
            server=entry.server_id,
            model=entry.model,
            ends_at_unix_s=entry.ends_at_unix_s,
        )
        in_s = remaining_s(entry, spec)
        server.resume_load(entry.model, in_s, now)
        store.resume(entry.server_id, in_s, now)

    def requesters(self, service: str) -> RequesterCounts:
        """Return the decaying counts of a service's requesters, served or not."""
        return self._requesters_by_service.setdefault(service, RequesterCounts())

    def record(self, loads: LoadsByService, now: float) -> RecordsByService:
        """Return what the next leader needs to know, with the in-flight loads."""
        return {
            service: ServiceRecord(
                service_loads.limit,
                service_loads.loads,
                self.store_loads(service).proven_concurrency,
                self._scarce_requesters(service, now),
                int(time.time()),
            )
            for service, service_loads in loads.items()
        }

    def _scarce_requesters(self, service: str, now: float) -> dict[str, float]:
        fleet = self.fleet(service, now)
        if fleet is None:
            return {}
        requesters = fleet.requesters
        scarce = (
            model
            for model in requesters.all_targets()
            if model in fleet.engine.model_by_name and not fleet.copies.count(model)
        )
        return requesters.largest(scarce, now)

    def _inherit_requesters(
        self, service: str, recorded: ServiceRecord, now: float
    ) -> None:
        """Take over the requesters so far that an earlier leader has recorded."""
        age_s = max(time.time() - recorded.recorded_at_unix_s, 0.0)
        decay = 0.5 ** (age_s / REQUESTERS_HALF_LIFE_S)
        counts = {
            model: count * decay
            for model, count in recorded.requesters_by_model.items()
        }
        self.requesters(service).inherit(counts, now)

    def shortages(self, service: str) -> Shortages:
        """Return the shortages of a service."""
        return self._shortages_by_service.setdefault(service, Shortages())

    def count_shortages(self) -> int:
        """Return the number of models with a shortage."""
        return sum(len(found) for found in self._shortages_by_service.values())

    def update_store_loads(self, now: float) -> None:
        """Update the loads of servers that were removed, are silent or have restarted.

        Late loads lower the estimate of how many loads the store can carry.
        """
        self._servers.drop_lapsed(now)
        for store in self._store_by_service.values():
            store.drop_ended_loads(now)
            for server_id in store.servers():
                server = self.server_by_id.get(server_id)
                if server is None or server.loading_model is None:
                    store.record_lost_server(server_id)
            silent = {
                server_id
                for server_id in store.servers()
                if now < self.server_by_id[server_id].unavailable_until
            }
            store.record_late_loads(now, silent)
            for server_id in store.servers():
                self.server_by_id[server_id].update_expected_end(
                    store.ends_at(server_id)
                )

    def reset_plans(self, now: float) -> None:
        """Reset the plans for a new leadership term."""
        self._store_by_service.clear()
        self._ranks_by_service.clear()
        # The others are kept: gateways may see the leader's key before this instance
        # does, and they report each new requester only once.
        for shortages in self._shortages_by_service.values():
            shortages.drop_abandoned(now)
        self._inherited.clear()
        for server in self.server_by_id.values():
            server.reset_plans()
