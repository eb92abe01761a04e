"""A small deployment for the scripts of the second review.

`Site` holds the stand-ins (the platform's store, the servers) in this process and
starts gateways as separate processes with the command of the deploy file. Everything
listens on loopback addresses and uses the real clock. Only the standard library is
used. The stand-ins behave as a sound store and sound servers; a case changes single
servers.
"""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import logging
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs

ROOT = Path(__file__).resolve().parent.parent
HOST = "site.example"
KEY = "key-of-smiths"
ENV_NAMES = ("PATH", "HOME", "JAVA_HOME", "LANG")
# asyncio reports each write to a channel that the other side has reset.
logging.getLogger("asyncio").setLevel(logging.CRITICAL)


def free_port(host: str) -> int:
    with socket.socket() as sock:
        sock.bind((host, 0))
        return int(sock.getsockname()[1])


# HTTP


class Message:
    """A request or an answer that was read whole."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first, self.headers, self.body = first, headers, body
        words = first.split(" ", 2)
        self.method, self.target = words[0], words[1]
        self.path, _, self.query = self.target.partition("?")

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a message; raises IncompleteReadError if it ends early."""
    first, headers = await read_head(reader)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if not size:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return Message(first, headers, body)


def encode_answer(
    status: int, body: bytes = b"", headers: dict[str, str] | None = None
) -> bytes:
    lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 30.0,
) -> Message | str:
    """Send one request on a channel of its own; return the answer or what failed."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(encode_request(method, target, headers or {}, body))
            return await read_message(reader)
    except TimeoutError:
        return "no answer in time"
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return f"channel ended: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# The platform's store


class Store:
    """The platform's metadata store as PROTOCOL.md describes it."""

    def __init__(self) -> None:
        self.rev = 100
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.event_times: list[float] = []
        self.leases: dict[int, list[float]] = {}
        # When each lease was last renewed.
        self.renewed_at: dict[int, float] = {}
        # When a prefix was listed: (seconds, prefix).
        self.listings: list[tuple[float, str]] = []
        self.lease_ids = itertools.count(5000)
        self.changed = asyncio.Event()
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()[:2]
        self._expiry = asyncio.create_task(self._expire())

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        self.rev += 1
        old = self.items.get(key)
        created = old["created"] if old else self.rev
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "rev": self.rev,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._publish(item)

    def put_json(self, key: str, document: dict) -> None:
        self.put(key, json.dumps(document).encode())

    def remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.rev += 1
            self._publish({"key": key, "rev": self.rev, "removed": True})

    def _publish(self, event: dict) -> None:
        self.events.append(event)
        self.event_times.append(time.monotonic())
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until <= now:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        if self.leases.pop(lease, None) is not None:
            for key, item in list(self.items.items()):
                if item["lease"] == lease:
                    self.remove(key)

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                status, body = await self._answer(request)
                headers = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, json.dumps(body).encode(), headers))
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict]:
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        body = json.loads(request.body or b"{}")
        name, _, number = request.path.removeprefix("/-/").partition("/")
        if name == "kv-key":
            item = self.items.get(query["key"])
            return (
                (404, {}) if item is None else (200, item | {"current_rev": self.rev})
            )
        if name == "kv-range":
            self.listings.append((time.monotonic(), query["prefix"]))
            keys = sorted(key for key in self.items if key.startswith(query["prefix"]))
            keys = [key for key in keys if key > query.get("after", "")]
            page = [self.items[key] for key in keys[:500]]
            more = len(keys) > 500
            return 200, {"items": page, "truncated": more, "current_rev": self.rev}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(body)
        if name == "kv-lease":
            lease, ttl_s = next(self.lease_ids), body["ttl_ms"] / 1000
            self.leases[lease] = [time.monotonic() + ttl_s, ttl_s]
            return 200, {"lease": lease, "ttl_ms": body["ttl_ms"]}
        if name == "kv-keep":
            entry = self.leases.get(int(number))
            if entry is None:
                return 404, {}
            self.renewed_at[int(number)] = time.monotonic()
            entry[0] = time.monotonic() + entry[1]
            return 200, {"ttl_ms": round(entry[1] * 1000)}
        if name == "kv-lease-end":
            self._end_lease(int(number))
            return 200, {}
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            found = [
                event
                for event in self.events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "current_rev": self.rev}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> tuple[int, dict]:
        rows = body.get("expect", [])
        for row in rows:
            item = self.items.get(row["key"])
            if (item["rev"] if item else 0) != row["rev"]:
                known = [self.items.get(row["key"]) for row in rows]
                return 412, {"items": [item for item in known if item]}
        for write in body.get("writes", []):
            if write.get("lease") and write["lease"] not in self.leases:
                return 404, {}
        for write in body.get("writes", []):
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in body.get("remove", []):
            self.remove(key)
        return 200, {"rev": self.rev}


# Servers


class Server:
    """A sound server: a plain one, or a model server that takes orders."""

    def __init__(
        self,
        site: Site,
        server_id: str,
        service: str,
        models: list[str] | None = None,
        *,
        zone: str = "a",
        slots: int = 64,
        load_s: float = 0.3,
        require_fence: bool = True,
    ) -> None:
        self.site, self.id, self.service, self.zone = site, server_id, service, zone
        self.models = None if models is None else {name: [] for name in models}
        self.slots, self.load_s, self.require_fence = slots, load_s, require_fence
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = self.beats = self.fence = self.running = 0
        self.busy = False
        # What arrived: (seconds, what), for orders and for requests that ran.
        self.orders: list[tuple[float, dict, int]] = []
        self.runs: list[tuple[float, Message]] = []
        self.address = ("127.0.0.1", 0)

    async def start(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=2**24)
        self.address = server.sockets[0].getsockname()[:2]
        self._beat = asyncio.create_task(self._beats())

    def beat(self) -> None:
        self.beats += 1
        entry = {
            "service": self.service,
            "addr": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_ms": 0,
            "seq": self.beats,
            "born": self.born,
        }
        if self.models is not None:
            entry |= self._description()
        self.site.store.put_json(f"servers/{self.id}", entry)

    async def _beats(self) -> None:
        while True:
            self.beat()
            await asyncio.sleep(1.0)

    def _description(self) -> dict:
        models = [
            {"name": name, "version": 1, "adapters": list(adapters)}
            for name, adapters in (self.models or {}).items()
        ]
        return {"stage": "colocated", "models": models, "born": self.born}

    async def _serve(self, reader, writer) -> None:
        try:
            while True:
                request = await read_message(reader)
                await self.answer(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    def stamp(self, request: Message) -> dict[str, str]:
        return {
            "Request-Id": request.headers.get("request-id", ""),
            "Server-Stamp": f"stamp.{self.id}",
            "Server-Load": f"{self.running},0,{self.slots}",
        }

    async def answer(self, request: Message, writer) -> None:
        expected = request.headers.get("expect-instance", self.id)
        if expected != self.id:
            headers = {"Instance-Id": self.id} | self.stamp(request)
            writer.write(encode_answer(421, b"", headers))
        elif request.path == "/-/report":
            report = self._description() | {"busy": self.busy, "seq": self.seq}
            report |= {"queued": 0, "running": self.running}
            writer.write(encode_answer(200, json.dumps(report).encode()))
        elif request.path == "/-/order":
            order = json.loads(request.body)
            status = self.order(order)
            self.orders.append((time.monotonic(), order, status))
            writer.write(encode_answer(status, b"{}"))
        elif request.headers.get("model") and not self._holds(request.headers["model"]):
            headers = {"Instance-Id": self.id} | self.stamp(request)
            writer.write(encode_answer(421, b"", headers))
        else:
            self.runs.append((time.monotonic(), request))
            self.running += 1
            try:
                await self.run(request, writer)
            finally:
                self.running -= 1

    def _holds(self, target: str) -> bool:
        model, _, adapter = target.partition("/")
        held = (self.models or {}).get(model)
        return held is not None and (not adapter or adapter in held)

    async def run(self, request: Message, writer) -> None:
        """Run a request; cases replace this."""
        if request.headers.get("model"):
            head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
            head += ["Transfer-Encoding: chunked"]
            head += [f"{name}: {text}" for name, text in self.stamp(request).items()]
            writer.write(("\r\n".join(head) + "\r\n\r\n").encode())
            first = int(request.headers.get("last-event-id", "0")) + 1
            for number in range(first, 7):
                await asyncio.sleep(0.02)
                writer.write(chunk(b"id: %d\ndata: piece\n\n" % number))
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            return
        await asyncio.sleep(0.02)
        writer.write(encode_answer(200, b"done", self.stamp(request)))

    def order(self, order: dict) -> int:
        if self.require_fence and order["fence"] < self.fence:
            return 412
        self.fence = max(self.fence, order["fence"])
        if self.busy or order.get("expect", self.seq) != self.seq:
            return 409
        models, name, adapter = self.models or {}, order["model"], order.get("adapter")
        if order["op"] == "load" and name in models and not adapter:
            return 200
        self.seq += 1
        if adapter:
            if order["op"] == "load":
                models[name].append(adapter)
            else:
                models[name].remove(adapter)
        elif order["op"] == "unload":
            models.pop(name, None)
        else:
            self.busy = True
            asyncio.get_running_loop().call_later(self.load_s, self._loaded, name)
        return 202

    def _loaded(self, name: str) -> None:
        self.busy = False
        self.models[name] = []


# Gateways


class Gateway:
    """One gateway process on an address of its own."""

    def __init__(self, site: Site, number: int, settings: dict) -> None:
        self.site, self.name = site, f"front-{number}"
        # Other runs on this machine have other addresses.
        net, part = divmod(os.getpid(), 200)
        self.ip = f"127.{10 + part}.{net % 250}.{10 + number}"
        ports = {free_port(self.ip) for _ in range(40)}
        self.front, self.ready, self.peer, self.metrics = sorted(ports)[:4]
        self.settings_path = site.folder / f"{self.name}.toml"
        self.log_path = site.folder / f"{self.name}.log"
        document = base_settings(self) | {
            name: value for name, value in settings.items() if name != "bounds"
        }
        document["bounds"] |= settings.get("bounds", {})
        self.settings_path.write_text(encode_toml(document))
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        command = deploy_command()
        env = {name: os.environ[name] for name in ENV_NAMES if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["SISKINSPOOL_CONFIG"] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def send_signal(self, number: int) -> None:
        if self.process is not None and self.process.poll() is None:
            os.kill(self.process.pid, number)

    async def stop(self, number: int = signal.SIGKILL) -> None:
        self.send_signal(number)
        while self.process is not None and self.process.poll() is None:
            await asyncio.sleep(0.02)

    async def is_ready(self) -> bool:
        answer = await call((self.ip, self.ready), "GET", "/-/ready", timeout_s=1.0)
        return isinstance(answer, Message) and answer.status == 200

    async def status(self) -> dict:
        answer = await call((self.ip, self.metrics), "GET", "/status", timeout_s=5.0)
        return json.loads(answer.body) if isinstance(answer, Message) else {}

    def peak_mb(self) -> float:
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in text.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1000

    def log(self) -> str:
        return self.log_path.read_text(errors="replace")


def deploy_command() -> list[str]:
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"]["gateway"]["run"].split()


def base_settings(gateway: Gateway) -> dict:
    ip = gateway.ip
    return {
        "node": gateway.name,
        "role": "gateway",
        "machine_class": "front",
        "serves": ["front"],
        "ip": ip,
        "zone": "a",
        "region": "r",
        "internal_ports": [gateway.peer, gateway.metrics],
        "seeds": [],
        "bootstrap": True,
        "discovery": "platform",
        "entry": "vip",
        "heartbeat_ms": 1000,
        "contracts": [
            "base",
            "drain",
            "config",
            "cost",
            "retry",
            "recover",
            "fleet",
            "stream",
            "engine",
            "tenants",
            "quota",
            "platform",
        ],
        "zones": {"a": "r"},
        "listen": {"front": f"{ip}:{gateway.front}", "ready": f"{ip}:{gateway.ready}"},
        "limits": {
            "cpu_share": 0.537,
            "cores": 2,
            "memory_mb": 300,
            "max_fds": 4100,
            "link_mbps": 1000.0,
            "disk_mb": 0,
        },
        "bounds": {
            "contact_ms": 3000,
            "drain_ms": 2000,
            "grace_s": 8,
            "loss_slack_ms": 200,
            "config_apply_ms": 2000,
            "rollback_slack_ms": 250,
            "outer_ms": 5000,
            "retry_budget_ratio": 0.2,
            "budget_window_s": 10,
            "budget_extra_retries": 58,
            "quota_window_s": 8,
            "quota_overage": 0.1,
            "quota_slack": 110000,
            "cold_overage": 1.5,
            "cold_slack": 5,
            "evacuate_ms": 5000,
            "recover_s": 12,
            "pass_ms": 120,
            "require_fence": True,
            "lease_ms": 3000,
            "thaw_ms": 300,
            "ceiling_window_s": 5,
            "ceiling_overage": 1.1,
        },
        "platform": {
            "addr": "%s:%d" % gateway.site.store.address,
            "form": "kv",
            "writes_per_s": 400,
            "reads_per_s": 2000,
            "history_s": 20,
            "value_bytes": 1048576,
            "ttl_min_ms": 1000,
        },
    }


def encode_toml(document: dict) -> str:
    lines = []
    for name, value in document.items():
        if not isinstance(value, dict):
            lines.append(f"{name} = {json.dumps(value)}")
    for name, value in document.items():
        if isinstance(value, dict):
            lines.append(f"[{name}]")
            lines += [f"{key} = {json.dumps(item)}" for key, item in value.items()]
    return "\n".join(lines) + "\n"


# The deployment


def request_headers(request_id: str) -> dict[str, str]:
    return {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": "4000",
        "Authorization": f"Bearer {KEY}",
    }


class Site:
    """The stand-ins and the gateways of one run."""

    def __init__(self) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.store = Store()
        self.servers: list[Server] = []
        self.gateways: list[Gateway] = []
        # Processes that a case starts besides.
        self.processes: list[subprocess.Popen] = []
        self.ids = itertools.count(1)

    async def start(self, config: dict, servers: list[Server]) -> None:
        await self.store.start()
        self.store.put_json("op/config", config)
        self.servers = servers
        for server in servers:
            await server.start()

    async def start_gateways(self, count: int, **settings) -> None:
        for number in range(1, count + 1):
            gateway = Gateway(self, number, settings)
            self.gateways.append(gateway)
            gateway.start()
        end = time.monotonic() + 25
        while not await self.all_ready():
            if time.monotonic() > end:
                raise CannotRunError("the gateways are not ready after 25 s")
            await asyncio.sleep(0.1)

    async def all_ready(self) -> bool:
        names = sorted(gateway.name for gateway in self.gateways)
        for gateway in self.gateways:
            if not await gateway.is_ready():
                return False
            status = await gateway.status()
            if sorted(status["members"]["members"]) != names:
                return False
            known = status["routing"]["servers"]
            if any(server.id not in known for server in self.servers):
                return False
        return True

    async def leader(self) -> Gateway | None:
        for gateway in self.gateways:
            if gateway.process.poll() is None:
                status = await gateway.status()
                if status.get("placement", {}).get("leading"):
                    return gateway
        return None

    def request_headers(self, **headers: str) -> dict[str, str]:
        made = request_headers(f"{next(self.ids):016x}")
        return made | {name.replace("_", "-"): text for name, text in headers.items()}

    async def end(self) -> None:
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        for gateway in self.gateways:
            gateway.send_signal(signal.SIGCONT)
            await gateway.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not be run."""


def config_document(models: tuple[str, ...] = ("m0", "m1", "m2"), **changes) -> dict:
    """Return a desired state like the one that `fleetbench wire` shows."""

    def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
        made = {
            "name": name,
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "service": service,
            "timeout_ms": 5000,
            "target_latency_ms": 600,
            "priority": 1,
            "max_attempts": 2,
            "public": False,
            "resumable": False,
        }
        return made | more

    document = {
        "version": 7,
        "routes": [
            route("r-quote", "/quote/", "stream", "writers", resumable=True),
            route("r-estimate", "/estimate/", "stream", "writers", timeout_ms=20000),
            route("r-deposit", "/deposit/", "unsafe", "desk", max_attempts=1),
            route("r-status", "/status/", "safe", "desk"),
        ],
        "services": [
            {
                "name": "writers",
                "health_path": "/health",
                "engine": {
                    "slots": 64,
                    "kv_capacity": 252446,
                    "models": [
                        {
                            "name": name,
                            "weights_size": 70000.0,
                            "load_s": 0.3,
                            "adapters": 4,
                            "adapter_mb": 12.0,
                            "warm_s": 0.3,
                            "disk_s": 0.3,
                        }
                        for name in models
                    ],
                    "weights_size": 230000.0,
                    "adapter_slots": 8,
                    "loads_per_s": 1.6,
                },
            },
            {"name": "desk", "health_path": "/health"},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {
                "name": "smiths",
                "api_keys": [KEY],
                "unit": "tokens",
                "plain_tokens": 200,
                "rate_per_s": 0,
                "burst": 0,
            }
        ],
    }
    return document | changes


class Record:
    """Writes what was sent, answered and run to ``record.txt`` of a case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began = time.monotonic()

    def note(self, text: str, at: float | None = None) -> None:
        at = time.monotonic() if at is None else at
        self._file.write(f"{at - self._began:9.3f}  {text}\n")
        self._file.flush()


def run_case(folder: Path, case) -> None:
    """Run ``case(site, record, trouble)``; exit with its status (see the brief)."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)

    async def play() -> int:
        # Calls that the end of the run cancels are no news.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        site = Site()
        try:
            async with asyncio.timeout(112):
                return await case(site, record, trouble)
        except Exception as error:
            # Whatever it was, the rule was not seen broken.
            record.note(f"the case could not run: {error!r}")
            return 2
        finally:
            await site.end()

    status = asyncio.run(play())
    verdict = {0: "held", 1: "BROKEN"}.get(status, "could not run")
    record.note(f"the rule: {verdict}")
    print(verdict)
    sys.exit(status)
