"""In-memory key-value store of the stand-ins: keys with revisions, leases and watches.

`KvStore` does no I/O; the caller passes the time. Each change gets the next revision
and is appended to the history, from which new watches are filled, and to the queues of
open watches.
"""

from __future__ import annotations

from collections import deque
from typing import Final

import attrs
from gevent.queue import Queue

HISTORY_CHANGES: Final = 100_000
FIRST_LEASE_ID: Final = 7_000


@attrs.frozen
class Entry:
    """A key with its value and revisions; ``value`` is None for a deletion."""

    key: bytes
    value: bytes | None
    mod_revision: int
    create_revision: int
    lease_id: int


@attrs.define
class Lease:
    """A lease and the time at which it expires unless it is renewed."""

    lease_id: int
    ttl_s: float
    expires_at: float


@attrs.frozen
class StoreCopy:
    """The state of a store at one moment."""

    revision: int
    entry_by_key: dict[bytes, Entry]
    ttl_s_by_lease_id: dict[int, float]
    next_lease_id: int


@attrs.define(eq=False)
class Watch:
    """An open watch on a key range."""

    start: bytes
    end: bytes
    queue: Queue[Entry]

    def covers(self, key: bytes) -> bool:
        """Return whether a key lies in the range."""
        return self.start <= key < self.end


class KvStore:
    """Keys, leases and watches with a single revision counter."""

    def __init__(self) -> None:
        self.revision = 1
        self._entry_by_key: dict[bytes, Entry] = {}
        self._lease_by_id: dict[int, Lease] = {}
        self._next_lease_id = FIRST_LEASE_ID
        self._history: deque[Entry] = deque(maxlen=HISTORY_CHANGES)
        self._watches: set[Watch] = set()

    def get(self, key: bytes) -> Entry | None:
        """Return the entry of a key, None if there is none."""
        return self._entry_by_key.get(key)

    def range(self, start: bytes, end: bytes) -> list[Entry]:
        """Return the entries of a key range in the order of their keys."""
        keys = sorted(key for key in self._entry_by_key if start <= key < end)
        return [self._entry_by_key[key] for key in keys]

    def put(self, key: bytes, value: bytes, lease_id: int) -> int:
        """Write a key and return the new revision.

        Raises KeyError if a lease is given that does not exist.
        """
        if lease_id and lease_id not in self._lease_by_id:
            raise KeyError("requested lease not found")
        previous = self._entry_by_key.get(key)
        self.revision += 1
        created = previous.create_revision if previous else self.revision
        self._record(Entry(key, value, self.revision, created, lease_id))
        return self.revision

    def delete(self, key: bytes) -> int:
        """Delete a key if it exists and return the current revision."""
        previous = self._entry_by_key.get(key)
        if previous is not None:
            self.revision += 1
            self._record(Entry(key, None, self.revision, previous.create_revision, 0))
        return self.revision

    def grant_lease(self, ttl_s: float, now: float) -> int:
        """Create a lease and return its id."""
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._lease_by_id[lease_id] = Lease(lease_id, ttl_s, now + ttl_s)
        return lease_id

    def keep_lease_alive(self, lease_id: int, now: float) -> float:
        """Renew a lease and return its time to live, 0 if it does not exist."""
        lease = self._lease_by_id.get(lease_id)
        if lease is None:
            return 0.0
        lease.expires_at = now + lease.ttl_s
        return lease.ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """Remove a lease and delete its keys."""
        self._lease_by_id.pop(lease_id, None)
        for entry in list(self._entry_by_key.values()):
            if entry.lease_id == lease_id:
                self.delete(entry.key)

    def expire_leases(self, now: float) -> None:
        """Revoke the leases that have expired."""
        for lease in list(self._lease_by_id.values()):
            if lease.expires_at <= now:
                self.revoke_lease(lease.lease_id)

    def copy(self) -> StoreCopy:
        """Return a copy of the present state."""
        return StoreCopy(
            self.revision,
            dict(self._entry_by_key),
            {lease.lease_id: lease.ttl_s for lease in self._lease_by_id.values()},
            self._next_lease_id,
        )

    def return_from(self, copy: StoreCopy, now: float) -> None:
        """Go back to a copy: revisions and lease ids are given out again.

        The leases of the copy run for their whole time again.
        """
        self.revision = copy.revision
        self._entry_by_key = dict(copy.entry_by_key)
        self._lease_by_id = {
            lease_id: Lease(lease_id, ttl_s, now + ttl_s)
            for lease_id, ttl_s in copy.ttl_s_by_lease_id.items()
        }
        self._next_lease_id = copy.next_lease_id
        kept = (one for one in self._history if one.mod_revision <= copy.revision)
        self._history = deque(kept, maxlen=HISTORY_CHANGES)

    def open_watch(self, start: bytes, end: bytes, from_revision: int) -> Watch:
        """Open a watch whose queue starts with the changes since a revision.

        A revision of 0 starts the watch with no earlier changes.
        """
        watch = Watch(start, end, Queue())
        if from_revision > 0:
            for entry in self._history:
                if entry.mod_revision >= from_revision and watch.covers(entry.key):
                    watch.queue.put(entry)
        self._watches.add(watch)
        return watch

    def close_watch(self, watch: Watch) -> None:
        """Close a watch."""
        self._watches.discard(watch)

    def _record(self, entry: Entry) -> None:
        if entry.value is None:
            del self._entry_by_key[entry.key]
        else:
            self._entry_by_key[entry.key] = entry
        self._history.append(entry)
        for watch in self._watches:
            if watch.covers(entry.key):
                watch.queue.put(entry)
