"""Tables of the capacity page, computed from the measured slopes.

``--check`` compares the tables of the page with the computed ones, ``--write`` updates
the page; without either the tables are printed. Nothing is measured here.
"""

from __future__ import annotations

import sys
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Final

import click

from .capacity_failover import Failover
from .capacity_roles import Cost, RoleCosts, total
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


def format_number(value: float) -> str:
    """Return a number with three significant digits, without an exponent."""
    if value == 0:
        return "0"
    rounded = float(f"{value:.3g}")
    return f"{rounded:,.0f}" if abs(rounded) >= 100 else f"{rounded:g}"


def _ratio_text(value: float, budget: float) -> str:
    return "fits" if value <= budget else f"{format_number(value / budget)} times"


def _exceeded_budgets(cost: Cost) -> str:
    """Return the budgets that a cost exceeds by itself, and by which factor."""
    parts = [
        (name, value / budget)
        for name, value, budget in (
            ("bytes", cost.bytes_per_s, BUDGET_BYTES_PER_S),
            ("core", cost.core, BUDGET_CORE),
            ("memory", cost.memory_bytes, BUDGET_MEMORY_BYTES),
        )
        if value > budget
    ]
    return (
        ", ".join(f"{name} {format_number(ratio)}x" for name, ratio in parts) or "fits"
    )


def _text_if_measured(cost: Cost, value: float, text: str) -> str:
    """Return the text, or "not measured" for messages whose cost is 0."""
    return "not measured" if value == 0 and cost.messages_per_s > 0 else text


def _cost_row(cost: Cost, is_control: bool = True) -> Row:
    bytes_per_s = format_number(cost.bytes_per_s)
    core = f"{format_number(cost.core * 100)}%"
    calls = cost.kv_reads_per_s + cost.kv_writes_per_s + cost.kv_lease_calls_per_s
    return (
        cost.role,
        cost.state,
        format_number(cost.messages_per_s),
        _text_if_measured(cost, cost.bytes_per_s, bytes_per_s),
        _text_if_measured(cost, cost.core, core),
        format_number(cost.memory_bytes / 1e6),
        format_number(calls),
        _exceeded_budgets(cost) if is_control else _core_ratio_text(cost),
    )


def _core_ratio_text(cost: Cost) -> str:
    return "not measured" if cost.core == 0 else _ratio_text(cost.core, 1.0)


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


def roles_section(roles: RoleCosts) -> str:
    """Return the tables of costs by role at one site."""
    site = roles.site
    resident = Cost(
        role="process with nothing loaded",
        state="interpreter and libraries",
        memory_bytes=roles.value_at("live.resident", 0),
    )
    instance_costs = [resident, *roles.instance_roles()]
    control_rows = [_cost_row(cost) for cost in instance_costs]
    control_rows.append(_cost_row(total("**sum at every instance**", instance_costs)))
    control_rows += [_cost_row(cost) for cost in roles.owner_roles()]
    data_path_rows = [_cost_row(cost, False) for cost in roles.data_path_roles()]
    data_path_head = (*ROLE_HEAD[:-1], "of one core")
    return "\n\n".join(
        (
            f"### Control, {site.name}",
            f"{site.instances:.0f} instances, {site.servers:.0f} servers, "
            f"{format_number(site.requests_per_s)} requests/s, "
            f"{format_number(site.tokens_per_s)} tokens/s. Computed.",
            table(ROLE_HEAD, control_rows),
            _report_budget(roles),
            f"### Carrying traffic, {site.name}",
            "Per instance; outside of the control budget. Computed.",
            table(data_path_head, data_path_rows),
            f"### Key-value service, {site.name}",
            key_value_table(roles),
        )
    )


def _report_budget(roles: RoleCosts) -> str:
    """Return how many server reports the byte budget would allow."""
    per_server = BUDGET_BYTES_PER_S / roles.site.servers
    bytes_per_server = roles.report_bytes * REPORTS_PER_S
    return (
        f"A report has {format_number(roles.report_bytes)} bytes. The byte budget "
        f"would hold {format_number(per_server)} bytes/s for each server, or the full "
        f"reports of {format_number(BUDGET_BYTES_PER_S / bytes_per_server)} servers."
    )


def key_value_table(roles: RoleCosts) -> str:
    """Return the table of calls to a site's key-value service."""
    site = roles.site
    instance_total = total("", roles.instance_roles())
    owners = [cost for cost in roles.owner_roles() if cost.kv_writes_per_s > 0]
    rows: list[Row] = []
    leases = site.instances / SESSION_RENEW_S
    reads = instance_total.kv_reads_per_s * site.instances
    rows.append(("lease renewals", "writes/s", format_number(leases)))
    writes = leases
    for cost in owners:
        role_writes = cost.kv_writes_per_s * cost.owners
        writes += role_writes
        rows.append((cost.role.split(" (")[0], "writes/s", format_number(role_writes)))
    rows.append(("**all writes**", "writes/s", format_number(writes)))
    rows.append(("head reads and configuration", "reads/s", format_number(reads)))
    rows.append(("open watches", "standing", format_number(site.instances)))
    comparison = (
        f"Against {KV_WRITES_PER_S:.0f} writes/s (several hundred): "
        f"{_ratio_text(writes, KV_WRITES_PER_S)}. "
        f"Against {KV_READS_PER_S:,.0f} reads/s, with each watch as one read: "
        f"{_ratio_text(reads + site.instances, KV_READS_PER_S)}."
    )
    return table(("use", "kind", "rate"), rows) + "\n\n" + comparison


def failover_section(roles: RoleCosts) -> str:
    """Return the table of the costs of failures at one site."""
    rows = [
        (
            event.name,
            event.refused,
            event.per_day,
            format_number(event.messages),
            format_number(event.kv_calls),
            format_number(event.processor_s * 1000),
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
    """Return the table of the measured slopes."""

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
    sites = [RoleCosts(by_name, Site.region()), RoleCosts(by_name, Site.whole_fleet())]
    sections: list[Callable[[RoleCosts], str]] = [roles_section, failover_section]
    parts = [section(roles) for roles in sites for section in sections]
    return "\n\n".join([*parts, slopes_section(slopes)])


def generated_part(page: str) -> str:
    """Return the text between the markers; raise ValueError without markers."""
    start = page.index(BEGIN) + len(BEGIN)
    return page[start : page.index(END)].strip()


def replace_generated_part(page: str, generated: str) -> str:
    """Return the page with its generated part replaced."""
    start, end = page.index(BEGIN) + len(BEGIN), page.index(END)
    return f"{page[:start]}\n\n{generated}\n\n{page[end:]}"


@click.command()
@click.option("--slopes", "slopes_path", default="docs/capacity-slopes.json", type=Path)
@click.option("--page", default="docs/CAPACITY.md", type=Path)
@click.option("--write", is_flag=True, help="Update the page.")
@click.option("--check", is_flag=True, help="Fail if the page is out of date.")
def main(slopes_path: Path, page: Path, write: bool, check: bool) -> None:
    """Compute the tables of the capacity page."""
    generated = generate(SlopeFile.read(slopes_path))
    if write:
        text = page.read_text(encoding="utf-8")
        page.write_text(replace_generated_part(text, generated), encoding="utf-8")
    elif check:
        if generated_part(page.read_text(encoding="utf-8")) != generated:
            click.echo(
                f"{page} differs from the tables that {slopes_path} gives",
                err=True,
            )
            sys.exit(1)
    else:
        click.echo(generated)


if __name__ == "__main__":
    main()
