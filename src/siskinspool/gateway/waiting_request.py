"""A request that waits for a server."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..core.message import Address
from .messages import AssignServer


@attrs.define
class WaitingRequest:
    """A request without a server."""

    sender: Address
    call: AssignServer
    since: float
    give_up_at: float
    # Its requester comes back if it is refused, which it does once.
    returns: bool
    # When the leader expects the model; None if it has not said.
    ready_at: float | None = None
    # The leader has heard of it.
    told: bool = False

    def reach_s(self, now: float) -> float:
        """Return how much longer its requester can be served."""
        reach_s = self.call.reach_s if self.returns else self.call.patience_s
        return max(self.since + reach_s - now, 0.0)


def waiting_for(
    call: AssignServer, requests: Iterable[WaitingRequest]
) -> list[WaitingRequest]:
    """Return the requests that wait for the same model and adapter as one of them."""
    target = (call.service, call.model, call.adapter)
    return [
        item
        for item in requests
        if (item.call.service, item.call.model, item.call.adapter) == target
    ]


def take_untold(requests: Iterable[WaitingRequest], now: float) -> tuple[float, ...]:
    """Return the reach of the requests that the leader has not heard of, in seconds."""
    untold = [item for item in requests if not item.told]
    for item in untold:
        item.told = True
    return tuple(item.reach_s(now) for item in untold)
