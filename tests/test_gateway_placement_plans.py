"""Several plans of one server: each has its own memory and a known duration."""

from __future__ import annotations

import pytest

from siskinspool.gateway.demand import TokenDemand
from siskinspool.gateway.managed_server import ManagedServer
from siskinspool.gateway.messages import (
    DemandReport,
    ModelExpected,
    OrderKind,
    OrderResult,
    ServerOrder,
)
from siskinspool.gateway.placement_plan import PlacementPlan
from siskinspool.gateway.plan_moves import plan_moves
from siskinspool.gateway.servers import ZoneEvacuated
from siskinspool.gateway.service_fleet import ServiceFleet

from .builders_gateway import desired_state, engine, holdings, server
from .builders_placement_harness import PlacementHarness, orders

ALL_MODELS = frozenset(f"m{number}" for number in range(6))


def finish_order(harness: PlacementHarness, order: ServerOrder) -> list[ServerOrder]:
    """Let a server accept and finish an order; return the orders that follow."""
    harness.end(order, OrderResult.ACCEPTED)
    known = harness.reports[order.server_id]
    held = set(known.model_by_name)
    if order.kind is OrderKind.LOAD:
        held.add(order.model)
    else:
        held.discard(order.model)
    harness.reports[order.server_id] = holdings(
        *held, count=order.expected_count + 1, on_disk=known.on_disk
    )
    return orders(harness.advance_time(1.3))


def carry_out_orders(harness: PlacementHarness, ticks: int) -> list[ServerOrder]:
    """Let servers carry out all orders of some ticks at once; return the orders."""
    sent_orders: list[ServerOrder] = []
    for _ in range(ticks):
        found = orders(harness.advance_time(0.25))
        while found:
            sent_orders += found
            found = [
                next_order
                for order in found
                for next_order in finish_order(harness, order)
            ]
    return sent_orders


def test_room_of_one_plan_is_not_used_for_another() -> None:
    """Guards against an eviction whose cost was not considered by any plan.

    Two loads were planned in the place of the same idle model, and the second one then
    evicted the model with the most demand of the site.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(*ALL_MODELS, weights_mb=145_000.0)))
    harness.add_server("s1", "m0", "m1", on_disk=ALL_MODELS)
    harness.add_server("s2", "m4", "m5", on_disk=ALL_MODELS)
    harness.begin_term()
    demand = {"m0": 15_000.0, "m1": 100.0, "m4": 15_000.0, "m5": 5_000.0}
    harness.send(DemandReport("writers", demand))
    sent_orders: list[ServerOrder] = []
    for _ in range(8):
        found = orders(harness.request("m2") + harness.request("m3"))
        while found:
            sent_orders += found
            found = [
                next_order
                for order in found
                for next_order in finish_order(harness, order)
            ]
    loaded = [order.model for order in sent_orders if order.kind is OrderKind.LOAD]
    unloaded = [order.model for order in sent_orders if order.kind is OrderKind.UNLOAD]
    assert sorted(loaded) == ["m2", "m3"]
    assert sorted(unloaded) == ["m1", "m5"]


def test_estimate_includes_long_requests_of_the_evicted_model() -> None:
    """Guards against estimates that leave out requests of the evicted model.

    A model was expected in 1.5 s and came after 6.1 s, because streams of the model to
    be evicted were still running.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(*ALL_MODELS, weights_mb=75_000.0)))
    harness.add_server("s1", "m0", on_disk=ALL_MODELS)
    harness.begin_term()
    runs = {"s1": {"m0": 5.0, "m0/a1": 0.2}}
    harness.send(DemandReport("writers", {"m0": 100}, runs))
    expected = [one for one in harness.request("m1") if isinstance(one, ModelExpected)]
    disk_load_s = engine().model_by_name["m1"].disk_load_s
    assert 5.0 + disk_load_s <= expected[0].in_s <= 6.0 + disk_load_s


def test_load_goes_where_no_long_request_delays_the_eviction() -> None:
    """Guards against a server that carries out no order while long streams end.

    The two servers differ only in the running requests of the model to be evicted.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(*ALL_MODELS, weights_mb=75_000.0)))
    harness.add_server("s1", "m0", on_disk=ALL_MODELS)
    harness.add_server("s2", "m4", on_disk=ALL_MODELS)
    harness.begin_term()
    runs = {"s1": {"m0": 6.0}, "s2": {"m4": 0.3}}
    harness.send(DemandReport("writers", {"m0": 100, "m4": 100}, runs))
    assert [order.server_id for order in orders(harness.request("m1"))] == ["s2"]


def test_short_loads_go_before_long_ones() -> None:
    """Guards against loads from disk that wait behind one from the weight store.

    Requests for models with a copy on a server's disk got an estimate of twelve
    seconds, because loads from the store had been planned there before.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(*ALL_MODELS, weights_mb=75_000.0)))
    harness.add_server("s1", "m0", on_disk=frozenset({"m0", "m1", "m2"}))
    harness.begin_term()
    unload = orders(harness.request("m1"))[0]
    harness.request("m3")
    expected = [one for one in harness.request("m2") if isinstance(one, ModelExpected)]
    assert expected[0].in_s < 5.0
    loaded: list[str] = []
    found = [unload]
    for _ in range(20):
        while found:
            loaded += [one.model for one in found if one.kind is OrderKind.LOAD]
            found = [
                next_order
                for order in found
                for next_order in finish_order(harness, order)
            ]
        for model in {"m1", "m2", "m3"} - set(loaded):
            harness.request(model)
        found = orders(harness.advance_time(0.25))
    assert list(dict.fromkeys(loaded)) == ["m1", "m2", "m3"]


def test_plan_for_a_refused_request_is_kept_until_the_estimated_time() -> None:
    """Guards against a model that is refused repeatedly and never loaded.

    Requests were refused with a retry time of ten seconds, but their plan was dropped
    after three and the next request started over. The weight store ran one or two loads
    of four.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(*ALL_MODELS)))
    harness.add_server("s1", "m0", on_disk=frozenset({"m0"}))
    harness.begin_term()
    first = orders(harness.request("m1"))[0]
    harness.end(first, OrderResult.ACCEPTED)
    expected = [one for one in harness.request("m2") if isinstance(one, ModelExpected)]
    assert expected[0].in_s > 10.0
    harness.reports["s1"] = holdings("m0", count=1, busy=True)
    harness.advance_time(6.0)
    found = orders(harness.finish_load(first, 0.5))
    assert [order.model for order in found] == ["m2"]


def test_nothing_is_unloaded_for_a_load_that_the_store_cannot_serve() -> None:
    """Guards against models that are unloaded long before their place is needed.

    The weight store serves three loads at full speed, and three are in flight.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(*ALL_MODELS, weights_mb=75_000.0)))
    for number in range(1, 4):
        harness.add_server(f"s{number}", on_disk=frozenset())
    harness.add_server("s4", "m0", on_disk=frozenset({"m0"}))
    harness.begin_term()
    harness.send(DemandReport("writers", {"m0": 100}))
    sent_orders: list[ServerOrder] = []
    for model in ("m1", "m2", "m3"):
        for order in orders(harness.request(model) + harness.advance_time(0.7)):
            sent_orders.append(order)
            harness.end(order, OrderResult.ACCEPTED)
            held = holdings(count=1, busy=True, on_disk=frozenset())
            harness.reports[order.server_id] = held
    for _ in range(8):
        sent_orders += orders(harness.request("m5") + harness.advance_time(0.25))
    assert {order.kind for order in sent_orders} == {OrderKind.LOAD}


def test_model_without_a_copy_is_preloaded() -> None:
    """Guards against models that are never served after their only server is lost.

    Such a model was loaded only when requested, and that request was refused, while the
    weight store had free slots. A model that needed a replica but could not get one hid
    them, too.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(*ALL_MODELS, weights_mb=145_000.0)))
    copies = ALL_MODELS - {"m5"}
    harness.add_server("s1", "m0", "m1", on_disk=copies)
    harness.add_server("s2", "m0", "m2", on_disk=copies)
    harness.begin_term()
    harness.send(DemandReport("writers", {"m0": 3_000_000, "m1": 3_000, "m2": 3_000}))
    sent_orders = carry_out_orders(harness, ticks=8)
    assert "m5" in {
        order.model for order in sent_orders if order.kind is OrderKind.LOAD
    }
    assert "m0" not in {order.model for order in sent_orders}


@pytest.mark.parametrize("replica_scaling", [True, False])
def test_model_that_cannot_get_a_replica_does_not_block_the_others(
    replica_scaling: bool,
) -> None:
    """Guards against busy models with copies that stay on a single server.

    For 20 s the busiest model, whose only copy was on its own server, was the only
    candidate, while six others with 20,000 tokens per second had copies elsewhere.
    """
    harness = PlacementHarness(replica_scaling=replica_scaling)
    harness.send(desired_state(engine_spec=engine(*ALL_MODELS, weights_mb=145_000.0)))
    harness.add_server("s1", "m0", "m1", on_disk=frozenset({"m0", "m1"}))
    for number in range(2, 5):
        harness.add_server(f"s{number}", "m2", "m3", on_disk=ALL_MODELS - {"m0"})
    harness.begin_term()
    harness.send(DemandReport("writers", {"m0": 1_600_000, "m1": 400_000}))
    found = carry_out_orders(harness, ticks=8)
    loaded = {order.model for order in found if order.kind is OrderKind.LOAD}
    assert ("m1" in loaded) == replica_scaling


def test_room_made_for_one_model_is_not_given_to_another() -> None:
    """Guards against an evicted model that is planned in its own place again.

    A replica was evicted for a waiting request, planned again on the same server during
    its unload, and put ahead of the requested model, four times.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(*ALL_MODELS, weights_mb=75_000.0)))
    harness.add_server("s1", "m0", on_disk=ALL_MODELS)
    harness.begin_term()
    unload = orders(harness.request("m1"))[0]
    assert unload.model == "m0"
    harness.end(unload, OrderResult.ACCEPTED)
    harness.send(DemandReport("writers", {"m0": 900_000}))
    harness.request("m0")
    harness.reports["s1"] = holdings(count=1, on_disk=ALL_MODELS)
    assert [order.model for order in orders(harness.advance_time(0.4))] == ["m1"]


def test_removed_model_is_not_planned_again() -> None:
    """Guards against a leader that fails on a plan for a removed model."""
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine("m0", "m1", "m2")))
    harness.add_server("s1", "m0", on_disk=ALL_MODELS)
    harness.begin_term()
    first = orders(harness.request("m1"))[0]
    harness.end(first, OrderResult.ACCEPTED)
    harness.request("m2")
    harness.send(desired_state(version=2, engine_spec=engine("m0", "m1")))
    assert orders(harness.finish_load(first, 1.3)) == []


def test_model_with_the_most_demand_is_loaded_first() -> None:
    """Guards against the most requested model waiting for a load that few need.

    On both grown sites the weight store carries one load in four seconds. Its slots
    went to whichever server was checked first, and a model with 379 requests was never
    loaded.
    """
    names = tuple(f"m{number}" for number in range(8))
    harness = PlacementHarness()
    spec = engine(*names, weights_mb=75_000.0, store_loads_per_s=30.0)
    harness.send(desired_state(engine_spec=spec))
    # The leader checks servers in the order in which it has seen them.
    for server_id in ("s1", "s2", "s3", "s5", "s4"):
        harness.add_server(server_id, on_disk=frozenset())
    harness.begin_term()
    harness.send(DemandReport("writers", {"m0": 100, "m7": 200_000}))
    running: list[ServerOrder] = []
    for model in ("m1", "m2", "m3"):
        for order in orders(harness.request(model) + harness.advance_time(0.3)):
            running.append(order)
            harness.end(order, OrderResult.ACCEPTED)
            held = holdings(count=1, busy=True, on_disk=frozenset())
            harness.reports[order.server_id] = held
    assert [order.model for order in running] == ["m1", "m2", "m3"]
    assert orders(harness.request("m7") + harness.request("m5")) == []
    # The end of the first load frees one slot.
    harness.now += 5.1
    harness.request("m5")
    harness.request("m7")
    found = orders(harness.finish_load(running[0], 0.1))
    for _ in range(8):
        found += orders(harness.advance_time(0.25))
    assert [order.model for order in found] == ["m7"]


def test_plan_is_void_once_its_eviction_candidate_has_demand() -> None:
    """Guards against plans that are based on the demand of seconds ago.

    A replica planned in the place of an idle model evicted it three times in eight
    seconds, when it had become the model with the most demand.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(*ALL_MODELS, weights_mb=145_000.0)))
    harness.add_server("s1", "m0", "m2", on_disk=ALL_MODELS, busy=True)
    harness.begin_term()
    harness.send(DemandReport("writers", {"m2": 3_000}))
    harness.request("m1")
    harness.send(DemandReport("writers", {"m0": 30_000}))
    harness.reports["s1"] = holdings("m0", "m2", count=0, on_disk=ALL_MODELS)
    sent_orders: list[ServerOrder] = []
    for _ in range(10):
        sent_orders += orders(harness.advance_time(0.3) + harness.request("m1"))
    assert "m0" not in {order.model for order in sent_orders}
    assert {order.model for order in sent_orders} <= {"m2"}


@pytest.mark.parametrize(
    ("request_tokens", "is_evicted"), [(600, False), (9_000, True)]
)
def test_waiting_request_weighs_as_much_as_the_others(
    request_tokens: int, is_evicted: bool
) -> None:
    """Guards against rare requests that evict models with many short requests.

    A waiting request counted as 800 tokens per second, whatever the size of requests.
    In a traced day of tsagaan-spool, with requests of some 600 tokens, a model with
    two requests per second lost its only replica to one with a single request.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(*ALL_MODELS, weights_mb=75_000.0)))
    harness.add_server("s1", "m0", on_disk=ALL_MODELS)
    harness.add_server("s2", "m4", on_disk=frozenset({"m4"}))
    harness.begin_term()
    # Requests of m0 make up 1,300 tokens per second in both cases.
    count = 15_000 / request_tokens
    tokens = {"m0": count * request_tokens, "m4": 3 * count * request_tokens}
    requesters = {"m0": count, "m4": 3 * count}
    harness.send(DemandReport("writers", tokens, requesters_by_model=requesters))
    found = orders(harness.request("m1"))
    assert [order.model for order in found if order.server_id == "s1"] == (
        ["m0"] if is_evicted else []
    )


def test_plan_moves_to_a_server_that_has_returned_with_a_copy() -> None:
    """Guards against a load of seconds for a model that a disk has again.

    A model with 65 unserved requests was loaded from the weight store 0.5 s after the
    return of the zone whose servers have it on disk.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(*ALL_MODELS, weights_mb=75_000.0)))
    harness.add_server("s1", on_disk=frozenset())
    harness.add_server("s2", zone="b", on_disk=frozenset({"m5"}))
    harness.add_server("s3", on_disk=frozenset())
    harness.begin_term()
    harness.send(ZoneEvacuated("b", True))
    harness.decision._site.store_loads("writers").inherit_limit(1, harness.now)
    first = orders(harness.request("m4", reach_s=(30.0,)))[0]
    harness.end(first, OrderResult.ACCEPTED)
    assert not orders(
        harness.request("m5", reach_s=(30.0,)) + harness.advance_time(0.25)
    )
    harness.send(ZoneEvacuated("b", False))
    found = orders(harness.advance_time(0.25))
    assert [(order.model, order.server_id) for order in found] == [("m5", "s2")]


def test_plan_that_an_earlier_move_removed_is_not_moved() -> None:
    """Guards against a leader that fails as it removes a plan that is gone.

    When a server takes over a plan, its next step drops the plans that are no longer
    requested.
    """
    spec = engine(*ALL_MODELS, weights_mb=75_000.0)
    on_disk = [frozenset[str](), frozenset[str](), frozenset({"m4", "m5"})]
    servers = [
        ManagedServer(
            record=server(f"s{number}"), holdings=holdings(count=0, on_disk=found)
        )
        for number, found in enumerate(on_disk)
    ]
    for one, model in zip(servers, ("m4", "m5"), strict=False):
        one.plans.append(PlacementPlan(model, "", {"g2": 1}, 100.0))
    fleet = ServiceFleet(spec, servers, TokenDemand(), staying=servers)
    moves = plan_moves(fleet, 100.0)
    first = next(moves)
    assert (first.plan.model, first.choice.server.record.server_id) == ("m4", "s2")
    servers[1].plans.append(PlacementPlan("m3", "", {"g2": 1}, 100.0))
    servers[1].plans.popleft()
    assert list(moves) == []
