"""Compare-and-swap protocol for the server records of one ownership.

`RecordStore` takes over all records, holds one write per server at a time and resolves
lost answers. A takeover lists the records and rewrites (seals) each one with the new
epoch, also those of servers that have none yet. The revision moves, so every write of
a former owner fails from then on. Only when all are sealed is the store ready.

A write whose answer was lost is read back; its token tells whether it took effect. If
it has not, it may still do so later. The next write expects the same revision, so one
of the two fails, and a conflict hands over what the late one wrote.
"""

from __future__ import annotations

import itertools
from typing import Final

import attrs

from ..store.keys import SERVERS_PREFIX
from ..store.kv import (
    KvConflict,
    KvGet,
    KvItem,
    KvList,
    KvListing,
    KvLost,
    KvReply,
    KvRequest,
    KvSwap,
    KvSwapped,
    KvUnavailable,
    KvValue,
)
from .messages import SendOrder
from .record_encoding import RecordEncoding
from .reservations import Reservation, ServerRecord

# An outage of the service is retried this often, so that it is not flooded on return.
RETRY_S: Final = 0.5


@attrs.define
class _Slot:
    """One server's record and the write under way; private state."""

    record: ServerRecord | None = None
    revision: int = 0
    sealed: bool = False
    pending: ServerRecord | None = None
    orders: tuple[SendOrder, ...] = ()
    # Set while a request is under way.
    request_id: str = ""
    # Set while a lost write has to be read back.
    reading: bool = False
    # The stored value does not decode, so what it reserves is unknown.
    unreadable: bool = False


@attrs.frozen
class CommittedRecord:
    """A record as it stands now; the orders may be sent."""

    server_id: str
    orders: tuple[SendOrder, ...]
    # Reservations that the record does not hold any more.
    released: tuple[Reservation, ...] = ()


class RecordStore:
    """Records of all servers under one epoch."""

    def __init__(self, encoding: RecordEncoding, unique: str) -> None:
        self._encoding = encoding
        self._id_prefix = unique
        self._sequence = itertools.count(1)
        self._slot_by_server: dict[str, _Slot] = {}
        self._server_by_request: dict[str, str] = {}
        self._retry_at_by_server: dict[str, float] = {}
        self._unsealed: set[str] = set()
        self._list_request = ""
        self._list_retry_at: float | None = None
        self._is_listed = False
        self.epoch = 0
        # A record names a later epoch: this ownership is over.
        self.is_superseded = False
        self.requests: list[KvRequest] = []
        self.committed: list[CommittedRecord] = []

    def take_over(self, epoch: int) -> None:
        """Start anew: list all records, to seal them."""
        self.reset()
        self.epoch = epoch
        self._send_list()

    def reset(self) -> None:
        """Forget everything; answers still under way are not recognised any more."""
        self._slot_by_server.clear()
        self._server_by_request.clear()
        self._retry_at_by_server.clear()
        self._unsealed.clear()
        self._list_request = ""
        self._list_retry_at = None
        self._is_listed = False
        self.is_superseded = False
        self.requests.clear()
        self.committed.clear()

    def seal_missing(self, server_ids: set[str]) -> None:
        """Seal records of servers that have none yet."""
        for server_id in sorted(server_ids - self._slot_by_server.keys()):
            self._slot_by_server[server_id] = _Slot()
            self._seal(server_id)

    def is_listed(self) -> bool:
        """Return whether the present records are known."""
        return self._is_listed

    def is_ready(self) -> bool:
        """Return whether every record is sealed."""
        return self._is_listed and not self.is_superseded and not self._unsealed

    def server_ids(self) -> list[str]:
        """Return the servers with a record."""
        return list(self._slot_by_server)

    def record(self, server_id: str) -> ServerRecord | None:
        """Return a sealed record as last committed."""
        slot = self._slot_by_server.get(server_id)
        return slot.record if slot is not None and slot.sealed else None

    def pending_or_current(self, server_id: str) -> ServerRecord | None:
        """Return the record with the write under way, if there is one."""
        slot = self._slot_by_server.get(server_id)
        if slot is None or not slot.sealed:
            return None
        return slot.pending or slot.record

    def has_pending_write(self, server_id: str) -> bool:
        """Return whether a write of the record is under way or has to wait."""
        slot = self._slot_by_server.get(server_id)
        return slot is None or not slot.sealed or slot.pending is not None

    def write(
        self, server_id: str, record: ServerRecord, orders: tuple[SendOrder, ...] = ()
    ) -> None:
        """Start a decision's write; its orders come with `CommittedRecord`."""
        slot = self._slot_by_server[server_id]
        slot.orders = orders
        self._swap(server_id, slot, record)

    def handle(self, reply: KvReply, now: float) -> None:
        """Take in an answer of the key-value service."""
        if reply.request_id == self._list_request:
            self._on_listing(reply, now)
            return
        server_id = self._server_by_request.pop(reply.request_id, None)
        if server_id is None:
            return
        slot = self._slot_by_server[server_id]
        slot.request_id = ""
        match reply:
            case KvSwapped():
                self._commit(server_id, slot, reply.revision)
            case KvConflict() | KvValue():
                self._adopt(server_id, slot, reply.value, reply.revision)
            case KvLost():
                # A lost read waits; a lost write is read back at once.
                delay_s = RETRY_S if slot.reading else 0.0
                slot.reading = True
                self._retry_at_by_server[server_id] = now + delay_s
            case KvUnavailable():
                self._retry_at_by_server[server_id] = now + RETRY_S

    def on_time(self, now: float) -> None:
        """Repeat what is due."""
        if self._list_retry_at is not None and now >= self._list_retry_at:
            self._send_list()
        due = [s for s, at in self._retry_at_by_server.items() if now >= at]
        for server_id in due:
            del self._retry_at_by_server[server_id]
            self._retry(server_id, self._slot_by_server[server_id])

    def wake_at(self) -> float | None:
        """Return when the next repetition is due."""
        times = list(self._retry_at_by_server.values())
        if self._list_retry_at is not None:
            times.append(self._list_retry_at)
        return min(times, default=None)

    def _send_list(self) -> None:
        self._list_retry_at = None
        self._list_request = self._next_id()
        self.requests.append(KvList(self._list_request, SERVERS_PREFIX))

    def _on_listing(self, reply: KvReply, now: float) -> None:
        self._list_request = ""
        if not isinstance(reply, KvListing):
            self._list_retry_at = now + RETRY_S
            return
        self._is_listed = True
        for item in reply.items:
            self._load_item(item)

    def _load_item(self, item: KvItem) -> None:
        server_id = item.key.removeprefix(SERVERS_PREFIX)
        slot = self._slot_by_server.setdefault(server_id, _Slot())
        self._adopt(server_id, slot, item.value, item.revision)

    def _seal(self, server_id: str) -> None:
        slot = self._slot_by_server[server_id]
        slot.sealed = False
        self._unsealed.add(server_id)
        slot.orders = ()
        self._swap(server_id, slot, slot.record or ServerRecord(self.epoch))

    def _swap(self, server_id: str, slot: _Slot, record: ServerRecord) -> None:
        token = self._next_id()
        slot.pending = attrs.evolve(record, epoch=self.epoch, token=token)
        self._track(server_id, slot, token)
        value = self._encoding.encode(slot.pending)
        key = SERVERS_PREFIX + server_id
        self.requests.append(KvSwap(token, key, slot.revision, value))

    def _retry(self, server_id: str, slot: _Slot) -> None:
        if slot.reading:
            request_id = self._next_id()
            self._track(server_id, slot, request_id)
            self.requests.append(KvGet(request_id, SERVERS_PREFIX + server_id))
        elif not slot.sealed:
            self._seal(server_id)
        else:
            # A decision that was not recorded is made afresh, from what holds now.
            self._abandon(server_id, slot)

    def _track(self, server_id: str, slot: _Slot, request_id: str) -> None:
        slot.request_id = request_id
        self._server_by_request[request_id] = server_id

    def _abandon(self, server_id: str, slot: _Slot) -> None:
        slot.pending = None
        slot.orders = ()
        self.committed.append(CommittedRecord(server_id, ()))

    def _commit(self, server_id: str, slot: _Slot, revision: int) -> None:
        if slot.pending is None:
            return
        before = slot.record.reservations if slot.record is not None else ()
        slot.record = slot.pending.with_fences(revision)
        kept = {entry.replica_id for entry in slot.record.reservations}
        released = tuple(entry for entry in before if entry.replica_id not in kept)
        slot.revision = revision
        slot.sealed = True
        self._unsealed.discard(server_id)
        slot.pending = None
        slot.reading = False
        orders = tuple(attrs.evolve(order, fence=revision) for order in slot.orders)
        slot.orders = ()
        self.committed.append(CommittedRecord(server_id, orders, released))

    def _adopt(
        self, server_id: str, slot: _Slot, value: bytes | None, revision: int
    ) -> None:
        """Go on from what the service holds."""
        slot.reading = False
        record = self._encoding.decode(value) if value is not None else None
        if record is not None and record.epoch > self.epoch:
            self.is_superseded = True
            return
        if record and slot.pending and record.token == slot.pending.token:
            self._commit(server_id, slot, revision)
            return
        if record is None and value is not None:
            # An undecodable record hides what it reserves: use no such server.
            slot.unreadable = True
            slot.sealed = False
            slot.pending = None
            self._unsealed.discard(server_id)
            return
        unchanged = slot.sealed and revision == slot.revision
        if unchanged:
            self._abandon(server_id, slot)
            return
        slot.revision = revision
        if record is not None:
            slot.record = record.with_fences(revision)
        self._seal(server_id)

    def _next_id(self) -> str:
        return f"placement:{self._id_prefix}:{next(self._sequence)}"
