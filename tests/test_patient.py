"""Patient requests: single schedules and a state machine (R3, R9, R10)."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from siskinspool.contracts.patient_messages import (
    PatientAccepted,
    PatientFailure,
    PatientRefusal,
    PatientRefused,
    PatientState,
)
from tests.builders_claims import Fate
from tests.builders_patient import PatientCluster

INSTANCES = st.sampled_from(["a", "b", "c"])
FAILURES = st.sampled_from([fate for fate in Fate if fate is not Fate.ANSWERED])


def test_large_request_is_run_and_answered() -> None:
    """Guards against lost or cut answers, and answers shown to another team (R4)."""
    cluster = PatientCluster()
    request_id = cluster.submit(size=600_000)
    cluster.sim.run(4.0)
    cluster.check()
    assert cluster.reply_by_id[request_id] == PatientAccepted(request_id)
    assert cluster.status(request_id, "t2").state is PatientState.NOT_FOUND
    status = cluster.status(request_id)
    assert (status.state, status.body) == (PatientState.DONE, b"x" * 600_000)
    assert cluster.head(request_id).fetched


def test_requests_over_the_bound_are_refused() -> None:
    """Guards against an unbounded queue."""
    cluster = PatientCluster(max_waiting=2)
    cluster.sim.run(0.2)
    ids = [cluster.submit() for _ in range(3)]
    cluster.sim.run(0.1)
    cluster.check()
    refused = PatientRefused(ids[2], PatientRefusal.TEAM_FULL)
    assert cluster.reply_by_id[ids[2]] == refused
    assert cluster.accepted() == ids[:2]


def test_service_down_means_not_run() -> None:
    """Guards against requests accepted in memory only."""
    cluster = PatientCluster()
    cluster.sim.run(0.2)
    request_id = cluster.submit("a")
    while request_id not in cluster.reply_by_id:
        write = cluster.sim.run_to_write(200)
        if write is not None:
            index = cluster.sim.parcels.index(write)
            cluster.sim.deliver(index, Fate.UNAVAILABLE)
        cluster.check()
    reply = PatientRefused(request_id, PatientRefusal.STORE_UNAVAILABLE)
    assert cluster.reply_by_id[request_id] == reply


def test_runner_gone() -> None:
    """Guards against a second run of a non-idempotent request, and a lost one."""
    for idempotent in (True, False):
        cluster = PatientCluster()
        cluster.move_owner("b")
        request_id = cluster.submit(idempotent=idempotent)
        while not cluster.starts:
            cluster.sim.run(0.05)
        runner = cluster.head(request_id).runner
        assert runner is not None and runner.instance_id == "a"
        cluster.start("a")
        cluster.announce()
        cluster.sim.run(4.0)
        cluster.check()
        head = cluster.head(request_id)
        if idempotent:
            assert head.state is PatientState.DONE
        else:
            assert head.failure is PatientFailure.OUTCOME_UNKNOWN


class PatientMachine(RuleBasedStateMachine):
    """Guards against lost accepted requests and a second run."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = PatientCluster()
        self.sim = self.cluster.sim

    @rule(instance=INSTANCES, idempotent=st.booleans(), large=st.booleans())
    def submit(self, instance: str, idempotent: bool, large: bool) -> None:
        size = 40_000 if large else 10
        self.cluster.submit(instance, idempotent, size)

    @precondition(lambda self: self.sim.parcels)
    @rule(index=st.integers(0, 9), fate=st.sampled_from(Fate), copy=st.booleans())
    def deliver(self, index: int, fate: Fate, copy: bool) -> None:
        self.sim.deliver(index, fate, copy and fate is Fate.ANSWERED)

    @rule(fate=FAILURES, apply_late=st.booleans())
    def fail_write(self, fate: Fate, apply_late: bool) -> None:
        write = self.sim.run_to_write()
        if write is not None:
            self.sim.deliver(self.sim.parcels.index(write), fate)
        if apply_late and self.sim.kv.late:
            self.sim.kv.apply_late()

    @rule(seconds=st.sampled_from([0.1, 0.6, 3.0]))
    def run(self, seconds: float) -> None:
        self.sim.run(seconds)

    @rule(owner=INSTANCES, stale=st.none() | INSTANCES)
    def move_owner(self, owner: str, stale: str | None) -> None:
        self.cluster.move_owner(owner, stale if stale != owner else None)

    @rule(instance=INSTANCES)
    def freeze_or_resume(self, instance: str) -> None:
        self.sim.frozen ^= {instance}

    @rule(instance=INSTANCES)
    def kill(self, instance: str) -> None:
        self.cluster.start(instance)
        self.cluster.announce()

    @invariant()
    def answers_hold(self) -> None:
        self.cluster.check()

    def teardown(self) -> None:
        """Without faults, every accepted request ends."""
        self.sim.frozen.clear()
        while self.sim.kv.late:
            self.sim.kv.apply_late()
        self.cluster.announce()
        self.cluster.move_owner("a")
        self.sim.run(45.0, step=0.25)
        self.cluster.check()
        for request_id in self.cluster.accepted():
            assert self.cluster.head(request_id).has_ended, request_id


TestPatientMachine = PatientMachine.TestCase
TestPatientMachine.settings = settings(max_examples=60, stateful_step_count=25)
