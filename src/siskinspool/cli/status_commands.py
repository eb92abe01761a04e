"""Commands that show state: status, patient requests, histograms, explain."""

from __future__ import annotations

from typing import Any

import click

from ..contracts.call import is_allowed
from ..manifest.model import Catalog, Server, ZoneState
from ..telemetry.histograms import merge
from .connection import Connection, NoAnswer, pass_connection
from .output import ExitStatus, fail, print_json, print_table

Json = dict[str, Any]
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def _answers(connection: Connection, path: str) -> dict[str, Json]:
    """Return the answers of all instances; warn of those that do not answer."""
    answers: dict[str, Json] = {}
    for instance_id, answer in connection.ask_all(path).items():
        if isinstance(answer, NoAnswer):
            click.echo(f"{instance_id}: no answer: {answer.reason}", err=True)
        else:
            answers[instance_id] = answer
    if not answers:
        fail(ExitStatus.UNREACHABLE, "no_instance", "no instance answers")
    return answers


@click.command()
@JSON_OPTION
@pass_connection
def status(connection: Connection, as_json: bool) -> None:
    """Show instances, servers, replicas, teams and zones."""
    answers = _answers(connection, "/v1/status")
    if as_json:
        print_json(answers)
        return
    print_table(
        ("INSTANCE", "REVISION", "STATE", "CALLS"),
        [
            (
                name,
                page["revision"],
                page["not_ready"] or "ready",
                page["running_calls"],
            )
            for name, page in answers.items()
        ],
    )
    tasks = next(iter(answers.values())).get("tasks")
    if tasks is None:
        click.echo("set SISKINSPOOL_OPERATOR_TOKEN to see servers, teams and zones")
        return
    _print_site(connection, answers, tasks)


def _print_site(connection: Connection, answers: dict[str, Json], tasks: Json) -> None:
    click.echo()
    print_table(
        ("SERVER", "ZONE", "STATE", "RUNNING", "CAPACITY", "REPLICAS"),
        [
            (
                server["id"],
                server["zone"],
                server["state"],
                server["running"],
                server["capacity"],
                ",".join(server["replicas"]) or "-",
            )
            for server in tasks.get("routing", {}).get("servers", [])
        ],
    )
    click.echo()
    zones = connection.in_force().manifest.zones
    print_table(("ZONE", "STATE"), [(zone.id, zone.state) for zone in zones])
    click.echo()
    print_table(("TEAM", "RATE SHARE", "LEVEL"), _team_rows(answers))


def _team_rows(answers: dict[str, Json]) -> list[tuple[Any, ...]]:
    """Return the sum of the shares that the instances hold, by team."""
    sums: dict[str, list[float]] = {}
    for page in answers.values():
        for team in page.get("tasks", {}).get("limits", {}).get("teams", []):
            total = sums.setdefault(team["id"], [0.0, 0.0])
            total[0] += team["rate"]
            total[1] += team["level"]
    return [
        (name, f"{rate:.0f}", f"{level:.0f}") for name, (rate, level) in sums.items()
    ]


@click.group()
def patient() -> None:
    """Show patient requests."""


@patient.command("list")
@JSON_OPTION
@pass_connection
def patient_list(connection: Connection, as_json: bool) -> None:
    """Show the patient requests that wait or run."""
    rows = [
        request
        for page in _answers(connection, "/v1/status").values()
        for request in page.get("tasks", {}).get("patient", {}).get("requests", [])
    ]
    if as_json:
        print_json(rows)
        return
    print_table(
        ("REQUEST", "TEAM", "STATE"),
        [(row["id"], row["team"], row["state"]) for row in rows],
    )


@click.command()
@JSON_OPTION
@pass_connection
def histograms(connection: Connection, as_json: bool) -> None:
    """Show percentiles per team and class over all instances, in milliseconds."""
    merged = merge(list(_answers(connection, "/v1/histograms").values()))
    rows = [
        (
            name,
            histogram.get_total_count(),
            *(histogram.get_value_at_percentile(share) for share in (50, 95, 99)),
            histogram.get_max_value(),
        )
        for name, histogram in sorted(merged.items())
    ]
    header = ("HISTOGRAM", "COUNT", "P50", "P95", "P99", "MAX")
    if as_json:
        print_json([dict(zip(header, row, strict=True)) for row in rows])
        return
    print_table(header, rows)


@click.command()
@click.argument("team_id")
@click.argument("target")
@pass_connection
def explain(connection: Connection, team_id: str, target: str) -> None:
    """Explain how a request of TEAM_ID for the model or route TARGET fares now.

    Example: siskinspool explain tinhub-web quote-07
    """
    current = connection.in_force()
    catalog = Catalog.from_manifest(current.head.revision, current.manifest)
    team = catalog.team_by_id.get(team_id)
    if team is None:
        fail(ExitStatus.REFUSED, "unknown_team", f"no team is '{team_id}'")
    route = catalog.route_by_id.get(target)
    model = catalog.base_model(target)
    if route is None and model is None:
        fail(ExitStatus.REFUSED, "unknown_target", f"no model or route is '{target}'")
    allowed = is_allowed(team, target) or (route is not None and route.open)
    click.echo(f"team {team_id} may use {target}: {'yes' if allowed else 'no'}")
    if model is None:
        return
    for server in current.manifest.servers:
        if server.pool == model.pool:
            _explain_server(connection, catalog, server, target)


def _explain_server(
    connection: Connection, catalog: Catalog, server: Server, target: str
) -> None:
    zone = catalog.zone_by_id[server.zone]
    if zone.state is ZoneState.CLOSED:
        click.echo(f"  {server.id}: no, zone {zone.id} is closed")
        return
    for instance_id, page in _answers(connection, "/v1/status").items():
        servers = page.get("tasks", {}).get("routing", {}).get("servers", [])
        for shown in servers:
            if shown["id"] == server.id:
                holds = target in shown["replicas"]
                held = "holds it" if holds else "would have to load it"
                click.echo(
                    f"  {server.id} as {instance_id} sees it: {shown['state']}, {held}"
                )
