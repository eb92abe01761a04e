"""R7, R11: closed zones and leaving servers get no new work after 5 s."""

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

BOUND_S = 5.0
# Instances that take part in the load; the last one loses the platform.
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


def _list_leaving(site: TrialSite, *servers: str) -> None:
    entries = [
        {"id": name, "kind": "server", "state": "leaving"} for name in servers
    ] + [
        {"id": name, "kind": "instance", "state": "live"}
        for name in site.instance_by_id
    ]
    call_json(site.platform.port, "POST", "/admin/instances", {"instances": entries})


def _requests(site: TrialSite, engine: str) -> int:
    return int(site.observed(engine)["requests"])


def _serves(site: TrialSite, engine: str, since: int, count: int = 5) -> bool:
    return _requests(site, engine) >= since + count


def _start_load(site: TrialSite) -> RequestTraffic:
    """Keep both engines and the queues of all instances busy."""
    load = RequestTraffic(site)
    names = itertools.cycle(site.instance_by_id)
    load.send_every(
        0.04,
        lambda: load.send_model_request(
            next(names), "quote", tokens=20, deadline_ms=9_000
        ),
    )
    return load


def _assert_no_new_work(load: RequestTraffic, engine: str, since: float) -> None:
    """Count requests at an engine from 5 s after ``since`` on."""
    site = load.site
    gevent.sleep(max(0.0, since + BOUND_S - time.monotonic()))
    before = _requests(site, engine)
    gevent.sleep(3.0)
    assert _requests(site, engine) == before
    # Otherwise the instance that is cut off would prove nothing.
    served = {
        r.instance
        for r in load.replies
        if r.is_complete and r.ended_at > since + BOUND_S
    }
    assert served == set(site.instance_by_id)


def _start_streams(site: TrialSite) -> RequestTraffic:
    """Start streams at all instances that last longer than the bound."""
    streams = RequestTraffic(site)
    for name in itertools.islice(itertools.cycle(site.instance_by_id), 12):
        streams.send_model_request(name, "quote", tokens=160, deadline_ms=30_000)
    gevent.sleep(0.5)
    return streams


def test_closed_zone_and_leaving_server_get_no_new_work(tmp_path: Path) -> None:
    """Guards against an instance that sends to what is being taken away.

    One instance hears neither of the manifest nor of the list, only its neighbours.
    """
    with running_site(PLAN, tmp_path, proxied=(CUT_OFF,)) as site:
        _list_leaving(site)
        load = _start_load(site)
        for engine in site.engine_by_id:
            wait_until(partial(_serves, site, engine, 0, 20), f"{engine} serves", 40)
        streams = _start_streams(site)
        set_proxy(site, refuse=True, cut=True)
        closed_at = time.monotonic()
        _set_zone(site, "b", ZoneState.CLOSED)
        _assert_no_new_work(load, "engine-1", closed_at)
        assert _serves(site, "engine-0", 0)
        # The zone comes back and its server ramps.
        before = _requests(site, "engine-1")
        _set_zone(site, "b", ZoneState.OPEN)
        wait_until(
            partial(_serves, site, "engine-1", before), "the zone takes work", 15
        )
        # The session must not end during the next cut, so it begins anew.
        set_proxy(site, refuse=False)
        cut_off = site.instance_by_id[f"instance-{CUT_OFF}"]
        wait_for_status(cut_off, "/readyz", 200, 15)
        # The next renewal; the session must outlast the cut that follows.
        gevent.sleep(PLAN.session_renew_s + 1.0)
        wait_until(
            partial(_serves, site, "engine-0", _requests(site, "engine-0")), "work", 5
        )
        set_proxy(site, refuse=True, cut=True)
        listed_at = time.monotonic()
        _list_leaving(site, "engine-0")
        _assert_no_new_work(load, "engine-0", listed_at)
        before = _requests(site, "engine-0")
        set_proxy(site, refuse=False)
        _list_leaving(site)
        wait_until(partial(_serves, site, "engine-0", before), "it takes work", 25)
        streams.finish(30)
        load.finish(40)
        print(streams.outcomes(), load.outcomes())
        print([site.observed(e) for e in site.engine_by_id])
        assert streams.outcomes() == {"whole": 12}
        assert load.outcomes()["whole"] > len(load.replies) / 2
        assert all(reply.is_explained for reply in load.replies)
        assert all(site.observed(e)["falls"] == 0 for e in site.engine_by_id)
