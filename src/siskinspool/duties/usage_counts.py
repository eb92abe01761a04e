"""The ``usage_counts`` decision: counts a gateway's requests by team and window.

The counts go to the holder and, so that they survive the end of this process, to one
witness, another gateway. When the holder changes, each gateway sends the new holder
what it has counted and what it has witnessed.
"""

from __future__ import annotations

import math
import random
from typing import Final

from ..core.decision import Decision
from ..core.member import Member, MembershipChanged
from ..core.message import Address, Incoming, Outgoing
from ..core.status import Status
from ..gateway.messages import LeaderChanged
from ..machines.rendezvous import score
from .duty_messages import (
    USAGE_COUNTS_TASK,
    USAGE_WINDOWS_TASK,
    WALL_CLOCK_TASK,
    ClockRead,
    FinishCounting,
    ReadClock,
    TrueTimeEstimated,
    UsageReceived,
    UsageReport,
    UsageStarted,
    UsageWithdrawn,
)
from .own_counts import OwnCounts
from .true_time import TrueTime
from .window_counts import WindowCounts

# What a killed gateway had not reported is lost. The interval grows with the number of
# gateways, as each one's part of the counts, and with it the loss, becomes smaller.
REPORT_INTERVAL_S_PER_MEMBER: Final = 0.0025
MIN_REPORT_INTERVAL_S: Final = 0.1
MAX_REPORT_INTERVAL_S: Final = 1.0
# Final counts that the holder has not confirmed are sent again after this time.
REPEAT_S: Final = 1.0
# A window is final this long after its end, in case true time is adjusted.
FINAL_AFTER_S: Final = 0.3
CLOCK_INTERVAL_S: Final = 5.0
CLOCKS_PER_ROUND: Final = 8
# Until the first round of clocks is answered, requests wait for their window.
FIRST_ROUND_S: Final = 1.0
MAX_UNPLACED: Final = 10_000


class UsageCounts(Decision):
    """Counts the requests of one gateway and reports them."""

    def __init__(
        self, own: Member, window_s: float, rng: random.Random, now: float
    ) -> None:
        """Create the decision for a member, with windows of ``window_s``."""
        self._own = own
        self._window_s = window_s
        self._rng = rng
        self._time = TrueTime()
        self._counts = OwnCounts(source_name(own))
        self._witnessed = WindowCounts()
        self._leader_id: str | None = None
        self._peer_ids: tuple[str, ...] = ()
        self._witness_id: str | None = None
        # Requests that were counted before true time was known.
        self._unplaced: list[tuple[str, float, int]] = []
        self._placed_from_s = now + FIRST_ROUND_S
        self._asked_at_by_number: dict[int, float] = {}
        self._next_number = 0
        self._next_clock_at = now
        self._next_report_at = now
        self._is_finished = False

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a request's start, a report to witness or a change of members."""
        match incoming.message:
            case UsageStarted(team, at_s):
                self._count(team, at_s, 1, now)
            case UsageWithdrawn(team, at_s):
                self._count(team, at_s, -1, now)
            case UsageReport() as report:
                return self._witness(incoming.sender, report)
            case UsageReceived() as received:
                self._witnessed.drop_through(received.decided_through)
                self._counts.confirm(received)
            case FinishCounting():
                self._is_finished = True
                return self._report(now)
            case ClockRead(number, unix_s):
                return self._record_clock(incoming.sender, number, unix_s, now)
            case MembershipChanged(member_by_id):
                self._set_members(member_by_id, now)
            case LeaderChanged(leader_id):
                # Also for the same id: its process may have been restarted.
                self._leader_id = leader_id
                self._choose_witness()
                return self._report_again(now)
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Read clocks and report the counts."""
        batch: list[Outgoing] = []
        if now >= self._next_clock_at:
            self._next_clock_at = now + CLOCK_INTERVAL_S
            batch += self._read_clocks(now)
        if now >= self._next_report_at:
            self._next_report_at = now + self._report_interval_s()
            batch += self._report(now)
        return batch

    def wake_at(self) -> float | None:
        """Return when the next report or reading is due."""
        return min(self._next_clock_at, self._next_report_at)

    def status(self, now: float) -> Status:
        """Return the current window and where the counts go."""
        return {
            "window": self._window(now) if self._is_placing(now) else None,
            "holder": self._leader_id,
            "witness": self._witness_id,
        }

    # Counting

    def _is_placing(self, now: float) -> bool:
        return now >= self._placed_from_s and self._time.offset_s is not None

    def _window(self, at_s: float) -> int:
        return math.floor(self._time.unix_s(at_s) / self._window_s)

    def _count(self, team: str, at_s: float, change: int, now: float) -> None:
        if self._is_placing(now):
            self._place_waiting()
            self._counts.add(team, self._window(at_s), change)
        elif len(self._unplaced) < MAX_UNPLACED:
            self._unplaced.append((team, at_s, change))

    def _place_waiting(self) -> None:
        for team, at_s, change in self._unplaced:
            self._counts.add(team, self._window(at_s), change)
        self._unplaced.clear()

    # Reports

    def _report_interval_s(self) -> float:
        interval_s = REPORT_INTERVAL_S_PER_MEMBER * (len(self._peer_ids) + 1)
        return min(max(interval_s, MIN_REPORT_INTERVAL_S), MAX_REPORT_INTERVAL_S)

    def _report(self, now: float) -> list[Outgoing]:
        if not self._is_placing(now):
            return []
        self._place_waiting()
        final_through = self._window(now - FINAL_AFTER_S) - 1
        if self._is_finished:
            final_through = self._window(now)
        self._counts.open_through(self._window(now), final_through)
        reports = self._counts.pop_reports(REPEAT_S, now)
        recipients = [
            Address(instance_id, task)
            for instance_id, task in (
                (self._leader_id, USAGE_WINDOWS_TASK),
                (self._witness_id, USAGE_COUNTS_TASK),
            )
            if instance_id is not None
        ]
        return [Outgoing(one, report) for one in recipients for report in reports]

    def _witness(self, sender: Address, report: UsageReport) -> list[Outgoing]:
        counts = self._witnessed.apply(report)
        if not counts.misses_part_of(report):
            return []
        received = UsageReceived(
            report.source, report.window, counts.total, False, decided_through=0
        )
        return [Outgoing(sender, received)]

    def _report_again(self, now: float) -> list[Outgoing]:
        """Send a new holder the witnessed counts first, then all of the own."""
        if self._leader_id is None:
            return []
        self._counts.report_all_again()
        leader = Address(self._leader_id, USAGE_WINDOWS_TASK)
        reports = self._witnessed.full_reports()
        return [Outgoing(leader, report) for report in reports] + self._report(now)

    def _set_members(self, member_by_id: dict[str, Member], now: float) -> None:
        own_id = self._own.instance_id
        self._peer_ids = tuple(sorted(member_by_id.keys() - {own_id}))
        self._time.retain(member_by_id.keys() | {own_id})
        self._choose_witness()
        # The first list of members is read soon after the start; ask its clocks now.
        if now < self._placed_from_s:
            self._next_clock_at = now

    def _choose_witness(self) -> None:
        candidates = [name for name in self._peer_ids if name != self._leader_id]
        own_id = self._own.instance_id
        witness_id = max(candidates, key=lambda name: score(own_id, name), default=None)
        if witness_id != self._witness_id:
            self._witness_id = witness_id
            self._counts.report_all_again()

    # Clocks

    def _read_clocks(self, now: float) -> list[Outgoing]:
        count = min(CLOCKS_PER_ROUND, len(self._peer_ids))
        chosen = [self._own.instance_id, *self._rng.sample(self._peer_ids, count)]
        self._next_number += 1
        self._asked_at_by_number = {
            number: asked_at
            for number, asked_at in self._asked_at_by_number.items()
            if asked_at > now - CLOCK_INTERVAL_S
        }
        self._asked_at_by_number[self._next_number] = now
        request = ReadClock(self._next_number)
        return [Outgoing(Address(name, WALL_CLOCK_TASK), request) for name in chosen]

    def _record_clock(
        self, sender: Address, number: int, unix_s: float, now: float
    ) -> list[Outgoing]:
        asked_at = self._asked_at_by_number.get(number)
        if asked_at is None:
            return []
        self._time.record(sender.instance_id, unix_s, (asked_at + now) / 2)
        local = Address(self._own.instance_id, USAGE_WINDOWS_TASK)
        return [Outgoing(local, TrueTimeEstimated(self._time.offset_s or 0.0))]


def source_name(member: Member) -> str:
    """Return the name of a gateway process as a source of counts."""
    return f"{member.instance_id}/{member.incarnation}"
