"""Outcomes that callers see.

An outcome is a frozen dataclass. `Refusal` is the common one: it states why a request
was not answered and whether it ran.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .errors import ErrorCode


class RunState(StrEnum):
    """Whether a refused request reached execution at a server."""

    NOT_RUN = "not_run"
    RUN = "run"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class Refusal:
    """The reason why no server's answer is returned for a request."""

    status: int
    code: ErrorCode
    detail: str
    run: RunState = RunState.NOT_RUN
    # Delay after which the caller may retry; None if unknown.
    retry_after_s: float | None = None
