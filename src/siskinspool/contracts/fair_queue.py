"""Fair sharing of a pool's capacity between teams (M3, R3).

The queue uses start-time weighted fair queueing: each team has a start tag, the virtual
time at which its next entry may start. Popping an entry of cost c advances the tag by
c / weight, and the team with the lowest tag is next. A team that was idle starts at the
current virtual time, so it neither accumulates capacity nor waits for entries that
others queued earlier.

Urgent entries precede patient ones, but while patient entries wait, at least every
tenth pop is patient. Within a team and class, the earliest deadline comes first.

A full queue refuses the team that fills it: an entry of a team below its weighted part
of the capacity displaces the latest entry of the team furthest above its own part.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator, Mapping
from typing import Final

import attrs

from ..manifest.model import RequestClass
from .call_queue import (
    AdmissionCheck,
    CallEnqueued,
    CallQueue,
    QueuedCall,
    QueueFull,
    ServiceEstimate,
)

# While patient entries wait, one out of this many pops is patient.
PATIENT_POP_INTERVAL: Final = 10


@attrs.define
class _TeamQueue:
    """Entries of one team and class, ordered by deadline."""

    start_tag: float = 0.0
    # (deadline, arrival number, entry)
    entries: list[tuple[float, int, QueuedCall]] = attrs.field(factory=list)


class _ClassQueue:
    """Start-time weighted fair queueing within one class."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._virtual_time = 0.0
        self._queue_by_team: dict[str, _TeamQueue] = {}
        self.length = 0

    def add(self, entry: QueuedCall, number: int) -> None:
        queue = self._queue_by_team.setdefault(entry.team, _TeamQueue())
        if not queue.entries:
            queue.start_tag = max(queue.start_tag, self._virtual_time)
        insort(queue.entries, (entry.deadline_at, number, entry))
        self.length += 1

    def pop(
        self, now: float, admit: Callable[[QueuedCall], bool]
    ) -> tuple[int, QueuedCall] | None:
        nonempty = [item for item in self._queue_by_team.items() if item[1].entries]
        for team, queue in sorted(
            nonempty, key=lambda item: (item[1].start_tag, item[0])
        ):
            for index, (deadline, number, entry) in enumerate(queue.entries):
                if deadline <= now or not admit(entry):
                    continue
                del queue.entries[index]
                self.length -= 1
                self._virtual_time = max(self._virtual_time, queue.start_tag)
                queue.start_tag += entry.cost / self._weight_of(team)
                self._remove_idle_teams()
                return number, entry
        return None

    def _remove_idle_teams(self) -> None:
        """Remove idle teams whose start tag no longer has an effect."""
        for team, queue in list(self._queue_by_team.items()):
            if not queue.entries and queue.start_tag <= self._virtual_time:
                del self._queue_by_team[team]

    def remove(self, entry: QueuedCall, number: int) -> None:
        queue = self._queue_by_team[entry.team]
        index = bisect_left(queue.entries, (entry.deadline_at, number))
        del queue.entries[index]
        self.length -= 1

    def latest(self, team: str) -> QueuedCall | None:
        """Return the team's entry with the latest deadline."""
        queue = self._queue_by_team.get(team)
        return queue.entries[-1][2] if queue and queue.entries else None

    def entries(self) -> Iterator[QueuedCall]:
        for queue in self._queue_by_team.values():
            for _, _, entry in queue.entries:
                yield entry


class FairQueue(CallQueue):
    """Fair queue of the calls that wait for one pool or route."""

    def __init__(
        self, capacity: int, weight_by_team: Mapping[str, float] | None = None
    ) -> None:
        self._capacity = capacity
        self._weight_by_team = dict(weight_by_team or {})
        self._queue_by_class = {
            request_class: _ClassQueue(self._weight)
            for request_class in (RequestClass.URGENT, RequestClass.PATIENT)
        }
        self._numbered_entry_by_id: dict[str, tuple[int, QueuedCall]] = {}
        self._waiting_count_by_team: dict[str, int] = {}
        self._next_number = 1
        self._pops_since_patient = 0

    def __len__(self) -> int:
        return len(self._numbered_entry_by_id)

    def set_weights(self, weight_by_team: Mapping[str, float]) -> None:
        """Replace the weights of the teams; a team without an entry has weight 1."""
        self._weight_by_team = dict(weight_by_team)

    def _weight(self, team: str) -> float:
        return max(self._weight_by_team.get(team, 1.0), 1e-6)

    def push(self, entry: QueuedCall, now: float) -> CallEnqueued | QueueFull:
        """Add an entry; raise ValueError if its id is already queued."""
        if entry.call_id in self._numbered_entry_by_id:
            raise ValueError(f"entry {entry.call_id} is already queued")
        displaced: QueuedCall | None = None
        if len(self) >= self._capacity:
            displaced = self._find_displaceable(entry.team)
            if displaced is None:
                return QueueFull(
                    len(self), self._waiting_count_by_team.get(entry.team, 0)
                )
            self.cancel(displaced.call_id)
        number = self._next_number
        self._next_number += 1
        self._numbered_entry_by_id[entry.call_id] = (number, entry)
        waiting = self._waiting_count_by_team.get(entry.team, 0)
        self._waiting_count_by_team[entry.team] = waiting + 1
        if (
            entry.request_class is RequestClass.PATIENT
            and not self._has_waiting_patient()
        ):
            # The guarantee counts from when the first patient entry starts to wait.
            self._pops_since_patient = 0
        self._queue_by_class[entry.request_class].add(entry, number)
        return CallEnqueued(displaced)

    def _find_displaceable(self, team: str) -> QueuedCall | None:
        """Return the entry to displace for a team below its part, or None."""
        load_by_team = {
            other: waiting / self._weight(other)
            for other, waiting in self._waiting_count_by_team.items()
        }
        most_loaded = max(load_by_team, key=lambda other: (load_by_team[other], other))
        own_load = (self._waiting_count_by_team.get(team, 0) + 1) / self._weight(team)
        if most_loaded == team or own_load >= load_by_team[most_loaded]:
            return None
        for request_class in (RequestClass.PATIENT, RequestClass.URGENT):
            entry = self._queue_by_class[request_class].latest(most_loaded)
            if entry is not None:
                return entry
        return None

    def _has_waiting_patient(self) -> bool:
        return self._queue_by_class[RequestClass.PATIENT].length > 0

    def pop(
        self, now: float, admit: AdmissionCheck = lambda entry: True
    ) -> QueuedCall | None:
        """Remove and return the next entry that ``admit`` accepts.

        Entries past their deadline are skipped; `expire` returns them for refusal.
        """
        order = [RequestClass.URGENT, RequestClass.PATIENT]
        if self._pops_since_patient >= PATIENT_POP_INTERVAL - 1:
            order.reverse()
        for request_class in order:
            popped = self._queue_by_class[request_class].pop(now, admit)
            if popped is None:
                continue
            entry = popped[1]
            self._remove_entry(entry)
            if request_class is RequestClass.PATIENT:
                self._pops_since_patient = 0
            elif self._has_waiting_patient():
                self._pops_since_patient += 1
            return entry
        return None

    def _remove_entry(self, entry: QueuedCall) -> None:
        del self._numbered_entry_by_id[entry.call_id]
        self._waiting_count_by_team[entry.team] -= 1
        if self._waiting_count_by_team[entry.team] == 0:
            del self._waiting_count_by_team[entry.team]

    def expire(self, now: float, service_estimate: ServiceEstimate) -> list[QueuedCall]:
        """Remove and return the entries that cannot meet their deadline (R3).

        ``service_estimate`` returns the seconds that an entry takes if it starts now.
        """
        unmeetable = [
            entry
            for queue in self._queue_by_class.values()
            for entry in queue.entries()
            if now + service_estimate(entry) >= entry.deadline_at
        ]
        for entry in unmeetable:
            self.cancel(entry.call_id)
        return unmeetable

    def cancel(self, entry_id: str) -> QueuedCall | None:
        """Remove and return an entry whose caller left; None if it is not queued."""
        numbered = self._numbered_entry_by_id.get(entry_id)
        if numbered is None:
            return None
        number, entry = numbered
        self._queue_by_class[entry.request_class].remove(entry, number)
        self._remove_entry(entry)
        return entry
