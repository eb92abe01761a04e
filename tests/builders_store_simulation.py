"""Simulation of one day of a service whose weight store carries few parallel loads.

The gateways (`Routing`) and the leader (`Placement`) run the real decisions. Servers,
the weight store, the registry and the requesters are simulated. Time is a number that
advances with a heap of events, so a day takes a few seconds to run.

Times are seconds from the start of traffic, unless the fields say otherwise.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable
from functools import partial
from unittest import mock

import attrs

from siskinspool.core.decision import Decision
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.gateway.messages import (
    ORDERS_TASK,
    PLACEMENT_TASK,
    ROUTING_TASK,
    AssignRefused,
    AssignServer,
    AttemptEnded,
    AttemptResult,
    HoldingsRead,
    LeaderChanged,
    LeadershipExtended,
    LeadershipHeld,
    LeadershipLost,
    OrderEnded,
    OrderKind,
    OrderResult,
    ReadHoldings,
    ServerAssigned,
    ServerOrder,
)
from siskinspool.gateway.placement import Placement
from siskinspool.gateway.routing import Routing
from siskinspool.gateway.servers import (
    ServerRemoved,
    ServerState,
)
from siskinspool.store.kv import KvConflict, KvGet, KvReply, KvSwap, KvSwapped, KvValue
from siskinspool.store.kv_task import KV_TASK

from .builders_gateway import (
    assign,
    bounds,
    desired_state,
    engine,
    membership,
    scheduling,
)
from .builders_store_plan import (
    DISK_LOAD_S,
    FIRST_EVENT_S,
    HOP_S,
    KINDS,
    MIN_REQUESTERS,
    MIN_SPAN_S,
    MODEL_MB,
    MODELS_IN_MEMORY,
    MODELS_ON_DISK,
    REGISTRY_READ_INTERVAL_S,
    RESTART_S,
    RUN_S,
    STORE_LOAD_S,
    TRAFFIC_START_S,
    UNLOAD_S,
    DayPlan,
    DayResult,
    ModelledServer,
    Requester,
    StoreLoad,
)


class StoreDaySimulation:
    """Simulates one day."""

    def __init__(self, plan: DayPlan) -> None:
        self._plan = plan
        self._random = random.Random(plan.seed)
        self._now = TRAFFIC_START_S + plan.join_from_s - 1.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._names = [f"m{number}" for number in range(plan.models)]
        self._rare = self._names[-plan.without_copy :]
        spec = engine(
            *self._names,
            weights_mb=MODELS_IN_MEMORY * MODEL_MB + 5_000.0,
            disk_mb=MODELS_ON_DISK * MODEL_MB + 5_000.0,
            store_loads_per_s=30.0,
            store_load_s=STORE_LOAD_S,
        )
        self._desired = desired_state(engine_spec=spec)
        self._gateways = tuple(f"g{number + 1}" for number in range(plan.gateways))
        self._leader = "g1"
        self._epoch = 1
        self._decision_by_address: dict[tuple[str, str], Decision] = {}
        # The value and revision of the ledger in the platform's store.
        self._ledger: tuple[bytes | None, int] = (None, 0)
        self._server_by_id: dict[str, ModelledServer] = {}
        self._store_ends: list[float] = []
        self._max_parallel_loads = 0
        # Requests that have no answer yet.
        self._waiting_ids: set[str] = set()
        self._requester_by_id: dict[str, Requester] = {}
        self._requesters: list[Requester] = []
        self._call_by_id: dict[str, tuple[AssignServer, float]] = {}
        self._store_loads: list[StoreLoad] = []
        self._served_at: dict[tuple[str, str], list[float]] = defaultdict(list)

    def run(self) -> DayResult:
        """Run the simulation to the end of the day, with its own time of day."""
        with mock.patch("time.time", lambda: self._now):
            return self._run()

    def _run(self) -> DayResult:
        self._prepare()
        end_at = TRAFFIC_START_S + self._plan.traffic_s
        while self._events and self._now < end_at:
            wakes = [
                (wake, address)
                for address in self._decision_by_address
                if (wake := self._wake_at(address)) is not None
            ]
            wake_at, address = min(wakes, default=(float("inf"), ("", "")))
            if wake_at <= self._events[0][0]:
                self._now = max(self._now + 0.001, wake_at)
                self._wake(address)
            else:
                at, _, action = heapq.heappop(self._events)
                self._now = max(self._now, at)
                action()
        return self._result()

    def _wake_at(self, address: tuple[str, str]) -> float | None:
        return self._decision_by_address[address].wake_at()

    def _wake(self, address: tuple[str, str]) -> None:
        decision = self._decision_by_address[address]
        self._send(address[0], decision.on_time(self._now))

    # Setup and events

    def _schedule_at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._order), action))

    def _schedule_after(self, seconds: float, action: Callable[[], None]) -> None:
        self._schedule_at(self._now + seconds, action)

    def _prepare(self) -> None:
        plan = self._plan
        self._start_gateways(first_start=True)
        self._begin_term()
        common = self._names[: -plan.without_copy]
        weights = [1.0 / (rank + 3.0) for rank in range(len(common))]
        places = plan.servers * MODELS_ON_DISK
        more = self._random.choices(common, weights, k=places - len(common))
        copies = common + more
        self._random.shuffle(copies)
        for number in range(plan.servers):
            disk = OrderedDict.fromkeys(copies[number :: plan.servers])
            joined_at = TRAFFIC_START_S + self._random.uniform(
                plan.join_from_s, plan.join_until_s
            )
            self._add_server(f"s{number:02}", joined_at, disk)
        self._plan_requesters(common, weights)
        if plan.release_at_s is not None:
            released = self._random.sample(range(plan.servers), plan.released)
            for step, number in enumerate(released):
                at = TRAFFIC_START_S + plan.release_at_s + step
                self._schedule_at(at, partial(self._drain, f"s{number:02}"))
                self._add_server(f"n{step:02}", at, OrderedDict())
        if plan.crash_at_s is not None:
            for number in self._random.sample(range(plan.servers), plan.crashed):
                at = TRAFFIC_START_S + plan.crash_at_s
                self._schedule_at(at, partial(self._crash, f"s{number:02}"))
        if plan.succession_at_s is not None:
            self._schedule_at(
                TRAFFIC_START_S + plan.succession_at_s, self._change_leader
            )
        if plan.restart_at_s is not None:
            self._schedule_at(TRAFFIC_START_S + plan.restart_at_s, self._restart)

    def _start_gateways(self, *, first_start: bool) -> None:
        for name in self._gateways:
            self._decision_by_address[(name, ROUTING_TASK)] = Routing(
                name, "a", bounds(drain_s=3.0), scheduling()
            )
            self._decision_by_address[(name, PLACEMENT_TASK)] = Placement(
                name, first_start, scheduling()
            )
        for name in self._gateways:
            for task in (ROUTING_TASK, PLACEMENT_TASK):
                self._handle_now(name, task, self._desired)
            self._handle_now(name, ROUTING_TASK, membership(*self._gateways))

    def _add_server(
        self, server_id: str, at: float, disk: OrderedDict[str, None]
    ) -> None:
        loaded = list(disk)[:MODELS_IN_MEMORY]
        server = ModelledServer(server_id, at, loaded, disk)
        self._server_by_id[server_id] = server
        self._schedule_at(self._next_registry_read(at), lambda: self._publish(server))

    def _plan_requesters(self, common: list[str], weights: list[float]) -> None:
        plan = self._plan
        rate_by_model = {
            name: plan.common_per_s * weight / sum(weights)
            for name, weight in zip(common, weights, strict=True)
        }
        for name in self._rare:
            per_day = plan.rare_requesters * self._random.lognormvariate(-0.12, 0.5)
            rate_by_model[name] = per_day / plan.traffic_s
        shares = [kind.share for kind in KINDS]
        for name, rate in rate_by_model.items():
            at = self._random.expovariate(rate)
            while at < plan.traffic_s:
                kind = self._random.choices(KINDS, shares)[0]
                requester = Requester(name, kind, TRAFFIC_START_S + at)
                self._requesters.append(requester)
                self._schedule_at(requester.arrived_at, partial(self._ask, requester))
                at += self._random.expovariate(rate)

    def _next_registry_read(self, at: float) -> float:
        """Return when gateways next read the registry and see a change."""
        since = at - TRAFFIC_START_S
        return (
            TRAFFIC_START_S
            + (since // REGISTRY_READ_INTERVAL_S + 1.0) * REGISTRY_READ_INTERVAL_S
        )

    def _publish(self, server: ModelledServer) -> None:
        if not server.is_up:
            return
        record = server.record()
        for name in self._gateways:
            for task in (ROUTING_TASK, PLACEMENT_TASK):
                self._handle_now(name, task, record)

    def _remove(self, server_id: str) -> None:
        for name in self._gateways:
            for task in (ROUTING_TASK, PLACEMENT_TASK):
                self._handle_now(name, task, ServerRemoved(server_id))

    def _drain(self, server_id: str) -> None:
        server = self._server_by_id[server_id]
        server.state = ServerState.DRAINING
        self._schedule_at(
            self._next_registry_read(self._now), lambda: self._publish(server)
        )
        self._schedule_after(3.5, lambda: self._stop(server))

    def _stop(self, server: ModelledServer) -> None:
        server.is_up = False
        server.busy = None
        self._schedule_at(
            self._next_registry_read(self._now), lambda: self._remove(server.server_id)
        )

    def _crash(self, server_id: str) -> None:
        server = self._server_by_id[server_id]
        server.is_up, server.busy, server.loaded = False, None, []
        server.born_ms, server.order_count = server.born_ms + 1, 0
        self._schedule_after(3.6, lambda: self._remove(server_id))

        def come_back() -> None:
            server.is_up = True
            self._publish(server)

        self._schedule_after(5.0, come_back)

    def _begin_term(self, wait_s: float = 0.0) -> None:
        held = LeadershipHeld(self._epoch, self._now + wait_s)
        self._handle_now(self._leader, PLACEMENT_TASK, held)
        extended = LeadershipExtended(self._now + 1_000.0)
        self._handle_now(self._leader, PLACEMENT_TASK, extended)
        for name in self._gateways:
            self._handle_now(name, ROUTING_TASK, LeaderChanged(self._leader))

    def _change_leader(self) -> None:
        self._handle_now(self._leader, PLACEMENT_TASK, LeadershipLost("g2"))
        self._leader, self._epoch = "g2", self._epoch + 1
        self._begin_term(wait_s=1.3)

    def _restart(self) -> None:
        """End all gateways at once; only the platform's store and the servers last."""
        self._start_gateways(first_start=False)
        for server in self._server_by_id.values():
            if server.joined_at < self._now:
                self._publish(server)
        self._epoch += 1
        self._begin_term(wait_s=RESTART_S)
        interrupted, self._waiting_ids = sorted(self._waiting_ids), set()
        for request_id in interrupted:
            requester = self._requester_by_id[request_id]
            if requester.attempts == 1:
                self._schedule_after(RESTART_S, partial(self._ask, requester))

    # Messages

    def _handle_now(self, instance: str, task: str, message: Message) -> None:
        """Let a task handle a message at once."""
        decision = self._decision_by_address[(instance, task)]
        incoming = Incoming(Address(instance, task), message)
        self._send(instance, decision.handle(incoming, self._now))

    def _send(self, sender: str, batch: list[Outgoing]) -> None:
        for outgoing in batch:
            self._schedule_after(HOP_S, partial(self._deliver, sender, outgoing))

    def _deliver(self, sender: str, outgoing: Outgoing) -> None:
        to, message = outgoing.recipient, outgoing.message
        if to.task == KV_TASK and isinstance(message, KvGet | KvSwap):
            self._handle_now(sender, PLACEMENT_TASK, self._answer_ledger(message))
        elif to.task == ORDERS_TASK:
            self._handle_order(sender, message)
        elif to.task == "requester":
            self._handle_answer(to.instance_id, message)
        elif decision := self._decision_by_address.get((to.instance_id, to.task)):
            self._handle_from_peer(sender, to, decision, message)

    def _handle_from_peer(
        self, sender: str, to: Address, decision: Decision, message: Message
    ) -> None:
        incoming = Incoming(Address(sender, "peer"), message)
        self._send(to.instance_id, decision.handle(incoming, self._now))

    def _answer_ledger(self, request: KvGet | KvSwap) -> KvReply:
        value, revision = self._ledger
        if isinstance(request, KvGet):
            return KvValue(request.request_id, request.key, value, revision)
        if request.expected_revision != revision:
            return KvConflict(request.request_id, request.key, value, revision)
        self._ledger = (request.value, revision + 1)
        return KvSwapped(request.request_id, request.key, revision + 1)

    # Servers

    def _handle_order(self, leader: str, message: Message) -> None:
        if isinstance(message, ReadHoldings):
            server = self._server_by_id[message.server_id]
            found = server.holdings() if server.is_up else None
            read = HoldingsRead(message.server_id, found)
            self._schedule_after(
                HOP_S, lambda: self._handle_now(leader, PLACEMENT_TASK, read)
            )
        if isinstance(message, ServerOrder):
            result = self._carry_out(message)
            ended = OrderEnded(message, result)
            self._schedule_after(
                HOP_S, lambda: self._handle_now(leader, PLACEMENT_TASK, ended)
            )

    def _carry_out(self, order: ServerOrder) -> OrderResult:
        server = self._server_by_id[order.server_id]
        if not server.is_up:
            return OrderResult.NOT_SENT
        if server.busy is not None or order.expected_count != server.order_count:
            return OrderResult.CONFLICT
        server.order_count += 1
        server.busy = order
        if order.kind is OrderKind.UNLOAD:
            server.loaded.remove(order.model)
            self._schedule_after(UNLOAD_S, lambda: self._finish(server, order, None))
            return OrderResult.ACCEPTED
        assert len(server.loaded) < MODELS_IN_MEMORY, "more than the memory holds"
        store_load: StoreLoad | None = None
        took_s = DISK_LOAD_S
        if order.model not in server.disk:
            store_load = StoreLoad(server.server_id, order.model)
            self._store_loads.append(store_load)
            took_s = self._begin_store_load()
        self._schedule_after(took_s, lambda: self._finish(server, order, store_load))
        return OrderResult.ACCEPTED

    def _begin_store_load(self) -> float:
        """Return the duration of a load, given by the loads running at its start."""
        self._store_ends = [at for at in self._store_ends if at > self._now]
        parallel_loads = len(self._store_ends) + 1
        if self._now >= TRAFFIC_START_S:
            self._max_parallel_loads = max(self._max_parallel_loads, parallel_loads)
        slowdown = parallel_loads / self._plan.store_at_once
        took_s = STORE_LOAD_S * max(slowdown, 1.0)
        self._store_ends.append(self._now + took_s)
        return took_s

    def _finish(
        self, server: ModelledServer, order: ServerOrder, store_load: StoreLoad | None
    ) -> None:
        if server.busy is not order:
            return
        server.busy = None
        if order.kind is OrderKind.LOAD:
            server.loaded.append(order.model)
            server.disk[order.model] = None
            server.disk.move_to_end(order.model)
            while len(server.disk) > MODELS_ON_DISK:
                idle = [name for name in server.disk if name not in server.loaded]
                del server.disk[idle[0]]
        if store_load is not None:
            store_load.ready_at = self._now
        self._schedule_at(
            self._next_registry_read(self._now), lambda: self._publish(server)
        )

    # Requesters

    def _ask(self, requester: Requester) -> None:
        requester.attempts += 1
        request_id = f"r{len(self._requester_by_id)}"
        self._requester_by_id[request_id] = requester
        kind = requester.kind
        remaining_s = requester.arrived_at + kind.limit_s - self._now
        max_wait_s = min(kind.max_wait_s, remaining_s) - 0.1
        reach_s = max(
            max_wait_s, min(remaining_s, remaining_s / 3 + kind.max_wait_s) - 0.1
        )
        call = assign(
            request_id,
            model=requester.model,
            max_wait_s=max_wait_s,
            reach_s=reach_s,
            route=kind.name,
            timeout_s=kind.limit_s,
            deadline_s=remaining_s,
        )
        self._call_by_id[request_id] = (call, self._now + max_wait_s + 0.1)
        gateway = self._random.choice(self._gateways)
        self._send_call(gateway, call)

    def _send_call(self, gateway: str, call: AssignServer) -> None:
        self._waiting_ids.add(call.request_id)
        decision = self._decision_by_address[(gateway, ROUTING_TASK)]
        incoming = Incoming(Address(f"{call.request_id}@{gateway}", "requester"), call)
        self._send(gateway, decision.handle(incoming, self._now))

    def _handle_answer(self, sender: str, message: Message) -> None:
        request_id, _, gateway = sender.partition("@")
        requester = self._requester_by_id[request_id]
        if request_id not in self._waiting_ids:
            # Its gateway has ended since.
            return
        self._waiting_ids.remove(request_id)
        if isinstance(message, ServerAssigned):
            self._run_request(gateway, request_id, message.server_id)
        elif isinstance(message, AssignRefused) and requester.attempts == 1:
            remaining_s = requester.arrived_at + requester.kind.limit_s - self._now
            pause_s = min(message.retry_after_s, remaining_s / 3)
            self._schedule_after(pause_s, lambda: self._ask(requester))

    def _run_request(self, gateway: str, request_id: str, server_id: str) -> None:
        requester = self._requester_by_id[request_id]
        call, until = self._call_by_id[request_id]
        server = self._server_by_id[server_id]
        holds = server.is_up and requester.model in server.loaded
        result = AttemptResult.ANSWERED if holds else AttemptResult.MODEL_MISSING
        if holds and self._now + FIRST_EVENT_S < until:
            requester.served_at = self._now
            self._served_at[(server_id, requester.model)].append(self._now)
        ended = AttemptEnded(request_id=request_id, server_id=server_id, result=result)
        self._schedule_after(
            RUN_S if holds else HOP_S,
            lambda: self._handle_now(gateway, ROUTING_TASK, ended),
        )
        if not holds:
            retry = attrs.evolve(
                call,
                excluded=call.excluded | {server_id},
                max_wait_s=max(until - self._now - 0.1, 0.0),
            )
            self._call_by_id[request_id] = (retry, until)
            self._schedule_after(2 * HOP_S, lambda: self._send_call(gateway, retry))

    # Result

    def _result(self) -> DayResult:
        start_times_by_model: dict[str, list[float]] = defaultdict(list)
        served = Counter[str]()
        for requester in self._requesters:
            start_times_by_model[requester.model].append(requester.arrived_at)
            served[requester.model] += requester.served_at is not None
        counted = {
            name
            for name, start_times in start_times_by_model.items()
            if len(start_times) >= MIN_REQUESTERS
            and max(start_times) - min(start_times) >= MIN_SPAN_S
        }
        busy_s = self._plan.traffic_s - FIRST_EVENT_S - self._plan.join_from_s
        possible = int(busy_s / STORE_LOAD_S) * self._plan.store_at_once
        return DayResult(
            counted_models=counted,
            starved_models={name for name in counted if not served[name]},
            min_starved=max(len(counted & set(self._rare)) - possible, 0),
            store_loads=len(self._store_loads),
            useful_store_loads=sum(
                any(
                    at >= store_load.ready_at
                    for at in self._served_at[(store_load.server_id, store_load.model)]
                )
                for store_load in self._store_loads
            ),
            max_parallel_loads=self._max_parallel_loads,
            requesters=len(self._requesters),
            served=sum(served.values()),
        )
