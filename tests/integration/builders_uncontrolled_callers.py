"""Builds crowds of callers that send or read without regard for the process.

A crowd is a set of connections from this process, each driven by a greenlet. A caller
that is refused or cut off ends quietly, since either is allowed.
"""

from __future__ import annotations

import time
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any, Final

import attrs
import gevent
from gevent import socket

from siskinspool.standins.gateway_site import HOST, KEY, GatewaySite
from siskinspool.standins.processes import Process

from .builders_gateway_site import gateway_site

# The smallest machine that the specification names.
MEMORY_MB: Final = 160
BYTES_PER_MB: Final = 1_000_000
MAX_FDS: Final = 500
MAX_BODY_BYTES: Final = 4_194_304
# Not sent, so that the body stays unfinished while the connection is open.
UNSENT_BYTES: Final = 8
# After this time the test goes on, whatever the callers have sent by then.
CROWD_TIMEOUT_S: Final = 12.0
READ_BYTES: Final = 512
READ_PAUSE_S: Final = 0.5
SMALL_BUFFER_BYTES: Final = 4_096


def request_head(method: str, path: str, *lines: str, key: str = KEY) -> bytes:
    """Return the head of a request of a team."""
    head = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        "Request-Id: crowd",
        "Deadline-Ms: 5000",
        f"Authorization: Bearer {key}",
        *lines,
    ]
    return "\r\n".join([*head, "", ""]).encode()


class Caller(ABC):
    """One uncontrolled caller."""

    @abstractmethod
    def run(self, sock: socket.socket) -> None:
        """Use a connection; return when nothing is left to send."""

    def hold(self, sock: socket.socket) -> None:
        """Keep the connection until it closes."""
        while sock.recv(SMALL_BUFFER_BYTES):
            pass


@attrs.frozen
class IdleCaller(Caller):
    """Opens a connection and sends nothing."""

    def run(self, sock: socket.socket) -> None:
        """Send nothing."""


@attrs.frozen
class UnfinishedBody(Caller):
    """Sends all but the last bytes of a request."""

    data: bytes = attrs.field(repr=False)

    @classmethod
    def with_length(
        cls, size: int = MAX_BODY_BYTES, path: str = "/deposit/1"
    ) -> Caller:
        """Return a caller whose body has a length."""
        head = request_head("POST", path, f"Content-Length: {size}")
        return cls(head + b"x" * (size - UNSENT_BYTES))

    @classmethod
    def in_chunks(cls, chunk_bytes: int) -> Caller:
        """Return a caller whose body comes in chunks of a size."""
        head = request_head("POST", "/deposit/1", "Transfer-Encoding: chunked")
        chunk = b"%x\r\n" % chunk_bytes + b"x" * chunk_bytes + b"\r\n"
        count = MAX_BODY_BYTES // chunk_bytes
        return cls(head + (chunk * count)[:-UNSENT_BYTES])

    def run(self, sock: socket.socket) -> None:
        """Send all that is sent."""
        sock.sendall(self.data)


@attrs.frozen
class SlowReader(Caller):
    """Sends a whole request and reads its answer slowly."""

    request: bytes = attrs.field(repr=False)

    @classmethod
    def with_whole_body(cls) -> Caller:
        """Return a caller whose answer repeats its large body."""
        head = request_head("POST", "/deposit/1", f"Content-Length: {MAX_BODY_BYTES}")
        return cls(head + b"x" * MAX_BODY_BYTES)

    def run(self, sock: socket.socket) -> None:
        """Send the request."""
        sock.sendall(self.request)

    def hold(self, sock: socket.socket) -> None:
        """Read a few bytes now and then."""
        while sock.recv(READ_BYTES):
            gevent.sleep(READ_PAUSE_S)


class Crowd:
    """Callers that are connected to one listener."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._greenlets: list[gevent.Greenlet[..., None]] = []
        self._sending = 0

    def add(self, count: int, caller: Caller, pause_s: float = 0.0) -> None:
        """Start a number of callers like the given one, with a pause between them."""
        for _ in range(count):
            self._sending += 1
            self._greenlets.append(gevent.spawn(self._run, caller))
            gevent.sleep(pause_s)

    def wait(self) -> None:
        """Wait until nothing is left to send, or for `CROWD_TIMEOUT_S`."""
        until = time.monotonic() + CROWD_TIMEOUT_S
        while self._sending and time.monotonic() < until:
            gevent.sleep(0.05)
        # What was sent last has to be read, too.
        gevent.sleep(1.0)

    def stop(self) -> None:
        """Close all connections."""
        gevent.killall(self._greenlets)

    def _run(self, caller: Caller) -> None:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
        is_sending = True
        try:
            sock.connect(("127.0.0.1", self._port))
            caller.run(sock)
            is_sending = False
            self._sending -= 1
            caller.hold(sock)
        except OSError:
            # Refused or cut off.
            pass
        finally:
            self._sending -= is_sending
            sock.close()


@contextmanager
def crowd(port: int) -> Iterator[Crowd]:
    """Return a crowd without callers; all its connections end with the context."""
    made = Crowd(port)
    try:
        yield made
    finally:
        made.stop()


@attrs.frozen
class ProcessFigures:
    """Figures of a running process."""

    peak_bytes: int
    fd_count: int

    @classmethod
    def from_pid(cls, pid: int) -> ProcessFigures:
        """Read the figures; raises OSError if the process has ended."""
        status = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
        line = next(line for line in status.splitlines() if line.startswith("VmHWM:"))
        fds = list(Path(f"/proc/{pid}/fd").iterdir())
        return cls(peak_bytes=int(line.split()[1]) * 1024, fd_count=len(fds))


def limit_machine(document: dict[str, Any]) -> None:
    """Lower the machine's limits in the settings of a gateway."""
    document["limits"] = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}


@attrs.frozen
class SmallMachine:
    """A gateway with lowered limits, in front of two plain and two model servers."""

    site: GatewaySite
    servers: tuple[Process, ...]

    @property
    def gateway(self) -> Any:
        """The gateway process."""
        return self.site.gateways["g1"]

    def figures(self) -> ProcessFigures:
        """Return the figures of the gateway process."""
        return ProcessFigures.from_pid(self.gateway.popen.pid)


@contextmanager
def small_machine(folder: Path) -> Iterator[SmallMachine]:
    """Run a gateway with lowered limits; all processes end with the context."""
    with gateway_site(folder) as site:
        servers = (
            site.add_server("d1", "desk"),
            site.add_server("d2", "desk"),
            site.add_server("w1", "writers", "m0"),
            site.add_server("w2", "writers", "m0"),
        )
        site.add_gateway("g1", edit_settings=limit_machine)
        site.wait_ready("d1", "d2", "w1", "w2")
        yield SmallMachine(site, servers)
