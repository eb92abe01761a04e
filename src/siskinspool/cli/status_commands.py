"""Commands that show state: status, patient requests, histograms, explain."""

from __future__ import annotations

from typing import Any

import click

from ..manifest.model import Catalog
from ..telemetry.histograms import merge_histograms
from .connection import Connection, NoAnswer, pass_connection
from .explanation import explain_request, outcome_text
from .output import ExitStatus, fail, print_json, print_table
from .site_view import SiteView

Json = dict[str, Any]
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
TOKEN_HINT = "set SISKINSPOOL_OPERATOR_TOKEN to the token of the instances' settings"


def _collect_answers(connection: Connection, path: str) -> dict[str, Json]:
    """Return the answers of all instances; warn about those that do not answer."""
    answers: dict[str, Json] = {}
    refused = False
    for instance_id, answer in connection.fetch_all(path).items():
        if isinstance(answer, NoAnswer):
            refused = refused or answer.status == 401
            text = f"siskinspool: no_answer: {instance_id}: {answer.reason}"
            click.echo(text, err=True)
        else:
            answers[instance_id] = answer
    if refused and not answers:
        fail(ExitStatus.REFUSED, "token_rejected", TOKEN_HINT)
    if not answers:
        fail(ExitStatus.UNREACHABLE, "no_instance", "no instance answers")
    return answers


def _fetch_site_view(connection: Connection) -> SiteView:
    """Return the merged state of the site; exit if the token was not accepted."""
    view = SiteView(_collect_answers(connection, "/v1/status"))
    if not view.has_tasks:
        fail(ExitStatus.REFUSED, "token_rejected", TOKEN_HINT)
    return view


@click.command(epilog="Example: siskinspool status")
@JSON_OPTION
@pass_connection
def status(connection: Connection, as_json: bool) -> None:
    """Show instances, servers, replicas, teams, zones and owners."""
    view = SiteView(_collect_answers(connection, "/v1/status"))
    if as_json:
        print_json(view.page_by_instance)
        return
    print_table(
        ("INSTANCE", "REVISION", "STATE", "CALLS", "OWNS"),
        [
            (
                name,
                page["revision"],
                page["not_ready"] or "ready",
                page["running_calls"],
                view.owned_partitions_text(name),
            )
            for name, page in view.page_by_instance.items()
        ],
    )
    if not view.has_tasks:
        click.echo(f"{TOKEN_HINT} to see servers, teams and zones")
        return
    _print_site(connection, view)


def _print_site(connection: Connection, view: SiteView) -> None:
    click.echo()
    print_table(
        ("SERVER", "ZONE", "STATE", "RUNNING", "CAPACITY", "REPLICAS"),
        [
            (
                server.id,
                server.zone,
                server.state,
                server.running,
                server.capacity,
                ",".join(server.replicas) or "-",
            )
            for server in [*view.servers(), *view.services()]
        ],
    )
    if view.loads():
        click.echo()
        print_table(
            ("LOAD", "STATE", "SERVER", "AGE S"),
            [
                (
                    row["target"],
                    row["state"],
                    row.get("server", "-"),
                    row.get("age_s", "-"),
                )
                for row in view.loads()
            ],
        )
    click.echo()
    zones = connection.read_configuration().manifest.zones
    print_table(("ZONE", "STATE"), [(zone.id, zone.state) for zone in zones])
    click.echo()
    print_table(
        ("TEAM", "RATE SHARE", "LEVEL", "RESERVE", "WAITING"),
        [
            (
                team.id,
                f"{team.rate:.0f}",
                f"{team.level:.0f}",
                "?" if team.reserve_level is None else f"{team.reserve_level:.0f}",
                team.waiting,
            )
            for team in view.teams()
        ],
    )


@click.group(epilog="Example: siskinspool patient list")
def patient() -> None:
    """Show patient requests."""


@patient.command("list", epilog="Example: siskinspool patient list --json")
@JSON_OPTION
@pass_connection
def patient_list(connection: Connection, as_json: bool) -> None:
    """Show the patient requests that wait or run."""
    rows = _fetch_site_view(connection).patient_requests()
    if as_json:
        print_json(rows)
        return
    print_table(
        ("REQUEST", "TEAM", "TARGET", "STATE", "INSTANCE"),
        [
            (
                row["id"],
                row["team"],
                row["target"],
                row["state"],
                row["instance"] or "-",
            )
            for row in rows
        ],
    )


@click.command(epilog="Example: siskinspool histograms")
@JSON_OPTION
@pass_connection
def histograms(connection: Connection, as_json: bool) -> None:
    """Show percentiles per team and class over all instances, in milliseconds."""
    merged = merge_histograms(
        list(_collect_answers(connection, "/v1/histograms").values())
    )
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


@click.command(epilog="Example: siskinspool explain tinhub-web quote-07")
@click.argument("team_id", metavar="TEAM")
@click.argument("target")
@pass_connection
def explain(connection: Connection, team_id: str, target: str) -> None:
    """Explain why a request of TEAM for TARGET would be routed or refused now.

    TARGET is a model, an adapter or a route.
    """
    current = connection.read_configuration()
    catalog = Catalog.from_manifest(current.head.revision, current.manifest)
    team = catalog.team_by_id.get(team_id)
    if team is None:
        fail(ExitStatus.REFUSED, "unknown_team", f"no team is '{team_id}'")
    if target not in catalog.route_by_id and catalog.base_model(target) is None:
        text = f"no model, adapter or route is '{target}'"
        fail(ExitStatus.REFUSED, "unknown_target", text)
    findings = explain_request(catalog, _fetch_site_view(connection), team, target)
    rows = [(finding.subject, finding.text) for finding in findings]
    print_table(("CHECK", "FINDING"), rows)
    click.echo(outcome_text(findings))
