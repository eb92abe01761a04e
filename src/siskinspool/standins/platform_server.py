"""Stand-in for a server on the users' platform: a model server or a plain server.

The server writes its registry entry, accepts orders with holder, epoch number and
expected count, reports its models and adapters, and serves event streams or plain
responses. ``GET /admin/seen`` returns the requests that it ran, with monotonic times.
``POST /admin/faults`` sets ``fail`` (status of all responses), ``cut_after`` (number of
events after which a stream breaks), ``reset`` (connections are reset before a
response), ``full`` (status 503 with ``Not-Run``), ``leaving`` (all responses say so),
``event_s`` (seconds between events), ``retry_after`` (a pause of this many seconds is
stated to each request), ``crashing_part`` (id of a prompt part; the process ends as it
begins to answer a request with it), ``dies_silently`` (without a byte of that answer),
``unregistered`` (the registry entry is not written any more), ``any_epoch`` (orders
with a lower epoch number than an earlier one are carried out),
``answer_bytes`` (size of plain responses), ``event_bytes`` (least size of an event),
``event_count`` (events of a stream) and ``endless`` (a key of `ENDLESS_ANSWERS`: what
each response has without end).
"""

from __future__ import annotations

import base64
import json
import os
import time
from collections.abc import Iterator
from typing import Any, Final

import attrs
import click
import gevent

from .processes import call_json
from .wsgi import (
    App,
    CloseConnection,
    EndlessAnswer,
    Json,
    Request,
    Response,
    serve,
)

HEARTBEAT_S: Final = 0.3
STREAM_EVENTS: Final = 6
CRASH_STATUS: Final = 1
_SHORT_LINES: Final = b"a:\r\n" * 4_096
_CHUNKED: Final = b"Transfer-Encoding: chunked\r\n\r\n"
# What follows the usual lines of a head, and then comes without end.
ENDLESS_ANSWERS: Final = {
    "head": (b"", _SHORT_LINES),
    "chunks": (_CHUNKED, b"1\r\na\r\n" * 4_096),
    "extension": (_CHUNKED + b"4;", b"a" * 16_384),
    "trailers": (_CHUNKED + b"4\r\ndone\r\n0\r\n", _SHORT_LINES),
}


@attrs.define(kw_only=True)
class PlatformServerSettings:
    """Settings of a platform server."""

    server_id: str
    service: str
    zone: str
    store_port: int
    # None for a plain server.
    models: list[str] | None
    software_version: str = "v1"
    load_s: float = 0.2
    event_s: float = 0.02


@attrs.define
class _Faults:
    fail: int = 0
    cut_after: int = 0
    reset: bool = False
    full: bool = False
    # `Server-Leaving` in all answers.
    leaving: bool = False
    # Time between events in seconds; 0 for the one of the settings.
    event_s: float = 0.0
    # `Retry-After` of an answer with 503 and `Not-Run` to each request; empty for none.
    retry_after: str = ""
    crashing_part: str = ""
    dies_silently: bool = False
    # The registry entry is not written any more.
    unregistered: bool = False
    # Epoch numbers are not checked.
    any_epoch: bool = False
    answer_bytes: int = 0
    event_bytes: int = 0
    event_count: int = STREAM_EVENTS
    # A key of `ENDLESS_ANSWERS`; empty for none.
    endless: str = ""


class PlatformServerApp(App):
    """HTTP interface and state of a platform server."""

    def __init__(self, settings: PlatformServerSettings) -> None:
        self._settings = settings
        self._started_at_ms = int(time.time() * 1000)
        self._adapters_by_model: dict[str, list[str]] = {
            model: [] for model in settings.models or []
        }
        self._order_count = 0
        self._epoch = 0
        self._is_loading = False
        self._state = "ready"
        self._write_count = 0
        self._faults = _Faults()
        self._seen_requests: list[Json] = []
        # All requests that have arrived, also rejected ones, orders and reports.
        self._arrivals: list[Json] = []
        self._port = 0

    def run_registration(self, port: int) -> None:
        """Write the registry entry at a fixed interval; runs forever."""
        self._port = port
        while True:
            if not self._faults.unregistered:
                self.register()
            gevent.sleep(HEARTBEAT_S)

    def register(self) -> None:
        """Write the registry entry with the current state."""
        self._write_count += 1
        entry = self._description() | {
            "service": self._settings.service,
            "addr": f"127.0.0.1:{self._port}",
            "zone": self._settings.zone,
            "version": self._settings.software_version,
            "slots": 8,
            "state": self._state,
            "cold_ms": 0,
            "seq": self._write_count,
        }
        value = base64.b64encode(json.dumps(entry).encode()).decode("ascii")
        body = {"key": f"servers/{self._settings.server_id}", "value": value}
        call_json(self._settings.store_port, "POST", "/admin/put", body)

    def handle_request(self, request: Request) -> Response:
        """Return the response to a request."""
        if request.path.startswith("/admin/"):
            return self._handle_admin(request)
        arrival: Json = {"at": time.monotonic(), "path": request.path}
        if request.path == "/-/order":
            arrival["order"] = request.json()
        self._arrivals.append(arrival)
        response = self._answer(request)
        if self._faults.leaving:
            headers = (*response.headers, ("Server-Leaving", "1"))
            return attrs.evolve(response, headers=headers)
        return response

    def _answer(self, request: Request) -> Response:
        expected = request.headers.get("expect-instance", self._settings.server_id)
        if expected != self._settings.server_id:
            return self._misdirected_response(request)
        if request.path == "/-/report":
            report = self._description() | {
                "busy": self._is_loading,
                "seq": self._order_count,
            }
            return Response.from_json(report)
        if request.path == "/-/order":
            return self._handle_order(request.json())
        return self._run_request(request)

    def _run_request(self, request: Request) -> Response:
        faults = self._faults
        if faults.retry_after:
            pause = ("Retry-After", faults.retry_after)
            return Response(
                503,
                b"",
                headers=(("Not-Run", "1"), pause, _request_id_header(request)),
            )
        if faults.full:
            return Response(
                503, b"", headers=(("Not-Run", "1"), _request_id_header(request))
            )
        model, _, adapter = request.headers.get("model", "").partition("/")
        if model and not self._has_replica(model, adapter):
            return self._misdirected_response(request)
        self._seen_requests.append(
            {
                "id": request.headers.get("request-id", ""),
                "at": time.monotonic(),
                "path": request.path,
                "query": request.query,
                "headers": request.headers,
                "body": request.body.decode("latin-1"),
            }
        )
        if faults.reset:
            raise CloseConnection
        headers = (
            _request_id_header(request),
            ("Server-Stamp", f"stamp-{self._settings.server_id}"),
            ("Server-Load", "1,0,8"),
        )
        if faults.endless:
            rest, piece = ENDLESS_ANSWERS[faults.endless]
            lines = "".join(f"{name}: {text}\r\n" for name, text in headers)
            head = f"HTTP/1.1 200 OK\r\n{lines}".encode()
            raise EndlessAnswer(head + rest, piece)
        if faults.fail:
            return Response(faults.fail, b"failed", headers=headers)
        if not model:
            answer = (b"answer of " + request.body).ljust(faults.answer_bytes, b".")
            return Response(200, answer, headers=headers)
        first = int(request.headers.get("last-event-id", "0")) + 1
        is_crashing = faults.crashing_part in _part_ids(request)
        events = self._crash() if is_crashing else self._events(first)
        return Response(200, events, content_type="text/event-stream", headers=headers)

    def _crash(self) -> Iterator[bytes]:
        """End the process at the beginning of an answer."""
        gevent.sleep(self._settings.event_s)
        if not self._faults.dies_silently:
            yield b"id: "
        os._exit(CRASH_STATUS)

    def _events(self, first: int) -> Iterator[bytes]:
        for number in range(first, self._faults.event_count + 1):
            if self._faults.cut_after and number > self._faults.cut_after:
                raise CloseConnection
            gevent.sleep(self._faults.event_s or self._settings.event_s)
            data = f"piece {number}".ljust(self._faults.event_bytes, ".")
            yield f"id: {number}\ndata: {data}\n\n".encode()

    def _handle_order(self, body: Json) -> Response:
        if body["fence"] < self._epoch and not self._faults.any_epoch:
            return Response.from_json({}, 412)
        self._epoch = body["fence"]
        if (
            self._is_loading
            or body.get("expect", self._order_count) != self._order_count
        ):
            return Response.from_json({}, 409)
        self._order_count += 1
        adapters = self._adapters_by_model
        model, adapter = body["model"], body.get("adapter", "")
        if adapter:
            loaded = adapters[model]
            loaded.append(adapter) if body["op"] == "load" else loaded.remove(adapter)
            return Response.from_json({}, 202)
        if body["op"] == "unload":
            adapters.pop(model, None)
            return Response.from_json({}, 202)
        self._is_loading = True
        gevent.spawn_later(self._settings.load_s, self._finish_load, model)
        return Response.from_json({}, 202)

    def _finish_load(self, model: str) -> None:
        self._is_loading = False
        self._adapters_by_model.setdefault(model, [])

    def _has_replica(self, model: str, adapter: str) -> bool:
        loaded_adapters = self._adapters_by_model.get(model)
        return loaded_adapters is not None and (
            not adapter or adapter in loaded_adapters
        )

    def _description(self) -> dict[str, Any]:
        return {
            "stage": "colocated",
            "born": self._started_at_ms,
            "models": [
                {"name": model, "version": 1, "adapters": adapters}
                for model, adapters in self._adapters_by_model.items()
            ],
        }

    def _misdirected_response(self, request: Request) -> Response:
        instance_id = ("Instance-Id", self._settings.server_id)
        return Response(421, b"", headers=(instance_id, _request_id_header(request)))

    def _handle_admin(self, request: Request) -> Response:
        if request.path == "/admin/faults":
            for name, value in request.json().items():
                setattr(self._faults, name, value)
        if request.path == "/admin/drain":
            self._state = "draining"
            self.register()
        return Response.from_json(
            {
                "seen": self._seen_requests,
                "arrivals": self._arrivals,
                "orders": self._order_count,
            }
        )


def _part_ids(request: Request) -> list[str]:
    items = request.headers.get("prompt-prefix", "").split(",")
    return [item.partition(":")[0] for item in items if item]


def _request_id_header(request: Request) -> tuple[str, str]:
    return "Request-Id", request.headers.get("request-id", "")


@click.command()
@click.option("--port", required=True, type=int)
@click.option("--server-id", required=True)
@click.option("--service", required=True)
@click.option("--zone", default="a")
@click.option("--store-port", required=True, type=int)
@click.option("--model", "models", multiple=True, help="A model loaded at the start.")
@click.option("--engine/--plain", default=False)
@click.option("--software-version", default="v1")
def main(
    port: int,
    server_id: str,
    service: str,
    zone: str,
    store_port: int,
    models: tuple[str, ...],
    engine: bool,
    software_version: str,
) -> None:
    """Run the stand-in for a server of the platform."""
    settings = PlatformServerSettings(
        server_id=server_id,
        service=service,
        zone=zone,
        store_port=store_port,
        models=list(models) if engine else None,
        software_version=software_version,
    )
    app = PlatformServerApp(settings)
    gevent.spawn(app.run_registration, port)
    serve(app, port)


if __name__ == "__main__":
    main()
