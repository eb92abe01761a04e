"""The site of a soak: a store, servers, and gateways behind fault proxies."""

from __future__ import annotations

import os
import signal
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

import attrs
import gevent
from gevent.subprocess import Popen

from ..gateway_site import HOST, KEY, Gateway, GatewaySite, wait_until
from ..processes import Process, ProcessError, TrialProcesses, call_json
from .record import Disturbance, ServerRun, SoakRecord

GATEWAY_COUNT: Final = 4
MODELS: Final = ("m0", "m1", "m2")
# The bound of the gateways' settings on a draining server.
DRAIN_S: Final = 2.0
START_TIMEOUT_S: Final = 30.0


def desired_state(version: int) -> dict[str, Any]:
    """Return a desired state with a route of its own for the version."""
    stream = {
        "host": HOST,
        "kind": "stream",
        "timeout_ms": 5000,
        "target_latency_ms": 600,
        "priority": 1,
        "backends": [],
        "max_attempts": 2,
        "public": False,
        "resumable": True,
        "gap_target_ms": 400,
    }
    plain = stream | {
        "service": "desk",
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "resumable": False,
        "gap_target_ms": 0,
    }
    models = [
        {
            "name": name,
            "weights_size": 70_000.0,
            "load_s": 0.2,
            "adapter_mb": 12.0,
            "warm_s": 0.2,
            "disk_s": 0.2,
        }
        for name in MODELS
    ]
    return {
        "version": version,
        "routes": [
            stream | {"name": "quote", "prefix": "/quote/", "service": "writers"},
            plain | {"name": "deposit", "prefix": "/deposit/", "kind": "unsafe"},
            plain | {"name": "status", "prefix": "/status/", "kind": "safe"},
            plain | {"name": "new", "prefix": f"/v{version}/", "kind": "safe"},
        ],
        "services": [
            {
                "name": "writers",
                "health_path": "/health",
                "cold_s": 0.0,
                "cold_per_s": 100.0,
                "engine": {
                    "slots": 64,
                    "kv_capacity": 250_000,
                    "models": models,
                    "weights_size": 230_000.0,
                    "adapter_slots": 8,
                    "loads_per_s": 5.0,
                },
            },
            {"name": "desk", "health_path": "/health"},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "team",
                "api_keys": [KEY],
                "priority": 0,
                "unit": "tokens",
                "plain_tokens": 10,
                "rate_per_s": 100_000,
                "burst": 100_000,
            }
        ],
    }


@attrs.define
class SoakSite:
    """The processes of a soak."""

    site: GatewaySite
    record: SoakRecord
    started_at: float
    version: int = 1
    proxy_by_gateway: dict[str, Process] = attrs.field(factory=dict)
    server_by_id: dict[str, Process] = attrs.field(factory=dict)
    # Gateways that were asked to stop and still run.
    stopping: set[str] = attrs.field(factory=set)
    _server_count: int = 0

    @classmethod
    def start(cls, folder: Path) -> SoakSite:
        """Start all processes and wait until the gateways are ready."""
        processes = TrialProcesses(folder)
        store = processes.start("store", "siskinspool.standins.platform_store")
        made = cls(
            GatewaySite(processes, folder, store), SoakRecord(), time.monotonic()
        )
        made.apply(1)
        for model in MODELS[:2]:
            made.add_server("writers", model)
        for _ in range(2):
            made.add_server("desk")
        for number in range(GATEWAY_COUNT):
            made._add_gateway(f"g{number}", f"z{number % 2}")
        for gateway in made.gateways():
            wait_until(gateway.is_ready, START_TIMEOUT_S)
        return made

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.started_at

    def gateways(self) -> list[Gateway]:
        """Return the gateways, also those that have ended."""
        return list(self.site.gateways.values())

    def apply(self, version: int) -> None:
        """Write a version of the desired state."""
        self.site.put("op/config", desired_state(version))
        self.version = version

    def add_server(self, service: str, *models: str) -> str:
        """Start a server; return its id."""
        self._server_count += 1
        server_id = f"{service}{self._server_count}"
        self.server_by_id[server_id] = self.site.add_server(server_id, service, *models)
        return server_id

    def drain_server(self, server_id: str) -> None:
        """Let a server announce that it leaves."""
        call_json(self.server_by_id[server_id].port, "POST", "/admin/drain", {})
        drained_at = self.now_s()
        self.record.drained_at_by_server[server_id] = drained_at
        self.record.closed_at_by_server[server_id] = drained_at + DRAIN_S

    def end_server(self, server_id: str) -> None:
        """End a server after reading what it ran."""
        server = self.server_by_id.pop(server_id)
        self._read_runs(server_id, server)
        server.kill()
        self.site.remove(f"servers/{server_id}")

    @contextmanager
    def disturbed(self, gateway: str | None) -> Iterator[None]:
        """Record a disturbance of a gateway, or of all, for the time of the context."""
        disturbance = Disturbance(gateway, self.now_s())
        self.record.disturbances.append(disturbance)
        try:
            yield
        finally:
            disturbance.ended_s = self.now_s()

    def set_server_faults(self, server_id: str, **faults: Any) -> None:
        """Set faults of a server that still runs."""
        if server_id in self.server_by_id:
            port = self.server_by_id[server_id].port
            call_json(port, "POST", "/admin/faults", faults)

    def set_link_faults(self, name: str, **faults: Any) -> None:
        """Set faults of the link between a gateway and the store."""
        proxy = self.proxy_by_gateway[name]
        call_json(
            int(proxy.ready_message["admin_port"]), "POST", "/admin/faults", faults
        )

    def restart_gateway(self, name: str, ended: Popen[bytes]) -> None:
        """Start a gateway again after the given process, unless another fault did."""
        gateway = self.site.gateways[name]
        ended.wait()
        if gateway.popen is ended:
            self.stopping.discard(name)
            self.site.start_gateway(gateway)

    def signal_gateway(self, name: str, number: int) -> bool:
        """Send a signal to a gateway; return whether it runs."""
        popen = self.site.gateways[name].popen
        if popen.poll() is not None:
            return False
        os.kill(popen.pid, number)
        return True

    def stop(self) -> None:
        """Read what the servers ran, and end all processes."""
        for server_id in list(self.server_by_id):
            self.end_server(server_id)
        for gateway in self.gateways():
            self.signal_gateway(gateway.name, signal.SIGCONT)
        self.site.stop()
        self.site.bench.stop()

    def _add_gateway(self, name: str, zone: str) -> None:
        proxy = self.site.bench.start(
            f"proxy-{name}",
            "siskinspool.standins.fault_proxy",
            "--target-port",
            str(self.site.store.port),
        )
        self.proxy_by_gateway[name] = proxy
        self.site.add_gateway(name, zone, store_port=proxy.port)

    def _read_runs(self, server_id: str, server: Process) -> None:
        try:
            seen = call_json(server.port, "GET", "/admin/seen")["seen"]
        except (OSError, ProcessError) as error:
            raise ProcessError(
                f"{server_id} does not tell its runs: {error}"
            ) from error
        self.record.add_runs(
            [
                ServerRun(entry["id"], server_id, entry["at"] - self.started_at)
                for entry in seen
            ]
        )
        gevent.sleep(0)
