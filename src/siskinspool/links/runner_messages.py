"""Messages of the runner of patient requests."""

from __future__ import annotations

import attrs

from ..core.message import Message
from ..core.outcome import Refusal


@attrs.frozen
class RunEnded(Message):
    """A run ended with an answer or a refusal."""

    token: str
    status: int
    content_type: str
    body: bytes
    # Set if there is no server's answer.
    refusal: Refusal | None


@attrs.frozen
class RunsInProgress(Message):
    """The number of unfinished runs; ``frontend`` adds it to its running calls."""

    count: int
