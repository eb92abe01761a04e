"""API keys are not forwarded to servers, and revoked keys stop working (R4)."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from urllib.parse import quote

import attrs
import pytest
from geventhttpclient import HTTPClient

from siskinspool.contracts.api_key import issue_key
from siskinspool.manifest.model import Team
from siskinspool.manifest.publisher import PublishSucceeded
from siskinspool.standins.processes import call, call_json
from siskinspool.standins.site import SitePlan, is_ready, wait_until

from .builders_site import ProxiedSite, ask, open_stream, proxied_site, set_faults

PLAN = SitePlan(
    instances=3,
    teams=(Team(id="guild", rate=1e6, burst=1e6), Team(id="gone", rate=1e6, burst=1e6)),
    token_s=0.05,
)
# Requirement R4.
REVOCATION_BOUND_S = 5.0
LONG_STREAM_TOKENS = 400


@pytest.fixture(scope="module")
def proxied(tmp_path_factory: pytest.TempPathFactory) -> Iterator[ProxiedSite]:
    with proxied_site(PLAN, tmp_path_factory.mktemp("keys")) as running:
        yield running


def new_key(proxied: ProxiedSite, key_id: str) -> None:
    """Issue another key for the team ``gone``; wait until all instances accept it."""
    issued = issue_key(key_id, "gone")
    outcome = proxied.publisher().edit(
        lambda m: attrs.evolve(m, keys=(*m.keys, issued.entry))
    )
    assert isinstance(outcome, PublishSucceeded)
    proxied.site.key_by_team["gone"] = issued
    for number in range(PLAN.instances):
        wait_until(
            lambda number=number: stock(proxied, number) == 200,  # type: ignore[misc]
            "the new key works",
            10.0,
        )


def revoke(proxied: ProxiedSite, key_id: str) -> None:
    outcome = proxied.publisher().edit(
        lambda m: attrs.evolve(m, keys=tuple(k for k in m.keys if k.id != key_id))
    )
    assert isinstance(outcome, PublishSucceeded)


def stock(proxied: ProxiedSite, instance: int, team: str = "gone") -> int:
    """Return the status of a request that needs a key."""
    return ask(proxied.site, instance, "GET", "/v1/models", team=team).status


def test_no_server_sees_a_key(proxied: ProxiedSite) -> None:
    """Guards against keys in requests that are forwarded to engines and services."""
    site = proxied.site
    key = site.key_by_team["guild"].text
    headers = {
        "X-Api-Key": key,
        "Api-Key": key,
        "Cookie": f"k={key}",
        "X-Note": f"Bearer {key}",
        "Referer": f"http://x/?q={quote(key)}",
        "Proxy-Authorization": f"Bearer {key}",
        "X-Desk": "desk-12",
    }
    query = f"?api_key={key}&note=Bearer%20{key}&{key}=1&q={quote(quote(key, ''))}&a=1"
    for path in ("/deposits", "/stock"):
        assert (
            ask(site, 0, "POST", path + query, {"ref": "k"}, headers=headers).status
            == 200
        )
    body = {"model": "quote", "max_tokens": 2, "messages": []}
    path = "/v1/chat/completions" + query
    assert ask(site, 0, "POST", path, body, headers=headers).status == 200
    in_path = ask(site, 0, "POST", f"/stock/{key}", {"ref": "path"})
    assert (in_path.status, in_path.run) == (401, "not_run")
    port = site.port_by_name["service-0"]
    assert call_json(port, "GET", "/admin/runs")["credentials_seen"] == 0
    for engine in site.engine_by_id:
        assert site.engine_observations(engine)["credentials_seen"] == 0
    for log in site.processes.folder.glob("*.log"):
        assert key.partition(".")[2] not in log.read_text(errors="replace")


def test_revoked_key_stops_everywhere(proxied: ProxiedSite) -> None:
    """Guards against a revoked key at an isolated instance or an open connection."""
    site = proxied.site
    new_key(proxied, "gone-2")
    streams = [
        open_stream(site, number, "gone", "quote", LONG_STREAM_TOKENS)
        for number in range(PLAN.instances)
    ]
    assert [stream.status for stream in streams] == [200, 200, 200]
    client = HTTPClient(
        "127.0.0.1", port=site.port_by_name["instance-0"], concurrency=1
    )
    auth = site.authorization_header("gone")
    assert client.get("/v1/models", headers=auth).read() and True
    proxied.cut_off(1)
    try:
        revoke(proxied, "gone-2")
        revoked_at = time.monotonic()
        for number in range(PLAN.instances):
            wait_until(
                lambda number=number: stock(proxied, number) == 401,  # type: ignore[misc]
                f"instance {number} rejects the key",
                revoked_at + REVOCATION_BOUND_S - time.monotonic(),
            )
        assert client.get("/v1/models", headers=auth).status_code == 401
        wait_until(
            lambda: all(stream.ended_at for stream in streams), "streams end", 5.0
        )
        for stream in streams:
            assert stream.ended_at - revoked_at < REVOCATION_BOUND_S
            assert b"event: error" in stream.body and not stream.is_whole
        assert stock(proxied, 1, "guild") == 200
    finally:
        client.close()
        proxied.reconnect(1)


def test_isolated_instance_refuses_keyed_work(proxied: ProxiedSite) -> None:
    """Guards against work for a key that may be revoked, at an isolated instance."""
    site = proxied.site
    port = site.port_by_name["instance-1"]
    stream = open_stream(site, 1, "guild", "quote", LONG_STREAM_TOKENS)
    assert stream.status == 200
    others = [site.instance_by_id[f"instance-{number}"] for number in (0, 2)]
    proxied.cut_off(1)
    try:
        for other in others:
            other.signal(signal.SIGSTOP)
        isolated_at = time.monotonic()
        wait_until(lambda: not is_ready(port), "it is not ready", REVOCATION_BOUND_S)
        reply = ask(site, 1, "POST", "/deposits", {"ref": "alone"})
        assert (reply.status, reply.code, reply.run) == (503, "not_current", "not_run")
        wait_until(lambda: bool(stream.ended_at), "the stream ends", 5.0)
        assert stream.ended_at - isolated_at < REVOCATION_BOUND_S
        assert not stream.is_whole
        assert site.service_runs().get("alone", 0) == 0
        assert ask(site, 1, "GET", "/stock", team="").status == 200
    finally:
        for other in others:
            other.signal(signal.SIGCONT)
        proxied.reconnect(1)
    site.wait_ready()


def test_outage_of_the_service_stops_no_keyed_work(proxied: ProxiedSite) -> None:
    """Guards against refusals in an outage, when no key can be revoked."""
    site = proxied.site
    stream = open_stream(site, 0, "guild", "quote", LONG_STREAM_TOKENS)
    set_faults(site.platform.port, down=True)
    try:
        began = time.monotonic()
        statuses: set[int] = set()
        while time.monotonic() - began < 8.0:
            for number in range(PLAN.instances):
                statuses.add(stock(proxied, number, "guild"))
        assert statuses == {200}
        assert not stream.ended_at
    finally:
        set_faults(site.platform.port, down=False)
    site.wait_ready()


def test_key_in_query_is_refused(proxied: ProxiedSite) -> None:
    """Guards against a key accepted in the query, where other systems log it."""
    site = proxied.site
    key = site.key_by_team["guild"].text
    port = site.port_by_name["instance-0"]
    status, _, body = call(port, "POST", f"/deposits?key={key}", {"ref": "q"})
    assert status == 401 and b"key_misplaced" in body
    assert site.service_runs().get("q", 0) == 0
