"""An in-memory key-value service for tests, with the test's clock."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TypeVar

import attrs
from gevent.event import Event

from siskinspool.store.kv import (
    KeyValueService,
    KvItem,
    Lease,
    LostAnswerError,
    SwapResult,
    UnavailableError,
    WatchEvent,
)

T = TypeVar("T")


@attrs.define
class InMemoryKeyValueService(KeyValueService):
    """Stores keys; `is_down`, `answers_to_lose` and `unblocked` inject faults."""

    now: Callable[[], float]
    items: dict[str, KvItem] = attrs.field(factory=dict)
    lease_by_key: dict[str, int] = attrs.field(factory=dict)
    # End of the time to live by lease id, and the time to live itself.
    expiry_by_lease: dict[int, float] = attrs.field(factory=dict)
    ttl_by_lease: dict[int, float] = attrs.field(factory=dict)
    log: list[WatchEvent] = attrs.field(factory=list)
    calls: list[str] = attrs.field(factory=list)
    is_down: bool = False
    # Longer times to live are not granted.
    longest_ttl_s: float = float("inf")
    answers_to_lose: int = 0
    era: int = 0
    # Calls block while this event is not set.
    unblocked: Event = attrs.field(factory=Event)
    _changed: Event = attrs.field(factory=Event)
    _watch_epoch: int = 0

    def __attrs_post_init__(self) -> None:
        self.unblocked.set()

    def expire(self) -> None:
        """Revoke the leases that have expired."""
        for lease, expires_at in list(self.expiry_by_lease.items()):
            if self.now() >= expires_at:
                self._end_lease(lease)

    def break_watches(self) -> None:
        """Break all watches."""
        self._watch_epoch += 1
        self._changed.set()

    def get(self, key: str) -> KvItem | None:
        self._begin_call("get")
        return self._deliver_answer(self.items.get(key))

    def list(self, prefix: str) -> tuple[KvItem, ...]:
        self._begin_call("list")
        found = [
            item
            for key, item in sorted(self.items.items())
            if prefix == key[: len(prefix)]
        ]
        return self._deliver_answer(tuple(found))

    def swap(
        self, key: str, expected_revision: int, value: bytes, lease_id: int | None
    ) -> SwapResult:
        self._begin_call("swap")
        if lease_id is not None and lease_id not in self.expiry_by_lease:
            raise LostAnswerError("no such lease")
        current = self._conflict(key, expected_revision)
        if current is not None:
            return self._deliver_answer(current)
        revision = self._append_event(key, value)
        self.items[key] = KvItem(key, value, revision)
        self.lease_by_key.pop(key, None)
        if lease_id is not None:
            self.lease_by_key[key] = lease_id
        return self._deliver_answer(SwapResult(True, value, revision))

    def delete(self, key: str, expected_revision: int) -> SwapResult:
        self._begin_call("delete")
        current = self._conflict(key, expected_revision)
        if current is not None:
            return self._deliver_answer(current)
        return self._deliver_answer(SwapResult(True, None, self._remove(key)))

    def grant_lease(self, ttl_s: float) -> Lease:
        self._begin_call("grant_lease")
        lease = 1000 + len(self.ttl_by_lease)
        applied_s = min(ttl_s, self.longest_ttl_s)
        self.ttl_by_lease[lease] = applied_s
        self.expiry_by_lease[lease] = self.now() + applied_s
        return self._deliver_answer(Lease(lease, applied_s))

    def keep_alive(self, lease_id: int) -> float | None:
        self._begin_call("keep_alive")
        if lease_id not in self.expiry_by_lease:
            return self._deliver_answer(None)
        ttl_s = self.ttl_by_lease[lease_id]
        self.expiry_by_lease[lease_id] = self.now() + ttl_s
        return self._deliver_answer(ttl_s)

    def revoke_lease(self, lease_id: int) -> None:
        self._begin_call("revoke_lease")
        self._end_lease(lease_id)

    def watch(self, prefix: str, from_revision: int) -> Iterator[WatchEvent]:
        self._begin_call("watch")
        epoch = self._watch_epoch
        position = 0
        while True:
            while position < len(self.log):
                event = self.log[position]
                position += 1
                matches = event.key is not None and event.key.startswith(prefix)
                if matches and event.revision >= from_revision:
                    yield event
            self._changed.clear()
            self._changed.wait()
            if epoch != self._watch_epoch:
                raise LostAnswerError("the watch was cut")

    def _begin_call(self, call: str) -> None:
        self.calls.append(call)
        self.unblocked.wait()
        if self.is_down:
            raise UnavailableError("the service is down")
        self.expire()

    def _deliver_answer(self, answer: T) -> T:
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            raise LostAnswerError("the answer was lost")
        return answer

    def _conflict(self, key: str, expected_revision: int) -> SwapResult | None:
        item = self.items.get(key)
        if (item.revision if item else 0) == expected_revision:
            return None
        if item is None:
            return SwapResult(False, None, 0)
        return SwapResult(False, item.value, item.revision)

    def _end_lease(self, lease: int) -> None:
        self.expiry_by_lease.pop(lease, None)
        for key, attached in list(self.lease_by_key.items()):
            if attached == lease:
                self._remove(key)

    def _remove(self, key: str) -> int:
        del self.items[key]
        self.lease_by_key.pop(key, None)
        return self._append_event(key, None)

    def _append_event(self, key: str, value: bytes | None) -> int:
        revision = len(self.log) + 1
        self.log.append(WatchEvent(key, value, revision))
        self._changed.set()
        return revision
