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
from .leadership_term import LeadershipTerm
from .load_ledger import LoadLedger, LoadsHandedOver
from .managed_site import ManagedSite
from .messages import (
    PLACEMENT_TASK,
    HoldingsRead,
    LeadershipExtended,
    LeadershipHeld,
    LeadershipLost,
    OrderEnded,
    PlacementRequest,
    ServerBlocked,
)
from .order_planner import OrderPlanner
from .placement_log import PlacementLog
from .planning_budget import PlanningBudget
from .preload import PreloadPlanner
from .replica_candidates import AllBusyModels, BusiestModel
from .requested_plans import RequestedPlans
from .scheduling_settings import SchedulingSettings
from .server_orders import ServerOrders
from .servers import RegistryListed
from .unrequested_plans import UnrequestedPlans

logger = logging.getLogger(__name__)

TICK_S: Final = 0.25
# Between ticks, a store slot that is about to be free is looked for at most this often.
SLOT_CHECK_INTERVAL_S: Final = 0.05


class Placement(Decision):
    """Gives orders to servers while this instance leads."""

    def __init__(
        self, instance_id: str, first_start: bool, scheduling: SchedulingSettings
    ) -> None:
        """Create the decision; ``first_start`` is true on the system's first start."""
        self._id = instance_id
        self._planner = OrderPlanner(first_start)
        self._budget = PlanningBudget()
        self._site = ManagedSite(self._budget)
        self._term = LeadershipTerm()
        self._next_tick_at = 0.0
        self._next_slot_check_at = 0.0
        # No order may be given before the next message or tick.
        self._is_suspended = False
        # When a server is due next; None if that has to be found out.
        self._attention_at: float | None = None
        self._log = PlacementLog()
        self._ledger = LoadLedger()
        self._orders = ServerOrders(
            instance_id, self._site, self._term, self._planner, self._log
        )
        candidates = AllBusyModels() if scheduling.replica_scaling else BusiestModel()
        self._unrequested = UnrequestedPlans(
            PreloadPlanner(instance_id, candidates), self._term, self._orders
        )
        self._requested = RequestedPlans(
            self._site,
            self._term,
            self._orders,
            self._unrequested,
            self._log,
            self._budget,
        )

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a placement request, the end of an order or a change."""
        self._attention_at = None
        self._is_suspended = False
        sender = incoming.sender.instance_id
        match incoming.message:
            case PlacementRequest() as request:
                self._site.update_requesters(request, sender, now)
                return self._requested.handle(request, sender, now)
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
        """Give the orders that are due, then make plans.

        All servers are advanced at each tick, between ticks only those that are due.
        """
        self._attention_at = None
        is_tick = now >= self._next_tick_at
        if is_tick:
            self._next_tick_at = now + TICK_S
        self._site.update_store_loads(now)
        self._is_suspended = not self._term.allows_orders(now)
        if self._is_suspended:
            return []
        batch = self._advance_servers(now, is_tick)
        batch += self._requested.handle_waiting(now)
        if is_tick or now >= self._next_slot_check_at:
            self._next_slot_check_at = now + SLOT_CHECK_INTERVAL_S
            batch += self._plan_unrequested(now, is_tick)
        loads = self._site.in_flight_loads(now)
        if due := self._ledger.write(loads, now, partial(self._site.record, now=now)):
            batch.append(Outgoing(Address(self._id, KV_TASK), due))
        return batch

    def _advance_servers(self, now: float, is_tick: bool) -> list[Outgoing]:
        """Give the orders that are due."""
        batch: list[Outgoing] = []
        for server in list(self._site.server_by_id.values()):
            if server.record.service not in self._site.engine_by_service:
                continue
            if is_tick:
                self._orders.drop_stale(server, now)
            if is_tick or server.attention_at() <= now:
                batch += self._orders.advance(server, now)
        return batch

    def _plan_unrequested(self, now: float, is_tick: bool) -> list[Outgoing]:
        """Move plans and plan preloads, after the requests and as the budget goes."""
        batch: list[Outgoing] = []
        for fleet in self._site.fleets(now):
            if not self._budget.is_available(now):
                break
            self._budget.spend_for_look(len(fleet.servers))
            if is_tick or fleet.store_queue.has_slot_soon(now):
                batch += self._unrequested.move_plans(fleet, now)
                batch += self._unrequested.plan_preloads(fleet, now)
        return batch

    def wake_at(self) -> float | None:
        """Return when a server needs attention."""
        if self._term.epoch is None:
            return None
        if self._is_suspended:
            return self._next_tick_at
        if self._attention_at is None:
            self._attention_at = self._site.attention_at()
        return min(self._next_tick_at, self._attention_at, self._requested.due_at)

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
            "placement.models_short": float(self._site.count_shortages()),
            "placement.work": self._budget.work_done,
        }

    # Reports

    def _handle_report(self, read: HoldingsRead, now: float) -> list[Outgoing]:
        server = self._site.server_by_id.get(read.server_id)
        if server is None:
            return []
        batch = self._orders.handle_report(server, read, now)
        if read.holdings is None:
            # A silent server's report unblocks no request.
            return batch
        return batch + self._requested.resume(server.record.service, now)

    # Leadership

    def _handle_leadership(self, message: object, now: float) -> list[Outgoing]:
        match message:
            case LeadershipHeld(epoch, from_s):
                self._term.begin(epoch, from_s)
                self._planner.begin_term()
                self._site.reset_plans(now)
                self._requested.clear()
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
