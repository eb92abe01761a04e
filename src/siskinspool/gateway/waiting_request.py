"""A request that waits for a server."""

from __future__ import annotations

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
    # When the leader expects the model; None if it has not said.
    ready_at: float | None = None
