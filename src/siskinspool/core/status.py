"""Status of tasks for operators.

A task that has something to show answers `GetStatus` with `StatusReply`; the front end
collects the answers into one page. `DecisionTask` answers with `Decision.status`.
"""

from __future__ import annotations

from typing import Any

import attrs

from .message import Message

# JSON-ready status of a task; never holds keys, prompts or answers.
Status = dict[str, Any]


@attrs.frozen
class GetStatus(Message):
    """Ask a task for its status."""


@attrs.frozen
class GetGauges(Message):
    """Ask a task for the figures that go to the metrics."""


@attrs.frozen
class GaugesReply(Message):
    """Figures by name."""

    value_by_name: dict[str, float]


@attrs.frozen
class StatusReply(Message):
    """The status of a task."""

    fields: Status
