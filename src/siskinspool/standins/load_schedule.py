"""Arrivals of a load trial, determined by a seed.

A `Flow` is a stream of requests of a team. `build_schedule` merges the arrivals of
several flows in the order of time. Arrivals do not depend on answers (open loop), so a
slow system gets no less load than a fast one.
"""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Iterable

import attrs


@attrs.frozen(kw_only=True)
class RequestKind:
    """Parameters shared by the requests of a flow."""

    team: str
    # Models or adapters, chosen at random for each arrival.
    targets: tuple[str, ...]
    # Numbers of the instances, chosen at random for each arrival.
    instances: tuple[int, ...] = (0,)
    max_tokens: int = 16
    # Fraction of the requests that are streamed, from 0 to 1.
    streamed_share: float = 1.0
    deadline_ms: int = 30_000


@attrs.frozen(kw_only=True)
class Arrival:
    """A request and the time at which it is sent, from the start of the trial."""

    at_s: float
    team: str
    target: str
    instance: int
    max_tokens: int
    streamed: bool
    deadline_ms: int


class Flow(ABC):
    """A stream of requests."""

    @abstractmethod
    def arrivals(self, rng: random.Random) -> Iterable[Arrival]:
        """Yield the arrivals of this flow in the order of time."""


@attrs.frozen(kw_only=True)
class SteadyFlow(Flow):
    """Poisson arrivals at a fixed rate."""

    kind: RequestKind
    per_s: float
    duration_s: float
    start_s: float = 0.0

    def arrivals(self, rng: random.Random) -> Iterable[Arrival]:
        """Yield arrivals with exponentially distributed gaps."""
        at_s = self.start_s + rng.expovariate(self.per_s)
        while at_s < self.start_s + self.duration_s:
            yield _arrival(self.kind, at_s, rng.choice(self.kind.instances), rng)
            at_s += rng.expovariate(self.per_s)


@attrs.frozen(kw_only=True)
class BurstFlow(Flow):
    """The same number of requests to every instance within a short time."""

    kind: RequestKind
    at_s: float
    per_instance: int = 1
    spread_s: float = 0.1

    def arrivals(self, rng: random.Random) -> Iterable[Arrival]:
        """Yield the arrivals of the burst."""
        times: list[tuple[float, int]] = [
            (self.at_s + rng.uniform(0.0, self.spread_s), instance)
            for instance in self.kind.instances
            for _ in range(self.per_instance)
        ]
        for at_s, instance in sorted(times):
            yield _arrival(self.kind, at_s, instance, rng)


def _arrival(
    kind: RequestKind, at_s: float, instance: int, rng: random.Random
) -> Arrival:
    return Arrival(
        at_s=at_s,
        team=kind.team,
        target=rng.choice(kind.targets),
        instance=instance,
        max_tokens=kind.max_tokens,
        streamed=rng.random() < kind.streamed_share,
        deadline_ms=kind.deadline_ms,
    )


def build_schedule(flows: Iterable[Flow], seed: int) -> tuple[Arrival, ...]:
    """Return the arrivals of all flows; the same seed gives the same arrivals."""
    merged: list[Arrival] = []
    for number, flow in enumerate(flows):
        # Each flow has its own generator, so that its arrivals stay the same when
        # other flows change.
        merged += flow.arrivals(random.Random(f"{seed}/{number}"))
    return tuple(sorted(merged, key=lambda arrival: arrival.at_s))
