"""Recent demand for models and adapters, decaying with time."""

from __future__ import annotations

import math
from typing import Final

import attrs

# Demand of the past counts half after this time.
DEMAND_HALF_LIFE_S: Final = 8.0
# A steady rate r adds up to r x half-life / ln 2.
RATE_PER_TOKEN: Final = math.log(2) / DEMAND_HALF_LIFE_S
# What a waiting request adds to the demand for its model.
WAITING_TOKENS_PER_S: Final = 800.0
# Less than this is forgotten, in tokens.
LEAST_TOKENS: Final = 1.0
# A gateway counts as a user of a model for this long after a request for it.
USER_MEMORY_S: Final = 20.0


def target_name(model: str, adapter: str) -> str:
    """Return the name of a model or of an adapter of it."""
    return f"{model}/{adapter}" if adapter else model


@attrs.define
class _Seen:
    """Demand of one model, decaying."""

    tokens: float
    at: float


class Demand:
    """Prompt tokens wanted of each model in the recent past."""

    def __init__(self) -> None:
        self._seen_by_target: dict[str, _Seen] = {}
        # All demand for models, without what names an adapter.
        self._total = _Seen(0.0, 0.0)

    def add(self, target: str, tokens: float, now: float) -> None:
        """Count tokens for a model or adapter."""
        if "/" not in target:
            self._total.tokens = self._decayed(self._total, now) + tokens
            self._total.at = now
        seen = self._seen_by_target.get(target)
        if seen is None:
            self._seen_by_target[target] = _Seen(tokens, now)
        else:
            seen.tokens = self._decayed(seen, now) + tokens
            seen.at = now

    def tokens_per_s(self, target: str, now: float) -> float:
        """Return the recent rate of a model or adapter."""
        seen = self._seen_by_target.get(target)
        if seen is None:
            return 0.0
        return self._decayed(seen, now) * RATE_PER_TOKEN

    def wanted_per_s(self, model: str, waiting: int, now: float) -> float:
        """Return the demand for a model that is to be loaded, in tokens a second.

        Requests that were told to come back no longer wait.
        """
        return self.tokens_per_s(model, now) + waiting * WAITING_TOKENS_PER_S

    def total_tokens_per_s(self, now: float) -> float:
        """Return the recent rate of all models."""
        return self._decayed(self._total, now) * RATE_PER_TOKEN

    def last_at(self, target: str) -> float:
        """Return when a model or adapter was last wanted."""
        seen = self._seen_by_target.get(target)
        return float("-inf") if seen is None else seen.at

    def recent_tokens(self, now: float) -> dict[str, int]:
        """Return the decayed tokens of all models and adapters."""
        tokens_by_target = {
            target: int(self._decayed(seen, now))
            for target, seen in self._seen_by_target.items()
        }
        return {
            target: tokens
            for target, tokens in tokens_by_target.items()
            if tokens >= LEAST_TOKENS
        }

    @staticmethod
    def _decayed(seen: _Seen, now: float) -> float:
        age_s = max(now - seen.at, 0.0)
        return float(seen.tokens * 0.5 ** (age_s / DEMAND_HALF_LIFE_S))


class DemandLog:
    """A gateway's own demand by service: since the last report, and recent."""

    def __init__(self) -> None:
        self._unreported: dict[str, dict[str, int]] = {}
        self._recent_by_service: dict[str, Demand] = {}

    def add(self, service: str, target: str, tokens: int, now: float) -> None:
        """Count the tokens of a request."""
        tokens_by_target = self._unreported.setdefault(service, {})
        tokens_by_target[target] = tokens_by_target.get(target, 0) + tokens
        recent = self._recent_by_service.setdefault(service, Demand())
        recent.add(target, tokens, now)

    def take_report(self) -> dict[str, dict[str, int]]:
        """Return the tokens by service and target, and begin a new report."""
        report, self._unreported = self._unreported, {}
        return report

    def report_recent(self, now: float) -> None:
        """Let the next report tell the recent past."""
        self._unreported = {
            service: recent.recent_tokens(now)
            for service, recent in self._recent_by_service.items()
        }


class ModelUsers:
    """Which gateways have lately asked for each model."""

    def __init__(self) -> None:
        self._used_at_by_model: dict[str, dict[str, float]] = {}

    def note(self, model: str, gateway: str, now: float) -> None:
        """Record that a gateway asked for a model."""
        self._used_at_by_model.setdefault(model, {})[gateway] = now

    def users(self, model: str, now: float) -> list[str]:
        """Return the gateways that asked for a model lately."""
        used_at = self._used_at_by_model.get(model, {})
        return sorted(name for name, at in used_at.items() if now - at < USER_MEMORY_S)
