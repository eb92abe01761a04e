"""R1, R2, R3: single loads and memory limits while real processes fail."""

from __future__ import annotations

import random
import signal
import time
from functools import partial
from pathlib import Path

import gevent

from siskinspool.manifest.model import Model, Team
from siskinspool.standins.site import POOL, SitePlan, TrialSite, wait_until

from .builders_machines import (
    DecidedLoads,
    RequestTraffic,
    owner_of,
    placement_owner,
    running_site,
    set_engine,
)

MODELS = tuple(f"m{number}" for number in range(10))
MEMORY_MIB = 1000
# An answer that starts before the deadline may end after it.
ANSWER_MARGIN_S = 5.0
DEADLINE_MS = 12_000
PLAN = SitePlan(
    servers=4,
    server_memory_mib=MEMORY_MIB,
    # The ramp starts with a tenth of it.
    server_capacity=40,
    # Two models fit on each engine, so that loads and unloads happen all the time.
    models=tuple(
        Model(id=name, pool=POOL, memory_mib=400, load_s=0.4) for name in MODELS
    ),
    adapters=(),
    teams=(Team(id="guild", rate=50_000, burst=100_000),),
    cold_limit=64,
    store_rate=8.0,
    session_ttl_s=5.0,
    session_renew_s=1.5,
)


def _call_random_model(load: RequestTraffic, rng: random.Random) -> None:
    """Call a model from a moving window, which causes loads and unloads."""
    offset = int(time.monotonic() / 1.5)
    models = [MODELS[(offset + number) % len(MODELS)] for number in range(5)]
    alive = [n for n, process in load.site.instance_by_id.items() if process.is_alive]
    instance, model = rng.choice(alive), rng.choice(models)
    load.send_model_request(instance, model, deadline_ms=DEADLINE_MS)


def _check_single_load_for_first_requests(site: TrialSite) -> None:
    load = RequestTraffic(site)
    for _ in range(10):
        for instance in site.instance_by_id:
            load.send_model_request(instance, MODELS[0], deadline_ms=DEADLINE_MS)
    load.finish(30)
    assert load.outcomes() == {"whole": 30}
    loads = [name for engine in site.engine_by_id for name in _loads(site, engine)]
    assert loads == [MODELS[0]]


def _loads(site: TrialSite, engine: str) -> list[str]:
    loads: list[str] = site.engine_observations(engine)["loads"]
    return loads


def _fail_engines(site: TrialSite) -> None:
    """Lose answers, stall loads and make engines of both kinds cold."""
    for engine in site.engine_by_id:
        set_engine(site, engine, lose_order_answers=2)
    gevent.sleep(2.0)
    for engine in ("engine-1", "engine-2"):
        set_engine(site, engine, turn_cold=True)
    set_engine(site, "engine-3", stall_loads=True)
    gevent.sleep(4.0)
    set_engine(site, "engine-3", stall_loads=False, turn_cold=True)


def _pause_owner_with_queued_orders(site: TrialSite) -> None:
    """Queue orders for paused engines, then pause their sender."""
    engines = [site.engine_by_id[name] for name in ("engine-0", "engine-1")]
    owner = placement_owner(site)
    for engine in engines:
        engine.signal(signal.SIGSTOP)
    gevent.sleep(1.0)
    site.instance_by_id[owner].signal(signal.SIGSTOP)
    for engine in engines:
        engine.signal(signal.SIGCONT)
    wait_until(lambda: _has_new_owner(site, owner), "a new owner decides", 15)
    gevent.sleep(3.0)
    site.instance_by_id[owner].signal(signal.SIGCONT)
    gevent.sleep(2.0)


def _kill_owner(site: TrialSite) -> None:
    owner = placement_owner(site)
    before = sum(len(_loads(site, engine)) for engine in site.engine_by_id)
    wait_until(
        lambda: sum(len(_loads(site, e)) for e in site.engine_by_id) > before,
        "a load starts",
        15,
    )
    site.instance_by_id[owner].kill()
    wait_until(lambda: _has_new_owner(site, owner), "a new owner decides", 15)
    gevent.sleep(3.0)


def _has_new_owner(site: TrialSite, former: str) -> bool:
    return owner_of(site, "placement/trial") not in ("", former)


def test_loads_and_memory_hold_when_owners_and_engines_fail(tmp_path: Path) -> None:
    """Guards R1, R2 and R3: loads without a decision, and overcommitted memory.

    Engines with an even number check fences, the others ignore them.
    """
    with running_site(PLAN, tmp_path) as site:
        decided = DecidedLoads(site)
        decided.start()
        _check_single_load_for_first_requests(site)
        load = RequestTraffic(site)
        load.send_every(0.1, partial(_call_random_model, load, random.Random(5)))
        _fail_engines(site)
        paused = {placement_owner(site)}
        _pause_owner_with_queued_orders(site)
        _kill_owner(site)
        load.finish(30)
        gevent.sleep(0.5)
        print(load.outcomes())
        for engine in site.engine_by_id:
            observed = site.engine_observations(engine)
            print(engine, len(observed.pop("loads")), observed)
        assert decided.undecided() == {}
        for engine in site.engine_by_id:
            # Includes the memory that refused orders requested.
            assert site.engine_observations(engine)["max_used_mib"] <= MEMORY_MIB, (
                engine
            )
            assert decided.highest_charge[engine] <= MEMORY_MIB
        killed = {
            n for n, process in site.instance_by_id.items() if not process.is_alive
        }
        for reply in load.replies:
            if reply.instance in killed and reply.status in (0, 200):
                continue
            assert reply.is_explained, (reply.outcome, reply.body[:300])
            if reply.instance not in paused | killed:
                took_s = reply.ended_at - reply.sent_at
                assert took_s <= DEADLINE_MS / 1000 + ANSWER_MARGIN_S, reply.outcome
        assert load.outcomes()["whole"] > len(load.replies) / 3
