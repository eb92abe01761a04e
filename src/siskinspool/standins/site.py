"""A whole site on loopback: stand-ins, entry instances and a manifest.

`SitePlan` describes the site. `TrialSite` starts its processes, publishes the manifest
and waits until the instances are ready. The demo, the integration tests and the load
tool all use it.
"""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

import attrs
import gevent

from ..contracts.api_key import IssuedKey, issue_key
from ..manifest.model import (
    Adapter,
    Key,
    Manifest,
    Model,
    Pool,
    RequestClass,
    Route,
    Server,
    Service,
    Site,
    Team,
    Zone,
)
from ..manifest.publisher import Publisher, PublishSucceeded, PublishUnchanged
from ..store.etcd import EtcdKeyValueService
from .partitioned_gateway import Form, write_partition
from .processes import Process, ProcessError, TrialProcesses, call, call_json

READY_TIMEOUT_S: Final = 30.0
CHECK_INTERVAL_S: Final = 0.05
POOL: Final = "engines"

Json = dict[str, Any]


@attrs.frozen(kw_only=True)
class SitePlan:
    """Composition and settings of a trial site."""

    zones: tuple[str, ...] = ("a", "b", "c")
    instances: int = 3
    servers: int = 3
    models: tuple[Model, ...] = (
        Model(id="quote", pool=POOL, memory_mib=400, load_s=0.5),
        Model(id="estimate", pool=POOL, memory_mib=400, load_s=0.5),
        Model(id="ledger", pool=POOL, memory_mib=400, load_s=0.5),
    )
    adapters: tuple[Adapter, ...] = (
        Adapter(id="ilorin", model="quote", memory_mib=10),
    )
    teams: tuple[Team, ...] = (
        Team(id="guild", rate=5_000, burst=20_000),
        Team(id="visitor", rate=100, burst=500, allow=("ledger",)),
    )
    services: int = 1
    server_memory_mib: int = 1000
    server_capacity: int = 16
    # Whether engines with an odd number ignore fencing numbers.
    mixed_fencing: bool = True
    store_rate: float = 4.0
    token_s: float = 0.005
    cold_limit: int = 4
    list_lag_s: float = 0.5
    session_ttl_s: float = 10.0
    session_renew_s: float = 3.0
    log_level: str = "info"
    operator_token: str = "trial-operator-token"
    # UDP port on loopback that metrics are sent to; None sends none.
    statsd_port: int | None = None
    # The instances' paths to servers can be cut.
    partitionable: bool = False


@attrs.define
class TrialSite:
    """The running processes of a trial site."""

    plan: SitePlan
    processes: TrialProcesses
    manifest: Manifest | None = None
    key_by_team: dict[str, IssuedKey] = attrs.field(factory=dict)
    engine_by_id: dict[str, Process] = attrs.field(factory=dict)
    service_by_id: dict[str, Process] = attrs.field(factory=dict)
    instance_by_id: dict[str, Process] = attrs.field(factory=dict)
    # Ports at which instances reach external systems, by name. A test may replace one
    # by the port of a proxy.
    port_by_name: dict[str, int] = attrs.field(factory=dict)

    @classmethod
    def from_plan(cls, plan: SitePlan, folder: Path) -> TrialSite:
        """Start a whole site and wait until all instances are ready.

        Processes that were started are stopped again if any step fails.
        """
        site = cls(plan, TrialProcesses(folder))
        try:
            site.start_standins()
            site.publish(site.build_manifest())
            for number in range(plan.instances):
                site.start_instance(number)
            site.wait_ready()
        except BaseException:
            site.stop()
            raise
        return site

    def stop(self) -> None:
        """Stop all processes."""
        self.processes.stop()

    @property
    def platform(self) -> Process:
        """Process of the platform stand-in."""
        return self.processes.process_by_name["platform"]

    def start_standins(self) -> None:
        """Start the platform, the weight store, the engines and the services."""
        module = "siskinspool.standins"
        plan = self.plan
        platform = self.processes.start(
            "platform", f"{module}.platform", "--list-lag-s", str(plan.list_lag_s)
        )
        self.port_by_name["platform"] = platform.port
        store = self.processes.start(
            "store", f"{module}.store", "--rate", str(plan.store_rate)
        )
        self.port_by_name["store"] = store.port
        for number in range(plan.servers):
            self._start_engine(number)
        for number in range(plan.services):
            name = f"service-{number}"
            process = self.processes.start(name, f"{module}.service")
            self.service_by_id[name] = process
            self.port_by_name[name] = process.port

    def restart_engine(self, number: int) -> None:
        """Start a stopped engine again, on the port that it had before."""
        self._start_engine(number, self.port_by_name[f"engine-{number}"])

    def _start_engine(self, number: int, port: int = 0) -> None:
        plan, name = self.plan, f"engine-{number}"
        process = self.processes.start(
            name,
            "siskinspool.standins.engine",
            "--port",
            str(port),
            "--server-id",
            name,
            "--store-port",
            str(self.port_by_name["store"]),
            "--memory-mib",
            str(plan.server_memory_mib),
            "--capacity",
            str(plan.server_capacity),
            "--token-s",
            str(plan.token_s),
            "--cold-limit",
            str(plan.cold_limit),
            "--checks-fencing" if self._checks_fencing(number) else "--ignores-fencing",
        )
        self.engine_by_id[name] = process
        self.port_by_name[name] = process.port
        sizes: Json = {}
        sized: tuple[Model | Adapter, ...] = (*plan.models, *plan.adapters)
        for entity in sized:
            sizes[entity.id] = {
                "memory_mib": entity.memory_mib,
                "load_s": entity.load_s,
            }
        call_json(process.port, "POST", "/admin/catalog", sizes)

    def _checks_fencing(self, number: int) -> bool:
        return not self.plan.mixed_fencing or number % 2 == 0

    def build_manifest(self) -> Manifest:
        """Build the manifest of the plan, with a new API key for each team."""
        plan = self.plan
        keys: list[Key] = []
        for team in plan.teams:
            issued = issue_key(f"{team.id}-1", team.id)
            self.key_by_team[team.id] = issued
            keys.append(issued.entry)
        return Manifest(
            site=Site(id="trial", store_loads_per_s=plan.store_rate),
            zones=tuple(Zone(id=zone) for zone in plan.zones),
            pools=(Pool(id=POOL),),
            servers=tuple(self._build_server(number) for number in range(plan.servers)),
            models=plan.models,
            adapters=plan.adapters,
            services=tuple(
                Service(
                    id=name,
                    zone=self._zone_for(number),
                    host="127.0.0.1",
                    port=self.port_by_name[name],
                )
                for number, name in enumerate(self.service_by_id)
            ),
            routes=self._build_routes(),
            teams=plan.teams,
            keys=tuple(keys),
        )

    def _build_routes(self) -> tuple[Route, ...]:
        names = tuple(self.service_by_id)
        if not names:
            return ()
        return (
            Route(id="deposits", path="/deposits", services=names, idempotent=False),
            Route(id="stock", path="/stock", services=names, open=True, cost_tokens=0),
            Route(
                id="orders",
                path="/orders",
                services=names,
                idempotent=False,
                request_class=RequestClass.PATIENT,
                deadline_ms=60_000,
            ),
        )

    def _zone_for(self, number: int) -> str:
        return self.plan.zones[number % len(self.plan.zones)]

    def _build_server(self, number: int) -> Server:
        name = f"engine-{number}"
        return Server(
            id=name,
            zone=self._zone_for(number),
            pool=POOL,
            host="127.0.0.1",
            port=self.port_by_name[name],
            memory_mib=self.plan.server_memory_mib,
            capacity=self.plan.server_capacity,
            checks_fencing=self._checks_fencing(number),
        )

    def publish(self, manifest: Manifest) -> int:
        """Publish a manifest and return its revision."""
        gateway = EtcdKeyValueService("127.0.0.1", self.platform.port)
        outcome = Publisher(gateway).publish(manifest)
        if not isinstance(outcome, PublishSucceeded | PublishUnchanged):
            raise ProcessError(f"the manifest was rejected: {outcome}")
        self.manifest = manifest
        return outcome.revision

    def start_instance(self, number: int) -> Process:
        """Write the settings of an entry instance and start it."""
        name = f"instance-{number}"
        platform = {"host": "127.0.0.1", "port": self.port_by_name["platform"]}
        settings: Json = {
            "instance_id": name,
            "site": "trial",
            "zone": self._zone_for(number),
            "listen": {"host": "127.0.0.1", "port": 0},
            "peer": {"host": "127.0.0.1", "port": 0},
            "key_value": platform,
            "instance_list": platform,
            "log_level": self.plan.log_level,
            "operator_token": self.plan.operator_token,
            "session_ttl_s": self.plan.session_ttl_s,
            "session_renew_s": self.plan.session_renew_s,
        }
        if self.plan.statsd_port is not None:
            statsd = {"host": "127.0.0.1", "port": self.plan.statsd_port}
            settings["statsd"] = statsd
        path = self.processes.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        process = self._start_daemon(name, str(path))
        self.instance_by_id[name] = process
        self.port_by_name[name] = process.port
        return process

    def partition(self, instance: str, form: Form | None) -> None:
        """Cut an instance off from all engines and services; None ends that.

        The plan must be ``partitionable``.
        """
        backends = self.engine_by_id | self.service_by_id
        ports = [process.port for process in backends.values()]
        write_partition(self._control_path(instance), form, ports)

    def _start_daemon(self, name: str, settings: str) -> Process:
        if not self.plan.partitionable:
            return self.processes.start(name, "siskinspool.daemon", settings)
        control = str(self._control_path(name))
        module = "siskinspool.standins.partitioned_entry"
        return self.processes.start(name, module, settings, control)

    def _control_path(self, instance: str) -> Path:
        return self.processes.folder / f"{instance}.partition.json"

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until all running instances are ready."""
        for name, process in self.instance_by_id.items():
            if process.is_alive:
                wait_until(
                    lambda port=process.port: is_ready(port),  # type: ignore[misc]
                    f"{name} is ready",
                    timeout_s,
                )

    def authorization_header(self, team: str) -> dict[str, str]:
        """Return the request header that carries a team's API key."""
        return {"Authorization": f"Bearer {self.key_by_team[team].text}"}

    def engine_observations(self, engine: str) -> Json:
        """Return the counters of an engine."""
        return call_json(self.engine_by_id[engine].port, "GET", "/admin/observed")

    def service_runs(self, service: str = "service-0") -> Json:
        """Return how often a service ran each business call, by reference."""
        port = self.service_by_id[service].port
        result: Json = call_json(port, "GET", "/admin/runs")["runs"]
        return result


def is_ready(port: int) -> bool:
    """Return whether the instance at a port reports that it is ready."""
    try:
        return call(port, "GET", "/readyz", timeout_s=2.0)[0] == 200
    except OSError:
        return False


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float) -> float:
    """Poll a condition; return the seconds until it held.

    Raises ProcessError with ``what`` when the timeout passes first.
    """
    started_at = time.monotonic()
    while not condition():
        if time.monotonic() - started_at > timeout_s:
            raise ProcessError(f"timed out after {timeout_s:g} s waiting until {what}")
        gevent.sleep(CHECK_INTERVAL_S)
    return time.monotonic() - started_at
