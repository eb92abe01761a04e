"""Straight lines fitted to quantities measured at several sizes, and their file."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import attrs
import msgspec

from ...core.errors import InvariantError

MIN_SIZES: Final = 3
SIGNIFICANT_DIGITS: Final = 4


@attrs.frozen
class Point:
    """A value measured at one size."""

    size: float
    value: float


@attrs.frozen(kw_only=True)
class Slope:
    """A quantity as a function of a size: points and their least-squares line."""

    name: str
    # Unit of the value, such as ``bytes``, ``us`` (processor time) or ``calls``.
    unit: str
    # Unit of the size.
    size_unit: str
    # Conditions that were the same for all points.
    note: str = ""
    at_zero: float
    per_unit: float
    points: tuple[Point, ...]

    @classmethod
    def fit(
        cls,
        name: str,
        unit: str,
        size_unit: str,
        points: list[Point],
        note: str = "",
    ) -> Slope:
        """Fit a line to points; raise InvariantError for fewer than three sizes."""
        count = len(points)
        if len({point.size for point in points}) < MIN_SIZES:
            raise InvariantError(f"{name} was measured at fewer than 3 sizes")
        mean_size = sum(point.size for point in points) / count
        mean_value = sum(point.value for point in points) / count
        spread = sum((point.size - mean_size) ** 2 for point in points)
        product = sum(
            (point.size - mean_size) * (point.value - mean_value) for point in points
        )
        per_unit = product / spread
        rounded = tuple(Point(p.size, significant(p.value)) for p in points)
        return cls(
            name=name,
            unit=unit,
            size_unit=size_unit,
            note=note,
            at_zero=significant(mean_value - per_unit * mean_size),
            per_unit=significant(per_unit),
            points=rounded,
        )

    def value_at(self, size: float) -> float:
        """Return the value of the line at a size; never below 0.

        No cost decreases with a size, so a decreasing line is noise around a constant.
        It would give meaningless values beyond the measured sizes; the mean of the
        points is returned instead.
        """
        if self.per_unit < 0:
            return sum(point.value for point in self.points) / len(self.points)
        return max(self.at_zero + self.per_unit * size, 0.0)


@attrs.frozen(kw_only=True)
class SlopeFile:
    """All slopes, the command that measured them and the machine that it ran on."""

    command: str
    measured_on: str
    slopes: tuple[Slope, ...]

    def by_name(self) -> dict[str, Slope]:
        """Return the slopes by name."""
        return {slope.name: slope for slope in self.slopes}

    def write(self, path: Path) -> None:
        """Write the slopes to a file as indented JSON."""
        data = msgspec.json.format(msgspec.json.encode(self), indent=1)
        path.write_bytes(data + b"\n")

    @classmethod
    def read(cls, path: Path) -> SlopeFile:
        """Read the slopes of a file; raise msgspec.DecodeError if it is malformed."""
        return msgspec.json.decode(path.read_bytes(), type=cls)


def significant(value: float) -> float:
    """Round a value to `SIGNIFICANT_DIGITS` significant digits."""
    return float(f"{value:.{SIGNIFICANT_DIGITS}g}")
