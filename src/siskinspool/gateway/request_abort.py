"""Exceptions that end a running request from outside with a refusal."""

from __future__ import annotations

from abc import ABC, abstractmethod

from ..core.outcome import Refusal
from .request_refusals import quarantine_refusal, stopping_refusal


class AbortedError(BaseException, ABC):
    """Raised in a request's greenlet to end it.

    It is no `Exception`, so that the link does not take it for a failed connection.
    """

    @abstractmethod
    def refusal(self, *, may_have_run: bool) -> Refusal:
        """Return the refusal for the requester."""


class StoppingError(AbortedError):
    """The instance is stopping."""

    def refusal(self, *, may_have_run: bool) -> Refusal:
        """Return a refusal that names the stop."""
        return stopping_refusal(may_have_run=may_have_run)


class QuarantinedError(AbortedError):
    """The request's prompt is now known to crash servers."""

    def __init__(self, part_ids: frozenset[str]) -> None:
        super().__init__()
        self._part_ids = part_ids

    def refusal(self, *, may_have_run: bool) -> Refusal:
        """Return a refusal that names the prompt."""
        return quarantine_refusal(self._part_ids, may_have_run=may_have_run)
