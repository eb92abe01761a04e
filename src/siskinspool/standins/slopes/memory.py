"""Memory of the state of each decision, by the size that it depends on."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial
from typing import Any, Final

import attrs

from ...contracts.quota_allocator import QuotaAllocator
from ...contracts.share_messages import SpendTokens
from ...manifest.model import Catalog
from . import decisions, samples
from .decisions import START_S
from .gauge import retained_bytes
from .slope import Point, Slope
from .wire_bytes import heartbeat, share_report

FLEETS: Final = (9, 59, 205, 410)
SERVERS: Final = (100, 400, 914)


def _catalog(entities: int) -> Catalog:
    """Return a catalog that consists mostly of keys and adapters."""
    half = entities // 2
    return samples.catalog(servers=3, models=8, teams=50, adapters=half, keys=half)


def _outage(statements: int) -> object:
    decision = decisions.membership(410)
    sender = samples.instance_name(1)
    decision.handle(samples.incoming(heartbeat(statements), sender), START_S)
    return decision


def _allocator_with_shares(holders: int) -> QuotaAllocator:
    """Return an allocator in which each of 10 teams has a share at each instance."""
    decision = decisions.quota_allocator(10, holders)
    for number in range(10 * holders):
        report = attrs.evolve(
            share_report(),
            team=f"team-{number % 10:04d}",
            epoch=0,
            lease_no=0,
            closed_epoch=0,
            closed_lease_no=0,
        )
        sender = samples.instance_name(number // 10)
        decision.handle(samples.incoming(report, sender, "limits"), START_S)
    return decision


def _limits_in_use(teams: int) -> object:
    decision = decisions.team_limits(teams)
    for number in range(teams):
        spend = SpendTokens(f"team-{number:04d}", 10.0)
        decision.handle(samples.incoming(spend), START_S)
    return decision


MEASURES: dict[str, tuple[str, tuple[int, ...], Callable[[int], Any]]] = {
    "manifest": ("entities", (1_000, 4_000, 16_000), _catalog),
    "Membership": ("members", FLEETS, decisions.membership),
    "Membership.outage": ("statements", FLEETS, _outage),
    "Ownership": ("members", FLEETS, decisions.ownership),
    "Reporting": ("servers", SERVERS, lambda n: decisions.reporting(59, n)),
    "Routing": ("servers", SERVERS, decisions.routing),
    "Placement": ("servers", SERVERS, decisions.placement),
    "TeamLimits": ("teams in use", (5, 20, 80), _limits_in_use),
    "Mint": ("instances with 10 teams each", FLEETS, _allocator_with_shares),
    "Claims": ("kept claims", (100, 1_000, 4_000), decisions.claims),
    "PatientQueue": ("waiting requests", (0, 100, 400), decisions.patient_queue),
}


def measure() -> Iterator[Slope]:
    """Yield the memory of each state; most states include members or a catalog."""
    for name, (unit, sizes, build) in MEASURES.items():
        # The first build also fills the caches of libraries, so it is not measured.
        build(sizes[0])
        points = [Point(size, retained_bytes(partial(build, size))) for size in sizes]
        yield Slope.fit(f"memory.{name}", "bytes", unit, points)
