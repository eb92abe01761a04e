"""Demo of a whole site with real processes on loopback.

It starts three entry instances in three zones, engines, a weight store, a plain service
and the platform, and checks three cases: a team requests a cold model, a team without
access to the model is refused, and a deposit sent through two instances runs once.
"""

from __future__ import annotations

import json
import sys
import tempfile
import time
from pathlib import Path

import click

from .processes import call
from .site import SitePlan, TrialSite


def print_line(line: str) -> None:
    """Print a line of the demo's output."""
    click.echo(line)


def check_cold_model(site: TrialSite) -> bool:
    """Request a model that no engine has loaded; return whether it worked.

    The stream must be complete, the model loaded once, and no key seen by an engine.
    """
    port = site.port_by_name["instance-0"]
    body = {"model": "quote", "max_tokens": 8, "stream": True, "messages": []}
    started_at = time.monotonic()
    status, _, data = call(
        port, "POST", "/v1/chat/completions", body, site.authorization_header("guild")
    )
    events = data.decode().strip().split("\n\n")
    is_complete = status == 200 and events[-1] == "data: [DONE]" and len(events) == 10
    print_line(
        f"team guild requested the cold model 'quote': status {status}, {len(events)} "
        f"events, whole={is_complete}, {time.monotonic() - started_at:.2f} s"
    )
    loads = [
        name
        for engine in site.engine_by_id
        for name in site.engine_observations(engine)["loads"]
        if name == "quote"
    ]
    seen = sum(
        site.engine_observations(engine)["credentials_seen"]
        for engine in site.engine_by_id
    )
    print_line(f"  loads of 'quote': {len(loads)}; keys that engines saw: {seen}")
    return is_complete and len(loads) == 1 and seen == 0


def check_refused_team(site: TrialSite) -> bool:
    """Send a request of a team without access to the model; it must be refused."""
    port = site.port_by_name["instance-1"]
    body = {"model": "quote", "max_tokens": 8, "messages": []}
    status, _, data = call(
        port, "POST", "/v1/chat/completions", body, site.authorization_header("visitor")
    )
    problem = json.loads(data)
    print_line(
        f"team visitor requested the same model: status {status}, code "
        f"{problem['code']}, run={problem['run']}"
    )
    return status == 404 and problem["run"] == "not_run"


def check_repeated_deposit(site: TrialSite) -> bool:
    """Send the same deposit through two instances; it must run once."""
    headers = {**site.authorization_header("guild"), "Idempotency-Key": "deposit-17"}
    body = {"ref": "gutters", "amount": 40_000}
    answers = []
    for name in ("instance-1", "instance-2"):
        status, answer_headers, data = call(
            site.port_by_name[name], "POST", "/deposits", body, headers
        )
        replayed = answer_headers.get("idempotency-replayed", "false")
        answers.append((status, data))
        print_line(f"deposit through {name}: status {status}, replayed={replayed}")
    runs = site.service_runs().get("gutters", 0)
    print_line(f"  the service ran the deposit {runs} time(s)")
    return answers[0] == answers[1] and runs == 1


@click.command()
def main() -> None:
    """Run the demo; the exit status is 0 if all cases went as expected."""
    with tempfile.TemporaryDirectory(prefix="siskinspool-demo-") as folder:
        print_line("starting the stand-ins and three entry instances")
        site = TrialSite.from_plan(SitePlan(), Path(folder))
        try:
            checks = (check_cold_model, check_refused_team, check_repeated_deposit)
            results = [check(site) for check in checks]
        finally:
            site.stop()
    print_line("all went as expected" if all(results) else "something went wrong")
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
