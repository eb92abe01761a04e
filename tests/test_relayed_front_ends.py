"""Calls that reach their server through another instance, at both front ends."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from siskinspool.core.message import Address, Outgoing
from siskinspool.relay.relay_messages import RelayedSignal

from .builders_front_ends import FrontEnd, GatewayFrontEnd, ProductFrontEnd
from .builders_relay import CLOSED_PORT, Relay, running_relay
from .builders_scripted_server import (
    RESET,
    ScriptedServer,
    answer,
    event,
    refusal,
    scripted_server,
    stream,
)

BODY = b"x" * 100_000
# What both front ends take for the end of a stream.
LAST_EVENT = b"data: [DONE]\n\n"


@pytest.fixture(params=[GatewayFrontEnd, ProductFrontEnd], ids=["gateway", "product"])
def front(request: pytest.FixtureRequest) -> FrontEnd:
    front_end = request.param()
    assert isinstance(front_end, FrontEnd)
    return front_end


@pytest.fixture
def server() -> Iterator[ScriptedServer]:
    """Run a server that the relay reaches; a test sets its scripts."""
    with scripted_server() as running:
        yield running


@pytest.fixture
def relay(front: FrontEnd, server: ScriptedServer) -> Iterator[Relay]:
    with running_relay(server.port) as running:
        front.relays = (running,)
        yield running


def test_answer_through_a_relay_is_whole(
    front: FrontEnd, relay: Relay, server: ScriptedServer
) -> None:
    """Guards against a front end that refuses calls though another one could serve."""
    server.scripts = [answer(200, BODY)]
    received = front.send(CLOSED_PORT)
    assert (received.status, received.body) == (200, BODY)
    assert received.is_whole
    assert [opening.server_id for opening in relay.asked] == [f"s{CLOSED_PORT}"]
    assert len(server.requests) == 1


def test_stream_through_a_relay_is_whole(
    front: FrontEnd, relay: Relay, server: ScriptedServer
) -> None:
    """Guards against a stream that loses its end between two instances."""
    server.scripts = [stream(event(1), event(2), LAST_EVENT)]
    received = front.send(CLOSED_PORT, events=True)
    assert received.body.startswith(event(1) + event(2))
    assert received.is_whole
    assert relay.asked


@pytest.mark.parametrize("end", [b"", RESET], ids=["closed", "reset"])
def test_stream_that_is_cut_behind_a_relay_is_cut(
    front: FrontEnd, relay: Relay, server: ScriptedServer, end: bytes
) -> None:
    """Guards against a truncated stream that looks complete after a relay."""
    server.scripts = [stream(event(1), event(2), end=end)]
    received = front.send(CLOSED_PORT, events=True)
    assert received.status == 200
    assert not received.is_whole
    assert relay.asked


@pytest.mark.parametrize("end", [b"", RESET], ids=["closed", "reset"])
def test_body_that_is_cut_behind_a_relay_is_no_answer(
    front: FrontEnd, relay: Relay, server: ScriptedServer, end: bytes
) -> None:
    """Guards against a truncated body that passes for all of it after a relay."""
    server.scripts = [answer(200, BODY)[:-1] + end]
    assert front.send(CLOSED_PORT).status == 502
    assert len(server.requests) == 1


def test_refusal_through_a_relay_is_the_servers(
    front: FrontEnd, relay: Relay, server: ScriptedServer
) -> None:
    """Guards against a relay that hides why a server has refused a call."""
    server.scripts = [refusal(), refusal()]
    direct = front.send(server.port)
    relayed = front.send(CLOSED_PORT)
    assert relayed.status == direct.status == 503
    assert len(relay.asked) == 1


def test_call_that_relays_deny_is_not_run(
    front: FrontEnd, relay: Relay, server: ScriptedServer
) -> None:
    """Guards against an unknown outcome of a call of which no byte was sent."""
    relay.denial = "the server is not open"
    received = front.send(CLOSED_PORT)
    assert received.status == 503
    assert (b"not_run" in received.body) or received.headers.get("not-run") == "1"
    assert server.requests == []


@pytest.mark.parametrize(
    ("script", "is_leaving", "retry_after_s"),
    [
        (answer(200, BODY, b"Server-Leaving: 1"), True, None),
        (answer(503, b"", b"Retry-After: 2", b"Not-Run: 1"), False, 2.0),
    ],
    ids=["leaving", "pause"],
)
def test_relay_hears_what_a_server_states(
    front: FrontEnd,
    relay: Relay,
    server: ScriptedServer,
    script: bytes,
    is_leaving: bool,
    retry_after_s: float | None,
) -> None:
    """Guards against a relay that goes on sending to a server that wants no calls."""
    server.scripts = [script]
    front.send(CLOSED_PORT)
    opening = relay.asked[0]
    signal = RelayedSignal(
        opening.server_id, opening.born_ms, opening.boot_id, is_leaving, retry_after_s
    )
    assert front.peers.sent == [Outgoing(Address("g2", "routing"), signal)]


def test_direct_answer_is_reported_to_nobody_else(
    front: FrontEnd, server: ScriptedServer
) -> None:
    """Guards against a signal that other instances take for their own."""
    server.scripts = [answer(200, BODY, b"Server-Leaving: 1")]
    assert front.send(server.port).status == 200
    assert front.peers.sent == []
