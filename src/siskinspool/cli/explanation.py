"""Explains why a request would be routed or refused now.

The checks run in the same order as in an instance: readiness, rights, tokens, then a
server. Nothing is sent to a server.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from ..contracts.call import is_allowed
from ..core.errors import ErrorCode
from ..manifest.model import Catalog, Model, Route, Team, Zone, ZoneState
from .site_view import ServerView, SiteView


@dataclass(frozen=True)
class Finding:
    """One line of an explanation; ``refusal`` is set if it refuses the request."""

    subject: str
    text: str
    refusal: ErrorCode | None = None


def explain_request(
    catalog: Catalog, view: SiteView, team: Team, target: str
) -> list[Finding]:
    """Return the findings for a team's request for a model, adapter or route."""
    route = catalog.route_by_id.get(target)
    model = catalog.base_model(target)
    findings = [_check_readiness(view), _check_rights(team, target, route)]
    if route is None or not route.open:
        findings.append(_check_tokens(view, team))
    findings += _check_zones(catalog)
    if route is not None:
        findings += _check_services(view, route)
    elif model is not None:
        findings += _check_servers(catalog, view, model, target)
    return findings


def outcome_text(findings: list[Finding]) -> str:
    """Return the outcome that follows from the findings."""
    for finding in findings:
        if finding.refusal is not None:
            return f"would be refused: {finding.refusal} ({finding.subject})"
    return "would be routed"


def _check_readiness(view: SiteView) -> Finding:
    ready = view.ready_instances
    if not ready:
        text = "no instance takes calls"
        return Finding("instances", text, ErrorCode.NOT_CURRENT)
    count = len(view.page_by_instance)
    return Finding("instances", f"{len(ready)} of {count} ready")


def _check_rights(team: Team, target: str, route: Route | None) -> Finding:
    if route is not None and route.open:
        return Finding("rights", f"{target} is open to all")
    if is_allowed(team, target):
        return Finding("rights", f"{team.id} may use {target}")
    code = ErrorCode.UNKNOWN_MODEL if route is None else ErrorCode.ROUTE_FORBIDDEN
    return Finding("rights", f"{team.id} may not use {target}", code)


def _check_tokens(view: SiteView, team: Team) -> Finding:
    contract = f"contract {team.rate:g}/s, burst {team.burst:g}"
    row = next((row for row in view.teams() if row.id == team.id), None)
    if row is None or row.reserve_level is None:
        return Finding("tokens", f"reserve not known ({contract})")
    level = row.level + row.reserve_level
    text = (
        f"{level:.0f} at hand, of which {row.reserve_level:.0f} in reserve; "
        f"{row.waiting} request(s) wait ({contract})"
    )
    return Finding("tokens", text, None if level >= 1 else ErrorCode.RATE_EXCEEDED)


def _check_zones(catalog: Catalog) -> Iterator[Finding]:
    closed_zones: list[Zone] = [
        zone for zone in catalog.manifest.zones if zone.state is ZoneState.CLOSED
    ]
    for zone in closed_zones:
        yield Finding(f"zone {zone.id}", "closed: no new work")


def _check_services(view: SiteView, route: Route) -> Iterator[Finding]:
    rows = [row for row in view.services() if row.id in route.services]
    for row in rows:
        yield Finding(row.id, f"zone {row.zone}, {_format_states(row)}")
    if not any(row.accepts_work for row in rows):
        yield Finding("services", "none takes work", ErrorCode.DEADLINE_PASSED)


def _check_servers(
    catalog: Catalog, view: SiteView, model: Model, target: str
) -> Iterator[Finding]:
    pool_server_ids = {
        server.id for server in catalog.manifest.servers if server.pool == model.pool
    }
    rows = [row for row in view.servers() if row.id in pool_server_ids]
    for row in rows:
        replica_text = (
            f"holds {target}" if target in row.replicas else f"{target} not loaded"
        )
        text = f"zone {row.zone}, {_format_states(row)}, {replica_text}"
        yield Finding(row.id, f"{text}, {row.running} of {row.capacity} running")
    usable = [row for row in rows if row.accepts_work]
    if not usable:
        yield Finding("servers", "none takes work", ErrorCode.DEADLINE_PASSED)
    elif not any(target in row.replicas for row in usable):
        yield _check_load(view, target)


def _check_load(view: SiteView, target: str) -> Finding:
    owner = view.placement_owner()
    if owner is None:
        text = f"{target} must be loaded, but no instance owns placement"
        return Finding("replica", text, ErrorCode.DEADLINE_PASSED)
    in_flight_loads = [row for row in view.loads() if row["target"] == target]
    state = (
        f"load {in_flight_loads[0]['state']}"
        if in_flight_loads
        else "would be loaded first"
    )
    return Finding("replica", f"{state}, decided by {owner}")


def _format_states(row: ServerView) -> str:
    states = row.instances_by_state
    if len(states) == 1:
        return next(iter(states))
    parts = (f"{state} at {', '.join(names)}" for state, names in states.items())
    return "; ".join(parts)
