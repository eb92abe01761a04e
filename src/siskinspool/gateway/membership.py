"""The ``members`` decision: the gateways with a session in the store.

Members come from the session keys that the ``kv`` task watches. Watchers are notified
of each change. While the store cannot be watched, the last known members are kept: no
gateway can join or leave without the store, and a failed member is detected by its
missing answers.
"""

from __future__ import annotations

import logging

from ..core.decision import Decision
from ..core.member import Member, MembershipChanged
from ..core.message import Address, Incoming, Outgoing
from ..core.status import Status
from ..store.keys import SESSION_PREFIX
from ..store.kv import KvChanged
from ..store.session_keeper import decode_session
from ..telemetry.logs import log_event

logger = logging.getLogger(__name__)


class MembershipTracker(Decision):
    """Tracks the membership through the session keys."""

    def __init__(self, own_member: Member, watchers: tuple[str, ...]) -> None:
        """Initialize with this gateway's member and the tasks to notify of changes."""
        self._own_member = own_member
        self._watchers = watchers
        self._member_by_id: dict[str, Member] = {own_member.instance_id: own_member}

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a change of a session key."""
        match incoming.message:
            case KvChanged(key, value, _) if key.startswith(SESSION_PREFIX):
                return self._update_member(key.removeprefix(SESSION_PREFIX), value)
        return []

    def _update_member(self, instance_id: str, value: bytes | None) -> list[Outgoing]:
        if instance_id == self._own_member.instance_id:
            return []
        member = None if value is None else decode_session(instance_id, value)
        if value is not None and member is None:
            log_event(logger, logging.WARNING, "member_unreadable", member=instance_id)
        if member is None:
            removed = self._member_by_id.pop(instance_id, None)
            if removed is None:
                return []
        elif self._member_by_id.get(instance_id) == member:
            return []
        else:
            self._member_by_id[instance_id] = member
        log_event(
            logger,
            logging.INFO,
            "members_changed",
            member=instance_id,
            present=member is not None,
            members=len(self._member_by_id),
        )
        changed = MembershipChanged(dict(self._member_by_id))
        return [
            Outgoing(Address(self._own_member.instance_id, task), changed)
            for task in self._watchers
        ]

    def status(self, now: float) -> Status:
        """Return the members' ids."""
        return {"members": sorted(self._member_by_id)}
