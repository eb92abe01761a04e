"""Commands for the manifest: check, diff, apply, show, schema."""

from __future__ import annotations

from pathlib import Path

import click

from ..manifest.changes import describe_change, diff
from ..manifest.document import Faults, read_manifest, write_manifest
from ..manifest.model import Manifest
from ..manifest.schema import schema_text
from ..settings_schema import settings_schema_text
from .connection import Connection, pass_connection
from .output import ExitStatus, fail
from .publishing import report_outcome, wait_in_force, wait_options

MANIFEST_FILE = click.Path(exists=True, dir_okay=False, path_type=Path)


def load_manifest(path: Path) -> Manifest:
    """Return the manifest in a file; print all faults and exit if it has any."""
    manifest = read_manifest(path.read_bytes())
    if isinstance(manifest, Faults):
        for line in manifest.lines:
            click.echo(f"{path}: {line}", err=True)
        count = len(manifest.lines)
        fail(ExitStatus.USAGE, "manifest_faults", f"{count} fault(s) in {path}")
    return manifest


@click.command(epilog="Example: siskinspool check examples/tinware-lagos.json")
@click.argument("manifest", type=MANIFEST_FILE)
def check(manifest: Path) -> None:
    """Check the file MANIFEST without reaching any service."""
    checked = load_manifest(manifest)
    click.echo(
        f"no faults: {len(checked.servers)} servers, {len(checked.models)} models, "
        f"{len(checked.adapters)} adapters, {len(checked.teams)} teams"
    )


@click.command("diff", epilog="Example: siskinspool diff examples/tinware-lagos.json")
@click.argument("manifest", type=MANIFEST_FILE)
@pass_connection
def show_diff(connection: Connection, manifest: Path) -> None:
    """Show what applying the file MANIFEST would change."""
    new = load_manifest(manifest)
    current = connection.read_configuration()
    changes = diff(current.manifest, new)
    for change in changes:
        click.echo(describe_change(change))
    click.echo(f"{len(changes)} change(s) to revision {current.head.revision}")


@click.command(epilog="Example: siskinspool apply manifest.json --expect 41")
@click.argument("manifest", type=MANIFEST_FILE)
@click.option("--expect", type=int, help="Refuse if another revision is in force.")
@wait_options
@pass_connection
def apply(
    connection: Connection,
    manifest: Path,
    expect: int | None,
    wait: bool,
    timeout: float,
) -> None:
    """Bring the file MANIFEST into force.

    With --wait the instances that have not confirmed it in time are named.
    """
    outcome = connection.publisher().publish(load_manifest(manifest), expect)
    revision = report_outcome(outcome)
    if wait:
        wait_in_force(connection, revision, timeout)


@click.command(epilog="Example: siskinspool show > manifest.json")
@pass_connection
def show(connection: Connection) -> None:
    """Print the manifest in force."""
    click.echo(write_manifest(connection.read_configuration().manifest))


@click.command(epilog="Example: siskinspool schema > manifest.schema.json")
@click.option(
    "--settings", "of_settings", is_flag=True, help="That of an instance's settings."
)
def schema(of_settings: bool) -> None:
    """Print the JSON Schema of the manifest or of the settings."""
    click.echo(settings_schema_text() if of_settings else schema_text(), nl=False)
