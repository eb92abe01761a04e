"""The store comes back from a copy some seconds old; then the operator drops a key."""

from gevent import monkey

monkey.patch_all()

import json  # noqa: E402
from collections import Counter  # noqa: E402

import gevent  # noqa: E402
from rig3_server import Server  # noqa: E402
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

COPY_AGE_S = 8.0
AWAY_S = 1.0
# The core is stable, and the machines are in touch, from this time after the return on.
STABLE_S = BOUNDS["contact_ms"] / 1000
APPLY_S = BOUNDS["config_apply_ms"] / 1000
WATCH_S = 30.0


def desired(version, keys):
    routes = [route("r-status", "/status/", "desk")]
    routes += [route("r-idle", "/idle/", "desk")] if version > 1 else []
    routes += [route("r-new", "/new/", "desk")] if version > 2 else []
    return config(
        version,
        routes,
        [service("desk")],
        [tenant("staying", "key-staying"), tenant("leaving", *keys)],
    )


def main(site, store, trouble):
    store.put("op/config", desired(1, ["key-leaving"]))
    servers = [Server(store, f"i-{number}", "desk") for number in range(5)]
    gateways = [site.add_gateway(f"front-{number}") for number in range(3)]
    site.wait_ready()
    gevent.sleep(COPY_AGE_S + 4.0)
    sent = []
    count = 0

    def ask(gateway, key, path):
        nonlocal count
        count += 1
        headers = {"Request-Id": f"q{count}", "Deadline-Ms": "3000"}
        headers["Authorization"] = f"Bearer {key}"
        at = site.now()
        try:
            status = request(gateway.front, "GET", path, headers)["status"]
        except OSError as error:
            status = f"closed ({error})"
        sent.append((at, gateway.name, key, path, f"q{count}", status))

    def ask_all():
        for gateway in gateways:
            ask(gateway, "key-staying", "/status/1")
            ask(gateway, "key-leaving", "/status/2")
            ask(gateway, "key-staying", "/new/3")

    ask_all()
    if {row[5] for row in sent if row[3] != "/new/3"} != {200}:
        raise CannotRunError(f"not served at first: {sent}")
    store.put("op/config", desired(2, ["key-leaving"]))
    site.record("version 2 acknowledged; it adds a route that nobody uses yet")
    gevent.sleep(1.0)
    if trouble:
        site.record("the store goes away")
        what = store.come_back_from_copy(COPY_AGE_S, AWAY_S)
        site.record(f"the store is back from a copy: {json.dumps(what)}")
    back_at = site.now()
    gevent.sleep(STABLE_S + 0.2)
    revision = store.put("op/config", desired(3, []))
    ack_at = site.now()
    site.record(
        f"version 3 acknowledged at revision {revision}: it drops key-leaving and"
        f" adds the route /new/, {ack_at - back_at:.1f} s after the store's return"
    )
    while site.now() < ack_at + WATCH_S:
        ask_all()
        gevent.sleep(0.5)
    for at, name, key, path, number, status in sent:
        site.record(f"asked at {at:.2f} {name} {key} {path} {number}: {status}")
    ran = {req["headers"]["request-id"] for server in servers for _, req in server.ran}
    late = [row for row in sent if row[0] > ack_at + APPLY_S]
    with_dropped_key = [
        row for row in late if row[2] == "key-leaving" and row[4] in ran
    ]
    route_refused = [row for row in late if row[3] == "/new/3" and row[5] == 404]
    last_s = max(
        (row[0] - ack_at for row in with_dropped_key + route_refused), default=0
    )
    lines = [
        f"requests sent later than {APPLY_S} s after the ack: {len(late)}",
        f"of these run at a server with the dropped key: {len(with_dropped_key)}"
        f" of {sum(1 for row in late if row[2] == 'key-leaving')}",
        f"of these refused with 404 though the route is there: {len(route_refused)}"
        f" of {sum(1 for row in late if row[3] == '/new/3')}",
        f"last of them: {last_s:.1f} s after the ack",
        f"by machine: {dict(Counter(row[1] for row in with_dropped_key))}",
    ]
    return (1 if with_dropped_key or route_refused else 0), lines


run_case(main)
