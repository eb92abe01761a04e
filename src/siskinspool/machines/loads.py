"""The load queue, limits on concurrent loads, and estimates of load times.

Loads are ordered by class, deadline and number of waiting calls. Loading a model from
the weight store needs a rate-limit token and a weight-store slot; loading an adapter
needs one of the site's adapter slots. Estimates use an exponential moving average of
the ratio of measured to nominal time, one per checkpoint tier and kind.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..core.message import Address
from ..manifest.model import RequestClass, Site
from .messages import CheckpointTier
from .reservations import Target

STALL_FACTOR: Final = 3.0
# Even a short load takes a few polling periods for its order and report.
MIN_STALL_S: Final = 3.0
_NEW_SAMPLE_WEIGHT: Final = 0.3
# Initial ratios of measured to nominal time, until a load of the tier was measured.
_INITIAL_LOAD_RATIO: Final = {
    CheckpointTier.MEMORY: 0.1,
    CheckpointTier.DISK: 0.4,
    CheckpointTier.REMOTE: 1.0,
}


@attrs.frozen
class Waiter:
    """An instance that waits for a load: its deadline and number of calls."""

    deadline_at: float
    waiting_calls: int


@attrs.define
class LoadRequest:
    """A request for one more replica of a target."""

    target: Target
    request_class: RequestClass
    deadline_at: float
    # Number of loaded and in-flight replicas at which the request is satisfied.
    desired_replicas: int = 1
    waiter_by_address: dict[Address, Waiter] = attrs.field(factory=dict)
    # Servers excluded until the given time, since a load failed or stalled there.
    avoid_until: dict[str, float] = attrs.field(factory=dict)
    failures: int = 0
    # Server on which replicas are being unloaded for this request; empty if none.
    eviction_server_id: str = ""
    eviction_expires_at: float = 0.0

    def avoids_server(self, server_id: str, now: float) -> bool:
        """Return whether the server is excluded for this target."""
        return self.avoid_until.get(server_id, float("-inf")) > now

    @property
    def waiting_calls(self) -> int:
        """Return how many calls wait at all instances."""
        return sum(waiter.waiting_calls for waiter in self.waiter_by_address.values())

    def merge(self, other: LoadRequest) -> None:
        """Merge another request for the same target into this one."""
        if other.request_class is RequestClass.URGENT:
            self.request_class = other.request_class
        self.deadline_at = max(self.deadline_at, other.deadline_at)
        self.desired_replicas = max(self.desired_replicas, other.desired_replicas)
        self.waiter_by_address.update(other.waiter_by_address)
        self.avoid_until.update(other.avoid_until)
        self.failures = max(self.failures, other.failures)

    def earliest_deadline(self) -> float:
        """Return the deadline by which the request is ordered in the queue."""
        deadlines = [waiter.deadline_at for waiter in self.waiter_by_address.values()]
        return min(deadlines, default=self.deadline_at)


class LoadQueue:
    """Undecided loads, at most one per target."""

    def __init__(self) -> None:
        self._request_by_target: dict[Target, LoadRequest] = {}

    def __len__(self) -> int:
        return len(self._request_by_target)

    def find(self, target: Target) -> LoadRequest | None:
        """Return the queued load of a target."""
        return self._request_by_target.get(target)

    def add(self, request: LoadRequest) -> LoadRequest:
        """Queue a load, or merge it into the queued one for the same target."""
        queued = self._request_by_target.setdefault(request.target, request)
        if queued is not request:
            queued.merge(request)
        return queued

    def remove(self, target: Target) -> None:
        """Remove a load from the queue."""
        self._request_by_target.pop(target, None)

    def clear(self) -> None:
        """Remove all loads."""
        self._request_by_target.clear()

    def in_order(self) -> list[LoadRequest]:
        """Return the loads, the most urgent first."""
        return sorted(
            self._request_by_target.values(),
            key=lambda request: (
                request.request_class is not RequestClass.URGENT,
                request.earliest_deadline(),
                -request.waiting_calls,
                request.target.model,
                request.target.adapter,
            ),
        )

    def next_deadline(self) -> float | None:
        """Return when the first waiter or load expires."""
        times = [
            min(request.earliest_deadline(), request.deadline_at)
            for request in self._request_by_target.values()
        ]
        return min(times, default=None)


@attrs.define
class InFlightLoad:
    """A decided load that is not finished."""

    replica_id: str
    server_id: str
    tier: CheckpointTier
    request: LoadRequest
    nominal_s: float
    estimate_s: float
    started_at: float
    is_committed: bool = False
    is_stalled: bool = False

    @property
    def is_adapter(self) -> bool:
        """Return whether the target is an adapter."""
        return bool(self.request.target.adapter)

    @property
    def stalls_at(self) -> float:
        """Return when the load counts as stalled."""
        return self.started_at + max(self.estimate_s * STALL_FACTOR, MIN_STALL_S)

    def remaining_s(self, now: float) -> float:
        """Return the expected time until the replica is loaded."""
        return max(self.started_at + self.estimate_s - now, 0.0)


class LoadTimeEstimator:
    """Estimates load times from measurements, by tier and kind of target."""

    def __init__(self) -> None:
        self._ratio_by_kind: dict[tuple[CheckpointTier, bool], float] = {}

    def estimate_s(
        self, nominal_s: float, tier: CheckpointTier, is_adapter: bool
    ) -> float:
        """Return the expected time of a load."""
        default = 1.0 if is_adapter else _INITIAL_LOAD_RATIO[tier]
        return nominal_s * self._ratio_by_kind.get((tier, is_adapter), default)

    def record_load_time(self, load: InFlightLoad, now: float) -> None:
        """Update the estimate with the time of a finished load."""
        if load.nominal_s <= 0:
            return
        key = (load.tier, load.is_adapter)
        ratio = (now - load.started_at) / load.nominal_s
        previous = self._ratio_by_kind.get(key)
        if previous is None:
            default = 1.0 if load.is_adapter else _INITIAL_LOAD_RATIO[load.tier]
            previous = default
        self._ratio_by_kind[key] = previous + _NEW_SAMPLE_WEIGHT * (ratio - previous)


class LoadLimits:
    """Limits on concurrent loads, and the rate limit of the weight store."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._tokens = float(site.store_parallel_loads)
        self._refilled_at: float | None = None

    def set_site(self, site: Site) -> None:
        """Use the limits of a new manifest revision."""
        self._site = site

    def admits_adapter(self, in_flight_loads: list[InFlightLoad]) -> bool:
        """Return whether one more adapter load may start."""
        active = sum(
            load.is_adapter and not load.is_stalled for load in in_flight_loads
        )
        return active < self._site.adapter_parallel_loads

    def admits_store_load(
        self, in_flight_loads: list[InFlightLoad], now: float
    ) -> bool:
        """Return whether one more load from the weight store may start."""
        self._refill_tokens(now)
        active = sum(
            not load.is_adapter
            and not load.is_stalled
            and load.tier is CheckpointTier.REMOTE
            for load in in_flight_loads
        )
        return active < self._site.store_parallel_loads and self._tokens >= 1.0

    def consume_store_token(self, now: float) -> None:
        """Consume a rate-limit token for one load from the weight store."""
        self._refill_tokens(now)
        self._tokens -= 1.0

    def next_token_at(self, now: float) -> float | None:
        """Return when the rate limit allows the next load; None if it does now."""
        self._refill_tokens(now)
        if self._tokens >= 1.0:
            return None
        return now + (1.0 - self._tokens) / self._site.store_loads_per_s + 0.001

    def min_store_wait_s(self, loads_ahead: int) -> float:
        """Return a lower bound of the wait behind other loads from the store, in s."""
        missing_tokens = max(loads_ahead + 1 - self._tokens, 0.0)
        return missing_tokens / self._site.store_loads_per_s

    def _refill_tokens(self, now: float) -> None:
        if self._refilled_at is not None:
            refilled = (now - self._refilled_at) * self._site.store_loads_per_s
            limit = float(self._site.store_parallel_loads)
            self._tokens = min(self._tokens + max(refilled, 0.0), limit)
        self._refilled_at = now
