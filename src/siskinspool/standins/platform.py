"""Stand-in for the platform: key-value service and list of instances.

The key-value service implements the subset of etcd v3's JSON gateway that the adapter
uses. ``GET /v1/instances`` returns the list of instances as it was ``list_lag_s`` ago.
``POST /admin/faults`` sets faults:

- ``down``: reject requests with status 503 and end open watches;
- ``delay_s``: wait before each response;
- ``lose_answers``: carry out this many writes but close the connection without a
  response;
- ``lose_only``: lose only the responses to writes of keys with this suffix;
- ``pause_leases``: do not expire leases.

``GET /admin/counts`` returns the number of calls by path; an open watch counts once.
"""

from __future__ import annotations

import base64
import json
import time
from collections import Counter, deque
from collections.abc import Iterator
from typing import Final

import attrs
import click
import gevent
from gevent.queue import Empty

from .kv_store import Entry, KvStore, Watch
from .wsgi import App, CloseConnection, Json, Request, Response, serve

LEASE_CHECK_S: Final = 0.1
PROGRESS_S: Final = 1.0
MAX_VALUE_BYTES: Final = 1_000_000


@attrs.define
class Faults:
    """Faults that are currently injected."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    lose_only: str = ""
    pause_leases: bool = False


def _encode_base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode("ascii")


def _decode_base64(text: str) -> bytes:
    return base64.b64decode(text)


def _entry_to_json(entry: Entry) -> Json:
    result = {
        "key": _encode_base64(entry.key),
        "mod_revision": str(entry.mod_revision),
        "create_revision": str(entry.create_revision),
    }
    if entry.value is not None:
        result["value"] = _encode_base64(entry.value)
    return result


class Platform(App):
    """WSGI application of the platform stand-in."""

    def __init__(self, list_lag_s: float) -> None:
        self._store = KvStore()
        self._faults = Faults()
        self._counts: Counter[str] = Counter()
        self._list_lag_s = list_lag_s
        self._list_snapshots: deque[tuple[float, list[Json]]] = deque([(0.0, [])])
        self._handlers = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/txn": self._transaction,
            "/v3/kv/deleterange": self._delete_range,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
        }

    def run_lease_expiry(self) -> None:
        """Expire leases at a fixed interval; runs forever in its own greenlet."""
        while True:
            gevent.sleep(LEASE_CHECK_S)
            if not (self._faults.pause_leases or self._faults.down):
                self._store.expire_leases(time.monotonic())

    def handle_request(self, request: Request) -> Response:
        """Return the response to a request."""
        if request.path.startswith("/admin/"):
            return self._handle_admin(request)
        if request.path == "/v1/instances":
            return Response.from_json({"instances": self._visible_instances()})
        return self._handle_kv(request)

    def _handle_kv(self, request: Request) -> Response:
        if self._faults.down:
            return Response.from_json({"error": "service unavailable"}, 503)
        if self._faults.delay_s:
            gevent.sleep(self._faults.delay_s)
        self._counts[request.path] += 1
        if request.path == "/v3/watch":
            return self._watch(request.json()["create_request"])
        handler = self._handlers.get(request.path)
        if handler is None:
            return Response.from_json({"error": "not found"}, 404)
        try:
            result = handler(request.json())
        except KeyError as error:
            return Response.from_json({"error": str(error), "code": 5}, 400)
        if self._faults.lose_answers > 0 and self._is_losable_write(request):
            self._faults.lose_answers -= 1
            raise CloseConnection
        return Response.from_json(result)

    def _is_losable_write(self, request: Request) -> bool:
        """Return whether a request is a write that the fault ``lose_only`` covers."""
        if request.path not in ("/v3/kv/put", "/v3/kv/txn"):
            return False
        body = request.json()
        target = body["compare"][0] if "compare" in body else body
        return _decode_base64(target["key"]).endswith(self._faults.lose_only.encode())

    def _header(self) -> Json:
        return {"revision": str(self._store.revision)}

    def _range(self, body: Json) -> Json:
        start = _decode_base64(body["key"])
        if "range_end" in body:
            entries = self._store.range(start, _decode_base64(body["range_end"]))
        else:
            entry = self._store.get(start)
            entries = [entry] if entry else []
        return {
            "header": self._header(),
            "kvs": [_entry_to_json(entry) for entry in entries],
            "count": str(len(entries)),
        }

    def _put(self, body: Json) -> Json:
        value = _decode_base64(body.get("value", ""))
        if len(value) > MAX_VALUE_BYTES:
            raise KeyError("etcdserver: request is too large")
        self._store.put(_decode_base64(body["key"]), value, int(body.get("lease", 0)))
        return {"header": self._header()}

    def _delete_range(self, body: Json) -> Json:
        self._store.delete(_decode_base64(body["key"]))
        return {"header": self._header()}

    def _transaction(self, body: Json) -> Json:
        succeeded = all(self._compare_holds(item) for item in body.get("compare", []))
        operations = body.get("success" if succeeded else "failure", [])
        responses = [self._apply_operation(operation) for operation in operations]
        return {
            "header": self._header(),
            "succeeded": succeeded,
            "responses": responses,
        }

    def _compare_holds(self, compare: Json) -> bool:
        entry = self._store.get(_decode_base64(compare["key"]))
        revision = entry.mod_revision if entry else 0
        return revision == int(compare.get("mod_revision", 0))

    def _apply_operation(self, operation: Json) -> Json:
        if "request_put" in operation:
            return {"response_put": self._put(operation["request_put"])}
        if "request_delete_range" in operation:
            body = operation["request_delete_range"]
            return {"response_delete_range": self._delete_range(body)}
        return {"response_range": self._range(operation["request_range"])}

    def _grant(self, body: Json) -> Json:
        ttl = int(body["TTL"])
        lease_id = self._store.grant_lease(float(ttl), time.monotonic())
        return {"header": self._header(), "ID": str(lease_id), "TTL": str(ttl)}

    def _keep_alive(self, body: Json) -> Json:
        ttl = self._store.keep_lease_alive(int(body["ID"]), time.monotonic())
        result: Json = {"header": self._header(), "ID": body["ID"]}
        if ttl > 0:
            result["TTL"] = str(int(ttl))
        return {"result": result}

    def _revoke(self, body: Json) -> Json:
        self._store.revoke_lease(int(body["ID"]))
        return {"header": self._header()}

    def _watch(self, body: Json) -> Response:
        watch = self._store.open_watch(
            _decode_base64(body["key"]),
            _decode_base64(body["range_end"]),
            int(body.get("start_revision", 0)),
        )
        return Response(body=self._watch_lines(watch))

    def _watch_lines(self, watch: Watch) -> Iterator[bytes]:
        try:
            yield self._watch_line({"created": True})
            while not self._faults.down:
                try:
                    entry = watch.queue.get(timeout=PROGRESS_S)
                except Empty:
                    yield self._watch_line({})
                    continue
                kind = "PUT" if entry.value is not None else "DELETE"
                event = {"type": kind, "kv": _entry_to_json(entry)}
                yield self._watch_line({"events": [event]})
        finally:
            self._store.close_watch(watch)

    def _watch_line(self, result: Json) -> bytes:
        line = {"result": {"header": self._header(), **result}}
        return json.dumps(line).encode() + b"\n"

    def _handle_admin(self, request: Request) -> Response:
        if request.path == "/admin/faults":
            for name, value in request.json().items():
                setattr(self._faults, name, value)
            return Response.from_json(attrs.asdict(self._faults))
        if request.path == "/admin/counts":
            return Response.from_json(dict(self._counts))
        if request.path == "/admin/instances":
            self._list_snapshots.append((time.monotonic(), request.json()["instances"]))
            return Response.from_json({})
        return Response.from_json({"error": "not found"}, 404)

    def _visible_instances(self) -> list[Json]:
        shown_at = time.monotonic() - self._list_lag_s
        while len(self._list_snapshots) > 1 and self._list_snapshots[1][0] <= shown_at:
            self._list_snapshots.popleft()
        return self._list_snapshots[0][1]


@click.command()
@click.option("--port", default=0, help="Port to bind; 0 lets the kernel choose.")
@click.option("--list-lag-s", default=1.0, help="Age of the instance list.")
def main(port: int, list_lag_s: float) -> None:
    """Run the platform stand-in."""
    platform = Platform(list_lag_s)
    gevent.spawn(platform.run_lease_expiry)
    serve(platform, port)


if __name__ == "__main__":
    main()
