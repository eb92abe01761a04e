"""Orders of the numbers of servers by real gateway processes."""

from __future__ import annotations

import os
import signal
from pathlib import Path
from typing import Any

import gevent

from siskinspool.standins.gateway_site import wait_until

from .builders_duties import (
    LEASE_S,
    DutySite,
    alternations_within,
    duty_site,
    epochs_never_fall,
)
from .builders_gateway_site import site_config

RANGE = {"min": 1, "max": 4, "boot_s": 2.0}


def scaled_config(version: int) -> dict[str, Any]:
    """Return the desired state with a range for the plain service."""
    document = site_config(version)
    for service in document["services"]:
        if service["name"] == "desk":
            service["autoscale"] = RANGE
    return document


def last_orders(site: DutySite) -> dict[str, int]:
    """Return the last executed number of each zone."""
    return {
        one["decoded"]["zone"]: one["decoded"]["desired"]
        for one in site.executed("/scale")
    }


def test_orders_follow_work_and_zones(tmp_path: Path) -> None:
    """Guards against a zone that is evacuated and still given servers."""
    with duty_site(tmp_path, duties=("scale",)) as site:
        site.site.put("op/config", scaled_config(2))
        site.site.add_server("d1", "desk", zone="a")
        site.site.add_server("d2", "desk", zone="b")
        site.add_gateway("g1", zone="a")
        site.add_gateway("g2", zone="b")
        site.site.wait_ready("d1", "d2")
        wait_until(lambda: last_orders(site) == {"a": 1, "b": 1}, 20.0)
        site.site.put("op/evacuate/b", b"1")
        wait_until(lambda: last_orders(site) == {"a": 2, "b": 1}, 10.0)
        gevent.sleep(1.0)
        for one in site.executed("/scale"):
            assert RANGE["min"] <= one["decoded"]["desired"] <= RANGE["max"]


def test_killed_holder_is_replaced_without_mixed_orders(tmp_path: Path) -> None:
    """Guards against orders of two holders for one zone next to each other."""
    with duty_site(tmp_path, duties=("scale",), requires_epoch=False) as site:
        site.site.put("op/config", scaled_config(2))
        site.site.add_server("d1", "desk", zone="a")
        gateways = [site.add_gateway(name, zone="a") for name in ("g1", "g2")]
        site.site.wait_ready("d1")
        site.set_faults(late_calls=1, late_s=2.0, lose_answers=1)
        wait_until(lambda: last_orders(site) == {"a": 1}, 20.0)
        holder = site.executed("/scale")[-1]["holder"]
        killed = next(one for one in gateways if one.name == holder)
        os.kill(killed.popen.pid, signal.SIGKILL)
        killed.popen.wait(timeout=5)

        def has_successor() -> bool:
            return any(one["holder"] != holder for one in site.executed("/scale"))

        wait_until(has_successor, 25.0)
        calls = site.executed("/scale")
        assert epochs_never_fall(calls)
        assert alternations_within(calls, LEASE_S) == 0
