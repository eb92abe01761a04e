"""The quarantine of crashing prompt parts, decided by many gateways together."""

from __future__ import annotations

import random

import pytest

from siskinspool.gateway.crash_ledger import SETTLE_S, SuspectGroup
from siskinspool.gateway.quarantine import (
    CERTAIN_HOLD_S,
    MAX_HOLD_S,
    PROBE_STAGGER_S,
    hold_s,
)
from siskinspool.gateway.quarantine_gate import (
    PROBE_TIMEOUT_S,
    GateResult,
    QuarantineGate,
)
from siskinspool.gateway.quarantine_messages import QuarantinedParts

from .builders_quarantine import ANSWER_S, CRASHING, QuarantineFleet, broken

# The rule on such requests: crashes before it applies, the time that gateways have to
# agree, and the requests that may still reach servers after that.
ALLOWED_CRASHES = 5
CONTACT_S = 3.0
LATE_REQUESTS = 3
# Limit on what a gateway may send for control.
CONTROL_BYTES_PER_S = 2_000


def play_day(
    fleet: QuarantineFleet, seconds: float, per_s: float, crashing_share: float
) -> None:
    """Send requests at random gateways; some have the crashing part."""
    rng = random.Random(fleet.seed + 1)
    until = fleet.now + seconds
    number = 0
    while fleet.now < until:
        fleet.run(rng.expovariate(per_s))
        number += 1
        parts = [f"first-{rng.randrange(3)}", f"subject-{rng.randrange(48)}"]
        if rng.random() < crashing_share:
            parts.append(CRASHING)
        fleet.send(rng.choice(fleet.ids), *parts)
    fleet.run(1.0)


@pytest.mark.parametrize("shows_begun", [True, False])
@pytest.mark.parametrize("count", [1, 6, 40])
@pytest.mark.parametrize("seed", range(5))
def test_crashing_part_is_refused_everywhere_in_time(
    count: int, seed: int, shows_begun: bool
) -> None:
    """Guards against requests that keep crashing servers (BUDGET).

    Sound requests with the same other parts must go on (LOST).
    """
    fleet = QuarantineFleet(count, seed, shows_begun=shows_begun)
    play_day(fleet, seconds=20.0, per_s=40.0, crashing_share=0.1)
    if len(fleet.crashes) > ALLOWED_CRASHES:
        late_from = fleet.crashes[ALLOWED_CRASHES - 1] + CONTACT_S
        late = [at for at in fleet.crashes if at > late_from]
        assert len(late) <= LATE_REQUESTS
    sound_refused = [parts for parts in fleet.refused if CRASHING not in parts]
    assert len(sound_refused) <= 0.02 * len(fleet.served)
    assert len(fleet.refused) - len(sound_refused) >= 20


@pytest.mark.parametrize("seed", range(5))
def test_ordinary_crashes_quarantine_nothing_for_long(seed: int) -> None:
    """Guards against parts that are refused because servers crash for other reasons."""
    fleet = QuarantineFleet(6, seed, shows_begun=False)
    rng = random.Random(seed)
    for _ in range(8):
        play_day(fleet, seconds=1.0, per_s=40.0, crashing_share=0.0)
        for server in rng.sample(range(10), 3):
            fleet.end_server(server)
    assert len(fleet.refused) <= 0.02 * len(fleet.served)
    play_day(fleet, seconds=10.0, per_s=40.0, crashing_share=0.0)
    assert fleet.quarantined("g0") == []


def crash_twice(fleet: QuarantineFleet, gateway_id: str, *part_ids: str) -> None:
    """Report two crashes by requests with these parts."""
    for number in (1001, 1002):
        fleet.post(gateway_id, broken(number, *part_ids))


def test_news_reaches_all_gateways_of_the_target_within_its_bytes() -> None:
    """Guards against a cost of the evidence that grows with the number of gateways."""
    fleet = QuarantineFleet(410)
    crash_twice(fleet, "g7", "first", "subject", CRASHING)
    fleet.run(0.5)
    held = {gateway: fleet.quarantined(gateway) for gateway in fleet.ids}
    assert all(held.values()), [name for name, found in held.items() if not found]
    fleet.sent_bytes_by_gateway.clear()
    fleet.run(10.0)
    assert max(fleet.sent_bytes_by_gateway.values()) < 10 * CONTROL_BYTES_PER_S


def test_gateway_that_starts_later_learns_what_is_held() -> None:
    """Guards against a restarted gateway that sends what the others refuse."""
    fleet = QuarantineFleet(6)
    crash_twice(fleet, "g1", CRASHING)
    fleet.run(1.0)
    fleet.start_gateway("g2")
    fleet.run(0.1)
    assert fleet.quarantined("g2") == [{CRASHING}]


def test_gateway_that_was_cut_off_learns_what_is_held() -> None:
    """Guards against news that is lost for good because a link was cut."""
    fleet = QuarantineFleet(6)
    fleet.cut_off.add("g2")
    crash_twice(fleet, "g1", CRASHING)
    fleet.run(5.0)
    assert fleet.quarantined("g2") == []
    fleet.cut_off.clear()
    fleet.run(10.0)
    assert fleet.quarantined("g2") == [{CRASHING}]


def test_requests_in_flight_are_ended_before_they_crash_their_servers() -> None:
    """Guards against requests that were queued at servers when the part was found."""
    fleet = QuarantineFleet(6)
    for number in range(6):
        fleet.send(f"g{number}", CRASHING, f"own-{number}", server=number)
    fleet.run(ANSWER_S / 2)
    crash_twice(fleet, "g0", CRASHING)
    fleet.run(1.0)
    assert fleet.crashes == []


def test_group_ends_with_a_single_probe_that_is_served() -> None:
    """Guards against a part that is refused for ever, and against many probes."""
    fleet = QuarantineFleet(6)
    crash_twice(fleet, "g1", "subject")
    fleet.run(CERTAIN_HOLD_S - 1.0)
    assert not any(fleet.send(gateway, "subject") for gateway in fleet.ids)
    fleet.run(1.0 + 6 * PROBE_STAGGER_S)
    passed = [
        gateway
        for gateway in fleet.ids
        for _ in range(3)
        if fleet.send(gateway, "subject")
    ]
    assert len(passed) == len(set(passed))
    fleet.run(1.0)
    assert all(fleet.quarantined(gateway) == [] for gateway in fleet.ids)


def test_probe_that_crashes_holds_the_part_longer() -> None:
    """Guards against probes that crash one server after the other."""
    fleet = QuarantineFleet(6)
    crash_twice(fleet, "g1", CRASHING)
    started_at = fleet.now
    while fleet.now < started_at + 10 * 60:
        fleet.run(0.5)
        fleet.send(fleet.rng.choice(fleet.ids), CRASHING)
    # Probes after 60, 120, 240 and 300 s at most, and few gateways at a time.
    assert len(fleet.crashes) <= ALLOWED_CRASHES


def test_hold_is_bounded() -> None:
    """Guards against an overflow after many crashes."""
    group = SuspectGroup(frozenset({"part"}), 64, 0.0, is_certain=False)
    assert hold_s(group) == MAX_HOLD_S


def test_refusal_beside_a_probe_tells_a_finite_time() -> None:
    """Guards against a Retry-After that no requester can read."""
    gate = QuarantineGate()
    gate.update((QuarantinedParts(frozenset({"part"}), probe_from=5.0),))
    assert gate.check(["part", "own"], 6.0).result is GateResult.PROBE
    gate.close(frozenset({"part"}), 6.0)
    beside = gate.check(["part", "own"], 6.1)
    assert beside.result is GateResult.CLOSED
    assert 0.0 < beside.retry_after_s <= PROBE_TIMEOUT_S


def test_crashes_without_an_answer_are_judged_as_soon_as_they_settle() -> None:
    """Guards against a conclusion that waits for the next message or repair."""
    fleet = QuarantineFleet(6)
    for number in (1001, 1002):
        fleet.post("g1", broken(number, CRASHING, has_begun=False))
    fleet.run(SETTLE_S + 0.05)
    assert all(fleet.quarantined(gateway) == [{CRASHING}] for gateway in fleet.ids)
