"""Choice by speed at the product's own front end."""

from __future__ import annotations

import random
from collections import Counter

from siskinspool.machines.candidate import Candidate, ServerRun
from siskinspool.machines.routing_messages import CallEnded, CallResult
from siskinspool.machines.speed_choices import SpeedChoices
from tests.builders_routing import RoutingHarness, call


def test_calls_go_where_they_are_answered_sooner() -> None:
    """Guards against a slow service that gets as many calls as a fast one."""
    harness = RoutingHarness(chooser=SpeedChoices(random.Random(1)))
    chosen: Counter[str] = Counter()
    for number in range(120):
        names = [f"{number}-{part}" for part in range(2)]
        # Two at a time: one alone would always go to the service in the own zone.
        harness.send(*(call(name, target="r1") for name in names))
        backend_by_call = {n: harness.dispatched()[n].server_id for n in names}
        for seconds, backend_id in ((0.1, "v2"), (0.2, "v1")):
            harness.advance(seconds)
            for name in names:
                if backend_by_call[name] == backend_id:
                    harness.send(CallEnded(name, CallResult.OK))
        chosen.update(backend_by_call.values() if number >= 60 else ())
    assert chosen["v2"] > 2 * chosen["v1"]


def test_estimate_ends_with_the_process_it_belongs_to() -> None:
    """Guards against the speed of a process or server that no longer exists."""
    chooser = SpeedChoices(random.Random(1))
    candidates = [Candidate("s1", 0, 0.0), Candidate("s2", 0, 0.05)]

    def choose() -> str:
        found = chooser.choose(candidates)
        assert found is not None
        return found.server_id

    def record_slow_runs() -> None:
        for _ in range(20):
            run = ServerRun(server_id="s1", boot_id="b1", took_s=2.0, mean_s=1.0)
            chooser.record_run(run)

    assert choose() == "s1"
    record_slow_runs()
    assert choose() == "s2"
    chooser.record_run(ServerRun(server_id="s1", boot_id="b2", took_s=1, mean_s=1))
    assert choose() == "s1"
    record_slow_runs()
    chooser.keep_only(frozenset({"s2"}))
    assert choose() == "s1"
