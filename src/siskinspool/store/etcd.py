"""Adapter to the JSON gateway of etcd v3.

Keys and values are encoded in base64. Requests and renewals share one pooled HTTP
client; each watch has its own connection. A request whose connection cannot be opened
raises `UnavailableError`; any later failure raises `LostAnswerError`, because the
service may have executed the request.

The methods used are ``/v3/kv/range``, ``/v3/kv/txn``, ``/v3/lease/grant``,
``/v3/lease/keepalive``, ``/v3/lease/revoke`` and ``/v3/watch``.
"""

from __future__ import annotations

import base64
import json
import math
import socket
from collections.abc import Iterator
from http.client import HTTPException
from typing import Any, Final

from ..core.malformed import MALFORMED_ERRORS
from .bounded_client import BoundedClient
from .etcd_messages import (
    EtcdAnswer,
    EtcdEntry,
    EtcdResult,
    answer_decoder,
    conflict_decoder,
)
from .kv import (
    KeyValueService,
    KvItem,
    Lease,
    LostAnswerError,
    SwapResult,
    UnavailableError,
    WatchEvent,
)

CONNECT_TIMEOUT_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 2.0
# A watch sends nothing between changes but progress notifications, which are sent
# more often than this.
WATCH_TIMEOUT_S: Final = 10.0
CONNECTIONS: Final = 16
# The largest answer lists the records of all servers, some 1.3 KB each.
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024

Json = dict[str, Any]


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode("ascii")


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def prefix_end(prefix: str) -> bytes:
    """Return the exclusive end of the key range with a prefix."""
    raw = bytearray(prefix.encode())
    for index in reversed(range(len(raw))):
        if raw[index] < 0xFF:
            raw[index] += 1
            return bytes(raw[: index + 1])
    return b"\0"


def _parse_item(entry: EtcdEntry) -> KvItem:
    return KvItem(
        key=_decode(entry.key).decode(),
        value=_decode(entry.value),
        revision=int(entry.mod_revision),
    )


class EtcdKeyValueService(KeyValueService):
    """The key-value service of etcd v3 through its JSON gateway."""

    def __init__(
        self, host: str, port: int, request_timeout_s: float = REQUEST_TIMEOUT_S
    ) -> None:
        self._host = host
        self._port = port
        self._client = BoundedClient(
            host,
            port,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            timeout_s=request_timeout_s,
            connections=CONNECTIONS,
            max_answer_bytes=MAX_ANSWER_BYTES,
        )

    def get(self, key: str) -> KvItem | None:
        """Return a key, or None if it does not exist."""
        answer = self._call("/v3/kv/range", {"key": _encode(key.encode())})
        return _parse_item(answer.kvs[0]) if answer.kvs else None

    def list(self, prefix: str) -> tuple[KvItem, ...]:
        """Return all keys with a prefix, in key order."""
        body = {
            "key": _encode(prefix.encode()),
            "range_end": _encode(prefix_end(prefix)),
            "sort_target": "KEY",
            "sort_order": "ASCEND",
        }
        answer = self._call("/v3/kv/range", body)
        return tuple(_parse_item(entry) for entry in answer.kvs)

    def swap(
        self, key: str, expected_revision: int, value: bytes, lease_id: int | None
    ) -> SwapResult:
        """Write a key if its revision is the expected one."""
        put: Json = {"key": _encode(key.encode()), "value": _encode(value)}
        if lease_id is not None:
            put["lease"] = str(lease_id)
        answer = self._transaction(key, expected_revision, {"request_put": put})
        if not answer.succeeded:
            return self._conflict(answer)
        return SwapResult(True, value, int(answer.header.revision))

    def delete(self, key: str, expected_revision: int) -> SwapResult:
        """Delete a key if its revision is the expected one."""
        remove = {"request_delete_range": {"key": _encode(key.encode())}}
        answer = self._transaction(key, expected_revision, remove)
        if not answer.succeeded:
            return self._conflict(answer)
        return SwapResult(True, None, int(answer.header.revision))

    def grant_lease(self, ttl_s: float) -> Lease:
        """Grant a lease; the service rounds up to whole seconds."""
        answer = self._call("/v3/lease/grant", {"TTL": str(math.ceil(ttl_s))})
        if answer.lease_id is None or answer.ttl_s is None:
            raise LostAnswerError("the answer states no lease")
        return Lease(int(answer.lease_id), float(answer.ttl_s))

    def keep_alive(self, lease_id: int) -> float | None:
        """Renew a lease; return the time to live, or None if the lease is gone."""
        answer = self._call("/v3/lease/keepalive", {"ID": str(lease_id)})
        ttl_s = float(answer.result.ttl_s)
        return ttl_s if ttl_s > 0 else None

    def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which deletes the keys attached to it."""
        self._call("/v3/lease/revoke", {"ID": str(lease_id)})

    def watch(self, prefix: str, from_revision: int) -> Iterator[WatchEvent]:
        """Yield changes under a prefix from a revision on, until the link fails."""
        client = BoundedClient(
            self._host,
            self._port,
            connect_timeout_s=CONNECT_TIMEOUT_S,
            timeout_s=WATCH_TIMEOUT_S,
            connections=1,
            max_answer_bytes=MAX_ANSWER_BYTES,
        )
        request = {
            "create_request": {
                "key": _encode(prefix.encode()),
                "range_end": _encode(prefix_end(prefix)),
                "start_revision": str(from_revision),
                "progress_notify": True,
            }
        }
        try:
            response = client.post(
                "/v3/watch", body=json.dumps(request), headers=_JSON_HEADERS
            )
            for line in _read_lines(response):
                client.renew_limit(response)
                yield from _parse_watch_events(answer_decoder.decode(line).result)
        except (OSError, HTTPException, *MALFORMED_ERRORS) as error:
            raise LostAnswerError(str(error)) from error
        finally:
            client.close()

    def _transaction(
        self, key: str, expected_revision: int, success: Json
    ) -> EtcdAnswer:
        name = _encode(key.encode())
        body = {
            "compare": [
                {
                    "key": name,
                    "target": "MOD",
                    "result": "EQUAL",
                    "mod_revision": str(expected_revision),
                }
            ],
            "success": [success],
            "failure": [{"request_range": {"key": name}}],
        }
        return self._call("/v3/kv/txn", body)

    @staticmethod
    def _conflict(answer: EtcdAnswer) -> SwapResult:
        try:
            (response,) = conflict_decoder.decode(answer.responses)
        except MALFORMED_ERRORS as error:
            raise LostAnswerError(f"cannot decode a conflict: {error}") from error
        entries = response.response_range.kvs
        if not entries:
            return SwapResult(False, None, 0)
        item = _parse_item(entries[0])
        return SwapResult(False, item.value, item.revision)

    def _call(self, path: str, body: Json) -> EtcdAnswer:
        try:
            response = self._client.post(
                path, body=json.dumps(body), headers=_JSON_HEADERS
            )
            status = response.status_code
            data = bytes(response.read())
        except ConnectionRefusedError as error:
            raise UnavailableError(str(error)) from error
        except socket.gaierror as error:
            raise UnavailableError(str(error)) from error
        except Exception as error:
            raise LostAnswerError(str(error)) from error
        if status == 503:
            raise UnavailableError("the key-value service answers 503")
        if status != 200:
            raise LostAnswerError(f"the key-value service answers {status}")
        try:
            return answer_decoder.decode(data)
        except MALFORMED_ERRORS as error:
            raise LostAnswerError(f"cannot decode the answer: {error}") from error


_JSON_HEADERS: Final = {"Content-Type": "application/json"}


def _read_lines(response: Any) -> Iterator[bytes]:
    while line := response.readline(b"\n"):
        yield line


def _parse_watch_events(result: EtcdResult) -> Iterator[WatchEvent]:
    if not result.events:
        yield WatchEvent(None, None, int(result.header.revision))
    for event in result.events:
        item = _parse_item(event.kv)
        value = None if event.type == "DELETE" else item.value
        yield WatchEvent(item.key, value, item.revision)
