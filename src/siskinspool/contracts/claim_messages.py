"""Messages of the claim log for non-idempotent calls.

Request handlers of an instance send `ClaimCall`, `ReleaseClaim` and `FinishClaim` to
the local task ``claims``. Classes marked with `wire` travel between the ``claims``
tasks of different instances.
"""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..core.message import Message
from ..links.codec import wire


@attrs.frozen
class InstanceIncarnation:
    """One start of an instance."""

    instance_id: str
    incarnation: str


@attrs.frozen
class StoredAnswer:
    """The answer of a finished call; a large body lies in parts under ``answers/``."""

    status: int
    content_type: str
    # Empty if the body lies in parts.
    body: bytes = b""
    parts: int = 0
    # Key prefix of the parts.
    parts_prefix: str = ""


@attrs.frozen
class ClaimCall(Message):
    """Ask for the right to send a non-idempotent call."""

    # The team.
    scope: str
    # Hex digits; the idempotency key itself is not kept.
    key_digest: str
    body_digest: str
    # Unique for each arrival.
    token: str
    deadline_in_s: float


@attrs.frozen
class ClaimGranted(Message):
    """The call may be sent once, under this token."""

    token: str


@attrs.frozen
class ClaimReplayed(Message):
    """The call ran before; this is its answer."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class ClaimMismatch(Message):
    """The key was used with another body."""


@attrs.frozen
class ClaimUnknown(Message):
    """A call with this key was claimed and its outcome cannot be known."""


@attrs.frozen
class ClaimUnavailable(Message):
    """Nothing is or will be claimed for this token: the call is not run."""


@attrs.frozen
class ReleaseClaim(Message):
    """The call was certainly never sent; the key becomes free."""

    token: str


@attrs.frozen
class FinishClaim(Message):
    """The call was answered; answered with `ClaimRecorded` or nothing."""

    token: str
    status: int
    content_type: str
    body: bytes


@attrs.frozen
class ClaimRecorded(Message):
    """The answer is in the log and will be replayed."""

    token: str


class ClaimOutcome(StrEnum):
    """How a claim stands for one token."""

    # Nobody holds the key.
    FREE = "free"
    GRANTED = "granted"
    REPLAYED = "replayed"
    MISMATCH = "mismatch"
    # Another token holds the key and has not finished.
    RUNNING = "running"
    UNKNOWN = "unknown"
    # The token was released and can hold nothing any more.
    RELEASED = "released"


@wire
@attrs.frozen
class ForwardClaim(Message):
    """A `ClaimCall` on its way to the owner of the shard; may be repeated."""

    shard: int
    scope: str
    key_digest: str
    body_digest: str
    token: str
    claimant: InstanceIncarnation
    deadline_in_s: float


@wire
@attrs.frozen
class ForwardRecord(Message):
    """A release (without answer) or finish on its way to the owner of the shard."""

    shard: int
    token: str
    claimant: InstanceIncarnation
    answer: StoredAnswer | None


@wire
@attrs.frozen
class ClaimPending(Message):
    """The owner has the request and works on it or waits for another token."""

    token: str
    # Another token holds the key and has not finished.
    running: bool = False


@wire
@attrs.frozen
class ClaimSettled(Message):
    """The owner's answer to `ForwardClaim`."""

    token: str
    claimant: InstanceIncarnation
    verdict: ClaimOutcome
    answer: StoredAnswer | None


@wire
@attrs.frozen
class RecordSettled(Message):
    """The owner's answer to `ForwardRecord`: the record is in the log."""

    token: str
