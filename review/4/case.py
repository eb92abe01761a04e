"""FAILBACK: a server that becomes cold while it runs gets far more than it may.

Four gateways start together, before any request. The one server of a plain service is
warm then. With trouble it becomes cold for `cold_s` during steady traffic, writes that
into its entry at once, and crashes at three times `cold_per_s`.

Broken: later than a second after the entry was written (so that all gateways know it)
more requests arrive within one second than `cold_per_s` x `cold_overage` +
`cold_slack`.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import BOUNDS, Site, desired_state, route, run_case

# As in sites/tinhub-ng.toml.
COLD_PER_S = 7.5
COLD_S = 3.0
LIMIT = COLD_PER_S * BOUNDS["cold_overage"] + BOUNDS["cold_slack"]
# Well above what the server can take while cold; checked from `KNOWN_AFTER_S` on.
CRASH_PER_S = 3 * COLD_PER_S
KNOWN_AFTER_S = 1.0
REQUESTS_PER_S = 30.0
COLD_AT_S = 4.0
LENGTH_S = 10.0


def play(site: Site, has_trouble: bool) -> bool:
    services = [
        {
            "name": "desk",
            "health_path": "/health",
            "max_conns": 110,
            "cold_s": COLD_S,
            "cold_per_s": COLD_PER_S,
        }
    ]
    routes = [route("status", "safe", "desk"), route("deposit", "unsafe", "desk")]
    site.put("op/config", desired_state(1, routes, services))
    server = site.start_server(
        "i-one",
        "desk",
        "zone-a",
        slots=16,
        crash_per_s=CRASH_PER_S,
        crash_after_s=KNOWN_AFTER_S,
    )
    for number in range(4):
        site.start_gateway(f"front-{number}", "zone-a")
    site.wait_ready({"i-one"})
    gateways = list(site.gateways.values())
    started_at = time.time()
    cold_at = 0.0
    count = 0
    while time.time() < started_at + LENGTH_S:
        if has_trouble and not cold_at and time.time() > started_at + COLD_AT_S:
            cold_at = server.command(cold_ms=round(COLD_S * 1000))
        method, path = ("POST", "/deposit/") if count // 4 % 2 else ("GET", "/status/")
        site.send_later(gateways[count % len(gateways)], method, path + str(count))
        count += 1
        time.sleep(max(started_at + count / REQUESTS_PER_S - time.time(), 0))
    site.join_requests(5)
    most = 0
    if cold_at:
        times = [
            run["at"]
            for run in server.runs()
            if cold_at + KNOWN_AFTER_S <= run["at"] <= cold_at + COLD_S
        ]
        for begin in times:
            most = max(most, sum(begin <= at < begin + 1.0 for at in times))
    crashed = any(entry["event"] == "crash" for entry in server.log())
    unknown = sum(a["status"] == 502 and a["method"] == "POST" for a in site.answers)
    site.record(event="measured", most_in_a_second=most, limit=LIMIT, crashed=crashed)
    print(
        f"requests {count}; most in a second while cold {most}, allowed {LIMIT}; "
        f"server crashed: {crashed}; unsafe requests lost in it {unknown}"
    )
    return most > LIMIT


run_case(Path(__file__).resolve().parent, play)
