"""State of one partition of the quota allocator."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..core.status import Status
from .outage_inquiry import OutageInquiry
from .quota_ledger import QuotaLedger
from .share_messages import MILLITOKENS_PER_TOKEN


@attrs.define
class QuotaPartition:
    """A partition that this instance owns or, in an outage, still serves."""

    epoch: int
    gained_at: float
    # Session under which the partition was gained; None if not known yet.
    session_id: int | None
    is_lost: bool = False
    has_remainder: bool = False
    ledger_by_team: dict[str, QuotaLedger] = attrs.field(factory=dict)
    recalled_at_by_team: dict[str, float] = attrs.field(factory=dict)
    outage_inquiry: OutageInquiry = attrs.field(factory=OutageInquiry)


def list_reserves(partitions: Iterable[QuotaPartition], now: float) -> list[Status]:
    """Return the reserve of each team, in tokens and tokens per second."""
    rows = []
    for partition in partitions:
        if partition.is_lost:
            continue
        for team_id, ledger in partition.ledger_by_team.items():
            ledger.advance(now)
            rows.append(
                {
                    "id": team_id,
                    "reserve_rate": ledger.free_rate / MILLITOKENS_PER_TOKEN,
                    "reserve_level": ledger.level / MILLITOKENS_PER_TOKEN,
                    "holders": len(ledger.lease_by_holder),
                }
            )
    return rows
