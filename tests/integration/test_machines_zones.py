"""Test that closed zones and leaving servers get no new work after 5 s (R7, R11)."""

from __future__ import annotations

import itertools
import time
from functools import partial
from pathlib import Path

import attrs
import gevent

from siskinspool.manifest.model import Model, Team, ZoneState
from siskinspool.standins.processes import call_json
from siskinspool.standins.site import POOL, SitePlan, TrialSite, wait_until

from .builders_machines import RequestTraffic, running_site, set_proxy, wait_for_status

MAX_DELAY_S = 5.0
# Number of the last instance, which serves requests but loses the platform.
CUT_OFF = 2
STREAM_TOKENS = 60
PLAN = SitePlan(
    zones=("a", "b"),
    servers=2,
    server_capacity=40,
    cold_limit=4,
    models=(Model(id="quote", pool=POOL, memory_mib=400, load_s=0.3, max_replicas=2),),
    adapters=(),
    teams=(Team(id="guild", rate=50_000, burst=100_000),),
    token_s=0.05,
)


def _set_zone(site: TrialSite, zone_id: str, state: ZoneState) -> None:
    assert site.manifest is not None
    zones = tuple(
        attrs.evolve(zone, state=state) if zone.id == zone_id else zone
        for zone in site.manifest.zones
    )
    site.publish(attrs.evolve(site.manifest, zones=zones))


def _set_leaving_list(site: TrialSite, *servers: str) -> None:
    entries = [
        {"id": name, "kind": "server", "state": "leaving"} for name in servers
    ] + [
        {"id": name, "kind": "instance", "state": "live"}
        for name in site.instance_by_id
    ]
    call_json(site.platform.port, "POST", "/admin/instances", {"instances": entries})


def _requests(site: TrialSite, engine: str) -> int:
    return int(site.engine_observations(engine)["requests"])


def _has_served(site: TrialSite, engine: str, since: int, count: int = 5) -> bool:
    return _requests(site, engine) >= since + count


def _start_traffic(site: TrialSite) -> RequestTraffic:
    """Keep both engines and the queues of all instances busy."""
    traffic = RequestTraffic(site)
    names = itertools.cycle(site.instance_by_id)
    traffic.send_every(
        0.04,
        lambda: traffic.send_model_request(
            next(names), "quote", tokens=20, deadline_ms=9_000
        ),
    )
    return traffic


def _assert_no_new_work(traffic: RequestTraffic, engine: str, since: float) -> None:
    """Assert that an engine gets no request from 5 s after ``since`` on."""
    site = traffic.site
    gevent.sleep(max(0.0, since + MAX_DELAY_S - time.monotonic()))
    before = _requests(site, engine)
    gevent.sleep(3.0)
    assert _requests(site, engine) == before
    # The instance that is cut off must have been serving, or the test shows nothing.
    served = {
        r.instance
        for r in traffic.replies
        if r.is_complete and r.ended_at > since + MAX_DELAY_S
    }
    assert served == set(site.instance_by_id)


def _start_streams(site: TrialSite) -> RequestTraffic:
    """Start streams at all instances that take longer than the bound."""
    streams = RequestTraffic(site)
    for name in itertools.islice(itertools.cycle(site.instance_by_id), 12):
        streams.send_model_request(name, "quote", tokens=160, deadline_ms=30_000)
    gevent.sleep(0.5)
    return streams


def test_closed_zone_and_leaving_server_get_no_new_work(tmp_path: Path) -> None:
    """Guards against an instance that sends work to a closed zone or leaving server.

    One instance gets neither the manifest nor the list, but only heartbeats.
    """
    with running_site(PLAN, tmp_path, proxied=(CUT_OFF,)) as site:
        _set_leaving_list(site)
        traffic = _start_traffic(site)
        for engine in site.engine_by_id:
            wait_until(
                partial(_has_served, site, engine, 0, 20), f"{engine} serves", 40
            )
        streams = _start_streams(site)
        set_proxy(site, refuse=True, cut=True)
        closed_at = time.monotonic()
        _set_zone(site, "b", ZoneState.CLOSED)
        _assert_no_new_work(traffic, "engine-1", closed_at)
        assert _has_served(site, "engine-0", 0)
        # The zone is opened again and its server ramps up.
        before = _requests(site, "engine-1")
        _set_zone(site, "b", ZoneState.OPEN)
        wait_until(
            partial(_has_served, site, "engine-1", before), "the zone takes work", 15
        )
        # The platform is reachable again, or the session would end during the next cut.
        set_proxy(site, refuse=False)
        cut_off = site.instance_by_id[f"instance-{CUT_OFF}"]
        wait_for_status(cut_off, "/readyz", 200, 15)
        # Wait for the next renewal; the session must last longer than the next cut.
        gevent.sleep(PLAN.session_renew_s + 1.0)
        wait_until(
            partial(_has_served, site, "engine-0", _requests(site, "engine-0")),
            "work",
            5,
        )
        set_proxy(site, refuse=True, cut=True)
        listed_at = time.monotonic()
        _set_leaving_list(site, "engine-0")
        _assert_no_new_work(traffic, "engine-0", listed_at)
        before = _requests(site, "engine-0")
        set_proxy(site, refuse=False)
        _set_leaving_list(site)
        wait_until(partial(_has_served, site, "engine-0", before), "it takes work", 25)
        streams.finish(30)
        traffic.finish(40)
        print(streams.outcomes(), traffic.outcomes())
        print([site.engine_observations(e) for e in site.engine_by_id])
        assert streams.outcomes() == {"whole": 12}
        assert traffic.outcomes()["whole"] > len(traffic.replies) / 2
        assert all(reply.is_explained for reply in traffic.replies)
        assert all(site.engine_observations(e)["falls"] == 0 for e in site.engine_by_id)
