"""Lasting speed of servers, estimated from their own answers.

A measured time is compared with its nominal time. The logarithm of the ratio is split
into three parts: the mean of the service's servers, the difference of the server, and
the difference of the server for one kind of work. Each is estimated in turn, so a
server with few answers is taken as one of the usual speed.
"""

from __future__ import annotations

import math
from enum import Enum
from typing import Final

import attrs

from .robust_mean import RobustMean


class WorkKind(Enum):
    """The kinds of work whose times are measured."""

    PREFILL = "prefill"
    EVENT_GAP = "event_gap"
    SHORT_CALL = "short_call"


# Prompt tokens that a server of the usual speed processes per second.
PREFILL_TOKENS_PER_S: Final = 40_000.0
# Nominal times; the mean of the service's servers corrects them.
EVENT_GAP_S: Final = 0.01
SHORT_CALL_S: Final = 0.015
# Longest ratio that is recorded: a measured time beyond it shows a stall, not a speed.
MAX_LOG_RATIO: Final = 3.0


def _means_by_kind() -> dict[WorkKind, RobustMean]:
    return {kind: RobustMean() for kind in WorkKind}


@attrs.define
class FleetSpeed:
    """Mean times of the servers of one service, relative to the nominal times."""

    _mean_by_kind: dict[WorkKind, RobustMean] = attrs.field(factory=_means_by_kind)

    def log_ratio(self, kind: WorkKind) -> float:
        """Return the logarithm of the mean ratio to the nominal time."""
        return self._mean_by_kind[kind].value

    def add(self, kind: WorkKind, log_ratio: float) -> None:
        """Add a measured ratio of one of the servers."""
        self._mean_by_kind[kind].add(log_ratio)


@attrs.define
class SpeedEstimate:
    """Lasting slowdown of one server."""

    fleet: FleetSpeed
    _overall: RobustMean = attrs.field(factory=RobustMean)
    _rest_by_kind: dict[WorkKind, RobustMean] = attrs.field(factory=dict)

    def record(
        self, kind: WorkKind, took_s: float, nominal_s: float, spell: float = 1.0
    ) -> None:
        """Record a measured time; ``spell`` is the part that a spell explains."""
        if took_s <= 0 or nominal_s <= 0:
            return
        log_ratio = math.log(took_s / nominal_s / spell)
        log_ratio = min(max(log_ratio, -MAX_LOG_RATIO), MAX_LOG_RATIO)
        difference = log_ratio - self.fleet.log_ratio(kind)
        rest = self._rest_by_kind.setdefault(kind, RobustMean())
        rest.add(difference - self._overall.value)
        self._overall.add(difference)
        self.fleet.add(kind, log_ratio)

    @property
    def slowdown(self) -> float:
        """How much longer work takes than at the mean server, over all kinds."""
        return math.exp(self._overall.value)

    def time_ratio(self, kind: WorkKind) -> float:
        """Return how long work of a kind takes, relative to its nominal time."""
        rest = self._rest_by_kind.get(kind)
        log_ratio = self.fleet.log_ratio(kind) + self._overall.value
        return math.exp(log_ratio + (0.0 if rest is None else rest.value))
