"""Builders for tests of relayed calls: members, paths and a relay in the test."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from siskinspool.core.clock import MonotonicClock
from siskinspool.core.dispatcher import Dispatcher, PeerTransport
from siskinspool.core.member import Member
from siskinspool.core.message import Address, Outgoing
from siskinspool.links.server_link import HttpServerLink, ServerRequest
from siskinspool.relay.relay_listener import RelayListener
from siskinspool.relay.relay_messages import RelayDenied, RelayGranted
from siskinspool.relay.relay_protocol import RelayOpen
from siskinspool.relay.relaying_link import RelayingServerLink
from siskinspool.relay.server_paths import ServerPaths
from siskinspool.server_signals.observations import ServerStart

OWN_ID = "g1"
# Nothing listens on this port.
CLOSED_PORT = 1


def relay_member(name: str, zone: str = "a", relay_port: int = 7) -> Member:
    """Return an instance that relays calls."""
    return Member(name, f"{name}-1", zone, "127.0.0.1", 1, relay_port=relay_port)


def server_paths(*others: Member) -> ServerPaths:
    """Return the paths of an instance of zone ``a`` that knows these others."""
    paths = ServerPaths(OWN_ID, "a", random.Random(1))
    paths.set_members({one.instance_id: one for one in (relay_member(OWN_ID), *others)})
    return paths


def start_of(server_id: str, port: int = CLOSED_PORT) -> ServerStart:
    """Return a start of a server that this instance cannot reach."""
    return ServerStart(server_id, 5, "127.0.0.1", port)


def request_to(start: ServerStart) -> ServerRequest:
    """Return a request to a server."""
    return ServerRequest(
        host=start.host,
        port=start.port,
        method="POST",
        uri="/quote/1",
        headers={"Request-Id": "r1"},
        body=b"body",
        start=start,
    )


@attrs.define
class Relay:
    """Another instance that reaches a server; it permits what its owner says."""

    listener: RelayListener
    server_port: int
    denial: str = ""
    asked: list[RelayOpen] = attrs.field(factory=list)

    @property
    def open_count(self) -> int:
        """The connections that are open now."""
        return int(self.listener.gauges()["relay.open_connections"])


@contextmanager
def running_relay(server_port: int) -> Iterator[Relay]:
    """Run a relay before a server."""

    def permit(opening: RelayOpen) -> RelayGranted | RelayDenied:
        relay.asked.append(opening)
        if relay.denial:
            return RelayDenied(relay.denial)
        return RelayGranted("127.0.0.1", relay.server_port)

    relay = Relay(RelayListener("127.0.0.1", (), permit), server_port)
    relay.listener.start()
    try:
        yield relay
    finally:
        relay.listener.stop()


class SentToPeers(PeerTransport):
    """Keeps the messages to other instances."""

    def __init__(self) -> None:
        self.sent: list[Outgoing] = []

    def send_to_peer(self, sender: Address, outgoing: Outgoing) -> bool:
        """Keep a message."""
        self.sent.append(outgoing)
        return True


def relaying_link(*relays: Relay) -> tuple[RelayingServerLink, ServerPaths]:
    """Return the link of an instance without a path to servers, and its paths."""
    direct = HttpServerLink(0.2, ends_by_close=True)
    return link_around(direct, Dispatcher(OWN_ID), *relays)


def link_around(
    direct: HttpServerLink, dispatcher: Dispatcher, *relays: Relay
) -> tuple[RelayingServerLink, ServerPaths]:
    """Return a link that goes through relays where the direct one has no path.

    The relays are the instances ``g2``, ``g3`` and so on.
    """
    members = [
        relay_member(f"g{number}", "b", relay.listener.port)
        for number, relay in enumerate(relays, start=2)
    ]
    paths = server_paths(*members)
    # Another server was not reached just before.
    paths.record_failed(start_of("other"), 0.0)
    return RelayingServerLink(direct, paths, dispatcher, MonotonicClock()), paths
