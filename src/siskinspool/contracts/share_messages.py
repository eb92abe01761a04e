"""Messages for team limits.

Request handlers and the task ``limits`` of their instance exchange amounts in tokens.
Instances and quota allocators exchange `QuotaAmount` values in whole millitokens, so
that sums are exact. Amounts that move are sent as running totals: a lost, repeated or
reordered message does no harm, because the receiver applies only the difference to what
it has already applied.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

import attrs

from ..core.message import Message
from ..links.codec import wire, wire_as

MILLITOKENS_PER_TOKEN: Final = 1000
SHARE_TTL_S: Final = 10.0
# Added to a share's time to live to allow for clocks that run at different speeds.
EXPIRY_MARGIN_S: Final = 1.0
# How long a share stays valid in outage mode after the allocator's session ends.
OUTAGE_HOLD_S: Final = 3600.0


@attrs.frozen
class QuotaAmount:
    """An amount of quota that moves between holders, or a running total of amounts.

    ``rate`` is in millitokens/s, ``cap`` and ``level`` are in millitokens. A moved
    amount has level <= cap, so level in transit is always covered by its own cap.
    """

    rate: int = 0
    cap: int = 0
    level: int = 0

    def plus(self, other: QuotaAmount) -> QuotaAmount:
        """Return the sum of two amounts."""
        return QuotaAmount(
            self.rate + other.rate, self.cap + other.cap, self.level + other.level
        )

    def minus(self, other: QuotaAmount) -> QuotaAmount:
        """Return the difference of two amounts."""
        return QuotaAmount(
            self.rate - other.rate, self.cap - other.cap, self.level - other.level
        )

    @property
    def is_empty(self) -> bool:
        """Whether rate and cap are zero."""
        return self.rate == 0 and self.cap == 0


class SpendRefusal(StrEnum):
    """Why tokens were refused."""

    # The team's rate limit is reached.
    RATE = "rate"
    # The request exceeds the burst and can never be granted.
    LARGER_THAN_BURST = "larger_than_burst"
    UNKNOWN_TEAM = "unknown_team"
    DRAINING = "draining"


@attrs.frozen
class SpendTokens(Message):
    """Requests to spend tokens; waits at most ``wait_s`` for a larger share."""

    team: str
    tokens: float
    wait_s: float = 0.15


@attrs.frozen
class SpendGranted(Message):
    """The tokens were spent."""

    spend_id: int
    # Time of the spend, monotonic seconds.
    spent_at: float = 0.0


@attrs.frozen
class SpendRefused(Message):
    """The tokens were not spent."""

    # None if a retry cannot succeed.
    retry_after_s: float | None
    reason: SpendRefusal = SpendRefusal.RATE


@attrs.frozen
class SettleTokens(Message):
    """Reports the tokens that a finished request really used."""

    spend_id: int
    used: float


@wire
@attrs.frozen
class ShareReport(Message):
    """Reports to the team's allocator the quota that an instance holds and needs."""

    team: str
    incarnation: str
    # Increases with every report of the incarnation.
    request_no: int
    # The current share; epoch and lease number are 0 if there is none.
    epoch: int
    lease_no: int
    # The latest share that this instance will never use again.
    closed_epoch: int
    closed_lease_no: int
    holding: QuotaAmount
    # Running totals of the lease: applied grants and returned quota.
    applied: QuotaAmount
    returned: QuotaAmount
    # Requested millitokens per second.
    demand: int
    # Millitokens that waiting requests lack.
    wanted: int
    surrendering: bool = False


@wire
@attrs.frozen
class ShareGrant(Message):
    """Renews a share and grants quota; answers one report."""

    team: str
    epoch: int
    lease_no: int
    request_no: int
    # Part of ``given`` that the instance held in an older epoch and keeps.
    base: QuotaAmount
    # Running total of the quota granted under the lease.
    given: QuotaAmount
    # The instance returns quota above these targets when none of its requests wait.
    target_rate: int
    target_cap: int
    # How long after the report's send time the share may be held in outage mode.
    hold_s: float


@wire
@attrs.frozen
class ShareRecall(Message):
    """Asks an instance to return a fraction of its level for another instance."""

    team: str
    epoch: int
    lease_no: int
    fraction: float


@wire
@attrs.frozen
class OutageQuestion(Message):
    """Asks an instance when it last saw an outage of the key-value service."""

    partition: str
    epoch: int
    number: int


@wire
@attrs.frozen
class OutageAnswer(Message):
    """Answer to `OutageQuestion`."""

    partition: str
    epoch: int
    number: int
    # Time since the instance was last in outage mode; None if it never was.
    outage_age_s: float | None
    uptime_s: float


@wire_as("PeerAsk")
@attrs.frozen
class TransferRequest(Message):
    """Asks a peer for part of its share in outage mode, if no allocator answers."""

    team: str
    ask_no: int
    incarnation: str
    epoch: int
    wanted: int


@wire_as("PeerGift")
@attrs.frozen
class QuotaTransfer(Message):
    """Transfers part of the sender's share; valid from the request's send time."""

    team: str
    ask_no: int
    incarnation: str
    epoch: int
    piece: QuotaAmount
    # Remaining validity at the sender in outage mode.
    hold_s: float
