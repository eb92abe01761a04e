"""Test of a planned stop under load, which must not interrupt requests (R12)."""

from __future__ import annotations

import itertools
import signal
import time
from functools import partial
from pathlib import Path

import gevent

from siskinspool.standins.processes import call
from siskinspool.standins.site import SitePlan, TrialSite, wait_until

from .builders_machines import (
    RequestTraffic,
    owned_partitions,
    quota_owner,
    running_site,
    wait_for_status,
)

PLAN = SitePlan(token_s=0.05, cold_limit=64, server_capacity=40)
# Streams of 3 s keep the instance busy longer than the balancer's 2 s.
STREAM_TOKENS = 60
DEADLINE_MS = 20_000


def _submit_patient(site: TrialSite, instance: str, deadline_ms: int) -> str:
    """Submit a patient model request and return the path of its answer."""
    headers = {
        **site.authorization_header("guild"),
        "Content-Type": "application/json",
        "X-Siskin-Class": "patient",
        "X-Siskin-Deadline-Ms": str(deadline_ms),
    }
    body = {"model": "quote", "max_tokens": STREAM_TOKENS, "messages": []}
    port = site.instance_by_id[instance].port
    status, answer, data = call(port, "POST", "/v1/chat/completions", body, headers)
    assert status == 202, data
    return answer["location"]


def _is_answered(site: TrialSite, instance: str, path: str) -> bool:
    port = site.instance_by_id[instance].port
    status, _, data = call(
        port, "GET", path, headers=site.authorization_header("guild")
    )
    return status == 200 and b"choices" in data


def test_stop_under_streams_cuts_nothing(tmp_path: Path) -> None:
    """Guards against a stop that interrupts streams and patient requests (R12)."""
    with running_site(PLAN, tmp_path) as site:
        warm_up = RequestTraffic(site)
        warm_up.send_model_request("instance-0", "quote")
        warm_up.finish(20)
        assert warm_up.outcomes() == {"whole": 1}
        stopping = quota_owner(site, "guild")
        process = site.instance_by_id[stopping]
        others = sorted(set(site.instance_by_id) - {stopping})
        traffic = RequestTraffic(site)
        stopping_traffic = traffic.send_every(
            0.4,
            lambda: traffic.send_model_request(
                stopping, "quote", tokens=STREAM_TOKENS, deadline_ms=DEADLINE_MS
            ),
        )
        names = itertools.cycle(others)
        traffic.send_every(
            0.4, lambda: traffic.send_model_request(next(names), "quote")
        )
        patient = [
            _submit_patient(site, name, DEADLINE_MS) for name in (*others, stopping) * 3
        ]
        gevent.sleep(2.0)
        before = owned_partitions(site, stopping)
        stopped_at = time.monotonic()
        process.signal(signal.SIGTERM)
        ready_s = wait_for_status(process, "/readyz", 503, 1.0)
        assert process.is_alive
        # The balancer detects it within 2 s; calls arrive until then.
        gevent.sleep(1.5)
        stopping_traffic.kill()
        wait_until(lambda: not owned_partitions(site, stopping), "partitions move", 7.0)
        moved_s = time.monotonic() - stopped_at
        status = process.wait(2 + DEADLINE_MS / 1000 + 60)
        took_s = time.monotonic() - stopped_at
        assert status == 0
        owned = set().union(*(owned_partitions(site, name) for name in others))
        assert before <= owned
        traffic.finish(30)
        print(f"503 {ready_s:.2f} moved {moved_s:.2f} exit {took_s:.2f}")
        print(traffic.outcomes(), len(before))
        assert traffic.outcomes() == {"whole": len(traffic.replies)}
        for path in patient:
            wait_until(
                partial(_is_answered, site, others[0], path), f"{path} is done", 30
            )
