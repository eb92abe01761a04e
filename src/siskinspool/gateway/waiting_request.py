"""A request that waits for a server."""

from __future__ import annotations

import attrs

from ..core.message import Address
from .messages import AssignServer

# Service, model and adapter; no adapter if the model itself is wanted.
Target = tuple[str, str, str]


@attrs.define
class WaitingRequest:
    """A request without a server."""

    sender: Address
    call: AssignServer
    since: float
    give_up_at: float
    # Its requester comes back if it is refused, which it does once.
    will_return: bool
    # When the leader expects the model; None if it has not said.
    ready_at: float | None = None
    # The leader has heard of it.
    is_reported: bool = False

    @property
    def target(self) -> Target:
        """Return what it waits for."""
        return (self.call.service, self.call.model, self.call.adapter)

    @property
    def is_fresh(self) -> bool:
        """Return whether its requester asks for the first time."""
        return self.will_return and not self.call.repeat and not self.call.excluded

    def reach_s(self, now: float) -> float:
        """Return how much longer its requester can be served."""
        reach_s = self.call.reach_s if self.will_return else self.call.patience_s
        return max(self.since + reach_s - now, 0.0)
