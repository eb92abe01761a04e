"""Plans that are better carried out by another server than the one they stand on.

A plan is made for a request, and its requesters ask again only now and then. Meanwhile
its server may have become busy, or a server with a copy of the weights may have come
back, as its zone is in use again.
"""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from .fleet_copies import FleetCopies
from .managed_server import ManagedServer
from .placement_choice import ServiceFleet
from .placement_plan import PlacementPlan
from .server_choice import ServerChoice


@attrs.frozen
class PlanMove:
    """A goal of one server with a better choice."""

    server: ManagedServer
    plan: PlacementPlan
    choice: ServerChoice
    # "server_busy" or "copy_there".
    reason: str


def plan_moves(fleet: ServiceFleet, now: float) -> Iterator[PlanMove]:
    """Yield the goals for the weight store that move; each before the next is found."""
    for server, goal in fleet.store_queue.due_plans_on_busy_servers(now):
        if not _is_unstarted(server, goal):
            continue
        choice = fleet.find_idle_choice(goal, now)
        if choice is not None:
            yield PlanMove(server, goal, choice, "server_busy")
    # A copy on a server that is silent for a moment is of no use now.
    copies = FleetCopies(fleet.engine, fleet.servers)
    for server, goal in fleet.store_queue.unstarted_plans():
        if (
            not _is_unstarted(server, goal)
            or goal.is_preload
            or fleet.replicas(goal.model)
            or not copies.count(goal.model)
        ):
            continue
        choice = fleet.find_sooner_choice(server, goal, now)
        if choice is not None and not choice.server.needs_store(goal.model):
            yield PlanMove(server, goal, choice, "copy_there")


def _is_unstarted(server: ManagedServer, goal: PlacementPlan) -> bool:
    """Return whether a goal is still there and not begun after the moves before it.

    A move lets a server take its next step, which may begin, drop or move other goals.
    """
    return not goal.is_started and any(goal is other for other in server.plans)
