"""Real gateway processes and servers that state that they leave or pause."""

from __future__ import annotations

import time
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest

from siskinspool.standins.gateway_site import Gateway, GatewaySite, wait_until
from siskinspool.standins.processes import Process, call_json

from .builders_gateway_site import (
    gateway_site,
    pieces,
    prompt_headers,
    routes,
    seen,
    set_faults,
    site_config,
)

# Requests under way when a server states a signal may arrive for this long.
UNDER_WAY_S = 0.5
EVENT_COUNT = 6


@pytest.fixture
def site(tmp_path: Path) -> Iterator[GatewaySite]:
    with gateway_site(tmp_path) as made:
        yield made


def arrivals(server: Process, since: float, until: float) -> list[str]:
    """Return the paths of all requests that reached a server in a time."""
    found = call_json(server.port, "GET", "/admin/seen")["arrivals"]
    return [one["path"] for one in found if since < one["at"] < until]


def send_for(gateway: Gateway, seconds: float, path: str = "/status/1") -> list[int]:
    """Send requests at a steady rate, of which many wait at once."""
    until = time.monotonic() + seconds
    sent = []
    while time.monotonic() < until:
        sent.append(gevent.spawn(gateway.send, "GET", path))
        gevent.sleep(0.02)
    gevent.joinall(sent, timeout=10)
    return [one.get()[0] for one in sent]


def test_server_that_says_it_is_leaving_gets_nothing(site: GatewaySite) -> None:
    """Guards against requests for a leaving server while the store is down.

    Its registry entry says ready, and nothing else tells the gateway.
    """
    leaving = site.add_server("d1", "desk")
    site.add_server("d2", "desk")
    gateway = site.add_gateway("g1")
    site.wait_ready("d1", "d2")
    site.store_faults(down=True)
    set_faults(leaving, leaving=True)
    send_for(gateway, 0.5)
    assert len(seen(leaving)) > 0
    told_at = time.monotonic()
    assert set(send_for(gateway, 1.0)) == {200}
    assert arrivals(leaving, told_at, time.monotonic()) == []
    assert "event=server_leaving server=d1" in gateway.log()


def test_head_of_a_stream_says_that_a_server_is_leaving(site: GatewaySite) -> None:
    """Guards against new requests until a long stream of a leaving server has ended.

    The stream itself goes on undisturbed.
    """
    servers = [site.add_server(name, "writers", "m0") for name in ("w1", "w2")]
    gateway = site.add_gateway("g1")
    site.wait_ready("w1", "w2")
    for server in servers:
        set_faults(server, leaving=True, event_s=0.3)
    headers = prompt_headers("p1", "p2")
    streams = [gevent.spawn(gateway.send, "POST", "/quote/a", b"", headers)]
    gevent.sleep(0.6)
    streams.append(gevent.spawn(gateway.send, "POST", "/quote/a", b"", headers))
    gevent.joinall(streams, timeout=10)
    for stream in streams:
        status, _, body = stream.get()
        assert (status, len(pieces(body))) == (200, EVENT_COUNT)
    assert [len(seen(server)) for server in servers] == [1, 1]


def test_paused_server_gets_no_request(site: GatewaySite) -> None:
    """Guards against waiting and repeated requests that reach a paused server."""
    paused = site.add_server("d1", "desk")
    gateway = site.add_gateway("g1")
    site.wait_ready("d1")
    assert gateway.send("GET", "/status/1")[0] == 200
    set_faults(paused, retry_after="1.5")
    told_at = time.monotonic()
    sending = gevent.spawn(send_for, gateway, 2.5)
    gevent.sleep(0.3)
    set_faults(paused, retry_after="")
    statuses = sending.get()
    until = told_at + 1.5
    assert len(arrivals(paused, told_at + UNDER_WAY_S, until)) <= 2
    # The rest waited for the end of the pause.
    assert 200 in statuses
    assert gateway.send("GET", "/status/1")[0] == 200
    assert "event=server_paused server=d1" in gateway.log()


def test_request_that_cannot_wait_for_a_pause_is_refused_at_once(
    site: GatewaySite,
) -> None:
    """Guards against requests held until their deadline without a chance."""
    paused = site.add_server("d1", "desk")
    gateway = site.add_gateway("g1")
    site.wait_ready("d1")
    set_faults(paused, retry_after="5")
    began_at = time.monotonic()
    for _ in range(3):
        status, headers, _ = gateway.send("GET", "/status/1")
        assert status == 503
        assert 3.0 < float(headers["retry-after"]) < 6.0
    assert time.monotonic() - began_at < 1.0
    assert len(seen(paused)) == 0
    assert 'detail="its servers were paused"' in gateway.log()


def test_paused_server_gets_no_orders(site: GatewaySite) -> None:
    """Guards against orders and reads of reports that reach a paused server."""
    paused = site.add_server("w1", "writers", "m0")
    gateway = site.add_gateway("g1")
    site.wait_ready("w1")
    wait_until(lambda: site.leader() is not None)
    headers = prompt_headers("p1", "p2")
    assert gateway.send("POST", "/quote/a", b"", headers)[0] == 200
    set_faults(paused, retry_after="1.8")
    told_at = time.monotonic()
    names = ["m0", "m1", "m2", "m1", "m2"]
    sent = [
        gevent.spawn(gateway.send, "POST", "/quote/a", b"", headers | {"Model": name})
        for name in names
    ]
    gevent.sleep(0.1)
    set_faults(paused, retry_after="")
    gevent.joinall(sent, timeout=10)
    found = arrivals(paused, told_at + UNDER_WAY_S, told_at + 1.8)
    assert len(found) <= 2, found
    later = arrivals(paused, told_at + 1.8, time.monotonic())
    assert "/-/order" in later


def test_service_is_back_soon_after_all_servers_were_paused(site: GatewaySite) -> None:
    """Guards against a queue that stays refused after its servers are free."""
    patient = [route | {"timeout_ms": 8000} for route in routes()]
    site.put("op/config", site_config(2, routes=patient))
    servers = [site.add_server(name, "desk") for name in ("d1", "d2")]
    gateway = site.add_gateway("g1")
    site.wait_ready("d1", "d2")
    for server in servers:
        set_faults(server, retry_after="1.0")
    gateway.send("GET", "/status/1", headers={"Deadline-Ms": "300"})
    for server in servers:
        set_faults(server, retry_after="")
    free_at = time.monotonic() + 1.0
    waiting = [
        gevent.spawn(gateway.send, "GET", "/status/1", b"", {"Deadline-Ms": "8000"})
        for _ in range(40)
    ]
    gevent.joinall(waiting, timeout=10)
    assert [one.get()[0] for one in waiting] == [200] * 40
    assert time.monotonic() < free_at + 1.5
