"""Log lines and counters of the leader's plans."""

from __future__ import annotations

import pytest

from siskinspool.gateway.messages import OrderKind, OrderResult
from siskinspool.gateway.store_limit import INITIAL_LIMIT

from .builders_gateway import desired_state, engine, holdings
from .builders_placement_harness import (
    PlacementHarness,
    harness_with_full_store,
    orders,
)


def busy_unload() -> PlacementHarness:
    """Return a harness whose only server unloads ``m0``, which takes a second."""
    disk = frozenset({"m0", "m1"})
    harness = PlacementHarness()
    harness.send(desired_state(engine_spec=engine(weights_mb=75_000.0)))
    harness.add_server("s1", "m0", on_disk=disk)
    harness.begin_term()
    unload = orders(harness.request("m1"))[0]
    assert unload.kind is OrderKind.UNLOAD
    harness.end(unload, OrderResult.ACCEPTED)
    harness.reports["s1"] = holdings("m0", count=1, busy=True, on_disk=disk)
    for _ in range(4):
        harness.advance_time(0.25)
    harness.reports["s1"] = holdings(count=1, on_disk=disk)
    return harness


def test_time_of_an_order_is_logged_beside_its_estimate(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against an outage of a model that no log line explains.

    An unload took six seconds, and its end could only be inferred from the next order.
    """
    caplog.set_level("INFO")
    harness = busy_unload()
    harness.advance_time(0.4)
    done = [line for line in caplog.messages if "event=order_done" in line]
    assert len(done) == 1
    assert "kind=unload model=m0" in done[0]
    gauges = harness.decision.gauges()
    assert gauges["placement.unload_seconds"] > 1.0
    assert gauges["placement.unload_expected_seconds"] < 0.5


def test_plan_that_ends_without_a_load_is_logged(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against plans that end without a log line to explain a refusal."""
    caplog.set_level("INFO")
    harness = busy_unload()
    harness.advance_time(5.0)
    dropped = [
        line for line in caplog.messages if line.startswith("event=plan_dropped")
    ]
    assert len(dropped) == 1
    assert "model=m1" in dropped[0]
    assert "why=nobody_asks" in dropped[0]
    assert harness.decision.gauges()["placement.plans_dropped"] == 1


def test_load_from_the_store_is_logged_with_the_parallel_loads(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against slow loads of which no log line shows how many ran beside them."""
    caplog.set_level("INFO")
    harness_with_full_store()
    given = [line for line in caplog.messages if "event=order_given" in line]
    loads = [line for line in given if "kind=load" in line and "source=store" in line]
    assert len(loads) == INITIAL_LIMIT
    for number, line in enumerate(loads, start=1):
        assert f"parallel_loads={number} store_limit={INITIAL_LIMIT}" in line
