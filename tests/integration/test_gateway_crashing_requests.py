"""Real gateways and servers, with requests that crash each server that answers them."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from siskinspool.standins.gateway_site import Gateway, GatewaySite, wait_until
from siskinspool.standins.processes import Process

from .builders_gateway_site import (
    CRASHING_PART,
    gateway_site,
    prompt_headers,
    set_faults,
)

SERVER_COUNT = 8
REQUEST_COUNT = 12
# Crashes after which the rule on such requests applies.
ALLOWED_CRASHES = 5
MIN_FAILURE_STATUS = 500


@pytest.fixture
def site(tmp_path: Path) -> Iterator[GatewaySite]:
    with gateway_site(tmp_path) as made:
        yield made


def start_site(site: GatewaySite, **faults: object) -> list[Process]:
    """Start two gateways, and servers that all hold the model ``m0``."""
    names = [f"w{number}" for number in range(SERVER_COUNT)]
    servers = [site.add_server(name, "writers", "m0") for name in names]
    for server in servers:
        set_faults(server, crashing_part=CRASHING_PART, **faults)
    for name in ("g1", "g2"):
        site.add_gateway(name)
    site.wait_ready(*names)
    for gateway in site.gateways.values():
        wait_until(lambda gateway=gateway: gateway.knows_members("g1", "g2"))
    return servers


def send_crashing(gateway: Gateway, number: int) -> int:
    """Send a request with the crashing part; no two are alike."""
    headers = prompt_headers("first", CRASHING_PART, f"own-{number}")
    return gateway.send("POST", f"/quote/{number}", headers=headers)[0]


def send_sound(gateway: Gateway, number: int) -> int:
    """Send a request that shares its first part with the crashing ones."""
    headers = prompt_headers("first", f"own-sound-{number}")
    return gateway.send("POST", f"/quote/sound-{number}", headers=headers)[0]


@pytest.mark.parametrize("dies_silently", [False, True])
def test_crashing_part_ends_few_servers(site: GatewaySite, dies_silently: bool) -> None:
    """Guards against requests that crash one server after the other (BUDGET).

    They come at both gateways, while sound requests with the same first part are
    served.
    """
    servers = start_site(site, dies_silently=dies_silently)
    gateways = list(site.gateways.values())
    sound = []
    for number in range(REQUEST_COUNT):
        gateway = gateways[number % 2]
        assert send_crashing(gateway, number) >= MIN_FAILURE_STATUS
        sound.append(send_sound(gateways[(number + 1) % 2], number))
    crashed = [server for server in servers if not server.is_alive]
    assert len(crashed) <= ALLOWED_CRASHES
    assert sound == [200] * REQUEST_COUNT
