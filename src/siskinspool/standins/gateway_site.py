"""Real gateway processes with stand-ins of the platform, for tests and the soak."""

from __future__ import annotations

import base64
import itertools
import json
import os
import signal
import socket
import sys
import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any, Final

import attrs
import gevent
from gevent.subprocess import Popen

from .partitioned_gateway import Form, write_partition
from .processes import Process, TrialProcesses, call, call_json

Answer = tuple[int, dict[str, str], bytes]
HOST: Final = "site.example"
KEY: Final = "k1"


# Ports that the kernel gives to nobody by itself, by default.
FIRST_PORT: Final = 12_000
LAST_PORT: Final = 32_000
# Distance of the first ports of two runs at once.
PORTS_PER_PROCESS: Final = 500
_numbers: Final = itertools.count(os.getpid() * PORTS_PER_PROCESS)


def free_ports(count: int) -> list[int]:
    """Return ports that nothing listens on.

    A gateway binds them later. Until then any process could be given a port of the
    kernel's range, so these are chosen below it.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = FIRST_PORT + next(_numbers) % (LAST_PORT - FIRST_PORT)
        if _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


@attrs.define
class Gateway:
    """One gateway process with its ports."""

    name: str
    popen: Popen[bytes]
    log_path: Path
    front: int
    ready: int
    metrics: int

    def send(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send a request as a requester."""
        sent = {
            "Host": HOST,
            "Request-Id": f"r{time.monotonic_ns()}",
            "Deadline-Ms": "5000",
            "Authorization": f"Bearer {KEY}",
        }
        sent |= headers or {}
        return call(self.front, method, path, body, sent)

    def is_ready(self) -> bool:
        """Return whether the gateway is ready for new connections."""
        try:
            return call(self.ready, "GET", "/-/ready", timeout_s=1.0)[0] == 200
        except OSError:
            return False

    def status(self) -> dict[str, Any]:
        """Return the gateway's status page."""
        return call_json(self.metrics, "GET", "/status")

    def knows_members(self, *names: str) -> bool:
        """Return whether this gateway's members are exactly the given ones."""
        return bool(self.status()["members"]["members"] == sorted(names))

    def knows_servers(self, *server_ids: str) -> bool:
        """Return whether this gateway knows all of these servers."""
        return set(server_ids) <= set(self.status()["routing"]["servers"])

    def log(self) -> str:
        """Return the log of the process."""
        return self.log_path.read_text(encoding="utf-8", errors="replace")


def wait_until(condition: Any, timeout_s: float = 10.0) -> None:
    """Wait until a condition holds; fail after the timeout."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < deadline, "the condition did not hold in time"
        gevent.sleep(0.02)


@attrs.define
class GatewaySite:
    """Store, servers and gateways of one test."""

    bench: TrialProcesses
    folder: Path
    store: Process
    # The gateways' paths to servers can be cut.
    partitionable: bool = False
    gateways: dict[str, Gateway] = attrs.field(factory=dict)

    def put(self, key: str, document: dict[str, Any] | bytes) -> None:
        """Write a key as the operator or a server does."""
        if not isinstance(document, bytes):
            document = json.dumps(document).encode()
        value = base64.b64encode(document).decode("ascii")
        call_json(self.store.port, "POST", "/admin/put", {"key": key, "value": value})

    def remove(self, key: str) -> None:
        """Remove a key."""
        call_json(self.store.port, "POST", "/admin/remove", {"key": key})

    def store_faults(self, **faults: Any) -> None:
        """Set faults of the store."""
        call_json(self.store.port, "POST", "/admin/faults", faults)

    def keep_store_copy(self) -> None:
        """Keep a copy of the store, from which it may return."""
        call_json(self.store.port, "POST", "/admin/copy", {})

    def return_store(self, *, rewrites: bool = True) -> None:
        """Let the store return from the copy that was kept last.

        Unless ``rewrites`` is false, what the operator and the servers have written
        since is written again.
        """
        call_json(self.store.port, "POST", "/admin/return", {"rewrites": rewrites})

    def add_server(
        self,
        server_id: str,
        service: str,
        *models: str,
        zone: str = "a",
        software_version: str = "v1",
    ) -> Process:
        """Start a server; servers of the service ``writers`` are model servers."""
        port = free_ports(1)[0]
        options = ["--port", str(port), "--server-id", server_id, "--service", service]
        options += ["--store-port", str(self.store.port), "--zone", zone]
        options += ["--software-version", software_version]
        for model in models:
            options += ["--model", model]
        if service == "writers":
            options.append("--engine")
        module = "siskinspool.standins.platform_server"
        return self.bench.start(server_id, module, *options)

    def add_gateway(
        self,
        name: str,
        zone: str = "a",
        store_port: int | None = None,
        edit_settings: Callable[[dict[str, Any]], None] = lambda document: None,
    ) -> Gateway:
        """Start a gateway and return without waiting.

        It reaches the store at ``store_port``, which may be that of a proxy.
        ``edit_settings`` may change its settings document before it is written.
        """
        front, ready, peer, metrics = free_ports(4)
        settings = self.folder / f"{name}.toml"
        port = self.store.port if store_port is None else store_port
        document = default_settings(name, zone, front, ready, peer, metrics, port)
        edit_settings(document)
        settings.write_text(encode_settings(document), encoding="utf-8")
        popen = self._start_process(name)
        log_path = self.folder / f"{name}.log"
        gateway = Gateway(name, popen, log_path, front, ready, metrics)
        self.gateways[name] = gateway
        return gateway

    def start_gateway(self, gateway: Gateway) -> None:
        """Start the process of a gateway again, with its settings."""
        gateway.popen = self._start_process(gateway.name)

    def partition(
        self, gateway: Gateway, form: Form | None, servers: Iterable[Process]
    ) -> None:
        """Cut a gateway's paths to servers off; None ends that.

        The site must have been made with ``partitionable``.
        """
        ports = [server.port for server in servers]
        write_partition(self._control_path(gateway.name), form, ports)

    def _control_path(self, name: str) -> Path:
        return self.folder / f"{name}.partition.json"

    def _start_process(self, name: str) -> Popen[bytes]:
        settings = self.folder / f"{name}.toml"
        command = [sys.executable, "-m", "siskinspool.platform.daemon", str(settings)]
        if self.partitionable:
            command[2] = "siskinspool.standins.partitioned_gateway"
            command.append(str(self._control_path(name)))
        with (self.folder / f"{name}.log").open("ab") as log:
            return Popen(command, stdout=log, stderr=log)

    def wait_ready(self, *servers: str) -> None:
        """Wait until all gateways are ready and know these servers."""
        for gateway in self.gateways.values():
            wait_until(gateway.is_ready)
            wait_until(lambda gateway=gateway: gateway.knows_servers(*servers))

    def leader(self) -> Gateway | None:
        """Return the gateway that gives orders."""
        for gateway in self.gateways.values():
            alive = gateway.popen.poll() is None
            if alive and gateway.status()["placement"].get("leading"):
                return gateway
        return None

    def stop(self) -> None:
        """End all gateways."""
        for gateway in self.gateways.values():
            if gateway.popen.poll() is None:
                os.kill(gateway.popen.pid, signal.SIGKILL)
                gateway.popen.wait(timeout=5)


def default_settings(
    name: str,
    zone: str,
    front: int,
    ready: int,
    peer: int,
    metrics: int,
    store: int,
) -> dict[str, Any]:
    """Return the settings of a gateway, with all contracts that it knows in force."""
    return {
        "node": name,
        "zone": zone,
        "ip": "127.0.0.1",
        "internal_ports": [peer, metrics],
        "bootstrap": True,
        "heartbeat_ms": 300,
        "contracts": [
            "drain",
            "config",
            "retry",
            "quota",
            "places",
            "engine",
            "platform",
        ],
        "listen": {"front": f"127.0.0.1:{front}", "ready": f"127.0.0.1:{ready}"},
        "platform": {"addr": f"127.0.0.1:{store}", "ttl_min_ms": 1000},
        "bounds": {
            "grace_s": 6,
            "drain_ms": 2000,
            "config_apply_ms": 2000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_extra_retries": 58,
            "quota_window_s": 8,
            "quota_overage": 0.1,
            "quota_slack": 110000,
            "cold_overage": 1.5,
            "cold_slack": 5,
            "lease_ms": 3000,
            "require_fence": True,
            "ceiling_window_s": 5,
            "ceiling_overage": 1.1,
        },
    }


def encode_settings(document: dict[str, Any]) -> str:
    """Return a document of one level of tables as TOML."""
    lines = [
        f"{name} = {json.dumps(value)}"
        for name, value in document.items()
        if not isinstance(value, dict)
    ]
    for name, table in document.items():
        if isinstance(table, dict):
            lines.append(f"[{name}]")
            lines += [f"{key} = {json.dumps(value)}" for key, value in table.items()]
    return "\n".join(lines) + "\n"
