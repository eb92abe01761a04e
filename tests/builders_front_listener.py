"""Runs the gateway's listener in one process, with its requests sent to one server."""

from __future__ import annotations

import time
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import attrs
import gevent
from gevent import socket

from siskinspool.core.clock import MonotonicClock
from siskinspool.core.dispatcher import Dispatcher, Inbox
from siskinspool.core.errors import ErrorCode
from siskinspool.core.message import Incoming, Message, Outgoing
from siskinspool.gateway.desired_state import DesiredState, RouteKind, WeightedService
from siskinspool.gateway.front_task import FrontTask
from siskinspool.gateway.gateway_metrics import GatewayMetrics
from siskinspool.gateway.messages import (
    ROUTING_TASK,
    AssignRefused,
    AssignServer,
    ServerAssigned,
)
from siskinspool.gateway.request_context import RequestContext
from siskinspool.gateway.servers import RegistryListed
from siskinspool.links.caller import StartResponse, status_line
from siskinspool.links.http_server import CallerHandler, CallerServer
from siskinspool.links.server_link import HttpServerLink
from siskinspool.platform.front_codec import PlatformFrontCodec
from siskinspool.protection.caller_protection import CallerProtection
from siskinspool.settings import Endpoint

from .builders_gateway import desired_state, route

PATH = "/status/1"


class _OneServer(Inbox):
    """Assigns the same server to each request, or refuses all without a port."""

    def __init__(self, dispatcher: Dispatcher, port: int | None) -> None:
        self._dispatcher = dispatcher
        self._port = port
        dispatcher.register(ROUTING_TASK, self)

    def post(self, incoming: Incoming) -> bool:
        """Reply to a request for a server."""
        if isinstance(incoming.message, AssignServer):
            reply: Message = AssignRefused(ErrorCode.NO_SERVER, "none", 1.0)
            if self._port is not None:
                reply = ServerAssigned("s1", "127.0.0.1", self._port)
            sender = self._dispatcher.address(ROUTING_TASK)
            self._dispatcher.send(sender, Outgoing(incoming.sender, reply))
        return True


@attrs.frozen
class FrontListener:
    """A listener for requesters."""

    front: FrontTask

    def post(self, message: Message) -> None:
        """Send a message to the task of the listener."""
        self.front.dispatcher.send(
            self.front.dispatcher.address("test"), Outgoing(self.front.address, message)
        )

    @property
    def port(self) -> int:
        """The port for requesters."""
        return self.front.port

    def connect(self) -> socket.socket:
        """Open a connection as a requester."""
        sock = socket.create_connection(("127.0.0.1", self.port), 5.0)
        sock.settimeout(5.0)
        return sock


@contextmanager
def front_listener(
    server_port: int | None = 1,
    *,
    protection: CallerProtection | None = None,
    **limits: Any,
) -> Iterator[FrontListener]:
    """Run a listener with a public route of the plain service ``desk``."""
    dispatcher, clock = Dispatcher("g1"), MonotonicClock()
    _OneServer(dispatcher, server_port)
    codec = PlatformFrontCodec()
    context = RequestContext(
        dispatcher=dispatcher,
        clock=clock,
        link=HttpServerLink(),
        codec=codec,
        metrics=GatewayMetrics(),
    )
    endpoint = Endpoint(host="127.0.0.1", port=0)
    front = FrontTask(context, codec, endpoint, protection)
    front.start()
    try:
        listener = FrontListener(front)
        for message in (limited_state(**limits), RegistryListed()):
            listener.post(message)
        with gevent.Timeout(5.0):
            while not front.is_ready:
                gevent.sleep(0.01)
        yield listener
    finally:
        front.stop(0.1)


@contextmanager
def page_listener() -> Iterator[int]:
    """Run a listener that answers 200 and reads no bodies; return its port."""

    def answer(_: dict[str, Any], start_response: StartResponse) -> list[bytes]:
        start_response(status_line(200), [("Content-Length", "0")])
        return []

    server = CallerServer(
        ("127.0.0.1", 0),
        answer,
        CallerProtection.with_defaults(),
        handler_class=CallerHandler,
    )
    server.start()
    try:
        yield int(server.server_port or 0)
    finally:
        server.stop(timeout=0.1)


def limited_state(**limits: Any) -> DesiredState:
    """Return a desired state with a public route and changed limits."""
    plain = route(
        name="r-status",
        prefix="/status/",
        kind=RouteKind.SAFE,
        services=(WeightedService("desk", 1),),
        public=True,
        resumable=False,
        gap_target_s=None,
    )
    state = desired_state(plain)
    return attrs.evolve(state, limits=attrs.evolve(state.limits, **limits))


def request_head(*headers: str, request_id: str = "r1") -> bytes:
    """Return the head of a request."""
    lines = [
        f"POST {PATH} HTTP/1.1",
        "Host: site.example",
        f"Request-Id: {request_id}",
        *headers,
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n"


def read_answer(sock: socket.socket, *, first_only: bool = False) -> bytes:
    """Read until the connection closes, or only the first bytes."""
    if first_only:
        return bytes(sock.recv(65_536))
    received = b""
    while block := sock.recv(65_536):
        received += block
    return received


def trickle(sock: socket.socket, data: bytes, pause_s: float) -> float:
    """Send byte by byte until the peer closes; return the seconds until then."""
    started_at = time.monotonic()
    for number in range(len(data)):
        try:
            sock.sendall(data[number : number + 1])
            sock.settimeout(pause_s)
            received = sock.recv(65_536)
        except TimeoutError:
            continue
        except OSError:
            break
        if not received:
            break
    return time.monotonic() - started_at
