"""Shared steps of the commands that change the configuration."""

from __future__ import annotations

import time
from typing import Final

import click
import gevent

from ..manifest.changes import describe
from ..manifest.publisher import (
    PublishConflict,
    Published,
    PublishFailed,
    PublishOutcome,
    Unchanged,
)
from .connection import Connection, NoAnswer
from .output import ExitStatus, fail

CHECK_INTERVAL_S: Final = 0.2
DEFAULT_WAIT_S: Final = 10.0


def report_outcome(outcome: PublishOutcome) -> int:
    """Print what became of a change and return the revision, or end the client."""
    match outcome:
        case Published(revision=revision, changes=changes):
            for change in changes:
                click.echo(f"  {describe(change)}")
            click.echo(f"accepted as revision {revision}")
            return revision
        case Unchanged(revision=revision):
            click.echo(f"no change; revision {revision} is in force")
            return revision
        case PublishConflict(revision=revision, changes=changes):
            for change in changes:
                click.echo(f"  theirs: {describe(change)}", err=True)
            fail(
                ExitStatus.REFUSED,
                "conflict",
                f"another operator was first; revision {revision} is in force",
            )
        case PublishFailed(reason=reason, unknown=True):
            fail(ExitStatus.UNKNOWN, "outcome_unknown", reason)
        case PublishFailed(reason=reason):
            fail(ExitStatus.UNREACHABLE, "not_accepted", reason)


def wait_in_force(connection: Connection, revision: int, timeout_s: float) -> None:
    """Wait until every instance confirms a revision; name those that do not."""
    ends_at = time.monotonic() + timeout_s
    while True:
        missing = unconfirmed(connection, revision)
        if not missing:
            click.echo(f"revision {revision} is in force at all instances")
            return
        if time.monotonic() >= ends_at:
            text = ", ".join(f"{name} ({why})" for name, why in missing.items())
            fail(ExitStatus.NOT_EVERYWHERE, "not_in_force", f"not confirmed by {text}")
        gevent.sleep(CHECK_INTERVAL_S)


def unconfirmed(connection: Connection, revision: int) -> dict[str, str]:
    """Return the instances without a revision and why, by id."""
    missing = {}
    for instance_id, answer in connection.ask_all("/v1/status").items():
        if isinstance(answer, NoAnswer):
            missing[instance_id] = f"no answer: {answer.reason}"
        elif int(answer["revision"]) < revision:
            missing[instance_id] = f"has revision {answer['revision']}"
    return missing
