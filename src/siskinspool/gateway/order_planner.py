"""The next order that a placement plan needs.

An order is given only if the target fits beside what the server holds or loads:
the plan's eviction candidates are unloaded first, then the target is loaded. Only
models that the plan names are unloaded, since the cost of other evictions was never
considered. A plan that can no longer be carried out is void. Loads from the weight
store are limited by a token bucket, which is sized so that two successive leaders stay
within the bound.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from .desired_state import EngineSpec
from .leadership_term import OrderPermit
from .managed_server import ManagedServer
from .messages import OrderKind, ServerOrder
from .placement_plan import PlacementPlan
from .service_fleet import ServiceFleet
from .token_bucket import TokenBucket

# Loads that may start at once; see `_load_bucket`.
LOAD_BURST: Final = 1.5
# A plan whose next step is not possible yet is tried again after this time.
RETRY_S: Final = 0.25


@dataclass(frozen=True)
class OrderDue:
    """The order that a plan needs next."""

    order: ServerOrder


@dataclass(frozen=True)
class PlanWaits:
    """The plan has to wait until about this time."""

    until: float


@dataclass(frozen=True)
class PlanVoid:
    """The plan cannot be carried out any more."""

    reason: str


NextStep = OrderDue | PlanWaits | PlanVoid


class OrderPlanner:
    """Chooses orders and limits the rate of loads from the weight store."""

    def __init__(self, first_start: bool) -> None:
        """Create a planner; ``first_start`` is true on the system's first start."""
        self._is_first_start = first_start
        self._bucket_by_service: dict[str, TokenBucket] = {}

    def begin_term(self) -> None:
        """Reset the rate limits; another leader may have loaded in between."""
        self._bucket_by_service.clear()

    def next_step(
        self,
        fleet: ServiceFleet,
        server: ManagedServer,
        plan: PlacementPlan,
        permit: OrderPermit,
        now: float,
    ) -> NextStep:
        """Return the next step of a server's plan."""
        if plan.adapter:
            return self._adapter_step(fleet, server, plan, permit, now)
        spec = fleet.engine.model_by_name[plan.model]
        needs_store = server.needs_store(plan.model)
        if needs_store and not fleet.store_queue.can_start(server, plan, now):
            queue = fleet.store_queue
            is_unrequested = plan.is_preload and not queue.is_worth_slot(
                plan.model, now
            )
            if is_unrequested and queue.has_requested_plan(now):
                return PlanVoid("requesters_wait")
            # Keep the server free for a plan that can be loaded sooner.
            return PlanWaits(now + RETRY_S)
        if fleet.engine.weights_mb - server.used_mb(fleet.engine) < spec.weights_mb:
            return self._make_room(fleet, server, plan, permit, now)
        if needs_store:
            bucket = self._load_bucket(server.record.service, fleet.engine, now)
            if not bucket.try_take(1, now):
                return PlanWaits(now + bucket.wait_s(1, now))
        return OrderDue(_order(permit, server, OrderKind.LOAD, plan.model, ""))

    def _make_room(
        self,
        fleet: ServiceFleet,
        server: ManagedServer,
        plan: PlacementPlan,
        permit: OrderPermit,
        now: float,
    ) -> NextStep:
        loaded_candidates = [
            name for name in plan.eviction_candidates if server.holds_model(name)
        ]
        if any(
            fleet.is_protected(name, plan.model, plan.waiting_requests, now)
            for name in loaded_candidates
        ):
            return PlanVoid("victim_needed")
        if fleet.is_costlier(server, plan, now):
            return PlanVoid("victims_dearer")
        for name in loaded_candidates:
            if not server.is_recently_loaded(name, now):
                return OrderDue(_order(permit, server, OrderKind.UNLOAD, name, ""))
        if loaded_candidates:
            # Keep a recently loaded model until its requests have arrived.
            return PlanWaits(now + RETRY_S)
        earlier_plans = server.plans_before(plan)
        if any(
            other.model in plan.eviction_candidates or other.eviction_candidates
            for other in earlier_plans
        ):
            # Plans that precede this one free the memory that it needs.
            return PlanWaits(now + RETRY_S)
        return PlanVoid("no_room")

    def _adapter_step(
        self,
        fleet: ServiceFleet,
        server: ManagedServer,
        plan: PlacementPlan,
        permit: OrderPermit,
        now: float,
    ) -> NextStep:
        spec = fleet.engine.model_by_name[plan.model]
        if not server.holds_model(plan.model):
            return PlanVoid("model_gone")
        fits = server.adapter_count() < fleet.engine.adapter_slots and (
            server.used_mb(fleet.engine) + spec.adapter_mb <= fleet.engine.weights_mb
        )
        if fits:
            load = _order(permit, server, OrderKind.LOAD, plan.model, plan.adapter)
            return OrderDue(load)
        candidate = fleet.adapter_eviction_candidate(server, now)
        if candidate is None:
            return PlanVoid("adapters_in_use")
        return OrderDue(_order(permit, server, OrderKind.UNLOAD, *candidate))

    def _load_bucket(self, service: str, engine: EngineSpec, now: float) -> TokenBucket:
        """Return the token bucket of loads from the weight store.

        The bound on a window of w seconds is rate x w x overage + 3. Each of two
        successive leaders may use its whole burst beside the rate, so twice the burst
        must not exceed 3. A later leader starts with an empty bucket, because the last
        one may just have loaded.
        """
        bucket = self._bucket_by_service.get(service)
        if bucket is None:
            create_bucket = (
                TokenBucket.full if self._is_first_start else TokenBucket.empty
            )
            bucket = create_bucket(engine.store_loads_per_s, LOAD_BURST, now)
            self._bucket_by_service[service] = bucket
            self._is_first_start = False
        return bucket


def _order(
    permit: OrderPermit,
    server: ManagedServer,
    kind: OrderKind,
    model: str,
    adapter: str,
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
        epoch=permit.epoch,
        until_s=permit.until_s,
        born_ms=record.holdings.born_ms,
    )
