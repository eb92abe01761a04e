"""Recent demand for models and adapters, decaying with time.

Tokens and requesters are counted apart. Tokens tell what a server is busy with, so only
the last seconds count. Requesters tell who will ask for a model in the next half
minute, for which its requesters of a longer past are the best estimate.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import attrs

# Tokens of the past count half after this time.
TOKENS_HALF_LIFE_S: Final = 8.0
# Requesters of the past count half after this time.
REQUESTERS_HALF_LIFE_S: Final = 30.0
# What a waiting request adds to the demand for its model.
TOKENS_PER_S_PER_WAITING_REQUEST: Final = 800.0
# Less than this is forgotten.
MIN_COUNT: Final = 0.05
# A gateway counts as a user of a model for this long after a request for it.
USER_TTL_S: Final = 20.0


def target_name(model: str, adapter: str) -> str:
    """Return the name of a model or of an adapter of it."""
    return f"{model}/{adapter}" if adapter else model


@attrs.define
class _DecayingCount:
    """A count that decays."""

    count: float
    updated_at: float


class RecentCounts:
    """Counts by model or adapter that decay with time."""

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        # A steady rate r adds up to r x half-life / ln 2.
        self._rate_per_count = math.log(2) / half_life_s
        self._count_by_target: dict[str, _DecayingCount] = {}

    def add(self, target: str, count: float, now: float) -> None:
        """Count something for a model or adapter."""
        seen = self._count_by_target.setdefault(target, _DecayingCount(0.0, now))
        seen.count = self._decayed(seen, now) + count
        seen.updated_at = now

    def rate_per_s(self, target: str, now: float) -> float:
        """Return the recent rate of a model or adapter."""
        seen = self._count_by_target.get(target)
        return 0.0 if seen is None else self._decayed(seen, now) * self._rate_per_count

    def last_added_at(self, target: str) -> float:
        """Return when a model or adapter was last counted."""
        seen = self._count_by_target.get(target)
        return float("-inf") if seen is None else seen.updated_at

    def targets(self) -> Iterable[str]:
        """Return what has been counted."""
        return self._count_by_target.keys()

    def decayed_counts(self, now: float) -> dict[str, float]:
        """Return the decayed counts of all models and adapters."""
        return {
            target: count
            for target, seen in self._count_by_target.items()
            if (count := self._decayed(seen, now)) >= MIN_COUNT
        }

    def _decayed(self, seen: _DecayingCount, now: float) -> float:
        age_s = max(now - seen.updated_at, 0.0)
        return float(seen.count * 0.5 ** (age_s / self._half_life_s))


class TokenDemand(RecentCounts):
    """Prompt tokens wanted of each model in the recent past."""

    def __init__(self) -> None:
        super().__init__(TOKENS_HALF_LIFE_S)
        # All demand for models, without what names an adapter.
        self._total = _DecayingCount(0.0, 0.0)

    def add(self, target: str, count: float, now: float) -> None:
        """Count tokens for a model or adapter."""
        super().add(target, count, now)
        if "/" not in target:
            self._total = _DecayingCount(self._decayed(self._total, now) + count, now)

    def tokens_per_s(self, target: str, now: float) -> float:
        """Return the recent rate of a model or adapter."""
        return self.rate_per_s(target, now)

    def load_demand_per_s(self, model: str, waiting: int, now: float) -> float:
        """Return the demand for a model that is to be loaded, in tokens a second.

        Requests that were told to come back no longer wait.
        """
        return (
            self.tokens_per_s(model, now) + waiting * TOKENS_PER_S_PER_WAITING_REQUEST
        )

    def total_tokens_per_s(self, now: float) -> float:
        """Return the recent rate of all models."""
        return self._decayed(self._total, now) * self._rate_per_count


class UnreportedCounts:
    """What a gateway counts by service and target, for its reports to the leader."""

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._unreported: dict[str, dict[str, float]] = {}
        self._recent_by_service: dict[str, RecentCounts] = {}

    def add(self, service: str, target: str, count: float, now: float) -> None:
        """Count something of a request."""
        count_by_target = self._unreported.setdefault(service, {})
        count_by_target[target] = count_by_target.get(target, 0) + count
        recent = self._recent_by_service.get(service)
        if recent is None:
            recent = RecentCounts(self._half_life_s)
            self._recent_by_service[service] = recent
        recent.add(target, count, now)

    def pop_report(self) -> dict[str, dict[str, float]]:
        """Return the counts by service and target, and begin a new report."""
        report, self._unreported = self._unreported, {}
        return report

    def restore_recent(self, now: float) -> None:
        """Let the next report tell the recent past."""
        self._unreported = {
            service: recent.decayed_counts(now)
            for service, recent in self._recent_by_service.items()
        }


class ModelUsers:
    """Which gateways have lately asked for each model."""

    def __init__(self) -> None:
        self._used_at_by_model: dict[str, dict[str, float]] = {}

    def record_request(self, model: str, gateway: str, now: float) -> None:
        """Record that a gateway asked for a model."""
        self._used_at_by_model.setdefault(model, {})[gateway] = now

    def gateways(self, model: str, now: float) -> list[str]:
        """Return the gateways that asked for a model lately."""
        used_at = self._used_at_by_model.get(model, {})
        return sorted(name for name, at in used_at.items() if now - at < USER_TTL_S)
