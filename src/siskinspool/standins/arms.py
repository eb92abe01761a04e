"""The two arms of a comparison: the product and the plain baseline.

Both arms run the same stand-ins with the same sizes; only the entry instances differ.
The sizes come from the example manifests of the deployments, scaled by `Scale`.
"""

from __future__ import annotations

import json
from abc import ABC, abstractmethod
from pathlib import Path
from typing import Final

import attrs
import gevent

from ..manifest.document import Faults, read_manifest
from ..manifest.model import Manifest, Zone, ZoneState
from .load import LoadTarget
from .processes import Json, Process, TrialProcesses, call_json
from .site import POOL, SitePlan, TrialSite

BASELINE_MODULE: Final = "siskinspool.standins.baseline"


@attrs.frozen(kw_only=True)
class Scale:
    """How a trial is scaled down from the deployment of the example manifest."""

    instances: int = 6
    # Divides load times and multiplies the rate of the weight store.
    time_factor: float = 4.0
    # Multiplies the rates and bursts of teams.
    team_rate_factor: float = 1.0
    capacity: int = 16
    token_s: float = 0.005
    burst_s: float | None = None


def plan_from_example(path: Path, scale: Scale) -> SitePlan:
    """Return a plan with the sizes of an example manifest; all pools become one."""
    manifest = read_manifest(path.read_bytes())
    if isinstance(manifest, Faults):
        raise ValueError(f"{path}: {manifest}")
    return SitePlan(
        zones=tuple(zone.id for zone in manifest.zones),
        instances=scale.instances,
        servers=len(manifest.servers),
        models=tuple(
            attrs.evolve(model, pool=POOL, load_s=model.load_s / scale.time_factor)
            for model in manifest.models
        ),
        adapters=(),
        teams=tuple(
            attrs.evolve(
                team,
                rate=team.rate * scale.team_rate_factor,
                burst=(
                    team.burst * scale.team_rate_factor
                    if scale.burst_s is None
                    else team.rate * scale.team_rate_factor * scale.burst_s
                ),
            )
            for team in manifest.teams
        ),
        services=0,
        server_memory_mib=manifest.servers[0].memory_mib,
        server_capacity=scale.capacity,
        store_rate=manifest.site.store_loads_per_s * scale.time_factor,
        token_s=scale.token_s,
    )


class Arm(ABC):
    """A site with its entry instances."""

    name: str

    def __init__(self, plan: SitePlan, folder: Path) -> None:
        self.plan = plan
        folder.mkdir(parents=True, exist_ok=True)
        self.site = TrialSite(plan, TrialProcesses(folder))

    @abstractmethod
    def start(self) -> None:
        """Start all processes and wait until the instances are ready."""

    @abstractmethod
    def close_zone(self, zone: str) -> None:
        """Close a zone, if the system has zone states."""

    @abstractmethod
    def open_zone(self, zone: str) -> None:
        """Open a zone, if the system has zone states."""

    @property
    @abstractmethod
    def entry_processes(self) -> list[Process]:
        """The entry processes."""

    @property
    def load_target(self) -> LoadTarget:
        """Ports of the entry processes and API keys of the teams."""
        keys = {team: key.text for team, key in self.site.key_by_team.items()}
        return LoadTarget(
            ports=tuple(process.port for process in self.entry_processes),
            key_by_team=keys,
        )

    def engine_numbers(self, zone: str) -> list[int]:
        """Return the numbers of the engines in a zone."""
        zones = self.plan.zones
        return [n for n in range(self.plan.servers) if zones[n % len(zones)] == zone]

    def kill_engines(self, zone: str) -> None:
        """Kill the engines of a zone."""
        for number in self.engine_numbers(zone):
            self.site.engine_by_id[f"engine-{number}"].kill()

    def restart_engines(self, zone: str) -> None:
        """Start the killed engines of a zone again; they are cold."""
        for number in self.engine_numbers(zone):
            self.site.restart_engine(number)

    def reports(self) -> list[Json]:
        """Return the reports of all running engines."""
        running = [p for p in self.site.engine_by_id.values() if p.is_alive]
        return [call_json(process.port, "GET", "/v1/report") for process in running]

    def engine_observations(self) -> list[Json]:
        """Return the counters of all running engines."""
        names = [n for n, p in self.site.engine_by_id.items() if p.is_alive]
        return [self.site.engine_observations(name) for name in names]

    def stop(self) -> None:
        """Stop all processes."""
        self.site.stop()


class ProductArm(Arm):
    """Entry instances of siskinspool."""

    name = "product"

    def start(self) -> None:
        """Start all processes and wait until the instances are ready."""
        site = self.site
        site.start_standins()
        site.publish(site.build_manifest())
        numbers = range(self.plan.instances)
        gevent.joinall(
            [gevent.spawn(site.start_instance, n) for n in numbers], raise_error=True
        )
        site.wait_ready()

    @property
    def entry_processes(self) -> list[Process]:
        """The entry processes."""
        instances = self.site.instance_by_id
        return [instances[f"instance-{n}"] for n in range(self.plan.instances)]

    def close_zone(self, zone: str) -> None:
        """Publish the manifest with the zone closed."""
        self._publish_zone(Zone(id=zone, state=ZoneState.CLOSED))

    def open_zone(self, zone: str) -> None:
        """Publish the manifest with the zone open."""
        self._publish_zone(Zone(id=zone))

    def _publish_zone(self, changed: Zone) -> None:
        manifest: Manifest | None = self.site.manifest
        if manifest is None:
            raise ValueError("no manifest has been published at this site")
        zones = tuple(changed if z.id == changed.id else z for z in manifest.zones)
        self.site.publish(attrs.evolve(manifest, zones=zones))


class BaselineArm(Arm):
    """Entry instances of the baseline."""

    name = "baseline"

    def __init__(
        self, plan: SitePlan, folder: Path, *, limits: bool, idle_unload_s: float
    ) -> None:
        super().__init__(plan, folder)
        self._has_limits = limits
        self._idle_unload_s = idle_unload_s
        self._started_entries: list[Process] = []

    def start(self) -> None:
        """Start all processes."""
        self.site.start_standins()
        self.site.build_manifest()
        for number in range(self.plan.instances):
            path = self.site.processes.folder / f"baseline-{number}.json"
            path.write_text(json.dumps(self._settings(number)), encoding="utf-8")
            self._started_entries.append(
                self.site.processes.start(
                    f"baseline-{number}", BASELINE_MODULE, str(path)
                )
            )

    def _settings(self, number: int) -> Json:
        return {
            "instances": self.plan.instances,
            "servers": [
                {
                    "id": name,
                    "port": process.port,
                    "capacity": self.plan.server_capacity,
                }
                for name, process in self.site.engine_by_id.items()
            ],
            "teams": [
                {
                    "id": team.id,
                    "rate": team.rate,
                    "burst": team.burst,
                    "key": self.site.key_by_team[team.id].text,
                }
                for team in self.plan.teams
            ],
            "idle_unload_s": self._idle_unload_s,
            "limits": self._has_limits,
            "seed": number,
        }

    @property
    def entry_processes(self) -> list[Process]:
        """The entry processes."""
        return self._started_entries

    def close_zone(self, zone: str) -> None:
        """Do nothing: the baseline has no zone state."""

    def open_zone(self, zone: str) -> None:
        """Do nothing: the baseline has no zone state."""
