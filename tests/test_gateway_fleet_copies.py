"""What the leader knows of the copies of weights in the fleet, and what it loads."""

from __future__ import annotations

from siskinspool.gateway.managed_site import JOIN_QUIET_S
from siskinspool.gateway.messages import OrderKind, ServerOrder

from .builders_gateway import desired_state, engine
from .builders_placement_office import Office, orders

MODELS = tuple(f"m{number}" for number in range(16))
# Room for one model, and for seven copies on the disk.
SPEC = engine(*MODELS, weights_mb=75_000.0, store_loads_per_s=30.0)


def loads(found: list[ServerOrder]) -> list[tuple[str, str]]:
    return [
        (order.model, order.server_id)
        for order in found
        if order.kind is OrderKind.LOAD
    ]


def wait(office: Office, seconds: float) -> list[ServerOrder]:
    """Let ticks pass; return the orders given meanwhile."""
    found: list[ServerOrder] = []
    for _ in range(round(seconds / 0.25)):
        found += orders(office.wait(0.25))
    return found


def test_nothing_is_loaded_ahead_while_servers_still_register() -> None:
    """Guards against loads from the store of models that other servers have.

    baul-bogota-grown: the leader had seen one server of 45 and began to load models
    "without a copy"; the six loads that followed took the store for 26 s.
    """
    office = Office()
    office.tell(desired_state(engine_spec=SPEC))
    office.add("s1", on_disk=frozenset(MODELS[:8]))
    office.take_office()
    found = wait(office, JOIN_QUIET_S - 0.5)
    office.add("s2", on_disk=frozenset(MODELS[7:15]))
    found += wait(office, JOIN_QUIET_S - 0.5)
    assert not loads(found)
    assert [model for model, _ in loads(wait(office, 1.0))] == ["m15"]


def test_copy_on_a_silent_server_counts() -> None:
    """Guards against loads ahead of models whose server is silent for a moment."""
    office = Office()
    office.tell(desired_state(engine_spec=SPEC))
    office.add("s1", on_disk=frozenset(MODELS[:8]))
    office.add("s2", on_disk=frozenset(MODELS[8:]))
    office.take_office()
    wait(office, JOIN_QUIET_S)
    silent = office.decision._site.server_by_id["s2"]
    silent.fall_silent(office.now)
    assert not loads(wait(office, 1.0))
