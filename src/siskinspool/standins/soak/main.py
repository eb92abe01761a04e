"""Run a soak: ``python -m siskinspool.standins.soak.main --seed 1 --seconds 60``.

Prints each fault as it ends and a summary, and exits with status 1 if a promise was
broken. The schedule of the faults follows from the seed; what the processes do in
between does not, so a seed is a place to look and not an exact replay. The logs stay in
the folder that is named.
"""

from __future__ import annotations

import json
import random
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Final

import attrs
import click
import gevent

from .callers import Caller, VersionProbe
from .faults import FAULTS, Fault
from .record import SoakRecord
from .site import SoakSite

CALLER_COUNT: Final = 12
# Pause between the beginnings of two faults; they last longer, so they overlap.
MIN_PAUSE_S: Final = 0.3
MAX_PAUSE_S: Final = 1.5
# Lets the last faults end and the requests be answered.
SETTLE_S: Final = 8.0

Print = Callable[[str], None]


@attrs.define
class Soak:
    """One run."""

    folder: Path
    seed: int
    seconds: float
    show: Print = print

    def run(self) -> SoakRecord:
        """Run until the time is over; return what was seen."""
        rng = random.Random(self.seed)
        site = SoakSite.start(self.folder)
        callers = [
            Caller(f"c{number}", site, self.seed) for number in range(CALLER_COUNT)
        ]
        probes = [VersionProbe(gateway, site) for gateway in site.gateways()]
        greenlets = [gevent.spawn(caller.run) for caller in callers]
        greenlets += [gevent.spawn(probe.run) for probe in probes]
        faults = []
        try:
            while site.now_s() < self.seconds - SETTLE_S:
                fault, fault_rng = rng.choice(FAULTS), random.Random(rng.random())
                faults.append(gevent.spawn(self._inject, fault, site, fault_rng))
                gevent.sleep(rng.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            gevent.joinall(faults, timeout=2 * SETTLE_S)
            gevent.sleep(max(self.seconds - site.now_s(), 1.0))
        finally:
            gevent.killall([*greenlets, *faults])
            site.stop()
        site.record.check_runs()
        return site.record

    def _inject(self, fault: Fault, site: SoakSite, rng: random.Random) -> None:
        began_s = site.now_s()
        done = fault.run(site, rng)
        if done:
            self.show(f"{began_s:7.2f} {site.now_s():7.2f} {done}")


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option("--seconds", default=60.0, show_default=True)
@click.option("--folder", type=click.Path(path_type=Path), help="Where logs are kept.")
def main(seed: int, seconds: float, folder: Path | None) -> None:
    """Run one soak."""
    target = folder or Path(tempfile.mkdtemp(prefix="siskinspool-soak-"))
    target.mkdir(parents=True, exist_ok=True)
    record = Soak(target, seed, seconds, click.echo).run()
    summary = {
        "seed": seed,
        "seconds": seconds,
        "requests": len(record.kind_by_id),
        "runs": sum(len(runs) for runs in record.runs_by_id.values()),
        "outcomes": dict(sorted(record.outcomes.items())),
        "broken": [attrs.asdict(one) for one in record.broken],
        "logs": str(target),
    }
    click.echo(json.dumps(summary, indent=1))
    sys.exit(1 if record.broken else 0)


if __name__ == "__main__":
    main()
