"""Key-value service backed by the platform's metadata store.

Calls are HTTP/1.1 with JSON bodies; values are encoded as base64. Statuses: 503 and 429
mean that nothing was done, 412 is a conflict, 404 a missing key or lease, 410 a watch
whose start revision is no longer available. A call without an answer raises
LostAnswerError, because it may still take effect.

The store may return from an older copy and then gives revisions out again. The header
``Store-Era`` of all answers counts these returns; it becomes part of each revision.
"""

from __future__ import annotations

import base64
import binascii
import logging
from collections.abc import Iterator
from typing import Any, Final, TypeVar
from urllib.parse import quote

import attrs
import gevent
import msgspec
from geventhttpclient.response import HTTPSocketPoolResponse

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
from ..store.revision import MAX_ERA, era_of, make_revision, number_of
from ..telemetry.logs import log_event

logger = logging.getLogger(__name__)

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
ERA_HEADER: Final = "Store-Era"
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


@attrs.frozen
class _Reply:
    """The status (200, 404 or 412), the store's era and the body of an answer."""

    status: int
    era: int
    answer: _Answer

    def revision(self, number: int | None, field: str) -> int:
        """Return the revision with a number of this answer."""
        return make_revision(self.era, _required(number, field))

    def item(self, item: _Item) -> KvItem:
        """Return a key that this answer contains with its value."""
        try:
            value = base64.b64decode(_required(item.value, "value"), validate=True)
        except (ValueError, binascii.Error) as error:
            raise LostAnswerError(
                f"cannot decode a value of the store: {error}"
            ) from error
        return KvItem(item.key, value, self.revision(item.rev, "rev"))

    def event(self, item: _Item) -> WatchEvent:
        """Return a change that this answer contains."""
        if item.removed:
            return WatchEvent(item.key, None, self.revision(item.rev, "rev"))
        changed = self.item(item)
        return WatchEvent(changed.key, changed.value, changed.revision)


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
        self._era = 0

    @property
    def era(self) -> int:
        """The highest era of all answers so far."""
        return self._era

    def get(self, key: str) -> KvItem | None:
        """Return the item of a key, or None if it does not exist."""
        reply = self._call("GET", f"/-/kv-key?key={quote(key, safe='')}")
        if reply.status == 404:
            return None
        answer = reply.answer
        key = _required(answer.key, "key")
        return reply.item(_Item(key, answer.rev, answer.value))

    def list(self, prefix: str) -> tuple[KvItem, ...]:
        """Return the keys with a prefix, in key order."""
        return self.snapshot(prefix).items

    def snapshot(self, prefix: str) -> Snapshot:
        """Return the keys with a prefix and the revision to watch from.

        The keys are read in pages; the revision is that of the first page, so that a
        watch from there misses no change made between the pages. All pages are of one
        era.
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
            reply = self._send(client, "GET", path + after)
            answer = reply.answer
            items += [reply.item(item) for item in _required(answer.items, "items")]
            if revision is None:
                revision = reply.revision(answer.current_rev, "current_rev")
            _check_same_era(reply, revision)
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
        body = {"ttl_ms": round(ttl_s * 1000)}
        answer = self._call("POST", "/-/kv-lease", body).answer
        return Lease(
            lease_id=_required(answer.lease, "lease"),
            ttl_s=_required(answer.ttl_ms, "ttl_ms") / 1000,
        )

    def keep_alive(self, lease_id: int) -> float | None:
        """Renew a lease; return the time to live, or None if it no longer exists."""
        reply = self._call("POST", f"/-/kv-keep/{lease_id}", {})
        if reply.status == 404:
            return None
        return _required(reply.answer.ttl_ms, "ttl_ms") / 1000

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
                call = f"{path}&after={number_of(after)}&wait_ms={wait_ms}"
                reply = self._send(client, "GET", call)
                _check_same_era(reply, after)
                for event in _required(reply.answer.events, "events"):
                    yield reply.event(event)
                current = reply.revision(reply.answer.current_rev, "current_rev")
                after = max(after, current)
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
        if expected_revision and era_of(expected_revision) < self._era:
            # The store may have given the number to another write of this key.
            return _conflict(self.get(key))
        expected = {"key": key, "rev": number_of(expected_revision)}
        body: Json = {"expect": [expected], "writes": [], "remove": []} | change
        reply = self._call("POST", "/-/kv-txn", body)
        if reply.status == 200:
            if expected_revision:
                _check_same_era(reply, expected_revision)
            return SwapResult(True, value, reply.revision(reply.answer.rev, "rev"))
        if reply.status == 404:
            raise UnavailableError("the lease of the write has expired")
        for entry in _required(reply.answer.items, "items"):
            if entry.key == key and entry.value is not None:
                return _conflict(reply.item(entry))
        return _conflict(None)

    def _call(self, method: str, path: str, body: Json | None = None) -> _Reply:
        client = self._client
        try:
            return self._send(client, method, path, body)
        except LostAnswerError:
            # The idle connections may have failed in the same way. Running calls keep
            # using the earlier client until they end.
            if self._client is client:
                self._client = self._new_client(CALL_TIMEOUT_S, CONNECTIONS)
            raise

    def _send(
        self, client: BoundedClient, method: str, path: str, body: Json | None = None
    ) -> _Reply:
        """Send one call; an answer from before a return of the store is no answer."""
        reply = _send(client, method, path, body)
        if reply.era < self._era:
            raise LostAnswerError("the answer is older than the store's return")
        if reply.era > self._era:
            log_event(
                logger, logging.INFO, "store_era", era=reply.era, before=self._era
            )
            self._era = reply.era
        return reply

    def _new_client(self, timeout_s: float, connections: int) -> BoundedClient:
        return BoundedClient(
            self._store.host,
            self._store.port,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            timeout_s=timeout_s,
            connections=connections,
            max_answer_bytes=MAX_ANSWER_BYTES,
        )


def _send(client: BoundedClient, method: str, path: str, body: Json | None) -> _Reply:
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
    return _Reply(status, _era(response), answer)


def _era(response: HTTPSocketPoolResponse) -> int:
    """Return the era that an answer states; 0 if it states none."""
    text = str(response.get(ERA_HEADER, "0"))
    if not (text.isascii() and text.isdigit() and int(text) <= MAX_ERA):
        raise LostAnswerError(f"the store's answer has the era {text!r}")
    return int(text)


def _check_same_era(reply: _Reply, revision: int) -> None:
    if reply.era != era_of(revision):
        raise LostAnswerError("the store has returned from an older copy")


def _conflict(current: KvItem | None) -> SwapResult:
    """Return the result of a swap that another write has prevented."""
    if current is None:
        return SwapResult(False, None, 0)
    return SwapResult(False, current.value, current.revision)


def _required(field: _Field | None, name: str) -> _Field:
    if field is None:
        raise LostAnswerError(f"the store's answer has no field {name}")
    return field
