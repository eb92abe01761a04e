"""Costs of the real processes of a trial site: calls, bytes, processor time, memory.

Entry instances reach the platform through a relay that counts bytes. The platform
stand-in counts the calls to the key-value service. The idle costs, measured before the
operations at each site, are subtracted from the costs of the operations.
"""

from __future__ import annotations

import tempfile
import time
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from pathlib import Path
from typing import Final

import attrs
import gevent
from gevent import socket
from gevent.server import StreamServer

from ...manifest.model import Adapter, Model, Team
from ..processes import Process, call, call_json
from ..site import POOL, SitePlan, TrialSite, wait_until
from .slope import Point, Slope

SIZES: Final = (3, 5, 7)
# Partitions are handed over after a start; a site counts as settled after this time
# without writes.
QUIET_S: Final = 6.0
SETTLE_TIMEOUT_S: Final = 90.0
IDLE_S: Final = 20.0
PAUSE_S: Final = 2.0
CHANGES: Final = 4
# Session times of a site of the target size.
SESSION_TTL_S: Final = 15.0
SESSION_RENEW_S: Final = 5.0
LEASE_CALLS: Final = ("/v3/lease/keepalive", "/v3/lease/grant")
READ: Final = "/v3/kv/range"
WRITE: Final = "/v3/kv/txn"
BLOCK_BYTES: Final = 65_536
Counts = dict[str, int]


class CountingRelay:
    """Forwards connections to the platform and counts the bytes in both directions."""

    def __init__(self, target_port: int) -> None:
        self.forwarded_bytes = 0
        self._target = ("127.0.0.1", target_port)
        self._server = StreamServer(("127.0.0.1", 0), self._connection)
        self._server.start()

    @property
    def port(self) -> int:
        """Port that the relay listens on."""
        return int(self._server.server_port or 0)

    def stop(self) -> None:
        """Stop accepting and forwarding connections."""
        self._server.stop(timeout=0.2)

    def _connection(self, client_socket: socket.socket, _: object) -> None:
        try:
            target_socket = socket.create_connection(self._target)
        except OSError:
            client_socket.close()
            return
        pair = [
            gevent.spawn(self._forward, client_socket, target_socket),
            gevent.spawn(self._forward, target_socket, client_socket),
        ]
        gevent.joinall(pair)
        client_socket.close()
        target_socket.close()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while block := source.recv(BLOCK_BYTES):
                self.forwarded_bytes += len(block)
                sink.sendall(block)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            return


@attrs.define
class IdleCosts:
    """Costs of an idle site per second, and the memory of its instances."""

    calls_per_s: dict[str, float]
    bytes_per_s: float
    processor_share: float
    resident_bytes: float


def processor_s(process: Process) -> float:
    """Return the processor time of all threads of a process so far."""
    tasks = Path(f"/proc/{process.popen.pid}/task").glob("*/schedstat")
    return sum(int(task.read_text().split()[0]) for task in tasks) / 1e9


def resident_bytes(process: Process) -> int:
    """Return the resident memory of a process."""
    status = Path(f"/proc/{process.popen.pid}/status").read_text()
    line = next(text for text in status.splitlines() if text.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


def build_plan(instances: int) -> SitePlan:
    """Return a plan with small models and a team whose limits are never reached."""
    names = ("quote", "estimate", "ledger", "m3", "m4", "m5", "m6", "m7", "m8")
    return SitePlan(
        instances=instances,
        models=tuple(
            Model(id=name, pool=POOL, memory_mib=100, load_s=0.2) for name in names
        ),
        adapters=(Adapter(id="ilorin", model="quote", memory_mib=10),),
        teams=(Team(id="guild", rate=1e6, burst=1e7),),
        token_s=0.001,
        store_rate=50.0,
        session_ttl_s=SESSION_TTL_S,
        session_renew_s=SESSION_RENEW_S,
        log_level="warning",
    )


class LiveSite:
    """A trial site whose instances reach the platform through a relay."""

    def __init__(self, instances: int, folder: Path) -> None:
        self.instances = instances
        plan = build_plan(instances)
        self.site = TrialSite.from_plan(attrs.evolve(plan, instances=0), folder)
        self.relay = CountingRelay(self.site.platform.port)
        try:
            self.idle = self._start()
        except BaseException:
            # The caller gets no object with which it could stop the processes.
            self.stop()
            raise

    def _start(self) -> IdleCosts:
        """Start the instances and measure their idle costs."""
        self.site.port_by_name["platform"] = self.relay.port
        for number in range(self.instances):
            self.site.start_instance(number)
        self.site.wait_ready()
        self._wait_quiet()
        return self._measure_idle()

    def stop(self) -> None:
        """Stop all processes and the relay."""
        self.site.stop()
        self.relay.stop()

    def call_counts(self) -> Counts:
        """Return the number of calls to the key-value service so far, by path."""
        return dict(call_json(self.site.platform.port, "GET", "/admin/counts"))

    def _wait_quiet(self) -> None:
        """Wait until nothing has been written for `QUIET_S`."""
        writes, since = self.call_counts().get(WRITE, 0), time.monotonic()

        def is_quiet() -> bool:
            nonlocal writes, since
            now_written = self.call_counts().get(WRITE, 0)
            if now_written != writes:
                writes, since = now_written, time.monotonic()
            return time.monotonic() - since >= QUIET_S

        wait_until(is_quiet, "the site is settled", SETTLE_TIMEOUT_S)

    def _measure_idle(self) -> IdleCosts:
        entries = list(self.site.instance_by_id.values())
        before, started_at = self.call_counts(), time.monotonic()
        used_s = sum(processor_s(process) for process in entries)
        forwarded = self.relay.forwarded_bytes
        gevent.sleep(IDLE_S)
        elapsed_s = time.monotonic() - started_at
        used_s = sum(processor_s(process) for process in entries) - used_s
        after = self.call_counts()
        return IdleCosts(
            {
                kind: (after[kind] - before.get(kind, 0)) / elapsed_s
                for kind in sorted(after)
            },
            (self.relay.forwarded_bytes - forwarded) / elapsed_s,
            used_s / elapsed_s / len(entries),
            sum(resident_bytes(process) for process in entries) / len(entries),
        )

    def count_calls(self, operation: Callable[[], None], kind: str) -> float:
        """Return the calls of a kind that an operation causes beyond the idle ones."""
        before, started_at = self.call_counts().get(kind, 0), time.monotonic()
        operation()
        gevent.sleep(PAUSE_S)
        elapsed_s = time.monotonic() - started_at
        idle = self.idle.calls_per_s.get(kind, 0.0) * elapsed_s
        return self.call_counts().get(kind, 0) - before - idle

    def measure_processor_us(self, operation: Callable[[], None]) -> float:
        """Return the processor time in us that an operation takes at instance-0."""
        entry = self.site.instance_by_id["instance-0"]
        before, started_at = processor_s(entry), time.monotonic()
        operation()
        elapsed_s = time.monotonic() - started_at
        used_s = processor_s(entry) - before
        return max(used_s - self.idle.processor_share * elapsed_s, 0.0) * 1e6

    def _post(
        self, path: str, body: dict[str, object], headers: dict[str, str] | None = None
    ) -> tuple[int, dict[str, str], bytes]:
        port = self.site.port_by_name["instance-0"]
        headers = {**self.site.authorization_header("guild"), **(headers or {})}
        status, answer_headers, data = call(port, "POST", path, body, headers)
        if status >= 300:
            raise RuntimeError(f"{path} returned status {status}: {data[:200]!r}")
        return status, answer_headers, data

    def request_model(self, model: str, tokens: int = 1, stream: bool = False) -> None:
        """Send a completion request for a model."""
        body: dict[str, object] = {
            "model": model,
            "max_tokens": tokens,
            "stream": stream,
            "messages": [],
        }
        self._post("/v1/chat/completions", body)

    def request_models(self, models: Iterable[str]) -> None:
        """Send a completion request for each of the models, one after another."""
        for model in models:
            self.request_model(model)

    def send_deposit(self, key: str) -> None:
        """Send a non-idempotent call with an idempotency key."""
        body: dict[str, object] = {"ref": key, "amount": 1}
        self._post("/deposits", body, {"Idempotency-Key": key})

    def send_order(self, key: str) -> None:
        """Send a patient request and wait for its answer."""
        body: dict[str, object] = {"ref": key, "amount": 1}
        _, headers, _ = self._post("/orders", body)
        port = self.site.port_by_name["instance-0"]

        def is_done() -> bool:
            authorization = self.site.authorization_header("guild")
            answer = call(port, "GET", headers["location"], None, authorization)
            if answer[0] != 200:
                return False
            page = answer[2]
            return b'"accepted"' not in page and b'"running"' not in page

        wait_until(is_done, f"patient request {key} has an answer", 20.0)

    def publish_change(self, number: int) -> None:
        """Publish a manifest in which one entity has changed."""
        manifest = self.site.manifest
        assert manifest is not None
        team = attrs.evolve(manifest.teams[0], weight=1.0 + number)
        self.site.publish(attrs.evolve(manifest, teams=(team,)))
        gevent.sleep(0.5)

    def publish_changes(self) -> None:
        """Publish `CHANGES` changes one after another."""
        for number in range(CHANGES):
            self.publish_change(number)


def _idle_slopes(idle_by_size: dict[int, IdleCosts]) -> Iterator[Slope]:
    note = "sessions of 15 s renewed every 5 s"

    def slope(name: str, unit: str, value: Callable[[int, IdleCosts], float]) -> Slope:
        points = [Point(size, value(size, idle)) for size, idle in idle_by_size.items()]
        return Slope.fit(f"live.{name}", unit, "instances", points, note)

    def lease_calls(idle: IdleCosts) -> float:
        return sum(idle.calls_per_s.get(kind, 0.0) for kind in LEASE_CALLS)

    yield slope("idle_reads", "calls/s", lambda n, i: i.calls_per_s.get(READ, 0.0))
    yield slope("idle_writes", "calls/s", lambda n, i: i.calls_per_s.get(WRITE, 0.0))
    yield slope("idle_lease_calls", "calls/s", lambda n, i: lease_calls(i))
    yield slope("idle_kv_bytes", "bytes/s of one", lambda n, i: i.bytes_per_s / n)
    yield slope("idle_processor", "us/s of one", lambda n, i: i.processor_share * 1e6)
    yield slope("resident", "bytes of one", lambda n, i: i.resident_bytes)


def _operation_slopes(live: LiveSite) -> Iterator[Slope]:
    def slope(
        name: str, unit: str, sizes: tuple[int, ...], value: Callable[[int], float]
    ) -> Slope:
        points = [Point(size, value(size)) for size in sizes]
        note = f"{live.instances} instances"
        kind = "us" if name.startswith("processor") else "calls"
        return Slope.fit(f"live.{name}", kind, unit, points, note)

    def repeat(operation: Callable[[str], None], count: int, key_prefix: str) -> None:
        for number in range(count):
            operation(f"{key_prefix}-{count}-{number}")

    models = iter(("estimate", "ledger", "m3", "m4", "m5", "m6", "m7"))
    yield slope(
        "load_writes",
        "loads",
        (1, 2, 4),
        lambda n: live.count_calls(
            lambda: live.request_models(islice(models, n)), WRITE
        ),
    )
    yield slope(
        "claim_writes",
        "claims one after another",
        (5, 20, 60),
        lambda n: live.count_calls(lambda: repeat(live.send_deposit, n, "w"), WRITE),
    )
    yield slope(
        "patient_writes",
        "patient requests",
        (1, 4, 10),
        lambda n: live.count_calls(lambda: repeat(live.send_order, n, "p"), WRITE),
    )
    live.request_model("quote")
    yield slope(
        "processor_request",
        "requests",
        (50, 100, 200),
        lambda n: live.measure_processor_us(lambda: live.request_models(["quote"] * n)),
    )
    yield slope(
        "processor_chunk",
        "streamed chunks",
        (500, 1_000, 2_000),
        lambda n: live.measure_processor_us(
            lambda: live.request_model("quote", n, stream=True)
        ),
    )


def measure() -> Iterator[Slope]:
    """Yield the costs of idle sites of several sizes and of single operations."""
    idle_by_size: dict[int, IdleCosts] = {}
    changes: list[Point] = []
    for size in SIZES:
        with tempfile.TemporaryDirectory(prefix="siskinspool-slopes-") as folder:
            live = LiveSite(size, Path(folder))
            try:
                idle_by_size[size] = live.idle
                reads = live.count_calls(live.publish_changes, READ)
                changes.append(Point(size, reads / CHANGES))
                if size == SIZES[0]:
                    yield from _operation_slopes(live)
            finally:
                live.stop()
    yield from _idle_slopes(idle_by_size)
    note = "includes the reads of the operators' client"
    name = "live.change_reads"
    yield Slope.fit(name, "calls per change", "instances", changes, note)
