"""The data of the key-value stand-in: keys with revisions, leases and watches.

`KvStore` does no I/O; times are passed in. Each change gets the next revision and goes
to the history, from which a watch starts, and to the queues of open watches.
"""

from __future__ import annotations

import itertools
from collections import deque
from typing import Final

import attrs
from gevent.queue import Queue

HISTORY_CHANGES: Final = 100_000


@attrs.frozen
class Entry:
    """A key with its value; ``value`` is None in the record of a deletion."""

    key: bytes
    value: bytes | None
    mod_revision: int
    create_revision: int
    lease_id: int


@attrs.define
class Lease:
    """A lease and the time at which it ends unless renewed."""

    lease_id: int
    ttl_s: float
    expires_at: float


@attrs.define(eq=False)
class Watch:
    """An open watch on a key range."""

    start: bytes
    end: bytes
    queue: Queue[Entry]

    def covers(self, key: bytes) -> bool:
        """Tell whether a key lies in the range."""
        return self.start <= key < self.end


class KvStore:
    """Keys, leases and watches of the stand-in."""

    def __init__(self) -> None:
        self.revision = 1
        self._entry_by_key: dict[bytes, Entry] = {}
        self._lease_by_id: dict[int, Lease] = {}
        self._lease_ids = itertools.count(7_000)
        self._history: deque[Entry] = deque(maxlen=HISTORY_CHANGES)
        self._watches: set[Watch] = set()

    def get(self, key: bytes) -> Entry | None:
        """Return a key or None."""
        return self._entry_by_key.get(key)

    def range(self, start: bytes, end: bytes) -> list[Entry]:
        """Return the keys in a range, in order."""
        keys = sorted(key for key in self._entry_by_key if start <= key < end)
        return [self._entry_by_key[key] for key in keys]

    def put(self, key: bytes, value: bytes, lease_id: int) -> int:
        """Write a key and return the new revision; raise KeyError without lease."""
        if lease_id and lease_id not in self._lease_by_id:
            raise KeyError("requested lease not found")
        old = self._entry_by_key.get(key)
        self.revision += 1
        created = old.create_revision if old else self.revision
        self._record(Entry(key, value, self.revision, created, lease_id))
        return self.revision

    def delete(self, key: bytes) -> int:
        """Delete a key if it exists and return the revision."""
        old = self._entry_by_key.get(key)
        if old is not None:
            self.revision += 1
            self._record(Entry(key, None, self.revision, old.create_revision, 0))
        return self.revision

    def grant_lease(self, ttl_s: float, now: float) -> int:
        """Return the id of a new lease."""
        lease_id = next(self._lease_ids)
        self._lease_by_id[lease_id] = Lease(lease_id, ttl_s, now + ttl_s)
        return lease_id

    def keep_lease_alive(self, lease_id: int, now: float) -> float:
        """Renew a lease and return its time to live, 0 if it is gone."""
        lease = self._lease_by_id.get(lease_id)
        if lease is None:
            return 0.0
        lease.expires_at = now + lease.ttl_s
        return lease.ttl_s

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        self._lease_by_id.pop(lease_id, None)
        for entry in list(self._entry_by_key.values()):
            if entry.lease_id == lease_id:
                self.delete(entry.key)

    def expire_leases(self, now: float) -> None:
        """End the leases whose time has passed."""
        for lease in list(self._lease_by_id.values()):
            if lease.expires_at <= now:
                self.revoke_lease(lease.lease_id)

    def open_watch(self, start: bytes, end: bytes, from_revision: int) -> Watch:
        """Open a watch that first gets the changes since a revision."""
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
