"""The freshness rule: whether this instance may trust its configuration (R4, R13).

*Evidence* is a time, on this instance's clock, at which no configuration newer than
the one in force here had been accepted. It comes from reads of the configuration's
head, and from neighbours that run at the same or a lower revision. An instance is
current while its evidence is at most 4 s old.

*Outage statements* say that the key-value service does not answer. While a majority
of the last known members said so within 4 s, nothing can have been accepted, and the
instance is current too, unless it knows of a revision that it lacks.

Times from a neighbour are turned into times on the own clock without agreement of
clocks: a heartbeat returns the send time of the last one received from here and the
time it was held, so it was composed no earlier than the sum of both. Whatever delays
it, on the way or in a queue, makes what it carries older, never younger. A chain of
neighbours can therefore not keep old evidence alive.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import attrs

from ..store.kv_events import KvReachable
from .heartbeat import NONE_MS, Heartbeat, member_hash

EVIDENCE_LIMIT_S: Final = 4.0
STATEMENT_LIMIT_S: Final = 4.0
# Members whose session ended still count for a majority for this long. Otherwise an
# instance that saw the others' sessions end would be a majority by itself.
ELECTORATE_KEEP_S: Final = 60.0
NEVER: Final = -math.inf


def composed_at(beat: Heartbeat) -> float | None:
    """Return the earliest time, on this clock, at which a heartbeat was composed.

    None if it answers no heartbeat of this instance.
    """
    if beat.echo_ms == NONE_MS:
        return None
    return (beat.echo_ms + beat.held_ms) / 1000


@attrs.define
class Freshness:
    """Evidence and outage statements of one instance; times are its own clock's."""

    instance_id: str
    # Manifest revision in force here.
    revision: int = 0
    # Highest revision named by the service or a neighbour, and since when the
    # instance has known of one that it lacks.
    highest: int = 0
    _lacks_since: float | None = None
    _evidence_at: float = NEVER
    # Evidence that counts once a revision is in force.
    _pending_at_by_revision: dict[int, float] = attrs.field(factory=dict)
    _last_ok_sent_at: float = NEVER
    _last_failure_sent_at: float = NEVER
    _last_failure_at: float = NEVER
    # Time of the newest statement of each other member, by `member_hash`.
    _statement_at: dict[int, float] = attrs.field(factory=dict)
    # `member_hash` of the last known members, with the end of those that left.
    _electorate: dict[int, float] = attrs.field(factory=dict)

    def apply_revision(self, revision: int, now: float) -> None:
        """Note the revision in force."""
        self.revision = max(self.revision, revision)
        for pending, at in list(self._pending_at_by_revision.items()):
            if pending <= self.revision:
                del self._pending_at_by_revision[pending]
                self._evidence_at = max(self._evidence_at, at)
        self.hear_revision(self.revision, now)

    def hear_revision(self, revision: int, now: float) -> None:
        """Note that a revision exists."""
        self.highest = max(self.highest, revision)
        if self.highest <= self.revision:
            self._lacks_since = None
        elif self._lacks_since is None:
            self._lacks_since = now

    def take_answer(self, reachable: KvReachable, now: float) -> None:
        """Take in whether the service answered; the head was published before."""
        if not reachable.ok:
            self._last_failure_sent_at = max(self._last_failure_sent_at, reachable.at)
            self._last_failure_at = now
            return
        self._last_ok_sent_at = max(self._last_ok_sent_at, reachable.at)
        if reachable.head_read:
            self._add_evidence(reachable.at, self.highest)

    def take_heartbeat(self, beat: Heartbeat, now: float) -> bool:
        """Take in a neighbour's knowledge; return whether a statement is news."""
        self.hear_revision(max(beat.revision, beat.highest), now)
        composed = composed_at(beat)
        if composed is None or composed > now:
            return False
        if beat.evidence_ms != NONE_MS:
            self._add_evidence(composed - beat.evidence_ms / 1000, beat.revision)
        news = False
        for member, age_tenths in beat.outage.items():
            at = composed - age_tenths / 10
            known = self._statement_at.get(member, NEVER)
            if at > known and now - at < STATEMENT_LIMIT_S:
                news = news or now - known >= STATEMENT_LIMIT_S
                self._statement_at[member] = at
        return news

    def set_members(self, instance_ids: Iterable[str], now: float) -> None:
        """Take in the instances whose sessions the service showed last."""
        live = {member_hash(instance_id) for instance_id in instance_ids}
        for member, ends_at in list(self._electorate.items()):
            if member not in live and ends_at == math.inf:
                self._electorate[member] = now + ELECTORATE_KEEP_S
        self._electorate.update(dict.fromkeys(live, math.inf))

    def evidence_age_s(self, now: float) -> float:
        """Return the age of the evidence; infinite without any."""
        return now - self._evidence_at

    def says_outage(self, now: float) -> bool:
        """Return whether this instance states that the service does not answer."""
        newest_failed = self._last_failure_sent_at > self._last_ok_sent_at
        return newest_failed and now - self._last_failure_at < STATEMENT_LIMIT_S

    def statements(self, now: float) -> dict[int, int]:
        """Return the ages of all statements in tenths of a second, rounded up."""
        return {
            member: math.ceil((now - at) * 10)
            for member, at in self._statements(now).items()
        }

    def outage_until(self, now: float) -> float:
        """Return until when a majority's statements hold; `NEVER` without one."""
        if member_hash(self.instance_id) not in self._electorate:
            # The service has not shown who the members are.
            return NEVER
        self._forget(now)
        needed = len(self._electorate) // 2 + 1
        times = sorted(
            (
                at
                for member, at in self._statements(now).items()
                if member in self._electorate
            ),
            reverse=True,
        )
        if len(times) < needed:
            return NEVER
        return times[needed - 1] + STATEMENT_LIMIT_S

    def current_until(self, now: float) -> float:
        """Return until when the configuration can be trusted; may be past."""
        by_outage = self.outage_until(now)
        if self._lacks_since is not None:
            by_outage = min(by_outage, self._lacks_since + EVIDENCE_LIMIT_S)
        return max(self._evidence_at + EVIDENCE_LIMIT_S, by_outage)

    def _add_evidence(self, at: float, revision: int) -> None:
        if revision <= self.revision:
            self._evidence_at = max(self._evidence_at, at)
            return
        known = self._pending_at_by_revision.get(revision, NEVER)
        self._pending_at_by_revision[revision] = max(known, at)
        if len(self._pending_at_by_revision) > 16:
            del self._pending_at_by_revision[max(self._pending_at_by_revision)]

    def _statements(self, now: float) -> dict[int, float]:
        valid = {
            member: at
            for member, at in self._statement_at.items()
            if now - at < STATEMENT_LIMIT_S
        }
        # What others relay as this instance's statement may be outdated.
        valid.pop(member_hash(self.instance_id), None)
        if self.says_outage(now):
            valid[member_hash(self.instance_id)] = self._last_failure_at
        return valid

    def _forget(self, now: float) -> None:
        for member, ends_at in list(self._electorate.items()):
            if ends_at <= now:
                del self._electorate[member]
        for member, at in list(self._statement_at.items()):
            if now - at >= STATEMENT_LIMIT_S:
                del self._statement_at[member]
