"""Messages for claims of non-idempotent calls.

Request handlers of an instance send `ClaimCall`, `ReleaseClaim` and `FinishClaim` to
the local task ``claims``. Classes decorated with `wire` are sent between the ``claims``
tasks of different instances.
"""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..core.message import Message
from ..links.codec import wire


@attrs.frozen
class InstanceIncarnation:
    """One incarnation of an instance, from its start to its end."""

    instance_id: str
    incarnation: str


@attrs.frozen
class StoredAnswer:
    """The answer of a finished call; a large body is stored in parts (``answers/``)."""

    status: int
    content_type: str
    # Empty if the body is stored as parts.
    body: bytes = b""
    parts: int = 0
    # Key prefix of the parts.
    parts_prefix: str = ""


@attrs.frozen
class ClaimCall(Message):
    """Requests the right to send a non-idempotent call."""

    # Id of the team.
    scope: str
    # Hex digits; the idempotency key itself is not stored.
    key_digest: str
    body_digest: str
    # Unique for each request that arrives.
    token: str
    deadline_in_s: float


@attrs.frozen
class ClaimGranted(Message):
    """The call may be sent once, under this token."""

    token: str


@attrs.frozen
class ClaimReplayed(Message):
    """The call already ran; contains its stored answer."""

    status: int
    content_type: str
    body: bytes


@attrs.frozen
class ClaimMismatch(Message):
    """The idempotency key was used before with another body."""


@attrs.frozen
class ClaimUnknown(Message):
    """A call with this key was claimed and its outcome is unknown."""


@attrs.frozen
class ClaimUnavailable(Message):
    """The token holds no claim and will get none, so the call is not run."""


@attrs.frozen
class ReleaseClaim(Message):
    """The call was definitely never sent; the key can be claimed again."""

    token: str


@attrs.frozen
class FinishClaim(Message):
    """The call was answered. The reply is `ClaimRecorded`, or none on failure."""

    token: str
    status: int
    content_type: str
    body: bytes


@attrs.frozen
class ClaimRecorded(Message):
    """The answer is written to the log and can be replayed."""

    token: str


class ClaimOutcome(StrEnum):
    """Outcome of a claim for one token."""

    # No token holds the key.
    FREE = "free"
    GRANTED = "granted"
    REPLAYED = "replayed"
    MISMATCH = "mismatch"
    # Another token holds the key and has not finished.
    RUNNING = "running"
    UNKNOWN = "unknown"
    # The token was released and can never hold a key again.
    RELEASED = "released"


@wire
@attrs.frozen
class ForwardClaim(Message):
    """Forwards a `ClaimCall` to the shard's owner; may be repeated."""

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
    """Forwards a release (no answer) or a finished call to the shard's owner."""

    shard: int
    token: str
    claimant: InstanceIncarnation
    answer: StoredAnswer | None


@wire
@attrs.frozen
class ClaimPending(Message):
    """The owner received the request and processes it or waits for another token."""

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
