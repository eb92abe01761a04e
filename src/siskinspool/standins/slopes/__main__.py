"""Command that measures the slopes and writes them to a file."""

from __future__ import annotations

import platform
from collections.abc import Callable, Iterator
from pathlib import Path

import click

from . import live, memory, processor_time, wire_bytes
from .slope import Slope, SlopeFile

COMMAND = "python -m siskinspool.standins.slopes"
PARTS: dict[str, Callable[[], Iterator[Slope]]] = {
    "bytes": wire_bytes.measure,
    "time": processor_time.measure,
    "memory": memory.measure,
    "live": live.measure,
}


@click.command()
@click.option("--output", default="docs/capacity-slopes.json", type=Path)
@click.option("--part", "parts", multiple=True, type=click.Choice(list(PARTS)))
def main(output: Path, parts: tuple[str, ...]) -> None:
    """Measure the slopes; the file keeps the slopes of parts that are not measured."""
    kept = SlopeFile.read(output).by_name() if parts and output.exists() else {}
    for part in parts or tuple(PARTS):
        for slope in PARTS[part]():
            kept[slope.name] = slope
            click.echo(
                f"{slope.name}: {slope.at_zero:g} + {slope.per_unit:g} "
                f"{slope.unit} per {slope.size_unit}"
            )
    slopes = tuple(kept[name] for name in sorted(kept))
    machine = f"{platform.system()} {platform.machine()}, Python "
    machine += platform.python_version()
    SlopeFile(command=COMMAND, measured_on=machine, slopes=slopes).write(output)


if __name__ == "__main__":
    main()
