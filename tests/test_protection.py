"""Decisions of the protection: who gets room, who goes first, what a body is."""

from __future__ import annotations

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    consumes,
    invariant,
    rule,
)

from siskinspool.core.errors import SettingsError
from siskinspool.platform.settings import decode_settings
from siskinspool.protection.chunk_decoder import ChunkDecoder, MalformedChunkError
from siskinspool.protection.connection_table import ConnectionPhase, ConnectionTable
from siskinspool.protection.memory_budget import Reservation
from siskinspool.protection.minimum_progress import MinimumProgress
from siskinspool.protection.settings import (
    MachineLimits,
    ProtectionLimits,
    ProtectionSettings,
)
from siskinspool.standins.gateway_site import default_settings

from .builders_protection import (
    SMALL_BYTES,
    TOTAL_BYTES,
    budget,
    chunked,
    connection,
    reserved,
)

NEXT_REQUEST = b"GET / HTTP/1.1\r\n\r\n"
MB = 1_000_000


@given(
    body=st.binary(max_size=300),
    sizes=st.lists(st.integers(1, 40), max_size=30),
    ending=st.sampled_from([b"0\r\n\r\n", b"000;a=b\r\n\r\n", b"0\r\nx-a: b\r\n\r\n"]),
    cuts=st.lists(st.integers(0, 800), max_size=12),
)
def test_chunks_are_decoded_however_they_are_split(
    body: bytes, sizes: list[int], ending: bytes, cuts: list[int]
) -> None:
    """Guards against a body that takes bytes of the next request, or lacks some."""
    data = chunked(body, sizes, ending) + NEXT_REQUEST
    decoder, decoded, used = ChunkDecoder(), bytearray(), 0
    for end in [*sorted(cuts), len(data)]:
        used += decoder.feed(data[used : min(end, len(data))], decoded)
    assert decoder.has_ended
    assert bytes(decoded) == body
    assert data[used:] == NEXT_REQUEST


@pytest.mark.parametrize(
    "data",
    [
        b"\r\n",
        b"5 \r\nhello\r\n",
        b"+5\r\nhello\r\n",
        b"0x5\r\nhello\r\n",
        b"5\nhello\r\n",
        b"5;a\rb\r\nhello\r\n",
        b"5\r\nhelloX\r\n",
        b"5\r\nhello\rX",
        b"11111111111111111\r\n",
        b"5;" + b"a" * 9_000,
        b"0\r\nno colon\r\n\r\n",
        b"0\r\n" + b"a: b\r\n" * 9_000,
    ],
)
@pytest.mark.parametrize("step", [1, 100_000])
def test_malformed_chunks_are_refused(data: bytes, step: int) -> None:
    """Guards against repairing a body that others may end elsewhere."""
    decoder, decoded = ChunkDecoder(), bytearray()
    with pytest.raises(MalformedChunkError):
        for start in range(0, len(data), step):
            decoder.feed(data[start : start + step], decoded)


class BudgetMachine(RuleBasedStateMachine):
    """Guards against bytes that are counted twice, lost or beyond the budget."""

    open_ones = Bundle("open_ones")

    def __init__(self) -> None:
        super().__init__()
        self.budget = budget()
        self.size_by_reservation: dict[Reservation, int] = {}
        self.forced_bytes = 0

    @rule(target=open_ones)
    def open_one(self) -> Reservation:
        """Open a reservation."""
        made = self.budget.open(0.0)
        self.size_by_reservation[made] = 0
        return made

    @rule(one=open_ones, size=st.integers(1, TOTAL_BYTES))
    def try_grow(self, one: Reservation, size: int) -> None:
        """Ask for room; a small reservation gets it if the total allows."""
        has_room = self.budget.used_bytes + size <= TOTAL_BYTES
        is_small = one.size + size <= SMALL_BYTES
        got = self.budget.try_grow(one, size)
        assert has_room if got else not (has_room and is_small)
        self.size_by_reservation[one] += size * got

    @rule(one=open_ones, size=st.integers(1, TOTAL_BYTES))
    def grow(self, one: Reservation, size: int) -> None:
        """Add bytes that are already held."""
        self.budget.grow(one, size)
        self.size_by_reservation[one] += size
        self.forced_bytes += size

    @rule(one=open_ones, size=st.integers(1, TOTAL_BYTES))
    def shrink(self, one: Reservation, size: int) -> None:
        """Free some bytes."""
        self.budget.shrink(one, size)
        self.size_by_reservation[one] = max(self.size_by_reservation[one] - size, 0)

    @rule(one=open_ones, size=st.integers(1, TOTAL_BYTES))
    def shed(self, one: Reservation, size: int) -> None:
        """Make room; nothing is shed twice, and none for itself."""
        shed_before = {other for other in self.size_by_reservation if other.is_shed}
        chosen = self.budget.shed_for(one, size, 1.0, 2.0)
        assert one not in chosen
        assert not shed_before & set(chosen)

    @rule(one=consumes(open_ones))
    def close(self, one: Reservation) -> None:
        """End a reservation, also twice."""
        self.budget.close(one)
        self.budget.close(one)
        del self.size_by_reservation[one]

    @invariant()
    def counts_each_byte_once(self) -> None:
        """Check the sums."""
        sizes = self.size_by_reservation
        assert {one: one.size for one in sizes} == sizes
        assert self.budget.used_bytes == sum(sizes.values())
        assert self.budget.used_bytes <= TOTAL_BYTES + self.forced_bytes
        leaving = sum(size for one, size in sizes.items() if one.is_shed)
        assert self.budget._leaving_bytes == leaving


TestBudget = BudgetMachine.TestCase


def test_largest_and_slowest_goes_first() -> None:
    """Guards against shedding a steady caller, or sparing one that trickles."""
    found = budget()
    running = reserved(found, 300_000)
    running.is_sheddable = False
    steady, trickling, small = (
        reserved(found, size) for size in (200_000, 100_000, 10_000)
    )
    for tenth in range(1, 51):
        steady.lag.record(20_000, tenth / 10)
        trickling.lag.record(1, tenth / 10)
    newcomer = found.open(5.0)
    assert not found.try_grow(newcomer, 200_000)
    assert found.shed_for(newcomer, 200_000, 0.5, 5.0) == [trickling]
    assert found.shed_for(newcomer, 200_000, 0.5, 5.0) == []
    assert not small.is_shed
    found.close(trickling)
    assert found.try_grow(newcomer, 200_000)


def test_connections_make_room_in_order() -> None:
    """Guards against ending a running request, or refusing beside idle connections."""
    table = ConnectionTable(4, reading_lag_s=1.0)
    running = connection(ConnectionPhase.RUNNING, 0.0)
    reading = connection(ConnectionPhase.READING, 1.0)
    newer = connection(ConnectionPhase.IDLE, 3.0)
    older = connection(ConnectionPhase.IDLE, 2.0)
    assert [table.add(one, 4.0) for one in (running, reading, newer, older)] == [
        None
    ] * 4
    busy = [connection(ConnectionPhase.RUNNING, 4.0) for _ in range(4)]
    ended = [table.add(one, 4.0) for one in busy]
    assert ended == [older, newer, reading, busy[3]]
    table.remove(running)
    table.remove(running)
    assert table.add(busy[3], 4.0) is None


def test_progress_is_checked_at_the_end_of_each_window() -> None:
    """Guards against refusing a slow start, or sparing a later stall."""
    progress = MinimumProgress(100.0, 10.0, start_bytes=400, now=0.0)
    progress.record(600)
    assert not progress.is_too_slow(9.9)
    assert not progress.is_too_slow(10.0)
    progress.record(999)
    assert progress.remaining_s(15.0) == 5.0
    assert progress.is_too_slow(20.0)


@pytest.mark.parametrize(("memory_mb", "max_fds"), [(160, 1_638), (552, 10_250)])
def test_defaults_admit_callers_inside_the_limits(memory_mb: int, max_fds: int) -> None:
    """Guards against a machine of a deployment that refuses a legal body."""
    machine = MachineLimits(memory_mb=memory_mb, max_fds=max_fds)
    settings = ProtectionSettings()
    limits = ProtectionLimits.from_settings(machine, settings)
    large_bytes = limits.budget_bytes * (1 - settings.small_share)
    assert large_bytes > 4 * 4_194_304
    taken_mb = settings.process_mb + 1.5 * limits.budget_bytes / MB
    connections_mb = limits.max_connections * settings.connection_bytes / MB
    assert taken_mb + connections_mb <= memory_mb
    assert 2 * limits.max_connections + settings.file_fds <= max_fds


def test_settings_are_optional_and_checked() -> None:
    """Guards against a limit that cannot be set, or a misspelt one that is ignored."""
    document = default_settings("g1", "a", 1, 2, 3, 4, 5)
    read = decode_settings(document)
    assert read.machine.memory_mb == 300
    assert read.protection == ProtectionSettings()
    document["limits"] = {"memory_mb": 160, "max_fds": 900, "cpu_share": 0.5}
    document["protection"] = {"body_wait_s": 1, "page_connections": 8}
    read = decode_settings(document)
    assert read.machine == MachineLimits(memory_mb=160.0, max_fds=900)
    assert read.protection == attrs.evolve(
        ProtectionSettings(), body_wait_s=1.0, page_connections=8
    )
    for faulty, words in (
        ({"body_wait": 1}, r"protection\.body_wait is not"),
        ({"parse_turn_bytes": 0}, r"protection\.parse_turn_bytes: 0 is not above"),
        ({"budget_share": 1.5}, r"protection\.budget_share: 1\.5 is above 1"),
    ):
        document["protection"] = faulty
        with pytest.raises(SettingsError, match=words):
            decode_settings(document)
