"""The plain system that the measures compare with.

One process is one entry instance without any agreement with others: a fixed part of
each team's rate, a load on the first request at this instance on a random server, a
random server among those that report the model, one first-come first-served queue over
all teams, a fixed idle timer for unloading, no ramp and no zone state. It is a tool of
the measures only and no option of the product.
"""

from __future__ import annotations

import itertools
import json
import random
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final

import attrs
import click
import gevent
from gevent.event import Event
from gevent.lock import BoundedSemaphore

from ..core.converter import make_converter
from ..links.server_link import Answer, HttpServerLink, Lost, NotSent, ServerRequest
from .processes import ProcessError, call, call_json
from .wsgi import App, CloseConnection, Json, Request, Response, serve

REPORT_INTERVAL_S: Final = 0.5
LOAD_TRIES: Final = 3
SEND_TRIES: Final = 2
# Reports that an instance may miss before it takes a server for gone.
REPORT_TIMEOUT_S: Final = 1.0


@attrs.frozen(kw_only=True)
class BaselineServer:
    """An engine."""

    id: str
    port: int
    capacity: int


@attrs.frozen(kw_only=True)
class BaselineTeam:
    """A team's whole contract and its key."""

    id: str
    rate: float
    burst: float
    key: str


@attrs.frozen(kw_only=True)
class BaselineSettings:
    """Settings of one baseline instance."""

    instances: int
    servers: tuple[BaselineServer, ...]
    teams: tuple[BaselineTeam, ...]
    # Unload a model that this instance has not used for so long; 0 never does.
    idle_unload_s: float = 0.0
    # Whether teams are limited at all.
    limits: bool = True
    seed: int = 1


@attrs.define
class RateBucket:
    """Token bucket with a fixed part of a team's contract."""

    rate: float
    burst: float
    level: float
    filled_at: float

    def try_spend(self, tokens: float, now: float) -> bool:
        """Spend tokens if there are enough."""
        grown = self.level + (now - self.filled_at) * self.rate
        self.level = min(self.burst, grown)
        self.filled_at = now
        if self.level < tokens:
            return False
        self.level -= tokens
        return True


class _Slot:
    """A place in the batch of all servers; released once."""

    def __init__(self, semaphore: BoundedSemaphore) -> None:
        self._semaphore = semaphore
        self._held = True

    def release(self) -> None:
        if self._held:
            self._held = False
            self._semaphore.release()


class _Stream:
    """A streamed answer; the server's connection and the slot end with it."""

    def __init__(self, answer: Answer, slot: _Slot) -> None:
        self._answer = answer
        self._slot = slot

    def __iter__(self) -> Iterator[bytes]:
        for event in self._answer.events():
            if isinstance(event, Lost):
                raise CloseConnection
            yield event

    def close(self) -> None:
        """End the answer; the WSGI server calls this in any case."""
        self._answer.close()
        self._slot.release()


class BaselineEntry(App):
    """WSGI application of one baseline instance."""

    def __init__(self, settings: BaselineSettings) -> None:
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._link = HttpServerLink()
        self._server_by_id = {server.id: server for server in settings.servers}
        self._reports: dict[str, Json] = {}
        self._loading: dict[str, Event] = {}
        self._used_at: dict[str, float] = {}
        self._order_ids = itertools.count(1)
        capacity = sum(server.capacity for server in settings.servers)
        self._queue = BoundedSemaphore(max(1, capacity // settings.instances))
        part = 1 / settings.instances
        now = time.monotonic()
        self._team_by_key = {team.key: team for team in settings.teams}
        self._bucket_by_team = {
            team.id: RateBucket(
                team.rate * part, team.burst * part, team.burst * part, now
            )
            for team in settings.teams
        }

    def handle_request(self, request: Request) -> Response:
        """Return the response to a completion request."""
        if request.path == "/readyz":
            return Response.from_json({})
        key = request.headers.get("authorization", "").removeprefix("Bearer ")
        team = self._team_by_key.get(key)
        if team is None:
            return _problem(401, "key_rejected")
        body = request.json()
        tokens = len(request.body) // 4 + int(body["max_tokens"])
        now = time.monotonic()
        if self._settings.limits and not self._bucket_by_team[team.id].try_spend(
            tokens, now
        ):
            return _problem(429, "rate_exceeded")
        deadline_ms = request.headers.get("x-siskin-deadline-ms", "30000")
        return self._queued(request, str(body["model"]), now + int(deadline_ms) / 1000)

    def _queued(self, request: Request, model: str, deadline: float) -> Response:
        self._used_at[model] = time.monotonic()
        if not self._wait_loaded(model, deadline):
            return _problem(504, "deadline_passed")
        if not self._queue.acquire(timeout=max(0.0, deadline - time.monotonic())):
            return _problem(504, "deadline_passed")
        slot = _Slot(self._queue)
        response: Response | None = None
        try:
            response = self._send(request, model, deadline, slot)
            return response
        finally:
            if response is None or isinstance(response.body, bytes):
                slot.release()

    def _send(
        self, request: Request, model: str, deadline: float, slot: _Slot
    ) -> Response:
        result: Answer | NotSent | Lost = NotSent("no server has the model")
        for _ in range(SEND_TRIES):
            holders = self._holders(model)
            if not holders:
                break
            server = self._server_by_id[self._random.choice(holders)]
            result = self._link.open_call(
                ServerRequest(
                    host="127.0.0.1",
                    port=server.port,
                    method="POST",
                    uri=request.path,
                    headers={"content-type": "application/json"},
                    body=request.body,
                ),
                max(0.1, deadline - time.monotonic()),
            )
            if isinstance(result, Answer) and result.status == 200:
                return self._pass(result, slot)
        if isinstance(result, NotSent):
            return _problem(503, "server_failed")
        return _problem(502, "server_failed", "unknown")

    def _pass(self, answer: Answer, slot: _Slot) -> Response:
        kind = answer.headers.get("content-type", "application/json")
        if kind.startswith("text/event-stream"):
            return Response(200, _Stream(answer, slot), kind)
        body = answer.read_all()
        answer.close()
        if isinstance(body, Lost):
            return _problem(502, "server_failed", "unknown")
        return Response(200, body, kind)

    def _holders(self, model: str) -> list[str]:
        return [
            server_id
            for server_id, report in self._reports.items()
            if any(
                r["model"] == model and r["state"] == "loaded"
                for r in report["replicas"]
            )
        ]

    def _wait_loaded(self, model: str, deadline: float) -> bool:
        """Load the model on the first request at this instance."""
        while not self._holders(model):
            left = deadline - time.monotonic()
            if left <= 0:
                return False
            loaded = self._loading.get(model)
            if loaded is None:
                loaded = self._loading[model] = Event()
                gevent.spawn(self._load, model, loaded)
            loaded.wait(timeout=left)
        return True

    def _load(self, model: str, loaded: Event) -> None:
        try:
            for _ in range(LOAD_TRIES):
                server = self._random.choice(self._settings.servers)
                if self._order(server, "load", model):
                    self._await_report(model)
                    return
                self._make_room(server, model)
        finally:
            # The waiting requests look again and start another load if need be.
            self._loading.pop(model, None)
            gevent.sleep(REPORT_INTERVAL_S / 5)
            loaded.set()

    def _await_report(self, model: str) -> None:
        until = time.monotonic() + 30.0
        while time.monotonic() < until and not self._holders(model):
            gevent.sleep(REPORT_INTERVAL_S / 5)

    def _make_room(self, server: BaselineServer, wanted: str) -> None:
        held = [
            r["model"] for r in self._reports.get(server.id, {}).get("replicas", [])
        ]
        others = [model for model in held if model != wanted]
        if others:
            oldest = min(others, key=lambda model: self._used_at.get(model, 0.0))
            self._order(server, "unload", oldest)

    def _order(self, server: BaselineServer, kind: str, model: str) -> bool:
        order: Json = {
            "order_id": str(next(self._order_ids)),
            # Wall-clock milliseconds, so that no instance's orders are refused as old.
            "fence": time.time_ns() // 1_000_000,
            "kind": kind,
            "model": model,
            "adapter": "",
            "replica_id": f"{model}-{time.time_ns()}",
            "sender": "baseline",
        }
        try:
            return call(server.port, "POST", "/v1/orders", order)[0] == 202
        except OSError:
            return False

    def run_reports(self) -> None:
        """Poll all servers; runs in a greenlet of its own."""
        while True:
            polls = [gevent.spawn(self._poll, s) for s in self._settings.servers]
            gevent.joinall(polls, timeout=REPORT_INTERVAL_S)
            gevent.sleep(REPORT_INTERVAL_S)

    def _poll(self, server: BaselineServer) -> None:
        # A server that does not answer keeps its last report: failures are found by
        # errors only.
        try:
            self._reports[server.id] = call_json(server.port, "GET", "/v1/report")
        except (OSError, ProcessError, ValueError):
            return

    def run_idle_timer(self) -> None:
        """Unload models after a fixed idle time; runs in a greenlet of its own."""
        limit_s = self._settings.idle_unload_s
        while limit_s > 0:
            gevent.sleep(REPORT_INTERVAL_S)
            now = time.monotonic()
            for model, used_at in list(self._used_at.items()):
                if now - used_at < limit_s:
                    continue
                del self._used_at[model]
                for server_id in self._holders(model):
                    self._order(self._server_by_id[server_id], "unload", model)


def _problem(status: int, code: str, run: str = "not_run") -> Response:
    body: dict[str, Any] = {"status": status, "code": code, "run": run}
    return Response(status, json.dumps(body).encode(), "application/problem+json")


@click.command()
@click.argument("path", type=click.Path(exists=True, path_type=Path))
def main(path: Path) -> None:
    """Run one baseline instance with the settings in a JSON file."""
    document = json.loads(path.read_text(encoding="utf-8"))
    entry = BaselineEntry(make_converter().structure(document, BaselineSettings))
    gevent.spawn(entry.run_reports)
    gevent.spawn(entry.run_idle_timer)
    serve(entry, 0)


if __name__ == "__main__":
    main()
