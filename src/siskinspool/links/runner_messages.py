"""Messages of the runner of patient requests."""

from __future__ import annotations

import attrs

from ..core.message import Message
from ..core.outcome import Refusal


@attrs.frozen
class RunEnded(Message):
    """A run gave an answer or a refusal."""

    token: str
    status: int
    content_type: str
    body: bytes
    # Set if no server answered.
    refusal: Refusal | None


@attrs.frozen
class RunsInProgress(Message):
    """How many runs are not finished; goes to ``frontend``, which counts them too."""

    count: int
