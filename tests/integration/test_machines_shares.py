"""A team's rate and burst hold across real processes that fail (R5)."""

from __future__ import annotations

import itertools
import signal
import time
from functools import partial
from pathlib import Path

import attrs
import gevent

from siskinspool.manifest.model import Manifest, Team
from siskinspool.standins.site import SitePlan, TrialSite, wait_until

from ..builders_shares import worst_burst
from .builders_machines import (
    RequestTraffic,
    charges,
    log_events,
    quota_owner,
    running_site,
    set_platform,
)

RATE, BURST, COST = 100.0, 300.0, 10
# Longer than a share's time to live outside outage mode.
OUTAGE_S = 13.0
# Together with the pause before the burst, this exceeds the time after which the
# allocator reclaims a silent holder's share.
FREEZE_S = 11.0
PLAN = SitePlan(
    servers=3,
    models=(),
    adapters=(),
    teams=(
        Team(id="flood", rate=RATE, burst=BURST),
        Team(id="mover", rate=RATE, burst=BURST),
    ),
    session_ttl_s=5.0,
    session_renew_s=1.5,
)
_numbers = itertools.count()


def _priced(manifest: Manifest) -> Manifest:
    routes = tuple(
        attrs.evolve(route, cost_tokens=COST) if route.id == "deposits" else route
        for route in manifest.routes
    )
    return attrs.evolve(manifest, routes=routes)


def _send(load: RequestTraffic, instance: str, team: str) -> None:
    load.send(instance, "/deposits", {"ref": f"r{next(_numbers)}"}, team)


def _move_below_the_rate(site: TrialSite) -> int:
    """Use 80% of the rate at one instance, then at another; count the refusals."""
    load = RequestTraffic(site)
    for instance in ("instance-0", "instance-1"):
        source = load.send_every(
            COST / (0.8 * RATE), partial(_send, load, instance, "mover")
        )
        gevent.sleep(2.0)
        source.kill()
    load.finish(10)
    return sum(reply.status != 200 for reply in load.replies)


def _send_twice_the_rate(load: RequestTraffic, instances: list[str]) -> None:
    """Send twice the rate at each instance."""
    for name in instances:
        load.send_every(COST / (2 * RATE), partial(_send, load, name, "flood"))


def _resume_into_a_burst(
    site: TrialSite, load: RequestTraffic, frozen: str, other: str
) -> None:
    """Let all reserves fill, then request more than the burst at both at once."""
    load.stop_sending()
    gevent.sleep(BURST / RATE + 0.5)
    for _ in range(20):
        # Connections wait in the backlog of the frozen process.
        _send(load, frozen, "flood")
    for _ in range(40):
        _send(load, other, "flood")
    gevent.sleep(0.1)
    site.instance_by_id[frozen].signal(signal.SIGCONT)
    _send_twice_the_rate(load, [frozen, other])
    gevent.sleep(2.0)


def test_bound_holds_when_the_allocator_dies_an_instance_freezes_and_an_outage_comes(
    tmp_path: Path,
) -> None:
    """Guards against shares that are allocated twice after a failure (R5, M4)."""
    with running_site(PLAN, tmp_path, _priced) as site:
        assert _move_below_the_rate(site) == 0, "refused within the rate"
        load = RequestTraffic(site)
        _send_twice_the_rate(load, sorted(site.instance_by_id))
        gevent.sleep(2.0)
        owner = quota_owner(site, "flood")
        frozen, other = [name for name in site.instance_by_id if name != owner]
        load.stop_sending()
        _send_twice_the_rate(load, [frozen])
        gevent.sleep(1.5)
        phases = [time.monotonic()]
        # A takeover while the frozen instance still holds a valid share.
        site.instance_by_id[frozen].signal(signal.SIGSTOP)
        site.instance_by_id[owner].kill()
        wait_until(
            lambda: quota_owner(site, "flood") == other, "a new quota allocator", 8
        )
        _resume_into_a_burst(site, load, frozen, other)
        phases.append(time.monotonic())
        # A freeze past the share's expiry, after which the allocator reclaims it.
        site.instance_by_id[frozen].signal(signal.SIGSTOP)
        gevent.sleep(FREEZE_S)
        _resume_into_a_burst(site, load, frozen, other)
        phases.append(time.monotonic())
        set_platform(site, down=True)
        gevent.sleep(OUTAGE_S)
        set_platform(site, down=False)
        _resume_into_a_burst(site, load, frozen, other)
        load.finish(30)
        trace = charges(site, "flood")
        starts = [*phases, time.monotonic()]
        spent = [
            sum(charge.tokens for charge in trace if since <= charge.at < until)
            for since, until in itertools.pairwise(starts)
        ]
        assert worst_burst(trace, RATE) <= BURST, spent
        # The bound must not be met by refusing everything: each phase serves the team.
        assert all(tokens > 0 for tokens in spent), spent
        spenders = {name for name, _ in log_events(site, "tokens_spent")}
        assert spenders == set(site.instance_by_id)
        print(spent, worst_burst(trace, RATE), load.outcomes())
