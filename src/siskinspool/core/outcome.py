"""Outcomes that callers see.

An outcome is a tagged value in a frozen dataclass. `Refusal` is the common one: it says
why a request was not answered and whether it ran.
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
    """A request that is not answered by a server."""

    status: int
    code: ErrorCode
    detail: str
    run: RunState = RunState.NOT_RUN
    # Seconds after which a new attempt makes sense; None if unknown.
    retry_after_s: float | None = None
