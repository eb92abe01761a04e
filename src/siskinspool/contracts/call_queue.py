"""Queue of calls that wait for a server.

`CallQueue` is the interface that routing needs. The module
`siskinspool.contracts.fair_queue` shares the servers between teams behind it.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass

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


@dataclass(frozen=True)
class CallEnqueued:
    """The call waits; ``displaced`` lost its place and has to be refused."""

    displaced: QueuedCall | None = None


@dataclass(frozen=True)
class QueueFull:
    """The call is refused: the queue is full and the team has its part of it."""

    waiting: int
    waiting_of_team: int


AdmissionCheck = Callable[[QueuedCall], bool]
ServiceEstimate = Callable[[QueuedCall], float]


class CallQueue(ABC):
    """Decides which waiting call is dispatched next; times are monotonic seconds."""

    @abstractmethod
    def push(self, entry: QueuedCall, now: float) -> CallEnqueued | QueueFull:
        """Add a call; raise ValueError if its id already waits."""

    @abstractmethod
    def pop(self, now: float, admit: AdmissionCheck) -> QueuedCall | None:
        """Remove and return the first call in order that ``admit`` accepts.

        Calls past their deadline stay until `expire` hands them out for refusal.
        """

    @abstractmethod
    def expire(self, now: float, service_estimate: ServiceEstimate) -> list[QueuedCall]:
        """Remove and return the calls that cannot be met, to be refused (R3).

        ``service_estimate`` returns the seconds that a call takes if it starts now.
        """

    @abstractmethod
    def cancel(self, call_id: str) -> QueuedCall | None:
        """Remove a call whose caller has gone; None if it does not wait."""

    @abstractmethod
    def set_weights(self, weight_by_team: Mapping[str, float]) -> None:
        """Use other weights from now on; a team without one has weight 1."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting calls."""
