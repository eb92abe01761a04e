"""DRAIN: a server that has left gets requests long after the store has acknowledged it.

Three gateways reach the store through a proxy each. With trouble, the channels on which
they wait for changes go silent, as some open channels may; new channels work, and so do
the others. 0.2 s later the entry of one of two servers is removed. The server serves on
for a while, as servers do that never report `draining`, and exits.

Broken: a request that was sent later than `contact_ms` after the silence (all machines
are in touch again) reaches the server later than `drain_ms` after the removal.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import BOUNDS, Proxy, Site, desired_state, route, run_case

CONTACT_S = BOUNDS["contact_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000
# Added to the bounds, for the time that a request takes to its server.
MARGIN_S = 0.1
REQUESTS_PER_S = 20.0
SILENT_AT_S = 5.0
LEAVES_AT_S = 5.2
# `drain_ms` and two seconds.
LINGERS_S = 4.0
LENGTH_S = 12.0
WORK_S = 0.3


def play(site: Site, has_trouble: bool) -> bool:
    services = [
        {
            "name": "desk",
            "health_path": "/health",
            "max_conns": 110,
            "cold_s": 0,
            "cold_per_s": 0,
        }
    ]
    routes = [route("status", "safe", "desk"), route("deposit", "unsafe", "desk")]
    site.put("op/config", desired_state(1, routes, services))
    leaving = site.start_server("i-one", "desk", "zone-a", slots=16, work_s=WORK_S)
    site.start_server("i-two", "desk", "zone-a", slots=16, work_s=WORK_S)
    proxies = [Proxy(site.store_port) for _ in range(3)]
    for number, proxy in enumerate(proxies):
        site.start_gateway(f"front-{number}", "zone-a", proxy.port)
    site.wait_ready({"i-one", "i-two"})
    gateways = list(site.gateways.values())
    started_at = time.time()
    silent_at = left_at = exited_at = 0.0
    count = 0
    while time.time() < started_at + LENGTH_S:
        elapsed_s = time.time() - started_at
        if has_trouble and not silent_at and elapsed_s > SILENT_AT_S:
            silent_at = time.time()
            channels = sum(proxy.silence(b"GET /-/kv-watch") for proxy in proxies)
            site.record(event="channels_silent", channels=channels)
        if not left_at and elapsed_s > LEAVES_AT_S:
            left_at = leaving.command(leave=True)
        if left_at and not exited_at and time.time() > left_at + LINGERS_S:
            exited_at = leaving.command(exit=True)
        method, path = ("POST", "/deposit/") if count % 2 else ("GET", "/status/")
        site.send_later(gateways[count % len(gateways)], method, path + str(count))
        count += 1
        time.sleep(max(started_at + count / REQUESTS_PER_S - time.time(), 0))
    site.join_requests(5)
    in_touch_at = silent_at + CONTACT_S if silent_at else left_at
    sent_at = {answer["id"]: answer["sent_at"] for answer in site.answers}
    late = [
        run
        for run in leaving.runs()
        if run["at"] > left_at + DRAIN_S + MARGIN_S
        and sent_at[run["id"]] > in_touch_at + MARGIN_S
    ]
    for run in late:
        site.record(event="late", id=run["id"], after_removal_s=run["at"] - left_at)
    late_ids = {run["id"] for run in late}
    lost = [
        a
        for a in site.answers
        if a["id"] in late_ids and a["method"] == "POST" and a["status"] != 200
    ]
    for answer in lost:
        site.record(event="lost", **answer)
    last_s = max((run["at"] - left_at for run in leaving.runs()), default=0.0)
    print(
        f"requests {count}; late {len(late)}, unsafe ones of these whose outcome is lost {len(lost)}; "
        f"last one {last_s:.2f} s after the removal, allowed {DRAIN_S}"
    )
    return bool(late)


run_case(Path(__file__).resolve().parent, play)
