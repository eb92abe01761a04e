"""Builds sites with duties and reads what the platform has executed."""

from __future__ import annotations

import json
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import attrs

from siskinspool.standins.gateway_site import Gateway, GatewaySite, wait_until
from siskinspool.standins.processes import Process, call_json

from .builders_gateway_site import gateway_site

WINDOW_S = 1.0
LATE_S = 6.0
LEASE_S = 3.0


@attrs.frozen(kw_only=True)
class DutySite:
    """A site whose gateways have duties, and the platform that takes the calls."""

    site: GatewaySite
    cloud: Process
    requires_epoch: bool
    duties: tuple[str, ...] = ("usage", "scale")

    def add_gateway(self, name: str, **options: Any) -> Gateway:
        """Start a gateway with duties."""

        def edit(document: dict[str, Any]) -> None:
            document["contracts"].append("leader")
            document["bounds"] |= {
                "usage_window_s": WINDOW_S,
                "usage_off": 0.05,
                "usage_late_s": LATE_S,
                "lease_ms": LEASE_S * 1000,
                "require_fence": self.requires_epoch,
            }
            document["cloud"] = {
                "addr": f"127.0.0.1:{self.cloud.port}",
                "duties": list(self.duties),
                "duties_per_s": 50,
            }

        return self.site.add_gateway(name, edit_settings=edit, **options)

    def set_faults(self, **faults: Any) -> None:
        """Set faults of the platform."""
        call_json(self.cloud.port, "POST", "/admin/faults", faults)

    def executed(self, path: str) -> list[dict[str, Any]]:
        """Return the executed calls of a path in their order, with decoded bodies."""
        seen = call_json(self.cloud.port, "GET", "/admin/seen")["seen"]
        calls = [one for one in seen if one["path"] == path and one["status"] == 200]
        return [one | {"decoded": json.loads(one["body"])} for one in calls]

    def counts_by_window(self) -> dict[int, dict[str, int]]:
        """Return the reported counts; fails if a window has two different reports."""
        bodies = defaultdict(set)
        for one in self.executed("/usage"):
            bodies[one["decoded"]["window_id"]].add(one["body"])
        assert all(len(found) == 1 for found in bodies.values()), dict(bodies)
        return {
            window: json.loads(found.pop())["counts"]
            for window, found in bodies.items()
        }

    def holder(self) -> Gateway | None:
        """Return the gateway that leads, among those that run."""
        for gateway in self.site.gateways.values():
            if gateway.popen.poll() is None:
                status = gateway.status()
                if status.get("usage_windows", {}).get("epoch") is not None:
                    return gateway
        return None

    def wait_reported(self, window: int, timeout_s: float = 20.0) -> None:
        """Wait until a window has been reported."""
        wait_until(lambda: window in self.counts_by_window(), timeout_s)


@contextmanager
def duty_site(
    folder: Path, *, requires_epoch: bool = True, duties: tuple[str, ...] = ("usage",)
) -> Iterator[DutySite]:
    """Return a site with the platform's calls; its processes end with the context."""
    with gateway_site(folder) as site:
        options = ["--require-fence"] if requires_epoch else []
        module = "siskinspool.standins.platform_cloud"
        cloud = site.bench.start("cloud", module, *options)
        yield DutySite(
            site=site, cloud=cloud, requires_epoch=requires_epoch, duties=duties
        )


def current_window() -> int:
    """Return the window of the present time."""
    return int(time.time() // WINDOW_S)


def send_plain(
    gateways: Iterable[Gateway], seconds: float, pause: Callable[[float], None]
) -> Counter[int]:
    """Send plain requests in turn for some time; return answered ones by window."""
    counts: Counter[int] = Counter()
    end_at = time.monotonic() + seconds
    while time.monotonic() < end_at:
        for gateway in gateways:
            window = current_window()
            if gateway.send("GET", "/status/1")[0] == 200:
                counts[window] += 1
        pause(0.01)
    return counts


def alternations_within(calls: list[dict[str, Any]], lease_s: float) -> int:
    """Return how often holders acted in the order A, B, A within the lease."""
    found = 0
    for index, last in enumerate(calls):
        others = [
            one
            for one in calls[:index]
            if one["holder"] != last["holder"]
            and last["executed_at"] - one["executed_at"] < lease_s
        ]
        if others:
            since = last["executed_at"] - lease_s
            found += any(
                one["holder"] == last["holder"]
                and since < one["executed_at"] < others[-1]["executed_at"]
                for one in calls[:index]
            )
    return found


def epochs_never_fall(calls: list[dict[str, Any]]) -> bool:
    """Return whether the executed calls are in the order of their epoch numbers."""
    epochs = [one["epoch"] for one in calls]
    return epochs == sorted(epochs)
