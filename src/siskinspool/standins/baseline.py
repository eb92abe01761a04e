"""Baseline system that the measures compare the product with.

Each process is an entry instance that does not coordinate with the others. It gives
each team a fixed part of its rate, loads a model on a random server at the first
request, picks a random server among those that report the model, keeps one first-come
first-served queue for all teams, and unloads models after a fixed idle time. It has
neither ramps nor zone states. Only the measures use it; it is no option of the product.
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
MAX_LOAD_ATTEMPTS: Final = 3
MAX_SEND_ATTEMPTS: Final = 2
# Time without reports after which an instance takes a server for gone.
REPORT_TIMEOUT_S: Final = 1.0


@attrs.frozen(kw_only=True)
class BaselineServer:
    """An engine that instances may send requests to."""

    id: str
    port: int
    capacity: int


@attrs.frozen(kw_only=True)
class BaselineTeam:
    """The contract of a team, for all instances together, and its API key."""

    id: str
    rate: float
    burst: float
    key: str


@attrs.frozen(kw_only=True)
class BaselineSettings:
    """Settings of a baseline instance."""

    instances: int
    servers: tuple[BaselineServer, ...]
    teams: tuple[BaselineTeam, ...]
    # Idle time after which this instance unloads a model; 0 never unloads.
    idle_unload_s: float = 0.0
    # Whether the rates of teams are enforced.
    limits: bool = True
    seed: int = 1


@attrs.define
class RateBucket:
    """Token bucket for a fixed part of a team's contract."""

    rate: float
    burst: float
    level: float
    filled_at: float

    def try_spend(self, tokens: float, now: float) -> bool:
        """Spend tokens and return True if there are enough of them."""
        refilled = self.level + (now - self.filled_at) * self.rate
        self.level = min(self.burst, refilled)
        self.filled_at = now
        if self.level < tokens:
            return False
        self.level -= tokens
        return True


class _QueueSlot:
    """A slot of the instance's queue; releasing it again has no effect."""

    def __init__(self, semaphore: BoundedSemaphore) -> None:
        self._semaphore = semaphore
        self._is_held = True

    def release(self) -> None:
        if self._is_held:
            self._is_held = False
            self._semaphore.release()


class _StreamedAnswer:
    """A streamed answer that owns the connection to the server and a queue slot."""

    def __init__(self, answer: Answer, slot: _QueueSlot) -> None:
        self._answer = answer
        self._slot = slot

    def __iter__(self) -> Iterator[bytes]:
        for event in self._answer.events():
            if isinstance(event, Lost):
                raise CloseConnection
            yield event

    def close(self) -> None:
        """Close the connection and release the slot; called by the WSGI server."""
        self._answer.close()
        self._slot.release()


class BaselineEntry(App):
    """WSGI application of a baseline instance."""

    def __init__(self, settings: BaselineSettings) -> None:
        self._settings = settings
        self._random = random.Random(settings.seed)
        self._link = HttpServerLink()
        self._server_by_id = {server.id: server for server in settings.servers}
        self._report_by_server: dict[str, Json] = {}
        self._load_event_by_model: dict[str, Event] = {}
        self._used_at_by_model: dict[str, float] = {}
        self._order_ids = itertools.count(1)
        capacity = sum(server.capacity for server in settings.servers)
        self._queue_slots = BoundedSemaphore(max(1, capacity // settings.instances))
        instance_share = 1 / settings.instances
        now = time.monotonic()
        self._team_by_key = {team.key: team for team in settings.teams}
        self._bucket_by_team = {
            team.id: RateBucket(
                team.rate * instance_share,
                team.burst * instance_share,
                team.burst * instance_share,
                now,
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
        return self._send_when_loaded(
            request, str(body["model"]), now + int(deadline_ms) / 1000
        )

    def _send_when_loaded(
        self, request: Request, model: str, deadline: float
    ) -> Response:
        self._used_at_by_model[model] = time.monotonic()
        if not self._wait_for_replica(model, deadline):
            return _problem(504, "deadline_passed")
        if not self._queue_slots.acquire(timeout=max(0.0, deadline - time.monotonic())):
            return _problem(504, "deadline_passed")
        slot = _QueueSlot(self._queue_slots)
        response: Response | None = None
        try:
            response = self._send(request, model, deadline, slot)
            return response
        finally:
            if response is None or isinstance(response.body, bytes):
                slot.release()

    def _send(
        self, request: Request, model: str, deadline: float, slot: _QueueSlot
    ) -> Response:
        result: Answer | NotSent | Lost = NotSent("no server has the model")
        for _ in range(MAX_SEND_ATTEMPTS):
            server_ids = self._servers_with_model(model)
            if not server_ids:
                break
            server = self._server_by_id[self._random.choice(server_ids)]
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
                return self._relay_answer(result, slot)
        if isinstance(result, NotSent):
            return _problem(503, "server_failed")
        return _problem(502, "server_failed", "unknown")

    def _relay_answer(self, answer: Answer, slot: _QueueSlot) -> Response:
        content_type = answer.headers.get("content-type", "application/json")
        if content_type.startswith("text/event-stream"):
            return Response(200, _StreamedAnswer(answer, slot), content_type)
        body = answer.read_all()
        answer.close()
        if isinstance(body, Lost):
            return _problem(502, "server_failed", "unknown")
        return Response(200, body, content_type)

    def _servers_with_model(self, model: str) -> list[str]:
        return [
            server_id
            for server_id, report in self._report_by_server.items()
            if any(
                r["model"] == model and r["state"] == "loaded"
                for r in report["replicas"]
            )
        ]

    def _wait_for_replica(self, model: str, deadline: float) -> bool:
        """Wait for a replica, loading the model if no server reports it."""
        while not self._servers_with_model(model):
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return False
            loaded = self._load_event_by_model.get(model)
            if loaded is None:
                loaded = self._load_event_by_model[model] = Event()
                gevent.spawn(self._load, model, loaded)
            loaded.wait(timeout=remaining_s)
        return True

    def _load(self, model: str, loaded: Event) -> None:
        try:
            for _ in range(MAX_LOAD_ATTEMPTS):
                server = self._random.choice(self._settings.servers)
                if self._send_order(server, "load", model):
                    self._wait_for_report(model)
                    return
                self._unload_oldest(server, model)
        finally:
            # Waiting requests check again and start another load if none succeeded.
            self._load_event_by_model.pop(model, None)
            gevent.sleep(REPORT_INTERVAL_S / 5)
            loaded.set()

    def _wait_for_report(self, model: str) -> None:
        timeout_at = time.monotonic() + 30.0
        while time.monotonic() < timeout_at and not self._servers_with_model(model):
            gevent.sleep(REPORT_INTERVAL_S / 5)

    def _unload_oldest(self, server: BaselineServer, model_to_load: str) -> None:
        loaded_models = [
            r["model"]
            for r in self._report_by_server.get(server.id, {}).get("replicas", [])
        ]
        candidates = [model for model in loaded_models if model != model_to_load]
        if candidates:
            oldest = min(
                candidates, key=lambda model: self._used_at_by_model.get(model, 0.0)
            )
            self._send_order(server, "unload", oldest)

    def _send_order(self, server: BaselineServer, kind: str, model: str) -> bool:
        order: Json = {
            "order_id": str(next(self._order_ids)),
            # Wall-clock milliseconds, so that engines do not reject the orders of any
            # instance as stale.
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
        """Poll the reports of all servers; runs forever in its own greenlet."""
        while True:
            polls = [gevent.spawn(self._poll, s) for s in self._settings.servers]
            gevent.joinall(polls, timeout=REPORT_INTERVAL_S)
            gevent.sleep(REPORT_INTERVAL_S)

    def _poll(self, server: BaselineServer) -> None:
        # The last report of a server that does not respond stays in use: only failed
        # requests reveal that a server is gone.
        try:
            self._report_by_server[server.id] = call_json(
                server.port, "GET", "/v1/report"
            )
        except (OSError, ProcessError, ValueError):
            return

    def run_idle_timer(self) -> None:
        """Unload models after a fixed idle time; runs in its own greenlet."""
        limit_s = self._settings.idle_unload_s
        while limit_s > 0:
            gevent.sleep(REPORT_INTERVAL_S)
            now = time.monotonic()
            for model, used_at in list(self._used_at_by_model.items()):
                if now - used_at < limit_s:
                    continue
                del self._used_at_by_model[model]
                for server_id in self._servers_with_model(model):
                    self._send_order(self._server_by_id[server_id], "unload", model)


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
