"""The operators' client ``siskinspool``.

Commands that change the configuration use the key-value service. Commands that show
state query the instances that have a session there.
"""

from __future__ import annotations

import os

import click

from .client import ErrorReportingGroup
from .connection import Connection, HostPort
from .entity_commands import key, zone
from .manifest_commands import apply, check, schema, show, show_diff
from .status_commands import explain, histograms, patient, status

# Read here instead of by click, so that --help never shows the token.
TOKEN_VARIABLE = "SISKINSPOOL_OPERATOR_TOKEN"


@click.group(
    cls=ErrorReportingGroup,
    context_settings={"help_option_names": ["-h", "--help"]},
    epilog="Example: siskinspool --kv 10.0.1.5:2379 status",
)
@click.version_option(package_name="siskinspool")
@click.option(
    "--kv",
    type=HostPort(),
    default="127.0.0.1:2379",
    envvar="SISKINSPOOL_KV",
    show_default=True,
    show_envvar=True,
    help="JSON gateway of the key-value service.",
)
@click.pass_context
def main(context: click.Context, kv: tuple[str, int]) -> None:
    """Operate a siskinspool site.

    Exit statuses: 0 done, 1 refused, 2 wrong usage or a manifest with faults,
    3 service unreachable and nothing changed, 4 outcome unknown,
    5 accepted but not in force everywhere in time.

    The operators' token is read from SISKINSPOOL_OPERATOR_TOKEN. Shell completion:
    eval "$(_SISKINSPOOL_COMPLETE=bash_source siskinspool)"
    """
    context.obj = Connection(kv, os.environ.get(TOKEN_VARIABLE, ""))


for command in (
    apply,
    check,
    explain,
    histograms,
    key,
    patient,
    schema,
    show,
    show_diff,
    status,
    zone,
):
    main.add_command(command)
