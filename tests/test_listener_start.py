"""The start of a listener needs nothing but its address."""

from __future__ import annotations

import socket as blocking_socket

import pytest
from gevent import socket

from siskinspool.links.http_server import CallerHandler, CallerServer
from siskinspool.protection.caller_protection import CallerProtection


def test_start_of_a_listener_looks_no_name_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a start that waits seconds for the resolver of its host."""

    def fail(name: str = "") -> str:
        raise AssertionError(f"looked up {name}")

    monkeypatch.setattr(socket, "getfqdn", fail)
    monkeypatch.setattr(blocking_socket, "getfqdn", fail)
    server = CallerServer(
        ("127.0.0.1", 0),
        lambda environ, start_response: [],
        CallerProtection.with_defaults(),
        handler_class=CallerHandler,
    )
    server.init_socket()
    server.close()
