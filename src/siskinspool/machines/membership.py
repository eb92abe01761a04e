"""The ``membership`` decision: members, configuration freshness and heartbeats.

Members come from the session keys in the watch. Heartbeats every 0.5 s propagate the
age of evidence, outage statements, the highest revision and the leaving ids; they never
determine membership or ownership. The rules are in `freshness`, `leaving_ids` and
`neighbours`; this module combines them and publishes changes to other tasks.
"""

from __future__ import annotations

import math
from typing import Final

import attrs
import msgspec

from ..core.decision import Decision
from ..core.malformed import MALFORMED_ERRORS
from ..core.member import Member, MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..store.keys import CONFIG_HEAD, SESSION_PREFIX
from ..store.kv import KvChanged
from ..store.kv_events import KvReachability, ProbeHead
from ..store.session_keeper import decode_session
from .freshness import ConfigurationFreshness
from .heartbeat import UNKNOWN_MS, Heartbeat
from .leaving_ids import LeavingIds
from .messages import (
    CatalogChanged,
    FreshnessChanged,
    LeavingChanged,
    PeerRevisionSeen,
    ReleaseOwnership,
)
from .neighbours import HeartbeatEcho, Neighbours

MEMBERSHIP_TASK: Final = "membership"
HEARTBEAT_INTERVAL_S: Final = 0.5
# A new outage statement is sent sooner, so that it reaches a majority within 4 s.
OUTAGE_HEARTBEAT_DELAY_S: Final = 0.1
# The head is not read while evidence, also from neighbours, is younger than this.
PROBE_EVIDENCE_AGE_S: Final = 1.0
PROBE_INTERVAL_S: Final = 1.0
REVISION_NOTICE_INTERVAL_S: Final = 1.0
# `fresh_until` is published again when it moved by this much.
FRESHNESS_STEP_S: Final = 0.25


class _ConfigurationHead(msgspec.Struct):
    """The field of the configuration's head that is used here."""

    revision: int


def head_revision(value: bytes | None) -> int:
    """Return the manifest revision in a head; 0 if absent or malformed."""
    if value is None:
        return 0
    try:
        return msgspec.json.decode(value, type=_ConfigurationHead).revision
    except MALFORMED_ERRORS:
        return 0


@attrs.frozen(kw_only=True)
class MembershipSubscribers:
    """Local tasks that receive the messages of the decision."""

    members: tuple[str, ...] = ("peers", "ownership")
    freshness: tuple[str, ...] = ()
    leaving: tuple[str, ...] = ()
    revisions: tuple[str, ...] = ("revisions",)


class Membership(Decision):
    """Tracks members, configuration freshness and leaving ids."""

    def __init__(self, own_member: Member, subscribers: MembershipSubscribers) -> None:
        """Initialize with the own member and the tasks to notify."""
        self._own_member = own_member
        self._id = own_member.instance_id
        self._subscribers = subscribers
        self._freshness = ConfigurationFreshness(own_member.instance_id)
        self._neighbours = Neighbours(own_member)
        self._leaving_servers = LeavingIds()
        self._leaving_instances = LeavingIds()
        self._gone_instance_ids: frozenset[str] = frozenset()
        self._is_draining = False
        self._session_member_by_id: dict[str, Member] = {}
        self._published_members: dict[str, Member] = {}
        self._published_freshness = FreshnessChanged(False, False, -math.inf)
        self._published_leaving = LeavingChanged(frozenset(), frozenset())
        self._next_heartbeat_at = -math.inf
        self._next_probe_at = -math.inf
        self._next_revision_notice_at = -math.inf
        self._reported_outage = False

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a message from the service, the platform or a neighbour."""
        batch: list[Outgoing] = []
        match incoming.message:
            case Heartbeat() as heartbeat:
                batch += self._handle_heartbeat(
                    incoming.sender.instance_id, heartbeat, now
                )
            case KvReachability() as reachable:
                self._freshness.record_reachability(reachable, now)
            case KvChanged(key, value, _) if key == CONFIG_HEAD:
                self._freshness.record_known_revision(head_revision(value), now)
            case KvChanged(key, value, _) if key.startswith(SESSION_PREFIX):
                self._update_session(key[len(SESSION_PREFIX) :], value, now)
            case CatalogChanged(catalog):
                self._freshness.apply_revision(catalog.revision, now)
            case LeavingChanged(server_ids, instance_ids, gone):
                self._leaving_servers.update_from_platform(server_ids, now)
                self._leaving_instances.update_from_platform(instance_ids, now)
                self._gone_instance_ids = gone
            case ReleaseOwnership():
                self._is_draining = True
                self._next_heartbeat_at = now
            case _:
                return []
        return batch + self._publish_changes(now)

    def on_time(self, now: float) -> list[Outgoing]:
        """Send due heartbeats and probes, and publish lost freshness."""
        batch: list[Outgoing] = []
        if now >= self._next_heartbeat_at:
            self._next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
            batch += self._heartbeats(now)
            batch += self._probe_head(now)
        return batch + self._publish_changes(now)

    def status(self, now: float) -> Status:
        """Return members, configuration freshness and leaving servers."""
        age_s = self._freshness.evidence_age_s(now)
        members = [
            {"id": item.instance_id, "zone": item.zone, "draining": item.draining}
            for item in self._published_members.values()
        ]
        return {
            "members": sorted(members, key=lambda row: str(row["id"])),
            "evidence_age_s": None if math.isinf(age_s) else round(age_s, 3),
            "outage": self._freshness.outage_valid_until(now) > now,
            "leaving_servers": sorted(self._leaving_servers.ids()),
        }

    def wake_at(self) -> float | None:
        """Return the time of the next heartbeat or the end of freshness, if earlier."""
        if self._published_freshness.is_fresh:
            return min(self._next_heartbeat_at, self._published_freshness.fresh_until)
        return self._next_heartbeat_at

    def _update_session(self, name: str, value: bytes | None, now: float) -> None:
        session_member = decode_session(name, value) if value is not None else None
        if session_member is None:
            self._session_member_by_id.pop(name, None)
        else:
            self._session_member_by_id[name] = session_member
        self._freshness.set_members(self._session_member_by_id, now)

    def _handle_heartbeat(
        self, sender: str, heartbeat: Heartbeat, now: float
    ) -> list[Outgoing]:
        self._neighbours.record_heartbeat(sender, heartbeat, now)
        if self._freshness.handle_heartbeat(heartbeat, now):
            self._advance_heartbeat(now)
        self._leaving_servers.update_from_neighbour(heartbeat.leaving_servers, now)
        self._leaving_instances.update_from_neighbour(heartbeat.leaving, now)
        known_revision = max(heartbeat.revision, heartbeat.highest)
        if (
            known_revision <= self._freshness.revision
            or now < self._next_revision_notice_at
        ):
            return []
        self._next_revision_notice_at = now + REVISION_NOTICE_INTERVAL_S
        return self._notify(
            self._subscribers.revisions, PeerRevisionSeen(known_revision, sender)
        )

    def _advance_heartbeat(self, now: float) -> None:
        if self._freshness.outage_valid_until(now) <= now:
            self._next_heartbeat_at = min(
                self._next_heartbeat_at, now + OUTAGE_HEARTBEAT_DELAY_S
            )

    def _heartbeats(self, now: float) -> list[Outgoing]:
        return [
            Outgoing(Address(name, MEMBERSHIP_TASK), self._build_heartbeat(echo, now))
            for name, echo in self._neighbours.echo_by_recipient(now).items()
        ]

    def _build_heartbeat(self, echo: HeartbeatEcho, now: float) -> Heartbeat:
        age_s = self._freshness.evidence_age_s(now)
        leaving = self._leaving_instances.ids_to_propagate(now)
        if self._is_draining and self._id not in leaving:
            leaving = (self._id, *leaving)
        return Heartbeat(
            sent_ms=math.floor(now * 1000),
            echo_ms=echo.sent_ms,
            held_ms=echo.held_ms(now) if echo.sent_ms != UNKNOWN_MS else 0,
            revision=self._freshness.revision,
            highest=self._freshness.highest_known_revision,
            # Evidence that is too old to be useful is omitted.
            evidence_ms=math.ceil(age_s * 1000) if age_s < 10.0 else UNKNOWN_MS,
            leaving_servers=self._leaving_servers.ids_to_propagate(now),
            leaving=leaving,
            outage=self._freshness.statement_ages(now),
        )

    def _probe_head(self, now: float) -> list[Outgoing]:
        if (
            self._freshness.evidence_age_s(now) < PROBE_EVIDENCE_AGE_S
            or now < self._next_probe_at
        ):
            return []
        self._next_probe_at = now + PROBE_INTERVAL_S
        return self._notify(("kv",), ProbeHead())

    def _publish_changes(self, now: float) -> list[Outgoing]:
        reports_outage = self._freshness.reports_outage(now)
        if reports_outage and not self._reported_outage:
            self._advance_heartbeat(now)
        self._reported_outage = reports_outage
        return [
            *self._publish_members(),
            *self._publish_freshness(now),
            *self._publish_leaving(),
        ]

    def _publish_members(self) -> list[Outgoing]:
        draining_ids = self._leaving_instances.ids() | self._gone_instance_ids
        members = {**self._session_member_by_id, self._id: self._own_member}
        members = {
            name: attrs.evolve(
                member,
                draining=name in draining_ids
                or (name == self._id and self._is_draining),
            )
            for name, member in members.items()
        }
        if members == self._published_members:
            return []
        self._published_members = members
        self._neighbours.set_members(members)
        return self._notify(self._subscribers.members, MembershipChanged(members))

    def _publish_freshness(self, now: float) -> list[Outgoing]:
        fresh_until = self._freshness.current_until(now)
        outage = self._freshness.outage_valid_until(now) > now
        published = self._published_freshness
        message = FreshnessChanged(fresh_until > now, outage, fresh_until)
        has_moved = (
            message.is_fresh and fresh_until - published.fresh_until >= FRESHNESS_STEP_S
        )
        is_same = (message.is_fresh, outage) == (
            published.is_fresh,
            published.is_store_outage,
        )
        if is_same and not has_moved:
            return []
        self._published_freshness = message
        return self._notify(self._subscribers.freshness, message)

    def _publish_leaving(self) -> list[Outgoing]:
        message = LeavingChanged(
            self._leaving_servers.ids(),
            self._leaving_instances.ids(),
            self._gone_instance_ids,
        )
        if message == self._published_leaving:
            return []
        self._published_leaving = message
        return self._notify(self._subscribers.leaving, message)

    def _notify(self, tasks: tuple[str, ...], message: Message) -> list[Outgoing]:
        return [Outgoing(Address(self._id, task), message) for task in tasks]
