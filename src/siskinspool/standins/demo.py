"""The demo: one story with real processes, printed in a few lines.

Three entry instances in three zones, engines, a weight store, a plain service and the
platform run on loopback. A team asks a cold model, another team is refused, a deposit
is sent twice through two instances and runs once.
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


def tell(line: str) -> None:
    """Print one line of the story."""
    click.echo(line)


def ask_cold_model(site: TrialSite) -> bool:
    """Ask a model that no engine holds; the answer must come whole."""
    port = site.port_by_name["instance-0"]
    body = {"model": "quote", "max_tokens": 8, "stream": True, "messages": []}
    started_at = time.monotonic()
    status, _, data = call(
        port, "POST", "/v1/chat/completions", body, site.authorization_header("guild")
    )
    events = data.decode().strip().split("\n\n")
    whole = status == 200 and events[-1] == "data: [DONE]" and len(events) == 10
    tell(
        f"team guild asked the cold model 'quote': status {status}, {len(events)} "
        f"events, whole={whole}, {time.monotonic() - started_at:.2f} s"
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
    tell(f"  loads of 'quote': {len(loads)}; keys that engines saw: {seen}")
    return whole and len(loads) == 1 and seen == 0


def ask_as_other_team(site: TrialSite) -> bool:
    """Ask with the key of a team that may not use the model."""
    port = site.port_by_name["instance-1"]
    body = {"model": "quote", "max_tokens": 8, "messages": []}
    status, _, data = call(
        port, "POST", "/v1/chat/completions", body, site.authorization_header("visitor")
    )
    problem = json.loads(data)
    tell(
        f"team visitor asked the same model: status {status}, code "
        f"{problem['code']}, run={problem['run']}"
    )
    return status == 404 and problem["run"] == "not_run"


def deposit_twice(site: TrialSite) -> bool:
    """Send the same deposit through two instances."""
    headers = {**site.authorization_header("guild"), "Idempotency-Key": "deposit-17"}
    body = {"ref": "gutters", "amount": 40_000}
    answers = []
    for name in ("instance-1", "instance-2"):
        status, answer_headers, data = call(
            site.port_by_name[name], "POST", "/deposits", body, headers
        )
        replayed = answer_headers.get("idempotency-replayed", "false")
        answers.append((status, data))
        tell(f"deposit through {name}: status {status}, replayed={replayed}")
    runs = site.service_runs().get("gutters", 0)
    tell(f"  the service ran the deposit {runs} time(s)")
    return answers[0] == answers[1] and runs == 1


@click.command()
def main() -> None:
    """Run the demo; the exit status is 0 if the story went as told."""
    with tempfile.TemporaryDirectory(prefix="siskinspool-demo-") as folder:
        tell("starting the stand-ins and three entry instances")
        site = TrialSite.from_plan(SitePlan(), Path(folder))
        try:
            steps = (ask_cold_model, ask_as_other_team, deposit_twice)
            results = [step(site) for step in steps]
        finally:
            site.stop()
    tell("all went as expected" if all(results) else "something went wrong")
    sys.exit(0 if all(results) else 1)


if __name__ == "__main__":
    main()
