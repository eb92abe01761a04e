"""Accepted patient requests are answered or end with a reason (R3, R10)."""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Iterator

import attrs
import pytest

from siskinspool.manifest.model import Route, Team
from siskinspool.standins.site import SitePlan, TrialSite, wait_until

from .builders_site import (
    Reply,
    ask,
    count_runs,
    running_site,
    set_faults,
    set_service_faults,
)

PLAN = SitePlan(
    zones=("a",),
    instances=3,
    servers=1,
    teams=(
        Team(id="guild", rate=1e6, burst=1e6),
        Team(id="small", rate=1e6, burst=1e6, max_waiting=2),
    ),
)


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[TrialSite]:
    with running_site(PLAN, tmp_path_factory.mktemp("patient")) as running:
        add_checks_route(running)
        yield running


def add_checks_route(site: TrialSite) -> None:
    """Publish an idempotent route that needs a key."""
    assert site.manifest is not None
    route = Route(
        id="checks", path="/checks", services=("service-0",), deadline_ms=60_000
    )
    routes = (*site.manifest.routes, route)
    site.publish(attrs.evolve(site.manifest, routes=routes))
    for number in range(PLAN.instances):
        wait_until(
            lambda number=number: ask(site, number, "GET", "/checks").status == 200,  # type: ignore[misc]
            "the route is served",
            10.0,
        )


@pytest.fixture(autouse=True)
def _no_faults(site: TrialSite) -> Iterator[None]:
    yield
    set_service_faults(site, delay_s=0, reset_after_run=0)
    set_faults(site.platform.port, down=False)


def submit(site: TrialSite, ref: str, path: str = "/orders", **more: object) -> Reply:
    return ask(
        site,
        0,
        "POST",
        path,
        {"ref": ref},
        headers={"X-Siskin-Class": "patient"},
        **more,  # type: ignore[arg-type]
    )


def outcome_of(
    site: TrialSite, accepted: Reply, instance: int, timeout_s: float = 30.0
) -> Reply:
    """Poll for the answer until there is one."""
    replies: list[Reply] = []

    def is_settled() -> bool:
        path = accepted.headers["location"]
        replies.append(ask(site, instance, "GET", path))
        return replies[-1].status not in (202, 503)

    wait_until(is_settled, "the request has ended", timeout_s)
    return replies[-1]


def runner_of(site: TrialSite) -> str:
    """Return the instance that runs a patient call, found by its connections."""
    for name, process in site.instance_by_id.items():
        if process.is_alive and _connects(
            process.popen.pid, site.port_by_name["service-0"]
        ):
            return name
    return ""


def _connects(pid: int, port: int) -> bool:
    """Return whether a process has a connection to a loopback port."""
    inodes = set()
    with open(f"/proc/{pid}/net/tcp", encoding="ascii") as table:
        for line in table.readlines()[1:]:
            fields = line.split()
            if int(fields[2].rpartition(":")[2], 16) == port and fields[3] == "01":
                inodes.add(fields[9])
    for entry in os.scandir(f"/proc/{pid}/fd"):
        try:
            target = os.readlink(entry.path)
        except OSError:
            continue
        if target.startswith("socket:[") and target[8:-1] in inodes:
            return True
    return False


def test_answer_comes_from_another_instance(site: TrialSite) -> None:
    """Guards against an answer that only one instance can return."""
    accepted = submit(site, "plain")
    assert accepted.status == 202
    reply = outcome_of(site, accepted, 2)
    assert (reply.status, reply.document) == (200, {"ref": "plain", "run": 1})
    assert count_runs(site, "plain") == 1
    other = ask(site, 1, "GET", accepted.headers["location"], team="small")
    assert other.status == 404


def test_service_down_refuses_not_run(site: TrialSite) -> None:
    """Guards against an accepted request that is not stored."""
    set_faults(site.platform.port, down=True)
    reply = submit(site, "down")
    assert (reply.status, reply.run) == (503, "not_run")
    assert count_runs(site, "down") == 0


def test_open_route_accepts_no_patient_request(site: TrialSite) -> None:
    """Guards against a request whose answer cannot be fetched by anybody."""
    reply = submit(site, "open", "/stock", team="")
    assert (reply.status, reply.code, reply.run) == (400, "bad_request", "not_run")


def test_team_bound_holds(site: TrialSite) -> None:
    """Guards against an unbounded queue."""
    set_service_faults(site, delay_s=2.0)
    replies = [submit(site, f"bound-{i}", team="small") for i in range(4)]
    assert [reply.status for reply in replies] == [202, 202, 429, 429]
    assert {reply.run for reply in replies[2:]} == {"not_run"}
    assert count_runs(site, "bound-2") == count_runs(site, "bound-3") == 0


@pytest.mark.parametrize("path", ["/checks", "/orders"])
def test_killed_runner(site: TrialSite, path: str) -> None:
    """Guards against a request that is lost or run twice if its runner is killed."""
    ref = f"killed{path}"
    set_service_faults(site, delay_s=20.0)
    accepted = submit(site, ref, path, deadline_ms=60_000)
    assert accepted.status == 202
    wait_until(lambda: count_runs(site, ref) == 1, "it runs", 10.0)
    name = runner_of(site)
    number = int(name.rpartition("-")[2])
    site.instance_by_id[name].signal(signal.SIGKILL)
    site.instance_by_id[name].wait(5.0)
    set_service_faults(site, delay_s=0)
    killed_at = time.monotonic()
    reply = outcome_of(site, accepted, (number + 1) % 3, 40.0)
    # The session ends after at most 10 s and the shard's next owner reads its log.
    assert time.monotonic() - killed_at < 35.0
    if path == "/checks":
        assert (reply.status, count_runs(site, ref)) == (200, 2)
    else:
        assert (reply.run, count_runs(site, ref)) == ("unknown", 1)
    site.start_instance(number)
    site.wait_ready()
