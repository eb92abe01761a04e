"""Forwards results of orders from a former owner to the current one.

A result reaches only the instance that sent the order. If that instance has lost the
partition meanwhile, the current owner keeps the reservation until it receives the
result. The result is therefore repeated until the new owner must have taken over.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..core.message import Address, Outgoing
from .messages import OrderSettled

FORWARD_PERIOD_S: Final = 2.0
# Covers the session's time to live and the time to seal all records.
FORWARD_FOR_S: Final = 30.0


@attrs.frozen
class _Forward:
    """A result to send to the current owner of the partition."""

    settled: OrderSettled
    until: float


class ResultForwarding:
    """Keeps the results to forward and sends them repeatedly."""

    def __init__(self, instance_id: str, task: str) -> None:
        self._instance_id = instance_id
        self._task = task
        self._owner = ""
        self._forwards: list[_Forward] = []
        self._next_at = 0.0

    def set_owner(self, instance_id: str, now: float) -> None:
        """Set the current owner, empty if it is unknown."""
        if instance_id != self._owner:
            self._owner = instance_id
            self._next_at = now

    def add(self, settled: OrderSettled, now: float) -> None:
        """Forward a result from now on."""
        self._forwards.append(_Forward(settled, now + FORWARD_FOR_S))
        self._next_at = now

    def due(self, now: float) -> list[Outgoing]:
        """Return the results to send now."""
        self._forwards = [f for f in self._forwards if f.until > now]
        if not self._forwards or not self._is_remote() or now < self._next_at:
            return []
        self._next_at = now + FORWARD_PERIOD_S
        owner = Address(self._owner, self._task)
        return [Outgoing(owner, forward.settled) for forward in self._forwards]

    def wake_at(self) -> float | None:
        """Return when results are due next."""
        return self._next_at if self._forwards and self._is_remote() else None

    def _is_remote(self) -> bool:
        return self._owner not in ("", self._instance_id)
