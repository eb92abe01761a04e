"""A leader with little processor time keeps up with many requesters."""

from __future__ import annotations

import pytest

from .builders_late_leader import LateLeaderSimulation
from .builders_store_plan import DayPlan

# With an order's timeout this leaves most of a session's time.
MAX_WAIT_S = 0.5


@pytest.mark.timeout(120)
def test_leader_keeps_up_while_many_models_wait_for_the_store() -> None:
    """Guards against plans that take the time of orders and of the session.

    On a charged day such a leader woke up five seconds late, its orders were not sent,
    and 49 of 245 models were never served.
    """
    plan = DayPlan(
        seed=1,
        gateways=20,
        servers=100,
        models=260,
        without_copy=90,
        store_at_once=3,
        traffic_s=8.0,
        rare_requesters=5.0,
        common_per_s=90.0,
        crash_at_s=3.0,
        crashed=12,
    )
    simulation = LateLeaderSimulation(plan)
    simulation.run()
    assert simulation.withheld_orders == 0
    assert simulation.longest_wait_s < MAX_WAIT_S
