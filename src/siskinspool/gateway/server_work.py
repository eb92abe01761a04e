"""Work of a model server that the leader knows of: requests, orders, adapter loads."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import Final

import attrs

from .messages import OrderKind

# Gateways report once a second which targets their requests use.
USE_TTL_S: Final = 1.5
# With more targets than this, outdated uses are dropped.
MAX_USED_TARGETS: Final = 32


class WeightSource(StrEnum):
    """The source of a model's weights for a load."""

    MEMORY = "memory"
    DISK = "disk"
    STORE = "store"


@attrs.frozen
class Use:
    """Use of a model or adapter by requests on a server."""

    # When requests were last known to use it.
    seen_at: float
    # When the last of these requests is expected to end.
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
                # Requests of another gateway may take longer.
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
        """Return whether requests use a target as named by `target_name`."""
        use = self._use_by_target.get(target)
        return use is not None and use.seen_at > now - USE_TTL_S

    def is_model_used(self, model: str, now: float) -> bool:
        """Return whether requests use a model or one of its adapters."""
        since = now - USE_TTL_S
        return any(use.seen_at > since for use in self._uses_of(model))

    def ends_at(self, model: str, now: float) -> float:
        """Return when the last known request for a model ends, or now without one."""
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
    # When the order was accepted, and its expected duration from then on.
    since: float
    expected_s: float


@attrs.define
class AdapterLoad:
    """An adapter that is being loaded on a server."""

    ready_at: float
    # Gateways that wait for it.
    waiting_gateways: set[str]
