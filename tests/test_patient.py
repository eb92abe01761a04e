"""Patient requests: schedules with one failure and a state machine (R3, R9, R10)."""

from __future__ import annotations

import pytest
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
from siskinspool.contracts.patient_shard import RUNNER_ABSENCE_S
from siskinspool.machines.messages import CatalogChanged, OwnershipLost
from tests.builders import catalog, team
from tests.builders_claims import DeliveryOutcome
from tests.builders_patient import PatientCluster

INSTANCES = st.sampled_from(["a", "b", "c"])
FAILURES = st.sampled_from(
    [fate for fate in DeliveryOutcome if fate is not DeliveryOutcome.ANSWERED]
)


def test_large_request_is_run_and_answered() -> None:
    """Guards against lost or truncated answers, and leaks to another team (R4)."""
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
    """Guards against requests that are accepted but not stored."""
    cluster = PatientCluster()
    cluster.sim.run(0.2)
    request_id = cluster.submit("a")
    reason = fail_writes_until_reply(cluster, request_id)
    assert reason is PatientRefusal.STORE_UNAVAILABLE


def test_runner_gone() -> None:
    """Guards against a non-idempotent request that runs twice, and a lost request."""
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


@pytest.mark.parametrize("returns", [True, False], ids=["returns", "gone"])
def test_runner_that_is_silent_is_not_given_up_at_once(returns: bool) -> None:
    """Guards against dropping the answer of an instance that was only paused.

    Its session expires meanwhile, and a non-idempotent request cannot run elsewhere.
    """
    cluster = PatientCluster()
    cluster.move_owner("b")
    request_id = cluster.submit()
    while not cluster.starts:
        cluster.sim.run(0.05)
    cluster.sim.frozen.add("a")
    cluster.announce(absent="a")
    cluster.sim.run(RUNNER_ABSENCE_S / 2, step=0.5)
    assert cluster.head(request_id).state is PatientState.RUNNING
    if returns:
        cluster.sim.frozen.discard("a")
        cluster.announce()
    cluster.sim.run(RUNNER_ABSENCE_S, step=0.5)
    cluster.check()
    head = cluster.head(request_id)
    if returns:
        assert head.state is PatientState.DONE
    else:
        assert head.failure is PatientFailure.OUTCOME_UNKNOWN
    assert cluster.starts == [request_id]


def fail_writes_until_reply(cluster: PatientCluster, request_id: str) -> PatientRefusal:
    """Let all writes fail until the request is refused; return the reason."""
    while request_id not in cluster.reply_by_id:
        write = cluster.sim.run_to_write(200)
        if write is not None:
            index = cluster.sim.pending.index(write)
            cluster.sim.deliver(index, DeliveryOutcome.UNAVAILABLE)
        cluster.check()
    reply = cluster.reply_by_id[request_id]
    assert isinstance(reply, PatientRefused)
    return reply.reason


def lose_answer_of_write(cluster: PatientCluster) -> None:
    """Let the next write take effect but lose its answer."""
    write = cluster.sim.run_to_write()
    assert write is not None
    cluster.sim.deliver(cluster.sim.pending.index(write), DeliveryOutcome.LOST_AFTER)


def test_lost_write_is_not_refused_as_not_run() -> None:
    """Guards against "not run" for a request that a lost write stored (R9)."""
    cluster = PatientCluster()
    request_id = cluster.submit("a")
    lose_answer_of_write(cluster)
    reason = fail_writes_until_reply(cluster, request_id)
    assert reason is PatientRefusal.OUTCOME_UNKNOWN
    cluster.sim.run(5.0)
    assert cluster.head(request_id).state is PatientState.DONE


def test_lost_write_is_accepted_when_found() -> None:
    """Guards against mistaking the first copy of a write for another owner's write."""
    cluster = PatientCluster()
    request_id = cluster.submit("a")
    lose_answer_of_write(cluster)
    cluster.sim.run(0.3)
    cluster.check()
    assert cluster.accepted() == [request_id]


def test_paused_owner_does_not_start_a_request_again() -> None:
    """Guards against a run whose assignment was not written."""
    cluster = PatientCluster()
    cluster.submit("a")
    accept_write = cluster.sim.run_to_write()
    assert accept_write is not None
    cluster.sim.deliver(cluster.sim.pending.index(accept_write))
    assign_write = cluster.sim.run_to_write()
    assert assign_write is not None
    cluster.sim.pending.remove(assign_write)
    cluster.move_owner("b", stale="a")
    cluster.sim.run(0.3)
    cluster.sim.pending.append(assign_write)
    cluster.sim.run(40.0, step=0.2)
    cluster.check()
    assert cluster.starts == ["r0"]


def test_request_accepted_by_former_owner_is_run() -> None:
    """Guards against losing a head that is written after the new owner's listing."""
    cluster = PatientCluster()
    request_id = cluster.submit("a")
    accept_write = cluster.sim.run_to_write()
    assert accept_write is not None
    cluster.sim.pending.remove(accept_write)
    cluster.move_owner("b", stale="a")
    cluster.sim.run(1.0)
    cluster.sim.pending.append(accept_write)
    cluster.sim.deliver(len(cluster.sim.pending) - 1)
    cluster.check()
    assert cluster.accepted() == [request_id]
    cluster.send("a", OwnershipLost("patient/0"))
    cluster.sim.pending.clear()
    cluster.sim.run(45.0, step=0.2)
    assert cluster.head(request_id).state is PatientState.DONE


def test_returned_request_runs_elsewhere_once() -> None:
    """Guards against a planned stop that loses or repeats a request (R10, R12)."""
    cluster = PatientCluster()
    cluster.sim.run(0.2)
    runners = [cluster.stop_runner("a"), cluster.stop_runner("b")]
    ids = [cluster.submit("c", idempotent=False) for _ in range(3)]
    cluster.sim.run(30.0)
    assert sorted(cluster.starts) == sorted(ids)
    assert [cluster.head(name).state for name in ids] == [PatientState.DONE] * 3
    assert [runner.run_by_token for runner in runners] == [{}, {}]


def test_copy_of_refused_request_is_refused() -> None:
    """Guards against a late copy that runs after the reply "not run" (R9)."""
    cluster = PatientCluster(max_waiting=1)
    cluster.sim.run(0.2)
    cluster.submit("b")
    request_id = cluster.submit("b")
    copies = cluster.sim.pending[-1:]
    cluster.sim.run(4.0)
    cluster.sim.pending += copies
    cluster.sim.run(4.0)
    cluster.check()
    refused = PatientRefused(request_id, PatientRefusal.TEAM_FULL)
    assert cluster.reply_by_id[request_id] == refused


def test_refusal_of_second_owner_is_unknown() -> None:
    """Guards against "not run" while a former owner may accept a copy (R9)."""
    cluster = PatientCluster(max_waiting=1)
    cluster.sim.run(0.2)
    cluster.sim.frozen.add("a")
    request_id = cluster.submit("c")
    cluster.move_owner("b", stale="a")
    cluster.send("b", CatalogChanged(catalog(teams=(team("t9"),))))
    cluster.sim.run(3.0)
    cluster.check()
    reply = cluster.reply_by_id[request_id]
    assert reply == PatientRefused(request_id, PatientRefusal.OUTCOME_UNKNOWN)


class PatientMachine(RuleBasedStateMachine):
    """Guards against the loss of accepted requests and against second runs."""

    def __init__(self) -> None:
        super().__init__()
        self.cluster = PatientCluster()
        self.sim = self.cluster.sim

    @rule(instance=INSTANCES, idempotent=st.booleans(), large=st.booleans())
    def submit(self, instance: str, idempotent: bool, large: bool) -> None:
        size = 40_000 if large else 10
        self.cluster.submit(instance, idempotent, size)

    @precondition(lambda self: self.sim.pending)
    @rule(
        index=st.integers(0, 9),
        fate=st.sampled_from(DeliveryOutcome),
        copy=st.booleans(),
    )
    def deliver(self, index: int, fate: DeliveryOutcome, copy: bool) -> None:
        self.sim.deliver(index, fate, copy and fate is DeliveryOutcome.ANSWERED)

    @rule(fate=FAILURES, apply_late=st.booleans())
    def fail_write(self, fate: DeliveryOutcome, apply_late: bool) -> None:
        write = self.sim.run_to_write()
        if write is not None:
            self.sim.deliver(self.sim.pending.index(write), fate)
        if apply_late and self.sim.kv.delayed:
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
        """Check that every accepted request ends once faults end."""
        self.sim.frozen.clear()
        while self.sim.kv.delayed:
            self.sim.kv.apply_late()
        self.cluster.announce()
        self.cluster.move_owner("a")
        self.sim.run(45.0, step=0.25)
        self.cluster.check()
        for request_id in self.cluster.accepted():
            assert self.cluster.head(request_id).has_ended, request_id


TestPatientMachine = PatientMachine.TestCase
TestPatientMachine.settings = settings(max_examples=max(60, settings().max_examples))
