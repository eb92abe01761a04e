"""R6: a cold server is not overloaded by all instances together."""

from __future__ import annotations

import itertools
from functools import partial
from pathlib import Path

import gevent

from siskinspool.manifest.model import Model, Team
from siskinspool.standins.site import POOL, SitePlan, TrialSite, wait_until

from .builders_machines import RequestTraffic, running_site, set_engine

CAPACITY = 40
# Limit in the first step of the ramp: 10% of the capacity, for all instances together.
COLD_LIMIT = 4
PLAN = SitePlan(
    zones=("a",),
    servers=2,
    server_capacity=CAPACITY,
    cold_limit=COLD_LIMIT,
    models=(Model(id="quote", pool=POOL, memory_mib=400, load_s=0.3, max_replicas=2),),
    adapters=(),
    teams=(Team(id="guild", rate=50_000, burst=100_000),),
    # Long enough that several requests run at each engine at any time.
    token_s=0.05,
)


def _start_load(site: TrialSite) -> RequestTraffic:
    """Start a load of about ten times the cold limit, spread over all instances."""
    load = RequestTraffic(site)
    names = itertools.cycle(site.instance_by_id)
    load.send_every(
        0.02,
        lambda: load.send_model_request(
            next(names), "quote", tokens=8, deadline_ms=9_000
        ),
    )
    return load


def _served_count(load: RequestTraffic) -> int:
    return load.outcomes()["whole"]


def _assert_not_overloaded(site: TrialSite) -> None:
    for engine in site.engine_by_id:
        observed = site.engine_observations(engine)
        assert observed["falls"] == 0, observed
        assert observed["max_cold_running"] <= COLD_LIMIT, observed


def test_cold_engine_is_not_overloaded(tmp_path: Path) -> None:
    """Guards R6: an engine is overloaded after a start or after turning cold."""
    with running_site(PLAN, tmp_path) as site:
        load = _start_load(site)
        wait_until(partial(_has_served, load, 60), "a new engine serves calls", 20)
        _assert_not_overloaded(site)
        for engine in site.engine_by_id:
            before = _served_count(load)
            set_engine(site, engine, turn_cold=True)
            gevent.sleep(3.0)
            wait_until(
                partial(_has_served, load, before + 20),
                "the cold engine serves calls",
                15,
            )
        _assert_not_overloaded(site)
        # Requests on an engine may fail when it turns cold; all others are answered.
        load.finish(30)
        print(load.outcomes(), [site.engine_observations(e) for e in site.engine_by_id])
        _assert_not_overloaded(site)
        assert all(reply.is_explained for reply in load.replies)


def _has_served(load: RequestTraffic, count: int) -> bool:
    _assert_not_overloaded(load.site)
    return _served_count(load) >= count
