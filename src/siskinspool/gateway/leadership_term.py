"""The leader's time in office as the placement sees it."""

from __future__ import annotations

from typing import Final

import attrs

# Orders are given only if this much of the time in office is left: their time-out.
ORDER_TIMEOUT_S: Final = 0.6


@attrs.define
class LeadershipTerm:
    """When orders may be given; times are seconds on the instance's clock."""

    # None out of office.
    epoch: int | None = None
    # The store does not answer, so there may be a successor.
    is_detached: bool = False
    _from_s: float = 0.0
    _until_s: float = 0.0

    def begin(self, epoch: int, from_s: float) -> None:
        """Take office with an epoch number; orders may be given from a time on."""
        self.epoch, self._from_s = epoch, from_s

    def extend(self, until_s: float, detached: bool) -> None:
        """Allow orders until a time."""
        self._until_s, self.is_detached = until_s, detached

    def end(self) -> None:
        """Give no more orders."""
        self.epoch = None

    def allows_orders(self, now: float) -> bool:
        """Return whether an order may be given, and answered, in the time in office."""
        return (
            self.epoch is not None
            and now >= self._from_s
            and now + ORDER_TIMEOUT_S < self._until_s
        )
