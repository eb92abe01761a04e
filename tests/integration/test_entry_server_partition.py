"""Real entry instances that are partitioned from all servers, but from nothing else."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from functools import partial
from pathlib import Path

import pytest

from siskinspool.standins.partitioned_gateway import Form
from siskinspool.standins.site import SitePlan, TrialSite, wait_until

from .builders_site import ask, open_stream, run_concurrently, running_site

# As the users state: from this time after the beginning of a partition, callers are
# served at least this share as often there as elsewhere.
CONTACT_S = 3.0
LEAST_SHARE = 2 / 3
SERVED_FOR_S = 4.0
PLAN = SitePlan(
    zones=("a", "b"),
    servers=4,
    server_capacity=40,
    cold_limit=64,
    partitionable=True,
)
INSTANCES = range(PLAN.instances)
# The winners for the reports of three engines, and for the placement.
CUT_OFF = (1, 2)
REACHING = 0
# Takes 6 s; the stop of an idle instance takes 3 s.
STREAM_TOKENS = 1_200
CHAT = "/v1/chat/completions"
PROMPT = {"model": "quote", "max_tokens": 2, "messages": []}


def is_cut_off(site: TrialSite, instance: int) -> bool:
    """Return whether an instance has found out that it has no path to servers."""
    headers = {"Authorization": f"Bearer {PLAN.operator_token}"}
    reply = ask(site, instance, "GET", "/v1/status", team="", headers=headers)
    return bool(reply.document["tasks"]["relay"].get("cut_off"))


@pytest.fixture
def site(tmp_path: Path) -> Iterator[TrialSite]:
    with running_site(PLAN, tmp_path) as made:
        yield made


def is_served(site: TrialSite, instance: int, number: int) -> bool:
    """Send a call to a model or, every second time, to a plain service."""
    if number % 2:
        return ask(site, instance, "GET", f"/stock/{number}").status == 200
    reply = ask(site, instance, "POST", CHAT, PROMPT, deadline_ms=2_000)
    return reply.status == 200


def served_share(site: TrialSite, instance: int, until: float) -> float:
    """Return the share of first tries that an instance serves until a time."""
    results: list[bool] = []
    while time.monotonic() < until:
        results.append(is_served(site, instance, len(results)))
    return sum(results) / len(results)


def served_shares(site: TrialSite, for_s: float) -> list[float]:
    """Return the shares of first tries that the instances serve in a time."""
    until = time.monotonic() + for_s
    return run_concurrently(
        [partial(served_share, site, instance, until) for instance in INSTANCES]
    )


# The other forms differ in what happens to open connections, where both front ends use
# the same link; `test_gateway_server_partition` has them.
@pytest.mark.parametrize("form", [Form.HANG, Form.REFUSE])
def test_callers_are_served_while_instances_are_partitioned_from_servers(
    site: TrialSite, form: Form
) -> None:
    """Guards against an instance without paths to servers that refuses its callers.

    It also must not keep the others from the servers whose reports it distributes.
    """
    assert ask(site, 0, "POST", CHAT, PROMPT, deadline_ms=20_000).status == 200
    wait_until(lambda: min(served_shares(site, 1.0)) == 1, "all serve", 30.0)
    for instance in CUT_OFF:
        site.partition(f"instance-{instance}", form)
    served_shares(site, CONTACT_S)
    shares = served_shares(site, SERVED_FOR_S)
    assert shares[REACHING] > 1 / 2, shares
    for instance in CUT_OFF:
        assert shares[instance] >= LEAST_SHARE * shares[REACHING], shares
    # The placement has moved to an instance that can send orders.
    body = {**PROMPT, "model": "estimate"}
    for instance in CUT_OFF:
        reply = ask(site, instance, "POST", CHAT, body, deadline_ms=10_000)
        assert reply.status == 200, reply.body


def test_stop_of_a_relay_lets_its_stream_end(site: TrialSite) -> None:
    """Guards against a planned stop that cuts the calls of other instances."""
    assert ask(site, 0, "POST", CHAT, PROMPT, deadline_ms=20_000).status == 200
    wait_until(lambda: min(served_shares(site, 1.0)) == 1, "all serve", 30.0)
    for instance in CUT_OFF:
        site.partition(f"instance-{instance}", Form.HANG)
    wait_until(lambda: is_cut_off(site, CUT_OFF[0]), "the cut is in force", 5.0)
    stream = open_stream(site, CUT_OFF[0], "guild", "quote", STREAM_TOKENS)
    assert stream.status == 200
    relay = site.instance_by_id[f"instance-{REACHING}"]
    relay.signal(signal.SIGTERM)
    assert relay.wait(20.0) == 0
    wait_until(lambda: bool(stream.ended_at), "the stream ends", 10.0)
    assert stream.is_whole
