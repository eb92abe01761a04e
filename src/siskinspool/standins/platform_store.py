"""Stand-in for the metadata store of the users' platform, with operator writes.

The store serves the calls of the platform's protocol (keys, ranges, watches,
transactions and leases) from a `KvStore`. ``POST /admin/put`` and ``/admin/remove``
write as the operator and the servers do. ``POST /admin/faults`` sets ``down`` (status
503), ``lose_answers`` (this many writes take effect but get no response) and
``forget_history`` (watches from before the current revision get status 410).
``POST /admin/copy`` keeps a copy of the state; ``/admin/return`` goes back to it as a
restored store does. What the operator and the servers have written since is then
written again, unless ``rewrites`` is false.
"""

from __future__ import annotations

import base64
import time
from typing import Any, Final
from urllib.parse import parse_qs

import attrs
import click
import gevent
from gevent.queue import Empty

from .kv_store import Entry, KvStore, StoreCopy
from .wsgi import App, CloseConnection, Json, Request, Response, serve

PAGE_ITEMS: Final = 50
EXPIRY_INTERVAL_S: Final = 0.05
MAX_WAIT_MS: Final = 30_000
ERA_HEADER: Final = "Store-Era"
# Keys that others than the system write.
FOREIGN_PREFIXES: Final = (b"op/", b"servers/")


class PlatformStoreApp(App):
    """HTTP interface of the store and of its administration by tests."""

    def __init__(self) -> None:
        self._store = KvStore()
        self._down = False
        self._lose_answers = 0
        # Watches that start before this revision get status 410.
        self._first_watch_revision = 0
        self.call_count = 0
        # Counts the returns from a copy.
        self._era = 1
        self._copy: StoreCopy | None = None

    def run_lease_expiry(self) -> None:
        """Expire leases at a fixed interval; runs forever in its own greenlet."""
        while True:
            gevent.sleep(EXPIRY_INTERVAL_S)
            self._store.expire_leases(time.monotonic())

    def handle_request(self, request: Request) -> Response:
        """Return the response to a request."""
        if request.path.startswith("/admin/"):
            return self._handle_admin(request)
        self.call_count += 1
        if self._down:
            return Response.from_json({}, 503)
        era = self._era
        response = self._handle_call(request)
        if era != self._era:
            # A watch that waited while the store returned: its history is gone.
            response = Response.from_json({}, 410)
        if self._down:
            # The store went down while a watch waited, so the watch reports no change.
            return Response.from_json({}, 503)
        if self._lose_answers and request.method != "GET":
            self._lose_answers -= 1
            raise CloseConnection
        return attrs.evolve(response, headers=((ERA_HEADER, str(self._era)),))

    def _handle_call(self, request: Request) -> Response:
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        name, _, lease_id = request.path.removeprefix("/-/").partition("/")
        match name:
            case "kv-key":
                return self._get(query["key"])
            case "kv-range":
                return self._range(query["prefix"], query.get("after", ""))
            case "kv-watch":
                return self._watch(query)
            case "kv-txn":
                return self._transact(request.json())
            case "kv-lease":
                ttl_ms = int(request.json()["ttl_ms"])
                lease = self._store.grant_lease(ttl_ms / 1000, time.monotonic())
                return Response.from_json({"lease": lease, "ttl_ms": ttl_ms})
            case "kv-keep":
                ttl_s = self._store.keep_lease_alive(int(lease_id), time.monotonic())
                status = 200 if ttl_s else 404
                return Response.from_json({"ttl_ms": round(ttl_s * 1000)}, status)
            case "kv-lease-end":
                self._store.revoke_lease(int(lease_id))
                return Response.from_json({})
        return Response.from_json({}, 404)

    def _get(self, key: str) -> Response:
        entry = self._store.get(key.encode())
        if entry is None:
            return Response.from_json({}, 404)
        return Response.from_json(_entry_to_json(entry) | self._current_revision())

    def _range(self, prefix: str, after: str) -> Response:
        start, end = prefix.encode(), prefix.encode() + b"\xff"
        entries = [
            entry
            for entry in self._store.range(start, end)
            if entry.key > after.encode()
        ]
        page = entries[:PAGE_ITEMS]
        body: Json = {
            "items": [_entry_to_json(entry) for entry in page],
            "truncated": len(entries) > len(page),
        }
        return Response.from_json(body | self._current_revision())

    def _watch(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        if not self._first_watch_revision <= after <= self._store.revision:
            return Response.from_json({}, 410)
        prefix = query["prefix"].encode()
        watch = self._store.open_watch(prefix, prefix + b"\xff", after + 1)
        try:
            wait_ms = min(int(query["wait_ms"]), MAX_WAIT_MS)
            events = [watch.queue.get(timeout=wait_ms / 1000)]
            while not watch.queue.empty():
                events.append(watch.queue.get_nowait())
        except Empty:
            events = []
        finally:
            self._store.close_watch(watch)
        body: Json = {"events": [_event_to_json(entry) for entry in events]}
        return Response.from_json(body | self._current_revision())

    def _transact(self, body: Json) -> Response:
        for row in body["expect"]:
            entry = self._store.get(row["key"].encode())
            if (entry.mod_revision if entry else 0) != row["rev"]:
                return Response.from_json(self._conflict(body["expect"]), 412)
        try:
            for write in body.get("writes", []):
                value = base64.b64decode(write["value"])
                self._store.put(write["key"].encode(), value, write.get("lease", 0))
        except KeyError:
            return Response.from_json({}, 404)
        for key in body.get("remove", []):
            self._store.delete(key.encode())
        return Response.from_json({"rev": self._store.revision})

    def _conflict(self, rows: list[Json]) -> Json:
        entries = [self._store.get(row["key"].encode()) for row in rows]
        return {
            "items": [_entry_to_json(entry) for entry in entries if entry is not None]
        }

    def _current_revision(self) -> Json:
        return {"current_rev": self._store.revision}

    def _handle_admin(self, request: Request) -> Response:
        body = request.json()
        match request.path:
            case "/admin/put":
                value = base64.b64decode(body["value"])
                self._store.put(body["key"].encode(), value, 0)
            case "/admin/remove":
                self._store.delete(body["key"].encode())
            case "/admin/copy":
                self._copy = self._store.copy()
            case "/admin/return":
                self._return(rewrites=bool(body.get("rewrites", True)))
            case "/admin/faults":
                self._down = bool(body.get("down", self._down))
                self._lose_answers = int(body.get("lose_answers", self._lose_answers))
                if body.get("forget_history"):
                    self._first_watch_revision = self._store.revision + 1
        return Response.from_json({"calls": self.call_count} | self._current_revision())

    def _return(self, *, rewrites: bool) -> None:
        """Go back to the copy that was kept, and begin a new era."""
        assert self._copy is not None, "no copy was kept"
        written = self._foreign_values()
        self._store.return_from(self._copy, time.monotonic())
        self._era += 1
        if not rewrites:
            return
        kept = self._foreign_values()
        for key in kept.keys() - written.keys():
            self._store.delete(key)
        for key, value in written.items():
            if kept.get(key) != value:
                self._store.put(key, value, 0)

    def _foreign_values(self) -> dict[bytes, bytes]:
        """Return the keys that the operator and the servers have written."""
        return {
            entry.key: entry.value
            for prefix in FOREIGN_PREFIXES
            for entry in self._store.range(prefix, prefix + b"\xff")
            if entry.value is not None
        }


def _entry_to_json(entry: Entry) -> dict[str, Any]:
    return {
        "key": entry.key.decode(),
        "value": base64.b64encode(entry.value or b"").decode("ascii"),
        "rev": entry.mod_revision,
        "created": entry.create_revision,
        "lease": entry.lease_id,
    }


def _event_to_json(entry: Entry) -> dict[str, Any]:
    if entry.value is None:
        return {"key": entry.key.decode(), "rev": entry.mod_revision, "removed": True}
    return _entry_to_json(entry)


@click.command()
@click.option("--port", default=0, help="Port to bind; 0 lets the kernel choose.")
def main(port: int) -> None:
    """Run the stand-in for the platform's metadata store."""
    app = PlatformStoreApp()
    gevent.spawn(app.run_lease_expiry)
    serve(app, port)


if __name__ == "__main__":
    main()
