"""Expects when a waiting request gets a place, from how fast places have come free.

Requests for one target (service, model and adapter) and of one urgency class wait in
line, with one turn for each team in a round. The rate at which such a line drains is
measured while it waits; more urgent requests that go ahead are part of that rate.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from .waiting_order import Target, WaitingEntry

# The drain rate is an average over about this time.
RATE_SPAN_S: Final = 2.0
# Below these, too little has been seen for a rate.
MIN_SEEN_S: Final = 0.5
MIN_SEEN_COUNT: Final = 2.0
# A rate seen longer ago than this says nothing about the present.
RATE_TTL_S: Final = 5.0


@attrs.frozen
class Line:
    """The requests of one target and urgency class."""

    target: Target
    priority: int

    @classmethod
    def from_entry(cls, entry: WaitingEntry) -> Line:
        """Return the line in which a request waits."""
        return cls(entry.target, entry.priority)


@attrs.define
class _Drain:
    """Places that came free for a line while it waited, with decay."""

    at: float
    count: float = 0.0
    seconds: float = 0.0
    is_waiting: bool = True

    def advance(self, now: float) -> None:
        """Decay the past; time without waiting requests does not count."""
        if self.is_waiting:
            elapsed_s = max(now - self.at, 0.0)
            decay = math.exp(-elapsed_s / RATE_SPAN_S)
            self.count *= decay
            self.seconds = self.seconds * decay + RATE_SPAN_S * (1 - decay)
            self.at = now

    @property
    def per_s(self) -> float | None:
        """Return the rate, or None if too little has been seen."""
        if self.seconds < MIN_SEEN_S or self.count < MIN_SEEN_COUNT:
            return None
        return self.count / self.seconds


class PlaceForecast:
    """Measures how lines drain and expects the waits; times are monotonic seconds."""

    def __init__(self) -> None:
        self._drain_by_line: dict[Line, _Drain] = {}

    def record_served(self, entry: WaitingEntry, now: float) -> None:
        """Record that a request that waited has got a place."""
        drain = self._drain_by_line.get(Line.from_entry(entry))
        if drain is not None and drain.is_waiting:
            drain.advance(now)
            drain.count += 1.0

    def record_waiting(self, lines: Iterable[Line], now: float) -> None:
        """Record which lines wait from now on because their servers have no place."""
        waiting = set(lines)
        for line in waiting:
            drain = self._drain_by_line.get(line)
            if drain is None or now - drain.at > RATE_TTL_S:
                self._drain_by_line[line] = _Drain(now)
            elif not drain.is_waiting:
                drain.is_waiting, drain.at = True, now
        for line, drain in list(self._drain_by_line.items()):
            if line not in waiting:
                drain.advance(now)
                drain.is_waiting = False
                if now - drain.at > RATE_TTL_S:
                    del self._drain_by_line[line]

    def waits_s(self, entries: Iterable[WaitingEntry], now: float) -> dict[str, float]:
        """Return the expected wait by request id, without those that are unknown."""
        entries_by_line: dict[Line, list[WaitingEntry]] = {}
        for entry in entries:
            entries_by_line.setdefault(Line.from_entry(entry), []).append(entry)
        wait_by_id: dict[str, float] = {}
        for line, waiting in entries_by_line.items():
            drain = self._drain_by_line.get(line)
            if drain is None or not drain.is_waiting:
                continue
            drain.advance(now)
            if drain.per_s is not None:
                for request_id, place in _places_in_line(waiting).items():
                    wait_by_id[request_id] = place / drain.per_s
        return wait_by_id


def _places_in_line(waiting: list[WaitingEntry]) -> Mapping[str, float]:
    """Return how many places each request has to wait for, its own included."""
    length_by_team = Counter(entry.team for entry in waiting)
    lengths = sorted(length_by_team.values())
    seen_by_team: Counter[str] = Counter()
    place_by_id: dict[str, float] = {}
    place_by_round: dict[int, float] = {}
    for entry in sorted(waiting, key=lambda item: item.since):
        turn = seen_by_team[entry.team]
        seen_by_team[entry.team] += 1
        if turn not in place_by_round:
            # Teams that have turns in this round are on average half through it.
            done = sum(min(length, turn) for length in lengths)
            in_round = sum(length > turn for length in lengths)
            place_by_round[turn] = done + (in_round + 1) / 2
        place_by_id[entry.request_id] = place_by_round[turn]
    return place_by_id
