"""Requests at the listener whose prompt parts are quarantined."""

from __future__ import annotations

import math

import pytest
from gevent import socket

from siskinspool.gateway.quarantine_messages import (
    QuarantineChanged,
    QuarantinedParts,
)

from .builders_front_listener import (
    FrontListener,
    front_listener,
    read_answer,
    request_head,
)
from .builders_membership import wait_until
from .builders_scripted_server import answer, scripted_server, silent_server

HELD = QuarantineChanged(
    (QuarantinedParts(frozenset({"subject", "dead"}), probe_from=math.inf),)
)


def send(listener: FrontListener, prompt: str) -> socket.socket:
    """Send a request with these prompt parts."""
    sock = listener.connect()
    sock.sendall(request_head("Content-Length: 0", f"Prompt-Prefix: {prompt}"))
    return sock


def test_request_that_waits_at_a_server_is_ended_when_its_parts_are_held() -> None:
    """Guards against a crash by a request that was sent before its parts were known."""
    with silent_server() as server, front_listener(server.port) as listener:
        crashing = send(listener, "first:1,subject:1,dead:1,own:1")
        sound = send(listener, "first:1,subject:1,own:1")
        wait_until(lambda: len(server.requests) == 2)
        listener.post(HELD)
        assert read_answer(crashing, first_only=True).startswith(b"HTTP/1.1 502")
        sound.settimeout(0.3)
        with pytest.raises(TimeoutError):
            sound.recv(1)
        assert len(server.requests) == 2


def test_only_a_request_with_all_held_parts_is_refused() -> None:
    """Guards against refusing sound requests that share some of the parts."""
    with (
        scripted_server(answer(200, b"ran")) as server,
        front_listener(server.port) as listener,
    ):
        listener.post(HELD)
        refused = read_answer(send(listener, "subject:1,DEAD:1,own:1"), first_only=True)
        assert refused.startswith(b"HTTP/1.1 503")
        assert b"prompt_quarantined" in refused and b"dead,subject" in refused
        served = read_answer(send(listener, "subject:1,own:1"), first_only=True)
        assert served.endswith(b"ran")
        assert len(server.requests) == 1
