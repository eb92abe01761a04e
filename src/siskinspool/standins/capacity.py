"""Tables of the capacity page, computed from the measured slopes.

``--check`` compares the page with what the slopes give, ``--write`` brings it up to
date; without either the tables are printed. Nothing is measured here.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Final

import click

from .capacity_failover import Failover
from .capacity_roles import Cost, Roles, total
from .capacity_target import (
    BUDGET_BYTES_PER_S,
    BUDGET_CORE,
    BUDGET_MEMORY_BYTES,
    KV_READS_PER_S,
    KV_WRITES_PER_S,
    REPORTS_PER_S,
    SESSION_RENEW_S,
    Site,
)
from .slopes.slope import Slope, SlopeFile

BEGIN: Final = "<!-- begin generated -->"
END: Final = "<!-- end generated -->"
Row = tuple[str, ...]


def table(head: Row, rows: Iterable[Row]) -> str:
    """Return a Markdown table; all columns but the first two are right-aligned."""
    rule = tuple("---" if index < 2 else "---:" for index in range(len(head)))
    lines = [head, rule, *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def figure(value: float) -> str:
    """Return a number with three significant digits, without an exponent."""
    if value == 0:
        return "0"
    rounded = float(f"{value:.3g}")
    return f"{rounded:,.0f}" if abs(rounded) >= 100 else f"{rounded:g}"


def _over(value: float, budget: float) -> str:
    return "fits" if value <= budget else f"{figure(value / budget)} times"


def _verdict(cost: Cost) -> str:
    """Name the budgets that a cost exceeds by itself, and how far."""
    parts = [
        (name, value / budget)
        for name, value, budget in (
            ("bytes", cost.bytes_per_s, BUDGET_BYTES_PER_S),
            ("core", cost.core, BUDGET_CORE),
            ("memory", cost.memory_bytes, BUDGET_MEMORY_BYTES),
        )
        if value > budget
    ]
    return ", ".join(f"{name} {figure(ratio)}x" for name, ratio in parts) or "fits"


def _or_unmeasured(cost: Cost, value: float, text: str) -> str:
    """Return a text, unless messages without a measured cost stand behind a 0."""
    return "not measured" if value == 0 and cost.messages_per_s > 0 else text


def _cost_row(cost: Cost, is_control: bool = True) -> Row:
    bytes_per_s = figure(cost.bytes_per_s)
    core = f"{figure(cost.core * 100)}%"
    calls = cost.kv_reads_per_s + cost.kv_writes_per_s + cost.kv_lease_calls_per_s
    return (
        cost.role,
        cost.state,
        figure(cost.messages_per_s),
        _or_unmeasured(cost, cost.bytes_per_s, bytes_per_s),
        _or_unmeasured(cost, cost.core, core),
        figure(cost.memory_bytes / 1e6),
        figure(calls),
        _verdict(cost) if is_control else _of_one_core(cost),
    )


def _of_one_core(cost: Cost) -> str:
    return "not measured" if cost.core == 0 else _over(cost.core, 1.0)


ROLE_HEAD: Final = (
    "role",
    "state",
    "messages/s",
    "bytes/s",
    "core",
    "MB",
    "key-value calls/s",
    "over the budget",
)


def roles_section(roles: Roles) -> str:
    """Return the tables of one site."""
    site = roles.site
    resident = Cost(
        role="process with nothing loaded",
        state="interpreter and libraries",
        memory_bytes=roles.value_at("live.resident", 0),
    )
    every = [resident, *roles.instance_roles()]
    control = [_cost_row(cost) for cost in every]
    control.append(_cost_row(total("**sum at every instance**", every)))
    control += [_cost_row(cost) for cost in roles.owner_roles()]
    carrying = [_cost_row(cost, False) for cost in roles.data_path_roles()]
    carrying_head = (*ROLE_HEAD[:-1], "of one core")
    return "\n\n".join(
        (
            f"### Control, {site.name}",
            f"{site.instances:.0f} instances, {site.servers:.0f} servers, "
            f"{figure(site.requests_per_s)} requests/s, "
            f"{figure(site.tokens_per_s)} tokens/s. Computed.",
            table(ROLE_HEAD, control),
            _report_budget(roles),
            f"### Carrying traffic, {site.name}",
            "Per instance; outside of the control budget. Computed.",
            table(carrying_head, carrying),
            f"### Key-value service, {site.name}",
            key_value_table(roles),
        )
    )


def _report_budget(roles: Roles) -> str:
    """Return what the byte budget would hold of reports alone."""
    per_server = BUDGET_BYTES_PER_S / roles.site.servers
    one = roles.report_bytes * REPORTS_PER_S
    return (
        f"A report has {figure(roles.report_bytes)} bytes. The byte budget would hold "
        f"{figure(per_server)} bytes/s for each server, or the full reports of "
        f"{figure(BUDGET_BYTES_PER_S / one)} servers."
    )


def key_value_table(roles: Roles) -> str:
    """Return the load of a site's key-value service."""
    site = roles.site
    every = total("", roles.instance_roles())
    owners = [cost for cost in roles.owner_roles() if cost.kv_writes_per_s > 0]
    rows: list[Row] = []
    leases = site.instances / SESSION_RENEW_S
    reads = every.kv_reads_per_s * site.instances
    rows.append(("lease renewals", "writes/s", figure(leases)))
    writes = leases
    for cost in owners:
        sum_s = cost.kv_writes_per_s * cost.owners
        writes += sum_s
        rows.append((cost.role.split(" (")[0], "writes/s", figure(sum_s)))
    rows.append(("**all writes**", "writes/s", figure(writes)))
    rows.append(("head reads and configuration", "reads/s", figure(reads)))
    rows.append(("open watches", "standing", figure(site.instances)))
    verdict = (
        f"Against {KV_WRITES_PER_S:.0f} writes/s (several hundred): "
        f"{_over(writes, KV_WRITES_PER_S)}. Against {KV_READS_PER_S:,.0f} reads/s, "
        f"with each watch as one read: {_over(reads + site.instances, KV_READS_PER_S)}."
    )
    return table(("use", "kind", "rate"), rows) + "\n\n" + verdict


def failover_section(roles: Roles) -> str:
    """Return what failures cost."""
    rows = [
        (
            event.name,
            event.refused,
            event.per_day,
            figure(event.messages),
            figure(event.kv_calls),
            figure(event.processor_s * 1000),
        )
        for event in Failover(roles).events()
    ]
    head = (
        "event",
        "work cut or refused",
        "per day",
        "watch events",
        "key-value calls",
        "ms at each instance",
    )
    name = roles.site.name
    return f"### Failover, {name}\n\nPer event; computed.\n\n{table(head, rows)}"


def slopes_section(slopes: SlopeFile) -> str:
    """Return the measured slopes."""

    def row(slope: Slope) -> Row:
        sizes = ", ".join(f"{point.size:g}" for point in slope.points)
        per_unit = f"{slope.per_unit:g} {slope.unit} per {slope.size_unit}"
        return (slope.name, per_unit, f"{slope.at_zero:g}", sizes)

    rows = [row(slope) for slope in slopes.slopes]
    head = ("slope", "increment", "value at 0", "sizes")
    intro = f"Measured by `{slopes.command}` on {slopes.measured_on}."
    return f"### Measured slopes\n\n{intro}\n\n{table(head, rows)}"


def generate(slopes: SlopeFile) -> str:
    """Return the generated part of the page."""
    by_name = slopes.by_name()
    sites = [Roles(by_name, Site.region()), Roles(by_name, Site.whole_fleet())]
    sections: list[Callable[[Roles], str]] = [roles_section, failover_section]
    parts = [section(roles) for roles in sites for section in sections]
    return "\n\n".join([*parts, slopes_section(slopes)])


def generated_part(page: str) -> str:
    """Return what stands between the markers; raise ValueError without markers."""
    start = page.index(BEGIN) + len(BEGIN)
    return page[start : page.index(END)].strip()


def with_generated(page: str, generated: str) -> str:
    """Return the page with another generated part."""
    start, end = page.index(BEGIN) + len(BEGIN), page.index(END)
    return f"{page[:start]}\n\n{generated}\n\n{page[end:]}"


@click.command()
@click.option("--slopes", "slopes_path", default="docs/capacity-slopes.json", type=Path)
@click.option("--page", default="docs/CAPACITY.md", type=Path)
@click.option("--write", is_flag=True, help="Bring the page up to date.")
@click.option("--check", is_flag=True, help="Fail if the page is not up to date.")
def main(slopes_path: Path, page: Path, write: bool, check: bool) -> None:
    """Compute the tables of the capacity page."""
    generated = generate(SlopeFile.read(slopes_path))
    if write:
        text = page.read_text(encoding="utf-8")
        page.write_text(with_generated(text, generated), encoding="utf-8")
    elif check:
        if generated_part(page.read_text(encoding="utf-8")) != generated:
            click.echo(f"{page} is not what {slopes_path} gives", err=True)
            sys.exit(1)
    else:
        click.echo(generated)


if __name__ == "__main__":
    main()
