"""The operators' client without a site: options, errors, explanations."""

from __future__ import annotations

from pathlib import Path

import attrs
import click
import pytest
from click.testing import CliRunner

from siskinspool.cli.connection import NoAnswer
from siskinspool.cli.explanation import explain_request, outcome_text
from siskinspool.cli.main import main
from siskinspool.cli.output import ExitStatus
from siskinspool.cli.publishing import unconfirmed_instances, wait_in_force
from siskinspool.cli.site_view import SiteView
from siskinspool.manifest.model import Team
from siskinspool.manifest.schema import schema_text

from .builders import catalog, team
from .builders_cli import connection, run_client, server_row, site_view

EXAMPLE = Path(__file__).parent.parent / "examples" / "tinware-lagos.json"


def commands(group: click.Group, path: tuple[str, ...] = ()) -> list[tuple[str, ...]]:
    """Return the paths of all commands below a group, the group included."""
    paths = [path]
    for name, command in group.commands.items():
        command_path = (*path, name)
        paths += (
            commands(command, command_path) if isinstance(command, click.Group) else []
        )
        paths += [] if isinstance(command, click.Group) else [command_path]
    return paths


@pytest.mark.parametrize("path", commands(main), ids=" ".join)
def test_help_shows_an_example(path: tuple[str, ...]) -> None:
    """Guards against a command whose help shows no example."""
    result = run_client(*path, "--help")
    assert result.exit_code == 0
    assert "Example: siskinspool" in result.output


@pytest.mark.parametrize(
    "args",
    [
        ("nonsense",),
        ("check", "/does/not/exist"),
        ("--kv", "nowhere", "status"),
        ("key", "issue", "k1"),
    ],
    ids=" ".join,
)
def test_wrong_usage_is_one_line_with_status_2(args: tuple[str, ...]) -> None:
    """Guards against errors that scripts cannot tell apart or parse."""
    result = run_client(*args)
    assert result.exit_code == ExitStatus.USAGE
    assert result.stdout == ""
    assert result.stderr.startswith("siskinspool: usage: ")
    assert result.stderr.count("\n") == 1


def test_unreachable_service_is_one_line_with_status_3() -> None:
    """Guards against a traceback when the key-value service is down."""
    result = run_client("--kv", "127.0.0.1:1", "zone", "out", "a")
    assert result.exit_code == ExitStatus.UNREACHABLE
    assert result.stderr.startswith("siskinspool: service_unreachable: ")
    assert result.stderr.count("\n") == 1


def test_check_lists_all_faults(tmp_path: Path) -> None:
    """Guards against a check that reports one fault at a time."""
    text = EXAMPLE.read_text(encoding="utf-8")
    invalid_path = tmp_path / "wrong.json"
    invalid_path.write_text(
        text.replace('"lagos-a"', '"elsewhere"', 1).replace("16", "-1"),
        encoding="utf-8",
    )
    assert run_client("check", str(EXAMPLE)).exit_code == 0
    result = run_client("check", str(invalid_path))
    assert result.exit_code == ExitStatus.USAGE
    assert "'lagos-a'" in result.stderr and "must be above 0" in result.stderr
    assert "siskinspool: manifest_faults: " in result.stderr


def test_schema_is_printed_as_committed() -> None:
    """Guards against a printed schema that differs from the committed file."""
    assert run_client("schema").stdout == schema_text()


def test_colour_is_for_terminals_only() -> None:
    """Guards against escape sequences in files and pipes."""
    assert "\x1b[" not in run_client("nonsense").stderr
    assert "\x1b[" in run_client("nonsense", color=True).stderr


def test_shell_completion_is_offered() -> None:
    """Guards against error handling that switches completion off."""
    runner = CliRunner(env={"_SISKINSPOOL_COMPLETE": "bash_source"})
    result = runner.invoke(main, [], prog_name="siskinspool")
    assert "_siskinspool_completion" in result.stdout


def test_instances_that_have_not_confirmed_are_named(
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Guards against a wait that fails without naming the instances (R13)."""
    scripted = connection(
        {"i1": {"revision": 7}, "i2": {"revision": 6}, "i3": NoAnswer("timed out")}
    )
    missing = unconfirmed_instances(scripted, 7)
    assert missing == {"i2": "has revision 6", "i3": "no answer: timed out"}
    with pytest.raises(SystemExit) as exit_info:
        wait_in_force(scripted, 7, 0.0)
    assert exit_info.value.code == ExitStatus.NOT_EVERYWHERE
    error = capsys.readouterr().err
    assert "i2 (has revision 6)" in error and "i3 (no answer" in error


def explain_outcome(site: SiteView, requester: Team, target: str = "m1") -> str:
    """Return the outcome that is explained for a team's request."""
    return outcome_text(
        explain_request(catalog(teams=(requester,)), site, requester, target)
    )


def test_explanation_names_what_refuses_a_request() -> None:
    """Guards against an explanation that disagrees with the refusal a caller gets."""
    loaded = server_row(replicas=("m1",))
    assert explain_outcome(site_view(loaded), team()) == "would be routed"
    assert explain_outcome(site_view(server_row()), team()) == "would be routed"
    forbidden_team = attrs.evolve(team(), allow=("m2",))
    assert "unknown_model (rights)" in explain_outcome(
        site_view(loaded), forbidden_team
    )
    assert "rate_exceeded (tokens)" in explain_outcome(
        site_view(loaded, level=0.0), team()
    )
    for state in ("closed zone", "leaving", "stale", "set aside", "no report"):
        row = server_row(state, ("m1",))
        assert "deadline_passed (servers)" in explain_outcome(site_view(row), team())
    draining = site_view(loaded, not_ready="draining")
    assert "not_current (instances)" in explain_outcome(draining, team())
    without_owner = site_view(server_row(), placement={"active": False})
    assert "deadline_passed (replica)" in explain_outcome(without_owner, team())
