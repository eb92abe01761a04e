"""Log lines and counters of the placement decision."""

from __future__ import annotations

import logging
from typing import Any

import attrs

from ..telemetry.logs import log_event
from .managed_server import ManagedServer
from .messages import OrderEnded, OrderKind, ServerOrder
from .placement_plan import PlacementPlan
from .server_choice import ServerChoice
from .service_fleet import ServiceFleet
from .shortage import Shortages

logger = logging.getLogger(__name__)


@attrs.define
class PlacementLog:
    """Logs plans and orders, and counts them since the start of the process."""

    plans: int = 0
    # Plans that ended without a load.
    plans_dropped: int = 0
    # Unloads of models that were not eviction candidates of the plan.
    unloads_unplanned: int = 0
    # Actual and expected time that servers spent on unloads, in seconds.
    unload_s: float = 0.0
    unload_expected_s: float = 0.0

    def log_plan(self, model: str, choice: ServerChoice, reason: str) -> None:
        """Log a new plan with its estimates."""
        self.plans += 1
        server = choice.server
        log_event(
            logger,
            logging.INFO,
            "load_planned",
            model=model,
            server=server.record.server_id,
            victims=",".join(choice.eviction_candidates),
            why=reason,
            source=server.weight_source(model),
            ready_in_s=choice.ready_in_s,
            cost_s=choice.cost_s,
            goals_before=len(server.plans),
        )

    def log_dropped_plan(
        self, server: ManagedServer, plan: PlacementPlan, reason: str, now: float
    ) -> None:
        """Log that a plan ends without a load."""
        self.plans_dropped += 1
        last_request_s = None if plan.is_preload else now - plan.requested_at
        log_event(
            logger,
            logging.INFO,
            "plan_dropped",
            model=plan.model,
            adapter=plan.adapter,
            server=server.record.server_id,
            why=reason,
            last_asked_s=last_request_s,
            waiting=plan.waiting_requests,
        )

    def log_order(
        self,
        order: ServerOrder,
        server: ManagedServer,
        plan: PlacementPlan,
        fleet: ServiceFleet,
        now: float,
    ) -> None:
        """Log an order that is given, and count an unload that no plan named.

        For a load from the weight store the line has the value of its slot, and the
        number of parallel loads as the leader counts them, with their limit.
        """
        planned = order.model in plan.eviction_candidates
        if order.kind is OrderKind.UNLOAD and not order.adapter and not planned:
            self.unloads_unplanned += 1
        shortages = fleet.shortages
        shortage = shortages.get(plan.model)
        slot_use = source = parallel_loads = store_limit = None
        if server.ordered_store_load:
            slot_use = fleet.store_queue.slot_use(plan, now)
            parallel_loads = fleet.store_queue.started_loads(now)
            store_limit = fleet.store.limit
        if order.kind is OrderKind.LOAD and not order.adapter:
            source = server.weight_source(order.model)
        log_event(
            logger,
            logging.INFO,
            "order_given",
            **_order_fields(order),
            source=source,
            goal=plan.model,
            asked=shortages.requester_count(plan.model),
            reachable=shortages.reachable_requesters(plan.model, now),
            short_s=None if shortage is None else now - shortage.since,
            turn_requesters=None if slot_use is None else slot_use.requesters,
            next_model=None if slot_use is None else slot_use.next_model,
            next_requesters=None if slot_use is None else slot_use.next_requesters,
            parallel_loads=parallel_loads,
            store_limit=store_limit,
        )

    def log_shortage_end(
        self, server: ManagedServer, model: str, shortages: Shortages, now: float
    ) -> None:
        """Log that a model with a shortage is ready."""
        shortage = shortages.end(model)
        if shortage is None or not shortage.requester_count:
            return
        log_event(
            logger,
            logging.INFO,
            "shortage_ended",
            model=model,
            server=server.record.server_id,
            short_s=now - shortage.since,
            asked=shortage.requester_count,
            reachable=shortage.reachable_requesters(now),
        )

    def log_done_order(self, server: ManagedServer, now: float) -> None:
        """Log how long the last order took, once it is known to be done."""
        order = server.pop_done_order()
        if order is None:
            return
        took_s = now - order.since
        if order.kind is OrderKind.UNLOAD:
            self.unload_s += took_s
            self.unload_expected_s += order.expected_s
        log_event(
            logger,
            logging.INFO,
            "order_done",
            server=server.record.server_id,
            kind=order.kind,
            model=order.model,
            took_s=took_s,
            expected_s=order.expected_s,
        )

    def gauges(self) -> dict[str, float]:
        """Return the counters for the metrics."""
        return {
            "placement.plans": float(self.plans),
            "placement.plans_dropped": float(self.plans_dropped),
            "placement.unloads_unplanned": float(self.unloads_unplanned),
            "placement.unload_seconds": self.unload_s,
            "placement.unload_expected_seconds": self.unload_expected_s,
        }


def log_order_result(ended: OrderEnded) -> None:
    """Log the result of an order."""
    log_event(
        logger,
        logging.INFO,
        "order_ended",
        **_order_fields(ended.order),
        result=ended.result,
    )


def _order_fields(order: ServerOrder) -> dict[str, Any]:
    return {
        "server": order.server_id,
        "kind": order.kind,
        "model": order.model,
        "adapter": order.adapter,
        "expected": order.expected_count,
        "epoch": order.epoch,
    }
