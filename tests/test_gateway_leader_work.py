"""The work of a leader stays bounded: by servers, by requests and in time."""

from __future__ import annotations

import pytest

from siskinspool.core.message import Message
from siskinspool.gateway.managed_server import ManagedServer
from siskinspool.gateway.messages import (
    LeadershipExtended,
    ModelExpected,
    ModelReady,
    OrderResult,
)
from siskinspool.gateway.planning_budget import (
    BURST_WORK,
    MIN_LOOK_WORK,
    WORK_PER_S,
    PlanningBudget,
)
from siskinspool.gateway.server_orders import ServerOrders

from .builders_gateway import desired_state, engine
from .builders_placement_harness import PlacementHarness, accept_orders, orders

MODELS = tuple(f"m{number}" for number in range(40))
# No server has a copy of these.
RARE_MODELS = tuple(f"r{number}" for number in range(10))


def large_harness(servers: int) -> PlacementHarness:
    """Return a harness whose servers each have some models on their disks."""
    harness = PlacementHarness()
    spec = engine(*MODELS, weights_mb=145_000.0, disk_mb=900_000.0)
    harness.send(desired_state(engine_spec=spec))
    for number in range(servers):
        disk = {MODELS[(number + step) % len(MODELS)] for step in range(8)}
        harness.add_server(f"s{number:03}", on_disk=frozenset(disk))
    harness.begin_term()
    harness.advance_time(0.25)
    harness.advance_time(0.25)
    return harness


def test_wake_between_ticks_looks_at_due_servers_only(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a pass over all servers at each step of a single one."""
    harness = large_harness(80)
    advanced: list[str] = []
    advance = ServerOrders.advance

    def count(orders: ServerOrders, server: ManagedServer, now: float) -> object:
        advanced.append(server.record.server_id)
        return advance(orders, server, now)

    order = orders(harness.request("m0"))[0]
    monkeypatch.setattr(ServerOrders, "advance", count)
    harness.end(order, OrderResult.ACCEPTED)
    assert advanced == [order.server_id]
    harness.advance_time(0.2)
    assert len(advanced) == 1
    harness.advance_time(0.1)
    assert len(advanced) == 81


def test_work_for_plans_has_a_bound_and_reaches_every_model() -> None:
    """Guards against a leader that spends all its time on plans.

    Twenty gateways request ten models that no server has, four times a second.
    """
    harness = large_harness(60)
    spec = engine(*MODELS, *RARE_MODELS, weights_mb=145_000.0, disk_mb=900_000.0)
    harness.send(desired_state(engine_spec=spec))
    budget = harness.decision._budget
    work_before = budget.work_done
    answered: set[str] = set()
    for step in range(16 * 20):
        found: list[Message] = []
        for model in RARE_MODELS:
            found += harness.request(model, gateway=f"g{step % 20}")
        found += harness.advance_time(0.25 / 20)
        answered |= {one.model for one in found if isinstance(one, ModelExpected)}
    assert answered == set(RARE_MODELS)
    # One choice of a server may overdraw the budget.
    most = BURST_WORK + 4.0 * WORK_PER_S + 60
    assert budget.work_done - work_before <= most


def test_orders_continue_while_the_budget_for_plans_is_spent() -> None:
    """Guards against orders that wait behind plans."""
    harness = large_harness(60)
    order = orders(harness.request("m0"))[0]
    harness.decision._budget.spend(10 * WORK_PER_S)
    assert not orders(harness.request("m1"))
    accept_orders(harness, [order])
    ready = harness.finish_load(order, 2.0)
    assert any(isinstance(one, ModelReady) for one in ready)


def test_waiting_requests_for_one_model_are_handled_together() -> None:
    """Guards against the same work once for each gateway."""
    harness = large_harness(60)
    budget = harness.decision._budget
    budget.spend(BURST_WORK + WORK_PER_S)
    gateways = {f"g{number}" for number in range(2, 30)}
    for gateway in gateways:
        assert not harness.request("m0", gateway=gateway)
    work_before = budget.work_done
    harness.now += 1.1
    batch = harness.decision.on_time(harness.now)
    answers = [one for one in batch if isinstance(one.message, ModelExpected)]
    assert {one.recipient.instance_id for one in answers} == gateways
    assert len(answers) == len(gateways)
    # Not one look at the servers for each gateway.
    assert budget.work_done - work_before < len(gateways) * MIN_LOOK_WORK / 4


def test_look_at_many_servers_uses_up_the_budget_sooner() -> None:
    """Guards against a budget that is no bound where a request costs 15 ms."""
    looks = []
    for servers in (143, 6_400):
        budget = PlanningBudget()
        count = 0
        while budget.is_available(1.0):
            budget.spend_for_look(servers)
            count += 1
        looks.append(count)
    assert looks[0] > 15 * looks[1]


def test_order_of_a_late_leader_is_no_silence_of_its_server() -> None:
    """Guards against plans that are dropped because the leader is out of time.

    Orders whose permission had ended before they were sent counted as silence of their
    servers. Each plan was dropped, planned again elsewhere, and the leader had still
    less time to send.
    """
    harness = large_harness(12)
    order = orders(harness.request("m1"))[0]
    again = orders(harness.end(order, OrderResult.WITHHELD))
    assert [(one.server_id, one.model) for one in again] == [
        (order.server_id, order.model)
    ]
    assert harness.decision.gauges()["placement.plans_dropped"] == 0


def test_withheld_order_waits_for_the_term_to_be_extended() -> None:
    """Guards against an order that is given over and over without permission."""
    harness = large_harness(12)
    order = orders(harness.request("m0"))[0]
    harness.send(LeadershipExtended(harness.now + 0.1))
    assert not orders(harness.end(order, OrderResult.WITHHELD))
    harness.send(LeadershipExtended(harness.now + 10.0))
    again = orders(harness.advance_time(0.25))
    assert [(one.server_id, one.model) for one in again] == [
        (order.server_id, order.model)
    ]


def test_leader_that_may_not_order_wakes_up_at_ticks_only() -> None:
    """Guards against a wake-up each millisecond until the term is extended."""
    harness = large_harness(12)
    order = orders(harness.request("m0"))[0]
    harness.send(LeadershipExtended(harness.now + 0.1))
    harness.end(order, OrderResult.CONFLICT)
    wakes = 0
    end = harness.now + 1.0
    while harness.now < end:
        due = harness.decision.wake_at()
        assert due is not None
        harness.now = max(due, harness.now + 0.001)
        harness.decision.on_time(harness.now)
        wakes += 1
    assert wakes <= 6
    harness.send(LeadershipExtended(harness.now + 10.0))
    assert orders(harness.request("m1"))


def test_waiting_requests_are_taken_up_in_groups() -> None:
    """Guards against a wake-up for each of many requests that wait for the budget."""
    harness = large_harness(60)
    harness.decision._budget.spend(BURST_WORK)
    for model in MODELS:
        harness.request(model)
    wakes = 0
    end = harness.now + 0.2
    while (due := harness.decision.wake_at()) is not None and due < end:
        harness.now = max(due, harness.now + 0.001)
        harness.decision.on_time(harness.now)
        wakes += 1
    assert 1 <= wakes <= 6
