"""Tests of the load tool's schedule, classification and statistics."""

from __future__ import annotations

import pytest

from siskinspool.manifest.model import Team
from siskinspool.standins.load import LoadTarget, _AnswerReader
from siskinspool.standins.load_results import (
    RequestResult,
    count_refusals,
    goodput_tokens,
    percentile,
    summarize,
)
from siskinspool.standins.load_schedule import (
    Arrival,
    BurstFlow,
    RequestKind,
    SteadyFlow,
    build_schedule,
)
from siskinspool.standins.measure_parts import admitted_centrally, idle_seconds
from tests.builders_load import make_arrival, make_result, make_stream

KIND = RequestKind(team="guild", targets=("quote", "ledger"), instances=(0, 1, 2))


@pytest.mark.parametrize(
    ("share", "expected"), [(0.5, 50), (0.95, 95), (0.99, 99), (1.0, 100)]
)
def test_percentile_of_hundred_values(share: float, expected: int) -> None:
    """Guards against a percentile that is off by one rank."""
    assert percentile([float(n) for n in range(100, 0, -1)], share) == expected


def test_percentile_of_few_values_is_the_maximum() -> None:
    """Guards against a small sample whose percentiles leave out the tail (M1)."""
    assert percentile([1.0, 9.0, 2.0], 0.99) == 9.0


def test_refusals_are_counted_by_code_and_run_state() -> None:
    """Guards against one count for refusals with different run states (R9)."""
    results = [
        make_result(code="rate_exceeded", run="not_run"),
        make_result(code="rate_exceeded", run="not_run"),
        make_result(code="server_failed", run="unknown"),
        make_result(),
    ]
    assert count_refusals(results) == {
        "rate_exceeded/not_run": 2,
        "server_failed/unknown": 1,
    }
    assert summarize(results).ok_share == 0.25


def test_refused_requests_add_no_time_and_no_goodput() -> None:
    """Guards against fast refusals that improve the times of an overloaded system."""
    results: list[RequestResult] = [
        make_result(first_token_s=2.0),
        make_result(code="queue_full", run="not_run", first_token_s=0.001),
    ]
    summary = summarize(results)
    assert summary.first_token_s is not None
    assert summary.first_token_s.p50 == 2.0
    assert goodput_tokens(results) == results[0].arrival.max_tokens


def test_schedule_depends_on_the_seed_only() -> None:
    """Guards against different arrivals at the arms of a comparison."""
    flows = (
        SteadyFlow(kind=KIND, per_s=50, duration_s=4),
        BurstFlow(kind=KIND, at_s=1.0, per_instance=2),
    )
    assert build_schedule(flows, 7) == build_schedule(flows, 7)
    assert build_schedule(flows, 7) != build_schedule(flows, 8)
    # The arrivals of a flow do not depend on the other flows.
    steady: set[Arrival] = set(build_schedule(flows[:1], 7))
    assert steady < set(build_schedule(flows, 7))


def test_schedule_keeps_rate_and_order() -> None:
    """Guards against load at another rate than the flow states."""
    schedule = build_schedule([SteadyFlow(kind=KIND, per_s=100, duration_s=50)], 3)
    times = [arrival.at_s for arrival in schedule]
    assert times == sorted(times)
    assert 4500 < len(schedule) < 5500


def test_burst_reaches_every_instance() -> None:
    """Guards against a cold-start burst that misses instances (M1)."""
    burst = build_schedule([BurstFlow(kind=KIND, at_s=2.0, per_instance=3)], 1)
    assert sorted(arrival.instance for arrival in burst) == [0] * 3 + [1] * 3 + [2] * 3
    assert all(2.0 <= arrival.at_s <= 2.1 for arrival in burst)


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (make_stream(tokens=3, last_chunk=True), ""),
        (make_stream(tokens=3, last_chunk=False), "incomplete"),
        (make_stream(tokens=2, last_chunk=True), "incomplete"),
        (b"", "no_answer"),
        (b"HTTP/1.1 503 x\r\n\r\nnot json", "status_503"),
    ],
)
def test_cut_streams_are_not_counted_as_answers(data: bytes, code: str) -> None:
    """Guards against a cut stream that counts as a complete answer (R8)."""
    reader = _AnswerReader(make_arrival(max_tokens=3, streamed=True), 0.0, 0.0)
    reader.add(data, 0.5)
    assert reader.result(1.0).code == code


def test_first_token_is_not_the_head() -> None:
    """Guards against a response head that counts as the first token."""
    reader = _AnswerReader(make_arrival(max_tokens=3, streamed=True), 0.0, 0.0)
    head, _, body = make_stream(tokens=3, last_chunk=True).partition(b"\r\n\r\n")
    reader.add(head + b"\r\n\r\n", 0.5)
    reader.add(body, 0.75)
    assert reader.result(1.0).first_token_s == 0.75


def test_load_goes_to_loopback_by_default() -> None:
    """Guards against a default that sends load to a host other than loopback."""
    assert LoadTarget(ports=(), key_by_team={}).host == "127.0.0.1"


def test_reference_bucket_admits_the_burst_and_then_the_rate() -> None:
    """Guards against a reference that admits requests above the rate (M4)."""
    team = Team(id="guild", rate=10, burst=30)
    schedule = [make_arrival(at_s=at_s) for at_s in (0.0, 0.0, 0.0, 0.0, 1.0, 1.0)]
    admitted = admitted_centrally(schedule, [10] * 6, {"guild": team})
    assert admitted == [True, True, True, False, True, False]


def test_replica_is_idle_only_without_a_request_of_its_model() -> None:
    """Guards against replicas with in-flight requests that count as idle (M2)."""
    busy = make_result(first_token_s=0.9)
    samples = [(0.5, ["quote", "ledger"]), (2.0, ["quote"])]
    assert idle_seconds(samples, [busy]) == pytest.approx(0.5)
