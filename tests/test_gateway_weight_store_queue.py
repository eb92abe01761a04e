"""The order of models in the weight-store queue, when too many wait at a time."""

from __future__ import annotations

from siskinspool.gateway.demand import RequesterCounts, TokenDemand
from siskinspool.gateway.demand_reporter import DemandReporter
from siskinspool.gateway.fleet_copies import FleetCopies
from siskinspool.gateway.managed_server import ManagedServer
from siskinspool.gateway.messages import (
    DemandReport,
    ModelExpected,
    OrderKind,
    ServerOrder,
)
from siskinspool.gateway.placement_plan import PlacementPlan
from siskinspool.gateway.shortage import Shortages
from siskinspool.gateway.store_limit import INITIAL_LIMIT, StoreLoads
from siskinspool.gateway.weight_store_queue import WeightStoreQueue

from .builders_gateway import assign, desired_state, engine, holdings, server
from .builders_placement_harness import (
    FIRST_STORE_MODELS,
    PlacementHarness,
    accept_orders,
    harness_with_full_store,
    orders,
)


def planned_targets(harness: PlacementHarness) -> set[str]:
    """Return the models and adapters that the leader plans to load."""
    servers = harness.decision.status(harness.now)["servers"]
    assert isinstance(servers, dict)
    return {target for server in servers.values() for target in server["goals"]}


def next_load(
    harness: PlacementHarness, running: list[ServerOrder], after_s: float = 6.1
) -> str:
    """End the oldest load and return the model that gets the free slot."""
    found = orders(harness.finish_load(running[0], after_s))
    for _ in range(12):
        for order in found:
            if order.kind is OrderKind.LOAD:
                return order.model
        found = orders(harness.advance_time(0.1))
    return ""


def test_model_without_a_server_goes_before_a_replica() -> None:
    """Guards against models that are never served while replicas are loaded.

    Five of nine loads from the store were replicas of busy models, while 28 models
    without a copy were refused all day.
    """
    harness, running = harness_with_full_store()
    harness.send(DemandReport("writers", {"m0": 6_000_000}))
    harness.advance_time(0.25)
    harness.request("m5", reach_s=(11.0,))
    assert next_load(harness, running) == "m5"


def test_slot_goes_to_a_model_with_present_requesters() -> None:
    """Guards against loads that end when the model is no longer requested.

    After seven of nine loads no request for the model came.
    """
    harness, running = harness_with_full_store()
    harness.send(DemandReport("writers", {"m5": 200_000}))
    harness.request("m5", reach_s=(5.0,) * 2)
    harness.request("m6", reach_s=(30.0,) * 2)
    assert next_load(harness, running) == "m6"


def test_model_with_most_unserved_requests_goes_first() -> None:
    """Guards against an order in which a model never gets a slot.

    A model was requested sixteen times from 6 to 30 s and never loaded, as other models
    had more tokens in each eight seconds.
    """
    harness, running = harness_with_full_store()
    for _ in range(4):
        harness.request("m5", reach_s=(30.0,))
        harness.advance_time(0.05)
    harness.send(DemandReport("writers", {"m6": 60_000}))
    harness.request("m6", reach_s=(30.0,))
    assert next_load(harness, running) == "m5"


def test_constantly_requested_model_keeps_its_rank() -> None:
    """Guards against a busy model that is passed over between two patient requests.

    A model without a server had 81 requests that were not served, most of them for five
    seconds, and two models with one and six requests were loaded before it.
    """
    harness, running = harness_with_full_store()
    harness.now += 5.0
    for _ in range(8):
        harness.request("m5", reach_s=(5.0,))
        harness.advance_time(0.1)
    harness.request("m6", reach_s=(30.0,))
    assert next_load(harness, running, after_s=0.3) == "m5"


def test_slot_goes_to_the_model_with_most_servable_requesters() -> None:
    """Guards against an order in which requesters that have left count as present.

    Three of eight slots of the store served nobody. One went to a model with 13
    requesters that had all left.
    """
    harness, running = harness_with_full_store()
    harness.request("m5", reach_s=(5.0, 5.0, 5.0, 30.0))
    harness.request("m6", reach_s=(5.0, 30.0, 30.0, 30.0))
    assert next_load(harness, running) == "m6"


def test_model_with_most_requesters_so_far_gets_a_slot() -> None:
    """Guards against a random order among models with one requester each.

    Sixteen of the eighteen models that were never served had four to eight requesters
    and were planned, but models with fewer went before them.
    """
    harness, running = harness_with_full_store()
    for _ in range(4):
        harness.request("m5", reach_s=(4.0,))
        harness.now += 1.0
    harness.request("m6", reach_s=(30.0,))
    assert next_load(harness, running, after_s=2.2) == "m5"


def test_requesters_of_a_model_count_after_a_change_of_the_leader() -> None:
    """Guards against a new leader that loses the history of requests."""
    first = DemandReporter()
    calls = [assign(f"r{number}", model="m5") for number in range(3)]
    for call in calls:
        first.count_requester(call, 90.0)
    first.pop_reports((), 91.0)
    first.restart_reports(100.0)
    harness, running = harness_with_full_store()
    for report in first.pop_reports((), 100.0):
        harness.send(report)
    harness.request("m5")
    harness.request("m6", reach_s=(4.0,))
    assert next_load(harness, running) == "m5"


def test_longest_shortage_goes_first_among_equals() -> None:
    """Guards against a model that is passed over for later ones with more tokens.

    A model was requested twelve times from 0.3 to 33.9 s and never loaded.
    """
    harness, running = harness_with_full_store()
    harness.request("m5", reach_s=(30.0,))
    harness.advance_time(0.5)
    harness.send(DemandReport("writers", {"m6": 60_000}))
    harness.request("m6", reach_s=(30.0,))
    assert next_load(harness, running) == "m5"


def test_requesters_that_cannot_wait_for_a_load_do_not_count() -> None:
    """Guards against counting requesters as served that cannot wait for the end.

    Among models with as many requesters so far, those that can wait decide.
    """
    harness, running = harness_with_full_store()
    harness.now += 5.0
    for _ in range(4):
        harness.request("m5", reach_s=(1.0,))
        harness.advance_time(0.1)
    harness.request("m6", reach_s=(30.0,) * 4)
    assert next_load(harness, running, after_s=0.7) == "m6"


def test_requester_that_leaves_as_the_load_ends_does_not_count() -> None:
    """Guards against a load that ends too late for its only requester.

    A load for one requester ended 21 ms before its time was over, and the request was
    sent 19 ms before.
    """
    harness, running = harness_with_full_store()
    # A load takes six seconds and starts 6.4 s from now.
    harness.request("m5", reach_s=(12.9,))
    harness.advance_time(0.5)
    harness.request("m6", reach_s=(13.4,))
    assert next_load(harness, running, after_s=5.6) == "m6"


def test_slot_goes_to_a_model_whose_server_is_busy() -> None:
    """Guards against a plan that waits behind others while the store has a free slot.

    A model with 95 requests waited for twelve seconds, as its plan was for a server
    that was loading other models.
    """
    harness, running = harness_with_full_store(spare_servers=0, loads=INITIAL_LIMIT - 1)
    harness.send(
        DemandReport("writers", dict.fromkeys(("m0", *FIRST_STORE_MODELS), 400_000))
    )
    harness.add_server("s8", on_disk=frozenset(), busy=True)
    harness.request("m5", reach_s=(30.0,) * 5)
    harness.add_server("s9", on_disk=frozenset())
    harness.request("m6", reach_s=(30.0,))
    assert next_load(harness, running) == "m5"


def test_slot_is_kept_for_requesters_whose_server_is_briefly_busy() -> None:
    """Guards against a load for nobody because its server happens to be idle.

    A model last requested at 20.7 s was loaded from 27.6 s on, while requesters of
    eleven others were present.
    """
    busy, idle = (
        ManagedServer(record=server(name), holdings=holdings(on_disk=frozenset()))
        for name in ("s1", "s2")
    )
    busy.busy_until = 101.0
    with_requester, without = PlacementPlan("m5", ""), PlacementPlan("m6", "")
    busy.plans.append(with_requester)
    idle.plans.append(without)
    shortages = Shortages()
    shortages.update("m5", ("g2", ""), (30.0,), 1, 100.0)
    shortages.update("m6", ("g2", ""), (5.0,) * 6, 6, 80.0)
    spec = engine("m5", "m6")
    queue = WeightStoreQueue(
        spec,
        [busy, idle],
        TokenDemand(),
        StoreLoads(),
        shortages,
        RequesterCounts(),
        FleetCopies(spec, [busy, idle]),
    )
    assert not queue.can_start(idle, without, 100.0)
    busy.busy_until = None
    assert queue.can_start(busy, with_requester, 100.0)


def test_replica_is_not_planned_from_the_store_while_requesters_wait() -> None:
    """Guards against replicas that take up plans and room before they get a slot."""
    harness, _ = harness_with_full_store()
    harness.request("m5", reach_s=(30.0,))
    harness.send(DemandReport("writers", {"m0": 6_000_000}))
    harness.advance_time(0.25)
    assert "m0/" not in planned_targets(harness)
    # Without these requests the busy model gets its replicas from the store.
    harness, _ = harness_with_full_store()
    harness.send(DemandReport("writers", {"m0": 6_000_000}))
    harness.advance_time(0.25)
    assert "m0/" in planned_targets(harness)


def test_new_leader_counts_the_loads_of_its_predecessor() -> None:
    """Guards against loads that slow each other down after a change of the leader.

    Each of three new leaders started four or five loads beside those in flight, where
    two run at full speed.
    """
    harness = PlacementHarness()
    names = tuple(f"m{number}" for number in range(9))
    spec = engine(*names, weights_mb=75_000.0, store_loads_per_s=30.0)
    harness.send(desired_state(engine_spec=spec))
    for number in range(INITIAL_LIMIT - 1):
        harness.add_server(f"s{number}", on_disk=frozenset(), busy=True)
    for number in range(INITIAL_LIMIT - 1, 6):
        harness.add_server(f"s{number}", on_disk=frozenset())
    harness.begin_term()
    harness.send(DemandReport("writers", {"m0": 100}))
    found = [harness.request(model, reach_s=(11.0,)) for model in ("m1", "m2", "m3")]
    started = accept_orders(harness, [order for one in found for order in orders(one)])
    assert [order.model for order in started] == ["m1"]
    assert orders(harness.advance_time(0.5)) == []


def test_model_is_expected_from_its_load_after_a_pause_in_requests() -> None:
    """Guards against a second load of a model that is being loaded.

    The plan of an in-flight load was dropped three seconds after the last request, and
    the next request was answered with a load on another server.
    """
    harness, _ = harness_with_full_store()
    harness.advance_time(9.0)
    found = harness.request("m1", reach_s=(11.0,))
    assert orders(found) == []
    expected = [one for one in found if isinstance(one, ModelExpected)]
    assert expected[0].is_loading


def test_removed_model_is_not_moved() -> None:
    """Guards against a leader that fails on a plan for a removed model."""
    harness, running = harness_with_full_store(spare_servers=0, loads=INITIAL_LIMIT - 1)
    harness.send(
        DemandReport("writers", dict.fromkeys(("m0", *FIRST_STORE_MODELS), 400_000))
    )
    harness.add_server("s8", on_disk=frozenset(), busy=True)
    harness.request("m5", reach_s=(30.0,) * 5)
    harness.add_server("s9", on_disk=frozenset())
    names = tuple(f"m{number}" for number in range(9) if number != 5)
    spec = engine(*names, weights_mb=75_000.0, store_loads_per_s=30.0)
    harness.send(desired_state(version=2, engine_spec=spec))
    harness.finish_load(running[0], 6.1)
    harness.reports["s8"] = holdings(count=0, on_disk=frozenset())
    for _ in range(8):
        harness.advance_time(0.5)
    assert "m5/" not in planned_targets(harness)


def estimated_s(harness: PlacementHarness, model: str) -> float:
    """Request a model and return the leader's estimate."""
    found = harness.request(model, reach_s=(30.0,))
    return next(one.in_s for one in found if isinstance(one, ModelExpected))


def test_slot_is_free_at_the_estimated_time() -> None:
    """Guards against requests that are refused just before their load starts.

    Of 666 refusals 87 came within two seconds before the model was ready, as the
    estimate did not fall while the loads ahead progressed.
    """
    harness, running = harness_with_full_store()
    ready_at = []
    for _ in range(10):
        ready_at.append(harness.now + estimated_s(harness, "m5"))
        harness.advance_time(0.5)
    assert next_load(harness, running, after_s=1.1) == "m5"
    assert max(ready_at) - min(ready_at) < 0.5
    assert abs(harness.now + 6.0 - ready_at[0]) < 0.5


def test_wait_for_a_server_overlaps_the_wait_for_the_store() -> None:
    """Guards against a load that counts twice: for its server and for the store.

    All servers load from the weight store, so both are free at the same moment.
    """
    harness, _ = harness_with_full_store(spare_servers=0)
    harness.send(DemandReport("writers", {"m0": 900_000}))
    estimate_s = estimated_s(harness, "m5")
    assert 11.0 < estimate_s < 13.0


def test_unanswered_order_holds_a_slot() -> None:
    """Guards against a slot that is counted for two models at a time."""
    harness, _ = harness_with_full_store(loads=INITIAL_LIMIT - 1)
    started = orders(
        harness.request("m5", reach_s=(11.0,)) + harness.advance_time(0.05)
    )
    assert [order.model for order in started] == ["m5"]
    # The first of the others ends about six seconds from now.
    assert estimated_s(harness, "m6") > 11.0


def test_plan_leaves_the_queue_for_a_disk_that_is_free_sooner() -> None:
    """Guards against a plan that keeps its place in the queue at any price.

    The delay until a store slot was left out of the cost that plans are compared with.
    """
    harness, _ = harness_with_full_store()
    assert estimated_s(harness, "m5") > 11.0
    harness.add_server("s8", on_disk=frozenset({"m5"}), busy=True)
    # The order of an earlier leader may keep the server busy for six seconds.
    assert estimated_s(harness, "m5") < 8.0


def test_late_in_flight_load_is_expected_when_it_ends() -> None:
    """Guards against an estimate that recedes while a load is slowed down by others.

    The store carries two loads, so the third of several takes half as long again. At
    any time it was expected to take as long again as it was late.
    """
    harness, running = harness_with_full_store()
    harness.finish_load(running[0], 6.1)
    harness.finish_load(running[1], 0.1)
    harness.advance_time(1.3)
    ready_at = []
    for _ in range(6):
        ready_at.append(harness.now + estimated_s(harness, "m3"))
        harness.advance_time(0.25)
    assert max(ready_at) - min(ready_at) < 0.1
    assert abs(ready_at[0] - 109.1) < 0.2


def test_load_lost_in_a_restart_does_not_lower_the_limit() -> None:
    """Guards against a store of which a part stays unused for the rest of the day.

    A server crashed during a load, its next report came 9.8 s after the load had
    started, and from then on two loads ran at a time instead of three.
    """
    harness, running = harness_with_full_store()
    lost = running[2].server_id
    harness.silent.add(lost)
    harness.finish_load(running[0], 6.1)
    harness.finish_load(running[1], 0.2)
    harness.silent.remove(lost)
    harness.reports[lost] = holdings(count=0, born_ms=2, on_disk=frozenset())
    harness.advance_time(2.5)
    assert harness.decision.status(harness.now)["store_limits"] == {"writers": 3}
