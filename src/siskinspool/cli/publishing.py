"""Shared steps of the commands that change the configuration."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Final

import click
import gevent

from ..manifest.changes import describe_change
from ..manifest.publisher import (
    PublishConflict,
    PublishFailed,
    PublishOutcome,
    PublishSucceeded,
    PublishUnchanged,
)
from ..store.kv import LostAnswerError, UnavailableError
from .connection import Connection, NoAnswer
from .output import ExitStatus, fail

CHECK_INTERVAL_S: Final = 0.2
DEFAULT_WAIT_S: Final = 10.0


def wait_options(command: Callable[..., None]) -> Callable[..., None]:
    """Add the options ``--wait`` and ``--timeout`` to a command."""
    wait = click.option(
        "--wait/--no-wait", default=True, help="Wait until in force everywhere."
    )
    timeout = click.option(
        "--timeout", default=DEFAULT_WAIT_S, show_default=True, help="Seconds to wait."
    )
    return wait(timeout(command))


def report_outcome(outcome: PublishOutcome, err: bool = False) -> int:
    """Print the outcome of a change and return the revision; exit if it failed.

    ``err`` prints to standard error and leaves standard output to the command's result.
    """
    match outcome:
        case PublishSucceeded(revision=revision, changes=changes):
            for change in changes:
                click.echo(f"  {describe_change(change)}", err=err)
            click.echo(f"accepted as revision {revision}", err=err)
            return revision
        case PublishUnchanged(revision=revision):
            click.echo(f"no change; revision {revision} is in force", err=err)
            return revision
        case PublishConflict(revision=revision, changes=changes):
            for change in changes:
                click.echo(f"  theirs: {describe_change(change)}", err=True)
            fail(
                ExitStatus.REFUSED,
                "conflict",
                f"another operator was first; revision {revision} is in force",
            )
        case PublishFailed(reason=reason, unknown=True):
            fail(ExitStatus.UNKNOWN, "outcome_unknown", reason)
        case PublishFailed(reason=reason):
            fail(ExitStatus.UNREACHABLE, "not_accepted", reason)


def wait_in_force(
    connection: Connection, revision: int, timeout_s: float, err: bool = False
) -> None:
    """Wait until all instances confirm a revision; exit naming those that do not."""
    deadline = time.monotonic() + timeout_s
    while True:
        missing = unconfirmed_instances(connection, revision)
        if not missing:
            click.echo(f"revision {revision} is in force at all instances", err=err)
            return
        if time.monotonic() >= deadline:
            text = ", ".join(f"{name} ({reason})" for name, reason in missing.items())
            fail(ExitStatus.NOT_EVERYWHERE, "not_in_force", f"not confirmed by {text}")
        gevent.sleep(CHECK_INTERVAL_S)


def unconfirmed_instances(connection: Connection, revision: int) -> dict[str, str]:
    """Return the instances that lack a revision, by id with the reason."""
    try:
        members = connection.find_members()
    except (LostAnswerError, UnavailableError) as error:
        # The change is already accepted, so UNREACHABLE ("nothing changed") is wrong.
        return {"any instance": f"the list of instances cannot be read: {error}"}
    missing = {}
    for instance_id, answer in connection.fetch_from(members, "/v1/status").items():
        if isinstance(answer, NoAnswer):
            missing[instance_id] = f"no answer: {answer.reason}"
        elif int(answer.get("revision", 0)) < revision:
            missing[instance_id] = f"has revision {answer.get('revision', 0)}"
    return missing
