"""What the leader counts before it gives a turn of the weight store to a model."""

from __future__ import annotations

from siskinspool.gateway.managed_site import LAPSED_SERVER_TTL_S
from siskinspool.gateway.messages import (
    DemandReport,
    LeaderChanged,
    OrderKind,
    ServerOrder,
)
from siskinspool.gateway.routing import Routing
from siskinspool.gateway.servers import ServerRemoved
from siskinspool.gateway.store_limit import StoreLoads

from .builders_gateway import (
    assign,
    bounds,
    desired_state,
    engine,
    incoming,
    messages,
)
from .builders_placement_harness import PlacementHarness, orders

NAMES = tuple(f"m{number}" for number in range(12))
FULL_SPEED_S = 6.0


def one_place_office() -> PlacementHarness:
    """Return an office whose servers have room for one model each."""
    office = PlacementHarness()
    spec = engine(*NAMES, weights_mb=75_000.0, store_loads_per_s=30.0)
    office.send(desired_state(engine_spec=spec))
    return office


def store_loads(found: list[ServerOrder]) -> list[tuple[str, str]]:
    return [(one.model, one.server_id) for one in found if one.kind is OrderKind.LOAD]


def test_room_is_made_for_no_more_models_than_have_a_turn() -> None:
    """Guards against models that are unloaded long before a load takes their place.

    baul-bogota-grown scale-1: a model was unloaded eight seconds before the store had a
    turn, and 58 requests for it were refused.
    """
    office = one_place_office()
    for number in range(6):
        held = f"m{number}"
        office.add_server(f"s{number}", held, on_disk=frozenset({held, "m0", "m1"}))
    office.begin_term()
    found = []
    for model in NAMES[6:]:
        found += orders(office.request(model, reach_s=(11.0,)))
    assert [one.kind for one in found] == [OrderKind.UNLOAD] * 3


def test_load_from_the_store_goes_where_it_keeps_no_only_copy_out_of_reach() -> None:
    """Guards against copies that nobody can load while their server loads for seconds.

    baul-bogota-grown scale-1: 199 of 536 refusals were for models that had a copy.
    """
    office = one_place_office()
    office.add_server("s1", "m0", on_disk=frozenset({"m0", "m1", "m2"}))
    office.add_server("s2", "m0", on_disk=frozenset({"m0", "m3"}))
    office.add_server("s3", "m0", on_disk=frozenset({"m0", "m3"}))
    office.begin_term()
    given = orders(office.request("m9", reach_s=(11.0,)))
    assert [one.server_id for one in given] == ["s2"]


def test_model_without_a_copy_is_loaded_for_requesters_that_will_come() -> None:
    """Guards against turns for models with less demand while nobody is there.

    baul-bogota-grown trouble-1: the plan for a model with thirteen requesters was
    dropped each time as the last of them had left.
    """
    office = one_place_office()
    for number in range(3):
        office.add_server(f"s{number}", "m0", on_disk=frozenset({"m0"}))
    office.begin_term()
    # The reports are read first.
    office.advance_time(0.3)
    office.send(DemandReport("writers", {"m0": 9_000.0}, {}, {"m0": 9.0, "m7": 5.0}))
    found = orders(office.advance_time(0.3))
    assert [one.kind for one in found] == [OrderKind.UNLOAD]
    planned = office.decision.status(office.now)["servers"]
    assert isinstance(planned, dict)
    assert "m7/" in planned[found[0].server_id]["goals"]


def test_no_turn_for_a_model_whose_server_has_just_lapsed() -> None:
    """Guards against a turn for a model that is back on its server in a moment.

    baul-bogota-grown scale-1: the turn of 11.7 s went to a model with 24 requesters;
    its server was back at once, and the load served nobody.
    """
    office = one_place_office()
    office.add_server("s1", "m7", on_disk=frozenset({"m7"}))
    for number in range(2, 5):
        office.add_server(f"s{number}", "m0", on_disk=frozenset({"m0"}))
    office.begin_term()
    office.send(DemandReport("writers", {"m0": 9_000.0}, {}, {"m7": 24.0, "m8": 3.0}))
    office.send(ServerRemoved("s1"))
    office.advance_time(0.3)
    office.advance_time(0.3)
    servers = office.decision.status(office.now)["servers"]
    assert isinstance(servers, dict)
    goals = [goal for one in servers.values() for goal in one["goals"]]
    assert "m8/" in goals
    assert "m7/" not in goals
    # It is taken for lost if it does not come back.
    for _ in range(20):
        office.advance_time(LAPSED_SERVER_TTL_S / 16)
    servers = office.decision.status(office.now)["servers"]
    assert isinstance(servers, dict)
    assert any("m7/" in one["goals"] for one in servers.values())


def test_end_of_a_load_is_expected_once_as_many_have_been_on_time() -> None:
    """Guards against a store that waits until each end has been seen.

    baul-bogota-grown scale-1: 0.4 of each 8.2 s passed between two loads.
    """
    store = StoreLoads()
    store.begin("s0", FULL_SPEED_S, 100.0)
    assert store.running_at(106.1, 106.1) == 1
    store.end("s0", 106.2)
    store.begin("s1", FULL_SPEED_S, 107.0)
    assert store.running_at(112.8, 112.8) == 1
    assert store.running_at(112.8, 113.1) == 0
    assert store.running_at(113.1, 113.1) == 0
    # It is late after all.
    assert store.running_at(113.6, 113.6) == 1


def test_end_of_one_more_load_than_has_been_on_time_is_waited_for() -> None:
    """Guards against loads beside those that the store carries more slowly."""
    store = StoreLoads()
    store.begin("s0", FULL_SPEED_S, 100.0)
    store.begin("s1", FULL_SPEED_S, 100.0)
    store.end("s0", 106.1)
    assert store.running_at(106.2, 106.2) == 1


def test_new_leader_hears_of_the_requesters_at_once() -> None:
    """Guards against first turns that a new leader gives before the gateways report."""
    routing = Routing("g1", "a", bounds())
    routing.handle(incoming(LeaderChanged("g2")), 100.0)
    routing.on_time(100.0)
    routing.handle(incoming(assign("r1", model="m7")), 100.1)
    routing.on_time(101.1)
    routing.handle(incoming(LeaderChanged("g3")), 101.2)
    assert routing.wake_at() == 101.2
    told = [
        one for one in messages(routing.on_time(101.2)) if isinstance(one, DemandReport)
    ]
    assert 0.9 < told[0].requesters_by_model["m7"] <= 1.0
