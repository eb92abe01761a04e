"""The operators' client against a trial site with real processes."""

from __future__ import annotations

import contextlib
import json
import signal
import socket
from collections.abc import Iterator
from pathlib import Path

import pytest

from siskinspool.cli.output import ExitStatus
from siskinspool.contracts.trace_context import trace_id
from siskinspool.manifest.document import write_manifest
from siskinspool.standins.processes import Json, call
from siskinspool.standins.site import SitePlan, TrialSite, wait_until

from ..builders_cli import run_client_at

PROMPT = "marker-of-a-prompt-that-no-log-may-show"


@pytest.fixture(scope="module")
def statsd() -> Iterator[socket.socket]:
    """Return a socket that stands in for a statsd server."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.setblocking(False)
        yield receiver


@pytest.fixture(scope="module")
def site(
    tmp_path_factory: pytest.TempPathFactory, statsd: socket.socket
) -> Iterator[TrialSite]:
    """Return a trial site that has answered one call."""
    folder = tmp_path_factory.mktemp("site")
    plan = SitePlan(log_level="debug", statsd_port=statsd.getsockname()[1])
    trial = TrialSite.from_plan(plan, folder)
    try:
        assert ask(trial, trial.key_by_team["guild"].text) == 200
        yield trial
    finally:
        trial.stop()


def ask(site: TrialSite, key: str, path: str = "/v1/chat/completions") -> int:
    """Send a call whose prompt is a marker text and return the status."""
    body: Json = {
        "model": "quote",
        "max_tokens": 2,
        "messages": [{"role": "user", "content": PROMPT}],
    }
    headers = {"Authorization": f"Bearer {key}"}
    return call(site.port_by_name["instance-0"], "POST", path, body, headers)[0]


def test_status_shows_the_whole_site(site: TrialSite) -> None:
    """Guards against a status page whose fields the client does not find."""

    def is_complete() -> bool:
        output = run_client_at(site, "status").output
        expected_words = (
            "placement 1",
            "engine-0",
            "service-0",
            "quote",
            "guild",
            "RESERVE",
        )
        return all(word in output for word in expected_words)

    wait_until(is_complete, "status shows instances, servers, teams", 10.0)
    result = run_client_at(site, "status", "--json")
    page = json.loads(result.stdout)["instance-0"]["tasks"]
    assert len(page["membership"]["members"]) == 3
    assert len(page["ownership"]["owners"]) == 49


def test_instances_send_metrics(site: TrialSite, statsd: socket.socket) -> None:
    """Guards against metrics that an instance never sends."""
    expected = {
        "siskinspool.calls.guild.urgent.ok:1|c",
        "siskinspool.instances.instance-0.revision:1|g",
        "siskinspool.instances.instance-0.members:3|g",
        "siskinspool.instances.instance-0.calls.running:0|g",
        "siskinspool.instances.instance-0.calls.waiting:0|g",
        "siskinspool.instances.instance-0.loads.queued:0|g",
        "siskinspool.instances.instance-0.tokens.waiting:0|g",
        "siskinspool.instances.instance-0.patient.open:0|g",
    }
    packets: set[str] = set()

    def are_sent() -> bool:
        with contextlib.suppress(BlockingIOError):
            while True:
                packets.add(statsd.recv(1024).decode())
        return expected <= packets

    wait_until(are_sent, "all metrics arrive", 15.0)
    assert any(".owned_partitions:" in packet for packet in packets)


def test_status_shows_no_key(site: TrialSite) -> None:
    """Guards against keys or prompts on the operators' pages (R4)."""
    output = (
        run_client_at(site, "status", "--json").output
        + run_client_at(site, "show").output
    )
    assert site.key_by_team["guild"].text not in output and PROMPT not in output


def test_pages_need_the_operators_token(site: TrialSite) -> None:
    """Guards against internal state that is shown without the operators' token."""
    status, _, body = call(site.port_by_name["instance-0"], "GET", "/v1/status")
    assert status == 200 and "tasks" not in json.loads(body)
    assert call(site.port_by_name["instance-0"], "GET", "/v1/histograms")[0] == 401


def test_histograms_add_up_over_instances(site: TrialSite) -> None:
    """Guards against percentiles of one instance shown as those of the fleet."""
    rows = json.loads(run_client_at(site, "histograms", "--json").stdout)
    before = {row["HISTOGRAM"]: row["COUNT"] for row in rows}
    for name in ("instance-0", "instance-1", "instance-2"):
        body = {"model": "quote", "max_tokens": 2, "messages": []}
        headers = site.authorization_header("guild")
        port = site.port_by_name[name]
        assert call(port, "POST", "/v1/chat/completions", body, headers)[0] == 200
    rows = json.loads(run_client_at(site, "histograms", "--json").stdout)
    after = {row["HISTOGRAM"]: row["COUNT"] for row in rows}
    name = "guild/urgent/duration"
    assert after[name] == before[name] + 3


def test_zone_goes_out_and_comes_back(site: TrialSite) -> None:
    """Guards against a zone command that does not reach the instances (R7, R13)."""
    assert run_client_at(site, "zone", "out", "b").exit_code == 0
    wait_until(
        lambda: "closed zone" in run_client_at(site, "status").output,
        "b is closed",
        5.0,
    )
    assert (
        "closed: no new work" in run_client_at(site, "explain", "guild", "quote").output
    )
    assert run_client_at(site, "zone", "in", "b").exit_code == 0
    wait_until(
        lambda: "closed zone" not in run_client_at(site, "status").output,
        "b is open",
        5.0,
    )
    assert run_client_at(site, "zone", "out", "x").exit_code == ExitStatus.REFUSED


def test_key_is_issued_used_and_revoked(site: TrialSite) -> None:
    """Guards against a key that does not work, or works after its revocation (R4)."""
    issued = run_client_at(site, "key", "issue", "extra", "--team", "guild")
    assert issued.exit_code == 0
    key = issued.stdout.strip()
    assert ask(site, key) == 200
    assert "extra" in run_client_at(site, "key", "list").output
    assert run_client_at(site, "key", "revoke", "extra").exit_code == 0
    assert ask(site, key) == 401
    assert run_client_at(site, "key", "revoke", "extra").exit_code == ExitStatus.REFUSED


def test_manifest_is_compared_and_applied(site: TrialSite, tmp_path: Path) -> None:
    """Guards against an apply that overwrites a colleague's change (R13)."""
    path = tmp_path / "manifest.json"
    shown = run_client_at(site, "show").stdout
    path.write_text(shown.replace('"rate":100.0', '"rate":120.0'), encoding="utf-8")
    assert "set teams visitor" in run_client_at(site, "diff", str(path)).output
    stale = run_client_at(site, "apply", str(path), "--expect", "1")
    assert stale.exit_code == ExitStatus.REFUSED and "conflict" in stale.stderr
    assert run_client_at(site, "apply", str(path)).exit_code == 0
    assert "no change" in run_client_at(site, "apply", str(path)).output


def test_explain_agrees_with_the_front_end(site: TrialSite) -> None:
    """Guards against an explanation that disagrees with what callers get."""
    refused = run_client_at(site, "explain", "visitor", "quote").output
    assert "would be refused: unknown_model" in refused
    assert ask(site, site.key_by_team["visitor"].text) == 404
    routed = run_client_at(site, "explain", "guild", "deposits").output
    assert "would be routed" in routed


def test_patient_requests_are_listed(site: TrialSite) -> None:
    """Guards against waiting requests that operators cannot see (R3)."""
    assert run_client_at(site, "zone", "out", "a").exit_code == 0
    headers = site.authorization_header("guild")
    port = site.port_by_name["instance-1"]
    body = {"ref": "listed", "note": PROMPT}
    try:
        assert call(port, "POST", "/orders", body, headers)[0] == 202
        listed = run_client_at(site, "patient", "list").output
        assert "guild" in listed and "orders" in listed and PROMPT not in listed
    finally:
        assert run_client_at(site, "zone", "in", "a").exit_code == 0


def test_no_log_line_shows_a_key_or_a_prompt(site: TrialSite) -> None:
    """Guards against secrets and prompts in logs, also on refusals (R4)."""
    key = site.key_by_team["guild"].text
    assert ask(site, key, f"/v1/chat/completions?api_key={key}") == 200
    assert ask(site, f"{key}x") == 401
    assert ask(site, key, f"/nothing/{key}") in (401, 404)
    texts = [path.read_text() for path in site.processes.folder.glob("instance-*.log")]
    log = "".join(texts)
    assert "event=call" in log and "event=refused" in log
    assert key not in log and PROMPT not in log
    for line in log.splitlines():
        assert line.startswith("ts=") and " level=" in line and " event=" in line


def test_a_server_gets_the_trace_of_the_caller(site: TrialSite) -> None:
    """Guards against a trace context that the instance does not pass on."""
    sent_traceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
    headers = {**site.authorization_header("guild"), "traceparent": sent_traceparent}
    body: Json = {"model": "quote", "max_tokens": 2, "messages": []}
    port = site.port_by_name["instance-0"]
    assert call(port, "POST", "/v1/chat/completions", body, headers)[0] == 200
    received = [
        site.engine_observations(name)["last_traceparent"] for name in site.engine_by_id
    ]
    assert sent_traceparent in received
    del headers["traceparent"]
    assert call(port, "POST", "/v1/chat/completions", body, headers)[0] == 200
    received = [
        site.engine_observations(name)["last_traceparent"] for name in site.engine_by_id
    ]
    assert any(trace_id(text) and text != sent_traceparent for text in received)


def test_apply_names_an_instance_that_does_not_answer(
    site: TrialSite, tmp_path: Path
) -> None:
    """Guards against a change reported as in force while an instance hangs (R13)."""
    manifest = tmp_path / "manifest.json"
    assert site.manifest is not None
    manifest.write_bytes(write_manifest(site.manifest))
    process = site.instance_by_id["instance-2"]
    process.signal(signal.SIGSTOP)
    try:
        result = run_client_at(site, "apply", str(manifest), "--timeout", "0.5")
    finally:
        process.signal(signal.SIGCONT)
    assert result.exit_code == ExitStatus.NOT_EVERYWHERE
    assert "siskinspool: not_in_force: not confirmed by instance-2" in result.stderr
    site.wait_ready()
