"""A TCP proxy that injects faults between two processes.

The proxy forwards connections to one target. Faults are set by ``POST /admin/faults``
on a second port, with any of:

- ``refuse``: close new connections at once;
- ``cut``: reset all open connections (once);
- ``freeze``: forward nothing, but keep connections open;
- ``delay_s``: wait before forwarding each block;
- ``drop_answers``: forward requests of new connections, discard what comes back.
"""

from __future__ import annotations

import attrs
import click
import gevent
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from .wsgi import App, Request, Response, announce, reset_connection, wait_for_stop

BLOCK_BYTES = 65_536


@attrs.define
class ProxyFaults:
    """Faults in force."""

    refuse: bool = False
    delay_s: float = 0.0
    drop_answers: bool = False


class FaultProxy(App):
    """Forwards connections to a target and takes fault settings."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._faults = ProxyFaults()
        self._flowing = Event()
        self._flowing.set()
        self._open: set[socket.socket] = set()
        self._connections = 0

    def handle_request(self, request: Request) -> Response:
        """Set faults or return what is in force."""
        for name, value in request.json().items():
            if name == "cut":
                self._cut()
            elif name == "freeze":
                self._freeze(bool(value))
            else:
                setattr(self._faults, name, value)
        state = attrs.asdict(self._faults)
        return Response.from_json({**state, "connections": self._connections})

    def _cut(self) -> None:
        for sock in list(self._open):
            reset_connection(sock)
        self._open.clear()

    def _freeze(self, frozen: bool) -> None:
        if frozen:
            self._flowing.clear()
        else:
            self._flowing.set()

    def handle_connection(self, near: socket.socket, _: object) -> None:
        """Forward one connection in both directions."""
        self._connections += 1
        if self._faults.refuse:
            reset_connection(near)
            return
        try:
            far = socket.create_connection(self._target, 5)
        except OSError:
            reset_connection(near)
            return
        # The far side may be silent for long; only a broken connection ends it.
        far.settimeout(None)
        self._open |= {near, far}
        forth = gevent.spawn(self._forward, near, far, False)
        back = gevent.spawn(self._forward, far, near, self._faults.drop_answers)
        gevent.joinall([forth, back])
        for sock in (near, far):
            self._open.discard(sock)
            sock.close()

    def _forward(self, source: socket.socket, sink: socket.socket, drop: bool) -> None:
        try:
            while block := source.recv(BLOCK_BYTES):
                self._flowing.wait()
                if self._faults.delay_s:
                    gevent.sleep(self._faults.delay_s)
                if not drop:
                    sink.sendall(block)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (source, sink):
                if sock in self._open:
                    self._open.discard(sock)
                    reset_connection(sock)


@click.command()
@click.option("--target-host", default="127.0.0.1")
@click.option("--target-port", required=True, type=int)
@click.option("--port", default=0, help="Port to bind; 0 lets the kernel choose.")
def main(target_host: str, target_port: int, port: int) -> None:
    """Run the fault-injecting proxy."""
    proxy = FaultProxy(target_host, target_port)
    server = StreamServer(("127.0.0.1", port), proxy.handle_connection)
    admin = WSGIServer(("127.0.0.1", 0), proxy, log=None, error_log=None)
    server.start()
    admin.start()
    announce(int(server.server_port or 0), admin_port=int(admin.server_port or 0))
    wait_for_stop()
    server.stop(timeout=0.2)
    admin.stop(timeout=0.2)


if __name__ == "__main__":
    main()
