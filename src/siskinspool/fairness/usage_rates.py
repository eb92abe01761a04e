"""Cost per second by team, and sums of it."""

from __future__ import annotations

import math
from collections.abc import Iterator
from typing import Final, Self

import attrs

from .usage_messages import ClassUsage
from .waiting_order import UsageClass, WaitingEntry

# A rate is an average over about this time.
RATE_SPAN_S: Final = 1.0
# A rate below this has no effect and is not kept.
MIN_COST_PER_S: Final = 1.0
# Assumed size of a team's entry in a report beside its name.
ENTRY_OVERHEAD_BYTES: Final = 6
# The same for a class beside the name of its service.
CLASS_OVERHEAD_BYTES: Final = 50


@attrs.define
class UsageRates:
    """Cost per second by class and team."""

    _rate_by_key: dict[tuple[UsageClass, str], float] = attrs.field(factory=dict)

    @classmethod
    def from_usages(cls, usages: tuple[ClassUsage, ...]) -> Self:
        """Return the rates of a report."""
        return cls(
            {
                (UsageClass(usage.service, usage.priority), team): float(rate)
                for usage in usages
                for team, rate in usage.cost_per_s_by_team.items()
            }
        )

    def __iter__(self) -> Iterator[tuple[UsageClass, str, float]]:
        for (usage_class, team), rate in self._rate_by_key.items():
            yield usage_class, team, rate

    def add(self, other: UsageRates, factor: float = 1.0) -> None:
        """Add the rates of another table, multiplied by a factor."""
        for usage_class, team, rate in other:
            key = (usage_class, team)
            self._rate_by_key[key] = self._rate_by_key.get(key, 0.0) + rate * factor

    def top_usages(self, max_bytes: int) -> tuple[ClassUsage, ...]:
        """Return the greatest rates that fit into about this many bytes."""
        usage_by_class: dict[UsageClass, ClassUsage] = {}
        ranked = sorted(self._rate_by_key.items(), key=lambda item: -item[1])
        for (usage_class, team), rate in ranked:
            max_bytes -= len(team.encode()) + ENTRY_OVERHEAD_BYTES
            if usage_class not in usage_by_class:
                max_bytes -= CLASS_OVERHEAD_BYTES + len(usage_class.service.encode())
            if max_bytes < 0:
                break
            usage = usage_by_class.setdefault(
                usage_class, ClassUsage(usage_class.service, usage_class.priority, {})
            )
            usage.cost_per_s_by_team[team] = round(rate)
        return tuple(usage_by_class.values())


@attrs.define
class _MeasuredRate:
    at: float
    cost_per_s: float = 0.0

    def value(self, now: float) -> float:
        """Return the rate, decayed to the present."""
        return self.cost_per_s * math.exp(-max(now - self.at, 0.0) / RATE_SPAN_S)


class UsageMeter:
    """Measures what the teams use at one gateway; times are monotonic seconds."""

    def __init__(self) -> None:
        self._rate_by_key: dict[tuple[UsageClass, str], _MeasuredRate] = {}

    def record(self, entry: WaitingEntry, now: float) -> None:
        """Record a request that got a server."""
        key = (entry.usage_class, entry.team)
        known = self._rate_by_key.setdefault(key, _MeasuredRate(now))
        known.cost_per_s = known.value(now) + entry.cost / RATE_SPAN_S
        known.at = now

    def rates(self, now: float) -> UsageRates:
        """Return the present rates, and drop those without effect."""
        self._rate_by_key = {
            key: rate
            for key, rate in self._rate_by_key.items()
            if rate.value(now) >= MIN_COST_PER_S
        }
        return UsageRates(
            {key: rate.value(now) for key, rate in self._rate_by_key.items()}
        )
