"""Processes, proxy, requesters and records for the cases in review/.

Only the standard library is used here. The gateways run with the command of the deploy
file; the store is the project's own stand-in; the servers are `server.py`. Every address
is a loopback address, every port a free one, and everything that is written besides the
record lies in a temporary folder.
"""

from __future__ import annotations

import base64
import http.client
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "site.example"
KEY = "k1"
# The command of deploy/system.toml.
GATEWAY_COMMAND = ["python3", "src/siskinspoold.py"]
# The bounds of sites/tinhub-ng.toml, as its processes get them.
BOUNDS: dict[str, Any] = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "outer_ms": 5000,
    "strict_revoke": False,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra_retries": 58,
    "quota_window_s": 8,
    "quota_overage": 0.1,
    "quota_slack": 110000,
    "cold_overage": 1.5,
    "cold_slack": 5,
    "evacuate_ms": 5000,
    "recover_s": 12,
    "pass_ms": 120,
    "retry_after_s": 0,
    "require_fence": True,
    "lease_ms": 3000,
    "thaw_ms": 300,
    "ceiling_window_s": 5,
    "ceiling_overage": 1.1,
}


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


def free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind(("127.0.0.1", 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


def route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 300,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "gap_target_ms": 0,
    } | changes


def desired_state(
    version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "guild",
                "api_keys": [KEY],
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 0,
                "burst": 0,
            }
        ],
    }


class Proxy:
    """A TCP proxy; `silence` makes all channels that are open go silent for good."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        self._lock = threading.Lock()
        self._open: list[dict[str, Any]] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
                server = socket.create_connection(("127.0.0.1", self._target_port))
            except OSError:
                return
            channel = {"is_silent": False, "last_request": b""}
            with self._lock:
                self._open.append(channel)
            for source, sink in ((client, server), (server, client)):
                threading.Thread(
                    target=self._pump, args=(source, sink, channel), daemon=True
                ).start()

    def _pump(
        self, source: socket.socket, sink: socket.socket, channel: dict[str, Any]
    ) -> None:
        try:
            while data := source.recv(65536):
                if data.startswith((b"GET ", b"POST ", b"DELETE ")):
                    channel["last_request"] = data.partition(b"\r\n")[0]
                if not channel["is_silent"]:
                    sink.sendall(data)
        except OSError:
            pass
        with self._lock:
            if channel in self._open:
                self._open.remove(channel)
        if not channel["is_silent"]:
            for one in (source, sink):
                try:
                    one.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def silence(self, request: bytes = b"") -> int:
        """Let no byte pass on channels that are open now; return their number.

        With ``request``, only those whose last request line contains it.
        """
        with self._lock:
            chosen = [c for c in self._open if request in c["last_request"]]
            for channel in chosen:
                channel["is_silent"] = True
            return len(chosen)


class Site:
    """Store, servers, gateways and requesters of one case."""

    def __init__(self, case_folder: Path, bounds: dict[str, Any] | None = None) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="siskinspool-review-"))
        self.record_path = case_folder / "record.txt"
        self._record_file = self.record_path.open("w", encoding="utf-8")
        self._record_lock = threading.Lock()
        self.bounds = BOUNDS | (bounds or {})
        self.processes: list[subprocess.Popen[Any]] = []
        self.gateways: dict[str, dict[str, Any]] = {}
        self.answers: list[dict[str, Any]] = []
        self._threads: list[threading.Thread] = []
        self._next_id = 0
        self.store_port = 0

    def record(self, **fields: Any) -> None:
        fields = {"at": round(time.time(), 4)} | fields
        with self._record_lock:
            self._record_file.write(json.dumps(fields) + "\n")
            self._record_file.flush()

    # Processes

    def _environment(self, **extra: str) -> dict[str, str]:
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        return kept | {"PYTHONDONTWRITEBYTECODE": "1"} | extra

    def start_store(self) -> None:
        log = (self.folder / "store.log").open("wb")
        popen = subprocess.Popen(
            ["python3", "-m", "siskinspool.standins.platform_store"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=log,
            env=self._environment(PYTHONPATH="src:target/deps"),
        )
        self.processes.append(popen)
        line = popen.stdout.readline() if popen.stdout else b""
        if not line:
            raise CannotRun("the store did not start")
        self.store_port = json.loads(line)["port"]

    def put(self, key: str, document: dict[str, Any]) -> float:
        """Write a key as the operator does; return the time of the store's ack."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        connection = http.client.HTTPConnection("127.0.0.1", self.store_port, timeout=5)
        connection.request(
            "POST", "/admin/put", json.dumps({"key": key, "value": value})
        )
        if connection.getresponse().status != 200:
            raise CannotRun("the store refused a write")
        connection.close()
        acked_at = time.time()
        self.record(event="store_ack", key=key)
        return acked_at

    def start_server(
        self, server_id: str, service: str, zone: str, **options: Any
    ) -> ServerProcess:
        server = ServerProcess(self, server_id, service, zone, options)
        self.processes.append(server.popen)
        return server

    def start_gateway(
        self, name: str, zone: str, store_port: int | None = None
    ) -> dict[str, Any]:
        front, ready, peer, metrics = free_ports(4)
        zones = {"zone-a": "geo", "zone-b": "geo", "zone-c": "geo"}
        settings = {
            "node": name,
            "role": "gateway",
            "machine_class": "front",
            "serves": ["front"],
            "ip": "127.0.0.1",
            "zone": zone,
            "region": "geo",
            "internal_ports": [peer, metrics],
            "seeds": [],
            "bootstrap": True,
            "in_tolerance": False,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "zones": zones,
            "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "bounds": self.bounds,
            "platform": {
                "addr": f"127.0.0.1:{store_port or self.store_port}",
                "form": "kv",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        path = self.folder / f"{name}.toml"
        path.write_text(_toml(settings), encoding="utf-8")
        gateway = {
            "name": name,
            "front": front,
            "ready": ready,
            "metrics": metrics,
            "settings": path,
        }
        self.gateways[name] = gateway
        self.run_gateway(gateway)
        return gateway

    def run_gateway(self, gateway: dict[str, Any]) -> None:
        log = (self.folder / f"{gateway['name']}.log").open("ab")
        gateway["popen"] = subprocess.Popen(
            GATEWAY_COMMAND,
            cwd=ROOT,
            stdout=log,
            stderr=log,
            env=self._environment(
                PYTHONPATH="target/deps", SISKINSPOOL_CONFIG=str(gateway["settings"])
            ),
        )
        self.processes.append(gateway["popen"])
        self.record(event="gateway_started", gateway=gateway["name"])

    def is_ready(self, gateway: dict[str, Any]) -> bool:
        return self._get(gateway["ready"], "/-/ready")[0] == 200

    def status(self, gateway: dict[str, Any]) -> dict[str, Any]:
        return json.loads(self._get(gateway["metrics"], "/status")[1])

    def _get(self, port: int, path: str) -> tuple[int, bytes]:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=2)
        try:
            connection.request("GET", path)
            response = connection.getresponse()
            return response.status, response.read()
        except OSError:
            return 0, b""
        finally:
            connection.close()

    def wait_ready(self, servers: set[str], timeout_s: float = 20.0) -> None:
        """Wait until all gateways are ready, know each other and the servers."""
        deadline = time.time() + timeout_s
        while time.time() < deadline:
            if all(
                self._is_settled(gateway, servers) for gateway in self.gateways.values()
            ):
                return
            time.sleep(0.1)
        raise CannotRun("the gateways did not become ready")

    def _is_settled(self, gateway: dict[str, Any], servers: set[str]) -> bool:
        if not self.is_ready(gateway):
            return False
        status = self.status(gateway)
        members = set(status["members"]["members"])
        return members == set(self.gateways) and servers <= set(
            status["routing"]["servers"]
        )

    # Requesters

    def send_later(
        self,
        gateway: dict[str, Any],
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 4000,
    ) -> None:
        """Send one request on a channel of its own, in a thread."""
        self._next_id += 1
        request_id = f"q{self._next_id:05d}"
        thread = threading.Thread(
            target=self._send,
            args=(gateway, method, path, body, deadline_ms, request_id),
            daemon=True,
        )
        self._threads.append(thread)
        thread.start()

    def _send(
        self,
        gateway: dict[str, Any],
        method: str,
        path: str,
        body: bytes,
        deadline_ms: int,
        request_id: str,
    ) -> None:
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(deadline_ms),
            "Authorization": f"Bearer {KEY}",
        }
        sent_at = time.time()
        answer: dict[str, Any] = {
            "id": request_id,
            "gateway": gateway["name"],
            "method": method,
            "path": path,
            "sent_at": round(sent_at, 4),
        }
        connection = http.client.HTTPConnection(
            "127.0.0.1", gateway["front"], timeout=deadline_ms / 1000
        )
        try:
            connection.request(method, path, body or None, headers)
            response = connection.getresponse()
            data = response.read()
            answer |= {
                "status": response.status,
                "body": data.decode("latin-1")[:120],
                "stamp": response.getheader("Server-Stamp"),
            }
        except Exception as error:
            answer |= {"status": 0, "error": repr(error)}
        finally:
            connection.close()
        answer["took_s"] = round(time.time() - sent_at, 4)
        self.answers.append(answer)
        self.record(event="answer", **answer)

    def join_requests(self, timeout_s: float) -> None:
        deadline = time.time() + timeout_s
        for thread in self._threads:
            thread.join(max(deadline - time.time(), 0.0))

    # End

    def close(self) -> None:
        """End all processes that this site started, by their ids."""
        for popen in self.processes:
            if popen.poll() is None:
                popen.send_signal(signal.SIGCONT)
                popen.kill()
        for popen in self.processes:
            popen.wait(timeout=10)
        for gateway in self.gateways.values():
            log = (self.folder / f"{gateway['name']}.log").read_text(errors="replace")
            for line in log.splitlines():
                if " request=" in line and "level=info" in line:
                    # One of the lines that it writes for each request.
                    continue
                if line.lstrip().startswith(
                    ("File ", "Thread ", "Current thread", "Extension")
                ):
                    # The stacks of a process that was aborted.
                    continue
                line = re.sub(r"/\S*/", "", line[:300])
                self.record(event="gateway_log", gateway=gateway["name"], line=line)
        self._record_file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class ServerProcess:
    """A server stand-in as a process of its own."""

    def __init__(
        self,
        site: Site,
        server_id: str,
        service: str,
        zone: str,
        options: dict[str, Any],
    ) -> None:
        self.server_id = server_id
        self.site = site
        self.port = free_ports(1)[0]
        self.log_path = site.folder / f"{server_id}.jsonl"
        command = [
            "python3",
            str(ROOT / "review" / "server.py"),
            "--id",
            server_id,
            "--service",
            service,
            "--zone",
            zone,
            "--log",
            str(self.log_path),
            "--port",
            str(self.port),
            "--store-port",
            str(site.store_port),
        ]
        for name, value in options.items():
            command += [f"--{name.replace('_', '-')}", str(value)]
        self.popen = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env=site._environment(),
        )
        if not self._read():
            raise CannotRun(f"{server_id} did not start")

    def _read(self) -> dict[str, Any]:
        line = self.popen.stdout.readline() if self.popen.stdout else b""
        return json.loads(line) if line else {}

    def command(self, **fields: Any) -> float:
        """Send a command; return the time at which it was done."""
        assert self.popen.stdin is not None
        self.popen.stdin.write(json.dumps(fields).encode() + b"\n")
        self.popen.stdin.flush()
        done_at = float(self._read()["at"])
        self.site.record(event="server_command", server=self.server_id, command=fields)
        return done_at

    def log(self) -> list[dict[str, Any]]:
        """Return what the server has recorded."""
        text = self.log_path.read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines()]

    def runs(self) -> list[dict[str, Any]]:
        return [entry for entry in self.log() if entry["event"] == "run"]


def _toml(document: dict[str, Any]) -> str:
    lines, tables = [], []
    for name, value in document.items():
        if isinstance(value, dict):
            tables.append(f"[{name}]\n" + _toml(value))
        else:
            lines.append(f"{name} = {json.dumps(value)}")
    return "\n".join([*lines, *tables]) + "\n"


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(
    case_folder: Path, play: Any, bounds: dict[str, Any] | None = None
) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it cannot run."""
    site = Site(case_folder, bounds)
    try:
        site.start_store()
        broken = play(site, has_trouble())
        site.record(event="result", rule_broken=broken)
        print("rule broken" if broken else "rule held")
        status = 1 if broken else 0
    except Exception as error:
        site.record(event="cannot_run", error=repr(error))
        print(f"cannot run: {error!r}", file=sys.stderr)
        status = 2
    finally:
        site.close()
    sys.exit(status)
