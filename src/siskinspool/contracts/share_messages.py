"""Messages of team limits.

Request handlers talk to the task ``limits`` of their instance in tokens. Instances and
mints exchange `QuotaAmount` values in whole millitokens, so that sums are exact. Amounts that
move are sent as running totals: a lost, repeated or overtaken message changes nothing,
because the receiver applies the difference to what it has applied already.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Final

import attrs

from ..core.message import Message
from ..links.codec import wire, wire_as

MILLITOKENS_PER_TOKEN: Final = 1000
SHARE_TTL_S: Final = 10.0
# Allowance for differences between clock speeds on top of a share's time to live.
EXPIRY_MARGIN_S: Final = 1.0
# How long a share outlives the mint's session in outage mode.
OUTAGE_HOLD_S: Final = 3600.0


@attrs.frozen
class QuotaAmount:
    """Part of a contract that moves between holders, or a running total of parts.

    ``rate`` is in millitokens/s, ``cap`` and ``level`` are in millitokens. A piece that
    moves has level <= cap, so the level in transit is covered by its own cap.
    """

    rate: int = 0
    cap: int = 0
    level: int = 0

    def plus(self, other: QuotaAmount) -> QuotaAmount:
        """Return the sum."""
        return QuotaAmount(
            self.rate + other.rate, self.cap + other.cap, self.level + other.level
        )

    def minus(self, other: QuotaAmount) -> QuotaAmount:
        """Return the difference."""
        return QuotaAmount(
            self.rate - other.rate, self.cap - other.cap, self.level - other.level
        )

    @property
    def is_empty(self) -> bool:
        """Whether nothing is in it."""
        return self.rate == 0 and self.cap == 0


class SpendRefusal(StrEnum):
    """Why tokens were refused."""

    # The team's rate is used up.
    RATE = "rate"
    # The request is larger than the burst and can never be met.
    LARGER_THAN_BURST = "larger_than_burst"
    UNKNOWN_TEAM = "unknown_team"
    DRAINING = "draining"


@attrs.frozen
class SpendTokens(Message):
    """Ask to spend an estimate; waits at most ``wait_s`` for a larger share."""

    team: str
    tokens: float
    wait_s: float = 0.15


@attrs.frozen
class SpendGranted(Message):
    """The tokens are spent."""

    spend_id: int
    # Time of the spend, monotonic seconds.
    spent_at: float = 0.0


@attrs.frozen
class SpendRefused(Message):
    """The tokens are not spent."""

    # None: a new attempt makes no sense.
    retry_after_s: float | None
    reason: SpendRefusal = SpendRefusal.RATE


@attrs.frozen
class SettleTokens(Message):
    """The request ended and used this many tokens."""

    spend_id: int
    used: float


@wire
@attrs.frozen
class ShareReport(Message):
    """What an instance holds and needs of a team's contract; goes to the mint."""

    team: str
    incarnation: str
    # Grows with every report of the incarnation.
    request_no: int
    # The share in force; epoch and lease 0 if there is none.
    epoch: int
    lease_no: int
    # The latest share that this instance will never use again.
    closed_epoch: int
    closed_lease_no: int
    holding: QuotaAmount
    # Running totals of the lease: applied grants and returned pieces.
    applied: QuotaAmount
    returned: QuotaAmount
    # Tokens asked for per second, in millitokens.
    demand: int
    # Millitokens that waiting requests lack.
    wanted: int
    surrendering: bool = False


@wire
@attrs.frozen
class ShareGrant(Message):
    """Renews a share and gives pieces; answers one report."""

    team: str
    epoch: int
    lease_no: int
    request_no: int
    # Part of ``given`` that the instance held in an older epoch and keeps.
    base: QuotaAmount
    # Running total of the lease.
    given: QuotaAmount
    # The instance returns what it holds above these, once nobody waits.
    target_rate: int
    target_cap: int
    # How long after the report's send time the share may be held in outage mode.
    hold_s: float


@wire
@attrs.frozen
class ShareRecall(Message):
    """The mint needs level for another instance: return this part of the level."""

    team: str
    epoch: int
    lease_no: int
    fraction: float


@wire
@attrs.frozen
class OutageQuestion(Message):
    """A mint asks whether the instance saw an outage of the key-value service."""

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
    # Time since the instance was last in outage mode; None: never.
    outage_age_s: float | None
    uptime_s: float


@wire_as("PeerAsk")
@attrs.frozen
class TransferRequest(Message):
    """In outage mode without a mint: ask a peer for part of its share."""

    team: str
    ask_no: int
    incarnation: str
    epoch: int
    wanted: int


@wire_as("PeerGift")
@attrs.frozen
class QuotaTransfer(Message):
    """A part of the sender's share, counted from the ask's send time."""

    team: str
    ask_no: int
    incarnation: str
    epoch: int
    piece: QuotaAmount
    # How long the sender itself could still hold it in outage mode.
    hold_s: float
