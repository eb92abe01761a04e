"""State of one partition of the quota allocator."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from ..core.status import Status
from .mint_ledger import TeamLedger
from .outage_inquiry import OutageInquiry
from .share_messages import MILLI


@attrs.define
class MintPartition:
    """A partition that this instance owns or, in an outage, still serves."""

    epoch: int
    gained_at: float
    # Session under which the partition was gained; None if not known yet.
    session_id: int | None
    lost: bool = False
    minted: bool = False
    ledger_by_team: dict[str, TeamLedger] = attrs.field(factory=dict)
    recalled_at_by_team: dict[str, float] = attrs.field(factory=dict)
    inquiry: OutageInquiry = attrs.field(factory=OutageInquiry)


def show_reserves(partitions: Iterable[MintPartition], now: float) -> list[Status]:
    """Return the reserve of each team, in tokens and tokens per second."""
    rows = []
    for partition in partitions:
        if partition.lost:
            continue
        for team_id, ledger in partition.ledger_by_team.items():
            ledger.advance(now)
            rows.append(
                {
                    "id": team_id,
                    "reserve_rate": ledger.free_rate / MILLI,
                    "reserve_level": ledger.level / MILLI,
                    "holders": len(ledger.lease_by_holder),
                }
            )
    return rows
