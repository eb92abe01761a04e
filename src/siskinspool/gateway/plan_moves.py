"""Plans that should be moved to another server.

A plan is made for a placement request, which gateways repeat only now and then.
Meanwhile its server may have become busy, or a server with a weight copy may have
returned, because its zone is in use again.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from .fleet_copies import FleetCopies
from .managed_server import ManagedServer
from .placement_choice import find_idle_choice, find_sooner_choice
from .placement_plan import PlacementPlan
from .server_choice import ServerChoice
from .service_fleet import ServiceFleet


@attrs.frozen
class PlanMove:
    """A plan of one server with a better choice."""

    server: ManagedServer
    plan: PlacementPlan
    choice: ServerChoice
    # "server_busy" or "copy_there".
    reason: str


def plan_moves(fleet: ServiceFleet, now: float) -> Iterator[PlanMove]:
    """Yield the plans for the weight store to move, each after the last was moved."""
    for server, plan in fleet.store_queue.due_plans_on_busy_servers(now):
        if not _is_unstarted(server, plan):
            continue
        choice = find_idle_choice(fleet, plan, now)
        if choice is not None:
            yield PlanMove(server, plan, choice, "server_busy")
    # A copy on a server that is briefly silent is of no use now.
    copies = FleetCopies(fleet.engine, fleet.servers)
    for server, plan in fleet.store_queue.unstarted_plans():
        if (
            not _is_unstarted(server, plan)
            or plan.is_preload
            or fleet.replicas(plan.model)
            or not copies.count(plan.model)
        ):
            continue
        choice = find_sooner_choice(fleet, server, plan, now)
        if choice is not None and not choice.server.needs_store(plan.model):
            yield PlanMove(server, plan, choice, "copy_there")


def _is_unstarted(server: ManagedServer, plan: PlacementPlan) -> bool:
    """Return whether a plan still exists and has not started.

    Each move lets a server take its next step, which may start, drop or move other
    plans.
    """
    return not plan.is_started and any(plan is other for other in server.plans)
