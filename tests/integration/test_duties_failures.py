"""Usage reports while holders, the store or the platform fail."""

from __future__ import annotations

import os
import signal
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import gevent
import pytest

from siskinspool.standins.gateway_site import Gateway, wait_until
from siskinspool.standins.processes import Process, call_json

from .builders_duties import (
    LEASE_S,
    DutySite,
    alternations_within,
    current_window,
    duty_site,
    epochs_never_fall,
    send_plain,
)

# Calls that arrive within this time after a thaw or the end of a partition are allowed.
THAW_S = 0.3
NAMES = ("g1", "g2", "g3")


BOTH = pytest.mark.parametrize(
    "site", [True, False], ids=["fenced", "unfenced"], indirect=True
)
FENCED = pytest.mark.parametrize("site", [True], ids=["fenced"], indirect=True)
UNFENCED = pytest.mark.parametrize("site", [False], ids=["unfenced"], indirect=True)


@pytest.fixture
def site(tmp_path: Path, request: pytest.FixtureRequest) -> Iterator[DutySite]:
    with duty_site(tmp_path, requires_epoch=request.param) as made:
        made.site.add_server("d1", "desk")
        yield made


def start_gateways(site: DutySite) -> dict[str, Process]:
    """Start gateways that reach the store through a proxy each; return the proxies."""
    proxy_by_name = {}
    for name in NAMES:
        proxy = site.site.bench.start(
            f"proxy-{name}",
            "siskinspool.standins.fault_proxy",
            "--target-port",
            str(site.site.store.port),
        )
        proxy_by_name[name] = proxy
        site.add_gateway(name, store_port=proxy.port)
    site.site.wait_ready("d1")
    # The windows in which the gateways started are decided late.
    wait_until(site.counts_by_window, 15.0)
    return proxy_by_name


def holder_of(site: DutySite) -> Gateway:
    """Return the holder."""
    holder = site.holder()
    assert holder is not None
    return holder


def check_reports(site: DutySite, sent: Counter[int]) -> None:
    """Wait for the reports of all windows so far and check their order and counts."""
    site.wait_reported(current_window(), timeout_s=30.0)
    counts = site.counts_by_window()
    windows = list(
        dict.fromkeys(one["decoded"]["window_id"] for one in site.executed("/usage"))
    )
    assert windows == list(range(min(counts), max(counts) + 1))
    total = sum(sum(found.values()) for found in counts.values())
    assert abs(total - sent.total()) <= 0.05 * sent.total()


def check_holders(site: DutySite, resumed_at: float) -> None:
    """Check the calls of successive holders, without those of a resumed one."""
    calls = [
        one
        for one in site.executed("/usage")
        if not 0 <= one["arrived_at"] - resumed_at < THAW_S
    ]
    assert epochs_never_fall(calls)
    assert alternations_within(calls, LEASE_S) == 0


@BOTH
def test_frozen_holder_does_not_act_on_its_old_term(site: DutySite) -> None:
    """Guards against calls of a holder that was replaced while it was frozen."""
    start_gateways(site)
    frozen = holder_of(site)
    others = [one for one in site.site.gateways.values() if one is not frozen]
    sent = send_plain(site.site.gateways.values(), 2.0, gevent.sleep)
    os.kill(frozen.popen.pid, signal.SIGSTOP)
    try:
        sent += send_plain(others, 9.0, gevent.sleep)
    finally:
        os.kill(frozen.popen.pid, signal.SIGCONT)
    resumed_at = time.monotonic()
    gevent.sleep(2.0)
    check_reports(site, sent)
    check_holders(site, resumed_at)
    assert len({one["holder"] for one in site.executed("/usage")}) == 2


@BOTH
def test_holder_cut_off_from_the_store_stops(site: DutySite) -> None:
    """Guards against two holders that act at the same time."""
    proxies = start_gateways(site)
    cut_off = holder_of(site)
    admin = int(proxies[cut_off.name].ready_message["admin_port"])
    sent = send_plain(site.site.gateways.values(), 2.0, gevent.sleep)
    call_json(admin, "POST", "/admin/faults", {"freeze": True})
    sent += send_plain(site.site.gateways.values(), 9.0, gevent.sleep)
    call_json(admin, "POST", "/admin/faults", {"freeze": False})
    resumed_at = time.monotonic()
    gevent.sleep(2.0)
    check_reports(site, sent)
    check_holders(site, resumed_at)
    assert len({one["holder"] for one in site.executed("/usage")}) == 2


@UNFENCED
def test_platform_that_loses_and_delays_calls(site: DutySite) -> None:
    """Guards against skipped, reordered or differing reports after unclear answers."""
    start_gateways(site)
    gateways = list(site.site.gateways.values())
    sent = send_plain(gateways, 1.5, gevent.sleep)
    site.set_faults(lose_answers=2, too_many=1)
    sent += send_plain(gateways, 2.0, gevent.sleep)
    site.set_faults(late_calls=3, late_s=2.5)
    sent += send_plain(gateways, 2.0, gevent.sleep)
    site.set_faults(down=True)
    sent += send_plain(gateways, 3.0, gevent.sleep)
    site.set_faults(down=False, delay_s=0.5)
    site.wait_reported(current_window(), timeout_s=30.0)
    counts = site.counts_by_window()
    assert sorted(counts) == list(range(min(counts), max(counts) + 1))
    total = sum(sum(found.values()) for found in counts.values())
    assert total == sent.total()


@FENCED
def test_no_window_is_decided_while_the_store_is_down(site: DutySite) -> None:
    """Guards against counts that no later holder knows, and against a lost backlog."""
    start_gateways(site)
    gateways = list(site.site.gateways.values())
    sent = send_plain(gateways, 2.0, gevent.sleep)
    site.site.store_faults(down=True)
    down_at = current_window()
    sent += send_plain(gateways, 8.0, gevent.sleep)
    assert max(site.counts_by_window()) <= down_at
    site.site.store_faults(down=False)
    check_reports(site, sent)
