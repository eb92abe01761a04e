"""Stand-in for a model engine.

The engine runs all requests in one batch. Each token takes ``token_s`` while at most
``capacity`` requests run; with more it takes proportionally longer, and the report
shows the excess as queued. The engine accepts orders to load and unload models and
adapters, fetches checkpoints from the weight store, and reports its state with a lag.
A cold engine (just started) fails under full load: until it has served ``warm_after``
requests, more than ``cold_limit`` concurrent requests make it lose all replicas and
requests and become cold again.

``POST /admin/faults`` sets faults: ``turn_cold`` (once), ``warm`` (never cold),
``lose_order_answers`` (carry out this many orders but close the connection without a
response), ``cut_streams_after`` (tokens, 0 is off), ``stall_loads``, ``cross_answers``
(echo another request's id in this many responses). ``POST /admin/catalog`` with
``{name: {"memory_mib": m, "load_s": s}}`` sets the sizes of models and adapters.
``GET /admin/observed`` returns the engine's counters to tests.
"""

from __future__ import annotations

import itertools
import json
import time
import uuid
from collections import deque
from collections.abc import Iterator
from typing import Final

import attrs
import click
import gevent
from geventhttpclient import HTTPClient

from .wsgi import (
    App,
    CloseConnection,
    Json,
    Request,
    Response,
    has_credential,
    serve,
)

REPORT_STEP_S: Final = 0.05
STORE_TIMEOUT_S: Final = 120.0


@attrs.define
class EngineSettings:
    """Settings of an engine."""

    server_id: str
    memory_mib: int
    capacity: int
    checks_fencing: bool
    report_lag_s: float
    token_s: float
    cold_limit: int
    warm_after: int
    store_port: int


@attrs.frozen
class ModelSize:
    """Memory and load time of a model or an adapter."""

    memory_mib: int
    load_s: float


@attrs.define
class LoadedReplica:
    """A replica in this engine's memory."""

    replica_id: str
    model: str
    adapter: str
    memory_mib: int
    state: str = "loading"


@attrs.define
class EngineFaults:
    """Faults that are currently injected."""

    lose_order_answers: int = 0
    cut_streams_after: int = 0
    stall_loads: bool = False
    # Number of responses that echo the id of another request.
    cross_answers: int = 0
    warm: bool = False


@attrs.define
class EngineObservations:
    """Counters of an engine that tests read."""

    loads: list[str] = attrs.field(factory=list)
    orders: int = 0
    requests: int = 0
    cancelled: int = 0
    max_running: int = 0
    max_used_mib: int = 0
    max_cold_running: int = 0
    falls: int = 0
    credentials_seen: int = 0
    stale_orders: int = 0
    # Header `traceparent` of the last request.
    last_traceparent: str = ""


class Engine:
    """State of an engine: its replicas, its batch and its reports."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = EngineFaults()
        self.observations = EngineObservations()
        self._boot_ids = itertools.count(1)
        self._boot_prefix = uuid.uuid4().hex[:8]
        self.replica_by_target: dict[tuple[str, str], LoadedReplica] = {}
        self.tier_by_model: dict[str, str] = {}
        self.size_by_name: dict[str, ModelSize] = {}
        self.running_ids: set[str] = set()
        self.highest_fence = 0
        self._snapshots: deque[tuple[float, Json]] = deque()
        self.boot_id = ""
        self._served_count = 0
        self.turn_cold()

    def turn_cold(self) -> None:
        """Drop all replicas and requests and start a new boot, as a restart does."""
        self.boot_id = f"{self._boot_prefix}-{next(self._boot_ids)}"
        self.replica_by_target.clear()
        self.running_ids.clear()
        self._served_count = 0
        self.highest_fence = 0

    @property
    def is_cold(self) -> bool:
        """Whether the engine still has to warm up."""
        return not self.faults.warm and self._served_count < self.settings.warm_after

    def used_mib(self) -> int:
        """Return the memory of all replicas, including those that are loading."""
        return sum(replica.memory_mib for replica in self.replica_by_target.values())

    def begin_request(self, request_id: str) -> bool:
        """Add a request to the batch; return False if a cold engine failed under it."""
        self.observations.requests += 1
        self.running_ids.add(request_id)
        running = len(self.running_ids)
        self.observations.max_running = max(self.observations.max_running, running)
        if self.is_cold:
            previous_max = self.observations.max_cold_running
            self.observations.max_cold_running = max(previous_max, running)
            if running > self.settings.cold_limit:
                self.observations.falls += 1
                self.turn_cold()
                return False
        return True

    def end_request(self, request_id: str) -> None:
        """Remove a request from the batch and count it as served."""
        if request_id in self.running_ids:
            self.running_ids.discard(request_id)
            self._served_count += 1

    def token_interval_s(self) -> float:
        """Return the time that the next token takes at the current batch size."""
        load_ratio = len(self.running_ids) / self.settings.capacity
        return self.settings.token_s * max(1.0, load_ratio)

    def handle_order(self, order: Json) -> Response:
        """Carry out an order to load or unload a model or an adapter."""
        self.observations.orders += 1
        fence = int(order.get("fence", 0))
        if self.settings.checks_fencing:
            if fence < self.highest_fence:
                self.observations.stale_orders += 1
                return Response.from_json({"error": "stale_fence"}, 409)
            self.highest_fence = fence
        if order["kind"].startswith("unload"):
            return self._unload(order)
        return self._load(order)

    def _unload(self, order: Json) -> Response:
        model, adapter = order["model"], order.get("adapter", "")
        for target in list(self.replica_by_target):
            if target == (model, adapter) or (not adapter and target[0] == model):
                del self.replica_by_target[target]
        if not adapter:
            self.tier_by_model[model] = "memory"
        return Response.from_json({"accepted": True}, 202)

    def _load(self, order: Json) -> Response:
        target = (order["model"], order.get("adapter", ""))
        if target in self.replica_by_target:
            return Response.from_json({"accepted": True}, 202)
        size = self.size_by_name[target[1] or target[0]]
        memory_mib = size.memory_mib
        if self.used_mib() + memory_mib > self.settings.memory_mib:
            # A real engine would run out of memory here; the stand-in rejects the order
            # and records the memory that it would have needed.
            self.observations.max_used_mib = self.used_mib() + memory_mib
            return Response.from_json({"error": "no_memory"}, 507)
        replica = LoadedReplica(order["replica_id"], *target, memory_mib)
        self.replica_by_target[target] = replica
        self.observations.max_used_mib = max(
            self.observations.max_used_mib, self.used_mib()
        )
        self.observations.loads.append(target[1] or target[0])
        gevent.spawn(self._fetch, replica, size.load_s, self.boot_id)
        return Response.from_json({"accepted": True}, 202)

    def _fetch(self, replica: LoadedReplica, load_s: float, boot_id: str) -> None:
        if replica.adapter:
            path = f"/v1/adapters/{replica.adapter}?load_s={load_s}"
        else:
            tier = self.tier_by_model.get(replica.model, "remote")
            time_share = {"memory": 0.05, "disk": 0.3}.get(tier, 1.0)
            path = f"/v1/checkpoints/{replica.model}?load_s={load_s * time_share}"
        is_loaded = self._request_from_store(path)
        if self.boot_id != boot_id or self.faults.stall_loads:
            return
        replica.state = "loaded" if is_loaded else "failed"
        if is_loaded and not replica.adapter:
            self.tier_by_model[replica.model] = "memory"

    def _request_from_store(self, path: str) -> bool:
        client = HTTPClient(
            "127.0.0.1",
            port=self.settings.store_port,
            network_timeout=STORE_TIMEOUT_S,
            concurrency=1,
        )
        try:
            return bool(client.get(path).status_code == 200)
        except OSError:
            return False
        finally:
            client.close()

    def run_reports(self) -> None:
        """Take snapshots at a fixed interval; runs forever in its own greenlet."""
        while True:
            now = time.monotonic()
            self._snapshots.append((now, self.snapshot()))
            limit = now - self.settings.report_lag_s
            while len(self._snapshots) > 1 and self._snapshots[1][0] <= limit:
                self._snapshots.popleft()
            gevent.sleep(REPORT_STEP_S)

    def lagged_report(self) -> Json:
        """Return the snapshot that is current at the report lag, with its age."""
        taken_at, snapshot = self._snapshots[0]
        return {**snapshot, "age_ms": int((time.monotonic() - taken_at) * 1000)}

    def snapshot(self) -> Json:
        """Return the engine's present state as a report."""
        running = len(self.running_ids)
        return {
            "server_id": self.settings.server_id,
            "boot_id": self.boot_id,
            "capacity": self.settings.capacity,
            "running": min(running, self.settings.capacity),
            "queued": max(0, running - self.settings.capacity),
            "memory_mib": self.settings.memory_mib,
            "used_mib": self.used_mib(),
            "replicas": [
                {
                    "model": replica.model,
                    "adapter": replica.adapter,
                    "state": replica.state,
                    "replica_id": replica.replica_id,
                }
                for replica in self.replica_by_target.values()
            ],
            "checkpoints": dict(self.tier_by_model),
            "highest_fence": self.highest_fence,
        }


class EngineApp(App):
    """HTTP interface of the engine."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self._request_ids = itertools.count(1)

    def handle_request(self, request: Request) -> Response:
        """Return the response to a request."""
        if request.path == "/v1/report":
            return Response.from_json(self._engine.lagged_report())
        if request.path == "/v1/orders":
            return self._handle_order(request)
        if request.path.startswith("/v1/cancel/"):
            return self._handle_cancel(request.path.rsplit("/", 1)[1])
        if request.path.startswith("/admin/"):
            return self._handle_admin(request)
        if request.path in ("/v1/chat/completions", "/v1/completions"):
            return self._handle_completion(request)
        return Response.from_json({"error": "not found"}, 404)

    def _handle_order(self, request: Request) -> Response:
        response = self._engine.handle_order(request.json())
        if self._engine.faults.lose_order_answers > 0:
            self._engine.faults.lose_order_answers -= 1
            raise CloseConnection
        return response

    def _handle_cancel(self, request_id: str) -> Response:
        if request_id in self._engine.running_ids:
            self._engine.observations.cancelled += 1
            self._engine.end_request(request_id)
        return Response.from_json({})

    def _handle_admin(self, request: Request) -> Response:
        if request.path == "/admin/faults":
            for name, value in request.json().items():
                if name == "turn_cold":
                    self._engine.turn_cold()
                else:
                    setattr(self._engine.faults, name, value)
            return Response.from_json({})
        if request.path == "/admin/catalog":
            for name, size in request.json().items():
                self._engine.size_by_name[name] = ModelSize(**size)
            return Response.from_json({})
        return Response.from_json(attrs.asdict(self._engine.observations))

    def _handle_completion(self, request: Request) -> Response:
        engine = self._engine
        if has_credential(request):
            engine.observations.credentials_seen += 1
        engine.observations.last_traceparent = request.headers.get("traceparent", "")
        body = request.json()
        target = self._find_target(body)
        replica = engine.replica_by_target.get(target)
        if replica is None or replica.state != "loaded":
            return Response.from_json({"error": "model is not loaded"}, 404)
        request_id = request.headers.get("x-request-id") or str(next(self._request_ids))
        if not engine.begin_request(request_id):
            raise CloseConnection
        tokens = int(body.get("max_tokens", 16))
        headers = (("X-Request-Id", self._echoed_request_id(request_id)),)
        if body.get("stream"):
            lines = self._stream_events(request_id, tokens)
            return Response(200, lines, "text/event-stream", headers)
        return self._full_response(request_id, tokens, headers)

    def _echoed_request_id(self, request_id: str) -> str:
        if self._engine.faults.cross_answers > 0:
            self._engine.faults.cross_answers -= 1
            return f"another-{request_id}"
        return request_id

    def _find_target(self, body: Json) -> tuple[str, str]:
        name = body["model"]
        for model, adapter in self._engine.replica_by_target:
            if adapter == name:
                return (model, adapter)
        return (name, "")

    def _generate_tokens(self, request_id: str, tokens: int) -> Iterator[str]:
        engine, boot_id = self._engine, self._engine.boot_id
        cut_after = engine.faults.cut_streams_after
        for number in range(tokens):
            gevent.sleep(engine.token_interval_s())
            if engine.boot_id != boot_id or (cut_after and number >= cut_after):
                raise CloseConnection
            if request_id not in engine.running_ids:
                return
            yield f"{request_id}:{number} "

    def _stream_events(self, request_id: str, tokens: int) -> Iterator[bytes]:
        try:
            for text in self._generate_tokens(request_id, tokens):
                yield _event({"choices": [{"index": 0, "delta": {"content": text}}]})
            usage = {"prompt_tokens": 1, "completion_tokens": tokens}
            final = {"index": 0, "delta": {}, "finish_reason": "stop"}
            yield _event({"choices": [final], "usage": usage})
            yield b"data: [DONE]\n\n"
        finally:
            self._engine.end_request(request_id)

    def _full_response(
        self, request_id: str, tokens: int, headers: tuple[tuple[str, str], ...]
    ) -> Response:
        try:
            text = "".join(self._generate_tokens(request_id, tokens))
        finally:
            self._engine.end_request(request_id)
        message = {"role": "assistant", "content": text}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        usage = {"prompt_tokens": 1, "completion_tokens": tokens}
        answer = {"id": request_id, "choices": [choice], "usage": usage}
        return Response(200, json.dumps(answer).encode(), headers=headers)


def _event(data: Json) -> bytes:
    return b"data: " + json.dumps(data).encode() + b"\n\n"


@click.command()
@click.option("--port", default=0, help="Port to bind; 0 lets the kernel choose.")
@click.option("--server-id", required=True)
@click.option("--store-port", required=True, type=int)
@click.option("--memory-mib", default=1000)
@click.option("--capacity", default=16)
@click.option("--checks-fencing/--ignores-fencing", default=True)
@click.option("--report-lag-s", default=0.3)
@click.option("--token-s", default=0.005)
@click.option("--cold-limit", default=4)
@click.option("--warm-after", default=8)
def main(port: int, **options: object) -> None:
    """Run the engine stand-in."""
    engine = Engine(EngineSettings(**options))  # type: ignore[arg-type]
    gevent.spawn(engine.run_reports)
    serve(EngineApp(engine), port)


if __name__ == "__main__":
    main()
