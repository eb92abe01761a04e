"""Streams at servers of several software versions, whose events don't fit together."""

from __future__ import annotations

import os
import signal
import socket
import time
from collections.abc import Iterator
from pathlib import Path

import attrs
import pytest
from geventhttpclient.response import HTTPParseError

from siskinspool.standins.gateway_site import (
    HOST,
    KEY,
    Answer,
    Gateway,
    GatewaySite,
    wait_until,
)
from siskinspool.standins.processes import Process

from .builders_gateway_site import gateway_site, pieces, seen, set_faults

WHOLE = [f"piece {number}" for number in range(1, 7)]
QUOTE = {"Model": "m0", "Token-Count": "100,20"}
# A refusal that comes at once.
AT_ONCE_S = 1.0
STREAMS = 8


@pytest.fixture
def site(tmp_path: Path) -> Iterator[GatewaySite]:
    with gateway_site(tmp_path) as made:
        yield made


@attrs.define
class MixedService:
    """A service with two servers of each of two versions."""

    servers_by_version: dict[str, list[Process]]

    def versions_of(self, request_id: str) -> set[str]:
        """Return the versions at which a request has run."""
        return {
            version
            for version, servers in self.servers_by_version.items()
            for server in servers
            if request_id in {request["id"] for request in seen(server)}
        }

    def set_faults(self, **faults: float) -> None:
        """Set faults of all servers."""
        for servers in self.servers_by_version.values():
            for server in servers:
                set_faults(server, **faults)


def mixed_service(site: GatewaySite) -> MixedService:
    """Start two servers of each of two versions."""
    return MixedService(
        {
            version: [
                site.add_server(
                    f"{version}-{number}", "writers", "m0", software_version=version
                )
                for number in range(2)
            ]
            for version in ("v1", "v1.1")
        }
    )


def wait_for_service(site: GatewaySite) -> None:
    """Wait until all gateways know all servers and each other."""
    site.wait_ready("v1-0", "v1-1", "v1.1-0", "v1.1-1")
    for gateway in site.gateways.values():
        wait_until(lambda one=gateway: one.knows_members(*site.gateways))


def prompt(number: int) -> dict[str, str]:
    """Return the headers of a request; different prompts go to different servers."""
    return QUOTE | {"Prompt-Prefix": f"q{number}:80"}


def begin_stream(gateway: Gateway, request_id: str, number: int) -> None:
    """Receive two events of a stream, and close the connection."""
    headers = prompt(number) | {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": "5000",
        "Authorization": f"Bearer {KEY}",
    }
    lines = "".join(f"{name}: {text}\r\n" for name, text in headers.items())
    with socket.create_connection(("127.0.0.1", gateway.front), timeout=5) as sock:
        sock.sendall(f"POST /quote/a HTTP/1.1\r\n{lines}\r\n".encode())
        received = b""
        while b"piece 2\n\n" not in received:
            block = sock.recv(4096)
            assert block, received
            received += block


def site_with_streams(site: GatewaySite) -> tuple[MixedService, Gateway, Gateway]:
    """Return a service, the gateway that has begun streams, and another one."""
    service = mixed_service(site)
    first, other = site.add_gateway("g1"), site.add_gateway("g2")
    wait_for_service(site)
    service.set_faults(event_s=0.1)
    for number in range(STREAMS):
        begin_stream(first, f"first{number}", number)
    return service, first, other


def take_up(gateway: Gateway, request_id: str, begun_id: str, number: int) -> Answer:
    """Take a stream up after its second event."""
    headers = prompt(number) | {
        "Request-Id": request_id,
        "Last-Event-Id": "2",
        "Resumes": begun_id,
    }
    return gateway.send("POST", "/quote/a", headers=headers)


def take_up_all(gateway: Gateway, service: MixedService) -> int:
    """Take up the streams that were begun; return how many went on.

    One server of each version is full, so streams cannot all go on where they began.
    """
    for servers in service.servers_by_version.values():
        set_faults(servers[0], full=True)
    gone_on = 0
    for number in range(STREAMS):
        status, _, body = take_up(gateway, f"later{number}", f"first{number}", number)
        assert status in (200, 503)
        begun_at = service.versions_of(f"first{number}")
        assert service.versions_of(f"later{number}") in (set(), begun_at)
        if status == 200:
            assert pieces(body) == WHOLE[2:]
            gone_on += 1
    return gone_on


def kill_all(site: GatewaySite) -> None:
    """Kill all gateways at once, and start them again."""
    for gateway in site.gateways.values():
        os.kill(gateway.popen.pid, signal.SIGKILL)
    for gateway in site.gateways.values():
        gateway.popen.wait(timeout=5)
        settings = site.folder / f"{gateway.name}.toml"
        text = settings.read_text(encoding="utf-8")
        settings.write_text(text.replace("bootstrap = true", "bootstrap = false"))
        site.start_gateway(gateway)


def test_stream_does_not_go_on_at_another_version(site: GatewaySite) -> None:
    """Guards against an answer whose events are of two software versions."""
    service = mixed_service(site)
    gateway = site.add_gateway("g1")
    wait_for_service(site)
    for servers in service.servers_by_version.values():
        set_faults(servers[0], cut_after=2)
    for number in range(STREAMS):
        headers = prompt(number) | {"Request-Id": f"r{number}"}
        status, _, body = gateway.send("POST", "/quote/a", headers=headers)
        assert (status, pieces(body)) == (200, WHOLE)
        assert len(service.versions_of(f"r{number}")) == 1


def test_stream_whose_version_is_gone_is_cut(site: GatewaySite) -> None:
    """Guards against an answer that is completed by another software version."""
    old = site.add_server("v1-0", "writers", "m0")
    gateway = site.add_gateway("g1")
    site.wait_ready("v1-0")
    new = site.add_server("v1.1-0", "writers", "m0", software_version="v1.1")
    site.wait_ready("v1-0", "v1.1-0")
    set_faults(old, cut_after=2)
    began_at_old = 0
    for number in range(STREAMS):
        request_id = f"r{number}"
        headers = prompt(number) | {"Request-Id": request_id}
        try:
            gateway.send("POST", "/quote/a", headers=headers)
        except HTTPParseError:
            began_at_old += 1
        ran_at = {
            request["id"]
            for request in seen(new)
            if "last-event-id" in request["headers"]
        }
        assert request_id not in ran_at
    assert began_at_old > 0


def test_stream_taken_up_at_another_gateway_goes_on_at_its_version(
    site: GatewaySite,
) -> None:
    """Guards against streams that requesters join from two software versions."""
    service, first, other = site_with_streams(site)
    os.kill(first.popen.pid, signal.SIGKILL)
    assert take_up_all(other, service) >= STREAMS / 2


def test_streams_go_on_at_their_version_after_all_gateways_were_killed(
    site: GatewaySite,
) -> None:
    """Guards against streams that are joined because nobody knows how they began."""
    service, _, other = site_with_streams(site)
    # What the last second brought may be lost.
    time.sleep(1.0)
    kill_all(site)
    wait_for_service(site)
    assert take_up_all(other, service) >= STREAMS / 2


def test_old_version_that_has_just_left_is_known_after_a_kill(
    site: GatewaySite,
) -> None:
    """Guards against a gateway that sees one version and takes it for the only one."""
    old = site.add_server("v1-0", "writers", "m0")
    gateway = site.add_gateway("g1")
    site.wait_ready("v1-0")
    set_faults(old, event_s=0.1)
    begin_stream(gateway, "first", 0)
    new = site.add_server("v1.1-0", "writers", "m0", software_version="v1.1")
    site.wait_ready("v1-0", "v1.1-0")
    os.kill(old.popen.pid, signal.SIGKILL)
    site.remove("servers/v1-0")
    kill_all(site)
    site.wait_ready("v1.1-0")
    status, _, _ = take_up(gateway, "later", "first", 0)
    assert status == 503
    assert seen(new) == []


def test_stream_that_nobody_knows_is_refused_at_once(site: GatewaySite) -> None:
    """Guards against a stream that is joined by guess, and against a long wait."""
    service = mixed_service(site)
    gateway = site.add_gateway("g1")
    wait_for_service(site)
    started_at = time.monotonic()
    status, headers, _ = take_up(gateway, "later", "unknown", 0)
    assert (status, "retry-after" in headers) == (503, True)
    assert time.monotonic() - started_at < AT_ONCE_S
    assert service.versions_of("later") == set()


def test_any_stream_is_taken_up_where_one_version_serves(site: GatewaySite) -> None:
    """Guards against refusals where nothing can be joined wrongly."""
    site.add_server("v1-0", "writers", "m0")
    gateway = site.add_gateway("g1")
    site.wait_ready("v1-0")
    status, _, body = take_up(gateway, "later", "first", 0)
    assert (status, pieces(body)) == (200, WHOLE[2:])
