"""State of one partition of the mint."""

from __future__ import annotations

import attrs

from .mint_ledger import TeamLedger
from .outage_inquiry import OutageInquiry


@attrs.define
class MintPartition:
    """A partition that this instance owns or, in an outage, still looks after."""

    epoch: int
    gained_at: float
    # The session under which the partition was gained; None: not known yet.
    session_id: int | None
    lost: bool = False
    minted: bool = False
    ledger_by_team: dict[str, TeamLedger] = attrs.field(factory=dict)
    recalled_at_by_team: dict[str, float] = attrs.field(factory=dict)
    inquiry: OutageInquiry = attrs.field(factory=OutageInquiry)
