"""Real gateways of which none reaches any server."""

from __future__ import annotations

import statistics
import time
from collections.abc import Iterator
from pathlib import Path

import attrs
import gevent
import pytest

from siskinspool.standins.gateway_site import Gateway, GatewaySite, wait_until
from siskinspool.standins.partitioned_gateway import Form

from .builders_gateway_site import gateway_site, seen

# From this time after the beginning of a partition, it must be known.
CONTACT_S = 3.0
# Of the route ``r-status``.
TIMEOUT_S = 2.0
# A requester that is refused within this time can try again in time.
PROMPT_S = 0.3
# Callers must be served again so soon after the end of a partition.
RETURN_S = 1.5
CALL_INTERVAL_S = 0.1


@pytest.fixture
def site(tmp_path: Path) -> Iterator[GatewaySite]:
    with gateway_site(tmp_path) as made:
        made.partitionable = True
        yield made


@attrs.frozen
class Call:
    """A call, with what its caller got."""

    status: int
    headers: dict[str, str]
    duration_s: float


def call_for(gateway: Gateway, seconds: float) -> list[Call]:
    """Begin calls at a steady rate, of which many wait at once."""
    until = time.monotonic() + seconds
    calls = []
    while time.monotonic() < until:
        calls.append(gevent.spawn(call, gateway))
        gevent.sleep(CALL_INTERVAL_S)
    gevent.joinall(calls, raise_error=True)
    return [one.get() for one in calls]


def call(gateway: Gateway) -> Call:
    began_at = time.monotonic()
    status, headers, _ = gateway.send("GET", "/status/1")
    return Call(status, headers, time.monotonic() - began_at)


@pytest.mark.parametrize("form", [Form.HANG, Form.RESET])
def test_callers_are_refused_at_once_while_no_gateway_reaches_a_server(
    site: GatewaySite, form: Form
) -> None:
    """Guards against callers that wait until their deadline without a chance.

    They are told that the request has not run, and are served again soon after the
    partition has ended.
    """
    servers = [site.add_server(f"d{number}", "desk") for number in range(4)]
    gateways = [site.add_gateway(f"g{n}", zone) for n, zone in enumerate("ab")]
    site.wait_ready(*(f"d{number}" for number in range(4)))
    for gateway in gateways:
        wait_until(lambda gateway=gateway: gateway.knows_members("g0", "g1"))
        site.partition(gateway, form, servers)
    call_for(gateways[0], CONTACT_S)
    count = sum(len(seen(server)) for server in servers)
    calls = call_for(gateways[0], CONTACT_S)
    assert {one.status for one in calls} == {503}
    assert all(float(one.headers["retry-after"]) > 0 for one in calls)
    assert max(one.duration_s for one in calls) < TIMEOUT_S
    assert statistics.median(one.duration_s for one in calls) < PROMPT_S
    assert sum(len(seen(server)) for server in servers) == count
    for gateway in gateways:
        site.partition(gateway, None, ())
    gevent.sleep(RETURN_S)
    calls = call_for(gateways[0], 1.0)
    assert {one.status for one in calls} == {200}
    assert max(one.duration_s for one in calls) < PROMPT_S
