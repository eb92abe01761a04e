"""The software version at which a stream may go on, as instances know it."""

from __future__ import annotations

import pytest

from siskinspool.gateway.servers import RegistryInterrupted, RegistryListed
from siskinspool.store.kv import KvItem
from siskinspool.streams.known_versions import DEFAULT_STREAM_S
from siskinspool.streams.origin_archive import (
    ARCHIVE_PREFIX,
    SLOTS,
    OriginArchive,
    decode_streams,
)
from siskinspool.streams.origin_table import MAX_STREAMS, OriginTable
from siskinspool.streams.version_record import (
    MAX_VERSIONS,
    VERSIONS_KEY,
    decode_versions,
    encode_versions,
)

from .builders_streams import SERVICE, START_S, StreamSite


def mixed_site(instances: int = 3) -> StreamSite:
    """Return a site whose service has servers of two versions."""
    site = StreamSite(instances)
    site.add_server("s1", "v1")
    site.add_server("s2", "v1.1")
    site.advance(1.0)
    return site


@pytest.mark.parametrize("instances", [1, 3, 40, 410])
def test_stream_is_known_at_every_instance(instances: int) -> None:
    """Guards against a take-up that is refused because another instance began it."""
    site = mixed_site(instances)
    site.begin(site.names[0], "r1", "s1")
    site.begin(site.names[-1], "r2", "s2")
    site.advance(0.2)
    for name in site.names[:: max(instances // 10, 1)]:
        assert (site.find(name, "r1"), site.find(name, "r2")) == ("v1", "v1.1")


def test_nothing_is_exchanged_while_one_version_serves() -> None:
    """Guards against messages and writes where nothing can be joined wrongly."""
    site = StreamSite()
    site.add_server("s1", "v1")
    site.add_server("s2", "v1")
    site.advance(2.0)
    site.sent.clear()
    for number in range(100):
        site.begin("g0", f"r{number}", "s1")
        site.advance(0.1)
    assert not site.sent
    assert site.find("g1", "r7") == "v1"


def test_stream_begun_before_a_version_came_is_known() -> None:
    """Guards against a stream of the only version that goes on at a later one."""
    site = StreamSite()
    site.add_server("s1", "v1")
    site.advance(1.0)
    site.begin("g0", "r1", "s1")
    site.advance(1.0)
    site.add_server("s2", "v1.1")
    site.advance(0.2)
    assert site.find("g1", "r1") == "v1"


def test_unknown_stream_is_not_taken_up_before_the_old_version_is_forgotten() -> None:
    """Guards against the only version that is left being taken for the only one."""
    site = mixed_site()
    site.remove_server("s1")
    site.advance(1.0)
    assert site.find("g0", "unknown") == ""
    site.advance(DEFAULT_STREAM_S)
    assert site.find("g0", "unknown") == "v1.1"


def test_started_instance_knows_the_versions_that_have_left() -> None:
    """Guards against a start without memory, just after the old version has left."""
    site = mixed_site()
    site.remove_server("s1")
    site.advance(0.1)
    site.start(*site.names)
    site.advance(1.0)
    assert site.find("g0", "unknown") == ""
    site.advance(DEFAULT_STREAM_S)
    assert site.find("g0", "unknown") == "v1.1"


def test_started_instance_without_a_record_takes_nothing_up_at_first() -> None:
    """Guards against a guess while the store tells no earlier versions."""
    site = StreamSite(first_start=False)
    site.store.is_down = True
    site.start(*site.names)
    site.add_server("s1", "v1")
    site.advance(DEFAULT_STREAM_S + 5.0)
    assert site.find("g0", "unknown") == ""
    site.store.is_down = False
    site.advance(2.0)
    assert site.find("g0", "unknown") == "v1"


def test_streams_are_known_after_all_instances_have_ended() -> None:
    """Guards against refusing every take-up after a power cut."""
    site = mixed_site()
    for number in range(50):
        site.begin(site.names[number % 3], f"r{number}", "s1" if number % 2 else "s2")
    site.advance(1.0)
    site.start(*site.names)
    found = [site.find("g0", f"r{number}") for number in range(50)]
    assert found == ["v1" if number % 2 else "v1.1" for number in range(50)]


def test_only_the_last_moment_is_unknown_after_all_instances_have_ended() -> None:
    """Guards against refusing most take-ups of short streams after a power cut."""
    site = mixed_site()
    for number in range(100):
        site.begin(site.names[number % 3], f"r{number}", "s1")
        site.advance(0.02)
    site.start(*site.names)
    unknown = [number for number in range(100) if not site.find("g0", f"r{number}")]
    # Streams begin each 20 ms; those of the last 0.3 s may be lost.
    assert all(number >= 85 for number in unknown)


def test_streams_that_the_store_has_forgotten_are_unknown() -> None:
    """Guards against a guess after the store came back from an older copy."""
    site = mixed_site()
    site.begin("g0", "old", "s1")
    site.advance(1.0)
    site.store.copy()
    site.begin("g0", "new", "s1")
    site.advance(1.0)
    site.store.go_back()
    site.start(*site.names)
    assert (site.find("g1", "old"), site.find("g1", "new")) == ("v1", "")
    # What begins afterwards is archived again.
    site.begin("g0", "later", "s2")
    site.advance(3.0)
    site.start(*site.names)
    assert site.find("g1", "later") == "v1.1"


def test_version_that_the_store_has_forgotten_is_recorded_again() -> None:
    """Guards against a record that lacks a version for good."""
    site = StreamSite()
    site.add_server("s1", "v1")
    site.advance(1.0)
    site.store.copy()
    site.add_server("s2", "v1.1")
    site.advance(1.0)
    site.store.go_back()
    site.remove_server("s2")
    site.advance(2.0)
    record = decode_versions(site.store.item_by_key[VERSIONS_KEY].value)
    assert record is not None
    assert record[SERVICE]["v1.1"] is not None


def test_instance_that_does_not_follow_the_registry_asks_the_others() -> None:
    """Guards against an instance that is cut off and misses a new version."""
    site = StreamSite()
    site.add_server("s1", "v1")
    site.advance(1.0)
    site.post("g0", RegistryInterrupted())
    site.add_server("s2", "v1.1", hidden="g0")
    site.begin("g1", "r1", "s2")
    site.advance(0.3)
    assert site.find("g0", "r1") == "v1.1"
    assert site.find("g0", "unknown") == ""


def test_missed_version_counts_after_an_interruption() -> None:
    """Guards against a version that came and went while an instance was cut off."""
    site = StreamSite()
    site.add_server("s1", "v1")
    site.advance(1.0)
    site.post("g0", RegistryInterrupted())
    site.add_server("s2", "v1.1", hidden="g0")
    site.advance(0.5)
    site.remove_server("s2")
    site.advance(0.5)
    site.post("g0", RegistryListed())
    assert site.find("g0", "unknown") == ""
    site.advance(1.0)
    assert site.find("g0", "unknown") == ""


def test_versions_are_read_while_servers_keep_registering() -> None:
    """Guards against a start that takes nothing up until the registry is at rest."""
    site = mixed_site()
    site.remove_server("s1")
    site.advance(0.5)
    site.start(*site.names)
    for number in range(10):
        site.add_server(f"n{number}", "v1.1")
        site.advance(0.1)
    assert site.find("g0", "unknown") == ""
    site.advance(DEFAULT_STREAM_S)
    for number in range(10):
        site.add_server(f"m{number}", "v1.1")
        site.advance(0.1)
        assert site.find("g0", "unknown") == "v1.1"


def test_stream_at_a_server_that_had_restarted_unnoticed_is_doubtful() -> None:
    """Guards against a version that an outdated entry of the registry names."""
    site = mixed_site()
    site.begin("g0", "before", "s1")
    site.advance(10.0)
    # The server starts again under its id, with another version.
    restarted_s = site.now
    site.advance(3.0)
    site.begin("g0", "after", "s1")
    site.advance(0.5)
    site.add_server("s1", "v1.1", born_s=restarted_s)
    site.advance(0.5)
    for name in site.names:
        assert (site.find(name, "before"), site.find(name, "after")) == ("v1", "")


def test_request_that_names_no_stream_is_not_taken_up() -> None:
    """Guards against a take-up by a requester that does not name its stream."""
    site = mixed_site()
    assert site.find("g0", "") == ""


def test_table_of_streams_is_bounded() -> None:
    """Guards against memory that grows with all streams ever begun."""
    table = OriginTable()
    for key in range(MAX_STREAMS + 10):
        table.add(SERVICE, "v1", key)
    assert len(table) == MAX_STREAMS
    assert table.find(SERVICE, 0) is None


def test_archive_is_bounded_and_goes_on_after_a_start() -> None:
    """Guards against an archive that grows, or loses its last streams at a start."""
    site = mixed_site(1)
    for number in range(SLOTS + 5):
        site.begin("g0", f"r{number}", "s1")
        site.advance(0.6)
    archived = [key for key in site.store.item_by_key if key.startswith(ARCHIVE_PREFIX)]
    assert len(archived) == SLOTS
    site.start("g0")
    site.begin("g0", "next", "s1")
    site.advance(2.0)
    site.start("g0")
    assert site.find("g0", f"r{SLOTS + 4}") == "v1"
    assert site.find("g0", "next") == "v1"


def test_instance_rests_while_the_store_does_not_answer() -> None:
    """Guards against a process that spins until the archive has been read."""
    site = mixed_site(1)
    site.store.is_silent = True
    site.wakes = 0
    site.begin("g0", "r1", "s1")
    site.advance(5.0)
    assert site.wakes < 50
    site.store.is_silent = False
    site.advance(6.0)
    site.start("g0")
    assert site.find("g0", "r1") == "v1"


def test_unreadable_values_of_the_store_are_left_out() -> None:
    """Guards against an instance that fails on what another program has written."""
    assert decode_versions(b'{"writers": {"v1": -1}}') is None
    assert decode_versions(b"[]") is None
    assert decode_streams([KvItem("k", b"\xc1", 1)]) == []
    OriginArchive("g0").resume([KvItem(f"{ARCHIVE_PREFIX}g0/x", b"", 1)])


def test_record_of_versions_is_bounded() -> None:
    """Guards against a record that grows with every release."""
    gone = {f"v{number}": START_S + number for number in range(1_000)}
    record = decode_versions(encode_versions({SERVICE: {**gone, "now": None}}))
    assert record is not None
    assert len(record[SERVICE]) == MAX_VERSIONS
    assert {"now", "v999"} <= record[SERVICE].keys()
