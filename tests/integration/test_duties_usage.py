"""Usage reports of real gateway processes to a stand-in of the platform."""

from __future__ import annotations

import os
import signal
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest

from siskinspool.standins.gateway_site import wait_until

from .builders_duties import (
    LEASE_S,
    DutySite,
    alternations_within,
    current_window,
    duty_site,
    epochs_never_fall,
    send_plain,
)

# A count per window is off by the requests that begin next to a boundary.
BOUNDARY_REQUESTS = 3
QUOTE = {"Model": "m0", "Token-Count": "100,20", "Prompt-Prefix": "p1:80,p2:20"}


@pytest.fixture(params=[True, False], ids=["fenced", "unfenced"])
def site(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[DutySite]:
    with duty_site(tmp_path, requires_epoch=request.param) as made:
        made.site.add_server("d1", "desk")
        made.site.add_server("w1", "writers", "m0")
        for name in ("g1", "g2"):
            made.add_gateway(name)
        made.site.wait_ready("d1", "w1")
        wait_until(lambda: made.holder() is not None)
        yield made


def test_counts_are_reported_for_each_window(site: DutySite) -> None:
    """Guards against lost, doubled or misplaced counts of both gateways."""
    gateways = list(site.site.gateways.values())
    gevent.sleep(1.5)
    sent = send_plain(gateways, 3.0, gevent.sleep)
    for gateway in gateways:
        assert gateway.send("POST", "/quote/a", headers=QUOTE)[0] == 200
    stream_windows = {current_window() - 1, current_window()}
    last = current_window()
    site.wait_reported(last)
    counts = site.counts_by_window()
    assert sorted(counts) == list(range(min(counts), max(counts) + 1))
    for window in sent.keys() - stream_windows:
        team_counts = counts[window].values()
        assert abs(sum(team_counts) - sent[window]) <= BOUNDARY_REQUESTS
    total = sum(sum(found.values()) for found in counts.values())
    assert total == sent.total() + 2


def test_killed_holder_is_replaced(site: DutySite) -> None:
    """Guards against lost windows, differing repeats and mixed holders."""
    # The windows in which the gateways started are decided late.
    wait_until(site.counts_by_window, 15.0)
    holder = site.holder()
    assert holder is not None
    sent = send_plain(site.site.gateways.values(), 2.5, gevent.sleep)
    os.kill(holder.popen.pid, signal.SIGKILL)
    holder.popen.wait(timeout=5)
    rest = [one for one in site.site.gateways.values() if one is not holder]
    sent += send_plain(rest, 1.0, gevent.sleep)
    last = current_window()
    site.wait_reported(last)
    counts = site.counts_by_window()
    assert sorted(counts) == list(range(min(counts), max(counts) + 1))
    total = sum(sum(found.values()) for found in counts.values())
    assert abs(total - sent.total()) <= 0.05 * sent.total()
    calls = site.executed("/usage")
    assert len({one["holder"] for one in calls}) == 2
    assert epochs_never_fall(calls)
    assert alternations_within(calls, LEASE_S) == 0
