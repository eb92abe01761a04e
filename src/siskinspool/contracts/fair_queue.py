"""Fair sharing of a pool's capacity between teams (M3, R3).

The decisions are those of the package `siskinspool.fairness`, weighted by team:
`TeamTags` decides between teams, and `UrgencyTurns` between urgent and patient entries.
Within a team and class, the earliest deadline comes first.

A full queue refuses the team that fills it: an entry of a team below its weighted part
of the capacity displaces the latest entry of the team furthest above its own part.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Callable, Iterator, Mapping
from typing import Final

from ..fairness.team_tags import TeamTags
from ..fairness.urgency_turns import UrgencyTurns
from ..manifest.model import RequestClass
from .call_queue import (
    AdmissionCheck,
    CallEnqueued,
    CallQueue,
    QueuedCall,
    QueueFull,
    ServiceEstimate,
)

# The urgency classes of the two kinds of calls; 0 is the most urgent.
URGENCY_BY_CLASS: Final = {RequestClass.URGENT: 0, RequestClass.PATIENT: 1}
CLASS_BY_URGENCY: Final = {
    urgency: found for found, urgency in URGENCY_BY_CLASS.items()
}


class _ClassQueue:
    """The entries of one class by team, each team's ordered by deadline."""

    def __init__(self, weight_of: Callable[[str], float]) -> None:
        self._weight_of = weight_of
        self._tags = TeamTags()
        # (deadline, arrival number, entry)
        self._entries_by_team: dict[str, list[tuple[float, int, QueuedCall]]] = {}
        self.length = 0

    def add(self, entry: QueuedCall, number: int) -> None:
        entries = self._entries_by_team.setdefault(entry.team, [])
        if not entries:
            self._tags.start_waiting(entry.team)
        insort(entries, (entry.deadline_at, number, entry))
        self.length += 1

    def pop(
        self, now: float, admit: Callable[[QueuedCall], bool]
    ) -> tuple[int, QueuedCall] | None:
        teams = sorted(
            self._entries_by_team, key=lambda team: (self._tags.tag(team), team)
        )
        for team in teams:
            entries = self._entries_by_team[team]
            for index, (deadline, number, entry) in enumerate(entries):
                if deadline <= now or not admit(entry):
                    continue
                self._delete(team, index)
                self._tags.charge(team, entry.cost, self._weight_of(team))
                self._tags.drop_idle(self._entries_by_team)
                return number, entry
        return None

    def _delete(self, team: str, index: int) -> None:
        entries = self._entries_by_team[team]
        del entries[index]
        if not entries:
            del self._entries_by_team[team]
        self.length -= 1

    def remove(self, entry: QueuedCall, number: int) -> None:
        entries = self._entries_by_team[entry.team]
        self._delete(entry.team, bisect_left(entries, (entry.deadline_at, number)))

    def latest(self, team: str) -> QueuedCall | None:
        """Return the team's entry with the latest deadline."""
        entries = self._entries_by_team.get(team)
        return entries[-1][2] if entries else None

    def entries(self) -> Iterator[QueuedCall]:
        for entries in self._entries_by_team.values():
            for _, _, entry in entries:
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
        self._turns = UrgencyTurns()

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
            # The interval counts from when the first patient entry starts to wait.
            self._turns.restart()
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
        for urgency in self._turns.order(URGENCY_BY_CLASS.values()):
            request_class = CLASS_BY_URGENCY[urgency]
            popped = self._queue_by_class[request_class].pop(now, admit)
            if popped is None:
                continue
            entry = popped[1]
            self._remove_entry(entry)
            self._turns.record_served(urgency, self._waiting_urgencies())
            return entry
        return None

    def _waiting_urgencies(self) -> list[int]:
        return [
            URGENCY_BY_CLASS[request_class]
            for request_class, queue in self._queue_by_class.items()
            if queue.length > 0
        ]

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
