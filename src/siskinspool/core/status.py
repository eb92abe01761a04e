"""Status of tasks for operators.

A task that has a status replies to `GetStatus` with `StatusReply`; the front end
collects the replies into one page. `DecisionTask` replies with `Decision.status`.
"""

from __future__ import annotations

from typing import Any

import attrs

from .message import Message

# JSON-serialisable status of a task; never contains keys, prompts or answers.
Status = dict[str, Any]


@attrs.frozen
class GetStatus(Message):
    """Request the status of a task."""


@attrs.frozen
class GetGauges(Message):
    """Request the gauge values of a task."""


@attrs.frozen
class GaugesReply(Message):
    """Gauge values by name."""

    value_by_name: dict[str, float]


@attrs.frozen
class StatusReply(Message):
    """The status of a task."""

    fields: Status
