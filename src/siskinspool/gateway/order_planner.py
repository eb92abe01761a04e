"""The next order that brings a server towards a goal.

An order is given only if what is on the server, or on its way there, leaves room: first
what has to go is unloaded, then the goal is loaded. Only models that the goal's plan
names are unloaded, since what else goes was never weighed; a plan that cannot be
carried out any more is void. Loads from the weight store draw on a token bucket sized
so that two leaders in a row stay within the bound.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from .desired_state import EngineSpec
from .managed_server import ManagedServer
from .messages import OrderKind, ServerOrder
from .placement_choice import ServiceFleet
from .placement_plan import PlacementPlan
from .token_bucket import TokenBucket

# Loads that may begin at once; see `_load_bucket`.
LOAD_BURST: Final = 1.5
# A server that cannot take its next step looks again after this time.
RETRY_S: Final = 0.25


@dataclass(frozen=True)
class OrderDue:
    """The order that a goal needs next."""

    order: ServerOrder


@dataclass(frozen=True)
class PlanWaits:
    """The goal has to wait until about this time."""

    until: float


@dataclass(frozen=True)
class PlanVoid:
    """The goal cannot be reached as planned."""

    reason: str


NextStep = OrderDue | PlanWaits | PlanVoid


class OrderPlanner:
    """Chooses orders; keeps the allowance of loads from the weight store."""

    def __init__(self, first_start: bool) -> None:
        """Take whether the system starts for the first time."""
        self._is_first_start = first_start
        self._bucket_by_service: dict[str, TokenBucket] = {}

    def begin_term(self) -> None:
        """Begin anew: another leader may have loaded in the meantime."""
        self._bucket_by_service.clear()

    def next_step(
        self,
        fleet: ServiceFleet,
        server: ManagedServer,
        goal: PlacementPlan,
        epoch: int,
        now: float,
    ) -> NextStep:
        """Return the next step towards one goal of a server."""
        if goal.adapter:
            return self._adapter_step(fleet, server, goal, epoch, now)
        spec = fleet.engine.model_by_name[goal.model]
        needs_store = server.needs_store(goal.model)
        if needs_store and not fleet.store_queue.can_start(server, goal, now):
            turns = fleet.store_queue
            is_for_nobody = goal.is_preload and not turns.is_worth_slot(goal.model, now)
            if is_for_nobody and turns.has_requested_plan(now):
                return PlanVoid("requesters_wait")
            # The server stays free for what loads sooner.
            return PlanWaits(now + RETRY_S)
        if fleet.engine.weights_mb - server.used_mb(fleet.engine) < spec.weights_mb:
            return self._make_room(fleet, server, goal, epoch, now)
        if needs_store:
            bucket = self._load_bucket(server.record.service, fleet.engine, now)
            if not bucket.try_take(1, now):
                return PlanWaits(now + bucket.wait_s(1, now))
        return OrderDue(_order(epoch, server, OrderKind.LOAD, goal.model, ""))

    def _make_room(
        self,
        fleet: ServiceFleet,
        server: ManagedServer,
        goal: PlacementPlan,
        epoch: int,
        now: float,
    ) -> NextStep:
        held = [name for name in goal.eviction_candidates if server.holds_model(name)]
        if any(
            fleet.is_protected(name, goal.model, goal.waiting_requests, now)
            for name in held
        ):
            return PlanVoid("victim_needed")
        if fleet.is_costlier(server, goal, now):
            return PlanVoid("victims_dearer")
        for name in held:
            if not server.is_recently_loaded(name, now):
                return OrderDue(_order(epoch, server, OrderKind.UNLOAD, name, ""))
        if held:
            # What has just been loaded stays for its requests.
            return PlanWaits(now + RETRY_S)
        before = server.plans_before(goal)
        if any(
            other.model in goal.eviction_candidates or other.eviction_candidates
            for other in before
        ):
            # The plans before this one leave room for it.
            return PlanWaits(now + RETRY_S)
        return PlanVoid("no_room")

    def _adapter_step(
        self,
        fleet: ServiceFleet,
        server: ManagedServer,
        goal: PlacementPlan,
        epoch: int,
        now: float,
    ) -> NextStep:
        spec = fleet.engine.model_by_name[goal.model]
        if not server.holds_model(goal.model):
            return PlanVoid("model_gone")
        fits = server.adapter_count() < fleet.engine.adapter_slots and (
            server.used_mb(fleet.engine) + spec.adapter_mb <= fleet.engine.weights_mb
        )
        if fits:
            load = _order(epoch, server, OrderKind.LOAD, goal.model, goal.adapter)
            return OrderDue(load)
        victim = fleet.adapter_eviction_candidate(server, now)
        if victim is None:
            return PlanVoid("adapters_in_use")
        return OrderDue(_order(epoch, server, OrderKind.UNLOAD, *victim))

    def _load_bucket(self, service: str, engine: EngineSpec, now: float) -> TokenBucket:
        """Return the bucket of loads from the weight store.

        The bound on a window of w seconds is rate x w x overage + 3. Two leaders in a
        row each grant their burst at most beside the rate, so twice the burst must not
        exceed 3. A later leader starts without it, as the last one may just have
        loaded.
        """
        bucket = self._bucket_by_service.get(service)
        if bucket is None:
            make = TokenBucket.full if self._is_first_start else TokenBucket.empty
            bucket = make(engine.store_loads_per_s, LOAD_BURST, now)
            self._bucket_by_service[service] = bucket
            self._is_first_start = False
        return bucket


def _order(
    epoch: int, server: ManagedServer, kind: OrderKind, model: str, adapter: str
) -> ServerOrder:
    record = server.record
    return ServerOrder(
        server_id=record.server_id,
        host=record.host,
        port=record.port,
        kind=kind,
        model=model,
        adapter=adapter,
        expected_count=server.order_count or 0,
        epoch=epoch,
    )
