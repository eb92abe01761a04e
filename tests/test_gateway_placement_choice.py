"""The choice of a server for a model: its result, and how many servers it prices."""

from __future__ import annotations

import random

import pytest

from siskinspool.gateway.demand import TokenDemand
from siskinspool.gateway.managed_server import ManagedServer
from siskinspool.gateway.placement_choice import MAX_PRICED_SERVERS, ServerComparison
from siskinspool.gateway.placement_plan import PlacementPlan
from siskinspool.gateway.service_fleet import ServiceFleet

from .builders_gateway import engine, holdings, server

NOW = 100.0
MODELS = tuple(f"m{number:02}" for number in range(24))
WANTED = "m00"


def random_fleet(seed: int, servers: int, copies_of_wanted: int) -> ServiceFleet:
    """Return a fleet of full servers with plans, some busy, with uneven demand."""
    rng = random.Random(seed)
    spec = engine(*MODELS, weights_mb=145_000.0, disk_mb=400_000.0)
    demand = TokenDemand()
    for name in MODELS:
        demand.add(name, rng.uniform(0.0, 90_000.0), NOW - 1.0)
    managed = []
    for number in range(servers):
        held = rng.sample(MODELS[1:], 2)
        disk = {*held, *rng.sample(MODELS[1:], 3)}
        if number < copies_of_wanted:
            disk.add(WANTED)
        one = ManagedServer(
            record=server(f"s{number:04}"),
            holdings=holdings(*held, count=0, on_disk=frozenset(disk)),
        )
        if rng.random() < 0.3:
            one.busy_until = NOW + rng.uniform(0.0, 6.0)
            one.loading_model = held[0]
        for name in rng.sample(MODELS[1:], rng.randrange(3)):
            waiting = {"g2": rng.randrange(1, 9)}
            one.plans.append(PlacementPlan(name, "", waiting, NOW))
        managed.append(one)
    return ServiceFleet(spec, managed, demand, staying=managed)


@pytest.mark.parametrize("copies", [0, 1, 4, 12])
def test_choice_is_the_cheapest_of_all_servers(copies: int) -> None:
    """Guards against a cheaper server that is left out of the comparison."""
    for seed in range(25):
        fleet = random_fleet(seed, 16, copies)
        spec = fleet.engine.model_by_name[WANTED]
        single = [
            ServerComparison(fleet, spec, 3, NOW).cheapest([one])
            for one in fleet.servers
        ]
        best = min((one for one in single if one), key=lambda one: one.preference)
        chosen = ServerComparison(fleet, spec, 3, NOW).cheapest(fleet.servers)
        assert chosen == best


def test_choice_prices_as_many_servers_in_a_larger_fleet() -> None:
    """Guards against a leader whose work for one request grows with the servers.

    A leader of 143 servers priced all of them for each request, took more processor
    time than it had, and held its own lateness for silence of the servers.
    """
    priced = []
    for servers in (50, 200, 800):
        fleet = random_fleet(7, servers, copies_of_wanted=6)
        spec = fleet.engine.model_by_name[WANTED]
        assert ServerComparison(fleet, spec, 3, NOW).cheapest(fleet.servers)
        priced.append(fleet.budget.work_done)
    assert max(priced) <= 12


def test_choice_without_any_copy_prices_a_bounded_number_of_servers() -> None:
    """Guards against a price of every server for each model that none has a copy of."""
    for servers in (50, 200, 800):
        fleet = random_fleet(7, servers, copies_of_wanted=0)
        spec = fleet.engine.model_by_name[WANTED]
        assert ServerComparison(fleet, spec, 3, NOW).cheapest(fleet.servers)
        assert fleet.budget.work_done <= MAX_PRICED_SERVERS
