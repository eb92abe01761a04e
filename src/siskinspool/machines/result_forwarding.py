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

FORWARD_INTERVAL_S: Final = 2.0
# Covers the session's time to live and the time to seal all records.
FORWARD_DURATION_S: Final = 30.0


@attrs.frozen
class _ForwardedResult:
    """A result to send to the current owner of the partition."""

    settled: OrderSettled
    expires_at: float


class ResultForwarding:
    """Keeps the results to forward and sends them repeatedly."""

    def __init__(self, instance_id: str, task: str) -> None:
        self._instance_id = instance_id
        self._task = task
        self._owner_id = ""
        self._pending_results: list[_ForwardedResult] = []
        self._next_send_at = 0.0

    def set_owner(self, instance_id: str, now: float) -> None:
        """Set the current owner, empty if it is unknown."""
        if instance_id != self._owner_id:
            self._owner_id = instance_id
            self._next_send_at = now

    def add(self, settled: OrderSettled, now: float) -> None:
        """Forward a result from now on."""
        self._pending_results.append(
            _ForwardedResult(settled, now + FORWARD_DURATION_S)
        )
        self._next_send_at = now

    def due_results(self, now: float) -> list[Outgoing]:
        """Return the results to send now."""
        self._pending_results = [f for f in self._pending_results if f.expires_at > now]
        if (
            not self._pending_results
            or not self._has_remote_owner()
            or now < self._next_send_at
        ):
            return []
        self._next_send_at = now + FORWARD_INTERVAL_S
        owner = Address(self._owner_id, self._task)
        return [Outgoing(owner, result.settled) for result in self._pending_results]

    def wake_at(self) -> float | None:
        """Return when results are due next."""
        return (
            self._next_send_at
            if self._pending_results and self._has_remote_owner()
            else None
        )

    def _has_remote_owner(self) -> bool:
        return self._owner_id not in ("", self._instance_id)
