"""Tests of the status that tasks report to operators."""

from __future__ import annotations

import random

import attrs

from siskinspool.contracts.team_limits import TeamLimits
from siskinspool.core.clock import MonotonicClock
from siskinspool.core.dispatcher import Dispatcher
from siskinspool.core.status import GetStatus, StatusReply
from siskinspool.core.task import DecisionTask
from siskinspool.machines.call_targets import ReplicaKey, ReplicaTarget
from siskinspool.machines.known_servers import KnownServers
from siskinspool.machines.messages import LeavingChanged, RampSlots
from siskinspool.manifest.model import Catalog, Zone, ZoneState

from .builders import catalog, report, server


def servers_of(found: Catalog) -> KnownServers:
    """Return the servers of a catalog; ``s1`` has reported and has no ramp."""
    known = KnownServers("a", random.Random(1))
    known.update_catalog(found)
    known.handle_report(report("s1"), 0.0)
    known.handle_ramp_slots(RampSlots("s1", "b1", 1, None, 60.0), 0.0)
    return known


def state(known: KnownServers, now: float = 0.0) -> str:
    """Return the reported state of ``s1``."""
    return str(known.status(now)["servers"][0]["state"])


def test_each_reason_without_new_work_is_shown() -> None:
    """Guards against a server that gets no work although it is reported as open."""
    known = servers_of(catalog())
    assert state(known) == "open"
    assert state(known, 3.5) == "stale"
    known.handle_ramp_slots(RampSlots("s1", "b1", 1, 2, 60.0), 0.0)
    assert state(known) == "ramping"
    target = ReplicaTarget(ReplicaKey("m1", ""), "p")
    backend = known.backend(target, "s1")
    for number in range(5):
        backend.state.record_sent(f"call-{number}", 0.0)
        backend.state.record_ended(f"call-{number}", True, 0.0)
    assert state(known) == "set aside"
    known.update_leaving(LeavingChanged(frozenset({"s1"}), frozenset()))
    assert state(known) == "leaving"
    closed = attrs.evolve(
        catalog().manifest, zones=(Zone(id="a", state=ZoneState.CLOSED),)
    )
    known.update_catalog(Catalog.from_manifest(2, closed))
    assert state(known) == "closed zone"


def test_a_server_without_report_is_shown() -> None:
    """Guards against a status page that fails for a server that never reported."""
    known = servers_of(catalog(servers=(server("s1"), server("s2"))))
    assert known.status(0.0)["servers"][1]["state"] == "no report"


def test_a_decision_task_answers_with_the_status_of_its_decision() -> None:
    """Guards against a decision whose status cannot be queried."""
    dispatcher = Dispatcher("i1")
    limits = TeamLimits("i1", "i1-1", 0.0)
    task = DecisionTask("limits", dispatcher, MonotonicClock(), limits)
    task.start()
    try:
        answer = dispatcher.ask(task.address, GetStatus(), 5.0)
    finally:
        task.stop()
    assert answer == StatusReply({"teams": [], "outage": False})
