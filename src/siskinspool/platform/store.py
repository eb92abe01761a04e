"""Key-value service backed by the platform's metadata store.

Calls are HTTP/1.1 with JSON bodies; values are encoded as base64. Statuses: 503 and 429
mean that nothing was done, 412 is a conflict, 404 a missing key or lease, 410 a watch
whose start revision is no longer available. A call without an answer raises
LostAnswerError, because it may still take effect.
"""

from __future__ import annotations

import base64
import binascii
from collections.abc import Iterator
from typing import Any, Final, TypeVar
from urllib.parse import quote

import gevent
import msgspec

from ..core.malformed import MALFORMED_ERRORS
from ..settings import Endpoint
from ..store.bounded_client import BoundedClient
from ..store.kv import (
    KeyValueService,
    KvItem,
    Lease,
    LostAnswerError,
    Snapshot,
    SwapResult,
    UnavailableError,
    WatchEvent,
)

CONNECT_TIMEOUT_S: Final = 0.5
# The store answers in milliseconds; a connection may also fail without a reset.
CALL_TIMEOUT_S: Final = 1.0
CONNECTIONS: Final = 4
# A long poll returns at least this often, so that a silent connection is detected
# within the time after which a machine counts as disconnected (3 s).
WATCH_WAIT_S: Final = 2.2
WATCH_MARGIN_S: Final = 0.4
# A page has at most one value of 1 MB more than its 1 MB, encoded as base64.
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
_JSON_HEADERS: Final = {"Content-Type": "application/json"}

Json = dict[str, Any]
_Field = TypeVar("_Field")


class _Item(msgspec.Struct):
    """A key in an answer; without a value it does not exist or was removed."""

    key: str
    rev: int | None = None
    value: str | None = None
    removed: bool | int = False


class _Answer(msgspec.Struct):
    """The fields of all answers.

    Only these are decoded: other JSON could take many times the memory of its bytes.
    """

    key: str | None = None
    rev: int | None = None
    value: str | None = None
    items: list[_Item] | None = None
    events: list[_Item] | None = None
    current_rev: int | None = None
    truncated: bool | int = False
    lease: int | None = None
    ttl_ms: int | None = None


_answer_decoder: Final = msgspec.json.Decoder(_Answer)


class PlatformStore(KeyValueService):
    """Adapter to the platform's store."""

    def __init__(
        self,
        store: Endpoint,
        watch_pause_s: float = 0.0,
        watch_wait_s: float = WATCH_WAIT_S,
    ) -> None:
        """Initialize with the address, and the pause and wait time of watch calls."""
        self._store = store
        self._watch_wait_s = watch_wait_s
        self._watch_pause_s = watch_pause_s
        self._client = self._new_client(CALL_TIMEOUT_S, CONNECTIONS)

    def get(self, key: str) -> KvItem | None:
        """Return the item of a key, or None if it does not exist."""
        status, answer = self._call("GET", f"/-/kv-key?key={quote(key, safe='')}")
        if status == 404:
            return None
        key = _required(answer.key, "key")
        return _decode_item(_Item(key, answer.rev, answer.value))

    def list(self, prefix: str) -> tuple[KvItem, ...]:
        """Return the keys with a prefix, in key order."""
        return self.snapshot(prefix).items

    def snapshot(self, prefix: str) -> Snapshot:
        """Return the keys with a prefix and the revision to watch from.

        The keys are read in pages; the revision is that of the first page, so that a
        watch from there misses no change made between the pages.
        """
        # A listing often follows a failure, after which idle connections may be silent.
        client = self._new_client(CALL_TIMEOUT_S, 1)
        try:
            return self._read_pages(client, prefix)
        finally:
            client.close()

    def _read_pages(self, client: BoundedClient, prefix: str) -> Snapshot:
        items: list[KvItem] = []
        revision: int | None = None
        path = f"/-/kv-range?prefix={quote(prefix, safe='')}"
        after = ""
        while True:
            _, answer = _send(client, "GET", path + after, None)
            items += [_decode_item(item) for item in _required(answer.items, "items")]
            if revision is None:
                revision = _required(answer.current_rev, "current_rev")
            if not answer.truncated or not items:
                return Snapshot(tuple(items), revision)
            after = f"&after={quote(items[-1].key, safe='')}"

    def swap(
        self, key: str, expected_revision: int, value: bytes, lease_id: int | None
    ) -> SwapResult:
        """Write a key if its revision is the expected one."""
        write: Json = {"key": key, "value": base64.b64encode(value).decode("ascii")}
        if lease_id is not None:
            write["lease"] = lease_id
        result = self._transaction(key, expected_revision, {"writes": [write]}, value)
        if not result.succeeded and result.value == value and expected_revision == 0:
            # An earlier send of this write took effect and its answer was lost.
            return SwapResult(True, value, result.revision)
        return result

    def delete(self, key: str, expected_revision: int) -> SwapResult:
        """Delete a key if its revision is the expected one."""
        return self._transaction(key, expected_revision, {"remove": [key]}, None)

    def grant_lease(self, ttl_s: float) -> Lease:
        """Return a new lease; ``ttl_s`` is the requested time to live."""
        _, answer = self._call("POST", "/-/kv-lease", {"ttl_ms": round(ttl_s * 1000)})
        return Lease(
            lease_id=_required(answer.lease, "lease"),
            ttl_s=_required(answer.ttl_ms, "ttl_ms") / 1000,
        )

    def keep_alive(self, lease_id: int) -> float | None:
        """Renew a lease; return the time to live, or None if it no longer exists."""
        status, answer = self._call("POST", f"/-/kv-keep/{lease_id}", {})
        return None if status == 404 else _required(answer.ttl_ms, "ttl_ms") / 1000

    def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete the keys attached to it."""
        self._call("DELETE", f"/-/kv-lease-end/{lease_id}")

    def watch(self, prefix: str, from_revision: int) -> Iterator[WatchEvent]:
        """Yield changes under a prefix from a revision on, until the call fails."""
        client = self._new_client(self._watch_wait_s + WATCH_MARGIN_S, 1)
        after = from_revision - 1
        path = f"/-/kv-watch?prefix={quote(prefix, safe='')}"
        wait_ms = round(self._watch_wait_s * 1000)
        try:
            while True:
                _, answer = _send(
                    client, "GET", f"{path}&after={after}&wait_ms={wait_ms}", None
                )
                for event in _required(answer.events, "events"):
                    yield _decode_event(event)
                after = max(after, _required(answer.current_rev, "current_rev"))
                yield WatchEvent(None, None, after)
                gevent.sleep(self._watch_pause_s)
        except LostAnswerError:
            self._client = self._new_client(CALL_TIMEOUT_S, CONNECTIONS)
            raise
        finally:
            client.close()

    def _transaction(
        self, key: str, expected_revision: int, change: Json, value: bytes | None
    ) -> SwapResult:
        body: Json = {"expect": [{"key": key, "rev": expected_revision}]}
        body |= {"writes": [], "remove": []} | change
        status, answer = self._call("POST", "/-/kv-txn", body)
        if status == 200:
            return SwapResult(True, value, _required(answer.rev, "rev"))
        if status == 404:
            raise UnavailableError("the lease of the write has expired")
        for entry in _required(answer.items, "items"):
            if entry.key == key and entry.value is not None:
                item = _decode_item(entry)
                return SwapResult(False, item.value, item.revision)
        return SwapResult(False, None, 0)

    def _call(
        self, method: str, path: str, body: Json | None = None
    ) -> tuple[int, _Answer]:
        client = self._client
        try:
            return _send(client, method, path, body)
        except LostAnswerError:
            # The idle connections may have failed in the same way. Running calls keep
            # using the earlier client until they end.
            if self._client is client:
                self._client = self._new_client(CALL_TIMEOUT_S, CONNECTIONS)
            raise

    def _new_client(self, timeout_s: float, connections: int) -> BoundedClient:
        return BoundedClient(
            self._store.host,
            self._store.port,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            timeout_s=timeout_s,
            connections=connections,
            max_answer_bytes=MAX_ANSWER_BYTES,
        )


def _send(
    client: BoundedClient, method: str, path: str, body: Json | None
) -> tuple[int, _Answer]:
    """Send one call; return its status (200, 404 or 412) and its body."""
    data = b"" if body is None else msgspec.json.encode(body)
    try:
        response = client.request(method, path, body=data, headers=_JSON_HEADERS)
        status = int(response.status_code)
        content = bytes(response.read())
    except ConnectionRefusedError as error:
        raise UnavailableError(str(error)) from error
    except Exception as error:
        raise LostAnswerError(f"{type(error).__name__}: {error}") from error
    if status in (429, 503):
        raise UnavailableError(f"the store answers {status}")
    if status not in (200, 404, 412):
        raise LostAnswerError(f"the store answers {status}")
    try:
        answer = _answer_decoder.decode(content or b"{}")
    except MALFORMED_ERRORS as error:
        raise LostAnswerError(f"cannot decode the store's answer: {error}") from error
    return status, answer


def _required(field: _Field | None, name: str) -> _Field:
    if field is None:
        raise LostAnswerError(f"the store's answer has no field {name}")
    return field


def _decode_item(item: _Item) -> KvItem:
    try:
        value = base64.b64decode(_required(item.value, "value"), validate=True)
    except (ValueError, binascii.Error) as error:
        raise LostAnswerError(f"cannot decode a value of the store: {error}") from error
    return KvItem(key=item.key, value=value, revision=_required(item.rev, "rev"))


def _decode_event(event: _Item) -> WatchEvent:
    if event.removed:
        return WatchEvent(event.key, None, _required(event.rev, "rev"))
    item = _decode_item(event)
    return WatchEvent(item.key, item.value, item.revision)
