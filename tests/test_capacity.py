"""Tests of the capacity page and of the slopes that it is computed from."""

from __future__ import annotations

from pathlib import Path

import attrs
import pytest
from click.testing import CliRunner

from siskinspool.core.errors import InvariantError
from siskinspool.standins.capacity import generate, generated_part, main
from siskinspool.standins.capacity_roles import RoleCosts
from siskinspool.standins.capacity_target import Site
from siskinspool.standins.slopes.slope import Point, Slope, SlopeFile

DOCS = Path(__file__).parent.parent / "docs"
SLOPES = DOCS / "capacity-slopes.json"
PAGE = DOCS / "CAPACITY.md"


def changed_slopes(name: str, factor: float) -> SlopeFile:
    """Return the recorded slopes with the increment of one slope multiplied."""
    slopes = SlopeFile.read(SLOPES)
    return attrs.evolve(
        slopes,
        slopes=tuple(
            attrs.evolve(one, per_unit=one.per_unit * factor)
            if one.name == name
            else one
            for one in slopes.slopes
        ),
    )


def test_page_is_what_the_slopes_give() -> None:
    """Guards against tables of the page that were edited or are out of date."""
    page = PAGE.read_text(encoding="utf-8")
    assert generated_part(page) == generate(SlopeFile.read(SLOPES))


def test_check_fails_for_an_edited_page(tmp_path: Path) -> None:
    """Guards against a check that passes for a page with other tables."""
    page = tmp_path / "CAPACITY.md"
    arguments = ["--slopes", str(SLOPES), "--page", str(page), "--check"]
    text = PAGE.read_text(encoding="utf-8")
    page.write_text(text, encoding="utf-8")
    assert CliRunner().invoke(main, arguments).exit_code == 0
    page.write_text(text.replace("| membership |", "| members |"), encoding="utf-8")
    assert CliRunner().invoke(main, arguments).exit_code == 1


def test_recorded_lines_go_through_the_recorded_points() -> None:
    """Guards against a line that was edited by hand and no longer fits its points."""
    for slope in SlopeFile.read(SLOPES).slopes:
        fitted = Slope.fit(
            slope.name, slope.unit, slope.size_unit, list(slope.points), slope.note
        )
        size = max(point.size for point in slope.points)
        # The file has four significant digits of each point.
        scale = max(abs(point.value) for point in slope.points)
        assert fitted.value_at(size) == pytest.approx(
            slope.value_at(size), abs=scale * 2e-3
        )


def test_line_through_exact_points() -> None:
    """Guards against a wrong fit, and a fit to two sizes, which hides a curve."""
    points = [Point(size, 40.0 + 2.5 * size) for size in (1, 7, 30)]
    slope = Slope.fit("x", "bytes", "messages", points)
    assert (slope.at_zero, slope.per_unit) == (40.0, 2.5)
    assert slope.value_at(100) == 290.0
    with pytest.raises(InvariantError):
        Slope.fit("x", "bytes", "messages", points[:2])


def test_sums_follow_the_slopes() -> None:
    """Guards against costs of a role that do not grow with its slopes."""
    site = Site.region()
    name = "bytes.ServerReport"
    recorded = RoleCosts(SlopeFile.read(SLOPES).by_name(), site)
    doubled = RoleCosts(changed_slopes(name, 2.0).by_name(), site)
    per_report = recorded.per_unit(name) * site.replicas_per_server
    # An instance receives the report of every server twice a second.
    added = 2 * site.servers * per_report
    for index in (4, 5):
        before = recorded.instance_roles()[index].bytes_per_s
        after = doubled.instance_roles()[index].bytes_per_s
        assert after - before == pytest.approx(added)


def test_region_is_a_seventh_of_the_fleet() -> None:
    """Guards against costs of a site of another size than the page states."""
    site = Site.region()
    assert (site.instances, site.servers) == (59, 914)
    assert site.requests_per_s == pytest.approx(13_000 / 7)
