"""Commands that change one entity of the manifest: a zone or a key."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import click

from ..contracts.api_key import issue_key
from ..manifest.model import Manifest, ZoneState
from .connection import Connection, pass_connection
from .output import ExitStatus, fail, print_table
from .publishing import report_outcome, wait_in_force, wait_options


@attrs.frozen
class Waiting:
    """Whether, and for how long, a command waits for all instances to confirm."""

    wait: bool
    timeout_s: float


def _publish_edit(
    connection: Connection, change: Callable[[Manifest], Manifest], waiting: Waiting
) -> None:
    revision = report_outcome(connection.publisher().edit(change))
    if waiting.wait:
        wait_in_force(connection, revision, waiting.timeout_s)


@click.group(epilog="Example: siskinspool zone out lagos-b")
def zone() -> None:
    """Take availability zones out and bring them back."""


def _set_zone(
    connection: Connection, zone_id: str, state: ZoneState, waiting: Waiting
) -> None:
    zone_ids = {item.id for item in connection.read_configuration().manifest.zones}
    if zone_id not in zone_ids:
        fail(ExitStatus.REFUSED, "unknown_zone", f"no zone is '{zone_id}'")

    def change(manifest: Manifest) -> Manifest:
        zones = tuple(
            attrs.evolve(item, state=state) if item.id == zone_id else item
            for item in manifest.zones
        )
        return attrs.evolve(manifest, zones=zones)

    _publish_edit(connection, change, waiting)


@zone.command("out", epilog="Example: siskinspool zone out lagos-b")
@click.argument("zone_id")
@wait_options
@pass_connection
def zone_out(connection: Connection, zone_id: str, wait: bool, timeout: float) -> None:
    """Give zone ZONE_ID no new work; what runs there finishes."""
    _set_zone(connection, zone_id, ZoneState.CLOSED, Waiting(wait, timeout))


@zone.command("in", epilog="Example: siskinspool zone in lagos-b")
@click.argument("zone_id")
@wait_options
@pass_connection
def zone_in(connection: Connection, zone_id: str, wait: bool, timeout: float) -> None:
    """Bring zone ZONE_ID back; its servers ramp up."""
    _set_zone(connection, zone_id, ZoneState.OPEN, Waiting(wait, timeout))


@click.group(epilog="Example: siskinspool key list")
def key() -> None:
    """Issue, list and revoke API keys."""


@key.command("issue", epilog="Example: siskinspool key issue web-2 --team tinhub-web")
@click.argument("key_id")
@click.option("--team", required=True, help="Id of the team.")
@wait_options
@pass_connection
def key_issue(
    connection: Connection, key_id: str, team: str, wait: bool, timeout: float
) -> None:
    """Issue a key named KEY_ID; its text is shown once and kept nowhere.

    Only the key goes to standard output.
    """
    manifest = connection.read_configuration().manifest
    if team not in {item.id for item in manifest.teams}:
        fail(ExitStatus.REFUSED, "unknown_team", f"no team is '{team}'")
    if key_id in {item.id for item in manifest.keys} or not key_id or "." in key_id:
        fail(ExitStatus.REFUSED, "key_id_not_free", f"'{key_id}' cannot be used")
    issued = issue_key(key_id, team)

    def change(base: Manifest) -> Manifest:
        return attrs.evolve(base, keys=(*base.keys, issued.entry))

    revision = report_outcome(connection.publisher().edit(change), err=True)
    # Printed before the wait, which may exit: the key is already valid.
    click.echo(issued.text)
    if wait:
        wait_in_force(connection, revision, timeout, err=True)


@key.command("list", epilog="Example: siskinspool key list")
@pass_connection
def key_list(connection: Connection) -> None:
    """List the keys; only their ids and teams are known."""
    keys = connection.read_configuration().manifest.keys
    print_table(("KEY", "TEAM"), [(item.id, item.team) for item in keys])


@key.command("revoke", epilog="Example: siskinspool key revoke web-1")
@click.argument("key_id")
@wait_options
@pass_connection
def key_revoke(connection: Connection, key_id: str, wait: bool, timeout: float) -> None:
    """Revoke the key KEY_ID; calls that came with it end within seconds."""
    if key_id not in {
        item.id for item in connection.read_configuration().manifest.keys
    }:
        fail(ExitStatus.REFUSED, "unknown_key", f"no key is '{key_id}'")

    def change(manifest: Manifest) -> Manifest:
        remaining_keys = tuple(item for item in manifest.keys if item.id != key_id)
        return attrs.evolve(manifest, keys=remaining_keys)

    _publish_edit(connection, change, Waiting(wait, timeout))
