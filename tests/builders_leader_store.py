"""A simulated store for tests of the leadership: one key, sessions and returns."""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs

from siskinspool.gateway.leadership import LEADER_KEY
from siskinspool.store.kv import (
    KvChanged,
    KvConflict,
    KvDelete,
    KvDeleted,
    KvReply,
    KvSwap,
    KvSwapped,
    KvUnavailable,
)
from siskinspool.store.revision import make_revision, number_of

SESSION_TTL_S: Final = 2.5
LONGEST_COPY_AGE_S: Final = 9.0


@attrs.frozen
class StoredKey:
    """The leader's key and the lease that it is attached to."""

    value: bytes
    revision: int
    lease_id: int


@attrs.frozen
class _StoreCopy:
    made_at: float
    number: int
    key: StoredKey | None
    expiry_by_lease: dict[int, float]
    lease_by_instance: dict[str, int]
    next_lease_id: int


@attrs.define
class LeaderStore:
    """The leader's key and the sessions; times are in seconds."""

    era: int = 1
    number: int = 10
    key: StoredKey | None = None
    expiry_by_lease: dict[int, float] = attrs.field(factory=dict)
    lease_by_instance: dict[str, int] = attrs.field(factory=dict)
    # Changes of the key in this era.
    changes: list[KvChanged] = attrs.field(factory=list)
    _copies: deque[_StoreCopy] = attrs.field(factory=deque)
    _next_lease_id: int = 1

    @property
    def revision(self) -> int:
        """The revision of the last change."""
        return make_revision(self.era, self.number)

    def advance(self, now: float) -> None:
        """End the sessions that have expired, and keep a copy."""
        for lease_id, expires_at in list(self.expiry_by_lease.items()):
            if now >= expires_at:
                self.end_session(lease_id)
        self._copies.append(
            _StoreCopy(
                now,
                self.number,
                self.key,
                {one: at - now for one, at in self.expiry_by_lease.items()},
                dict(self.lease_by_instance),
                self._next_lease_id,
            )
        )
        while self._copies[0].made_at < now - LONGEST_COPY_AGE_S:
            self._copies.popleft()

    def renew_session(self, instance_id: str, lease_id: int | None, now: float) -> int:
        """Renew a session, or open a new one; return its lease."""
        is_open = self.lease_by_instance.get(instance_id) == lease_id
        if lease_id is None or lease_id not in self.expiry_by_lease or not is_open:
            lease_id = self._next_lease_id
            self._next_lease_id += 1
        self.expiry_by_lease[lease_id] = now + SESSION_TTL_S
        self.lease_by_instance[instance_id] = lease_id
        return lease_id

    def end_session(self, lease_id: int) -> None:
        """End a session and what is attached to it."""
        self.expiry_by_lease.pop(lease_id, None)
        if self.key is not None and self.key.lease_id == lease_id:
            self._write(None, 0)
        for instance_id, one in list(self.lease_by_instance.items()):
            if one == lease_id:
                del self.lease_by_instance[instance_id]

    def return_from_copy(self, age_s: float, now: float) -> None:
        """Return from a copy of an age, with all leases as they were."""
        copies = [one for one in self._copies if one.made_at <= now - age_s]
        if not copies:
            return
        copy = copies[-1]
        self.era += 1
        self.number = copy.number
        self.key = copy.key and attrs.evolve(
            copy.key, revision=make_revision(self.era, number_of(copy.key.revision))
        )
        self.expiry_by_lease = {
            one: now + left_s for one, left_s in copy.expiry_by_lease.items()
        }
        self.lease_by_instance = dict(copy.lease_by_instance)
        # The ids of the leases that it lacks are given out again.
        self._next_lease_id = copy.next_lease_id
        self.changes.clear()
        self._copies.clear()

    def execute(self, request: KvSwap | KvDelete, lease_id: int | None) -> KvReply:
        """Execute a request for the key and return the reply."""
        request_id, key = request.request_id, request.key
        if isinstance(request, KvSwap) and lease_id not in self.expiry_by_lease:
            return KvUnavailable(request_id, key)
        if request.expected_revision != (self.key.revision if self.key else 0):
            value = self.key.value if self.key else None
            revision = self.key.revision if self.key else 0
            return KvConflict(request_id, key, value, revision)
        if isinstance(request, KvDelete):
            self._write(None, 0)
            return KvDeleted(request_id, key)
        self._write(request.value, lease_id or 0)
        return KvSwapped(request_id, key, self.revision)

    def _write(self, value: bytes | None, lease_id: int) -> None:
        self.number += 1
        if value is None:
            self.key = None
        else:
            self.key = StoredKey(value, self.revision, lease_id)
        self.changes.append(KvChanged(LEADER_KEY, value, self.revision))
