"""Real gateways whose connections to servers are reset while prompts are under way."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest

from siskinspool.standins.gateway_site import Gateway, GatewaySite, wait_until
from siskinspool.standins.partitioned_gateway import Form
from siskinspool.standins.processes import Process

from .builders_gateway_site import gateway_site, prompt_headers, set_faults

# Long enough to reset connections before the first event, and to send another request
# before any prompt is known to have been served.
EVENT_S = 1.0
# A stream that is sent once more ends before its requester's deadline.
EVENT_COUNT = 3
STREAMS = 8
# Reports of a crash reach all gateways and are considered within this time.
EVIDENCE_S = 0.7


@pytest.fixture
def site(tmp_path: Path) -> Iterator[GatewaySite]:
    with gateway_site(tmp_path) as made:
        made.partitionable = True
        yield made


def send_streams(gateway: Gateway, name: str) -> list[gevent.Greenlet[..., int]]:
    """Begin streams that share a prompt part which nobody has served before.

    Their first parts differ, so that they go to different servers.
    """

    def send(number: int) -> int:
        headers = prompt_headers(f"{name}-{number}", "fresh", f"own-{name}-{number}")
        return gateway.send("POST", f"/quote/{number}", headers=headers)[0]

    return [gevent.spawn(send, number) for number in range(STREAMS)]


def start_site(site: GatewaySite) -> list[Process]:
    """Start three gateways and servers that answer slowly; return the servers."""
    servers = [site.add_server(f"w{number}", "writers", "m0") for number in range(4)]
    servers += [site.add_server(f"d{number}", "desk") for number in range(2)]
    gateways = [site.add_gateway(f"g{n}", zone) for n, zone in enumerate("aab")]
    site.wait_ready(*(f"w{number}" for number in range(4)), "d0", "d1")
    for gateway in gateways:
        wait_until(lambda gateway=gateway: gateway.knows_members("g0", "g1", "g2"))
    for server in servers[:4]:
        set_faults(server, event_s=EVENT_S, event_count=EVENT_COUNT)
    return servers


@pytest.mark.parametrize("resets_relay", [False, True])
def test_prompts_are_not_blamed_for_connections_that_a_partition_resets(
    site: GatewaySite, resets_relay: bool
) -> None:
    """Guards against sound prompts that all gateways refuse.

    The connections of one gateway are reset, or those of the gateways that relay its
    calls, while the servers are sound.
    """
    servers = start_site(site)
    first, second, third = site.gateways.values()
    partitioned = first
    if resets_relay:
        site.partition(first, Form.REFUSE, servers)
        wait_until(lambda: is_cut_off(first))
        partitioned = second
    streams = send_streams(first, "first")
    gevent.sleep(EVENT_S / 2)
    site.partition(partitioned, Form.RESET, servers)
    gevent.sleep(EVIDENCE_S)
    others = send_streams(third, "third")
    gevent.joinall(streams + others, raise_error=True)
    assert all(server.is_alive for server in servers)
    assert [one.get() for one in others] == [200] * STREAMS
    assert "event=crash_suspected" not in first.log()
    assert [one.get() for one in streams] == [200] * STREAMS


def is_cut_off(gateway: Gateway) -> bool:
    """Send a request and return whether the gateway knows that it is cut off."""
    gateway.send("GET", "/status/1")
    return bool(gateway.status()["relay"]["cut_off"])
