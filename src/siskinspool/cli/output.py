"""Output and exit statuses of the client.

An error is one line ``siskinspool: <code>: <text>`` on standard error. Colour is used
only on a terminal; click strips it elsewhere.
"""

from __future__ import annotations

import json
import sys
from enum import IntEnum
from typing import Any, NoReturn

import click


class ExitStatus(IntEnum):
    """Exit statuses of the client."""

    OK = 0
    # The change was refused: a conflict, or an id that does not exist.
    REFUSED = 1
    # Wrong options, or a manifest with faults.
    USAGE = 2
    # The key-value service or an instance could not be reached; nothing was changed.
    UNREACHABLE = 3
    # The change may or may not have been accepted.
    UNKNOWN = 4
    # Accepted, but not in force at all instances within the timeout.
    NOT_EVERYWHERE = 5


def fail(status: ExitStatus, code: str, text: str) -> NoReturn:
    """Print an error as one line and exit."""
    line = " ".join(text.split())
    click.secho(f"siskinspool: {code}: {line}", fg="red", err=True)
    sys.exit(int(status))


def print_json(value: Any) -> None:
    """Print a JSON document."""
    click.echo(json.dumps(value, indent=2, sort_keys=True, default=str))


def print_table(header: tuple[str, ...], rows: list[tuple[Any, ...]]) -> None:
    """Print rows as aligned columns under a header."""
    texts = [tuple(str(cell) for cell in row) for row in rows]
    widths = [
        max(len(row[column]) for row in [header, *texts])
        for column in range(len(header))
    ]
    click.secho(_line(header, widths), bold=True)
    for row in texts:
        click.echo(_line(row, widths))


def _line(cells: tuple[str, ...], widths: list[int]) -> str:
    padded = [cell.ljust(width) for cell, width in zip(cells, widths, strict=True)]
    return "  ".join(padded).rstrip()
