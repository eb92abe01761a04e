"""The interface to the platform's calls for duties."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable

from .duty_messages import DutyOrder, DutyResult


class UsageEncoding(ABC):
    """Encodes the report of a window as it is stored and sent; does no I/O."""

    @abstractmethod
    def encode(self, window: int, count_by_team: dict[str, int]) -> bytes:
        """Return the body of the report."""


class DutyCalls(ABC):
    """The platform's calls for duties; does not raise."""

    @abstractmethod
    def send(
        self, order: DutyOrder, holder: str, may_send: Callable[[], bool]
    ) -> DutyResult:
        """Send an order as a holder if ``may_send`` is true once connected."""
