"""The ports of gateways in tests and soaks."""

from __future__ import annotations

import socket
from contextlib import ExitStack

from siskinspool.standins.gateway_site import free_ports

PORTS = 2_000
LISTENERS = 400


def test_listeners_of_other_runs_take_no_port_of_a_gateway() -> None:
    """Guards against a gateway whose port was taken before it could bind it.

    Beside other runs one of some hundred gateways ended so at its start.
    """
    ports = set(free_ports(PORTS))
    assert len(ports) == PORTS
    with ExitStack() as stack:
        for _ in range(LISTENERS):
            listener = stack.enter_context(socket.socket())
            listener.bind(("127.0.0.1", 0))
            assert listener.getsockname()[1] not in ports
