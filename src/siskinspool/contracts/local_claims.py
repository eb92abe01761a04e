"""Unsettled local claims and records of an instance's ``claims`` task."""

from __future__ import annotations

from typing import Final

import attrs

from ..core.message import Address
from .answer_parts import PartFetch, PartUpload
from .claim_log import ClaimRecord
from .claim_messages import StoredAnswer
from .claim_writer import EndRecord

# The owner acknowledges immediately, so a longer silence means it is unreachable.
FORWARD_TIMEOUT_S: Final = 0.5
# Interval at which a forwarded request is repeated while its owner processes it.
FORWARD_RECHECK_S: Final = 1.0
# A release or answer that cannot be written is dropped after this time. The key then
# remains claimed, which is safe.
RECORD_RETRY_S: Final = 600.0


@attrs.define
class Forwarding:
    """Destination of a claim or record: the shard's owner, or the log itself (None)."""

    owner_id: str | None
    # Time of the next repetition or of the acknowledgement timeout.
    due_at: float = 0.0
    is_acknowledged: bool = True

    def record_sent(self, now: float) -> None:
        """Record that the request was sent to the owner."""
        self.is_acknowledged = False
        self.due_at = now + FORWARD_TIMEOUT_S

    def record_acknowledgement(self, now: float) -> None:
        """Record that the owner has acknowledged the request."""
        if self.owner_id is not None:
            self.is_acknowledged = True
            self.due_at = now + FORWARD_RECHECK_S

    def wake_at(self) -> float:
        """Return when to send again or to check the timeout; infinity for the log."""
        return float("inf") if self.owner_id is None else self.due_at


@attrs.define
class LocalClaim:
    """A claim that a request handler of this instance waits for."""

    claim: ClaimRecord
    shard: int
    reply_to: Address
    deadline: float
    forwarding: Forwarding
    # A copy may be in transit to the owner.
    was_forwarded: bool = False
    # Another token holds the key and runs, so the outcome is unknown at the deadline.
    is_other_running: bool = False
    # Set while the parts of a finished call's answer are read.
    fetch: PartFetch | None = None
    answer: StoredAnswer | None = None


@attrs.define
class LocalRecord:
    """A release or answer of this instance that must be written to the log."""

    shard: int
    record: EndRecord
    # None for a release.
    reply_to: Address | None
    expires_at: float
    forwarding: Forwarding
    upload: PartUpload | None = None
