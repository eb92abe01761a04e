"""Interface of the queue of calls that wait for a server.

Routing uses `CallQueue`. The module `siskinspool.contracts.fair_queue` implements it
with fair sharing between teams.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import attrs

from ..manifest.model import RequestClass


@attrs.frozen
class QueuedCall:
    """The attributes of a waiting call that determine its place in the queue."""

    call_id: str
    team: str
    request_class: RequestClass
    # Monotonic seconds.
    deadline_at: float
    # Weight of the call in fair queueing, relative to other calls.
    cost: float = 1.0


@dataclass(frozen=True)
class CallEnqueued:
    """The call was added; ``displaced`` was removed for it and must be refused."""

    displaced: QueuedCall | None = None


@dataclass(frozen=True)
class QueueFull:
    """The call was not added: the queue is full and the team uses its fair part."""

    waiting: int
    waiting_of_team: int


AdmissionCheck = Callable[[QueuedCall], bool]
ServiceEstimate = Callable[[QueuedCall], float]


class CallQueue(ABC):
    """Decides which waiting call is dispatched next; times are monotonic seconds."""

    @abstractmethod
    def push(self, entry: QueuedCall, now: float) -> CallEnqueued | QueueFull:
        """Add a call; raise ValueError if a call with its id already waits."""

    @abstractmethod
    def pop(self, now: float, admit: AdmissionCheck) -> QueuedCall | None:
        """Remove and return the first call in order that ``admit`` accepts.

        Calls past their deadline are skipped; `expire` returns them for refusal.
        """

    @abstractmethod
    def expire(self, now: float, service_estimate: ServiceEstimate) -> list[QueuedCall]:
        """Remove and return the calls that cannot meet their deadline (R3).

        ``service_estimate`` returns the seconds that a call takes if it starts now.
        """

    @abstractmethod
    def cancel(self, call_id: str) -> QueuedCall | None:
        """Remove and return a call whose caller left; None if it is not queued."""

    @abstractmethod
    def set_weights(self, weight_by_team: Mapping[str, float]) -> None:
        """Replace the weights of the teams; a team without an entry has weight 1."""

    @abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting calls."""
