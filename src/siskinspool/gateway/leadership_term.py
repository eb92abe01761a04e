"""The state of the leadership term in the placement decision."""

from __future__ import annotations

from typing import Final

import attrs

# Timeout of an order; no order is given with less than this left of the term.
ORDER_TIMEOUT_S: Final = 0.6
# An order that has been given is still sent with this much left of the term.
ORDER_TRANSFER_S: Final = 0.1


@attrs.frozen
class OrderPermit:
    """The permission for one order; it may end before the order is sent."""

    epoch: int
    # The order must not be sent later, in seconds on the instance's clock.
    until_s: float


@attrs.define
class LeadershipTerm:
    """The time in which orders may be given; in seconds on the instance's clock."""

    # None while this instance does not lead.
    epoch: int | None = None
    # The platform's store does not answer, so there may be a successor.
    is_detached: bool = False
    _from_s: float = 0.0
    _until_s: float = 0.0

    def begin(self, epoch: int, from_s: float) -> None:
        """Begin a term; orders may be given from ``from_s`` on."""
        self.epoch, self._from_s = epoch, from_s

    def extend(self, until_s: float, detached: bool) -> None:
        """Allow orders until a time."""
        self._until_s, self.is_detached = until_s, detached

    def end(self) -> None:
        """End the term; no more orders may be given."""
        self.epoch = None

    def permit(self) -> OrderPermit:
        """Return the permission for an order of this term."""
        return OrderPermit(self.epoch or 0, self._until_s - ORDER_TRANSFER_S)

    def allows_orders(self, now: float) -> bool:
        """Return whether an order can be given and answered within the term."""
        return (
            self.epoch is not None
            and now >= self._from_s
            and now + ORDER_TIMEOUT_S < self._until_s
        )
