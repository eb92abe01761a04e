"""Non-idempotent calls run at most once, tested with real processes (R9, R10)."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from functools import partial

import gevent
import pytest

from siskinspool.standins.site import SitePlan, TrialSite, wait_until

from .builders_site import (
    Json,
    Reply,
    ask,
    count_runs,
    is_run_field_correct,
    run_concurrently,
    running_site,
    set_faults,
    set_service_faults,
    wait_idle,
)

PLAN = SitePlan(zones=("a",), instances=3, servers=1, services=2)


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[TrialSite]:
    with running_site(PLAN, tmp_path_factory.mktemp("claims")) as running:
        yield running


@pytest.fixture(autouse=True)
def _no_faults(site: TrialSite) -> Iterator[None]:
    yield
    set_service_faults(site, reset_after_run=0, delay_s=0)
    set_faults(site.platform.port, lose_answers=0, down=False, delay_s=0)


def _keep_breaker_closed(site: TrialSite, instance: int) -> None:
    """Send successful calls, so that failures in a row do not open the breaker."""
    for _ in range(6):
        assert ask(site, instance, "GET", "/stock", team="").status == 200


def deposit(site: TrialSite, instance: int, body: Json, key: str) -> Reply:
    """Send a deposit with an idempotency key."""
    return ask(site, instance, "POST", "/deposits", body, key=key)


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
@pytest.mark.parametrize("key", ["", "yes"])
@pytest.mark.parametrize("size", [10, 300_000])
def test_run_and_reset_runs_once(
    site: TrialSite, method: str, key: str, size: int
) -> None:
    """Guards against a second attempt after a server ran a call and reset."""
    ref = f"reset-{method}-{key}-{size}"
    set_service_faults(site, reset_after_run=1)
    idempotency_key = ref if key else ""
    body = {"ref": ref, "text": "x" * size}
    reply = ask(site, 0, method, "/deposits", body, key=idempotency_key)
    assert (reply.status, reply.run) == (502, "unknown")
    assert count_runs(site, ref) == 1
    if key:
        again = ask(site, 1, method, "/deposits", body, key=idempotency_key)
        assert again.run == "unknown"
        assert count_runs(site, ref) == 1
    _keep_breaker_closed(site, 0)


def test_refused_retry_is_not_reported_as_not_run(site: TrialSite) -> None:
    """Guards against "not run" after a first attempt that may have run (R9).

    Both services run their attempt and reset the connection, so no server is left.
    """
    set_service_faults(site, reset_after_run=1)
    reply = ask(
        site, 0, "POST", "/stock", {"ref": "second"}, team="", deadline_ms=1_000
    )
    assert count_runs(site, "second") == 2
    assert (reply.status, reply.run) == (504, "unknown")
    _keep_breaker_closed(site, 0)


def test_concurrent_requests_with_one_key_run_once(site: TrialSite) -> None:
    """Guards against two grants of one key at two instances."""
    set_service_faults(site, delay_s=0.1)
    for number in range(8):
        ref = f"both-{number}"
        replies = run_concurrently(
            [partial(deposit, site, i % 3, {"ref": ref}, ref) for i in range(6)]
        )
        assert count_runs(site, ref) == 1
        assert {reply.status for reply in replies} == {200}
        assert len({reply.body for reply in replies}) == 1
        replayed = [r.headers.get("idempotency-replayed") for r in replies]
        assert replayed.count("true") == 5


def test_lost_answers_of_the_store_run_once(site: TrialSite) -> None:
    """Guards against a second grant after a write whose answer was lost."""
    for number in range(6):
        ref = f"lost-{number}"
        set_faults(site.platform.port, lose_answers=1 + number % 3)
        replies = run_concurrently(
            [partial(deposit, site, i, {"ref": ref}, ref) for i in range(3)]
        )
        assert count_runs(site, ref) == 1
        assert {reply.status for reply in replies} == {200}


def test_store_down_refuses_not_run(site: TrialSite) -> None:
    """Guards against a run without a claim record, and a false "not run" (R9)."""
    set_faults(site.platform.port, down=True)
    reply = ask(
        site,
        0,
        "POST",
        "/deposits",
        {"ref": "down"},
        key="down",
        deadline_ms=1500,
    )
    assert (reply.status, reply.run) == (503, "not_run")
    assert count_runs(site, "down") == 0
    set_faults(site.platform.port, down=False)
    wait_until(
        lambda: (
            (
                ask(
                    site,
                    1,
                    "POST",
                    "/deposits",
                    {"ref": "down"},
                    key="down",
                )
            ).status
            == 200
        ),
        "the key can be used after the outage",
        10.0,
    )
    assert count_runs(site, "down") == 1


def test_other_body_is_refused(site: TrialSite) -> None:
    """Guards against replaying the answer of another request for a reused key."""
    first = ask(site, 0, "POST", "/deposits", {"ref": "mine"}, key="reuse")
    other = ask(site, 1, "POST", "/deposits", {"ref": "else"}, key="reuse")
    assert first.status == 200
    assert (other.status, other.code) == (422, "idempotency_key_reused")
    assert other.run == "not_run"
    assert count_runs(site, "else") == 0


def test_caller_that_disconnects_while_the_claim_waits_frees_the_key(
    site: TrialSite,
) -> None:
    """Guards against a key that stays claimed by a call that was never sent."""
    set_faults(site.platform.port, delay_s=0.6)
    with pytest.raises(OSError):
        ask(
            site,
            0,
            "POST",
            "/deposits",
            {"ref": "left"},
            key="left",
            timeout_s=0.3,
        )
    wait_idle(site, 0)
    set_faults(site.platform.port, delay_s=0)
    reply = ask(site, 1, "POST", "/deposits", {"ref": "left"}, key="left")
    assert (reply.status, count_runs(site, "left")) == (200, 1)


def test_killed_claimant_is_unknown(site: TrialSite) -> None:
    """Guards against a second run after the holder of a claim was killed."""
    set_service_faults(site, delay_s=3.0)
    body = {"ref": "killed"}
    lost = gevent.spawn(ask, site, 2, "POST", "/deposits", body, key="killed")
    wait_until(lambda: count_runs(site, "killed") == 1, "the deposit runs", 5.0)
    site.instance_by_id["instance-2"].signal(signal.SIGKILL)
    lost.join()
    # The session of the killed instance ends after at most 10 s; the rest is margin.
    reply = ask(
        site,
        0,
        "POST",
        "/deposits",
        body,
        key="killed",
        deadline_ms=20_000,
    )
    assert (reply.status, reply.run) == (409, "unknown")
    assert is_run_field_correct(reply, count_runs(site, "killed"))
    assert count_runs(site, "killed") == 1
