"""Plans of several loads: each has its own room, and its time is known."""

from __future__ import annotations

from siskinspool.gateway.messages import (
    DemandSeen,
    OrderKind,
    OrderResult,
    ServerOrder,
)

from .builders_gateway import desired_state, engine, holdings
from .builders_placement_office import Office, orders

ALL_MODELS = frozenset(f"m{number}" for number in range(6))


def carry_out(office: Office, order: ServerOrder) -> list[ServerOrder]:
    """Let a server accept and finish an order; return the orders that follow."""
    office.end(order, OrderResult.ACCEPTED)
    held = set(office.reports[order.server_id].model_by_name)
    if order.kind is OrderKind.LOAD:
        held.add(order.model)
    else:
        held.discard(order.model)
    office.reports[order.server_id] = holdings(
        *held, count=order.expected_count + 1, on_disk=ALL_MODELS
    )
    return orders(office.wait(1.3))


def test_room_of_one_plan_is_not_promised_to_another() -> None:
    """Guards against an eviction that no plan has weighed.

    baul-bogota scale-1: two loads were planned in the place of the same idle model, and
    the second one then evicted the most wanted model of the site.
    """
    office = Office()
    office.tell(desired_state(engine_spec=engine(*ALL_MODELS, weights_mb=145_000.0)))
    office.add("s1", "m0", "m1", on_disk=ALL_MODELS)
    office.add("s2", "m4", "m5", on_disk=ALL_MODELS)
    office.take_office()
    demand = {"m0": 15_000, "m1": 100, "m4": 15_000, "m5": 5_000}
    office.tell(DemandSeen("writers", demand))
    given: list[ServerOrder] = []
    for _ in range(8):
        found = orders(office.want("m2") + office.want("m3"))
        while found:
            given += found
            found = [later for order in found for later in carry_out(office, order)]
    loaded = [order.model for order in given if order.kind is OrderKind.LOAD]
    unloaded = [order.model for order in given if order.kind is OrderKind.UNLOAD]
    assert sorted(loaded) == ["m2", "m3"]
    assert sorted(unloaded) == ["m1", "m5"]
