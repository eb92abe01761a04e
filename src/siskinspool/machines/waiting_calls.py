"""Calls that wait for a server, with their queues and expected waiting times.

Calls for the models of one pool share a queue, since they compete for its servers. Each
route of plain services has its own queue.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Mapping, Set
from typing import Final

import attrs

from ..contracts.call_queue import AdmissionCheck, CallQueue, QueuedCall, QueueFull
from ..core.message import Address
from ..manifest.model import RequestClass
from .call_targets import Target
from .routing_messages import RouteCall

QueueFactory = Callable[[], CallQueue]
# Weight of the newest call in the moving average of service times.
SERVICE_TIME_WEIGHT: Final = 0.1


@attrs.frozen
class RoutedCall:
    """A call with its resolved target and the address for the answer."""

    request: RouteCall
    reply_to: Address
    target: Target
    # Monotonic seconds.
    deadline_at: float


@attrs.frozen
class WaitingGroup:
    """Waiting calls that are equivalent in the estimate of waiting times."""

    request_class: RequestClass
    team: str
    target: Target


@attrs.frozen(order=True)
class DeadlineEntry:
    """An entry in the heap of deadlines."""

    at: float
    call_id: str


@attrs.define
class WaitingQueue:
    """One queue with the statistics for its estimate."""

    queue: CallQueue
    waiting: Counter[WaitingGroup] = attrs.field(factory=Counter, init=False)
    running: int = attrs.field(default=0, init=False)
    # Moving average of the service time; None before the first call has ended.
    mean_service_s: float | None = attrs.field(default=None, init=False)

    def count_waiting(self, group: WaitingGroup, change: int) -> None:
        """Change the number of waiting calls; drop the group if it becomes empty."""
        self.waiting[group] += change
        if self.waiting[group] <= 0:
            del self.waiting[group]

    def record_service_time(self, service_s: float) -> None:
        """Update the average with the service time of a finished call."""
        mean = service_s if self.mean_service_s is None else self.mean_service_s
        self.mean_service_s = mean + SERVICE_TIME_WEIGHT * (service_s - mean)

    def expected_wait_s(
        self,
        group: WaitingGroup,
        team_weight: Callable[[str], float],
        competes: Callable[[Target], bool],
    ) -> float:
        """Return the expected wait of a call of this group; 0 if it is unknown.

        ``group`` includes the call itself. ``competes`` tells whether calls for a
        target compete for servers now. Under fair queueing a team waits for its own
        calls at its share of the weights, and at most for all calls.
        """
        if self.mean_service_s is None or not self.running:
            return 0.0
        count_by_team: Counter[str] = Counter()
        for other, count in self.waiting.items():
            if other.request_class in _competing_classes(group) and competes(
                other.target
            ):
                count_by_team[other.team] += count
        own_ahead = max(0, count_by_team[group.team] - 1)
        all_weights = sum(team_weight(team) for team in count_by_team)
        fair_ahead = own_ahead * all_weights / team_weight(group.team)
        ahead = min(fair_ahead, count_by_team.total() - 1)
        return max(0.0, ahead) * self.mean_service_s / self.running


def _competing_classes(group: WaitingGroup) -> tuple[RequestClass, ...]:
    if group.request_class is RequestClass.URGENT:
        return (RequestClass.URGENT,)
    return (RequestClass.URGENT, RequestClass.PATIENT)


def priority_key(call: RoutedCall) -> tuple[bool, float]:
    """Return a sort key that orders calls by class, then by deadline."""
    return call.request.request_class is RequestClass.PATIENT, call.deadline_at


def group_of(call: RoutedCall) -> WaitingGroup:
    """Return the group to which a call belongs."""
    request = call.request
    return WaitingGroup(request.request_class, request.team, call.target)


class WaitingCalls:
    """The waiting calls of an instance, by queue."""

    def __init__(self, queue_factory: QueueFactory) -> None:
        self._queue_factory = queue_factory
        self._weight_by_team: Mapping[str, float] = {}
        self._queue_by_name: dict[str, WaitingQueue] = {}
        self._call_by_id: dict[str, RoutedCall] = {}
        # May contain calls that no longer wait; they are skipped.
        self._deadlines: list[DeadlineEntry] = []

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._call_by_id)

    def __contains__(self, call_id: str) -> bool:
        """Return whether a call is waiting."""
        return call_id in self._call_by_id

    def get(self, call_id: str) -> RoutedCall:
        """Return a waiting call."""
        return self._call_by_id[call_id]

    def all_calls(self) -> list[RoutedCall]:
        """Return the waiting calls in order of arrival."""
        return list(self._call_by_id.values())

    def queue_for(self, target: Target) -> WaitingQueue:
        """Return the queue of a target, created if needed."""
        queue_name = target.queue_name
        if queue_name not in self._queue_by_name:
            queue = self._queue_factory()
            queue.set_weights(self._weight_by_team)
            self._queue_by_name[queue_name] = WaitingQueue(queue)
        return self._queue_by_name[queue_name]

    def targets(self) -> set[Target]:
        """Return the targets for which calls wait."""
        queues = self._queue_by_name.values()
        return {group.target for queue in queues for group in queue.waiting}

    def nonempty_queue_names(self) -> list[str]:
        """Return the names of the queues in which calls wait."""
        return [name for name, queue in self._queue_by_name.items() if queue.waiting]

    def counts_by_queue(self) -> dict[str, int]:
        """Return the number of waiting calls by queue name."""
        queues = self._queue_by_name.items()
        return {name: queue.waiting.total() for name, queue in queues if queue.waiting}

    def drop_unused_queues(self, valid_names: Set[str]) -> None:
        """Drop unused queues of pools and routes that are not in the catalog."""
        self._queue_by_name = {
            name: queue
            for name, queue in self._queue_by_name.items()
            if name in valid_names or queue.waiting or queue.running
        }

    def set_weights(self, weight_by_team: Mapping[str, float]) -> None:
        """Set the weights for fair queueing."""
        self._weight_by_team = weight_by_team
        for queue in self._queue_by_name.values():
            queue.queue.set_weights(weight_by_team)

    def add(self, call: RoutedCall, now: float) -> RoutedCall | None:
        """Add a call; return the call that a full queue rejects instead, if any."""
        request = call.request
        entry = QueuedCall(
            request.call_id, request.team, request.request_class, call.deadline_at
        )
        queue = self.queue_for(call.target)
        outcome = queue.queue.push(entry, now)
        if isinstance(outcome, QueueFull):
            return call
        queue.count_waiting(group_of(call), 1)
        self._call_by_id[request.call_id] = call
        heapq.heappush(
            self._deadlines, DeadlineEntry(call.deadline_at, request.call_id)
        )
        displaced = outcome.displaced
        return None if displaced is None else self._remove(displaced.call_id)

    def pop(
        self, queue_name: str, now: float, admit: AdmissionCheck
    ) -> RoutedCall | None:
        """Remove and return the next call of a queue that ``admit`` accepts."""
        entry = self._queue_by_name[queue_name].queue.pop(now, admit)
        return None if entry is None else self._remove(entry.call_id)

    def cancel(self, call_id: str) -> RoutedCall | None:
        """Remove and return a call; None if it is not waiting."""
        call = self._call_by_id.get(call_id)
        if call is None:
            return None
        self.queue_for(call.target).queue.cancel(call_id)
        return self._remove(call_id)

    def expire(self, now: float) -> list[RoutedCall]:
        """Remove and return calls whose deadline has passed."""
        due_at = self.next_deadline()
        if due_at is None or due_at > now:
            return []
        return [
            self._remove(entry.call_id)
            for name in self.nonempty_queue_names()
            for entry in self._queue_by_name[name].queue.expire(now, lambda _: 0.0)
        ]

    def next_deadline(self) -> float | None:
        """Return the earliest deadline of a waiting call."""
        while self._deadlines and self._deadlines[0].call_id not in self._call_by_id:
            heapq.heappop(self._deadlines)
        return self._deadlines[0].at if self._deadlines else None

    def _remove(self, call_id: str) -> RoutedCall:
        call = self._call_by_id.pop(call_id)
        self.queue_for(call.target).count_waiting(group_of(call), -1)
        if len(self._deadlines) > 2 * len(self._call_by_id) + 16:
            self._deadlines = [
                item for item in self._deadlines if item.call_id in self._call_by_id
            ]
            heapq.heapify(self._deadlines)
        return call
