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
from .heartbeat import UNKNOWN_MS, Heartbeat, member_hash

EVIDENCE_MAX_AGE_S: Final = 4.0
STATEMENT_MAX_AGE_S: Final = 4.0
# Members whose session ended still count for a majority for this long. Otherwise an
# instance that saw the others' sessions end would be a majority by itself.
DEPARTED_VOTER_KEEP_S: Final = 60.0
NEVER: Final = -math.inf


def composed_at(beat: Heartbeat) -> float | None:
    """Return the earliest time, on this clock, at which a heartbeat was composed.

    None if it answers no heartbeat of this instance.
    """
    if beat.echo_ms == UNKNOWN_MS:
        return None
    return (beat.echo_ms + beat.held_ms) / 1000


@attrs.define
class ConfigurationFreshness:
    """Evidence and outage statements of one instance; times are its own clock's."""

    instance_id: str
    # Manifest revision in force here.
    revision: int = 0
    # Highest revision named by the service or a neighbour, and since when the
    # instance has known of one that it lacks.
    highest_known_revision: int = 0
    _behind_since: float | None = None
    _evidence_at: float = NEVER
    # Evidence that counts once a revision is in force.
    _pending_evidence_at_by_revision: dict[int, float] = attrs.field(factory=dict)
    _last_ok_sent_at: float = NEVER
    _last_failure_sent_at: float = NEVER
    _last_failure_at: float = NEVER
    # Time of the newest statement of each other member, by `member_hash`.
    _statement_at_by_member: dict[int, float] = attrs.field(factory=dict)
    # `member_hash` of the last known members, with the end of those that left.
    _vote_ends_at_by_member: dict[int, float] = attrs.field(factory=dict)

    def apply_revision(self, revision: int, now: float) -> None:
        """Note the revision in force."""
        self.revision = max(self.revision, revision)
        for pending, at in list(self._pending_evidence_at_by_revision.items()):
            if pending <= self.revision:
                del self._pending_evidence_at_by_revision[pending]
                self._evidence_at = max(self._evidence_at, at)
        self.record_known_revision(self.revision, now)

    def record_known_revision(self, revision: int, now: float) -> None:
        """Note that a revision exists."""
        self.highest_known_revision = max(self.highest_known_revision, revision)
        if self.highest_known_revision <= self.revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def record_reachability(self, reachable: KvReachable, now: float) -> None:
        """Take in whether the service answered; the head was published before."""
        if not reachable.ok:
            self._last_failure_sent_at = max(self._last_failure_sent_at, reachable.at)
            self._last_failure_at = now
            return
        self._last_ok_sent_at = max(self._last_ok_sent_at, reachable.at)
        if reachable.head_read:
            self._add_evidence(reachable.at, self.highest_known_revision)

    def handle_heartbeat(self, beat: Heartbeat, now: float) -> bool:
        """Take in a neighbour's knowledge; return whether a statement is news."""
        self.record_known_revision(max(beat.revision, beat.highest), now)
        composed = composed_at(beat)
        if composed is None or composed > now:
            return False
        if beat.evidence_ms != UNKNOWN_MS:
            self._add_evidence(composed - beat.evidence_ms / 1000, beat.revision)
        news = False
        for member, age_tenths in beat.outage.items():
            at = composed - age_tenths / 10
            known = self._statement_at_by_member.get(member, NEVER)
            if at > known and now - at < STATEMENT_MAX_AGE_S:
                news = news or now - known >= STATEMENT_MAX_AGE_S
                self._statement_at_by_member[member] = at
        return news

    def set_members(self, instance_ids: Iterable[str], now: float) -> None:
        """Take in the instances whose sessions the service showed last."""
        live = {member_hash(instance_id) for instance_id in instance_ids}
        for member, ends_at in list(self._vote_ends_at_by_member.items()):
            if member not in live and ends_at == math.inf:
                self._vote_ends_at_by_member[member] = now + DEPARTED_VOTER_KEEP_S
        self._vote_ends_at_by_member.update(dict.fromkeys(live, math.inf))

    def evidence_age_s(self, now: float) -> float:
        """Return the age of the evidence; infinite without any."""
        return now - self._evidence_at

    def reports_outage(self, now: float) -> bool:
        """Return whether this instance states that the service does not answer."""
        newest_failed = self._last_failure_sent_at > self._last_ok_sent_at
        return newest_failed and now - self._last_failure_at < STATEMENT_MAX_AGE_S

    def statement_ages(self, now: float) -> dict[int, int]:
        """Return the ages of all statements in tenths of a second, rounded up."""
        return {
            member: math.ceil((now - at) * 10)
            for member, at in self._valid_statements(now).items()
        }

    def outage_valid_until(self, now: float) -> float:
        """Return until when a majority's statements hold; `NEVER` without one."""
        if member_hash(self.instance_id) not in self._vote_ends_at_by_member:
            # The service has not shown who the members are.
            return NEVER
        self._remove_expired(now)
        needed = len(self._vote_ends_at_by_member) // 2 + 1
        times = sorted(
            (
                at
                for member, at in self._valid_statements(now).items()
                if member in self._vote_ends_at_by_member
            ),
            reverse=True,
        )
        if len(times) < needed:
            return NEVER
        return times[needed - 1] + STATEMENT_MAX_AGE_S

    def current_until(self, now: float) -> float:
        """Return until when the configuration can be trusted; may be past."""
        by_outage = self.outage_valid_until(now)
        if self._behind_since is not None:
            by_outage = min(by_outage, self._behind_since + EVIDENCE_MAX_AGE_S)
        return max(self._evidence_at + EVIDENCE_MAX_AGE_S, by_outage)

    def _add_evidence(self, at: float, revision: int) -> None:
        if revision <= self.revision:
            self._evidence_at = max(self._evidence_at, at)
            return
        known = self._pending_evidence_at_by_revision.get(revision, NEVER)
        self._pending_evidence_at_by_revision[revision] = max(known, at)
        if len(self._pending_evidence_at_by_revision) > 16:
            del self._pending_evidence_at_by_revision[
                max(self._pending_evidence_at_by_revision)
            ]

    def _valid_statements(self, now: float) -> dict[int, float]:
        valid = {
            member: at
            for member, at in self._statement_at_by_member.items()
            if now - at < STATEMENT_MAX_AGE_S
        }
        # What others relay as this instance's statement may be outdated.
        valid.pop(member_hash(self.instance_id), None)
        if self.reports_outage(now):
            valid[member_hash(self.instance_id)] = self._last_failure_at
        return valid

    def _remove_expired(self, now: float) -> None:
        for member, ends_at in list(self._vote_ends_at_by_member.items()):
            if ends_at <= now:
                del self._vote_ends_at_by_member[member]
        for member, at in list(self._statement_at_by_member.items()):
            if now - at >= STATEMENT_MAX_AGE_S:
                del self._statement_at_by_member[member]
