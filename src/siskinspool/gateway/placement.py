"""The ``placement`` decision: the leader's orders to model servers.

Gateways tell the leader which models they want now and what they route. For a wanted
model the leader picks the server where it is ready soonest at the least loss, unloads
what must go and loads it, one order at a time for each server. It tells the askers
when to expect the model and when it is there. While nothing is wanted it loads models
of which no server has a copy, so that a later load need not use the weight store, and
adds replicas of models with much demand.

Loads from the weight store draw on a token bucket sized so that two leaders in a row
stay within the bound.
"""

from __future__ import annotations

import logging
from typing import Final

from ..core.decision import Decision
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..telemetry.logs import log_event
from .demand import Demand, ModelUsers, target_name
from .desired_state import DesiredState, EngineSpec
from .managed_server import (
    REPORT_LAG_S,
    Goal,
    ManagedServer,
)
from .messages import (
    LEADERSHIP_TASK,
    ORDERS_TASK,
    ROUTING_TASK,
    DemandSeen,
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
    ReadHoldings,
    ServerOrder,
    WantModel,
)
from .office import Office
from .order_planner import GoalWaits, NextStep, OrderDue, OrderPlanner, PlanVoid
from .placement_choice import QUIET_TOKENS_PER_S, Choice, ServiceFleet
from .placement_log import PlacementLog, log_result
from .servers import ServerRecord, ServerRemoved, ZoneEvacuated
from .store_limit import StoreLoads

logger = logging.getLogger(__name__)

TICK_S: Final = 0.25
# Time for which all holders of a model may be busy before another server loads it.
LONG_BLOCK_S: Final = 1.0
# A server that a gateway finds silent is read at most this often.
SILENT_READ_INTERVAL_S: Final = 0.5
# A model that nobody waits for displaces only what costs less than this.
COPY_COST_S: Final = 1.0
# A replica must be worth this many times what it displaces.
REPLICA_GAIN: Final = 3.0


class Placement(Decision):
    """Gives orders while this instance leads."""

    def __init__(self, instance_id: str, first_start: bool) -> None:
        """Take the own id and whether the system starts for the first time."""
        self._id = instance_id
        self._planner = OrderPlanner(first_start)
        self._engine_by_service: dict[str, EngineSpec] = {}
        self._server_by_id: dict[str, ManagedServer] = {}
        self._evacuated_zones: set[str] = set()
        self._demand_by_service: dict[str, Demand] = {}
        self._store_by_service: dict[str, StoreLoads] = {}
        self._office = Office()
        self._next_tick_at = 0.0
        self._users = ModelUsers()
        self._log = PlacementLog()
        # Wishes that wait for the first reports, by model, adapter and asker.
        self._pending_wants: dict[tuple[str, str, str], WantModel] = {}

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Take in a wish, the end of an order or a change."""
        match incoming.message:
            case WantModel() as want:
                return self._want(want, incoming.sender.instance_id, now)
            case DemandSeen() as seen:
                self._take_demand(seen, incoming.sender.instance_id, now)
            case OrderEnded() as ended:
                return self._end_order(ended, now)
            case HoldingsRead() as read:
                return self._take_report(read, now)
            case ServerRecord() as record:
                self._take_record(record, now)
            case ServerRemoved(server_id):
                self._server_by_id.pop(server_id, None)
            case ZoneEvacuated(zone, evacuated):
                change = self._evacuated_zones
                change.add(zone) if evacuated else change.discard(zone)
            case DesiredState() as desired:
                self._take_desired(desired)
            case other:
                self._take_office(other, now)
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Advance all servers and plan ahead."""
        self._next_tick_at = now + TICK_S
        self._drop_store_loads()
        if not self._office.allows_orders(now):
            return []
        batch: list[Outgoing] = []
        for server in list(self._server_by_id.values()):
            if server.record.service in self._engine_by_service:
                batch += self._advance(server, now)
        for service, engine in self._engine_by_service.items():
            batch += self._plan_ahead(self._fleet(service, engine, now), now)
        return batch

    def wake_at(self) -> float | None:
        """Return when a server needs attention."""
        if self._office.epoch is None:
            return None
        due = self._next_tick_at
        for server in self._server_by_id.values():
            for arrival in server.arrival_by_adapter.values():
                due = min(due, arrival.ready_at)
            if server.goals and server.order is None and not server.reading:
                times = [server.wait_until, server.silent_until]
                if server.busy_until is not None:
                    times.append(server.busy_until)
                due = min(due, max(times))
        return due

    def status(self, now: float) -> Status:
        """Return the leader's view of the servers."""
        if self._office.epoch is None:
            return {"leading": False}
        return {
            "leading": self._office.allows_orders(now),
            "epoch": self._office.epoch,
            "servers": {
                server_id: server.status()
                for server_id, server in self._server_by_id.items()
            },
        }

    def gauges(self) -> dict[str, float]:
        """Return counts of plans and unloads since the start of the process."""
        return self._log.gauges()

    # Wishes

    def _want(self, want: WantModel, asker: str, now: float) -> list[Outgoing]:
        engine = self._engine_by_service.get(want.service)
        if engine is None or want.model not in engine.model_by_name:
            return []
        if not self._office.allows_orders(now):
            return []
        self._users.note(want.model, asker, now)
        batch = self._check_silent(want.silent_servers, now)
        fleet = self._fleet(want.service, engine, now)
        unread = [server for server in fleet.servers if server.order_count is None]
        if unread:
            # A plan without the reports would load what is there already.
            self._pending_wants[(want.model, want.adapter, asker)] = want
            for server in unread:
                batch += self._advance(server, now)
            return batch
        if want.adapter:
            return batch + self._want_adapter(fleet, want, asker, now)
        return batch + self._want_model(fleet, want, asker, now)

    def _check_silent(self, server_ids: tuple[str, ...], now: float) -> list[Outgoing]:
        """Read the reports of servers that do not answer a gateway."""
        batch: list[Outgoing] = []
        for server_id in server_ids:
            server = self._server_by_id.get(server_id)
            if server is None or server.reading or now < server.silent_until:
                continue
            if now - server.changed_at < REPORT_LAG_S:
                # The report is from before the last order.
                continue
            if now - server.read_at > SILENT_READ_INTERVAL_S:
                batch += self._read(server, now)
        return batch

    def _want_model(
        self, fleet: ServiceFleet, want: WantModel, asker: str, now: float
    ) -> list[Outgoing]:
        model = want.model
        for server in fleet.servers:
            self._drop_stale(server, now)
        silent = set(want.silent_servers)
        for server in fleet.servers:
            if server.doubtful and model in server.holdings.model_by_name:
                # Its report is read first; the asker asks again.
                return self._advance(server, now)
            if server.holds_model(model) and server.record.server_id not in silent:
                ready = ModelReady(model, want.adapter, server.record.server_id)
                return [] if want.adapter else [self._to_routing(asker, ready)]
        for server in fleet.servers:
            goal = server.has_goal(model, "")
            if goal is None:
                continue
            goal.want(asker, want.waiting, now)
            fleet.sort_goals(server, now)
            batch: list[Outgoing] = []
            better = None
            if server.loading != model:
                better = fleet.better_choice(server, goal, now)
            if better is not None:
                server.goals.remove(goal)
                self._add_goal(fleet, goal, better, "sooner", now)
                server = better.server
                batch = self._advance(server, now)
            return [self._expected(want, asker, server, fleet, now), *batch]
        servers = [
            server
            for server in fleet.servers
            if not server.holds_model(model) and server.loading != model
        ]
        choice = fleet.choose(
            fleet.engine.model_by_name[model], servers, now, want.waiting
        )
        if choice is None:
            log_event(logger, logging.WARNING, "model_has_no_room", model=model)
            return []
        goal = Goal(model, "", {asker: want.waiting}, now)
        self._add_goal(fleet, goal, choice, "wanted", now)
        expected = self._expected(want, asker, choice.server, fleet, now)
        return [expected, *self._advance(choice.server, now)]

    def _add_goal(
        self, fleet: ServiceFleet, goal: Goal, choice: Choice, why: str, now: float
    ) -> None:
        """Plan a load on the chosen server."""
        self._log.planned(goal.model, choice, why)
        goal.victims = choice.victims
        goal.victims_cost_s = choice.victims_cost_s
        goal.planned_at = now
        goal.begun = False
        choice.server.goals.append(goal)
        fleet.forget_counts()
        fleet.sort_goals(choice.server, now)

    def _want_adapter(
        self, fleet: ServiceFleet, want: WantModel, asker: str, now: float
    ) -> list[Outgoing]:
        model, adapter = want.model, want.adapter
        batch: list[Outgoing] = []
        holders = [server for server in fleet.servers if server.holds_model(model)]
        if not holders:
            return self._want_model(fleet, want, asker, now)
        for server in holders:
            goal = server.has_goal(model, adapter)
            if goal is not None:
                goal.want(asker, want.waiting, now)
                return []
            arrival = server.arrival_by_adapter.get((model, adapter))
            if arrival is not None:
                arrival.askers.add(asker)
                return []
            if server.holds_adapter(model, adapter) and not server.doubtful:
                ready = ModelReady(model, adapter, server.record.server_id)
                return [self._to_routing(asker, ready)]
        chosen = fleet.choose_holder(holders, want.near_server, now)
        if not fleet.can_take_adapter(chosen, now):
            # Requests use all adapters of all holders.
            if model not in fleet.own_goals(self._id):
                batch += self._add_replica(fleet, model, now)
            return batch
        chosen.goals.append(Goal(model, adapter, {asker: want.waiting}, now))
        batch += self._advance(chosen, now)
        if chosen.busy_until is not None:
            in_s = chosen.busy_s(fleet.engine, now)
            batch.append(self._to_routing(asker, ModelExpected(model, adapter, in_s)))
            if in_s > LONG_BLOCK_S and model not in fleet.own_goals(self._id):
                # No holder can load an adapter soon; another server can load the model.
                batch += self._add_replica(fleet, model, now)
        return batch

    def _expected(
        self,
        want: WantModel,
        asker: str,
        server: ManagedServer,
        fleet: ServiceFleet,
        now: float,
    ) -> Outgoing:
        spec = fleet.engine.model_by_name[want.model]
        in_s = server.ready_in_s(want.model, fleet.engine, now)
        in_s += fleet.store_wait_s(spec, server)
        goal = server.has_goal(want.model, "")
        if goal is not None:
            goal.promised_at = now + in_s
        return self._to_routing(asker, ModelExpected(want.model, want.adapter, in_s))

    # Planning ahead

    def _plan_ahead(self, fleet: ServiceFleet, now: float) -> list[Outgoing]:
        """Load what will be wanted; not where a successor may be at work."""
        if self._office.detached or any(s.order_count is None for s in fleet.servers):
            return []
        model = fleet.model_to_replicate(self._id, now)
        batch = [] if model is None else self._add_replica(fleet, model, now)
        return batch or self._load_copy(fleet, now)

    def _load_copy(self, fleet: ServiceFleet, now: float) -> list[Outgoing]:
        """Load a model of which no server has a copy on a server with time for it."""
        quiet = fleet.total_rate(now) < QUIET_TOKENS_PER_S
        if not (fleet.store.has_room() if quiet else fleet.store_is_spare()):
            return []
        model = fleet.model_to_copy(now)
        idle = [s for s in fleet.servers if s.busy_until is None and not s.goals]
        if model is None or not idle:
            return []
        # Counted as one request, since the next one for it would wait in vain.
        spec = fleet.engine.model_by_name[model]
        choice = fleet.choose(spec, idle, now, waiting=1)
        if choice is None or choice.victims_cost_s > COPY_COST_S:
            return []
        self._add_goal(fleet, Goal(model, "", {self._id: 1}), choice, "no_copy", now)
        return self._advance(choice.server, now)

    def _add_replica(
        self, fleet: ServiceFleet, model: str, now: float
    ) -> list[Outgoing]:
        """Load a model on another server, in another zone if one can take it."""
        choice = fleet.choose_replica(model, now)
        if choice is None:
            return []
        lost = sum(fleet.value(victim, now) for victim in choice.victims)
        if fleet.value(model, now) < REPLICA_GAIN * lost:
            return []
        goal = Goal(model, "", {self._id: fleet.urgency(model, now)})
        self._add_goal(fleet, goal, choice, "replica", now)
        return self._advance(choice.server, now)

    # Orders

    def _advance(self, server: ManagedServer, now: float) -> list[Outgoing]:
        """Take the next step towards a server's first goal."""
        if (
            not self._office.allows_orders(now)
            or server.order is not None
            or server.reading
        ):
            return []
        batch = self._tell_arrivals(server, now)
        if now < max(server.wait_until, server.silent_until):
            return batch
        if server.doubtful:
            return batch + self._read(server, now)
        if server.busy_until is not None:
            if now < server.busy_until:
                return batch
            if not server.assume_loaded(now):
                return batch + self._read(server, now)
            self._log.done(server, now)
        self._drop_stale(server, now)
        # While a model is loaded no adapter can be, and adapters take no time.
        server.put_quick_steps_first()
        for goal in list(server.goals):
            if not any(goal is other for other in server.goals):
                # A plan that was void has moved.
                continue
            if server.reaches(goal):
                server.goals.remove(goal)
                batch += self._tell_ready(server, goal, now)
                continue
            step = self._next_step(server, goal, now)
            match step:
                case OrderDue(order):
                    server.order = order
                    goal.begun = True
                    self._log.order(order, server, goal)
                    batch += self._warn_users(order, now)
                    return [*batch, self._to_orders(order)]
                case GoalWaits(until):
                    server.wait_for_goal(until, now)
                case PlanVoid(reason):
                    server.goals.remove(goal)
                    self._log.dropped(server, goal, reason, now)
                    batch += self._plan_again(server.record.service, goal, now)
                    if server.order is not None:
                        return batch
        return batch

    def _plan_again(self, service: str, goal: Goal, now: float) -> list[Outgoing]:
        """Find another place for a model whose plan is void."""
        engine = self._engine_by_service.get(service)
        own = goal.waiting_by_asker.keys() <= {self._id}
        if goal.adapter or own or engine is None or goal.planned_at >= now:
            # The askers ask again; what the leader wants itself is weighed anew with
            # the next look ahead.
            return []
        fleet = self._fleet(service, engine, now)
        servers = [
            server
            for server in fleet.servers
            if goal.model not in server.planned_models()
        ]
        spec = engine.model_by_name.get(goal.model)
        if spec is None:
            # A later desired state has taken the model out.
            return []
        choice = fleet.choose(spec, servers, now, goal.waiting)
        if choice is None:
            return []
        self._add_goal(fleet, goal, choice, "plan_void", now)
        return self._advance(choice.server, now)

    def _drop_stale(self, server: ManagedServer, now: float) -> None:
        for goal in server.drop_stale_goals(now):
            self._log.dropped(server, goal, "nobody_asks", now)

    def _set_aside(self, server: ManagedServer, now: float) -> None:
        """Give up the plans for a server that does not answer."""
        for goal in server.goals:
            self._log.dropped(server, goal, "server_silent", now)
        server.fall_silent(now)

    def _warn_users(self, order: ServerOrder, now: float) -> list[Outgoing]:
        """Tell the gateways that use a model that it goes, before the registry does."""
        if order.kind is not OrderKind.UNLOAD or order.adapter:
            return []
        unloading = ModelUnloading(order.model, order.server_id)
        users = self._users.users(order.model, now)
        return [self._to_routing(user, unloading) for user in users]

    def _next_step(self, server: ManagedServer, goal: Goal, now: float) -> NextStep:
        engine = self._engine_by_service.get(server.record.service)
        if (
            engine is None
            or goal.model not in engine.model_by_name
            or not server.is_usable(now)
        ):
            return PlanVoid("server_unusable")
        fleet = self._fleet(server.record.service, engine, now)
        return self._planner.next_step(
            fleet, server, goal, self._office.epoch or 0, now
        )

    def _end_order(self, ended: OrderEnded, now: float) -> list[Outgoing]:
        order, result = ended.order, ended.result
        server = self._server_by_id.get(order.server_id)
        log_result(ended)
        batch: list[Outgoing] = []
        if result is OrderResult.FENCED:
            fenced = LeadershipFenced(order.epoch)
            batch.append(Outgoing(Address(self._id, LEADERSHIP_TASK), fenced))
        if server is None or server.order != order:
            return batch
        server.order = None
        engine = self._engine_by_service.get(server.record.service)
        spec = None if engine is None else engine.model_by_name.get(order.model)
        if result is OrderResult.ACCEPTED and spec is not None:
            loads = order.kind is OrderKind.LOAD and not order.adapter
            if loads and server.needs_store(order.model):
                self._store_loads(server.record.service).begin(order.server_id, now)
            server.accepted(order, spec, now)
            if order.adapter and order.kind is OrderKind.UNLOAD:
                server.wait_for_runs(order, now)
        elif result is OrderResult.HOLDS and spec is not None:
            if order.adapter and order.kind is OrderKind.UNLOAD:
                # An unload of an idle adapter is carried out at once.
                server.accepted(order, spec, now)
            else:
                server.doubtful = True
        elif result in (OrderResult.NOT_SENT, OrderResult.INVALID):
            self._set_aside(server, now)
        else:
            server.doubt_last_order(now)
        return batch + self._advance(server, now)

    def _read(self, server: ManagedServer, now: float) -> list[Outgoing]:
        server.reading = True
        server.read_at = now
        record = server.record
        read = ReadHoldings(record.server_id, record.host, record.port)
        return [self._to_orders(read)]

    def _take_report(self, read: HoldingsRead, now: float) -> list[Outgoing]:
        server = self._server_by_id.get(read.server_id)
        if server is None:
            return []
        server.reading = False
        if read.holdings is None:
            self._set_aside(server, now)
            return []
        server.silent_until = now
        loading = server.loading
        current = server.take_report(read.holdings, now)
        if loading is not None and server.loading is None:
            self._end_store_load(server, loading, now)
        self._log.done(server, now)
        if not current or server.busy_until is not None:
            server.wait_until = now + server.poll_interval_s(now)
        return self._advance(server, now) + self._take_pending(now)

    def _end_store_load(self, server: ManagedServer, model: str, now: float) -> None:
        service = server.record.service
        engine = self._engine_by_service.get(service)
        spec = None if engine is None else engine.model_by_name.get(model)
        full_speed_s = 0.0 if spec is None else spec.store_load_s
        self._store_loads(service).end(server.record.server_id, full_speed_s, now)

    def _take_pending(self, now: float) -> list[Outgoing]:
        """Take up the wishes that waited for reports."""
        pending, self._pending_wants = self._pending_wants, {}
        batch: list[Outgoing] = []
        for (_, _, asker), want in pending.items():
            batch += self._want(want, asker, now)
        return batch

    # Results

    def _tell_ready(
        self, server: ManagedServer, goal: Goal, now: float
    ) -> list[Outgoing]:
        ready = ModelReady(goal.model, goal.adapter, server.record.server_id)
        if goal.waiting_by_asker:
            server.note_runs({target_name(goal.model, goal.adapter): 0.0}, now)
        return [
            self._to_routing(asker, ready) for asker in sorted(goal.waiting_by_asker)
        ]

    def _tell_arrivals(self, server: ManagedServer, now: float) -> list[Outgoing]:
        batch: list[Outgoing] = []
        for (model, adapter), arrival in server.take_arrivals(now):
            waiting = dict.fromkeys(arrival.askers, 1)
            batch += self._tell_ready(server, Goal(model, adapter, waiting), now)
        return batch

    # Changes

    def _take_office(self, message: object, now: float) -> None:
        match message:
            case LeadershipHeld(epoch, from_s):
                self._office.begin(epoch, from_s)
                self._planner.begin_office()
                self._store_by_service.clear()
                for server in self._server_by_id.values():
                    server.forget_plans()
                self._next_tick_at = now
            case LeadershipExtended(until_s, detached):
                self._office.extend(until_s, detached)
            case LeadershipLost():
                self._office.end()

    def _take_record(self, record: ServerRecord, now: float) -> None:
        # The registry may be read before the desired state, which names the services
        # with engines; records of other services are kept and not used.
        server = self._server_by_id.get(record.server_id)
        if server is None:
            server = ManagedServer(record=record, holdings=record.holdings)
            self._server_by_id[record.server_id] = server
        else:
            server.take_record(record, now)

    def _take_desired(self, desired: DesiredState) -> None:
        self._engine_by_service = {
            service.name: service.engine
            for service in desired.service_by_name.values()
            if service.engine is not None
        }

    def _take_demand(self, seen: DemandSeen, sender: str, now: float) -> None:
        demand = self._demand_by_service.setdefault(seen.service, Demand())
        for server_id, runs in seen.runs_by_server.items():
            if server := self._server_by_id.get(server_id):
                server.note_runs(runs, now)
        for target, tokens in seen.tokens_by_target.items():
            demand.add(target, tokens, now)
            model, _, adapter = target.partition("/")
            self._users.note(model, sender, now)
            if adapter:
                demand.add(model, tokens, now)

    def _fleet(self, service: str, engine: EngineSpec, now: float) -> ServiceFleet:
        servers = [
            server
            for server in self._server_by_id.values()
            if server.record.service == service
            and server.is_usable(now)
            and server.record.zone not in self._evacuated_zones
        ]
        demand = self._demand_by_service.setdefault(service, Demand())
        return ServiceFleet(engine, servers, demand, self._store_loads(service))

    def _store_loads(self, service: str) -> StoreLoads:
        return self._store_by_service.setdefault(service, StoreLoads())

    def _drop_store_loads(self) -> None:
        """Forget the loads of servers that are gone, silent or started anew."""
        for store in self._store_by_service.values():
            for server_id in store.servers():
                server = self._server_by_id.get(server_id)
                if server is None or server.loading is None:
                    store.drop(server_id)

    def _to_routing(self, instance_id: str, message: Message) -> Outgoing:
        return Outgoing(Address(instance_id, ROUTING_TASK), message)

    def _to_orders(self, message: Message) -> Outgoing:
        return Outgoing(Address(self._id, ORDERS_TASK), message)
