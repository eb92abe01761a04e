"""Messages about configuration revisions."""

from __future__ import annotations

import attrs

from ..core.message import Message
from ..links.codec import wire
from .changes import EntityChange


@attrs.frozen
class RevisionHeard(Message):
    """A neighbour has a revision; goes to the task ``revisions``."""

    revision: int
    instance_id: str


@attrs.frozen
class RevisionApplied(Message):
    """This instance has a revision in force."""

    revision: int


@attrs.frozen
class HeadConfirmed(Message):
    """The service's head was read and its revision is in force here.

    This, and not any answer of the service, shows that the configuration is current: a
    watch may hang while other requests succeed.
    """

    # When the read was sent, monotonic seconds.
    sent_at: float


@wire
@attrs.frozen
class AskChanges(Message):
    """Ask a neighbour for what is newer than a revision."""

    after_revision: int


@wire
@attrs.frozen
class ChangesSince(Message):
    """Answer to `AskChanges`: changes in order, or a whole manifest."""

    from_revision: int
    to_revision: int
    digest: str
    changes: tuple[EntityChange, ...]
    # JSON of the whole manifest of ``to_revision``; empty if ``changes`` suffice.
    manifest: bytes
