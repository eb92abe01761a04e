"""Compare-and-swap protocol for the server records of one ownership.

`RecordStore` takes over all records, allows one write per server at a time and resolves
lost answers. A takeover lists the records and rewrites (seals) each one with the new
epoch, and creates those of servers without a record. This changes the revision, so
every later write of a former owner fails. The store is ready only when all records are
sealed.

A write whose answer was lost is read back; its token shows whether it took effect. If
it has not, it may still do so later. The next write expects the same revision, so one
of the two fails, and a conflict returns the value of the late write.
"""

from __future__ import annotations

import itertools
from typing import Final

import attrs

from ..store.keys import SERVERS_PREFIX
from ..store.kv import (
    KvAnswerLost,
    KvConflict,
    KvGet,
    KvItem,
    KvList,
    KvListing,
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

# Retry interval during an outage of the key-value service, which limits the burst of
# requests when it returns.
RETRY_S: Final = 0.5


@attrs.define
class _RecordSlot:
    """One server's record and its pending write."""

    record: ServerRecord | None = None
    revision: int = 0
    is_sealed: bool = False
    pending_record: ServerRecord | None = None
    orders: tuple[SendOrder, ...] = ()
    # Set while a request is pending.
    request_id: str = ""
    # Set while a lost write has to be read back.
    needs_read_back: bool = False
    # The stored value cannot be decoded, so its reservations are unknown.
    is_unreadable: bool = False


@attrs.frozen
class CommittedRecord:
    """A committed or abandoned write of a record, with the orders to send."""

    server_id: str
    orders: tuple[SendOrder, ...]
    # Reservations that are no longer in the record.
    released: tuple[Reservation, ...] = ()


class RecordStore:
    """The records of all servers under one epoch."""

    def __init__(self, encoding: RecordEncoding, id_prefix: str) -> None:
        self._encoding = encoding
        self._id_prefix = id_prefix
        self._sequence = itertools.count(1)
        self._slot_by_server: dict[str, _RecordSlot] = {}
        self._server_by_request: dict[str, str] = {}
        self._retry_at_by_server: dict[str, float] = {}
        self._unsealed: set[str] = set()
        self._list_request = ""
        self._list_retry_at: float | None = None
        self._is_listed = False
        self.epoch = 0
        # A record contains a later epoch, so this ownership has ended.
        self.is_superseded = False
        self.requests: list[KvRequest] = []
        self.committed: list[CommittedRecord] = []

    def take_over(self, epoch: int) -> None:
        """Reset the state, then list all records to seal them."""
        self.reset()
        self.epoch = epoch
        self._send_list()

    def reset(self) -> None:
        """Clear all state; answers to pending requests will be ignored."""
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
        """Create sealed records for servers that have none yet."""
        for server_id in sorted(server_ids - self._slot_by_server.keys()):
            self._slot_by_server[server_id] = _RecordSlot()
            self._seal(server_id)

    def is_listed(self) -> bool:
        """Return whether the existing records were listed."""
        return self._is_listed

    def is_ready(self) -> bool:
        """Return whether every record is sealed."""
        return self._is_listed and not self.is_superseded and not self._unsealed

    def server_ids(self) -> list[str]:
        """Return the servers with a record."""
        return list(self._slot_by_server)

    def record(self, server_id: str) -> ServerRecord | None:
        """Return a server's record as last committed; None if it is not sealed."""
        slot = self._slot_by_server.get(server_id)
        return slot.record if slot is not None and slot.is_sealed else None

    def pending_or_current(self, server_id: str) -> ServerRecord | None:
        """Return the pending record if a write is pending, else the committed one."""
        slot = self._slot_by_server.get(server_id)
        if slot is None or not slot.is_sealed:
            return None
        return slot.pending_record or slot.record

    def has_pending_write(self, server_id: str) -> bool:
        """Return whether the record cannot be written now."""
        slot = self._slot_by_server.get(server_id)
        return slot is None or not slot.is_sealed or slot.pending_record is not None

    def write(
        self, server_id: str, record: ServerRecord, orders: tuple[SendOrder, ...] = ()
    ) -> None:
        """Start to write a decision; its orders are returned in `CommittedRecord`."""
        slot = self._slot_by_server[server_id]
        slot.orders = orders
        self._swap(server_id, slot, record)

    def handle(self, reply: KvReply, now: float) -> None:
        """Handle an answer of the key-value service."""
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
            case KvAnswerLost():
                # A lost read is delayed; a lost write is read back at once.
                delay_s = RETRY_S if slot.needs_read_back else 0.0
                slot.needs_read_back = True
                self._retry_at_by_server[server_id] = now + delay_s
            case KvUnavailable():
                self._retry_at_by_server[server_id] = now + RETRY_S

    def on_time(self, now: float) -> None:
        """Retry the requests that are due."""
        if self._list_retry_at is not None and now >= self._list_retry_at:
            self._send_list()
        due = [s for s, at in self._retry_at_by_server.items() if now >= at]
        for server_id in due:
            del self._retry_at_by_server[server_id]
            self._retry(server_id, self._slot_by_server[server_id])

    def wake_at(self) -> float | None:
        """Return when the next retry is due."""
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
        slot = self._slot_by_server.setdefault(server_id, _RecordSlot())
        self._adopt(server_id, slot, item.value, item.revision)

    def _seal(self, server_id: str) -> None:
        slot = self._slot_by_server[server_id]
        slot.is_sealed = False
        self._unsealed.add(server_id)
        slot.orders = ()
        self._swap(server_id, slot, slot.record or ServerRecord(self.epoch))

    def _swap(self, server_id: str, slot: _RecordSlot, record: ServerRecord) -> None:
        token = self._next_id()
        slot.pending_record = attrs.evolve(record, epoch=self.epoch, token=token)
        self._track(server_id, slot, token)
        value = self._encoding.encode(slot.pending_record)
        key = SERVERS_PREFIX + server_id
        self.requests.append(KvSwap(token, key, slot.revision, value))

    def _retry(self, server_id: str, slot: _RecordSlot) -> None:
        if slot.needs_read_back:
            request_id = self._next_id()
            self._track(server_id, slot, request_id)
            self.requests.append(KvGet(request_id, SERVERS_PREFIX + server_id))
        elif not slot.is_sealed:
            self._seal(server_id)
        else:
            # A decision that was not written is abandoned and made again from the
            # current state.
            self._abandon(server_id, slot)

    def _track(self, server_id: str, slot: _RecordSlot, request_id: str) -> None:
        slot.request_id = request_id
        self._server_by_request[request_id] = server_id

    def _abandon(self, server_id: str, slot: _RecordSlot) -> None:
        slot.pending_record = None
        slot.orders = ()
        self.committed.append(CommittedRecord(server_id, ()))

    def _commit(self, server_id: str, slot: _RecordSlot, revision: int) -> None:
        if slot.pending_record is None:
            return
        former_reservations = (
            slot.record.reservations if slot.record is not None else ()
        )
        slot.record = slot.pending_record.with_fences(revision)
        kept = {entry.replica_id for entry in slot.record.reservations}
        released = tuple(
            entry for entry in former_reservations if entry.replica_id not in kept
        )
        slot.revision = revision
        slot.is_sealed = True
        self._unsealed.discard(server_id)
        slot.pending_record = None
        slot.needs_read_back = False
        orders = tuple(attrs.evolve(order, fence=revision) for order in slot.orders)
        slot.orders = ()
        self.committed.append(CommittedRecord(server_id, orders, released))

    def _adopt(
        self, server_id: str, slot: _RecordSlot, value: bytes | None, revision: int
    ) -> None:
        """Continue from the value that the service has stored."""
        slot.needs_read_back = False
        record = self._encoding.decode(value) if value is not None else None
        if record is not None and record.epoch > self.epoch:
            self.is_superseded = True
            return
        if record and slot.pending_record and record.token == slot.pending_record.token:
            self._commit(server_id, slot, revision)
            return
        if record is None and value is not None:
            # The reservations of an undecodable record are unknown: do not use the
            # server.
            slot.is_unreadable = True
            slot.is_sealed = False
            slot.pending_record = None
            self._unsealed.discard(server_id)
            return
        unchanged = slot.is_sealed and revision == slot.revision
        if unchanged:
            self._abandon(server_id, slot)
            return
        slot.revision = revision
        if record is not None:
            slot.record = record.with_fences(revision)
        self._seal(server_id)

    def _next_id(self) -> str:
        return f"placement:{self._id_prefix}:{next(self._sequence)}"
