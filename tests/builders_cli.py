"""Builders for tests of the operators' client."""

from __future__ import annotations

from typing import Any

import attrs
from click.testing import CliRunner, Result

from siskinspool.cli.connection import Connection, Json, NoAnswer
from siskinspool.cli.main import main
from siskinspool.cli.site_view import SiteView
from siskinspool.core.member import Member
from siskinspool.standins.site import TrialSite

from .builders import member


def run_client(*args: str, color: bool = False) -> Result:
    """Run the client with command-line arguments."""
    return CliRunner().invoke(main, args, prog_name="siskinspool", color=color)


def run_client_at(site: TrialSite, *args: str) -> Result:
    """Run the client against a trial site with its operators' token."""
    environment = {
        "SISKINSPOOL_KV": f"127.0.0.1:{site.platform.port}",
        "SISKINSPOOL_OPERATOR_TOKEN": site.plan.operator_token,
    }
    runner = CliRunner(env=environment)
    return runner.invoke(main, args, prog_name="siskinspool")


@attrs.frozen
class ScriptedConnection(Connection):
    """A connection whose instances give fixed answers."""

    answers: dict[str, Json | NoAnswer] = attrs.field(factory=dict)

    def find_members(self) -> dict[str, Member]:
        return {name: member(name) for name in self.answers}

    def fetch(self, member: Member, path: str) -> Json | NoAnswer:
        return self.answers[member.instance_id]


def connection(answers: dict[str, Json | NoAnswer]) -> Connection:
    """Return a connection with fixed answers of instances, by id."""
    return ScriptedConnection(("127.0.0.1", 1), "", answers)


def server_row(state: str = "open", replicas: tuple[str, ...] = ()) -> Json:
    """Return the row of server ``s1`` on a status page."""
    return {
        "id": "s1",
        "zone": "a",
        "state": state,
        "running": 0,
        "capacity": 10,
        "replicas": list(replicas),
    }


def site_view(
    server: Json, level: float = 50.0, not_ready: str | None = None, **tasks: Any
) -> SiteView:
    """Return the view of a site with one instance."""
    share = {"id": "t1", "rate": 10.0, "level": level, "waiting": 0}
    page = {
        "not_ready": not_ready,
        "tasks": {
            "routing": {"servers": [server], "services": []},
            "limits": {"teams": [share]},
            "mint": {"teams": [{"id": "t1", "reserve_level": 0.0}]},
            "placement": {"active": True, "queued_loads": [], "loads": []},
            **tasks,
        },
    }
    return SiteView({"i1": page})
