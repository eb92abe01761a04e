"""Builders of trial sites and requests for tests with real processes."""

from __future__ import annotations

import json
import time
from collections.abc import Callable, Iterable, Iterator, Mapping
from contextlib import contextmanager
from pathlib import Path
from types import MappingProxyType
from typing import Any, TypeVar

import attrs
import gevent
from gevent import socket

from siskinspool.manifest.publisher import Publisher
from siskinspool.standins.processes import TrialProcesses, call, call_json
from siskinspool.standins.site import SitePlan, TrialSite, wait_until
from siskinspool.store.etcd import EtcdKeyValueService

Json = dict[str, Any]
T = TypeVar("T")


@attrs.frozen
class Reply:
    """An answer that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes = attrs.field(repr=False)

    @property
    def document(self) -> Json:
        """The body as a JSON object; empty if the body is not one."""
        try:
            value = json.loads(self.body)
        except ValueError:
            return {}
        return value if isinstance(value, dict) else {}

    @property
    def run(self) -> str:
        """The field ``run`` of a refusal, empty if there is none."""
        return str(self.document.get("run", ""))

    @property
    def code(self) -> str:
        """The field ``code`` of a refusal, empty if there is none."""
        return str(self.document.get("code", ""))


@contextmanager
def running_site(plan: SitePlan, folder: Path) -> Iterator[TrialSite]:
    """Run a whole site and always stop it at the end."""
    site = TrialSite.from_plan(plan, folder)
    try:
        yield site
    finally:
        site.stop()


def ask(
    site: TrialSite,
    instance: int,
    method: str,
    path: str,
    body: Json | bytes | None = None,
    *,
    team: str = "guild",
    key: str = "",
    deadline_ms: int = 0,
    headers: Mapping[str, str] = MappingProxyType({}),
    timeout_s: float = 30.0,
) -> Reply:
    """Send a request with a team's API key; ``key`` is the idempotency key."""
    request_headers = dict(headers)
    if team:
        request_headers.update(site.authorization_header(team))
    if key:
        request_headers["Idempotency-Key"] = key
    if deadline_ms:
        request_headers["X-Siskin-Deadline-Ms"] = str(deadline_ms)
    port = site.port_by_name[f"instance-{instance}"]
    status, response_headers, data = call(
        port, method, path, body, request_headers, timeout_s
    )
    return Reply(status, response_headers, data)


def set_faults(port: int, **faults: object) -> None:
    """Set the faults of a stand-in."""
    call_json(port, "POST", "/admin/faults", dict(faults))


def count_runs(site: TrialSite, ref: str) -> int:
    """Return how often all plain services together ran a business call."""
    return sum(int(site.service_runs(name).get(ref, 0)) for name in site.service_by_id)


def set_service_faults(site: TrialSite, **faults: object) -> None:
    """Set the faults of all plain services."""
    for name in site.service_by_id:
        set_faults(site.port_by_name[name], **faults)


def is_run_field_correct(reply: Reply, runs: int) -> bool:
    """Return whether a reply agrees with the number of runs (R9).

    The field ``run`` of a refusal says whether the call was run.
    """
    if reply.status < 400:
        return runs == 1
    allowed = {"not_run": (0,), "run": (1,), "unknown": (0, 1)}
    return runs in allowed[reply.run]


def running_calls(site: TrialSite, instance: int) -> int:
    """Return the number of running calls at an instance."""
    port = site.port_by_name[f"instance-{instance}"]
    return int(call_json(port, "GET", "/v1/status")["running_calls"])


def wait_idle(site: TrialSite, instance: int, timeout_s: float = 5.0) -> None:
    """Wait until no call is running at an instance."""
    wait_until(lambda: running_calls(site, instance) == 0, "no call runs", timeout_s)


def run_concurrently(callables: Iterable[Callable[[], T]]) -> list[T]:
    """Run callables concurrently and return their results in order."""
    greenlets = [gevent.spawn(work) for work in callables]
    return [greenlet.get(timeout=60) for greenlet in greenlets]


def raw_exchange(port: int, data: bytes, timeout_s: float = 5.0) -> bytes:
    """Send bytes on one connection and return everything received until it closes.

    Raise TimeoutError if the other side neither sends nor closes.
    """
    with socket.create_connection(("127.0.0.1", port), timeout_s) as sock:
        sock.settimeout(timeout_s)
        received = b""
        try:
            sock.sendall(data)
            sock.shutdown(socket.SHUT_WR)
            while block := sock.recv(65_536):
                received += block
        except ConnectionError:
            return received
        return received


@attrs.define
class ProxiedSite:
    """A site in which each instance reaches the platform through its own proxy."""

    site: TrialSite
    admin_port_by_instance: dict[int, int] = attrs.field(factory=dict)

    def cut_off(self, instance: int) -> None:
        """Disconnect an instance from the key-value service."""
        set_faults(self.admin_port_by_instance[instance], refuse=True, cut=True)

    def reconnect(self, instance: int) -> None:
        """Let an instance reach the key-value service again."""
        set_faults(self.admin_port_by_instance[instance], refuse=False)

    def publisher(self) -> Publisher:
        """Return a publisher that reaches the key-value service directly."""
        return Publisher(EtcdKeyValueService("127.0.0.1", self.site.platform.port))

    def revision_of(self, instance: int) -> int:
        """Return the revision in force at an instance, -1 if it does not answer."""
        port = self.site.port_by_name[f"instance-{instance}"]
        try:
            return int(call_json(port, "GET", "/v1/status")["revision"])
        except OSError:
            return -1


@contextmanager
def proxied_site(plan: SitePlan, folder: Path) -> Iterator[ProxiedSite]:
    """Run a site with a fault proxy between each instance and the platform."""
    site = TrialSite(plan, TrialProcesses(folder))
    proxied = ProxiedSite(site)
    try:
        site.start_standins()
        site.publish(site.build_manifest())
        target = str(site.platform.port)
        for number in range(plan.instances):
            proxy = site.processes.start(
                f"proxy-{number}",
                "siskinspool.standins.fault_proxy",
                "--target-port",
                target,
            )
            proxied.admin_port_by_instance[number] = int(
                proxy.ready_message["admin_port"]
            )
            site.port_by_name["platform"] = proxy.port
            site.start_instance(number)
        site.wait_ready()
        yield proxied
    finally:
        site.stop()


@attrs.define
class LiveStream:
    """A streamed answer that is read in its own greenlet."""

    body: bytearray = attrs.field(factory=bytearray)
    status: int = 0
    ended_at: float = 0.0
    # Whether the final chunk of the body arrived.
    is_whole: bool = False


def open_stream(
    site: TrialSite, instance: int, team: str, model: str, tokens: int
) -> LiveStream:
    """Request a stream and return it once its first event has arrived."""
    stream = LiveStream()
    headers = {**site.authorization_header(team), "Connection": "close"}
    body = json.dumps({"model": model, "stream": True, "max_tokens": tokens}).encode()
    lines = ["POST /v1/chat/completions HTTP/1.1", "Host: x"]
    lines += [f"{name}: {text}" for name, text in headers.items()]
    head = "\r\n".join([*lines, f"Content-Length: {len(body)}", "", ""]).encode()
    port = site.port_by_name[f"instance-{instance}"]

    def read() -> None:
        with socket.create_connection(("127.0.0.1", port), 5) as sock:
            sock.settimeout(30)
            sock.sendall(head + body)
            try:
                while block := sock.recv(65_536):
                    stream.body += block
                    if not stream.status:
                        stream.status = int(block.split()[1])
            except OSError:
                pass
        stream.is_whole = stream.body.endswith(b"\r\n0\r\n\r\n")
        stream.ended_at = time.monotonic()

    gevent.spawn(read)
    wait_until(
        lambda: bool(stream.ended_at) or b"data:" in stream.body, "it begins", 20.0
    )
    return stream
