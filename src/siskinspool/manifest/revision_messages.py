"""Messages between the ``revisions`` tasks of instances."""

from __future__ import annotations

import attrs

from ..core.message import Message
from ..links.codec import wire
from .changes import EntityChange


@wire
@attrs.frozen
class AskChanges(Message):
    """Ask another instance for the changes after a revision."""

    after_revision: int


@wire
@attrs.frozen
class ChangesSince(Message):
    """Answer to `AskChanges`: the changes in order, or a whole manifest."""

    from_revision: int
    to_revision: int
    digest: str
    changes: tuple[EntityChange, ...]
    # JSON of the whole manifest of ``to_revision``; empty if ``changes`` is used.
    manifest: bytes
