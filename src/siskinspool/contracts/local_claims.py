"""What an instance's ``claims`` task has under way."""

from __future__ import annotations

from typing import Final

import attrs

from ..core.message import Address
from .answer_parts import PartFetch, PartUpload
from .claim_log import ClaimRecord
from .claim_messages import StoredAnswer
from .claim_writer import Record

# The owner acknowledges at once, so a longer silence means that it is not reached.
FORWARD_TIMEOUT_S: Final = 0.5
# How often a forwarded request is repeated while its owner works on it.
FORWARD_RECHECK_S: Final = 1.0
# A release or answer that cannot be written is given up after this time; the key then
# stays taken, which is safe.
RECORD_RETRY_S: Final = 600.0


@attrs.define
class Route:
    """Where a job goes: to the shard's owner, or into the log directly (None)."""

    owner_id: str | None
    # Next repeat or timeout.
    due_at: float = 0.0
    is_acknowledged: bool = True

    def record_sent(self, now: float) -> None:
        """Note that the request was sent to the owner."""
        self.is_acknowledged = False
        self.due_at = now + FORWARD_TIMEOUT_S

    def record_acknowledgement(self, now: float) -> None:
        """Note that the owner works on the request."""
        if self.owner_id is not None:
            self.is_acknowledged = True
            self.due_at = now + FORWARD_RECHECK_S

    def wake_at(self) -> float:
        """Return when the route needs attention."""
        return float("inf") if self.owner_id is None else self.due_at


@attrs.define
class LocalClaim:
    """A local request that waits for its claim."""

    claim: ClaimRecord
    shard: int
    reply_to: Address
    deadline: float
    route: Route
    # A copy may be on its way to the owner.
    was_forwarded: bool = False
    # Another token was seen running: at the deadline the outcome is unknown.
    is_other_running: bool = False
    # The call has finished and its answer is being read.
    fetch: PartFetch | None = None
    answer: StoredAnswer | None = None


@attrs.define
class LocalRecord:
    """A local release or answer that is to get into the log."""

    shard: int
    record: Record
    # None for a release.
    reply_to: Address | None
    expires_at: float
    route: Route
    upload: PartUpload | None = None
