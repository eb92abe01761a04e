"""Replica decisions under single faults (R1, R2, R3, R7, R11)."""

from __future__ import annotations

import attrs
import pytest

from siskinspool.machines.messages import OrderResult, OrderSettled
from siskinspool.machines.reservations import ReservationState
from siskinspool.manifest.model import Zone, ZoneState
from tests.builders import adapter, catalog, model, server
from tests.builders_placement import SiteModel


def site(
    servers: int = 2,
    models: int = 2,
    memory_mib: int = 1000,
    checks_fencing: bool = True,
    instances: int = 2,
) -> SiteModel:
    """Return a site whose first instance has taken over and heard all reports."""
    made = SiteModel(
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
    made.transfer_ownership("i1")
    made.settle()
    made.run(1.0)
    return made


def test_many_first_requests_start_one_load() -> None:
    """Guards R1: requests of many instances for one model each start a load."""
    made = site(servers=4, instances=3)
    for asker in ("i1", "i2", "i3"):
        made.request_replica("m1", asker=asker)
    made.settle()
    made.run(4.0)
    assert made.loads_started("m1") == 1
    assert {asker for asker, _ in made.answers} == {"i1", "i2", "i3"}
    assert len(made.plans()) == 3


def test_instance_that_is_not_owner_refuses() -> None:
    """Guards against a decision by an instance without the partition."""
    made = site()
    made.owner = "i2"
    made.request_replica("m1")
    made.settle()
    assert made.refusals() == ["not_owner"]
    assert made.reservations() == []


def test_order_is_sent_only_after_the_write() -> None:
    """Guards R2: an order without a record is invisible to the next owner."""
    made = site()
    made.kv.is_down = True
    made.request_replica("m1", deadline_s=3.0)
    made.settle()
    made.run(4.0)
    assert made.loads_started("m1") == 0
    assert made.refusals() == ["deadline_unreachable"]


def test_lost_answer_of_a_write_that_took_effect() -> None:
    """Guards R1: a decision with a lost answer is made a second time."""
    made = site()
    made.kv.answers_to_lose = 1
    made.request_replica("m1")
    made.settle()
    made.run(3.0)
    assert made.loads_started("m1") == 1
    assert len(made.reservations()) == 1
    assert len(made.ever_decided) == 1


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_lost_write_that_takes_effect_late_is_not_sent(checks_fencing: bool) -> None:
    """Guards R1: a write given up takes effect later and its load counts twice."""
    made = site(servers=1, checks_fencing=checks_fencing)
    made.kv.writes_to_delay = 1
    made.kv.apply_after_read = True
    made.request_replica("m1")
    made.run(6.0)
    assert len(made.ever_decided) == 2
    assert made.loads_started("m1") == 1
    assert [entry.target.model for entry in made.reservations()] == ["m1"]


@pytest.mark.parametrize("checks_fencing", [True, False])
def test_frozen_owner_sends_its_order_late(checks_fencing: bool) -> None:
    """Guards R2: a late order of a former owner meets memory given to another."""
    made = site(servers=1, checks_fencing=checks_fencing)
    made.request_replica("m1")
    while not made.instance_by_id["i1"].orders:
        incoming = made.instance_by_id["i1"].inbox.pop(0)
        made.deliver(
            made.instance_by_id["i1"],
            made.instance_by_id["i1"].placement.handle(incoming, made.now),
        )
    made.pause("i1")
    made.transfer_ownership("i2")
    made.settle()
    made.request_replica("m2", asker="i2", deadline_s=60.0)
    made.settle()
    for _ in range(3):
        made.run(10.0)
        assert made.server_by_id["s1"].used_mib <= 1000
    # Only a server that checks fencing makes it safe to reuse the memory.
    assert made.loaded_on("m2") == (["s1"] if checks_fencing else [])
    made.resume("i1")
    made.settle()
    made.run(10.0)
    assert made.server_by_id["s1"].used_mib <= 1000


def test_memory_is_free_once_the_sender_is_gone() -> None:
    """Guards against memory that stays reserved for a dead owner's order."""
    made = site(servers=1, checks_fencing=False)
    made.order_faults = ["late"]
    made.request_replica("m1", deadline_s=1.0)
    made.settle()
    made.run(1.0)
    made.kill("i1")
    made.transfer_ownership("i2")
    made.request_replica("m2", asker="i2")
    made.settle()
    made.run(6.0)
    assert made.loaded_on("m2") == ["s1"]


def test_lost_order_answer_keeps_memory_without_fencing() -> None:
    """Guards R2: an order whose answer was lost arrives after its memory is reused."""
    made = site(servers=1, checks_fencing=False)
    made.order_faults = ["late"]
    made.request_replica("m1", deadline_s=5.0)
    made.settle()
    made.run(20.0)
    made.request_replica("m2")
    made.run(20.0)
    assert made.loaded_on("m2") == []
    made.carry_out(made.late_orders[0])
    made.run(6.0)
    assert made.server_by_id["s1"].used_mib <= 1000


def test_stalled_load_is_decided_again_elsewhere() -> None:
    """Guards M1: a load that hangs holds up the requests for its model."""
    made = site(servers=2)
    made.request_replica("m1", deadline_s=60.0)
    made.settle()
    (entry,) = made.reservations()
    first = next(s for s in made.server_by_id.values() if s.started_loads)
    first.held_by_replica[entry.replica_id].loaded_at = 1e9
    made.run(25.0)
    assert made.loads_started("m1") == 2
    assert entry in [
        attrs.evolve(e, state=entry.state, orders=entry.orders)
        for e in made.reservations()
    ]


def test_failed_load_frees_memory_and_moves() -> None:
    """Guards against a failed replica that keeps its memory and its server."""
    made = site(servers=2)
    for model_server in made.server_by_id.values():
        model_server.fail_loads = model_server.server.id == "s1"
    made.server_by_id["s2"].is_reachable = False
    made.run(1.0)
    made.request_replica("m1", deadline_s=60.0)
    made.settle()
    made.server_by_id["s2"].is_reachable = True
    made.run(8.0)
    assert made.loaded_on("m1") == ["s2"]
    assert made.kv.record("s1").reservations == ()


def test_cold_restart_frees_reservations() -> None:
    """Guards against memory reserved for replicas that a restart has removed."""
    made = site(servers=1)
    made.request_replica("m1", deadline_s=2.0)
    made.run(4.0)
    assert made.loaded_on("m1") == ["s1"]
    made.server_by_id["s1"].restart()
    made.run(3.0)
    assert made.reservations() == []
    made.request_replica("m2")
    made.run(3.0)
    assert made.loaded_on("m2") == ["s1"]


def test_delayed_reports_free_nothing() -> None:
    """Guards R2: reports from before a load free the load's memory."""
    made = site(servers=1)
    stale = made.server_by_id["s1"].report(made.now)
    made.request_replica("m1", deadline_s=2.0)
    made.run(4.0)
    for _ in range(3):
        made.post("i1", stale)
    made.settle()
    assert len(made.reservations()) == 1
    made.run(2.0)
    assert len(made.reservations()) == 1
    for _ in range(2):
        made.post("i1", stale)
        made.settle()
        made.run(1.5, report=False)
    assert len(made.reservations()) == 1


def test_idle_replica_gives_way_and_used_one_stays() -> None:
    """Guards M2 and R3: idle replicas block memory, or replicas in use are unloaded."""
    made = site(servers=2)
    made.request_replica("m1", deadline_s=2.0)
    made.run(4.0)
    (used_on,) = made.loaded_on("m1")
    made.request_replica("m2", deadline_s=2.0)
    made.run(4.0)
    catalog_now = made.catalog
    third = {**catalog_now.model_by_id, "m3": model("m3", memory_mib=1000)}
    made.change_catalog(attrs.evolve(catalog_now, model_by_id=third, revision=2))
    for _ in range(20):
        made.report_use("m1", used_on, 1)
        made.run(1.0)
    made.request_replica("m3", deadline_s=20.0)
    for _ in range(10):
        made.report_use("m1", used_on, 1)
        made.run(1.0)
    assert made.loaded_on("m1") == [used_on]
    assert made.loaded_on("m2") == []
    assert len(made.loaded_on("m3")) == 1


def test_adapter_loads_beside_its_base_model() -> None:
    """Guards against an adapter on a server without its base model."""
    made = site(servers=2, memory_mib=400)
    made.request_replica("m1", "a1")
    made.settle()
    made.run(5.0)
    (base_on,) = made.loaded_on("m1")
    record = made.kv.record(base_on)
    assert {entry.target.adapter for entry in record.reservations} == {"", "a1"}
    assert made.loads_started("m1", "a1") == 1


def test_busy_model_gets_a_second_replica_and_no_third() -> None:
    """Guards M1 and max_replicas: demand stays on one replica, or replicas pile up."""
    made = site(servers=4)
    made.request_replica("m1", deadline_s=2.0)
    made.run(4.0)
    for _ in range(20):
        for server_id in made.loaded_on("m1"):
            made.report_use("m1", server_id, 10)
        made.run(1.0)
    assert len(made.loaded_on("m1")) == 2


def test_surplus_replica_goes_when_demand_ends() -> None:
    """Guards M2: a second replica stays for good after a short peak."""
    made = site(servers=2)
    made.request_replica("m1", deadline_s=2.0)
    made.run(4.0)
    for _ in range(10):
        for server_id in made.loaded_on("m1"):
            made.report_use("m1", server_id, 10)
        made.run(1.0)
    assert len(made.loaded_on("m1")) == 2
    made.run(80.0)
    assert len(made.loaded_on("m1")) == 1


def test_replica_in_closed_zone_is_replaced_on_demand() -> None:
    """Guards R7 and M5: requests for a model wait on a closed zone."""
    made = site(servers=2)
    made.request_replica("m1", deadline_s=2.0)
    made.run(4.0)
    (first,) = made.loaded_on("m1")
    zone = made.catalog.server_by_id[first].zone
    zones = dict(made.catalog.zone_by_id)
    zones[zone] = Zone(id=zone, state=ZoneState.CLOSED)
    made.change_catalog(attrs.evolve(made.catalog, zone_by_id=zones, revision=2))
    made.report_use("m1", first, 1)
    made.run(5.0)
    assert sorted(made.loaded_on("m1")) == ["s1", "s2"]


def test_leaving_server_gets_no_load() -> None:
    """Guards R11: a load is placed on a server that is about to go."""
    made = site(servers=2)
    made.leaving_server_ids = {"s1"}
    made.notify_membership()
    made.request_replica("m1")
    made.run(4.0)
    assert made.loaded_on("m1") == ["s2"]


def test_store_takes_four_loads_at_once() -> None:
    """Guards M1: more loads than the store can carry slow all of them down."""
    made = site(servers=12, models=12)
    for number in range(1, 13):
        made.request_replica(f"m{number}", deadline_s=60.0)
    made.settle()
    assert sum(len(s.started_loads) for s in made.server_by_id.values()) == 4
    made.run(20.0)
    assert sum(len(s.started_loads) for s in made.server_by_id.values()) == 12


def test_former_owner_passes_results_on() -> None:
    """Guards against memory that stays reserved because the result went elsewhere."""
    made = site(servers=1, checks_fencing=False)
    made.order_faults = ["late"]
    made.request_replica("m1", deadline_s=1.0)
    made.settle()
    made.transfer_ownership("i2")
    made.settle()
    made.run(3.0)
    (order,) = made.late_orders
    refused = OrderSettled(
        order.order_id, "s1", order.replica_id, OrderResult.NO_MEMORY
    )
    made.post("i1", refused)
    made.settle()
    made.run(3.0)
    assert made.reservations() == []


def test_takeover_seals_before_it_decides() -> None:
    """Guards R2: a former owner's write succeeds after the takeover."""
    made = site(servers=2)
    made.kv.writes_to_delay = 1
    made.request_replica("m1")
    made.settle()
    made.kv.writes_to_delay = 0
    made.pause("i1")
    made.transfer_ownership("i2")
    made.settle()
    (write,) = made.kv.delayed_writes
    before = made.kv.revision
    made.kv.swap(write)
    assert made.kv.revision == before
    assert {made.kv.record(s).epoch for s in made.server_by_id} == {2}


def test_unload_order_marks_the_record_first() -> None:
    """Guards R1: a new owner counts a replica that is being unloaded as in service."""
    made = site(servers=1)
    made.request_replica("m1", deadline_s=1.0)
    made.run(12.0)
    made.order_faults = ["late"] * 3
    made.request_replica("m2", deadline_s=30.0)
    made.settle()
    (entry,) = made.reservations()
    assert entry.state is ReservationState.RELEASING
    made.run(10.0)
    assert made.loaded_on("m2") == ["s1"]


def test_running_replica_of_a_silent_instance_stays() -> None:
    """Guards R3: a replica is unloaded under requests of a paused instance."""
    made = site(servers=1)
    made.request_replica("m1", deadline_s=1.0)
    made.run(10.0)
    made.report_use("m1", "s1", 1)
    made.run(6.0)
    made.request_replica("m2", deadline_s=2.0)
    made.run(2.0)
    assert made.loaded_on("m1") == ["s1"]
