"""The work of a leader stays bounded: by servers, by requests and in time."""

from __future__ import annotations

import pytest

from siskinspool.gateway.managed_server import ManagedServer
from siskinspool.gateway.messages import OrderResult
from siskinspool.gateway.server_orders import ServerOrders

from .builders_gateway import desired_state, engine
from .builders_placement_harness import PlacementHarness, orders

MODELS = tuple(f"m{number}" for number in range(40))


def large_harness(servers: int) -> PlacementHarness:
    """Return a harness whose servers each have some models on their disks."""
    harness = PlacementHarness()
    spec = engine(*MODELS, weights_mb=145_000.0, disk_mb=900_000.0)
    harness.send(desired_state(engine_spec=spec))
    for number in range(servers):
        disk = {MODELS[(number + step) % len(MODELS)] for step in range(8)}
        harness.add_server(f"s{number:03}", on_disk=frozenset(disk))
    harness.begin_term()
    harness.advance_time(0.25)
    harness.advance_time(0.25)
    return harness


def test_wake_between_ticks_looks_at_due_servers_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a pass over all servers at each step of a single one."""
    harness = large_harness(80)
    advanced: list[str] = []
    advance = ServerOrders.advance

    def count(orders: ServerOrders, server: ManagedServer, now: float) -> object:
        advanced.append(server.record.server_id)
        return advance(orders, server, now)

    order = orders(harness.request("m0"))[0]
    monkeypatch.setattr(ServerOrders, "advance", count)
    harness.end(order, OrderResult.ACCEPTED)
    assert advanced == [order.server_id]
    harness.advance_time(0.2)
    assert len(advanced) == 1
    harness.advance_time(0.1)
    assert len(advanced) == 81
