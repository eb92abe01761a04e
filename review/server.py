"""Stand-in for a server of the users' platform, for the cases in review/.

It writes its registry entry at each heartbeat, answers GET /health and runs requests.
Every request that reaches it is appended to a JSON-lines file with the wall-clock time.
Commands come as JSON lines on standard input:

  {"leave": true}       its entry is removed; it serves on until it is told to exit
  {"exit": true}        it ends; what it runs is broken off

Each command is acknowledged with a JSON line that holds the time at which the store had
accepted the change.
"""

from __future__ import annotations

import argparse
import base64
import http.client
import json
import os
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class State:
    """State of the server; one lock protects all of it."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.lock = threading.Lock()
        self.seq = 0
        self.running = 0
        self.is_registered = True
        self.born_ms = int(time.time() * 1000)
        self.log = open(options.log, "a", encoding="utf-8", buffering=1)

    def record(self, **fields: object) -> None:
        with self.lock:
            self.log.write(json.dumps(fields) + "\n")

    def entry(self) -> dict[str, object]:
        return {
            "service": self.options.service,
            "addr": f"127.0.0.1:{self.options.port}",
            "zone": self.options.zone,
            "version": "v1",
            "slots": self.options.slots,
            "state": "ready",
            "cold_ms": 0,
            "seq": self.seq,
            "born": self.born_ms,
            "stage": "colocated",
            "models": [],
        }

    def admin(self, path: str, body: dict[str, object]) -> None:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self.options.store_port, timeout=5
        )
        try:
            connection.request("POST", path, json.dumps(body))
            response = connection.getresponse()
            response.read()
            assert response.status == 200, response.status
        finally:
            connection.close()

    def register(self) -> None:
        key = f"servers/{self.options.id}"
        with self.lock:
            if not self.is_registered:
                return
            self.seq += 1
            value = base64.b64encode(json.dumps(self.entry()).encode()).decode()
            self.admin("/admin/put", {"key": key, "value": value})

    def leave(self) -> None:
        with self.lock:
            self.is_registered = False
            self.admin("/admin/remove", {"key": f"servers/{self.options.id}"})


class Handler(BaseHTTPRequestHandler):
    """Runs one connection."""

    protocol_version = "HTTP/1.1"
    state: State

    def log_message(self, *args: object) -> None:
        return

    def do_GET(self) -> None:
        self.serve()

    def do_POST(self) -> None:
        self.serve()

    def serve(self) -> None:
        state = self.state
        at = time.time()
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length)
        request_id = self.headers.get("Request-Id", "")
        if self.path == "/health":
            self.answer(200, b"", [("Instance-Id", state.options.id)])
            return
        echo = [("Request-Id", request_id)]
        if self.headers.get("Expect-Instance", state.options.id) != state.options.id:
            state.record(event="misdirected", id=request_id, at=at)
            self.answer(421, b"", [*echo, ("Instance-Id", state.options.id)])
            return
        with state.lock:
            full = state.running >= state.options.slots
            if not full:
                state.running += 1
        if full:
            state.record(event="shed", id=request_id, at=at)
            self.answer(503, b"", [*echo, ("Not-Run", "1")])
            return
        state.record(event="run", id=request_id, at=at, path=self.path)
        time.sleep(state.options.work_s)
        with state.lock:
            running = state.running
            state.running -= 1
        load = f"{running},0,{state.options.slots}"
        stamp = ("Server-Stamp", f"{state.options.id}.{request_id}")
        data = b"answer to " + request_id.encode() + b" " + body
        self.answer(200, data, [*echo, stamp, ("Server-Load", load)])

    def answer(self, status: int, body: bytes, headers: list[tuple[str, str]]) -> None:
        try:
            self.send_response_only(status)
            for name, value in headers:
                self.send_header(name, value)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)
        except OSError:
            self.close_connection = True


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256


def main() -> None:
    parser = argparse.ArgumentParser()
    for name in ("--id", "--service", "--zone", "--log"):
        parser.add_argument(name, required=True)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store-port", type=int, required=True)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--work-s", type=float, default=0.09)
    parser.add_argument("--heartbeat-s", type=float, default=1.2)
    options = parser.parse_args()
    state = State(options)
    Handler.state = state
    server = Server(("127.0.0.1", options.port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()

    def beat() -> None:
        while True:
            state.register()
            time.sleep(options.heartbeat_s)

    state.register()
    threading.Thread(target=beat, daemon=True).start()
    print(json.dumps({"ready": True}), flush=True)
    for line in sys.stdin:
        command = json.loads(line)
        if command.get("leave"):
            state.leave()
        state.record(event="command", command=command, at=time.time())
        print(json.dumps({"done": command, "at": time.time()}), flush=True)
        if command.get("exit"):
            os._exit(0)


if __name__ == "__main__":
    main()
