"""Status of tasks for operators.

A task that has something to show answers `AskStatus` with `StatusShown`; the front end
collects the answers into one page.
"""

from __future__ import annotations

from typing import Any

import attrs

from .message import Message


@attrs.frozen
class AskStatus(Message):
    """Ask a task for its status."""


@attrs.frozen
class StatusShown(Message):
    """JSON-ready status of a task; never holds keys, prompts or answers."""

    fields: dict[str, Any]
