"""Orders to model servers: one at a time, within memory and the rate bound of loads."""

from __future__ import annotations

from siskinspool.gateway.messages import (
    DemandReport,
    LeadershipExtended,
    LeadershipFenced,
    LeadershipHeld,
    LeadershipLost,
    ModelExpected,
    ModelReady,
    OrderEnded,
    OrderKind,
    OrderResult,
    PlacementRequest,
    ReadHoldings,
    ServerOrder,
)
from siskinspool.gateway.servers import ServerState, ZoneEvacuated

from .builders_gateway import (
    LOAD_BOUNDS,
    desired_state,
    engine,
    holdings,
    incoming,
    messages,
    server,
)
from .builders_placement_harness import PlacementHarness, orders, ready_harness


def test_servers_seen_before_the_desired_state_are_used() -> None:
    """Guards against a restarted leader that loses most servers.

    A new process read the registry before the desired state, and then gave orders to
    two of five servers only.
    """
    harness = PlacementHarness()
    harness.add_server("s1", "m0", on_disk=frozenset({"m1"}))
    harness.send(desired_state())
    harness.begin_term()
    assert [order.server_id for order in orders(harness.request("m1"))] == ["s1"]


def test_requested_model_is_loaded_and_announced() -> None:
    """Guards against a request that waits for a model that is ready."""
    harness = ready_harness()
    found = harness.request("m1")
    order = orders(found)[0]
    assert (order.kind, order.model, order.expected_count) == (OrderKind.LOAD, "m1", 0)
    assert any(isinstance(one, ModelExpected) for one in found)
    assert orders(harness.end(order, OrderResult.ACCEPTED)) == []
    assert harness.advance_time(0.5) == []
    assert ModelReady("m1", "", "s1") in harness.finish_load(order, 1.0)


def test_one_order_at_a_time_for_a_server() -> None:
    """Guards against a second order while the first may still be accepted."""
    harness = ready_harness()
    assert len(orders(harness.request("m1"))) == 1
    assert orders(harness.request("m2")) == []


def test_memory_is_made_free_before_a_load() -> None:
    """Guards against a server that is ordered to load more than fits."""
    harness = PlacementHarness()
    harness.send(desired_state())
    copies = frozenset({"m0", "m1", "m2", "m3"})
    harness.add_server("s1", "m0", "m1", "m2", on_disk=copies)
    harness.begin_term()
    harness.send(DemandReport("writers", {"m0": 9_000, "m1": 9_000}))
    unload = orders(harness.request("m3"))[0]
    assert (unload.kind, unload.model) == (OrderKind.UNLOAD, "m2")
    harness.end(unload, OrderResult.ACCEPTED)
    harness.reports["s1"] = holdings("m0", "m1", count=1, on_disk=copies)
    load = orders(harness.advance_time(0.3))[0]
    assert (load.kind, load.model, load.expected_count) == (OrderKind.LOAD, "m3", 1)


def test_lost_answer_is_resolved_by_the_report() -> None:
    """Guards against a second order after one that is carried out late."""
    harness = ready_harness()
    order = orders(harness.request("m1"))[0]
    assert orders(harness.end(order, OrderResult.UNKNOWN)) == []
    # The order was accepted after all.
    harness.reports["s1"] = holdings("m0", "m1", count=1)
    assert orders(harness.advance_time(0.5)) == []
    assert harness.request("m1") == [ModelReady("m1", "", "s1")]


def test_old_report_changes_nothing() -> None:
    """Guards against a report that predates the last order, as reports lag."""
    harness = PlacementHarness()
    harness.send(desired_state())
    harness.add_server("s1", "m0", on_disk=frozenset({"m0"}))
    harness.begin_term()
    order = orders(harness.request("m1"))[0]
    harness.end(order, OrderResult.ACCEPTED)
    # The report still shows the server before the order.
    for _ in range(26):
        harness.request("m1")
        assert ModelReady("m1", "", "s1") not in harness.advance_time(0.25)
    assert ModelReady("m1", "", "s1") in harness.finish_load(order, 0.3)


def test_load_of_a_known_duration_is_not_read() -> None:
    """Guards against requests that wait for the lag of a report."""
    harness = ready_harness()
    order = orders(harness.request("m1"))[0]
    harness.end(order, OrderResult.ACCEPTED)
    assert ModelReady("m1", "", "s1") in harness.advance_time(1.25)


def test_silent_server_is_set_aside() -> None:
    """Guards against repeated orders to a server that was removed."""
    harness = ready_harness()
    harness.add_server("s2", on_disk=frozenset())
    order = orders(harness.request("m1"))[0]
    assert order.server_id == "s1"
    harness.end(order, OrderResult.NOT_SENT)
    assert {one.server_id for one in orders(harness.request("m1"))} == {"s2"}


def test_fenced_order_ends_the_term() -> None:
    """Guards against a replaced leader that continues to give orders."""
    harness = ready_harness()
    order = orders(harness.request("m1"))[0]
    found = harness.end(order, OrderResult.FENCED)
    assert LeadershipFenced(7) in found
    harness.send(LeadershipLost())
    assert harness.request("m2") == []


def test_no_orders_before_or_after_the_term() -> None:
    """Guards against alternating orders of two holders."""
    harness = PlacementHarness()
    harness.send(desired_state())
    harness.add_server("s1", "m0")
    assert harness.request("m1") == []
    harness.send(LeadershipHeld(7, harness.now + 3.0))
    harness.send(LeadershipExtended(harness.now + 10.0))
    assert harness.request("m1") == []
    harness.now += 3.1
    assert orders(harness.request("m1"))
    harness.now += 7.0
    assert harness.advance_time(0.1) == []


def test_loads_from_the_store_keep_to_the_bound() -> None:
    """Guards against more loads than the weight store allows, over two leaders.

    The loads are short, so only the bound on their rate limits them.
    """
    names = tuple(f"m{number}" for number in range(60))
    spec = engine(*names, weights_mb=6e6, store_loads_per_s=1.6, store_load_s=0.1)
    started: list[float] = []
    for first_start in (True, False):
        harness = PlacementHarness(first_start)
        harness.send(desired_state(engine_spec=spec))
        for number in range(20):
            harness.add_server(f"s{number}", on_disk=frozenset())
        harness.begin_term()
        for _ in range(30):
            found = harness.advance_time(0.25)
            for name in names:
                for gateway in ("g2", "g3", "g4"):
                    found += harness.request(name, gateway=gateway)
            for order in orders(found):
                started.append(harness.now if first_start else harness.now + 7.5)
                harness.end(order, OrderResult.ACCEPTED)
                harness.finish_load(order, 0.0)
    allowed = 1.6 * LOAD_BOUNDS.window_s * LOAD_BOUNDS.overage + 3
    assert len(started) > 10
    for end in started:
        window = [at for at in started if end - LOAD_BOUNDS.window_s < at <= end]
        assert len(window) <= allowed


def test_adapter_takes_the_slot_of_the_oldest() -> None:
    """Guards against more adapters than a server has slots."""
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(adapter_slots=2)))
    harness.add_server("s1", "m0/a1", "m0/a2")
    harness.begin_term()
    harness.send(DemandReport("writers", {"m0/a1": 100}))
    unload = orders(harness.request("m0", "a3"))[0]
    assert (unload.kind, unload.adapter) == (OrderKind.UNLOAD, "a2")
    load = orders(harness.end(unload, OrderResult.HOLDS))[0]
    assert (load.kind, load.adapter, load.expected_count) == (OrderKind.LOAD, "a3", 1)
    harness.end(load, OrderResult.ACCEPTED)
    assert ModelReady("m0", "a3", "s1") in harness.advance_time(0.05)


def test_adapters_go_before_models() -> None:
    """Guards against an adapter that waits behind loads of seconds."""
    harness = ready_harness()
    first = orders(harness.request("m1"))[0]
    harness.end(first, OrderResult.ACCEPTED)
    harness.request("m2")
    harness.request("m0", "a1")
    found = orders(harness.finish_load(first, 1.3))
    assert [(order.model, order.adapter) for order in found] == [("m0", "a1")]


def test_plan_without_waiting_requests_is_dropped() -> None:
    """Guards against loads for requests that were refused long ago."""
    harness = ready_harness()
    first = orders(harness.request("m1"))[0]
    harness.end(first, OrderResult.ACCEPTED)
    harness.request("m2")
    found = orders(harness.finish_load(first, 5.0))
    assert [order.model for order in found] == []


def test_no_loads_in_an_evacuated_zone() -> None:
    """Guards against loads on servers that receive no requests."""
    harness = ready_harness()
    harness.send(ZoneEvacuated("a", True))
    assert orders(harness.request("m1")) == []


def test_draining_server_gets_no_order() -> None:
    """Guards against loads on a server that is leaving."""
    harness = ready_harness()
    harness.send(server("s1", "m0", state=ServerState.DRAINING))
    assert orders(harness.request("m1")) == []


def test_model_with_much_demand_gets_a_second_server() -> None:
    """Guards against a busy model that is lost when its only server fails."""
    harness = ready_harness()
    harness.add_server("s2", "m1", zone="b", on_disk=frozenset({"m0", "m1"}))
    harness.send(DemandReport("writers", {"m0": 50_000}))
    # The first tick reads the report of the new server.
    found = orders(harness.advance_time(0.3) + harness.advance_time(0.3))
    assert [(one.server_id, one.model) for one in found] == [("s2", "m0")]


def test_model_whose_demand_jumps_gets_all_its_replicas_at_once() -> None:
    """Guards against replicas that are loaded one at a time, after all requests.

    One server received 310 requests for a model with a demand of 60,000 tokens per
    second, and its first replica waited eight seconds for a slot.
    """
    harness = ready_harness()
    for number in range(2, 8):
        harness.add_server(
            f"s{number}", f"m{number % 3 + 1}", on_disk=frozenset({"m0"})
        )
    harness.advance_time(0.3)
    harness.send(DemandReport("writers", {"m0": 1_600_000}))
    found = orders([one for _ in range(6) for one in harness.advance_time(0.3)])
    loads = {one.server_id for one in found if one.model == "m0"}
    assert len(loads) >= 3


def test_model_stays_until_its_requests_have_come() -> None:
    """Guards against a model that is unloaded before its first request.

    The next plan of a server evicted the model that had just been loaded, and the
    requests for it were rejected.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(weights_mb=75_000.0)))
    harness.add_server("s1", "m0", on_disk=frozenset({"m0", "m1", "m2"}))
    harness.begin_term()
    unload = orders(harness.request("m1"))[0]
    harness.end(unload, OrderResult.ACCEPTED)
    harness.reports["s1"] = holdings(count=1, on_disk=frozenset({"m0", "m1", "m2"}))
    load = orders(harness.advance_time(0.3))[0]
    harness.end(load, OrderResult.ACCEPTED)
    harness.reports["s1"] = holdings("m1", count=2, on_disk=frozenset({"m1", "m2"}))
    harness.advance_time(1.3)
    harness.request("m2")
    assert orders(harness.advance_time(0.4)) == []
    harness.request("m2")
    assert [order.model for order in orders(harness.advance_time(0.8))] == ["m1"]


def test_model_that_is_being_unloaded_is_not_announced() -> None:
    """Guards against requests sent to a model that is being unloaded.

    Reports name such a model for seconds. The leader announced it as ready, and 61
    requests were rejected.
    """
    disk = frozenset({"m0", "m1"})
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(weights_mb=75_000.0)))
    harness.add_server("s1", "m0", on_disk=disk)
    harness.begin_term()
    unload = orders(harness.request("m1"))[0]
    harness.end(unload, OrderResult.ACCEPTED)
    harness.reports["s1"] = holdings("m0", count=1, busy=True, on_disk=disk)
    harness.advance_time(0.3)
    found = harness.request("m0")
    assert not any(isinstance(one, ModelReady) for one in found)


def test_order_of_an_earlier_leader_may_take_as_long_as_any() -> None:
    """Guards against requests that wait for a server that stays busy too long.

    For five seconds, a new leader estimated one second for a model, although the server
    was busy with a load from the weight store that its predecessor had ordered.
    """
    harness = PlacementHarness()
    harness.send(desired_state())
    harness.add_server("s1", "m0", on_disk=frozenset({"m0", "m1"}), busy=True)
    harness.begin_term()
    found = harness.request("m1")
    expected = [one for one in found if isinstance(one, ModelExpected)]
    assert expected[0].in_s > engine().model_by_name["m0"].store_load_s


def test_spare_replica_does_not_take_the_store_from_requested_models() -> None:
    """Guards against requests that wait behind loads without waiting requests.

    Ten of 29 loads from the store were replicas of models with little demand, while 104
    requests waited for a load from the store and were never served.
    """
    harness = PlacementHarness()
    harness.send(desired_state())
    harness.add_server("s1", "m0", on_disk=frozenset({"m0"}))
    for number in range(2, 6):
        harness.add_server(f"s{number}", on_disk=frozenset())
    harness.begin_term()
    for model in ("m1", "m2", "m3"):
        for order in orders(harness.request(model) + harness.advance_time(1.0)):
            harness.end(order, OrderResult.ACCEPTED)
    harness.send(DemandReport("writers", {"m0": 60_000}))
    harness.advance_time(0.3)
    servers = harness.decision.status(harness.now)["servers"]
    assert isinstance(servers, dict)
    plans = [plan for status in servers.values() for plan in status["goals"]]
    assert "m0/" not in plans


def test_loading_model_takes_up_memory_before_reports_list_it() -> None:
    """Guards against orders for more models than fit on a server.

    A report read during a load from disk does not list the model that loads. The load
    then counted as done without it, and the next one crashed the server. This was seen
    on both sites.
    """
    disk = frozenset({"m0", "m1", "m2"})
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(weights_mb=75_000.0)))
    harness.add_server("s1", on_disk=disk)
    harness.begin_term()
    load = orders(harness.request("m0"))[0]
    harness.end(load, OrderResult.ACCEPTED)
    harness.reports["s1"] = holdings(count=1, busy=True, on_disk=disk)
    harness.now += 0.6
    harness.send(PlacementRequest("writers", "m0", "", "", 1, ("s1",)))
    found: list[ServerOrder] = []
    for _ in range(10):
        found += orders(harness.request("m1") + harness.advance_time(0.3))
    assert [(one.kind, one.model) for one in found] == [(OrderKind.UNLOAD, "m0")]


def test_report_is_not_read_before_it_can_show_the_last_orders() -> None:
    """Guards against adapters that a report read too early does not list yet.

    They take up slots, and only the count of adapters keeps the next order within the
    limit.
    """
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(adapter_slots=1)))
    harness.add_server("s1", "m0/a1", on_disk=frozenset({"m0"}))
    harness.begin_term()
    harness.advance_time(0.3)
    unload = orders(harness.request("m0", "a2"))[0]
    assert unload.kind is OrderKind.UNLOAD
    found = messages(
        harness.decision.handle(
            incoming(OrderEnded(unload, OrderResult.ACCEPTED)), harness.now
        )
    )
    assert not any(isinstance(one, ReadHoldings) for one in found)
    harness.now += 0.35
    found = messages(harness.decision.on_time(harness.now))
    assert any(isinstance(one, ReadHoldings) for one in found)


def test_load_of_an_earlier_leader_takes_its_memory_once_it_is_done() -> None:
    """Guards against orders for more models than fit on a server.

    A leader in its second term mistook a load of the leader in between for its own
    earlier load. The first report in which the server was no longer busy did not list
    the model yet, and the next load crashed the server (seen with seed 9003).
    """
    disk = frozenset({"m0", "m1", "m2", "m3"})
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(weights_mb=145_000.0)))
    harness.add_server("s1", on_disk=disk)
    harness.begin_term()
    own = orders(harness.request("m0"))[0]
    harness.end(own, OrderResult.ACCEPTED)
    harness.send(LeadershipLost())
    harness.reports["s1"] = holdings("m0", count=2, busy=True, on_disk=disk)
    harness.now += 10.0
    harness.begin_term(epoch=9)
    harness.request("m2")
    harness.reports["s1"] = holdings("m0", count=2, on_disk=disk)
    sent_orders: list[ServerOrder] = []
    for step in range(8):
        sent_orders += orders(harness.advance_time(0.15) + harness.request("m2"))
        if step == 0:
            harness.reports["s1"] = holdings("m0", "m1", count=2, on_disk=disk)
    assert [order.kind for order in sent_orders] == [OrderKind.UNLOAD]
