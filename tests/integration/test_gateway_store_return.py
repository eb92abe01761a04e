"""Real gateways while the platform's store returns from an older copy."""

from __future__ import annotations

import base64
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest

from siskinspool.standins.gateway_site import Gateway, GatewaySite, wait_until
from siskinspool.standins.processes import call_json

from .builders_gateway_site import gateway_site, routes, seen, set_faults, site_config

# What the system writes until the return, so that the revisions go back.
WRITES_BEFORE_RETURN = 30
# As the users state: a desired state is in force within this time.
APPLY_S = 2.0


@pytest.fixture
def site(tmp_path: Path) -> Iterator[GatewaySite]:
    with gateway_site(tmp_path) as made:
        yield made


def started(site: GatewaySite, count: int = 3) -> list[Gateway]:
    """Return gateways that know a server of each service."""
    site.add_server("w1", "writers", "m0")
    site.add_server("d1", "desk")
    gateways = [site.add_gateway(f"g{number}") for number in range(count)]
    site.wait_ready("w1", "d1")
    names = [gateway.name for gateway in gateways]
    for gateway in gateways:
        wait_until(lambda gateway=gateway: gateway.knows_members(*names))
    wait_until(lambda: site.leader() is not None)
    return gateways


def write_much(site: GatewaySite) -> None:
    """Raise the store's revision, and wait until the gateways have heard of it."""
    for number in range(WRITES_BEFORE_RETURN):
        site.put("op/evacuate/nowhere", b"%d" % number)
    gevent.sleep(1.0)


def test_desired_state_after_a_return_is_in_force(site: GatewaySite) -> None:
    """Guards against a desired state that no gateway sees after the store's return.

    Its revision was given out before, to a write that the return has lost.
    """
    gateways = started(site)
    site.keep_store_copy()
    write_much(site)
    site.return_store()
    gevent.sleep(1.0)
    kept = [route for route in routes() if route["name"] != "r-status"]
    site.put("op/config", site_config(version=2, routes=kept))
    gevent.sleep(APPLY_S)
    for gateway in gateways:
        assert gateway.send("GET", "/status/1")[0] == 404


def test_desired_state_never_goes_back_with_the_store(site: GatewaySite) -> None:
    """Guards against an older version that is in force again until it is rewritten."""
    gateways = started(site)
    site.keep_store_copy()
    kept = [route for route in routes() if route["name"] != "r-status"]
    site.put("op/config", site_config(version=2, routes=kept))
    for gateway in gateways:
        wait_until(lambda gateway=gateway: gateway.send("GET", "/status/1")[0] == 404)
    site.return_store(rewrites=False)
    for _ in range(10):
        assert {one.send("GET", "/status/1")[0] for one in gateways} == {404}
        gevent.sleep(0.3)


def test_members_and_the_leader_survive_a_return(site: GatewaySite) -> None:
    """Guards against sessions without their keys, and epoch numbers given out twice."""
    site.keep_store_copy()
    gateways = started(site)
    leader = site.leader()
    assert leader is not None
    epoch = leader.status()["leadership"]["epoch"]
    site.return_store()
    gevent.sleep(1.0)
    names = [gateway.name for gateway in gateways]
    for gateway in gateways:
        wait_until(lambda gateway=gateway: gateway.knows_members(*names))
    wait_until(lambda: site.leader() is not None)
    successor = site.leader()
    assert successor is not None
    assert successor.status()["leadership"]["epoch"] > epoch


def test_gateway_that_starts_after_a_return_serves(site: GatewaySite) -> None:
    """Guards against a gateway that joins while the revisions are behind the old."""
    started(site, 2)
    site.keep_store_copy()
    write_much(site)
    site.return_store()
    late = site.add_gateway("late")
    site.wait_ready("w1", "d1")
    wait_until(lambda: late.knows_members("g0", "g1", "late"))
    assert late.send("GET", "/status/1")[0] == 200


def test_server_that_has_left_gets_nothing_after_a_return(site: GatewaySite) -> None:
    """Guards against a server that is ready again by an entry of the copy.

    It has left without being drained, and still serves.
    """
    gateways = started(site)
    leaving = site.add_server("d2", "desk")
    site.wait_ready("d1", "d2")
    site.keep_store_copy()
    set_faults(leaving, unregistered=True)

    def is_gone() -> bool:
        # The server's last write of its entry may still be under way.
        site.remove("servers/d2")
        return not any(gateway.knows_servers("d2") for gateway in gateways)

    wait_until(is_gone)
    before = len(seen(leaving))
    site.return_store(rewrites=False)
    for _ in range(30):
        for gateway in gateways:
            assert gateway.send("GET", "/status/1")[0] == 200
        gevent.sleep(0.1)
    assert len(seen(leaving)) == before


def test_server_whose_entry_is_written_again_late_is_used(site: GatewaySite) -> None:
    """Guards against a sound server that no gateway uses after a return.

    Its entry comes back as it was, when the gateways have already removed it.
    """
    gateways = started(site)
    site.keep_store_copy()
    site.add_server("d2", "desk")
    site.wait_ready("d1", "d2")
    set_faults(site.bench.process_by_name["d2"], unregistered=True)
    # A write that is under way.
    gevent.sleep(0.5)
    item = call_json(site.store.port, "GET", "/-/kv-key?key=servers/d2")
    site.return_store(rewrites=False)
    for gateway in gateways:
        wait_until(lambda gateway=gateway: not gateway.knows_servers("d2"))
    site.put("servers/d2", base64.b64decode(item["value"]))
    for gateway in gateways:
        wait_until(lambda gateway=gateway: gateway.knows_servers("d2"))
