"""An instance's state of one team: its share, waiting requests and demand."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterator
from typing import Final

import attrs

from ..core.message import Address
from ..core.status import Status
from .share_messages import MILLITOKENS_PER_TOKEN, SHARE_TTL_S
from .team_share import TeamShare

REPORT_INTERVAL_S: Final = 0.25
IDLE_REPORT_INTERVAL_S: Final = 2.0
# A team without a request for this time counts as idle.
IDLE_AFTER_S: Final = 2.0
# Time constant of the demand estimate: after one second, 4% of an old demand remain.
DEMAND_TIME_CONSTANT_S: Final = 0.3
# Millitokens; allows for one millitoken of rounding at each recalled instance.
ROUNDING_MARGIN: Final = 1000
# An allocator that has not answered for this time counts as silent.
ALLOCATOR_SILENT_S: Final = 1.0


@attrs.define
class WaitingSpend:
    """A request that waits for a larger share."""

    reply_to: Address
    # Millitokens.
    amount: int
    deadline: float


@attrs.define
class TeamState:
    """State of one team at this instance."""

    share: TeamShare = attrs.field(factory=TeamShare)
    waiting: deque[WaitingSpend] = attrs.field(factory=deque)
    demand: float = 0.0
    # Millitokens requested since the last report.
    requested_amount: int = 0
    used_at: float = -math.inf
    reported_at: float = -math.inf
    report_at: float | None = None
    # Send time by report number, while an answer can still be applied.
    sent_at_by_no: dict[int, float] = attrs.field(factory=dict)
    granted_at: float = -math.inf
    granted_by: str = ""
    # Number of the first report of the surrender; None if not surrendering.
    surrender_no: int | None = None
    peer_request_at: float | None = None
    peer_requested_at_by_no: dict[int, float] = attrs.field(factory=dict)
    # Highest number of an answered transfer request, by peer and incarnation.
    answered_request_by_peer: dict[tuple[str, str], int] = attrs.field(factory=dict)

    @property
    def wanted_level(self) -> int:
        """The millitokens that waiting requests lack."""
        if not self.waiting:
            return 0
        total = sum(waiting.amount for waiting in self.waiting)
        lacking = total + math.ceil(self.share.debt - self.share.level)
        # Levels are rounded down when they move. Without this margin a request could
        # be refused for lack of one millitoken.
        return lacking + ROUNDING_MARGIN if lacking > 0 else 0

    def to_status(self, team_id: str) -> Status:
        """Return the share for status pages, in tokens and tokens per second."""
        share = self.share
        return {
            "id": team_id,
            "rate": share.rate / MILLITOKENS_PER_TOKEN,
            "cap": share.cap / MILLITOKENS_PER_TOKEN,
            "level": share.level / MILLITOKENS_PER_TOKEN,
            "waiting": len(self.waiting),
        }

    def record_sent(self, number: int, now: float) -> None:
        """Record when a report was sent, for as long as its answer can be applied."""
        for old_number, sent_at in list(self.sent_at_by_no.items()):
            if now <= sent_at + SHARE_TTL_S:
                break
            del self.sent_at_by_no[old_number]
        self.sent_at_by_no[number] = now

    def wake_times(self) -> Iterator[float]:
        """Yield the times at which something is due."""
        if self.report_at is not None:
            yield self.report_at
        if self.peer_request_at is not None:
            yield self.peer_request_at
        if not self.waiting:
            return
        yield min(waiting.deadline for waiting in self.waiting)
        share = self.share
        if share.is_held and share.rate and share.cap >= self.waiting[0].amount:
            lacking = self.waiting[0].amount + share.debt - share.level
            yield share.advanced_at + max(lacking, 1.0) / share.rate

    def measure_demand(self, now: float) -> None:
        """Update the demand estimate; called with every report."""
        elapsed = now - self.reported_at
        if math.isinf(elapsed):
            # First request: assume one such request per time constant.
            self.demand = self.requested_amount / DEMAND_TIME_CONSTANT_S
        else:
            decay = math.exp(-elapsed / DEMAND_TIME_CONSTANT_S)
            sample = (
                self.requested_amount * (1 - decay) / elapsed if elapsed > 0 else 0.0
            )
            self.demand = self.demand * decay + sample
            if elapsed <= 0:
                return
        self.requested_amount = 0
        self.reported_at = now

    def next_report_at(self, now: float) -> float | None:
        """Return when the next report is due, None if the team is not in use."""
        if self.waiting or now < self.used_at + IDLE_AFTER_S:
            return now + REPORT_INTERVAL_S
        if self.surrender_no is not None:
            return now + REPORT_INTERVAL_S
        if not self.share.is_held:
            return None
        # A share that is not renewed is reported more often, to find a new allocator.
        is_silent = now > self.granted_at + IDLE_REPORT_INTERVAL_S + ALLOCATOR_SILENT_S
        return now + (REPORT_INTERVAL_S if is_silent else IDLE_REPORT_INTERVAL_S)
