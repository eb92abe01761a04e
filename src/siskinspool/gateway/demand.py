"""Time-decayed counts of the demand for models and adapters.

Tokens and requesters are counted separately. Tokens show what a server is busy with, so
only the last few seconds count. Requesters show which models are likely to be requested
in the next half minute, and the number of requesters over a longer period is the best
estimate of that.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, KeysView, Mapping
from typing import Final

import attrs

# Half-life of counted prompt tokens.
TOKENS_HALF_LIFE_S: Final = 8.0
# Half-life of counted requesters.
REQUESTERS_HALF_LIFE_S: Final = 30.0
# Each waiting request counts as this many requests per second for its model.
REQUESTS_PER_S_PER_WAITING_REQUEST: Final = 0.16
# Assumed size of a request until enough requests have been counted.
PRIOR_REQUEST_TOKENS: Final = 5_000.0
PRIOR_REQUESTS: Final = 10.0
# Decayed counts below this value are dropped.
MIN_COUNT: Final = 0.05
# A leader records the requesters of at most this many models for its successor.
MAX_RECORDED_MODELS: Final = 64
# A gateway counts as a user of a model for this long after its last request for it.
USER_TTL_S: Final = 20.0


def target_name(model: str, adapter: str) -> str:
    """Return the target name of a model, or of an adapter if one is given."""
    return f"{model}/{adapter}" if adapter else model


@attrs.define
class _DecayingCount:
    """A count that decays exponentially."""

    count: float
    updated_at: float


class RecentCounts:
    """Decaying counts by target, that is, by model or adapter."""

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        # A steady rate r converges to a count of r x half-life / ln 2.
        self._rate_per_count = math.log(2) / half_life_s
        self._count_by_target: dict[str, _DecayingCount] = {}

    def add(self, target: str, count: float, now: float) -> None:
        """Add to the count of a target."""
        entry = self._count_by_target.setdefault(target, _DecayingCount(0.0, now))
        entry.count = self._decayed(entry, now) + count
        entry.updated_at = now

    def raise_to(self, target: str, count: float, now: float) -> None:
        """Raise the count of a target to at least this one."""
        entry = self._count_by_target.setdefault(target, _DecayingCount(0.0, now))
        entry.count = max(self._decayed(entry, now), count)
        entry.updated_at = now

    def rate_per_s(self, target: str, now: float) -> float:
        """Return the recent rate of a target per second."""
        entry = self._count_by_target.get(target)
        return (
            0.0 if entry is None else self._decayed(entry, now) * self._rate_per_count
        )

    def last_added_at(self, target: str) -> float:
        """Return when a target was last counted, or -inf if it never was."""
        entry = self._count_by_target.get(target)
        return float("-inf") if entry is None else entry.updated_at

    def targets(self) -> KeysView[str]:
        """Return the targets that have been counted."""
        return self._count_by_target.keys()

    def decayed_counts(self, now: float) -> dict[str, float]:
        """Return the decayed counts of all targets, without negligible ones."""
        return {
            target: count
            for target, entry in self._count_by_target.items()
            if (count := self._decayed(entry, now)) >= MIN_COUNT
        }

    def _decayed(self, entry: _DecayingCount, now: float) -> float:
        age_s = max(now - entry.updated_at, 0.0)
        return float(entry.count * 0.5 ** (age_s / self._half_life_s))


class RequesterCounts(RecentCounts):
    """All requesters so far, by model.

    After a change of the leader the gateways report their counts again, and the last
    leader's record of them is inherited. Neither is complete: a gateway that has ended
    reports nothing, and the record is older. The higher one counts.
    """

    def __init__(self) -> None:
        super().__init__(REQUESTERS_HALF_LIFE_S)
        self._inherited = RecentCounts(REQUESTERS_HALF_LIFE_S)

    def inherit(self, count_by_model: Mapping[str, float], now: float) -> None:
        """Take over the counts that an earlier leader has recorded."""
        for model, count in count_by_model.items():
            self._inherited.raise_to(model, count, now)

    def rate_per_s(self, target: str, now: float) -> float:
        """Return the recent rate of a model's requesters per second."""
        inherited = self._inherited.rate_per_s(target, now)
        return max(super().rate_per_s(target, now), inherited)

    def all_targets(self) -> set[str]:
        """Return the models that have had requesters."""
        return self.targets() | self._inherited.targets()

    def largest(self, models: Iterable[str], now: float) -> dict[str, float]:
        """Return the counts of the models with most requesters, for a successor."""
        found = {model: self.rate_per_s(model, now) for model in models}
        ordered = sorted(found, key=lambda model: (-found[model], model))
        counts = {
            model: round(found[model] / self._rate_per_count, 2)
            for model in ordered[:MAX_RECORDED_MODELS]
        }
        return {model: count for model, count in counts.items() if count >= MIN_COUNT}


class TokenDemand(RecentCounts):
    """Recent demand for each model and adapter, in prompt tokens."""

    def __init__(self) -> None:
        super().__init__(TOKENS_HALF_LIFE_S)
        # Demand for all models. Adapters are left out, as their models count already.
        self._total = _DecayingCount(0.0, 0.0)
        self._requests = _DecayingCount(0.0, 0.0)

    def add(self, target: str, count: float, now: float) -> None:
        """Add prompt tokens to the demand for a target."""
        super().add(target, count, now)
        if "/" not in target:
            self._total = _DecayingCount(self._decayed(self._total, now) + count, now)

    def add_requests(self, count: float, now: float) -> None:
        """Add to the number of requests that the tokens belong to."""
        self._requests = _DecayingCount(self._decayed(self._requests, now) + count, now)

    def request_tokens(self, now: float) -> float:
        """Return the recent mean size of a request, in tokens.

        It converts between requests and tokens. Prompts of one customer are ten times
        as long as those of another, so no fixed number of tokens stands for a request.
        """
        tokens = self._decayed(self._total, now)
        requests = self._decayed(self._requests, now)
        prior_tokens = PRIOR_REQUESTS * PRIOR_REQUEST_TOKENS
        return (tokens + prior_tokens) / (requests + PRIOR_REQUESTS)

    def tokens_per_s(self, target: str, now: float) -> float:
        """Return the recent demand for a target, in tokens per second."""
        return self.rate_per_s(target, now)

    def load_demand_per_s(self, model: str, waiting: int, now: float) -> float:
        """Return the demand for a model that is to be loaded, in tokens per second.

        Only requests that are still waiting are passed in; refused requests that are to
        be retried are not among them.
        """
        waiting_per_s = waiting * REQUESTS_PER_S_PER_WAITING_REQUEST
        return self.tokens_per_s(model, now) + waiting_per_s * self.request_tokens(now)

    def total_tokens_per_s(self, now: float) -> float:
        """Return the recent demand for all models, in tokens per second."""
        return self._decayed(self._total, now) * self._rate_per_count


class UnreportedCounts:
    """Counts of a gateway by service and target, collected for the next report."""

    def __init__(self, half_life_s: float) -> None:
        self._half_life_s = half_life_s
        self._unreported: dict[str, dict[str, float]] = {}
        self._recent_by_service: dict[str, RecentCounts] = {}

    def add(self, service: str, target: str, count: float, now: float) -> None:
        """Add to the unreported count of a target."""
        count_by_target = self._unreported.setdefault(service, {})
        count_by_target[target] = count_by_target.get(target, 0) + count
        recent = self._recent_by_service.get(service)
        if recent is None:
            recent = RecentCounts(self._half_life_s)
            self._recent_by_service[service] = recent
        recent.add(target, count, now)

    def pop_report(self) -> dict[str, dict[str, float]]:
        """Return the unreported counts by service and target, and clear them."""
        report, self._unreported = self._unreported, {}
        return report

    def restore_recent(self, now: float) -> None:
        """Replace the unreported counts by the decayed counts, for a new leader."""
        self._unreported = {
            service: recent.decayed_counts(now)
            for service, recent in self._recent_by_service.items()
        }


class ModelUsers:
    """The gateways that have recently requested each model."""

    def __init__(self) -> None:
        self._used_at_by_model: dict[str, dict[str, float]] = {}

    def record_request(self, model: str, gateway: str, now: float) -> None:
        """Record that a gateway requested a model."""
        self._used_at_by_model.setdefault(model, {})[gateway] = now

    def gateways(self, model: str, now: float) -> list[str]:
        """Return the names of the gateways that recently requested a model."""
        used_at = self._used_at_by_model.get(model, {})
        return sorted(name for name, at in used_at.items() if now - at < USER_TTL_S)
