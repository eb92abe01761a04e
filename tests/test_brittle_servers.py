"""Servers that fall over if all instances together let them reject too much."""

from __future__ import annotations

import pytest

from siskinspool.platform.headers import decode_answer
from siskinspool.server_signals.brittle_servers import (
    MAX_BRITTLE,
    MIN_PAUSE_S,
    BrittleServers,
)

from .builders_signals import start

NOW = 100.0
SLOTS = 64


def members(count: int) -> list[str]:
    return [f"g{number}" for number in range(count)]


def places(instance_id: str, ids: list[str], slots: int = SLOTS) -> int:
    """Return how many requests an instance may have at a brittle server."""
    brittle = BrittleServers(instance_id)
    brittle.observe(start(), 1)
    count = 0
    while brittle.allows_next(start(), slots, count, ids, NOW):
        count += 1
    return count


@pytest.mark.parametrize("count", [1, 6, 9, 90, 410])
@pytest.mark.parametrize("slots", [6, 64])
def test_instances_together_do_not_fill_the_queue(count: int, slots: int) -> None:
    """Guards against servers that fall over by requests of many instances at once."""
    ids = members(count)
    assert sum(places(name, ids, slots) for name in ids) == slots


def test_one_rejection_of_each_instance_keeps_to_the_rate() -> None:
    """Guards against instances that insist at a server that is full."""
    ids = members(6)
    brittle = BrittleServers("g0")
    brittle.observe(start(), 2)
    brittle.record_rejected(start(), len(ids), NOW)
    pause_s = len(ids) / 2
    assert not brittle.allows_next(start(), SLOTS, 0, ids, NOW + pause_s)
    assert brittle.allows_next(start(), SLOTS, 0, ids, NOW + 1.3 * pause_s)


def test_server_that_bears_many_rejections_is_left_alone_for_a_second() -> None:
    """Guards against a burst of rejections at a single instance."""
    brittle = BrittleServers("g0")
    brittle.observe(start(), 1_000)
    brittle.record_rejected(start(), 6, NOW)
    later = NOW + MIN_PAUSE_S / 2
    assert not brittle.allows_next(start(), SLOTS, 0, members(6), later)


def test_other_servers_have_no_limit() -> None:
    """Guards against requests that wait though no server is brittle."""
    brittle = BrittleServers("g0")
    brittle.record_rejected(start(), 6, NOW)
    assert brittle.allows_next(start(), SLOTS, 1_000, members(6), NOW)
    brittle.observe(start(), 1)
    brittle.observe(start(), None)
    assert brittle.allows_next(start(), SLOTS, 1_000, members(6), NOW)


def test_table_is_bounded() -> None:
    """Guards against memory that grows with servers that are gone."""
    brittle = BrittleServers("g0")
    for number in range(MAX_BRITTLE + 10):
        brittle.observe(start(f"s{number}"), 1)
    assert brittle.gauges() == {"signals.servers_brittle": float(MAX_BRITTLE)}


@pytest.mark.parametrize(
    ("text", "expected"),
    [("3", 3), (" 12 ", 12), ("0", None), ("-1", None), ("many", None), ("", None)],
)
def test_header_states_the_rejections(text: str, expected: int | None) -> None:
    """Guards against a limit that a malformed header sets or lifts."""
    head = decode_answer(200, {"server-brittle": text})
    assert head.max_rejections_per_s == expected
