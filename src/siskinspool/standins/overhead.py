"""What one entry instance costs: added latency, throughput, memory, idle CPU time.

The added latency compares calls through the instance with direct calls to the engine,
one of each in turn. Throughput is found with a closed loop from several load processes
on several engines, so that only the entry process is at its limit; the output shows how
busy the processes were.
"""

from __future__ import annotations

import json
import os
import sys
import tempfile
import time
from pathlib import Path
from typing import Final

import attrs
import click
import gevent
from gevent.subprocess import PIPE, Popen

from ..manifest.model import Model, Team
from .load import LoadTarget, run_load, send_request
from .load_results import Json, count_refusals, quantiles
from .load_schedule import Arrival, BurstFlow, RequestKind, build_schedule
from .processes import Process, call_json
from .site import POOL, SitePlan, TrialSite

ENGINES: Final = 4
LOAD_PROCESSES: Final = 3
RAMP_S: Final = 28.0
IDLE_S: Final = 10.0
TICKS_PER_S: Final = os.sysconf("SC_CLK_TCK")

# One model fills an engine, so that every engine holds one.
PLAN: Final = SitePlan(
    zones=("a",),
    instances=1,
    servers=ENGINES,
    services=0,
    server_memory_mib=500,
    models=tuple(
        Model(id=f"m{n}", pool=POOL, memory_mib=400, load_s=0.2, max_replicas=1)
        for n in range(ENGINES)
    ),
    adapters=(),
    teams=(Team(id="guild", rate=100_000_000, burst=100_000_000),),
    server_capacity=64,
    token_s=0.001,
    log_level="info",
)


def cpu_s(pid: int) -> float:
    """Return the CPU time that a process has used."""
    text = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ValueError(f"no resident memory of process {pid}")


@attrs.frozen(kw_only=True)
class Stand:
    """A site with one instance and the figures' inputs."""

    site: TrialSite

    @property
    def entry(self) -> Process:
        """The entry process."""
        return self.site.instance_by_id["instance-0"]

    @property
    def key(self) -> str:
        """The team's key."""
        return self.site.key_by_team["guild"].text

    def holder_port(self, model: str) -> int:
        """Return the port of the engine that holds a model."""
        for process in self.site.engine_by_id.values():
            report = call_json(process.port, "GET", "/v1/report")
            if any(replica["model"] == model for replica in report["replicas"]):
                return process.port
        raise ValueError(f"no engine holds {model}")


def idle_figures(stand: Stand) -> Json:
    """Return memory and CPU time of the instance with nothing loaded."""
    pid = stand.entry.popen.pid
    before = cpu_s(pid)
    gevent.sleep(IDLE_S)
    return {
        "resident_mib": round(resident_mib(pid), 1),
        "cpu_percent_of_core": round(100 * (cpu_s(pid) - before) / IDLE_S, 2),
    }


def added_latency(stand: Stand, count: int, streamed: bool) -> Json:
    """Return the times of direct calls and of calls through the instance."""
    arrival = Arrival(
        at_s=0.0,
        team="guild",
        target="m0",
        instance=0,
        max_tokens=1,
        streamed=streamed,
        deadline_ms=10_000,
    )
    ports = {"direct": stand.holder_port("m0"), "entry": stand.entry.port}
    times: dict[str, list[float]] = {name: [] for name in ports}
    for number in range(count):
        names = list(ports) if number % 2 else list(ports)[::-1]
        for name in names:
            target = LoadTarget(ports=(ports[name],), key_by_team={"guild": stand.key})
            result = send_request(target, arrival, time.monotonic())
            if not result.is_ok or result.first_token_s is None:
                raise ValueError(f"{name}: {result}")
            times[name].append(result.first_token_s * 1000)
    found = {name: quantiles(values) for name, values in times.items()}
    direct, entry = found["direct"], found["entry"]
    if direct is None or entry is None:
        raise ValueError("no calls")
    return {
        "streamed": streamed,
        "calls": count,
        "direct_ms": [round(direct.p50, 2), round(direct.p99, 2)],
        "entry_ms": [round(entry.p50, 2), round(entry.p99, 2)],
        "added_ms": [
            round(entry.p50 - direct.p50, 2),
            round(entry.p99 - direct.p99, 2),
        ],
    }


def throughput(
    stand: Stand, seconds: float, workers: int, tokens: int, streamed: bool
) -> Json:
    """Return requests and chunks per second with a closed loop."""
    command = [sys.executable, "-m", "siskinspool.standins.load"]
    command += ["--port", str(stand.entry.port), "--key", stand.key, "--team", "guild"]
    command += [part for n in range(ENGINES) for part in ("--model", f"m{n}")]
    command += ["--workers", str(workers), "--seconds", str(seconds)]
    command += ["--per-s", "100", "--max-tokens", str(tokens)]
    command += ["--streamed-share", "1.0" if streamed else "0.0"]
    pids = {"entry": stand.entry.popen.pid}
    engines = stand.site.engine_by_id
    pids |= {name: process.popen.pid for name, process in engines.items()}
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    started_at = time.monotonic()
    runs = [
        Popen([*command, "--seed", str(n)], stdout=PIPE) for n in range(LOAD_PROCESSES)
    ]
    outputs = [json.loads(run.communicate()[0]) for run in runs]
    took_s = time.monotonic() - started_at
    ok = sum(output["all"]["ok"] for output in outputs)
    # The load processes start and stop within `took_s`; their own time is the load's.
    load_s = max(output["took_s"] for output in outputs)
    busy = {
        name: round(100 * (cpu_s(pid) - before[name]) / load_s)
        for name, pid in pids.items()
    }
    return {
        "streamed": streamed,
        "tokens": tokens,
        "workers": workers * LOAD_PROCESSES,
        "requests_per_s": round(ok / load_s, 1),
        "chunks_per_s": round(ok * (tokens + 2) / load_s) if streamed else 0,
        "cpu_percent": busy,
        "refused": [output["all"]["refused_by_code"] for output in outputs],
        "wall_s": round(took_s, 1),
    }


def load_models(stand: Stand) -> None:
    """Load one model on each engine and wait until ramps are over."""
    target = LoadTarget(ports=(stand.entry.port,), key_by_team={"guild": stand.key})
    flows = [
        BurstFlow(kind=RequestKind(team="guild", targets=(f"m{n}",)), at_s=0.0)
        for n in range(ENGINES)
    ]
    refused = count_refusals(run_load(target, build_schedule(flows, 0)))
    if refused:
        raise ValueError(f"loading: {refused}")
    for process in stand.site.engine_by_id.values():
        call_json(process.port, "POST", "/admin/faults", {"warm": True})


@click.command()
@click.option("--calls", default=400, help="Calls of each arm for the latency.")
@click.option("--seconds", default=8.0, help="Time of each throughput run.")
@click.option("--log-level", default="info", help="Log level of the instance.")
def main(calls: int, seconds: float, log_level: str) -> None:
    """Print the figures of one entry instance, one JSON line each."""
    with tempfile.TemporaryDirectory(prefix="siskinspool-overhead-") as folder:
        plan = attrs.evolve(PLAN, log_level=log_level)
        site = TrialSite.from_plan(plan, Path(folder))
        ready_at = time.monotonic()
        try:
            stand = Stand(site=site)
            click.echo(json.dumps({"idle": idle_figures(stand)}))
            load_models(stand)
            gevent.sleep(max(0.0, ready_at + RAMP_S - time.monotonic()))
            for streamed in (False, True):
                found = added_latency(stand, calls, streamed)
                click.echo(json.dumps({"latency": found}))
            for tokens, streamed in ((1, False), (200, True)):
                figures = throughput(stand, seconds, 24, tokens, streamed)
                click.echo(json.dumps({"throughput": figures}))
            pid = stand.entry.popen.pid
            click.echo(json.dumps({"resident_mib_after": round(resident_mib(pid), 1)}))
        finally:
            site.stop()


if __name__ == "__main__":
    main()
