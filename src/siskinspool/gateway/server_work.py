"""What a model server is doing, as the leader knows it: requests, orders, arrivals."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import Final

import attrs

from .messages import OrderKind

# Gateways tell once a second what their requests use.
USE_TTL_S: Final = 1.5
# Beyond this, uses of the past are forgotten.
MAX_USED_TARGETS: Final = 32


class WeightSource(StrEnum):
    """Where a load takes a model's weights from."""

    MEMORY = "memory"
    DISK = "disk"
    STORE = "store"


@attrs.frozen
class Use:
    """Requests that use a model or adapter on a server."""

    # When they were last known to.
    seen_at: float
    # When the last of them is expected to end.
    ends_at: float


@attrs.define
class TargetUses:
    """Models and adapters that requests use on a server; times are in seconds."""

    _use_by_target: dict[str, Use] = attrs.field(factory=dict)

    def record(self, remaining_by_target: Mapping[str, float], now: float) -> None:
        """Record uses, each with the seconds until the last known request ends."""
        for target, remaining_s in remaining_by_target.items():
            known = self._use_by_target.get(target)
            ends_at = now + remaining_s
            if known is not None:
                # Another gateway's requests may last longer.
                ends_at = max(ends_at, known.ends_at)
            self._use_by_target[target] = Use(now, ends_at)
        if len(self._use_by_target) > MAX_USED_TARGETS:
            since = now - USE_TTL_S
            self._use_by_target = {
                target: use
                for target, use in self._use_by_target.items()
                if max(use.seen_at, use.ends_at - USE_TTL_S) > since
            }

    def is_target_used(self, target: str, now: float) -> bool:
        """Return whether requests use one target, as named by `target_name`."""
        use = self._use_by_target.get(target)
        return use is not None and use.seen_at > now - USE_TTL_S

    def is_model_used(self, model: str, now: float) -> bool:
        """Return whether requests use a model or one of its adapters."""
        since = now - USE_TTL_S
        return any(use.seen_at > since for use in self._uses_of(model))

    def ends_at(self, model: str, now: float) -> float:
        """Return when the last known request for a model ends; now without one."""
        return max((use.ends_at for use in self._uses_of(model)), default=now)

    def _uses_of(self, model: str) -> list[Use]:
        return [
            use
            for target, use in self._use_by_target.items()
            if target.partition("/")[0] == model
        ]


@attrs.frozen
class RunningOrder:
    """An order on a model that a server is carrying out."""

    kind: OrderKind
    model: str
    # When it was accepted, and how long it was then expected to take.
    since: float
    expected_s: float


@attrs.define
class Arrival:
    """An adapter on its way to a server."""

    ready_at: float
    # Instances that wait for it.
    waiting_gateways: set[str]
