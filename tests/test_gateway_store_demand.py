"""The demand that the leader considers before it assigns a weight-store slot."""

from __future__ import annotations

from siskinspool.gateway.messages import (
    DemandReport,
    LeaderChanged,
    OrderKind,
    ServerOrder,
)
from siskinspool.gateway.routing import Routing
from siskinspool.gateway.servers import ServerRemoved
from siskinspool.gateway.site_servers import LAPSED_SERVER_TTL_S
from siskinspool.gateway.store_limit import StoreLoads

from .builders_gateway import (
    assign,
    bounds,
    desired_state,
    engine,
    incoming,
    messages,
    scheduling,
)
from .builders_placement_harness import PlacementHarness, orders

NAMES = tuple(f"m{number}" for number in range(12))
FULL_SPEED_S = 6.0


def single_model_harness() -> PlacementHarness:
    """Return a placement harness whose servers have room for one model each."""
    harness = PlacementHarness()
    spec = engine(*NAMES, weights_mb=75_000.0, store_loads_per_s=30.0)
    harness.send(desired_state(engine_spec=spec))
    return harness


def store_loads(found: list[ServerOrder]) -> list[tuple[str, str]]:
    return [(one.model, one.server_id) for one in found if one.kind is OrderKind.LOAD]


def test_models_are_evicted_only_for_loads_with_a_store_slot() -> None:
    """Guards against models that are unloaded long before a load replaces them.

    In the trial baul-bogota-grown scale-1, a model was unloaded eight seconds before a
    store slot was free, and 58 requests for it were refused.
    """
    harness = single_model_harness()
    for number in range(6):
        held = f"m{number}"
        harness.add_server(f"s{number}", held, on_disk=frozenset({held, "m0", "m1"}))
    harness.begin_term()
    found = []
    for model in NAMES[6:]:
        found += orders(harness.request(model, reach_s=(11.0,)))
    assert [one.kind for one in found] == [OrderKind.UNLOAD] * 3


def test_store_load_avoids_servers_with_an_only_copy() -> None:
    """Guards against weight copies that are unusable while their server is loading.

    In the trial baul-bogota-grown scale-1, 199 of 536 refusals were for models with a
    copy.
    """
    harness = single_model_harness()
    harness.add_server("s1", "m0", on_disk=frozenset({"m0", "m1", "m2"}))
    harness.add_server("s2", "m0", on_disk=frozenset({"m0", "m3"}))
    harness.add_server("s3", "m0", on_disk=frozenset({"m0", "m3"}))
    harness.begin_term()
    given = orders(harness.request("m9", reach_s=(11.0,)))
    assert [one.server_id for one in given] == ["s2"]


def test_model_without_a_copy_is_loaded_for_expected_requesters() -> None:
    """Guards against store slots for models with less demand.

    In the trial baul-bogota-grown trouble-1, the plan for a model with thirteen
    requesters was dropped each time the last pending one of them had left.
    """
    harness = single_model_harness()
    for number in range(3):
        harness.add_server(f"s{number}", "m0", on_disk=frozenset({"m0"}))
    harness.begin_term()
    # The reports are read first.
    harness.advance_time(0.3)
    harness.send(DemandReport("writers", {"m0": 9_000.0}, {}, {"m0": 9.0, "m7": 5.0}))
    found = orders(harness.advance_time(0.3))
    assert [one.kind for one in found] == [OrderKind.UNLOAD]
    planned = harness.decision.status(harness.now)["servers"]
    assert isinstance(planned, dict)
    assert "m7/" in planned[found[0].server_id]["goals"]


def test_no_store_slot_for_a_model_whose_entry_has_just_expired() -> None:
    """Guards against a store slot for a model whose server's entry returns soon.

    In the trial baul-bogota-grown scale-1, a store load of 11.7 s went to a model with
    24 requesters; its server was back at once, and the load served no request.
    """
    harness = single_model_harness()
    harness.add_server("s1", "m7", on_disk=frozenset({"m7"}))
    for number in range(2, 5):
        harness.add_server(f"s{number}", "m0", on_disk=frozenset({"m0"}))
    harness.begin_term()
    harness.send(DemandReport("writers", {"m0": 9_000.0}, {}, {"m7": 24.0, "m8": 3.0}))
    harness.send(ServerRemoved("s1"))
    harness.advance_time(0.3)
    harness.advance_time(0.3)
    servers = harness.decision.status(harness.now)["servers"]
    assert isinstance(servers, dict)
    targets = [target for one in servers.values() for target in one["goals"]]
    assert "m8/" in targets
    assert "m7/" not in targets
    # The server counts as lost if it does not return.
    for _ in range(20):
        harness.advance_time(LAPSED_SERVER_TTL_S / 16)
    servers = harness.decision.status(harness.now)["servers"]
    assert isinstance(servers, dict)
    assert any("m7/" in one["goals"] for one in servers.values())


def test_end_of_a_load_is_expected_once_as_many_have_been_on_time() -> None:
    """Guards against an idle store until the end of each load has been observed.

    In the trial baul-bogota-grown scale-1, 0.4 of each 8.2 s passed between two loads.
    """
    store = StoreLoads()
    store.begin("s0", FULL_SPEED_S, 100.0)
    assert store.running_at(106.1, 106.1) == 1
    store.end("s0", 106.2)
    store.begin("s1", FULL_SPEED_S, 107.0)
    assert store.running_at(112.8, 112.8) == 1
    assert store.running_at(112.8, 113.1) == 0
    assert store.running_at(113.1, 113.1) == 0
    # The load is late, so it counts as running again.
    assert store.running_at(113.6, 113.6) == 1


def test_end_of_one_more_load_than_has_been_on_time_is_waited_for() -> None:
    """Guards against extra loads while the store serves the running ones slowly."""
    store = StoreLoads()
    store.begin("s0", FULL_SPEED_S, 100.0)
    store.begin("s1", FULL_SPEED_S, 100.0)
    store.end("s0", 106.1)
    assert store.running_at(106.2, 106.2) == 1


def test_new_leader_gets_the_requesters_at_once() -> None:
    """Guards against a new leader that assigns store slots before it has reports."""
    routing = Routing("g1", "a", bounds(), scheduling())
    routing.handle(incoming(LeaderChanged("g2")), 100.0)
    routing.on_time(100.0)
    routing.handle(incoming(assign("r1", model="m7")), 100.1)
    routing.on_time(101.1)
    routing.handle(incoming(LeaderChanged("g3")), 101.2)
    assert routing.wake_at() == 101.2
    reports = [
        one for one in messages(routing.on_time(101.2)) if isinstance(one, DemandReport)
    ]
    assert 0.9 < reports[0].requesters_by_model["m7"] <= 1.0
