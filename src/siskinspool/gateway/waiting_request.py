"""A request that waits for a server."""

from __future__ import annotations

import attrs

from ..core.message import Address
from .messages import AssignServer

# Service, model and adapter; the adapter is empty for the base model.
Target = tuple[str, str, str]


@attrs.define
class WaitingRequest:
    """A request that waits for a server."""

    sender: Address
    call: AssignServer
    since: float
    give_up_at: float
    # Its requester will retry if refused; a requester retries once.
    will_return: bool
    # When the leader expects the model to be ready; None if unknown.
    ready_at: float | None = None
    # It has been reported to the leader.
    is_reported: bool = False

    @property
    def target(self) -> Target:
        """Return the service, model and adapter that it waits for."""
        return (self.call.service, self.call.model, self.call.adapter)

    @property
    def is_fresh(self) -> bool:
        """Return whether this is the first send of its requester's first attempt."""
        return self.will_return and not self.call.repeat and not self.call.excluded

    def reach_s(self, now: float) -> float:
        """Return how much longer its requester can be served, including a retry."""
        reach_s = self.call.reach_s if self.will_return else self.call.patience_s
        return max(self.since + reach_s - now, 0.0)
