"""Stand-in for the platform's store, which can come back from an older copy."""

from __future__ import annotations

import base64
import json
import time
from urllib.parse import parse_qs, unquote

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer

PAGE_ITEMS = 500
COPY_INTERVAL_S = 0.25


class Item:
    """One key with its value."""

    def __init__(self, key, value, rev, created, lease):
        self.key, self.value, self.rev = key, value, rev
        self.created, self.lease = created, lease

    def encode(self):
        """Return the item as the calls show it."""
        return {
            "key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "rev": self.rev,
            "created": self.created,
            "lease": self.lease,
        }


class Store:
    """Keys, leases, watches and conditional writes with one revision counter."""

    def __init__(self, host="127.0.0.1"):
        self.rev = 1
        self.era = 1
        self.items = {}
        self.history = []
        self.leases = {}  # id -> [ttl_s, expires_at]
        self.next_lease = 1000
        self.is_away = False
        self._copies = []
        self._changed = Event()
        self._server = WSGIServer((host, 0), self._serve, log=None, error_log=None)
        self._server.start()
        self.port = self._server.server_port
        gevent.spawn(self._expire)
        gevent.spawn(self._copy)

    # What the operator and the servers do

    def put(self, key, value, lease=0):
        """Write a key; return the revision."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.rev += 1
        known = self.items.get(key)
        created = known.created if known else self.rev
        item = Item(key, value, self.rev, created, lease)
        self.items[key] = item
        self.history.append((self.rev, key, item))
        self._notify()
        return self.rev

    def remove(self, key):
        """Remove a key, if it is there."""
        if key in self.items:
            self.rev += 1
            del self.items[key]
            self.history.append((self.rev, key, None))
            self._notify()

    def come_back_from_copy(self, age_s, away_s):
        """Be away for a moment and return with the state of ``age_s`` before.

        What the operator and the servers wrote is written again; what the system wrote
        since then is gone.
        """
        self.is_away = True
        self._notify()
        left_at = time.monotonic()
        rev_before = self.rev
        copy = min(self._copies, key=lambda one: abs(one["at"] - (left_at - age_s)))
        gevent.sleep(away_s)
        current = {
            key: item.value
            for key, item in self.items.items()
            if key.startswith(("op/", "servers/"))
        }
        now = time.monotonic()
        self.rev = copy["rev"]
        self.items = dict(copy["items"])
        self.history = [change for change in self.history if change[0] <= self.rev]
        # A lease that the copy has runs for its whole time again.
        self.leases = {
            number: [ttl_s, now + ttl_s] for number, ttl_s in copy["leases"].items()
        }
        self._copies = []
        self.era += 1
        for key in [k for k in self.items if k.startswith(("op/", "servers/"))]:
            if key not in current:
                self.remove(key)
        for key, value in current.items():
            known = self.items.get(key)
            if known is None or known.value != value:
                self.put(key, value)
        self.is_away = False
        self._notify()
        return {
            "copy_age_s": round(left_at - copy["at"], 2),
            "revision_before": rev_before,
            "revision_of_copy": copy["rev"],
            "revision_after": self.rev,
        }

    def go_away(self):
        """Be down: calls get 503, and nothing is done."""
        self.is_away = True
        self._notify()

    def come_back(self):
        """Be back with everything; the leases have paused."""
        now = time.monotonic()
        for lease in self.leases.values():
            lease[1] = now + lease[0]
        self.is_away = False

    # Upkeep

    def _notify(self):
        changed, self._changed = self._changed, Event()
        changed.set()

    def _copy(self):
        while True:
            if not self.is_away:
                self._copies.append(
                    {
                        "at": time.monotonic(),
                        "rev": self.rev,
                        "items": dict(self.items),
                        "leases": {k: v[0] for k, v in self.leases.items()},
                    }
                )
                self._copies = self._copies[-200:]
            gevent.sleep(COPY_INTERVAL_S)

    def _expire(self):
        while True:
            gevent.sleep(0.05)
            now = time.monotonic()
            for number, (_, expires_at) in list(self.leases.items()):
                if now >= expires_at and not self.is_away:
                    self._end_lease(number)

    def _end_lease(self, number):
        self.leases.pop(number, None)
        for key in [k for k, item in self.items.items() if item.lease == number]:
            self.remove(key)

    # Calls

    def _serve(self, environ, start_response):
        body = environ["wsgi.input"].read()
        query = {k: v[0] for k, v in parse_qs(environ.get("QUERY_STRING", "")).items()}
        status, document = 503, {}
        if not self.is_away:
            status, document = self._call(
                environ["REQUEST_METHOD"],
                unquote(environ["PATH_INFO"]),
                query,
                json.loads(body) if body else {},
            )
            if self.is_away:
                status, document = 503, {}
        data = json.dumps(document).encode()
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
            ("Store-Era", str(self.era)),
        ]
        start_response(f"{status} Status", headers)
        return [data]

    def _call(self, method, path, query, body):
        name, _, tail = path.removeprefix("/-/").partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, item.encode() | {"current_rev": self.rev}
        if name == "kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
            page = keys[:PAGE_ITEMS]
            return 200, {
                "items": [self.items[key].encode() for key in page],
                "truncated": len(keys) > len(page),
                "current_rev": self.rev,
            }
        if name == "kv-watch":
            return self._watch(query)
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            ttl_ms = max(int(body["ttl_ms"]), 1000)
            self.next_lease += 1
            self.leases[self.next_lease] = [
                ttl_ms / 1000,
                time.monotonic() + ttl_ms / 1000,
            ]
            return 200, {"lease": self.next_lease, "ttl_ms": ttl_ms}
        if name == "kv-keep":
            lease = self.leases.get(int(tail))
            if lease is None:
                return 404, {}
            lease[1] = time.monotonic() + lease[0]
            return 200, {"ttl_ms": round(lease[0] * 1000)}
        if name == "kv-lease-end" and method == "DELETE":
            self._end_lease(int(tail))
            return 200, {}
        return 404, {}

    def _watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        deadline = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
        era = self.era
        while True:
            if after > self.rev or era != self.era:
                return 410, {}
            events = [
                item.encode() if item else {"key": key, "rev": rev, "removed": True}
                for rev, key, item in self.history
                if rev > after and key.startswith(prefix)
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0 or self.is_away:
                return 200, {"events": events, "current_rev": self.rev}
            self._changed.wait(left_s)

    def _transact(self, body):
        for row in body["expect"]:
            known = self.items.get(row["key"])
            if (known.rev if known else 0) != row["rev"]:
                found = [self.items.get(one["key"]) for one in body["expect"]]
                return 412, {"items": [one.encode() for one in found if one]}
        writes = body.get("writes", [])
        leases = [write.get("lease", 0) for write in writes]
        if any(lease and lease not in self.leases for lease in leases):
            return 404, {}
        for write in writes:
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.rev}
