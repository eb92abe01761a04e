"""Effect of the weight copies in the fleet on the loads that the leader orders."""

from __future__ import annotations

import random

import pytest

from siskinspool.gateway.fleet_copies import FleetCopies, FleetCopiesCache
from siskinspool.gateway.managed_server import ManagedServer
from siskinspool.gateway.messages import OrderKind, OrderResult, ServerOrder
from siskinspool.gateway.plan_moves import plan_moves
from siskinspool.gateway.servers import ServerRemoved
from siskinspool.gateway.site_servers import JOIN_SETTLE_S, LAPSED_SERVER_TTL_S

from .builders_gateway import desired_state, engine, holdings, server
from .builders_placement_harness import PlacementHarness, orders

MODELS = tuple(f"m{number}" for number in range(16))
# Room for one model in memory, and for seven copies on the disk.
SPEC = engine(*MODELS, weights_mb=75_000.0, store_loads_per_s=30.0)


def loads(found: list[ServerOrder]) -> list[tuple[str, str]]:
    return [
        (order.model, order.server_id)
        for order in found
        if order.kind is OrderKind.LOAD
    ]


def advance_ticks(harness: PlacementHarness, seconds: float) -> list[ServerOrder]:
    """Advance some ticks; return the orders given meanwhile."""
    found: list[ServerOrder] = []
    for _ in range(round(seconds / 0.25)):
        found += orders(harness.advance_time(0.25))
    return found


def managed_server(
    server_id: str, *models: str, on_disk: str, in_memory: str = ""
) -> ManagedServer:
    held = holdings(
        *models,
        count=0,
        on_disk=frozenset(on_disk.split()),
        in_memory=frozenset(in_memory.split()),
    )
    return ManagedServer(record=server(server_id, *models), holdings=held)


def test_nothing_is_preloaded_while_servers_still_register() -> None:
    """Guards against loads from the store of models that other servers have.

    A new leader had seen one server of 45 and started to load models "without a copy".
    Its six loads occupied the store for 26 s.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=SPEC))
    harness.add_server("s1", on_disk=frozenset(MODELS[:8]))
    harness.begin_term()
    found = advance_ticks(harness, JOIN_SETTLE_S - 0.5)
    harness.add_server("s2", on_disk=frozenset(MODELS[7:15]))
    found += advance_ticks(harness, JOIN_SETTLE_S - 0.5)
    assert not loads(found)
    assert [model for model, _ in loads(advance_ticks(harness, 1.0))] == ["m15"]


def test_single_server_that_joins_does_not_stop_preloads() -> None:
    """Guards against a large fleet that never counts as complete."""
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=SPEC))
    for number in range(30):
        harness.add_server(f"s{number}", on_disk=frozenset(MODELS[:15]))
    harness.begin_term()
    found = advance_ticks(harness, JOIN_SETTLE_S - 0.5)
    harness.add_server("joining", on_disk=frozenset(MODELS[:15]))
    assert [model for model, _ in loads(found + advance_ticks(harness, 1.0))] == ["m15"]


def test_copy_on_a_silent_server_counts() -> None:
    """Guards against preloads of models whose server is briefly silent."""
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=SPEC))
    harness.add_server("s1", on_disk=frozenset(MODELS[:8]))
    harness.add_server("s2", on_disk=frozenset(MODELS[8:]))
    harness.begin_term()
    advance_ticks(harness, JOIN_SETTLE_S)
    silent = harness.decision._site.server_by_id["s2"]
    silent.mark_silent(harness.now)
    assert not loads(advance_ticks(harness, 1.0))


def test_load_from_the_store_goes_where_no_only_copy_is_deleted() -> None:
    """Guards against models that lose their only copy to a load of another one.

    The only copy of a model with ten requests was dropped for a model that had copies
    on six servers.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=SPEC))
    harness.add_server("s1", on_disk=frozenset(MODELS[:7]))
    harness.add_server("s2", on_disk=frozenset(MODELS[7:14]))
    harness.add_server("s3", on_disk=frozenset(MODELS[7:14]))
    harness.begin_term()
    found = orders(harness.request("m14", reach_s=(11.0,)) + harness.advance_time(0.25))
    assert loads(found) == [("m14", "s2")]


def test_disk_with_room_drops_nothing() -> None:
    """Guards against a load that avoids an empty disk."""
    copies = FleetCopies(SPEC, [managed_server("s1", on_disk="m0 m1")])
    assert (
        copies.expected_models_lost(managed_server("s1", on_disk="m0 m1"), "m9", ())
        == 0
    )


def test_copies_of_loaded_models_are_dropped_last() -> None:
    """Guards against an estimate that counts recently used copies."""
    full = managed_server("s1", "m0", on_disk="m0 m1 m2 m3 m4 m5 m6", in_memory="m1")
    other = managed_server("s2", on_disk="m2 m3 m4")
    copies = FleetCopies(SPEC, [full, other])
    # Of the five copies that may be deleted, m5 and m6 are the only ones.
    assert copies.expected_models_lost(full, "m9", ()) == 2 / 5


def test_unload_of_a_model_without_another_copy_loses_it() -> None:
    """Guards against evicting a model whose copy was deleted from the disk."""
    only = managed_server("s1", "m0", on_disk="m1")
    copies = FleetCopies(SPEC, [only])
    assert copies.expected_models_lost(only, "m1", ("m0",)) == 1


def test_nothing_is_preloaded_while_a_lapsed_server_may_return() -> None:
    """Guards against loads from the store of models that a lapsed server has.

    Servers whose entries lapse during an outage of the platform's store are back within
    two seconds, and crashed servers a little later.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=SPEC))
    harness.add_server("s1", on_disk=frozenset(MODELS[:8]))
    harness.add_server("s2", on_disk=frozenset(MODELS[8:]))
    harness.begin_term()
    assert not loads(advance_ticks(harness, JOIN_SETTLE_S + 0.5))
    harness.send(ServerRemoved("s2"))
    assert not loads(advance_ticks(harness, LAPSED_SERVER_TTL_S - 0.5))
    assert loads(advance_ticks(harness, 1.0))


def test_plans_are_not_compared_for_a_copy_on_a_silent_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leader that spends its time on moves that are impossible.

    While servers were unreachable, each plan whose model had a copy there was compared
    with all servers at each tick.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=SPEC))
    harness.add_server("s1", on_disk=frozenset(MODELS[:8]))
    harness.add_server("s2", on_disk=frozenset(MODELS[8:]))
    harness.add_server("s3", on_disk=frozenset(MODELS[:8]))
    harness.begin_term()
    # Let the leader read the reports.
    advance_ticks(harness, 0.25)
    harness.decision._site.server_by_id["s2"].mark_silent(harness.now)
    harness.decision._site.store_loads("writers").inherit_limit(1, harness.now)
    first = orders(harness.request("m8", reach_s=(30.0,)))[0]
    harness.end(first, OrderResult.ACCEPTED)
    harness.request("m9", reach_s=(30.0,))
    compared: list[str] = []
    monkeypatch.setattr(
        "siskinspool.gateway.plan_moves.find_sooner_choice",
        lambda fleet, server, target, now: compared.append(""),
    )
    fleet = harness.decision._site.fleets(harness.now)[0]
    assert fleet.store_queue.unstarted_plans()
    assert not list(plan_moves(fleet, harness.now))
    assert not compared


def test_copies_are_right_after_any_changes_of_the_servers() -> None:
    """Guards against counts that drift as servers load, lapse and return."""
    rng = random.Random(5)
    names = tuple(f"m{number}" for number in range(12))
    spec = engine(*names)
    cache = FleetCopiesCache()
    staying: list[ManagedServer] = []
    lapsed: list[ManagedServer] = []
    for step in range(300):
        if len(staying) < 3 or rng.random() < 0.2:
            staying.append(
                ManagedServer(record=server(f"s{step}"), holdings=holdings(count=0))
            )
        changed = rng.choice(staying)
        changed.holdings = holdings(
            count=step, on_disk=frozenset(rng.sample(names, rng.randrange(6)))
        )
        changed.loading_model = rng.choice([None, rng.choice(names)])
        if rng.random() < 0.2:
            lapsed.append(staying.pop(rng.randrange(len(staying))))
        if lapsed and rng.random() < 0.2:
            staying.append(lapsed.pop())
        if lapsed and rng.random() < 0.1:
            lapsed.clear()
        found = cache.copies(spec, staying, lapsed)
        counted = FleetCopies(spec, staying, lapsed)
        for name in names:
            assert found.count(name) == counted.count(name)
            assert found.has_single_copy(name) == counted.has_single_copy(name)
        for one in staying:
            found_blocked = found.models_blocked_by_load(one, names[0], ())
            counted_blocked = counted.models_blocked_by_load(one, names[0], ())
            assert set(found_blocked) == set(counted_blocked)
