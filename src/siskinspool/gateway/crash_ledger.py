"""Which prompt parts may have crashed which servers.

A server that crashes breaks all its requests; the one that crashed it looks like the
others. A `CrashLedger` records the crashes with the shared prompt parts of the requests
that were broken before their answer was under way. Requests whose answer had just
begun come first, because a part crashes a server as it begins to answer; requests
without any answer count only for crashes without such a request.

`diagnose` finds the parts that explain the crashes:

- A part that was served after a crash did not cause it: the fault is deterministic.
- A part that was served shortly before its first crash is suspected only if it would
  hardly be in that many crashes by chance, given its share of the served requests
  (`ServedShares`): a part that most requests share is in any crash.
- The part in most of the crashes explains these. A part that was served shortly before
  the first of them comes last: a part that many requests share is in any crash by
  chance. Parts that occur in exactly the same crashes cannot be told apart and form one
  group. The remaining crashes are explained in the same way (a greedy set cover).
- A request with a whole group has the part that crashes. A request with only some of
  the group is let through: it is either served, which clears its parts, or its crash
  narrows the group.

A single crash proves nothing, since servers also crash for other reasons.
"""

from __future__ import annotations

import math
from collections import OrderedDict, defaultdict
from collections.abc import Collection, Iterable
from typing import Final

import attrs

from .quarantine_messages import CrashEvidence, CrashReport, ServerBoot
from .served_shares import ServedShares

# Crashes that make a part suspect; one more for a part that was served shortly before.
MIN_CRASHES: Final = 2
# A part that was served shortly before is suspected only if it would hardly be in its
# crashes by chance, while no request with it was served.
MAX_CHANCE: Final = 0.01
# So many crashes without such a request are enough, since each costs a server.
MAX_REQUIRED_CRASHES: Final = 8
RECENTLY_SERVED_S: Final = 30.0
# Reports of one crash by several gateways arrive within this time. Requests without an
# answer are considered only afterwards.
SETTLE_S: Final = 0.3
# Evidence is forgotten after this time.
CRASH_TTL_S: Final = 600.0
MAX_CRASHES: Final = 64
MAX_PARTS_PER_CRASH: Final = 64
# Parts whose last served request is remembered.
MAX_SERVED_PARTS: Final = 4096


@attrs.frozen
class SuspectGroup:
    """Parts that occur in the same crashes; one of them caused these."""

    part_ids: frozenset[str]
    crash_count: int
    last_crash_at: float
    # In enough of the crashes the answer to a request with these parts had begun, and
    # not all of the parts were served shortly before.
    is_certain: bool


@attrs.define
class _Crash:
    """One crash; times are on the instance's clock."""

    at: float
    recorded_at: float
    # Requests that this gateway had seen served by then.
    served_count: int
    begun_part_ids: set[str] = attrs.field(factory=set)
    waiting_part_ids: set[str] = attrs.field(factory=set)

    @property
    def suspect_part_ids(self) -> set[str]:
        """The parts that may have caused the crash."""
        return self.begun_part_ids or self.waiting_part_ids

    def is_settled(self, now: float) -> bool:
        """Return whether all gateways' reports must have arrived."""
        return bool(self.begun_part_ids) or now >= self.recorded_at + SETTLE_S

    def add(self, begun: Iterable[str], waiting: Iterable[str]) -> bool:
        """Add parts up to the limit; return whether any was new."""
        return _add_bounded(self.begun_part_ids, begun) | _add_bounded(
            self.waiting_part_ids, waiting
        )


class CrashLedger:
    """The known crashes and the parts served recently; times are in seconds."""

    def __init__(self) -> None:
        self._crash_by_boot: OrderedDict[ServerBoot, _Crash] = OrderedDict()
        self._served_at_by_part: OrderedDict[str, float] = OrderedDict()
        self._shares = ServedShares()

    def __len__(self) -> int:
        """Return the number of known crashes."""
        return len(self._crash_by_boot)

    def boots(self) -> list[ServerBoot]:
        """Return the crashed servers, the latest recorded last."""
        return list(self._crash_by_boot)

    def record_broken(
        self,
        boot: ServerBoot,
        part_ids: Collection[str],
        now: float,
        *,
        has_begun: bool,
    ) -> bool:
        """Record a request that a server broke; return whether it adds evidence."""
        begun, waiting = (part_ids, ()) if has_begun else ((), part_ids)
        return self._add(boot, begun, waiting, now, now)

    def record_served(self, part_ids: Collection[str], at: float) -> list[str]:
        """Record a served request; return the parts that are cleared by it."""
        self._shares.record_request(part_ids, at)
        return self._record_parts_served(part_ids, at)

    def _record_parts_served(self, part_ids: Iterable[str], at: float) -> list[str]:
        cleared = []
        for part_id in part_ids:
            before = self._served_at_by_part.get(part_id, -math.inf)
            if at <= before:
                continue
            if self._is_suspect(part_id, before):
                cleared.append(part_id)
            self._served_at_by_part[part_id] = at
            self._served_at_by_part.move_to_end(part_id)
        while len(self._served_at_by_part) > MAX_SERVED_PARTS:
            self._served_at_by_part.popitem(last=False)
        return cleared

    def merge(
        self, evidence: CrashEvidence, now: float
    ) -> tuple[list[ServerBoot], list[str]]:
        """Add what another gateway knows.

        Returns the crashes with new evidence and the parts that are newly cleared.
        """
        changed = []
        for report in evidence.crashes:
            at = now - min(max(report.age_s, 0.0), CRASH_TTL_S)
            begun, waiting = report.begun_part_ids, report.waiting_part_ids
            if self._add(report.boot, begun, waiting, at, now):
                changed.append(report.boot)
        cleared = []
        for part_id, age_s in evidence.served_age_s_by_part.items():
            cleared += self._record_parts_served([part_id], now - max(age_s, 0.0))
        return changed, cleared

    def report(
        self, boots: Iterable[ServerBoot], part_ids: Iterable[str], now: float
    ) -> CrashEvidence:
        """Return these crashes, and when their parts and the given ones were served."""
        reports = []
        named = set(part_ids)
        for boot in boots:
            crash = self._crash_by_boot.get(boot)
            if crash is None:
                continue
            # Requests without an answer say nothing beside one whose answer had begun.
            waiting = () if crash.begun_part_ids else crash.waiting_part_ids
            named |= crash.begun_part_ids | set(waiting)
            reports.append(
                CrashReport(
                    boot=boot,
                    age_s=now - crash.at,
                    begun_part_ids=tuple(sorted(crash.begun_part_ids)),
                    waiting_part_ids=tuple(sorted(waiting)),
                )
            )
        served_age_s_by_part = {
            part_id: now - self._served_at_by_part[part_id]
            for part_id in sorted(named)
            if part_id in self._served_at_by_part
        }
        return CrashEvidence(tuple(reports), served_age_s_by_part)

    def diagnose(self, now: float) -> list[SuspectGroup]:
        """Return the groups of parts that explain the crashes, the strongest first."""
        unexplained = {
            boot: self._open_suspects(crash, now)
            for boot, crash in self._crash_by_boot.items()
        }
        groups = []
        while best := self._strongest(unexplained, now):
            part_ids, boots = best
            crashes = [self._crash_by_boot[boot] for boot in boots]
            begun_count = sum(1 for crash in crashes if crash.begun_part_ids)
            is_new = not all(
                self._was_served_before(part_id, boots) for part_id in part_ids
            )
            groups.append(
                SuspectGroup(
                    part_ids,
                    crash_count=len(crashes),
                    last_crash_at=max(crash.at for crash in crashes),
                    is_certain=is_new and begun_count >= MIN_CRASHES,
                )
            )
            for boot in boots:
                del unexplained[boot]
        return groups

    def settles_at(self, now: float) -> float | None:
        """Return when the next crash settles, None if all have."""
        pending = [
            crash.recorded_at + SETTLE_S
            for crash in self._crash_by_boot.values()
            if not crash.is_settled(now)
        ]
        return min(pending, default=None)

    def drop_expired(self, now: float) -> None:
        """Forget old crashes."""
        for boot, crash in list(self._crash_by_boot.items()):
            if crash.at <= now - CRASH_TTL_S:
                del self._crash_by_boot[boot]

    def _add(
        self,
        boot: ServerBoot,
        begun: Iterable[str],
        waiting: Iterable[str],
        at: float,
        now: float,
    ) -> bool:
        crash = self._crash_by_boot.get(boot)
        if crash is None:
            if at <= now - CRASH_TTL_S:
                return False
            crash = _Crash(at, now, self._shares.request_count)
            self._crash_by_boot[boot] = crash
            while len(self._crash_by_boot) > MAX_CRASHES:
                self._crash_by_boot.popitem(last=False)
        return crash.add(begun, waiting)

    def _is_suspect(self, part_id: str, served_at: float) -> bool:
        """Return whether a part is in a crash after it was last served."""
        return any(
            crash.at > served_at and part_id in crash.suspect_part_ids
            for crash in self._crash_by_boot.values()
        )

    def _open_suspects(self, crash: _Crash, now: float) -> set[str]:
        """Return the parts of a crash that have not been served since."""
        if not crash.is_settled(now):
            return set()
        return {
            part_id
            for part_id in crash.suspect_part_ids
            if self._served_at_by_part.get(part_id, -math.inf) < crash.at
        }

    def _strongest(
        self, suspects_by_boot: dict[ServerBoot, set[str]], now: float
    ) -> tuple[frozenset[str], frozenset[ServerBoot]] | None:
        """Return the parts in most crashes with these crashes; None if too few."""
        boots_by_part: defaultdict[str, set[ServerBoot]] = defaultdict(set)
        for boot, part_ids in suspects_by_boot.items():
            for part_id in part_ids:
                boots_by_part[part_id].add(boot)
        enough = [
            (not self._was_served_before(part_id, boots), len(boots), part_id)
            for part_id, boots in boots_by_part.items()
            if self._has_enough(part_id, boots, now)
        ]
        if not enough:
            return None
        boots = boots_by_part[max(enough)[-1]]
        group = frozenset(
            part_id for part_id, other in boots_by_part.items() if other == boots
        )
        return group, frozenset(boots)

    def _has_enough(
        self, part_id: str, boots: Collection[ServerBoot], now: float
    ) -> bool:
        """Return whether a part is in enough crashes to be suspected."""
        if not self._was_served_before(part_id, boots):
            return len(boots) >= MIN_CRASHES
        if len(boots) <= MIN_CRASHES:
            return False
        return (
            len(boots) >= MAX_REQUIRED_CRASHES
            or self._chance(part_id, boots, now) <= MAX_CHANCE
        )

    def _chance(self, part_id: str, boots: Collection[ServerBoot], now: float) -> float:
        """Return how probable it is that a sound part is in these crashes.

        Also counts that none of the requests served since the first crash has it. Each
        crash is counted as if it had broken one request, so the result is too low for
        a crash that broke several.
        """
        share = self._shares.share(part_id, now)
        served_before = min(self._crash_by_boot[boot].served_count for boot in boots)
        others = self._shares.request_count - served_before
        return math.pow(share, len(boots)) * math.pow(1.0 - share, others)

    def _was_served_before(self, part_id: str, boots: Iterable[ServerBoot]) -> bool:
        """Return whether a part was served shortly before the first crash."""
        served_at = self._served_at_by_part.get(part_id, -math.inf)
        first_at = min(self._crash_by_boot[boot].at for boot in boots)
        return first_at - served_at < RECENTLY_SERVED_S


def _add_bounded(known: set[str], part_ids: Iterable[str]) -> bool:
    before = len(known)
    for part_id in part_ids:
        if len(known) >= MAX_PARTS_PER_CRASH:
            break
        known.add(part_id)
    return len(known) > before
