"""The ``membership`` decision: members, configuration freshness and heartbeats.

Members come from the session keys in the watch. Heartbeats every 0.5 s propagate the
age of evidence, outage statements, the highest revision and the leaving ids; they never
determine membership or ownership. The rules are in `freshness`, `leaving` and
`neighbours`; this module combines them and publishes changes to other tasks.
"""

from __future__ import annotations

import math
from typing import Final

import attrs
import msgspec

from ..core.decision import Decision
from ..core.malformed import MALFORMED_ERRORS
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..store.keys import CONFIG_HEAD, SESSION_PREFIX
from ..store.kv import KvChanged
from ..store.kv_events import KvReachable, ProbeHead
from ..store.session_keeper import decode_session
from .freshness import Freshness
from .heartbeat import NONE_MS, Heartbeat
from .leaving import LeavingSet
from .messages import (
    CatalogChanged,
    CurrencyChanged,
    LeavingChanged,
    Member,
    MembershipChanged,
    ReleaseOwnership,
    RevisionHeard,
)
from .neighbours import Echo, Neighbours

MEMBERSHIP_TASK: Final = "membership"
HEARTBEAT_INTERVAL_S: Final = 0.5
# A new outage statement is sent sooner, so that it reaches a majority within 4 s.
URGENT_HEARTBEAT_S: Final = 0.1
# The head is not read while evidence, also from neighbours, is younger than this.
PROBE_AGE_S: Final = 1.0
PROBE_INTERVAL_S: Final = 1.0
REVISION_REPEAT_S: Final = 1.0
# `current_until` is published again when it moved by this much.
CURRENCY_STEP_S: Final = 0.25


class _Head(msgspec.Struct):
    """The field of the configuration's head that is used here."""

    revision: int


def head_revision(value: bytes | None) -> int:
    """Return the manifest revision in a head; 0 if absent or malformed."""
    if value is None:
        return 0
    try:
        return msgspec.json.decode(value, type=_Head).revision
    except MALFORMED_ERRORS:
        return 0


@attrs.frozen(kw_only=True)
class MembershipWatchers:
    """Local tasks that receive the messages of the decision."""

    members: tuple[str, ...] = ("peers", "ownership")
    currency: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    revisions: tuple[str, ...] = ("revisions",)


class Membership(Decision):
    """Tracks members, configuration freshness and leaving ids."""

    def __init__(self, own: Member, watchers: MembershipWatchers) -> None:
        """Initialize with the own member and the tasks to notify."""
        self._own = own
        self._id = own.instance_id
        self._watchers = watchers
        self._freshness = Freshness(own.instance_id)
        self._neighbours = Neighbours(own)
        self._leaving_servers = LeavingSet()
        self._leaving_instances = LeavingSet()
        self._gone: frozenset[str] = frozenset()
        self._draining = False
        self._session_member_by_id: dict[str, Member] = {}
        self._told_members: dict[str, Member] = {}
        self._told_currency = CurrencyChanged(False, False, -math.inf)
        self._told_leaving = LeavingChanged(frozenset(), frozenset())
        self._next_beat_at = -math.inf
        self._next_probe_at = -math.inf
        self._next_revision_at = -math.inf
        self._said_outage = False

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a message from the service, the platform or a neighbour."""
        batch: list[Outgoing] = []
        match incoming.message:
            case Heartbeat() as beat:
                batch += self._take_heartbeat(incoming.sender.instance_id, beat, now)
            case KvReachable() as reachable:
                self._freshness.take_answer(reachable, now)
            case KvChanged(key, value, _) if key == CONFIG_HEAD:
                self._freshness.hear_revision(head_revision(value), now)
            case KvChanged(key, value, _) if key.startswith(SESSION_PREFIX):
                self._take_session(key[len(SESSION_PREFIX) :], value, now)
            case CatalogChanged(catalog):
                self._freshness.apply_revision(catalog.revision, now)
            case LeavingChanged(server_ids, instance_ids, gone):
                self._leaving_servers.read_list(server_ids, now)
                self._leaving_instances.read_list(instance_ids, now)
                self._gone = gone
            case ReleaseOwnership():
                self._draining = True
                self._next_beat_at = now
            case _:
                return []
        return batch + self._report(now)

    def on_time(self, now: float) -> list[Outgoing]:
        """Send due heartbeats and probes, and publish lost freshness."""
        batch: list[Outgoing] = []
        if now >= self._next_beat_at:
            self._next_beat_at = now + HEARTBEAT_INTERVAL_S
            batch += self._beat(now)
            batch += self._probe(now)
        return batch + self._report(now)

    def status(self, now: float) -> Status:
        """Return members, configuration freshness and leaving servers."""
        age_s = self._freshness.evidence_age_s(now)
        members = [
            {"id": one.instance_id, "zone": one.zone, "draining": one.draining}
            for one in self._told_members.values()
        ]
        return {
            "members": sorted(members, key=lambda row: str(row["id"])),
            "evidence_age_s": None if math.isinf(age_s) else round(age_s, 3),
            "outage": self._freshness.outage_until(now) > now,
            "leaving_servers": sorted(self._leaving_servers.ids()),
        }

    def wake_at(self) -> float | None:
        """Return the time of the next heartbeat or the end of freshness, if earlier."""
        if self._told_currency.current:
            return min(self._next_beat_at, self._told_currency.current_until)
        return self._next_beat_at

    def _take_session(self, name: str, value: bytes | None, now: float) -> None:
        shown = decode_session(name, value) if value is not None else None
        if shown is None:
            self._session_member_by_id.pop(name, None)
        else:
            self._session_member_by_id[name] = shown
        self._freshness.set_members(self._session_member_by_id, now)

    def _take_heartbeat(
        self, sender: str, beat: Heartbeat, now: float
    ) -> list[Outgoing]:
        self._neighbours.receive(sender, beat, now)
        if self._freshness.take_heartbeat(beat, now):
            self._hurry(now)
        self._leaving_servers.hear(beat.leaving_servers, now)
        self._leaving_instances.hear(beat.leaving, now)
        heard = max(beat.revision, beat.highest)
        if heard <= self._freshness.revision or now < self._next_revision_at:
            return []
        self._next_revision_at = now + REVISION_REPEAT_S
        return self._tell(self._watchers.revisions, RevisionHeard(heard, sender))

    def _hurry(self, now: float) -> None:
        if self._freshness.outage_until(now) <= now:
            self._next_beat_at = min(self._next_beat_at, now + URGENT_HEARTBEAT_S)

    def _beat(self, now: float) -> list[Outgoing]:
        return [
            Outgoing(Address(name, MEMBERSHIP_TASK), self._heartbeat(echo, now))
            for name, echo in self._neighbours.partners(now).items()
        ]

    def _heartbeat(self, echo: Echo, now: float) -> Heartbeat:
        age_s = self._freshness.evidence_age_s(now)
        leaving = self._leaving_instances.to_spread(now)
        if self._draining and self._id not in leaving:
            leaving = (self._id, *leaving)
        return Heartbeat(
            sent_ms=math.floor(now * 1000),
            echo_ms=echo.sent_ms,
            held_ms=echo.held_ms(now) if echo.sent_ms != NONE_MS else 0,
            revision=self._freshness.revision,
            highest=self._freshness.highest,
            # Evidence that is too old to be useful is omitted.
            evidence_ms=math.ceil(age_s * 1000) if age_s < 10.0 else NONE_MS,
            leaving_servers=self._leaving_servers.to_spread(now),
            leaving=leaving,
            outage=self._freshness.statements(now),
        )

    def _probe(self, now: float) -> list[Outgoing]:
        if (
            self._freshness.evidence_age_s(now) < PROBE_AGE_S
            or now < self._next_probe_at
        ):
            return []
        self._next_probe_at = now + PROBE_INTERVAL_S
        return self._tell(("kv",), ProbeHead())

    def _report(self, now: float) -> list[Outgoing]:
        says_outage = self._freshness.says_outage(now)
        if says_outage and not self._said_outage:
            self._hurry(now)
        self._said_outage = says_outage
        return [
            *self._report_members(),
            *self._report_currency(now),
            *self._report_leaving(),
        ]

    def _report_members(self) -> list[Outgoing]:
        unready = self._leaving_instances.ids() | self._gone
        members = {**self._session_member_by_id, self._id: self._own}
        members = {
            name: attrs.evolve(
                one,
                draining=name in unready or (name == self._id and self._draining),
            )
            for name, one in members.items()
        }
        if members == self._told_members:
            return []
        self._told_members = members
        self._neighbours.set_members(members)
        return self._tell(self._watchers.members, MembershipChanged(members))

    def _report_currency(self, now: float) -> list[Outgoing]:
        until = self._freshness.current_until(now)
        outage = self._freshness.outage_until(now) > now
        told = self._told_currency
        message = CurrencyChanged(until > now, outage, until)
        moved = message.current and until - told.current_until >= CURRENCY_STEP_S
        same = (message.current, outage) == (told.current, told.outage)
        if same and not moved:
            return []
        self._told_currency = message
        return self._tell(self._watchers.currency, message)

    def _report_leaving(self) -> list[Outgoing]:
        message = LeavingChanged(
            self._leaving_servers.ids(), self._leaving_instances.ids(), self._gone
        )
        if message == self._told_leaving:
            return []
        self._told_leaving = message
        return self._tell(self._watchers.leaving, message)

    def _tell(self, tasks: tuple[str, ...], message: Message) -> list[Outgoing]:
        return [Outgoing(Address(self._id, task), message) for task in tasks]
