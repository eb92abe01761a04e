"""Messages of the front end task."""

from __future__ import annotations

import attrs

from ..core.message import Message


@attrs.frozen
class CallFinished(Message):
    """A call task has ended."""

    call_id: str
