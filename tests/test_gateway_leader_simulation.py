"""Leaders under faults: orders of two gateways are apart, and there is a leader after.

More seeds by hand: LEADER_SEEDS=500.
"""

from __future__ import annotations

import os

import pytest

from .builders_leader_simulation import LeaderSimulation

SEEDS = int(os.environ.get("LEADER_SEEDS", "40"))
FAULTS_S = 60.0
# For the end of all faults, a new session, and the longest wait of a leader.
SETTLE_S = 25.0


@pytest.mark.parametrize("fault_interval_s", [1.5, 4.0])
def test_orders_of_two_leaders_are_apart(fault_interval_s: float) -> None:
    """Guards against two leaders at once, after any faults and returns of the store.

    Epoch numbers are not checked, so this holds for all gateways.
    """
    for seed in range(SEEDS):
        simulation = LeaderSimulation(seed, False, fault_interval_s)
        simulation.run(FAULTS_S, faults=True)
        assert simulation.early_orders == [], f"seed {seed}"
        assert all(len(one) == 1 for one in simulation.holders_by_epoch.values())


@pytest.mark.parametrize("epochs_checked", [True, False])
def test_there_is_a_leader_after_the_faults(epochs_checked: bool) -> None:
    """Guards against a key whose holder does not lead."""
    for seed in range(SEEDS):
        simulation = LeaderSimulation(seed, epochs_checked, 1.5)
        simulation.run(FAULTS_S / 2, faults=True)
        simulation.run(SETTLE_S, faults=False)
        last = max(simulation.last_order_by_name.values(), default=0.0)
        assert last > simulation.now - 1.0, f"seed {seed}"
