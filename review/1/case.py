"""LOST: gateways end by themselves, with all that they were answering.

Two gateways. Requesters of the team `calm` keep their channels; their requests take half
a second at the server. Those of the team `hot` open a new channel for each request and
say `Connection: close`. With trouble the team `hot` sends 7.5 times its usual and is over
its cap. A gateway that ends is started again a second later.

Broken: more than three requests from kept channels were passed on to the server, which
is sound, and their channels were closed without an answer.
"""

import json
import subprocess
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from harness import ROOT, Site, desired_state, route, run_case  # noqa: E402

USUAL_PER_S = 40.0
HOT_X = 7.5
HOT_S = 6.5
# The requests of `hot` come in clumps, at all times: 30 at once with trouble.
CLUMP_S = 0.1
# The cap is 1.8 times the usual, as on the sites (`quota_x`).
CAP_PER_S = 1.8 * USUAL_PER_S
PLAIN_TOKENS = 200
CALM_REQUESTERS = 20
WORK_S = 0.5
HOT_AT_S = 6.0
LENGTH_S = 18.0
RESTART_S = 1.0


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
    state = desired_state(1, routes, services)
    tokens_per_s = CAP_PER_S * PLAIN_TOKENS
    state["tenants"] = [
        {
            "name": "calm",
            "api_keys": ["key-calm"],
            "unit": "tokens",
            "plain_tokens": PLAIN_TOKENS,
            "rate_per_s": 0,
            "burst": 0,
        },
        {
            "name": "hot",
            "api_keys": ["key-hot"],
            "unit": "tokens",
            "plain_tokens": PLAIN_TOKENS,
            "rate_per_s": tokens_per_s,
            "burst": tokens_per_s,
        },
    ]
    site.put("op/config", state)
    server = site.start_server("i-one", "desk", "zone-a", slots=200, work_s=WORK_S)
    gateways = [site.start_gateway(f"front-{n}", "zone-a") for n in range(2)]
    site.wait_ready({"i-one"})
    time.sleep(3.0)
    load = subprocess.Popen(
        [
            "python3",
            str(ROOT / "review" / "tenants.py"),
            "--ports",
            json.dumps([g["front"] for g in gateways]),
            "--hot-per-s",
            str(USUAL_PER_S),
            "--hot-x",
            str(HOT_X if has_trouble else 1.0),
            "--hot-at-s",
            str(HOT_AT_S),
            "--clump-s",
            str(CLUMP_S),
            "--hot-s",
            str(HOT_S),
            "--calm",
            str(CALM_REQUESTERS),
            "--length-s",
            str(LENGTH_S),
        ],
        stdout=subprocess.PIPE,
        env=site._environment(),
    )
    site.processes.append(load)
    lines: list[dict] = []

    def read() -> None:
        for line in load.stdout:
            lines.append(json.loads(line))

    reader = threading.Thread(target=read, daemon=True)
    reader.start()
    ends = []
    while load.poll() is None:
        for gateway in gateways:
            code = gateway["popen"].poll()
            if code is None:
                continue
            if "ended_at" not in gateway:
                gateway["ended_at"] = time.time()
                ends.append((gateway["name"], code))
                site.record(event="gateway_ended", gateway=gateway["name"], status=code)
            elif time.time() > gateway["ended_at"] + RESTART_S:
                del gateway["ended_at"]
                site.run_gateway(gateway)
        time.sleep(0.02)
    reader.join(5)
    runs = {run["id"] for run in server.runs()}
    lost = [
        one
        for one in lines
        if one.get("channel") == "kept"
        and one["result"] == "closed"
        and one["id"] in runs
    ]
    for one in lost:
        site.record(event="lost", **one)
    counts = [one["counts"] for one in lines if "counts" in one]
    site.record(event="measured", ends=ends, answers=counts, runs=len(runs))
    print(
        f"gateways that ended by themselves {ends}; answers {counts}; requests from "
        f"kept channels that were passed on and never answered {len(lost)}, allowed 3"
    )
    return len(lost) > 3


run_case(Path(__file__).resolve().parent, play)
