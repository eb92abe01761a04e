"""A TCP proxy that injects faults between two processes.

The proxy forwards connections to one target. ``POST /admin/faults`` on a second port
sets faults:

- ``refuse``: reset new connections at once;
- ``cut``: reset all open connections (once);
- ``freeze``: keep connections open but forward nothing;
- ``delay_s``: wait before each block is forwarded;
- ``drop_answers``: on new connections, forward requests but discard responses.
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
    """Faults that are currently injected."""

    refuse: bool = False
    delay_s: float = 0.0
    drop_answers: bool = False


class FaultProxy(App):
    """Forwards connections to a target and serves the fault settings."""

    def __init__(self, host: str, port: int) -> None:
        self._target = (host, port)
        self._faults = ProxyFaults()
        self._forwarding_allowed = Event()
        self._forwarding_allowed.set()
        self._open_sockets: set[socket.socket] = set()
        self._connection_count = 0

    def handle_request(self, request: Request) -> Response:
        """Set the faults of the request and return those that are injected."""
        for name, value in request.json().items():
            if name == "cut":
                self._reset_connections()
            elif name == "freeze":
                self._set_frozen(bool(value))
            else:
                setattr(self._faults, name, value)
        state = attrs.asdict(self._faults)
        return Response.from_json({**state, "connections": self._connection_count})

    def _reset_connections(self) -> None:
        for sock in list(self._open_sockets):
            reset_connection(sock)
        self._open_sockets.clear()

    def _set_frozen(self, frozen: bool) -> None:
        if frozen:
            self._forwarding_allowed.clear()
        else:
            self._forwarding_allowed.set()

    def handle_connection(self, client_socket: socket.socket, _: object) -> None:
        """Forward one connection in both directions."""
        self._connection_count += 1
        if self._faults.refuse:
            reset_connection(client_socket)
            return
        try:
            target_socket = socket.create_connection(self._target, 5)
        except OSError:
            reset_connection(client_socket)
            return
        # The target may stay silent for long, so reads have no timeout.
        target_socket.settimeout(None)
        self._open_sockets |= {client_socket, target_socket}
        request_forwarder = gevent.spawn(
            self._forward, client_socket, target_socket, False
        )
        answer_forwarder = gevent.spawn(
            self._forward, target_socket, client_socket, self._faults.drop_answers
        )
        gevent.joinall([request_forwarder, answer_forwarder])
        for sock in (client_socket, target_socket):
            self._open_sockets.discard(sock)
            sock.close()

    def _forward(
        self, source: socket.socket, sink: socket.socket, is_discarding: bool
    ) -> None:
        try:
            while block := source.recv(BLOCK_BYTES):
                self._forwarding_allowed.wait()
                if self._faults.delay_s:
                    gevent.sleep(self._faults.delay_s)
                if not is_discarding:
                    sink.sendall(block)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (source, sink):
                if sock in self._open_sockets:
                    self._open_sockets.discard(sock)
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
