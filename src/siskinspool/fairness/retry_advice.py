"""Interface of the advice when a refused requester should retry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Final

import attrs

DEFAULT_RETRY_AFTER_S: Final = 0.5


@attrs.frozen(kw_only=True)
class RefusedRequest:
    """What is known about a request when it is refused; times are in seconds."""

    request_id: str
    # When its model is expected to be ready; None if unknown.
    ready_at: float | None
    # When a place is expected, if the request had gone on waiting; None if unknown.
    place_at: float | None
    # How much longer its requester waits in total.
    remaining_s: float


class RetryAdvice(ABC):
    """Decides what a refused requester is told in ``Retry-After``."""

    @abstractmethod
    def retry_after_s(self, refused: RefusedRequest, now: float) -> float:
        """Return after how many seconds the requester should retry."""


class ModelRetryAdvice(RetryAdvice):
    """Advises the time at which the model is expected, or a fixed time."""

    def retry_after_s(self, refused: RefusedRequest, now: float) -> float:
        """Return the time until the model is ready, at least the fixed time."""
        if refused.ready_at is None:
            return DEFAULT_RETRY_AFTER_S
        return max(refused.ready_at - now, DEFAULT_RETRY_AFTER_S)
