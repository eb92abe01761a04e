"""Orders of the numbers of servers by real gateway processes."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import gevent

from siskinspool.standins.gateway_site import wait_until

from .builders_duties import DutySite, duty_site
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
