"""A part of long prompts crashes each server that begins to write an answer on it."""

from gevent import monkey

monkey.patch_all()

import os  # noqa: E402

import gevent  # noqa: E402
from rig3_server import Server, part_ids  # noqa: E402
from rig3_site import (  # noqa: E402
    BOUNDS,
    CannotRunError,
    config,
    request,
    route,
    run_case,
    service,
    tenant,
)

# A prompt of a long session: so many parts, and one that belongs to the request alone.
SHARED_PARTS = 40
# The part that crashes servers is the last of the shared ones. For a comparison it may
# stand earlier.
CRASHING_AT = int(os.environ.get("CRASHING_AT", SHARED_PARTS - 1))
CRASHING_PART = "deadbeef"
CONTACT_S = BOUNDS["contact_ms"] / 1000
WATCH_S = 45.0


def prompt(number, *, crashing):
    parts = [f"5c1e{index:04x}" for index in range(SHARED_PARTS)]
    if crashing:
        parts[CRASHING_AT] = CRASHING_PART
    return ",".join(f"{part}:20" for part in [*parts, f"{number:08x}"])


def main(site, store, trouble):
    routes = [
        route(
            "r-quote", "/quote/", "writers", "stream", resumable=True,
            timeout_ms=5000, target_latency_ms=600, gap_target_ms=400, sticky=True,
        )
    ]  # fmt: skip
    store.put(
        "op/config",
        config(1, routes, [service("writers", ["m0"])], [tenant("desk", "key")]),
    )
    servers = [
        Server(store, f"i-{number}", "writers", models=["m0"], slots=64)
        for number in range(6)
    ]
    gateways = [
        site.add_gateway(f"front-{number}", f"zone-{'abc'[number % 3]}")
        for number in range(3)
    ]
    site.wait_ready()
    gevent.sleep(2.0)
    sent = {}
    answers = {"sound": {}, "crashing": {}}
    running = [True]

    def ask(gateway, crashing):
        number = f"q{len(sent)}"
        kind = "crashing" if crashing else "sound"
        headers = {
            "Request-Id": number, "Deadline-Ms": "5000", "Model": "m0",
            "Authorization": "Bearer key", "Token-Count": "820,100",
            "Prompt-Prefix": prompt(len(sent), crashing=crashing),
        }  # fmt: skip
        sent[number] = (site.now(), gateway.name, kind)
        try:
            status = request(gateway.front, "POST", "/quote/1", headers, b"{}")[
                "status"
            ]
        except OSError:
            status = "broken off"
        answers[kind][status] = answers[kind].get(status, 0) + 1

    def client(gateway, crashing, pause_s):
        while running[0]:
            gevent.spawn(ask, gateway, crashing)
            gevent.sleep(pause_s)

    for gateway in gateways:
        gevent.spawn(client, gateway, False, 0.2)
    gevent.sleep(5.0)
    if trouble:
        for server in servers:
            server.crashing_part = CRASHING_PART
    site.record("requests with the part begin to come")
    for gateway in gateways:
        gevent.spawn(client, gateway, True, 1.0)
    gevent.sleep(WATCH_S)
    running[0] = False
    gevent.sleep(1.0)
    crashes = sorted(
        (at - site.started_at, server.server_id)
        for server in servers
        for at in server.crash_times
    )
    for at, server_id in crashes:
        site.record(f"{server_id} crashed at {at:.2f}")
    reached = sorted(
        (at - site.started_at, server.server_id, req["headers"]["request-id"])
        for server in servers
        for at, req in server.ran
        if CRASHING_PART in part_ids(req)
    )
    for at, server_id, number in reached:
        site.record(
            f"{number} of {sent[number][1]} with the part reached {server_id}"
            f" at {at:.2f}"
        )
    lines = [
        f"the part is number {CRASHING_AT + 1} of {SHARED_PARTS + 1}",
        f"answers: {answers}",
        f"crashes of servers: {len(crashes)}",
    ]
    if not answers["sound"].get(200) or not reached:
        raise CannotRunError(f"nothing was served: {answers}")
    if len(crashes) < 5:
        return 0, [*lines, "there was no fifth crash"]
    settled = crashes[4][0] + 2 * CONTACT_S
    ran = {req["headers"]["request-id"] for server in servers for _, req in server.ran}
    sound = {number: at for number, (at, _, kind) in sent.items() if kind == "sound"}
    before = [number for number, at in sound.items() if at < crashes[0][0]]
    after = [number for number, at in sound.items() if at > settled]
    lines.append(
        f"sound requests that began: {sum(one in ran for one in before)} of"
        f" {len(before)} before the first crash, {sum(one in ran for one in after)} of"
        f" {len(after)} later than 2 x contact_ms after the fifth"
    )
    late = [one for one in reached if one[0] > crashes[4][0] + CONTACT_S]
    lines.append(
        f"requests with the part that reached servers later than {CONTACT_S} s after"
        f" the fifth crash: {len(late)} (3 are allowed)"
    )
    return (1 if len(late) > 3 else 0), lines


run_case(main)
