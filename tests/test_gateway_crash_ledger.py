"""The diagnosis of crashes from the prompt parts of the requests that they broke."""

from __future__ import annotations

import copy
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from siskinspool.gateway.crash_ledger import (
    CRASH_TTL_S,
    MAX_CRASHES,
    MAX_PARTS_PER_CRASH,
    MAX_REQUIRED_CRASHES,
    MAX_SERVED_PARTS,
    SETTLE_S,
    CrashLedger,
)
from siskinspool.gateway.quarantine_messages import CrashEvidence, CrashReport

from .builders_quarantine import boot

NOW = 1000.0


def record_crash(
    ledger: CrashLedger,
    number: int,
    *part_ids: str,
    at: float = NOW,
    has_begun: bool = True,
) -> bool:
    """Record that the end of server ``number`` broke a request with these parts."""
    return ledger.record_broken(boot(number), part_ids, at, has_begun=has_begun)


def groups(ledger: CrashLedger, now: float = NOW) -> list[set[str]]:
    """Return the groups of suspected parts."""
    return [set(group.part_ids) for group in ledger.diagnose(now)]


def test_single_crash_proves_nothing() -> None:
    """Guards against refusing requests that were merely there when a server ended."""
    ledger = CrashLedger()
    record_crash(ledger, 1, "first", "crashing")
    assert groups(ledger) == []


def test_one_crash_reported_by_several_requests_counts_once() -> None:
    """Guards against a part that counts once for each request of a single crash."""
    ledger = CrashLedger()
    for number in range(5):
        record_crash(ledger, 1, "first", f"subject-{number}")
    assert groups(ledger) == []


def test_common_part_is_found_and_the_rest_is_cleared() -> None:
    """Guards against refusing the sound parts that a crashing request shares."""
    ledger = CrashLedger()
    record_crash(ledger, 1, "first", "subject", "crashing")
    record_crash(ledger, 2, "first", "subject", "crashing", at=NOW + 1)
    assert groups(ledger, NOW + 1) == [{"first", "subject", "crashing"}]
    assert ledger.record_served(("first", "other"), NOW + 2) == ["first"]
    assert groups(ledger, NOW + 2) == [{"subject", "crashing"}]
    record_crash(ledger, 3, "first", "elsewhere", "crashing", at=NOW + 3)
    assert groups(ledger, NOW + 3) == [{"crashing"}]


def test_served_part_is_released() -> None:
    """Guards against a part that stays refused although servers survive it."""
    ledger = CrashLedger()
    record_crash(ledger, 1, "subject")
    record_crash(ledger, 2, "subject")
    assert groups(ledger) == [{"subject"}]
    ledger.record_served(("subject",), NOW + 1)
    assert groups(ledger, NOW + 1) == []


def test_part_that_was_just_served_needs_more_crashes() -> None:
    """Guards against refusing a common part after two crashes in a row."""
    ledger = CrashLedger()
    ledger.record_served(("common",), NOW - 1)
    record_crash(ledger, 1, "common")
    record_crash(ledger, 2, "common")
    assert groups(ledger) == []
    record_crash(ledger, 3, "common")
    assert groups(ledger) == [{"common"}]


def test_shared_beginning_is_not_blamed_for_an_unrelated_crash() -> None:
    """Guards against a verdict on a part that most requests of a kind share.

    A third crash, which broke only sound neighbours, moved the verdict from the real
    part to the beginning, and nine tenths of the kind were refused for the day.
    """
    ledger = CrashLedger()
    ledger.record_served(("beginning", "other"), NOW - 1)
    record_crash(ledger, 1, "beginning", "subject", "real")
    record_crash(ledger, 2, "beginning", "subject", "real", at=NOW + 1)
    record_crash(ledger, 3, "beginning", "neighbour", at=NOW + 1.5)
    assert groups(ledger, NOW + 2) == [{"subject", "real"}]


def test_share_of_the_served_requests_decides_how_many_crashes_are_enough() -> None:
    """Guards against a verdict by chance, and against a common part never suspected.

    The shared beginning of nine requests in ten was held for three crashes that had
    other causes, and all requests with it were refused.
    """
    ledger = CrashLedger()
    for number in range(100):
        ledger.record_served(["rare"] if number % 10 == 0 else ["common"], NOW - 1)
    for number in range(MAX_REQUIRED_CRASHES):
        assert groups(ledger) == []
        if number == 3:
            # Others are served meanwhile, so it is no chance that this part is not.
            other = copy.deepcopy(ledger)
            for _ in range(3):
                other.record_served(["rare"], NOW)
            assert groups(other) == [{"common"}]
        record_crash(ledger, number, "common", f"own-{number}")
    assert groups(ledger) == [{"common"}]
    ledger.record_served(["common"], NOW + 1)
    assert groups(ledger, NOW + 1) == []


def test_verdict_on_parts_that_were_just_served_is_not_certain() -> None:
    """Guards against a long hold of a sound part, which nobody can then clear."""
    ledger = CrashLedger()
    ledger.record_served(("beginning",), NOW - 1)
    for number in range(3):
        own = f"own-{number}"
        record_crash(ledger, number, "beginning", own, at=NOW + number / 10)
    (group,) = ledger.diagnose(NOW + 1)
    assert group.part_ids == {"beginning"}
    assert not group.is_certain


@settings(max_examples=200)
@given(st.randoms(use_true_random=False))
def test_real_part_is_found_and_sound_parts_are_served(rng: random.Random) -> None:
    """Guards against verdicts on parts that are in the crashes by chance."""
    ledger = CrashLedger()
    # One beginning is shared by nine tenths of the requests.
    beginnings = ["beginning"] * 9 + ["rare-beginning"]

    def sound() -> tuple[str, str, str]:
        subject = f"subject-{rng.randrange(40)}"
        return rng.choice(beginnings), subject, f"own-{rng.randrange(10**9)}"

    for _ in range(100):
        ledger.record_served(sound(), NOW - 1)

    now, crashes = NOW, 0
    while not any("real" in group for group in groups(ledger, now)):
        # Several crashes may come before a beginning is served once more.
        if rng.random() < 0.3:
            for _ in range(20):
                ledger.record_served(sound(), now)
        now += rng.uniform(0.1, 1.0)
        boot_number = rng.randrange(10**9)
        for _ in range(rng.randrange(1, 3)):
            record_crash(ledger, boot_number, *sound(), at=now)
        if rng.random() < 0.6:
            crashes += 1
            crashing = (rng.choice(beginnings), f"subject-{rng.randrange(40)}", "real")
            record_crash(ledger, boot_number, *crashing, at=now)
        now += SETTLE_S
    assert crashes <= 4
    held = groups(ledger, now)
    requests = [set(sound()) for _ in range(300)]
    refused = [one for one in requests if any(group <= one for group in held)]
    assert len(refused) < len(requests) / 10


def test_answer_that_had_begun_goes_before_requests_that_waited() -> None:
    """Guards against blaming requests that waited behind the one that crashed.

    They often move together from one ended server to the next.
    """
    ledger = CrashLedger()
    for number in (1, 2):
        record_crash(ledger, number, "waiting", has_begun=False)
        record_crash(ledger, number, "crashing", f"own-{number}")
    later = NOW + SETTLE_S
    assert groups(ledger, later) == [{"crashing"}]
    assert ledger.diagnose(later)[0].is_certain


def test_requests_without_an_answer_are_considered_when_reports_are_in() -> None:
    """Guards against a conclusion before other gateways have reported the crash."""
    ledger = CrashLedger()
    record_crash(ledger, 1, "waiting", has_begun=False)
    record_crash(ledger, 2, "waiting", has_begun=False)
    assert groups(ledger, NOW + SETTLE_S / 2) == []
    assert groups(ledger, NOW + SETTLE_S) == [{"waiting"}]


def test_two_crashing_parts_are_both_found() -> None:
    """Guards against a second crashing part that hides behind the first."""
    ledger = CrashLedger()
    for number in range(4):
        record_crash(ledger, number, "crashing-a", f"own-{number}")
    for number in range(4, 6):
        record_crash(ledger, number, "crashing-b", f"own-{number}")
    assert groups(ledger) == [{"crashing-a"}, {"crashing-b"}]


def test_explained_crash_is_no_evidence_against_another_part() -> None:
    """Guards against blaming a part that was twice beside the crashing one."""
    ledger = CrashLedger()
    record_crash(ledger, 1, "crashing", "beside")
    record_crash(ledger, 2, "crashing", "beside")
    record_crash(ledger, 3, "crashing", "other")
    assert groups(ledger) == [{"crashing"}]


def test_unrelated_crashes_do_not_hide_the_cause() -> None:
    """Guards against a cause that is missed because servers also crash otherwise."""
    ledger = CrashLedger()
    record_crash(ledger, 1, "crashing", "a")
    record_crash(ledger, 2, "sound")
    record_crash(ledger, 3, "crashing", "b")
    assert groups(ledger) == [{"crashing"}]


def test_evidence_of_others_counts_and_late_evidence_does_not_revive() -> None:
    """Guards against evidence that returns from a gateway that missed the release."""
    ledger = CrashLedger()
    reports = tuple(
        CrashReport(
            boot=boot(number), age_s=2.0, begun_part_ids=("part",), waiting_part_ids=()
        )
        for number in (1, 2)
    )
    evidence = CrashEvidence(reports, {})
    changed, _ = ledger.merge(evidence, NOW)
    assert changed == [boot(1), boot(2)]
    assert groups(ledger) == [{"part"}]
    _, cleared = ledger.merge(CrashEvidence((), {"part": 1.0}), NOW)
    assert cleared == ["part"]
    assert ledger.merge(evidence, NOW) == ([], [])
    assert groups(ledger) == []


def test_ledger_is_bounded_and_forgets() -> None:
    """Guards against memory that grows with the ids that callers send."""
    ledger = CrashLedger()
    many = [f"part-{number}" for number in range(10 * MAX_PARTS_PER_CRASH)]
    for number in range(3 * MAX_CRASHES):
        record_crash(ledger, number, *many)
    assert len(ledger) == MAX_CRASHES
    report = ledger.report(ledger.boots()[:1], (), NOW)
    assert len(report.crashes[0].begun_part_ids) == MAX_PARTS_PER_CRASH
    ledger.record_served([f"served-{n}" for n in range(2 * MAX_SERVED_PARTS)], NOW)
    assert len(ledger._served_at_by_part) == MAX_SERVED_PARTS
    ledger.drop_expired(NOW + CRASH_TTL_S)
    assert len(ledger) == 0
