"""The queue of loads, limits on loads at once, and estimates of load times.

Loads wait in the order of class, deadline and demand. A load of a model from the weight
store needs a token of the store's rate and one of its parallel places; a load of an
adapter needs one of the site's places for adapters. Estimates follow measured times as
an exponential average of measured over nominal time, one per checkpoint tier.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..core.message import Address
from ..manifest.model import RequestClass, Site
from .messages import CheckpointTier
from .reservations import Target

STALL_FACTOR: Final = 3.0
# Orders and reports take a few polling periods however short the load is.
MIN_STALL_S: Final = 3.0
_NEW_SAMPLE_WEIGHT: Final = 0.3
# Starting ratios to the nominal time, until a load of the tier was measured.
_INITIAL_LOAD_RATIO: Final = {
    CheckpointTier.MEMORY: 0.1,
    CheckpointTier.DISK: 0.4,
    CheckpointTier.REMOTE: 1.0,
}


@attrs.frozen
class Waiter:
    """What one asker needs."""

    deadline_at: float
    waiting_calls: int


@attrs.define
class LoadRequest:
    """A target that should get one more replica."""

    target: Target
    request_class: RequestClass
    deadline_at: float
    # Replicas in use or under way at which the request is satisfied.
    desired_replicas: int = 1
    waiter_by_address: dict[Address, Waiter] = attrs.field(factory=dict)
    # Servers on which a load failed or stalled, until the given time.
    avoid_until: dict[str, float] = attrs.field(factory=dict)
    failures: int = 0
    # Server on which replicas are being unloaded for this request.
    eviction_server_id: str = ""
    eviction_expires_at: float = 0.0

    def avoids_server(self, server_id: str, now: float) -> bool:
        """Return whether the server is set aside for this target."""
        return self.avoid_until.get(server_id, float("-inf")) > now

    @property
    def waiting_calls(self) -> int:
        """Return how many requests wait."""
        return sum(waiter.waiting_calls for waiter in self.waiter_by_address.values())

    def merge(self, other: LoadRequest) -> None:
        """Take in another request for the same target."""
        if other.request_class is RequestClass.URGENT:
            self.request_class = other.request_class
        self.deadline_at = max(self.deadline_at, other.deadline_at)
        self.desired_replicas = max(self.desired_replicas, other.desired_replicas)
        self.waiter_by_address.update(other.waiter_by_address)
        self.avoid_until.update(other.avoid_until)
        self.failures = max(self.failures, other.failures)

    def earliest_deadline(self) -> float:
        """Return the deadline that decides the place in the queue."""
        deadlines = [waiter.deadline_at for waiter in self.waiter_by_address.values()]
        return min(deadlines, default=self.deadline_at)


class LoadQueue:
    """Loads that are not decided yet, at most one per target."""

    def __init__(self) -> None:
        self._request_by_target: dict[Target, LoadRequest] = {}

    def __len__(self) -> int:
        return len(self._request_by_target)

    def find(self, target: Target) -> LoadRequest | None:
        """Return the waiting load of a target."""
        return self._request_by_target.get(target)

    def add(self, request: LoadRequest) -> LoadRequest:
        """Queue a load, or join it to the one that waits for the same target."""
        present = self._request_by_target.setdefault(request.target, request)
        if present is not request:
            present.merge(request)
        return present

    def remove(self, target: Target) -> None:
        """Take a load out of the queue."""
        self._request_by_target.pop(target, None)

    def clear(self) -> None:
        """Drop all loads."""
        self._request_by_target.clear()

    def in_order(self) -> list[LoadRequest]:
        """Return the loads in the order in which they should be decided."""
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
    """A load that is decided and not finished."""

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
        """Return whether an adapter is loaded."""
        return bool(self.request.target.adapter)

    @property
    def stalls_at(self) -> float:
        """Return when the load counts as stalled."""
        return self.started_at + max(self.estimate_s * STALL_FACTOR, MIN_STALL_S)

    def remaining_s(self, now: float) -> float:
        """Return the expected time until the replica is loaded."""
        return max(self.started_at + self.estimate_s - now, 0.0)


class LoadTimeEstimator:
    """Load times from measured times, one average per tier and kind."""

    def __init__(self) -> None:
        self._ratio_by_kind: dict[tuple[CheckpointTier, bool], float] = {}

    def estimate_s(
        self, nominal_s: float, tier: CheckpointTier, adapter: bool
    ) -> float:
        """Return the expected time of a load."""
        default = 1.0 if adapter else _INITIAL_LOAD_RATIO[tier]
        return nominal_s * self._ratio_by_kind.get((tier, adapter), default)

    def record_load_time(self, flight: InFlightLoad, now: float) -> None:
        """Take in the time of a finished load."""
        if flight.nominal_s <= 0:
            return
        key = (flight.tier, flight.is_adapter)
        ratio = (now - flight.started_at) / flight.nominal_s
        before = self._ratio_by_kind.get(key)
        if before is None:
            default = 1.0 if flight.is_adapter else _INITIAL_LOAD_RATIO[flight.tier]
            before = default
        self._ratio_by_kind[key] = before + _NEW_SAMPLE_WEIGHT * (ratio - before)


class LoadLimits:
    """Places and rate of the weight store, and places for adapters."""

    def __init__(self, site: Site) -> None:
        self._site = site
        self._tokens = float(site.store_parallel_loads)
        self._refilled_at: float | None = None

    def set_site(self, site: Site) -> None:
        """Use the limits of a new manifest revision."""
        self._site = site

    def admits_adapter(self, flights: list[InFlightLoad]) -> bool:
        """Return whether one more adapter may be loaded."""
        active = sum(f.is_adapter and not f.is_stalled for f in flights)
        return active < self._site.adapter_parallel_loads

    def admits_store_load(self, flights: list[InFlightLoad], now: float) -> bool:
        """Return whether one more model may be loaded from the weight store."""
        self._refill_tokens(now)
        active = sum(
            not f.is_adapter and not f.is_stalled and f.tier is CheckpointTier.REMOTE
            for f in flights
        )
        return active < self._site.store_parallel_loads and self._tokens >= 1.0

    def consume_store_token(self, now: float) -> None:
        """Count one load from the weight store."""
        self._refill_tokens(now)
        self._tokens -= 1.0

    def next_token_at(self, now: float) -> float | None:
        """Return when the store's rate allows the next load, None if it does now."""
        self._refill_tokens(now)
        if self._tokens >= 1.0:
            return None
        return now + (1.0 - self._tokens) / self._site.store_loads_per_s + 0.001

    def min_store_wait_s(self, loads_ahead: int) -> float:
        """Return a lower bound of the wait behind other loads from the store."""
        excess = max(loads_ahead + 1 - self._tokens, 0.0)
        return excess / self._site.store_loads_per_s

    def _refill_tokens(self, now: float) -> None:
        if self._refilled_at is not None:
            gained = (now - self._refilled_at) * self._site.store_loads_per_s
            limit = float(self._site.store_parallel_loads)
            self._tokens = min(self._tokens + max(gained, 0.0), limit)
        self._refilled_at = now
