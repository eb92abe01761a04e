"""A gateway process whose paths to servers can be cut while it runs.

``python -m siskinspool.standins.partitioned_gateway SETTINGS CONTROL`` runs the gateway
daemon. ``CONTROL`` is a file that `write_partition` writes; it names the servers' ports
that are cut off, and how (`Form`). All connections that the process opens to these
ports are affected; the store, other gateways and callers are not.
"""

from __future__ import annotations

import json
import struct
import sys
import weakref
from collections.abc import Collection
from enum import StrEnum
from pathlib import Path
from typing import Any, Final

import attrs
import gevent
from gevent import socket
from gevent.event import Event

from ..platform.daemon import main as run_daemon

POLL_INTERVAL_S: Final = 0.02
DEFAULT_TIMEOUT_S: Final = 60.0
_create_connection: Final = socket.create_connection


class Form(StrEnum):
    """How the paths are cut."""

    # New connections hang, open ones go silent.
    HANG = "hang"
    # New connections are refused, open ones are reset.
    RESET = "reset"
    # New connections are refused, open ones live on.
    REFUSE = "refuse"
    # New connections hang; on open ones the server gets requests, but no answer comes.
    ONE_WAY = "one_way"


@attrs.define
class _Partition:
    """The partition that is in force; it ends when the control file says so."""

    form: Form | None = None
    ports: frozenset[int] = frozenset()
    healed: Event = attrs.field(factory=Event)

    def form_for(self, port: int) -> Form | None:
        return self.form if port in self.ports else None


_partition = _Partition()
_open_connections: weakref.WeakSet[PartitionedConnection] = weakref.WeakSet()


class PartitionedConnection:
    """A connection to a server that the partition may affect."""

    def __init__(self, sock: socket.socket, port: int) -> None:
        self._sock = sock
        self._port = port
        self._is_reset = False
        _open_connections.add(self)

    def recv(self, size: int, /) -> bytes:
        """Receive some bytes, once no partition holds them back."""
        try:
            data = bytes(self._sock.recv(size))
        except OSError:
            self._raise_if_reset()
            raise
        self._raise_if_reset()
        self._wait_for(Form.HANG, Form.ONE_WAY)
        return data

    def sendall(self, data: bytes, /) -> None:
        """Send all bytes, once no partition holds them back."""
        self._wait_for(Form.HANG)
        self._raise_if_reset()
        self._sock.sendall(data)

    def reset(self) -> None:
        """Reset the connection on both sides."""
        self._is_reset = True
        linger = struct.pack("ii", 1, 0)
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._sock.shutdown(socket.SHUT_RDWR)
        self._sock.close()

    def is_affected(self, form: Form) -> bool:
        """Return whether a form of partition is in force for its server."""
        return _partition.form_for(self._port) is form

    def _raise_if_reset(self) -> None:
        """Raise the error of a connection that was reset from outside.

        Closing the socket in this process shows in another way.
        """
        if self._is_reset:
            raise ConnectionResetError("Connection reset by peer")

    def _wait_for(self, *forms: Form) -> None:
        if _partition.form_for(self._port) not in forms:
            return
        timeout_s = self._sock.gettimeout() or DEFAULT_TIMEOUT_S
        if not _partition.healed.wait(timeout_s):
            raise TimeoutError("timed out")

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)


def _connect(address: tuple[str, int], timeout: Any = None, **options: Any) -> Any:
    port = address[1]
    match _partition.form_for(port):
        case Form.HANG | Form.ONE_WAY:
            gevent.sleep(timeout or DEFAULT_TIMEOUT_S)
            raise TimeoutError("timed out")
        case Form.RESET | Form.REFUSE:
            raise ConnectionRefusedError("Connection refused")
    sock = _create_connection(address, timeout, **options)
    return PartitionedConnection(sock, port)


def _follow(control: Path) -> None:
    """Apply each change of the control file."""
    known = ""
    while True:
        text = control.read_text(encoding="utf-8") if control.exists() else ""
        if text != known:
            known = text
            _apply(json.loads(text))
        gevent.sleep(POLL_INTERVAL_S)


def _apply(document: dict[str, Any]) -> None:
    _partition.healed.set()
    _partition.form = Form(document["form"]) if document["form"] else None
    _partition.ports = frozenset(document["ports"])
    _partition.healed = Event()
    for connection in list(_open_connections):
        if connection.is_affected(Form.RESET):
            try:
                connection.reset()
            except OSError:
                continue


def write_partition(control: Path, form: Form | None, ports: Collection[int]) -> None:
    """Cut the paths to these ports off, or end the partition with None."""
    document = {"form": form or "", "ports": sorted(ports)}
    new = control.with_suffix(".new")
    new.write_text(json.dumps(document), encoding="utf-8")
    new.replace(control)


def follow_partition(control: Path) -> None:
    """Cut this process off from servers as the control file says."""
    # Type checkers see the module's function; only this process replaces it.
    setattr(socket, "create_connection", _connect)  # noqa: B010
    gevent.spawn(_follow, control)


def main() -> None:
    """Run the gateway daemon with cuts as the control file says."""
    settings, control = sys.argv[1:]
    follow_partition(Path(control))
    run_daemon([settings])


if __name__ == "__main__":
    main()
