"""CONFIG: requests are never answered because of one odd entry in the registry.

One sound server and two gateways. With trouble another writer adds an entry whose
address cannot be read as one. It names no server to use; the sound one is to be used as
before.

Broken: of the requests that have no answer at their route's `timeout_ms`, more than half
have none half a second later.
"""

import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import Site, desired_state, route, run_case

TIMEOUT_S = 1.0
LATER_S = 0.5
TIME_LIMIT_MS = 4000
REQUESTS = 60
REQUESTS_PER_S = 20.0
ODD_ADDRESS = "10.0..7:8080"


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
    routes = [
        route("status", "safe", "desk", timeout_ms=TIMEOUT_S * 1000),
        route("deposit", "unsafe", "desk", timeout_ms=TIMEOUT_S * 1000),
    ]
    site.put("op/config", desired_state(1, routes, services))
    server = site.start_server("i-one", "desk", "zone-a", slots=16)
    gateways = [site.start_gateway(f"front-{n}", "zone-a") for n in range(2)]
    site.wait_ready({"i-one"})
    if has_trouble:
        site.put(
            "servers/i-odd",
            {
                "service": "desk",
                "addr": ODD_ADDRESS,
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_ms": 0,
                "seq": 1,
                "born": int(time.time() * 1000),
            },
        )
    # All machines are in touch: nothing has happened to them or to the store.
    time.sleep(4.0)
    started_at = time.time()
    for number in range(REQUESTS):
        method, path = ("POST", "/deposit/") if number % 4 < 2 else ("GET", "/status/")
        site.send_later(
            gateways[number % 2], method, path + str(number), deadline_ms=TIME_LIMIT_MS
        )
        time.sleep(max(started_at + (number + 1) / REQUESTS_PER_S - time.time(), 0))
    site.join_requests(TIME_LIMIT_MS / 1000 + 3)
    unanswered = [a for a in site.answers if a["took_s"] > TIMEOUT_S]
    never = [a for a in unanswered if a["took_s"] > TIMEOUT_S + LATER_S]
    good = sum(a["status"] == 200 for a in site.answers)
    site.record(
        event="measured",
        sent=REQUESTS,
        good=good,
        unanswered=len(unanswered),
        half_a_second_later=len(never),
        runs=len(server.runs()),
    )
    print(
        f"sent {REQUESTS}; answered 200 {good}; no answer at the route's timeout "
        f"{len(unanswered)}, half a second later {len(never)}"
    )
    return len(never) > len(unanswered) / 2


run_case(Path(__file__).resolve().parent, play)
