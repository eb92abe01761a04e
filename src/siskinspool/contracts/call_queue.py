"""Queue of calls that wait for a server.

`CallQueue` is the interface that routing needs; `DeadlineQueue` orders by the earliest
deadline alone, without regard to teams and classes.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from bisect import insort
from collections.abc import Callable

import attrs

from ..manifest.model import RequestClass


@attrs.frozen
class QueuedCall:
    """A waiting call as the queue sees it."""

    call_id: str
    team: str
    request_class: RequestClass
    # Monotonic seconds.
    deadline_at: float
    # Share of the team's turn that the call takes, relative to other calls.
    cost: float = 1.0


Admit = Callable[[QueuedCall], bool]


class CallQueue(ABC):
    """Decides which waiting call is dispatched next; times are monotonic seconds."""

    @abstractmethod
    def push(self, entry: QueuedCall, now: float) -> None:
        """Add a call."""

    @abstractmethod
    def pop(self, now: float, admit: Admit) -> QueuedCall | None:
        """Remove and return the first call in order that ``admit`` accepts."""

    @abstractmethod
    def expire(self, now: float, service_estimate: float) -> list[QueuedCall]:
        """Remove and return calls with a deadline up to ``now + service_estimate``."""

    @abstractmethod
    def cancel(self, call_id: str) -> bool:
        """Remove a call; return False if it does not wait here."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting calls."""


class DeadlineQueue(CallQueue):
    """Earliest deadline first."""

    def __init__(self) -> None:
        self._entries: list[QueuedCall] = []

    def push(self, entry: QueuedCall, now: float) -> None:
        """Add a call."""
        insort(self._entries, entry, key=lambda item: item.deadline_at)

    def pop(self, now: float, admit: Admit) -> QueuedCall | None:
        """Remove and return the first call in order that ``admit`` accepts."""
        for index, entry in enumerate(self._entries):
            if admit(entry):
                return self._entries.pop(index)
        return None

    def expire(self, now: float, service_estimate: float) -> list[QueuedCall]:
        """Remove and return calls with a deadline up to ``now + service_estimate``."""
        limit = now + service_estimate
        expired = [entry for entry in self._entries if entry.deadline_at <= limit]
        self._entries = self._entries[len(expired) :]
        return expired

    def cancel(self, call_id: str) -> bool:
        """Remove a call; return False if it does not wait here."""
        for index, entry in enumerate(self._entries):
            if entry.call_id == call_id:
                del self._entries[index]
                return True
        return False

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._entries)
