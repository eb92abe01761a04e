"""Real gateways that are partitioned from all servers, but from nothing else."""

from __future__ import annotations

import itertools
import time
from collections.abc import Iterator
from pathlib import Path

import attrs
import gevent
import pytest

from siskinspool.standins.gateway_site import Gateway, GatewaySite, wait_until
from siskinspool.standins.partitioned_gateway import Form
from siskinspool.standins.processes import Process

from .builders_gateway_site import gateway_site, prompt_headers

# As the users state: from this time after the beginning of a partition, callers are
# served at least this share as often there as elsewhere.
CONTACT_S = 3.0
LEAST_SHARE = 2 / 3
CALLERS_PER_GATEWAY = 4
SERVED_FOR_S = 4.0
# The partition is known after CONTACT_S, a successor waits for 3 s (`lease_ms`), and
# each request that is refused before has waited for 2.5 s.
HAND_OVER_S = 10.0
# Of the model ``m0``.
ADAPTER_COUNT = 4


@pytest.fixture
def site(tmp_path: Path) -> Iterator[GatewaySite]:
    with gateway_site(tmp_path) as made:
        made.partitionable = True
        yield made


@attrs.define
class FirstTries:
    """Requests without a repeat at some gateways, and how many were served."""

    sent: int = 0
    served: int = 0

    @property
    def share(self) -> float:
        return self.served / max(self.sent, 1)


def start_site(site: GatewaySite) -> list[Process]:
    """Start three gateways in two zones and four servers; return the servers."""
    servers = [site.add_server(f"w{number}", "writers", "m0") for number in (1, 2)]
    servers += [site.add_server(f"d{number}", "desk") for number in (1, 2)]
    gateways = [site.add_gateway(f"g{n}", zone) for n, zone in enumerate("aab")]
    site.wait_ready("w1", "w2", "d1", "d2")
    names = [gateway.name for gateway in gateways]
    for gateway in gateways:
        wait_until(lambda gateway=gateway: gateway.knows_members(*names))
    return servers


def call_for(gateway: Gateway, until: float, tries: FirstTries, number: int) -> None:
    """Send plain requests and streams in turn until a time."""
    for count in itertools.count():
        if time.monotonic() >= until:
            return
        target = f"{number}-{count}"
        if count % 2:
            answer = gateway.send("GET", f"/status/{target}")
        else:
            headers = prompt_headers("shared", f"own-{target}")
            answer = gateway.send("POST", f"/quote/{target}", headers=headers)
        tries.sent += 1
        tries.served += answer[0] == 200


def first_tries(gateways: list[Gateway], for_s: float) -> dict[str, FirstTries]:
    """Return the first tries at each gateway for a time."""
    tries_by_name = {gateway.name: FirstTries() for gateway in gateways}
    until = time.monotonic() + for_s
    callers = [
        gevent.spawn(call_for, gateway, until, tries_by_name[gateway.name], number)
        for gateway in gateways
        for number in range(CALLERS_PER_GATEWAY)
    ]
    gevent.joinall(callers, raise_error=True)
    return tries_by_name


@pytest.mark.parametrize("form", list(Form))
def test_callers_are_served_while_a_zone_is_partitioned_from_servers(
    site: GatewaySite, form: Form
) -> None:
    """Guards against callers that are refused because one gateway has lost its links.

    Both gateways of a zone are cut off; the one of the other zone reaches the servers.
    """
    servers = start_site(site)
    gateways = list(site.gateways.values())
    cut_off = gateways[:2]
    first_tries(gateways, 0.5)
    for gateway in cut_off:
        site.partition(gateway, form, servers)
    first_tries(gateways, CONTACT_S)
    tries_by_name = first_tries(gateways, SERVED_FOR_S)
    least = LEAST_SHARE * tries_by_name["g2"].share
    assert tries_by_name["g2"].served > 0
    for gateway in cut_off:
        assert tries_by_name[gateway.name].share >= least, tries_by_name


def test_leader_that_reaches_no_server_hands_over(site: GatewaySite) -> None:
    """Guards against adapters that nobody loads while an idle leader is partitioned.

    The leader gets no requests of its own, so only its reads and orders fail.
    """
    servers = [site.add_server(f"w{number}", "writers", "m0") for number in range(3)]
    gateways = [site.add_gateway(f"g{n}", zone) for n, zone in enumerate("ab")]
    site.wait_ready("w0", "w1", "w2")
    for gateway in gateways:
        wait_until(lambda gateway=gateway: gateway.knows_members("g0", "g1"))
    wait_until(lambda: site.leader() is not None)
    leader = site.leader()
    assert leader is not None
    (other,) = (gateway for gateway in gateways if gateway is not leader)
    site.partition(leader, Form.HANG, servers)
    adapters = itertools.cycle(f"a{number}" for number in range(1, ADAPTER_COUNT + 1))

    def is_loaded_by_other() -> bool:
        # The old leader may load one more before the partition is in force.
        return is_served(other, next(adapters)) and site.leader() is other

    wait_until(is_loaded_by_other, HAND_OVER_S)


def is_served(gateway: Gateway, adapter: str) -> bool:
    """Return whether a prompt for an adapter is served."""
    headers = prompt_headers("p1", "p2") | {"Model": f"m0/{adapter}"}
    return gateway.send("POST", "/quote/1", headers=headers)[0] == 200
