"""Starts gateways with the commands of the deploy file, on loopback."""

from __future__ import annotations

import itertools
import json
import os
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from http.client import HTTPConnection
from pathlib import Path

import gevent
from gevent import socket
from gevent.server import StreamServer

ROOT = Path(__file__).resolve().parents[1]

CONTRACTS = [
    "base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
    "engine", "tenants", "quota", "places", "platform",
]  # fmt: skip
# As the pages show them for the smallest deployment.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000,
    "catch_up_s": 4, "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200,
    "config_apply_ms": 2000, "rollback_slack_ms": 250, "outer_ms": 5000,
    "strict_revoke": False, "revoke_ms": 5000, "retry_budget_ratio": 0.2,
    "budget_window_s": 10, "budget_extra_retries": 58, "quota_window_s": 8,
    "quota_overage": 0.1, "quota_slack": 110000, "cold_overage": 1.5,
    "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 12, "pass_ms": 120,
    "retry_after_s": 0, "require_fence": True, "lease_ms": 3000, "thaw_ms": 300,
    "ceiling_window_s": 5, "ceiling_overage": 1.1,
}  # fmt: skip
HOST = "site.example"


class CannotRunError(Exception):
    """The case could not run as intended."""


class StoreLink:
    """The path between one machine and the store; it can be cut silently."""

    def __init__(self, port):
        self._target = ("127.0.0.1", port)
        self.is_cut = False
        self._held = set()
        self._server = StreamServer(("127.0.0.1", 0), self._forward)
        self._server.start()
        self.port = self._server.server_port

    def cut(self):
        """Forward nothing from now on; open and new channels go silent."""
        self.is_cut = True

    def heal(self):
        """Forward again; what was open during the cut is reset."""
        self.is_cut = False
        for sock in list(self._held):
            sock.close()
        self._held.clear()

    def _forward(self, caller, _):
        try:
            target = socket.create_connection(self._target)
        except OSError:
            caller.close()
            return
        both = {caller, target}
        self._held |= both
        pumps = [
            gevent.spawn(self._pump, caller, target),
            gevent.spawn(self._pump, target, caller),
        ]
        gevent.joinall(pumps, count=1)
        gevent.killall(pumps)
        for sock in both:
            sock.close()
        self._held -= both

    def _pump(self, source, sink):
        try:
            while data := source.recv(65536):
                if self.is_cut:
                    # Lost behind the partition; nothing is reported to either side.
                    while True:
                        gevent.sleep(3600)
                sink.sendall(data)
        except OSError:
            pass


class Gateway:
    """One gateway process."""

    def __init__(self, site, name, ports, popen, link):
        self.site, self.name, self.popen, self.link = site, name, popen, link
        self.front, self.ready, self.peer, self.metrics = ports

    def is_ready(self):
        """Return whether the readiness check passes."""
        try:
            return (
                request(self.ready, "GET", "/-/ready", {}, timeout_s=1.0)["status"]
                == 200
            )
        except OSError:
            return False

    def signal(self, number):
        os.kill(self.popen.pid, number)


class Site:
    """The processes and stand-ins of one case."""

    def __init__(self, store):
        self.store = store
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.gateways = []
        self.log = []
        self.started_at = time.monotonic()

    def add_gateway(self, name, zone="zone-a", through_link=False, **bounds):
        ports = free_ports(4)
        front, ready, peer, metrics = ports
        link = StoreLink(self.store.port) if through_link else None
        store_port = link.port if link else self.store.port
        path = self.folder / f"{name}.toml"
        document = {
            "node": name, "role": "gateway", "machine_class": "front",
            "serves": ["front"], "ip": "127.0.0.1", "zone": zone, "region": "region",
            "internal_ports": [peer, metrics], "seeds": [], "bootstrap": True,
            "in_tolerance": False, "discovery": "platform", "entry": "vip",
            "heartbeat_ms": 1200, "contracts": CONTRACTS,
            "zones": {"zone-a": "region", "zone-b": "region", "zone-c": "region"},
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "limits": {
                "cpu_share": 0.537, "cores": 2, "memory_mb": 300, "max_fds": 4100,
                "link_mbps": 1000.0, "disk_mb": 0,
            },
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": BOUNDS | bounds,
            "platform": {
                "addr": f"127.0.0.1:{store_port}", "form": "kv", "writes_per_s": 400,
                "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }  # fmt: skip
        path.write_text(encode_toml(document), encoding="utf-8")
        gateway = Gateway(self, name, ports, self._start(name, path), link)
        self.gateways.append(gateway)
        return gateway

    def _start(self, name, path):
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][
            "gateway"
        ]
        words = role["run"].split(" ")
        words[0] = sys.executable if words[0] == "python3" else words[0]
        environ = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "SISKINSPOOL_CONFIG": str(path),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            return subprocess.Popen(
                words, cwd=ROOT, env=environ, stdout=log, stderr=log
            )

    def wait_ready(self, timeout_s=20.0):
        """Wait until all gateways are ready."""
        deadline = time.monotonic() + timeout_s
        while not all(gateway.is_ready() for gateway in self.gateways):
            if time.monotonic() > deadline:
                raise CannotRunError("a gateway was not ready in time")
            gevent.sleep(0.1)

    def record(self, text):
        """Add a line to the record."""
        self.log.append(f"{time.monotonic() - self.started_at:7.2f}  {text}")

    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def stop(self):
        """End all processes that were started."""
        for gateway in self.gateways:
            if gateway.popen.poll() is None:
                gateway.popen.send_signal(signal.SIGCONT)
                gateway.popen.kill()
                gateway.popen.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


# Ports outside the range of outgoing connections; runs at the same time get others.
FIRST_PORT, PORT_BLOCK, PORT_BLOCKS = 12000, 100, 200
_next_ports = itertools.count(FIRST_PORT + os.getpid() % PORT_BLOCKS * PORT_BLOCK)


def free_ports(count):
    """Return free ports that this process has not given out yet."""
    found = []
    while len(found) < count:
        port = next(_next_ports)
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        found.append(port)
    return found


def encode_toml(document):
    def scalar(value):
        if isinstance(value, dict):
            return (
                "{ " + ", ".join(f"{k} = {scalar(v)}" for k, v in value.items()) + " }"
            )
        return json.dumps(value)

    lines = [
        f"{k} = {scalar(v)}" for k, v in document.items() if not isinstance(v, dict)
    ]
    for name, table in document.items():
        if isinstance(table, dict):
            lines.append(f"[{name}]")
            lines += [f"{k} = {scalar(v)}" for k, v in table.items()]
    return "\n".join(lines) + "\n"


def request(port, method, path, headers, body=b"", timeout_s=10.0):
    """Send one request on a new channel; raises OSError if no answer came."""
    connection = HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request(method, path, body=body, headers={"Host": HOST} | headers)
        answer = connection.getresponse()
        data = answer.read()
    except OSError:
        raise
    except Exception as error:
        raise OSError(f"{type(error).__name__}: {error}") from error
    finally:
        connection.close()
    found = {name.lower(): value for name, value in answer.getheaders()}
    return {"status": answer.status, "headers": found, "body": data}


def route(name, prefix, service, kind="safe", **changes):
    return {
        "name": name, "host": HOST, "prefix": prefix, "kind": kind,
        "timeout_ms": 4000, "target_latency_ms": 400, "priority": 1,
        "service": service, "max_attempts": 2, "public": False, "sticky": False,
        "resumable": False, "gap_target_ms": 0,
    } | changes  # fmt: skip


def service(name, models=()):
    document = {
        "name": name, "health_path": "/health", "max_conns": 370, "protocol": "h1",
        "tls": False, "cold_s": 0.0, "cold_per_s": 0.0,
    }  # fmt: skip
    if models:
        document["engine"] = {
            "slots": 64, "kv_capacity": 252446, "kv_token_bytes": 163840,
            "host_mb": 150000.0, "disk_mb": 870000.0, "weights_size": 230000.0,
            "adapter_slots": 8, "loads_per_s": 1.6,
            "models": [
                {
                    "name": model, "weights_size": 65100.0, "load_s": 6.0,
                    "adapters": 0, "adapter_mb": 12.0, "warm_s": 0.57, "disk_s": 1.2,
                }
                for model in models
            ],
        }  # fmt: skip
    return document


def config(version, routes, services, tenants):
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4194304,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": tenants,
    }  # fmt: skip


def tenant(name, *keys, rate_per_s=0, burst=0):
    return {
        "name": name, "api_keys": list(keys), "priority": 1, "unit": "tokens",
        "plain_tokens": 200, "rate_per_s": rate_per_s, "burst": burst,
    }  # fmt: skip


def run_case(main):
    """Run a case; write its record; exit with 1, 0 or 2 as the issue says."""
    folder = Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    from rig3_store import Store

    store = Store()
    site = Site(store)
    lines, status = [], 2
    try:
        with gevent.Timeout(112):
            status, lines = main(site, store, trouble)
    except (CannotRunError, gevent.Timeout) as error:
        lines = [f"the case could not run: {error!r}"]
    except Exception as error:
        import traceback

        lines = [f"the case could not run: {error!r}", traceback.format_exc()]
    finally:
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(site.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
        site.stop()
    verdict = {
        0: "the rule held",
        1: "the rule was broken",
        2: "the case could not run",
    }
    text = "\n".join(
        [f"TROUBLE={int(trouble)}", *site.log, "", *lines, f"result: {verdict[status]}"]
    )
    # Another name keeps the record of a comparison apart.
    name = os.environ.get("RECORD", "record.txt" if trouble else "record-calm.txt")
    (folder / name).write_text(text + "\n", encoding="utf-8")
    print("\n".join([*lines, f"result: {verdict[status]}"]))
    sys.stdout.flush()
    os._exit(status)
