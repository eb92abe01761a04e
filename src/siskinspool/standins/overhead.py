"""Costs of one entry instance: added latency, throughput, memory and idle CPU time.

The added latency is the difference between calls through the instance and direct calls
to the engine, which alternate. Throughput is measured by closed loops in several load
processes against several engines, so that only the entry process is saturated; the
output shows the CPU use of the processes.
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

# One model fills an engine, so that each engine gets one.
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
class OverheadSite:
    """A site with one entry instance whose overhead is measured."""

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
        """Return the port of the engine that has a model loaded."""
        for process in self.site.engine_by_id.values():
            report = call_json(process.port, "GET", "/v1/report")
            if any(replica["model"] == model for replica in report["replicas"]):
                return process.port
        raise ValueError(f"no engine has loaded {model}")


def idle_figures(measured_site: OverheadSite) -> Json:
    """Return memory and CPU use of the instance before any request."""
    pid = measured_site.entry.popen.pid
    before = cpu_s(pid)
    gevent.sleep(IDLE_S)
    return {
        "resident_mib": round(resident_mib(pid), 1),
        "cpu_percent_of_core": round(100 * (cpu_s(pid) - before) / IDLE_S, 2),
    }


def added_latency(measured_site: OverheadSite, count: int, streamed: bool) -> Json:
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
    ports = {
        "direct": measured_site.holder_port("m0"),
        "entry": measured_site.entry.port,
    }
    times: dict[str, list[float]] = {name: [] for name in ports}
    for number in range(count):
        names = list(ports) if number % 2 else list(ports)[::-1]
        for name in names:
            target = LoadTarget(
                ports=(ports[name],), key_by_team={"guild": measured_site.key}
            )
            result = send_request(target, arrival, time.monotonic())
            if not result.is_ok or result.first_token_s is None:
                raise ValueError(f"{name}: {result}")
            times[name].append(result.first_token_s * 1000)
    distribution_by_path = {name: quantiles(values) for name, values in times.items()}
    direct, entry = distribution_by_path["direct"], distribution_by_path["entry"]
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
    measured_site: OverheadSite,
    seconds: float,
    workers: int,
    tokens: int,
    streamed: bool,
) -> Json:
    """Return requests and chunks per second of closed-loop load."""
    command = [sys.executable, "-m", "siskinspool.standins.load"]
    command += [
        "--port",
        str(measured_site.entry.port),
        "--key",
        measured_site.key,
        "--team",
        "guild",
    ]
    command += [part for n in range(ENGINES) for part in ("--model", f"m{n}")]
    command += ["--workers", str(workers), "--seconds", str(seconds)]
    command += ["--per-s", "100", "--max-tokens", str(tokens)]
    command += ["--streamed-share", "1.0" if streamed else "0.0"]
    pids = {"entry": measured_site.entry.popen.pid}
    engines = measured_site.site.engine_by_id
    pids |= {name: process.popen.pid for name, process in engines.items()}
    before = {name: cpu_s(pid) for name, pid in pids.items()}
    started_at = time.monotonic()
    load_processes = [
        Popen([*command, "--seed", str(n)], stdout=PIPE) for n in range(LOAD_PROCESSES)
    ]
    outputs = [json.loads(run.communicate()[0]) for run in load_processes]
    took_s = time.monotonic() - started_at
    ok = sum(output["all"]["ok"] for output in outputs)
    # `took_s` includes the start and stop of the load processes; the load itself took
    # the time that they report.
    load_s = max(output["took_s"] for output in outputs)
    cpu_percent = {
        name: round(100 * (cpu_s(pid) - before[name]) / load_s)
        for name, pid in pids.items()
    }
    return {
        "streamed": streamed,
        "tokens": tokens,
        "workers": workers * LOAD_PROCESSES,
        "requests_per_s": round(ok / load_s, 1),
        "chunks_per_s": round(ok * (tokens + 2) / load_s) if streamed else 0,
        "cpu_percent": cpu_percent,
        "refused": [output["all"]["refused_by_code"] for output in outputs],
        "wall_s": round(took_s, 1),
    }


def load_models(measured_site: OverheadSite) -> None:
    """Load one model on each engine and make the engines warm."""
    target = LoadTarget(
        ports=(measured_site.entry.port,), key_by_team={"guild": measured_site.key}
    )
    flows = [
        BurstFlow(kind=RequestKind(team="guild", targets=(f"m{n}",)), at_s=0.0)
        for n in range(ENGINES)
    ]
    refused = count_refusals(run_load(target, build_schedule(flows, 0)))
    if refused:
        raise ValueError(f"requests that load models were refused: {refused}")
    for process in measured_site.site.engine_by_id.values():
        call_json(process.port, "POST", "/admin/faults", {"warm": True})


@click.command()
@click.option("--calls", default=400, help="Calls each way for the latency.")
@click.option("--seconds", default=8.0, help="Time of each throughput run.")
@click.option("--log-level", default="info", help="Log level of the instance.")
def main(calls: int, seconds: float, log_level: str) -> None:
    """Measure one entry instance and print a JSON line for each measurement."""
    with tempfile.TemporaryDirectory(prefix="siskinspool-overhead-") as folder:
        plan = attrs.evolve(PLAN, log_level=log_level)
        site = TrialSite.from_plan(plan, Path(folder))
        ready_at = time.monotonic()
        try:
            measured_site = OverheadSite(site=site)
            click.echo(json.dumps({"idle": idle_figures(measured_site)}))
            load_models(measured_site)
            gevent.sleep(max(0.0, ready_at + RAMP_S - time.monotonic()))
            for streamed in (False, True):
                latency = added_latency(measured_site, calls, streamed)
                click.echo(json.dumps({"latency": latency}))
            for tokens, streamed in ((1, False), (200, True)):
                figures = throughput(measured_site, seconds, 24, tokens, streamed)
                click.echo(json.dumps({"throughput": figures}))
            pid = measured_site.entry.popen.pid
            click.echo(json.dumps({"resident_mib_after": round(resident_mib(pid), 1)}))
        finally:
            site.stop()


if __name__ == "__main__":
    main()
