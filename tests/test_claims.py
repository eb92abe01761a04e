"""Schedules of claims with one failure each (R9, R10)."""

from __future__ import annotations

import pytest

from siskinspool.contracts.claim_log import RETENTION_S, ClaimLog, ClaimRecord, Entry
from siskinspool.contracts.claim_messages import (
    ClaimGranted,
    ClaimMismatch,
    ClaimOutcome,
    ClaimReplayed,
    ClaimUnavailable,
    ClaimUnknown,
    InstanceIncarnation,
)
from tests.builders_claims import ClaimAttempt, ClaimCluster, DeliveryOutcome


def run_and_reply(
    cluster: ClaimCluster, attempt: ClaimAttempt, seconds: float = 1.0
) -> object:
    """Run without faults and return the reply to the handler."""
    cluster.sim.run(seconds)
    cluster.check()
    return attempt.reply


@pytest.fixture
def cluster() -> ClaimCluster:
    cluster = ClaimCluster()
    for observer in ("a", "b", "c"):
        cluster.set_owner(observer, "a")
    return cluster


@pytest.mark.parametrize(
    "fate", [DeliveryOutcome.LOST_AFTER, DeliveryOutcome.LOST_LATE]
)
def test_lost_write_of_expired_claim_frees_key(
    cluster: ClaimCluster, fate: DeliveryOutcome
) -> None:
    """Guards against a key that a lost write claims for a call that was refused."""
    first = cluster.request_claim("a", deadline_in_s=1.0)
    while True:
        write = cluster.sim.run_to_write()
        if write is None or first.reply is not None:
            break
        cluster.sim.deliver(cluster.sim.pending.index(write), fate)
        fate = DeliveryOutcome.UNAVAILABLE
        cluster.check()
    cluster.check()
    assert first.reply == ClaimUnavailable()
    if cluster.sim.kv.delayed:
        cluster.sim.kv.apply_late()
    cluster.sim.run(2.0)
    assert isinstance(run_and_reply(cluster, cluster.request_claim("b")), ClaimGranted)


def test_late_forward_of_expired_claim_frees_key(cluster: ClaimCluster) -> None:
    """Guards against a key claimed by a forwarded claim that arrives too late."""
    first = cluster.request_claim("b", deadline_in_s=0.3)
    delayed = cluster.sim.pending.pop()
    assert run_and_reply(cluster, first) == ClaimUnavailable()
    cluster.sim.pending.append(delayed)
    cluster.sim.run(1.0)
    assert isinstance(run_and_reply(cluster, cluster.request_claim("c")), ClaimGranted)
    assert len(cluster.sim.kv.item_by_key) <= 3


def test_restarted_numbering_is_detected(cluster: ClaimCluster) -> None:
    """Guards against two grants by logs that diverge once all entries have expired."""
    run_and_reply(cluster, cluster.request_claim("a", key="old"))
    cluster.sim.kv.item_by_key.clear()
    cluster.sim.now += RETENTION_S + 3600.0
    cluster.set_owner("c", "c")
    assert isinstance(run_and_reply(cluster, cluster.request_claim("c")), ClaimGranted)
    second = cluster.request_claim("a", deadline_in_s=2.0)
    assert run_and_reply(cluster, second, 3.0) == ClaimUnknown()


def test_grant_after_deadline_is_not_used(cluster: ClaimCluster) -> None:
    """Guards against a call that a paused instance sends after its deadline."""
    first = cluster.request_claim("b", deadline_in_s=1.0)
    cluster.sim.frozen.add("b")
    cluster.sim.deliver(0)
    cluster.sim.run(0.5)
    cluster.sim.now += 5.0
    cluster.sim.frozen.clear()
    while cluster.sim.pending:
        cluster.sim.deliver(0)
        cluster.check()
        if first.reply is not None:
            break
    assert first.reply == ClaimUnavailable()


def test_silent_owner_is_bypassed(cluster: ClaimCluster) -> None:
    """Guards against calls that are refused because the shard's owner hangs."""
    cluster.sim.frozen.add("a")
    assert isinstance(run_and_reply(cluster, cluster.request_claim("b")), ClaimGranted)


def test_answer_written_before_claimant_died_is_replayed(
    cluster: ClaimCluster,
) -> None:
    """Guards against the reply "unknown" when the log was not read to its end."""
    first = cluster.request_claim("b")
    run_and_reply(cluster, first)
    cluster.set_owner("b", "b")
    second = cluster.request_claim("a", deadline_in_s=20.0)
    run_and_reply(cluster, second, 0.2)
    cluster.sim.frozen.add("a")
    cluster.finish(first, 30_000)
    cluster.sim.run(1.0)
    cluster.kill("b")
    cluster.sim.frozen.clear()
    cluster.announce()
    reply = run_and_reply(cluster, second, 5.0)
    assert isinstance(reply, ClaimReplayed) and reply.body == first.answer


def test_ended_claimant_means_unknown(cluster: ClaimCluster) -> None:
    """Guards against a second run of a call whose instance died."""
    run_and_reply(cluster, cluster.request_claim("b"))
    cluster.kill("b")
    cluster.announce()
    second = cluster.request_claim("c", deadline_in_s=20.0)
    assert run_and_reply(cluster, second, 5.0) == ClaimUnknown()


def test_other_body_is_refused(cluster: ClaimCluster) -> None:
    """Guards against replaying the answer of another call for a reused key."""
    run_and_reply(cluster, cluster.request_claim("b"))
    assert (
        run_and_reply(cluster, cluster.request_claim("c", body="other"))
        == ClaimMismatch()
    )


def test_answer_over_part_size_is_replayed(cluster: ClaimCluster) -> None:
    """Guards against values over the service's limit and truncated answers (R8)."""
    first = cluster.request_claim("b")
    run_and_reply(cluster, first)
    cluster.finish(first, 600_000)
    reply = run_and_reply(cluster, cluster.request_claim("c"), 2.0)
    assert cluster.recorded == {first.token}
    assert isinstance(reply, ClaimReplayed) and reply.body == first.answer
    sizes = [len(item.value) for item in cluster.sim.kv.item_by_key.values()]
    assert max(sizes) <= 512 * 1024


def test_claim_after_expired_holder_holds_key() -> None:
    """Guards against two grants by instances that expire a key at different times."""
    log = ClaimLog()
    claims = [
        ClaimRecord("team", "k", "b", token, InstanceIncarnation("a", "1"))
        for token in ("t0", "t1", "t2")
    ]
    log.apply(1, Entry((claims[0],)), 0.0)
    log.apply(2, Entry((claims[1],)), 10.0)
    assert log.evaluate(claims[0]).outcome is ClaimOutcome.GRANTED
    log.expire(RETENTION_S)
    assert log.evaluate(claims[1]).outcome is ClaimOutcome.GRANTED
    assert log.evaluate(claims[2]).outcome is ClaimOutcome.RUNNING
