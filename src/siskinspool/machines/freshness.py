"""Configuration freshness: whether this instance may trust its configuration (R4, R13).

*Evidence* is a time, on this instance's clock, at which no configuration newer than
the applied one had been accepted. It comes from reads of the configuration's head, and
from neighbours that run at the same or a lower revision. The configuration is current
while the evidence is at most 4 s old.

*Outage statements* report that the key-value service does not answer. If a majority of
the last known members reported this within the last 4 s, no configuration can have
been accepted, and the configuration counts as current too, unless the instance knows
of a newer revision that it does not have.

Times from a neighbour are converted to the local clock without synchronized clocks: a
heartbeat returns the send time of the last heartbeat received from this instance and
the time it was held, so it was composed no earlier than the sum of both. Delays on the
network or in a queue make the carried times older, never younger. A chain of
neighbours therefore cannot keep old evidence valid.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final

import attrs

from ..store.kv_events import KvReachability
from .heartbeat import UNKNOWN_MS, Heartbeat, member_hash

EVIDENCE_MAX_AGE_S: Final = 4.0
STATEMENT_MAX_AGE_S: Final = 4.0
# Members whose session ended still count towards the majority for this long. Otherwise
# an instance that saw all other sessions end would be a majority on its own.
DEPARTED_VOTER_KEEP_S: Final = 60.0
NEVER: Final = -math.inf


def composed_at(heartbeat: Heartbeat) -> float | None:
    """Return the earliest local time at which a heartbeat can have been composed.

    None if it echoes no heartbeat of this instance.
    """
    if heartbeat.echo_ms == UNKNOWN_MS:
        return None
    return (heartbeat.echo_ms + heartbeat.held_ms) / 1000


@attrs.define
class ConfigurationFreshness:
    """Evidence and outage statements of one instance, in times of its own clock."""

    instance_id: str
    # Manifest revision that this instance applies.
    revision: int = 0
    # Highest revision known from the service or a neighbour, and since when it has been
    # higher than the applied one.
    highest_known_revision: int = 0
    _behind_since: float | None = None
    _evidence_at: float = NEVER
    # Evidence that counts once its revision is applied.
    _pending_evidence_at_by_revision: dict[int, float] = attrs.field(factory=dict)
    _last_ok_sent_at: float = NEVER
    _last_failure_sent_at: float = NEVER
    _last_failure_at: float = NEVER
    # Time of the newest statement of each other member, by `member_hash`.
    _statement_at_by_member: dict[int, float] = attrs.field(factory=dict)
    # The last known members by `member_hash`, with the end of their vote.
    _vote_ends_at_by_member: dict[int, float] = attrs.field(factory=dict)

    def apply_revision(self, revision: int, now: float) -> None:
        """Record the applied revision."""
        self.revision = max(self.revision, revision)
        for pending, at in list(self._pending_evidence_at_by_revision.items()):
            if pending <= self.revision:
                del self._pending_evidence_at_by_revision[pending]
                self._evidence_at = max(self._evidence_at, at)
        self.record_known_revision(self.revision, now)

    def record_known_revision(self, revision: int, now: float) -> None:
        """Record that a revision exists."""
        self.highest_known_revision = max(self.highest_known_revision, revision)
        if self.highest_known_revision <= self.revision:
            self._behind_since = None
        elif self._behind_since is None:
            self._behind_since = now

    def record_reachability(self, reachable: KvReachability, now: float) -> None:
        """Record whether the service answered.

        A head that was read has been published before this message.
        """
        if not reachable.is_reachable:
            self._last_failure_sent_at = max(
                self._last_failure_sent_at, reachable.sent_at
            )
            self._last_failure_at = now
            return
        self._last_ok_sent_at = max(self._last_ok_sent_at, reachable.sent_at)
        if reachable.head_read:
            self._add_evidence(reachable.sent_at, self.highest_known_revision)

    def handle_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Update from a heartbeat; return whether it has a new outage statement."""
        self.record_known_revision(max(heartbeat.revision, heartbeat.highest), now)
        composed = composed_at(heartbeat)
        if composed is None or composed > now:
            return False
        if heartbeat.evidence_ms != UNKNOWN_MS:
            self._add_evidence(
                composed - heartbeat.evidence_ms / 1000, heartbeat.revision
            )
        has_new_statement = False
        for member, age_tenths in heartbeat.outage.items():
            at = composed - age_tenths / 10
            known = self._statement_at_by_member.get(member, NEVER)
            if at > known and now - at < STATEMENT_MAX_AGE_S:
                has_new_statement = (
                    has_new_statement or now - known >= STATEMENT_MAX_AGE_S
                )
                self._statement_at_by_member[member] = at
        return has_new_statement

    def set_members(self, instance_ids: Iterable[str], now: float) -> None:
        """Set the instances whose sessions the service reported last."""
        live_members = {member_hash(instance_id) for instance_id in instance_ids}
        for member, ends_at in list(self._vote_ends_at_by_member.items()):
            if member not in live_members and ends_at == math.inf:
                self._vote_ends_at_by_member[member] = now + DEPARTED_VOTER_KEEP_S
        self._vote_ends_at_by_member.update(dict.fromkeys(live_members, math.inf))

    def evidence_age_s(self, now: float) -> float:
        """Return the age of the evidence; infinite if there is none."""
        return now - self._evidence_at

    def reports_outage(self, now: float) -> bool:
        """Return whether this instance reports that the service does not answer."""
        newest_failed = self._last_failure_sent_at > self._last_ok_sent_at
        return newest_failed and now - self._last_failure_at < STATEMENT_MAX_AGE_S

    def statement_ages(self, now: float) -> dict[int, int]:
        """Return the ages of all valid statements in tenths of a second, rounded up."""
        return {
            member: math.ceil((now - at) * 10)
            for member, at in self._valid_statements(now).items()
        }

    def outage_valid_until(self, now: float) -> float:
        """Return until when a majority reports an outage; `NEVER` if none does."""
        if member_hash(self.instance_id) not in self._vote_ends_at_by_member:
            # The members are not known from the service yet.
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
        """Return until when the configuration is current; may be in the past."""
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
        # A relayed statement of this instance may be outdated.
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
