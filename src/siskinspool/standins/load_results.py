"""Results of a load trial and their summary statistics."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Any

import attrs

from .load_schedule import Arrival

Json = dict[str, Any]
# Code of a request that got no HTTP response.
NO_ANSWER = "no_answer"
# Code of an answer that began but is incomplete.
INCOMPLETE = "incomplete"


@attrs.frozen(kw_only=True)
class RequestResult:
    """Outcome and times of one request."""

    arrival: Arrival
    # HTTP status; 0 if no response head was received.
    status: int
    # Code of a refusal; empty for a complete answer.
    code: str
    # Run state that a refusal states; empty if it states none.
    run: str
    # Time from the scheduled arrival to the first byte of the body.
    first_token_s: float | None
    # Time from the scheduled arrival to the end of the response.
    total_s: float
    # Delay of the load generator in sending the request.
    late_s: float

    @property
    def is_ok(self) -> bool:
        """Whether the answer was successful and complete."""
        return not self.code


@attrs.frozen(kw_only=True)
class Quantiles:
    """Distribution of a time in seconds."""

    count: int
    p50: float
    p95: float
    p99: float
    maximum: float


@attrs.frozen(kw_only=True)
class Summary:
    """Statistics of a set of results; times are those of complete answers."""

    sent: int
    ok: int
    refused_by_code: dict[str, int]
    first_token_s: Quantiles | None
    total_s: Quantiles | None
    max_late_s: float

    @property
    def ok_share(self) -> float:
        """Fraction of the requests that got a complete answer."""
        return self.ok / self.sent if self.sent else 0.0


def percentile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that at least ``share`` of the values do not exceed."""
    if not values:
        raise ValueError("no values")
    ordered = sorted(values)
    rank = max(1, math.ceil(share * len(ordered) - 1e-9))
    return ordered[rank - 1]


def quantiles(values: Sequence[float]) -> Quantiles | None:
    """Return the distribution of values, None if there are none."""
    if not values:
        return None
    return Quantiles(
        count=len(values),
        p50=percentile(values, 0.5),
        p95=percentile(values, 0.95),
        p99=percentile(values, 0.99),
        maximum=max(values),
    )


def count_refusals(results: Iterable[RequestResult]) -> dict[str, int]:
    """Count the unsuccessful requests by ``code/run``."""
    counts = Counter(
        f"{result.code}/{result.run or 'unsaid'}" for result in results if result.code
    )
    return dict(counts.most_common())


def summarize(results: Sequence[RequestResult]) -> Summary:
    """Return the statistics of a set of results."""
    complete = [result for result in results if result.is_ok]
    first_token_times = [
        r.first_token_s for r in complete if r.first_token_s is not None
    ]
    return Summary(
        sent=len(results),
        ok=len(complete),
        refused_by_code=count_refusals(results),
        first_token_s=quantiles(first_token_times),
        total_s=quantiles([result.total_s for result in complete]),
        max_late_s=max((result.late_s for result in results), default=0.0),
    )


def group_by_team(results: Iterable[RequestResult]) -> dict[str, list[RequestResult]]:
    """Group results by team."""
    grouped: dict[str, list[RequestResult]] = {}
    for result in results:
        grouped.setdefault(result.arrival.team, []).append(result)
    return grouped


def goodput_tokens(results: Iterable[RequestResult]) -> int:
    """Return the number of tokens in complete answers."""
    return sum(result.arrival.max_tokens for result in results if result.is_ok)


def to_json(summary: Summary) -> Json:
    """Return a summary as a JSON object with times to the tenth of a millisecond."""

    def round_floats(value: Any) -> Any:
        if isinstance(value, float):
            return round(value, 4)
        if isinstance(value, dict):
            return {name: round_floats(item) for name, item in value.items()}
        return value

    rounded: Json = round_floats(attrs.asdict(summary))
    return rounded
