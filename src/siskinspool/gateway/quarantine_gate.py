"""Checks requests against the quarantined prompt parts."""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum, auto
from typing import Final

import attrs

from .quarantine_messages import QuarantinedParts

# A probe without a result is repeated after this time.
PROBE_TIMEOUT_S: Final = 10.0


class GateResult(Enum):
    """Whether a request may be sent."""

    OPEN = auto()
    # The request may be sent to find out whether its parts still crash servers.
    PROBE = auto()
    CLOSED = auto()


@attrs.frozen
class GateDecision:
    """The result for a request; times are in seconds."""

    result: GateResult
    # The quarantined parts that the request has; empty if the gate is open.
    part_ids: frozenset[str] = frozenset()
    retry_after_s: float = 0.0


class QuarantineGate:
    """The groups of parts of which a request must not have all."""

    def __init__(self) -> None:
        self._groups: tuple[QuarantinedParts, ...] = ()

    def update(self, groups: tuple[QuarantinedParts, ...]) -> None:
        """Set the quarantined groups."""
        self._groups = groups

    def close(self, part_ids: frozenset[str], now: float) -> None:
        """Let no further request with this group pass while a probe is running."""
        self._groups = tuple(
            attrs.evolve(group, probe_from=now + PROBE_TIMEOUT_S)
            if group.part_ids == part_ids
            else group
            for group in self._groups
        )

    def check(self, part_ids: Collection[str], now: float) -> GateDecision:
        """Decide on a request with these parts.

        A request is refused if it has all parts of a group that is still held.
        """
        decision = GateDecision(GateResult.OPEN)
        for group in self._groups:
            if not group.part_ids.issubset(part_ids):
                continue
            wait_s = group.probe_from - now
            if wait_s > 0:
                return GateDecision(GateResult.CLOSED, group.part_ids, wait_s)
            decision = GateDecision(GateResult.PROBE, group.part_ids)
        return decision
