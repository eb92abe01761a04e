"""Replica decisions under single faults (R1, R2, R3, R7, R11)."""

from __future__ import annotations

import attrs
import pytest

from siskinspool.machines.messages import OrderResult, OrderSettled
from siskinspool.machines.reservations import ReservationState
from siskinspool.manifest.model import Zone, ZoneState
from tests.builders import adapter, catalog, model, server
from tests.builders_placement import SimulatedSite


def site(
    servers: int = 2,
    models: int = 2,
    memory_mib: int = 1000,
    checks_fencing: bool = True,
    instances: int = 2,
) -> SimulatedSite:
    """Return a site whose first instance is owner and has received all reports."""
    sim = SimulatedSite(
        catalog(
            servers=tuple(
                server(f"s{n}", zone="abc"[n % 3], checks_fencing=checks_fencing)
                for n in range(1, servers + 1)
            ),
            models=tuple(
                model(f"m{n}", memory_mib=memory_mib) for n in range(1, models + 1)
            ),
            adapters=(adapter("a1", "m1"),),
        ),
        instances,
    )
    sim.transfer_ownership("i1")
    sim.settle()
    sim.run(1.0)
    return sim


def test_many_first_requests_start_one_load() -> None:
    """Guards R1: requests of many instances for one model each start a load."""
    sim = site(servers=4, instances=3)
    for instance_id in ("i1", "i2", "i3"):
        sim.request_replica("m1", instance_id=instance_id)
    sim.settle()
    sim.run(4.0)
    assert sim.loads_started("m1") == 1
    assert {instance_id for instance_id, _ in sim.answers} == {"i1", "i2", "i3"}
    assert len(sim.plans()) == 3


def test_instance_that_is_not_owner_refuses() -> None:
    """Guards against a decision by an instance without the partition."""
    sim = site()
    sim.owner = "i2"
    sim.request_replica("m1")
    sim.settle()
    assert sim.refusals() == ["not_owner"]
    assert sim.reservations() == []


def test_order_is_sent_only_after_the_write() -> None:
    """Guards R2: an order without a record is invisible to the next owner."""
    sim = site()
    sim.kv.is_down = True
    sim.request_replica("m1", deadline_s=3.0)
    sim.settle()
    sim.run(4.0)
    assert sim.loads_started("m1") == 0
    assert sim.refusals() == ["deadline_unreachable"]


def test_lost_answer_of_a_write_that_took_effect() -> None:
    """Guards R1: a decision is repeated because the answer to its write was lost."""
    sim = site()
    sim.kv.answers_to_lose = 1
    sim.request_replica("m1")
    sim.settle()
    sim.run(3.0)
    assert sim.loads_started("m1") == 1
    assert len(sim.reservations()) == 1
    assert len(sim.ever_decided) == 1


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_lost_write_that_takes_effect_late_is_not_sent(checks_fencing: bool) -> None:
    """Guards R1: an abandoned write takes effect late and its load runs twice."""
    sim = site(servers=1, checks_fencing=checks_fencing)
    sim.kv.writes_to_delay = 1
    sim.kv.apply_after_read = True
    sim.request_replica("m1")
    sim.run(6.0)
    assert len(sim.ever_decided) == 2
    assert sim.loads_started("m1") == 1
    assert [entry.target.model for entry in sim.reservations()] == ["m1"]


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_frozen_owner_sends_its_order_late(checks_fencing: bool) -> None:
    """Guards R2: a former owner's late order uses memory reserved for another model."""
    sim = site(servers=1, checks_fencing=checks_fencing)
    sim.request_replica("m1")
    while not sim.instance_by_id["i1"].orders:
        incoming = sim.instance_by_id["i1"].inbox.pop(0)
        sim.deliver(
            sim.instance_by_id["i1"],
            sim.instance_by_id["i1"].placement.handle(incoming, sim.now),
        )
    sim.pause("i1")
    sim.transfer_ownership("i2")
    sim.settle()
    sim.request_replica("m2", instance_id="i2", deadline_s=60.0)
    sim.settle()
    for _ in range(3):
        sim.run(10.0)
        assert sim.server_by_id["s1"].used_mib <= 1000
    # The memory can be reused safely only if the server checks fencing.
    assert sim.loaded_on("m2") == (["s1"] if checks_fencing else [])
    sim.resume("i1")
    sim.settle()
    sim.run(10.0)
    assert sim.server_by_id["s1"].used_mib <= 1000


def test_memory_is_free_once_the_sender_is_gone() -> None:
    """Guards against memory that stays reserved for the order of an ended process."""
    sim = site(servers=1, checks_fencing=False)
    sim.order_faults = ["late"]
    sim.request_replica("m1", deadline_s=1.0)
    sim.settle()
    sim.run(1.0)
    sim.kill("i1")
    sim.transfer_ownership("i2")
    sim.request_replica("m2", instance_id="i2")
    sim.settle()
    sim.run(6.0)
    assert sim.loaded_on("m2") == ["s1"]


def test_lost_order_answer_keeps_memory_without_fencing() -> None:
    """Guards R2: an order whose answer was lost arrives after its memory is reused."""
    sim = site(servers=1, checks_fencing=False)
    sim.order_faults = ["late"]
    sim.request_replica("m1", deadline_s=5.0)
    sim.settle()
    sim.run(20.0)
    sim.request_replica("m2")
    sim.run(20.0)
    assert sim.loaded_on("m2") == []
    sim.deliver_order(sim.late_orders[0])
    sim.run(6.0)
    assert sim.server_by_id["s1"].used_mib <= 1000


def test_stalled_load_is_decided_again_elsewhere() -> None:
    """Guards M1: a stalled load blocks all requests for its model."""
    sim = site(servers=2)
    sim.request_replica("m1", deadline_s=60.0)
    sim.settle()
    (entry,) = sim.reservations()
    first = next(s for s in sim.server_by_id.values() if s.started_loads)
    first.held_by_replica[entry.replica_id].loaded_at = 1e9
    sim.run(25.0)
    assert sim.loads_started("m1") == 2
    assert entry in [
        attrs.evolve(e, state=entry.state, orders=entry.orders)
        for e in sim.reservations()
    ]


def test_failed_load_frees_memory_and_moves() -> None:
    """Guards against a failed replica that keeps its memory reserved on its server."""
    sim = site(servers=2)
    for model_server in sim.server_by_id.values():
        model_server.fail_loads = model_server.server.id == "s1"
    sim.server_by_id["s2"].is_reachable = False
    sim.run(1.0)
    sim.request_replica("m1", deadline_s=60.0)
    sim.settle()
    sim.server_by_id["s2"].is_reachable = True
    sim.run(8.0)
    assert sim.loaded_on("m1") == ["s2"]
    assert sim.kv.record("s1").reservations == ()


def test_cold_restart_frees_reservations() -> None:
    """Guards against memory that stays reserved for replicas after a restart."""
    sim = site(servers=1)
    sim.request_replica("m1", deadline_s=2.0)
    sim.run(4.0)
    assert sim.loaded_on("m1") == ["s1"]
    sim.server_by_id["s1"].restart()
    sim.run(3.0)
    assert sim.reservations() == []
    sim.request_replica("m2")
    sim.run(3.0)
    assert sim.loaded_on("m2") == ["s1"]


def test_delayed_reports_free_nothing() -> None:
    """Guards R2: delayed reports from before a load release its reservation."""
    sim = site(servers=1)
    stale = sim.server_by_id["s1"].report(sim.now)
    sim.request_replica("m1", deadline_s=2.0)
    sim.run(4.0)
    for _ in range(3):
        sim.post("i1", stale)
    sim.settle()
    assert len(sim.reservations()) == 1
    sim.run(2.0)
    assert len(sim.reservations()) == 1
    for _ in range(2):
        sim.post("i1", stale)
        sim.settle()
        sim.run(1.5, report=False)
    assert len(sim.reservations()) == 1


def test_idle_replica_is_evicted_and_used_one_stays() -> None:
    """Guards M2 and R3: idle replicas block memory, or replicas in use are unloaded."""
    sim = site(servers=2)
    sim.request_replica("m1", deadline_s=2.0)
    sim.run(4.0)
    (used_on,) = sim.loaded_on("m1")
    sim.request_replica("m2", deadline_s=2.0)
    sim.run(4.0)
    catalog_now = sim.catalog
    third = {**catalog_now.model_by_id, "m3": model("m3", memory_mib=1000)}
    sim.change_catalog(attrs.evolve(catalog_now, model_by_id=third, revision=2))
    for _ in range(20):
        sim.report_use("m1", used_on, 1)
        sim.run(1.0)
    sim.request_replica("m3", deadline_s=20.0)
    for _ in range(10):
        sim.report_use("m1", used_on, 1)
        sim.run(1.0)
    assert sim.loaded_on("m1") == [used_on]
    assert sim.loaded_on("m2") == []
    assert len(sim.loaded_on("m3")) == 1


def test_adapter_loads_beside_its_base_model() -> None:
    """Guards against loading an adapter on a server without its base model."""
    sim = site(servers=2, memory_mib=400)
    sim.request_replica("m1", "a1")
    sim.settle()
    sim.run(5.0)
    (base_on,) = sim.loaded_on("m1")
    record = sim.kv.record(base_on)
    assert {entry.target.adapter for entry in record.reservations} == {"", "a1"}
    assert sim.loads_started("m1", "a1") == 1


def test_busy_model_gets_a_second_replica_and_no_third() -> None:
    """Guards M1: a busy model gets no second replica, or more than max_replicas."""
    sim = site(servers=4)
    sim.request_replica("m1", deadline_s=2.0)
    sim.run(4.0)
    for _ in range(20):
        for server_id in sim.loaded_on("m1"):
            sim.report_use("m1", server_id, 10)
        sim.run(1.0)
    assert len(sim.loaded_on("m1")) == 2


def test_surplus_replica_is_unloaded_when_demand_ends() -> None:
    """Guards M2: a second replica is never unloaded after a short peak."""
    sim = site(servers=2)
    sim.request_replica("m1", deadline_s=2.0)
    sim.run(4.0)
    for _ in range(10):
        for server_id in sim.loaded_on("m1"):
            sim.report_use("m1", server_id, 10)
        sim.run(1.0)
    assert len(sim.loaded_on("m1")) == 2
    sim.run(80.0)
    assert len(sim.loaded_on("m1")) == 1


def test_replica_in_closed_zone_is_replaced_on_demand() -> None:
    """Guards R7 and M5: a replica in a closed zone is not replaced under demand."""
    sim = site(servers=2)
    sim.request_replica("m1", deadline_s=2.0)
    sim.run(4.0)
    (first,) = sim.loaded_on("m1")
    zone = sim.catalog.server_by_id[first].zone
    zones = dict(sim.catalog.zone_by_id)
    zones[zone] = Zone(id=zone, state=ZoneState.CLOSED)
    sim.change_catalog(attrs.evolve(sim.catalog, zone_by_id=zones, revision=2))
    sim.report_use("m1", first, 1)
    sim.run(5.0)
    assert sorted(sim.loaded_on("m1")) == ["s1", "s2"]


def test_leaving_server_gets_no_load() -> None:
    """Guards R11: a load is placed on a leaving server."""
    sim = site(servers=2)
    sim.leaving_server_ids = {"s1"}
    sim.notify_membership()
    sim.request_replica("m1")
    sim.run(4.0)
    assert sim.loaded_on("m1") == ["s2"]


def test_store_admits_four_concurrent_loads() -> None:
    """Guards M1: too many concurrent loads from the weight store slow each other."""
    sim = site(servers=12, models=12)
    for number in range(1, 13):
        sim.request_replica(f"m{number}", deadline_s=60.0)
    sim.settle()
    assert sum(len(s.started_loads) for s in sim.server_by_id.values()) == 4
    sim.run(20.0)
    assert sum(len(s.started_loads) for s in sim.server_by_id.values()) == 12


def test_former_owner_forwards_results() -> None:
    """Guards against reserved memory after only the former owner got the result."""
    sim = site(servers=1, checks_fencing=False)
    sim.order_faults = ["late"]
    sim.request_replica("m1", deadline_s=1.0)
    sim.settle()
    sim.transfer_ownership("i2")
    sim.settle()
    sim.run(3.0)
    (order,) = sim.late_orders
    refused = OrderSettled(
        order.order_id, "s1", order.replica_id, OrderResult.NO_MEMORY
    )
    sim.post("i1", refused)
    sim.settle()
    sim.run(3.0)
    assert sim.reservations() == []


def test_takeover_seals_before_it_decides() -> None:
    """Guards R2: a former owner's write succeeds after the takeover."""
    sim = site(servers=2)
    sim.kv.writes_to_delay = 1
    sim.request_replica("m1")
    sim.settle()
    sim.kv.writes_to_delay = 0
    sim.pause("i1")
    sim.transfer_ownership("i2")
    sim.settle()
    (write,) = sim.kv.delayed_writes
    before = sim.kv.revision
    sim.kv.swap(write)
    assert sim.kv.revision == before
    assert {sim.kv.record(s).epoch for s in sim.server_by_id} == {2}


def test_unload_order_marks_the_record_first() -> None:
    """Guards R1: a new owner treats a replica that is being unloaded as loaded."""
    sim = site(servers=1)
    sim.request_replica("m1", deadline_s=1.0)
    sim.run(12.0)
    sim.order_faults = ["late"] * 3
    sim.request_replica("m2", deadline_s=30.0)
    sim.settle()
    (entry,) = sim.reservations()
    assert entry.state is ReservationState.RELEASING
    sim.run(10.0)
    assert sim.loaded_on("m2") == ["s1"]


def test_running_replica_of_a_silent_instance_stays() -> None:
    """Guards R3: a replica is unloaded while a silent instance runs requests on it."""
    sim = site(servers=1)
    sim.request_replica("m1", deadline_s=1.0)
    sim.run(10.0)
    sim.report_use("m1", "s1", 1)
    sim.run(6.0)
    sim.request_replica("m2", deadline_s=2.0)
    sim.run(2.0)
    assert sim.loaded_on("m1") == ["s1"]
