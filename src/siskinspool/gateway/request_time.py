"""How long a request may wait, and how long its requester can still be served.

A requester abandons a stream after a gap without events, also before the first one, and
any request at its deadline. A requester that is refused in time retries once.
"""

from __future__ import annotations

import math
from typing import Final

import attrs

from .desired_state import Route, RouteKind
from .request_context import GatewayRequest

# A requester abandons a stream after a gap of this, of 4 latency targets or of 8 gap
# targets, whichever is longest.
MIN_STREAM_GAP_S: Final = 2.0
STREAM_GAP_TARGETS: Final = 4
STREAM_GAP_PAUSES: Final = 8
# Reserved for the answer's way back to the requester.
ANSWER_MARGIN_S: Final = 0.1
# A refused requester retries at the latest after this share of its remaining time.
RETRY_WAIT_SHARE: Final = 1 / 3


@attrs.frozen
class RequestTime:
    """The time limits of a request; times are seconds on the instance's clock."""

    route: Route
    arrived_at: float
    deadline_at: float

    @classmethod
    def from_request(cls, request: GatewayRequest) -> RequestTime:
        """Return the limits set by the route's timeout and the requester's deadline."""
        route = request.admission.route
        total_s = route.timeout_s
        if request.head.deadline_s is not None:
            total_s = min(total_s, request.head.deadline_s)
        return cls(route, request.arrived_at, request.arrived_at + total_s)

    def remaining_s(self, now: float) -> float:
        """Return the time until the deadline."""
        return self.deadline_at - now

    def patience_s(self, now: float) -> float:
        """Return how long the request may wait for a server."""
        elapsed_s = now - self.arrived_at
        patience_s = min(self.remaining_s(now), self._max_stream_gap_s() - elapsed_s)
        return max(patience_s - ANSWER_MARGIN_S, 0.0)

    def reach_s(self, now: float) -> float:
        """Return how long the requester can be served, including its retry.

        A requester that is refused now retries within a share of its remaining time
        and then waits again.
        """
        remaining_s = self.remaining_s(now)
        returned_s = remaining_s * RETRY_WAIT_SHARE + self._max_stream_gap_s()
        returned_s = min(remaining_s, returned_s) - ANSWER_MARGIN_S
        return max(self.patience_s(now), returned_s)

    def _max_stream_gap_s(self) -> float:
        """Return how long a requester waits for the next event of a stream."""
        if self.route.kind is not RouteKind.STREAM:
            return math.inf
        return max(
            MIN_STREAM_GAP_S,
            STREAM_GAP_TARGETS * self.route.target_latency_s,
            STREAM_GAP_PAUSES * (self.route.gap_target_s or 0.0),
        )
