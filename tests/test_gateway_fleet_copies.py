"""What the leader knows of the copies of weights in the fleet, and what it loads."""

from __future__ import annotations

import pytest

from siskinspool.gateway.fleet_copies import FleetCopies
from siskinspool.gateway.managed_server import ManagedServer
from siskinspool.gateway.managed_site import JOIN_SETTLE_S, LAPSED_SERVER_TTL_S
from siskinspool.gateway.messages import OrderKind, OrderResult, ServerOrder
from siskinspool.gateway.placement_choice import ServiceFleet
from siskinspool.gateway.plan_moves import plan_moves
from siskinspool.gateway.servers import ServerRemoved

from .builders_gateway import desired_state, engine, holdings, server
from .builders_placement_harness import PlacementHarness, orders

MODELS = tuple(f"m{number}" for number in range(16))
# Room for one model, and for seven copies on the disk.
SPEC = engine(*MODELS, weights_mb=75_000.0, store_loads_per_s=30.0)


def loads(found: list[ServerOrder]) -> list[tuple[str, str]]:
    return [
        (order.model, order.server_id)
        for order in found
        if order.kind is OrderKind.LOAD
    ]


def wait(office: PlacementHarness, seconds: float) -> list[ServerOrder]:
    """Let ticks pass; return the orders given meanwhile."""
    found: list[ServerOrder] = []
    for _ in range(round(seconds / 0.25)):
        found += orders(office.advance_time(0.25))
    return found


def managed(
    server_id: str, *models: str, on_disk: str, in_memory: str = ""
) -> ManagedServer:
    held = holdings(
        *models,
        count=0,
        on_disk=frozenset(on_disk.split()),
        in_memory=frozenset(in_memory.split()),
    )
    return ManagedServer(record=server(server_id, *models), holdings=held)


def test_nothing_is_loaded_ahead_while_servers_still_register() -> None:
    """Guards against loads from the store of models that other servers have.

    baul-bogota-grown: the leader had seen one server of 45 and began to load models
    "without a copy"; the six loads that followed took the store for 26 s.
    """
    office = PlacementHarness()
    office.send(desired_state(engine_spec=SPEC))
    office.add_server("s1", on_disk=frozenset(MODELS[:8]))
    office.begin_term()
    found = wait(office, JOIN_SETTLE_S - 0.5)
    office.add_server("s2", on_disk=frozenset(MODELS[7:15]))
    found += wait(office, JOIN_SETTLE_S - 0.5)
    assert not loads(found)
    assert [model for model, _ in loads(wait(office, 1.0))] == ["m15"]


def test_single_server_that_joins_does_not_stop_loads_ahead() -> None:
    """Guards against a large fleet that never counts as complete."""
    office = PlacementHarness()
    office.send(desired_state(engine_spec=SPEC))
    for number in range(30):
        office.add_server(f"s{number}", on_disk=frozenset(MODELS[:15]))
    office.begin_term()
    found = wait(office, JOIN_SETTLE_S - 0.5)
    office.add_server("joining", on_disk=frozenset(MODELS[:15]))
    assert [model for model, _ in loads(found + wait(office, 1.0))] == ["m15"]


def test_copy_on_a_silent_server_counts() -> None:
    """Guards against loads ahead of models whose server is silent for a moment."""
    office = PlacementHarness()
    office.send(desired_state(engine_spec=SPEC))
    office.add_server("s1", on_disk=frozenset(MODELS[:8]))
    office.add_server("s2", on_disk=frozenset(MODELS[8:]))
    office.begin_term()
    wait(office, JOIN_SETTLE_S)
    silent = office.decision._site.server_by_id["s2"]
    silent.mark_silent(office.now)
    assert not loads(wait(office, 1.0))


def test_load_from_the_store_goes_where_the_disk_drops_no_only_copy() -> None:
    """Guards against models that lose their only copy to a load of another one.

    baul-bogota-grown trouble-1: the only copy of a model that was asked for ten times
    was dropped for a model of which six servers had a copy.
    """
    office = PlacementHarness()
    office.send(desired_state(engine_spec=SPEC))
    office.add_server("s1", on_disk=frozenset(MODELS[:7]))
    office.add_server("s2", on_disk=frozenset(MODELS[7:14]))
    office.add_server("s3", on_disk=frozenset(MODELS[7:14]))
    office.begin_term()
    found = orders(office.request("m14", reach_s=(11.0,)) + office.advance_time(0.25))
    assert loads(found) == [("m14", "s2")]


def test_disk_with_room_drops_nothing() -> None:
    """Guards against a load that avoids an empty disk."""
    copies = FleetCopies(SPEC, [managed("s1", on_disk="m0 m1")])
    assert copies.expected_models_lost(managed("s1", on_disk="m0 m1"), "m9", ()) == 0


def test_copies_of_loaded_models_are_dropped_last() -> None:
    """Guards against an estimate that counts copies which were just used."""
    full = managed("s1", "m0", on_disk="m0 m1 m2 m3 m4 m5 m6", in_memory="m1")
    other = managed("s2", on_disk="m2 m3 m4")
    copies = FleetCopies(SPEC, [full, other])
    # Of the five copies that may go, m5 and m6 are the only ones.
    assert copies.expected_models_lost(full, "m9", ()) == 2 / 5


def test_unload_of_a_model_without_another_copy_loses_it() -> None:
    """Guards against an eviction of a model whose copy the disk has dropped."""
    only = managed("s1", "m0", on_disk="m1")
    copies = FleetCopies(SPEC, [only])
    assert copies.expected_models_lost(only, "m1", ("m0",)) == 1


def test_nothing_is_loaded_ahead_while_a_lapsed_entry_may_come_back() -> None:
    """Guards against loads from the store of models that a lapsed server has.

    Entries that lapse while the platform's store is away are back within two seconds, a
    server that crashed a little later.
    """
    office = PlacementHarness()
    office.send(desired_state(engine_spec=SPEC))
    office.add_server("s1", on_disk=frozenset(MODELS[:8]))
    office.add_server("s2", on_disk=frozenset(MODELS[8:]))
    office.begin_term()
    assert not loads(wait(office, JOIN_SETTLE_S + 0.5))
    office.send(ServerRemoved("s2"))
    assert not loads(wait(office, LAPSED_SERVER_TTL_S - 0.5))
    assert loads(wait(office, 1.0))


def test_plans_are_not_weighed_for_a_copy_on_a_silent_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader that is busy with moves that cannot be made.

    While servers are dark, each plan whose model has a copy there was weighed against
    all servers on each tick.
    """
    office = PlacementHarness()
    office.send(desired_state(engine_spec=SPEC))
    office.add_server("s1", on_disk=frozenset(MODELS[:8]))
    office.add_server("s2", on_disk=frozenset(MODELS[8:]))
    office.add_server("s3", on_disk=frozenset(MODELS[:8]))
    office.begin_term()
    # The reports are read.
    wait(office, 0.25)
    office.decision._site.server_by_id["s2"].mark_silent(office.now)
    office.decision._site.store_loads("writers").inherit_limit(1, office.now)
    first = orders(office.request("m8", reach_s=(30.0,)))[0]
    office.end(first, OrderResult.ACCEPTED)
    office.request("m9", reach_s=(30.0,))
    weighed: list[str] = []
    monkeypatch.setattr(
        ServiceFleet,
        "better_choice",
        lambda fleet, server, goal, now: weighed.append(""),
    )
    fleet = office.decision._site.fleets(office.now)[0]
    assert fleet.store_queue.unstarted_plans()
    assert not list(plan_moves(fleet, office.now))
    assert not weighed
