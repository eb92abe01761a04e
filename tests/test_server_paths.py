"""The decision on paths to servers: who is cut off, and through whom calls go."""

from __future__ import annotations

from siskinspool.relay.server_paths import (
    ATTEMPT_INTERVAL_S,
    LOST_TTL_S,
    MAX_AVOID_S,
    MAX_INDIRECT,
    MAX_RELAYS_PER_CALL,
    MIN_AVOID_S,
    MIN_LOST_OF_ISOLATION,
    PROBE_INTERVAL_S,
    UNUSED_TTL_S,
    ServerPaths,
)

from .builders_relay import OWN_ID, relay_member, server_paths, start_of

NOW = 50.0
S1, S2, S3 = (start_of(name) for name in ("s1", "s2", "s3"))


def cut_off_paths() -> ServerPaths:
    """Return the paths of an instance that reaches two servers through ``g2`` only."""
    paths = server_paths(relay_member("g2", "b"))
    paths.record_connected(S1, NOW - 5)
    for start in (S1, S2):
        paths.record_relayed(start, "g2", [], NOW)
    return paths


def test_failure_beside_a_connection_is_the_servers() -> None:
    """Guards against a detour for each server that crashes."""
    paths = server_paths(relay_member("g2"))
    for _ in range(5):
        assert not paths.record_failed(S1, NOW)
        paths.record_connected(S2, NOW)


def test_others_are_asked_after_failures_in_a_row() -> None:
    """Guards against an instance that pauses one sound server after the other."""
    paths = server_paths(relay_member("g2"))
    assert not paths.record_failed(S1, NOW)
    assert paths.record_failed(S2, NOW)


def test_server_that_nobody_reaches_is_not_asked_for_at_each_call() -> None:
    """Guards against waits for others before each call while servers are lost."""
    paths = server_paths(relay_member("g2"))
    paths.record_failed(S1, NOW)
    paths.record_lost_server(S1, NOW)
    assert not paths.record_failed(S1, NOW + LOST_TTL_S / 2)
    assert paths.record_failed(S2, NOW + LOST_TTL_S / 2)
    assert paths.record_failed(S1, NOW + LOST_TTL_S)


def test_indirect_server_is_not_tried_again() -> None:
    """Guards against the time of a failing connection before each call."""
    paths = server_paths(relay_member("g2"))
    assert paths.record_relayed(S1, "g2", [], NOW)
    assert not paths.record_relayed(S1, "g2", [], NOW)
    assert not paths.goes_direct(S1)
    assert paths.goes_direct(S2)
    assert not paths.is_cut_off


def test_instance_is_cut_off_if_no_server_is_reached() -> None:
    """Guards against callers that wait for the first failure at each server."""
    paths = cut_off_paths()
    assert paths.is_cut_off
    assert not paths.goes_direct(S3)


def test_a_connection_to_one_server_ends_the_cut() -> None:
    """Guards against relayed calls to all servers after the paths are back."""
    paths = cut_off_paths()
    assert paths.record_connected(S2, NOW + 1)
    assert not paths.is_cut_off
    assert paths.goes_direct(S1)


def test_connection_beside_indirect_servers_is_no_cut() -> None:
    """Guards against a leader that gives up because of two servers."""
    paths = cut_off_paths()
    paths.record_connected(S3, NOW + 1)
    paths.record_relayed(S1, "g2", [], NOW + 2)
    paths.record_connected(S3, NOW + 3)
    paths.record_relayed(S2, "g2", [], NOW + 4)
    assert not paths.is_cut_off


def test_relays_are_near_first_and_of_another_zone_second() -> None:
    """Guards against traffic between zones, and a zone that is cut off as a whole."""
    others = [relay_member(f"a{n}", "a") for n in range(5)]
    others += [relay_member(f"b{n}", "b") for n in range(5)]
    paths = server_paths(*others)
    for number in range(20):
        relays = paths.relays(start_of(f"s{number}"), NOW)
        assert [one.zone for one in relays] == ["a", "b"]
        assert len(relays) == MAX_RELAYS_PER_CALL


def test_relays_differ_from_server_to_server() -> None:
    """Guards against one instance that carries all calls of another."""
    paths = server_paths(*(relay_member(f"a{n}", "a") for n in range(5)))
    chosen = {paths.relays(start_of(f"s{n}"), NOW)[0].instance_id for n in range(60)}
    assert len(chosen) == 5


def test_instances_without_a_relay_are_not_asked() -> None:
    """Guards against calls to an earlier build, or to itself."""
    paths = server_paths(relay_member("g2", relay_port=0), relay_member(OWN_ID))
    assert paths.relays(S1, NOW) == ()


def test_relay_that_could_not_connect_is_avoided_for_longer_each_time() -> None:
    """Guards against asking instances that are cut off, too, before each call."""
    paths = server_paths(relay_member("g2"), relay_member("g3", "b"))
    paths.record_relayed(S1, "g3", ["g2"], NOW)
    assert [one.instance_id for one in paths.relays(S1, NOW)] == ["g3"]
    later = NOW + MIN_AVOID_S
    assert [one.instance_id for one in paths.relays(S1, later)] == ["g2", "g3"]
    paths.record_relayed(S1, "g3", ["g2"], later)
    assert len(paths.relays(S1, later + MIN_AVOID_S)) == 1
    for _ in range(9):
        paths.record_lost_relay("g2", later)
    assert len(paths.relays(S1, later + MAX_AVOID_S)) == 2
    paths.record_relayed(S2, "g2", [], later)
    assert len(paths.relays(S1, later)) == 2


def test_one_server_at_a_time_is_probed_while_any_is_indirect() -> None:
    """Guards against probes of every server by every instance."""
    paths = server_paths(relay_member("g2"))
    assert paths.pop_probe(NOW) is None
    assert paths.wake_at() is None
    paths.record_relayed(S1, "g2", [], NOW)
    assert paths.pop_probe(NOW) == S1
    assert paths.pop_probe(NOW + PROBE_INTERVAL_S / 2) is None
    assert paths.pop_probe(NOW + PROBE_INTERVAL_S) == S1


def test_server_that_is_not_called_is_forgotten() -> None:
    """Guards against probes of servers that are gone."""
    paths = server_paths(relay_member("g2"))
    paths.record_relayed(S1, "g2", [], NOW)
    assert paths.pop_probe(NOW + UNUSED_TTL_S) is None
    assert paths.goes_direct(S1)


def test_table_of_indirect_servers_is_bounded() -> None:
    """Guards against memory that grows with the servers."""
    paths = server_paths(relay_member("g2"))
    for number in range(MAX_INDIRECT + 10):
        paths.record_relayed(start_of(f"s{number}"), "g2", [], NOW)
    assert len(paths) == MAX_INDIRECT


def isolated_paths() -> ServerPaths:
    """Return the paths of an instance that has found no way to several servers."""
    paths = server_paths(relay_member("g2"))
    starts = [start_of(f"s{number}") for number in range(1, MIN_LOST_OF_ISOLATION + 1)]
    assert [paths.record_lost_server(start, NOW) for start in starts[:-1]] == [
        False
    ] * (MIN_LOST_OF_ISOLATION - 1)
    assert paths.may_try(starts[0], NOW)
    assert paths.record_lost_server(starts[-1], NOW)
    return paths


def test_isolated_instance_makes_one_attempt_at_a_time_at_lost_servers() -> None:
    """Guards against callers that all wait for a connection that fails."""
    paths = isolated_paths()
    assert paths.is_isolated
    assert paths.may_try(S1, NOW)
    assert not paths.may_try(S1, NOW + ATTEMPT_INTERVAL_S / 2)
    assert not paths.may_try(S2, NOW + ATTEMPT_INTERVAL_S / 2)
    assert paths.may_try(start_of("unknown"), NOW + ATTEMPT_INTERVAL_S / 2)
    assert paths.may_try(S2, NOW + ATTEMPT_INTERVAL_S)
    assert paths.pop_probe(NOW) is not None
    assert paths.wake_at() == NOW + PROBE_INTERVAL_S


def test_any_connection_ends_an_isolation() -> None:
    """Guards against refused callers after the paths are back."""
    for is_direct in (True, False):
        paths = isolated_paths()
        if is_direct:
            paths.record_connected(S1, NOW + 1)
        else:
            paths.record_relayed(S1, "g2", [], NOW + 1)
        assert not paths.is_isolated
        assert paths.may_try(S2, NOW + 1)


def test_lost_servers_between_connections_are_no_isolation() -> None:
    """Guards against refused callers because several servers have crashed."""
    paths = server_paths(relay_member("g2"))
    for number in range(2 * MIN_LOST_OF_ISOLATION):
        assert not paths.record_lost_server(start_of(f"s{number}"), NOW + number)
        paths.record_connected(S3, NOW + number)


def test_isolation_without_calls_is_forgotten() -> None:
    """Guards against probes of servers that are gone."""
    paths = isolated_paths()
    assert paths.pop_probe(NOW + UNUSED_TTL_S) is None
    assert not paths.is_isolated


def test_indirect_servers_are_probed_at_once_after_one_is_back() -> None:
    """Guards against detours that last longer the more servers there are."""
    paths = server_paths(relay_member("g2"))
    starts = [start_of(f"s{number}") for number in range(20)]
    for start in starts:
        paths.record_relayed(start, "g2", [], NOW + 2)
        paths.record_connected(start_of("other"), NOW + 2)
    assert len(paths) == len(starts)
    assert not paths.is_cut_off
    later = NOW + 3
    while (probed := paths.pop_probe(later)) is not None:
        paths.record_connected(probed, later)
    assert len(paths) == 0


def test_cut_is_found_beside_servers_that_were_indirect_before() -> None:
    """Guards against a leader that keeps the leadership in a second partition.

    A server that was found indirect in the first one has not been probed since.
    """
    paths = server_paths(relay_member("g2"))
    paths.record_relayed(S1, "g2", [], NOW)
    paths.record_connected(S3, NOW + 1)
    paths.record_relayed(S2, "g2", [], NOW + 2)
    assert not paths.is_cut_off
    paths.record_relayed(S3, "g2", [], NOW + 2)
    assert paths.is_cut_off


def test_call_that_began_before_a_connection_shows_no_cut() -> None:
    """Guards against a cut that begins anew at its end.

    Calls through others are under way when a probe connects.
    """
    paths = cut_off_paths()
    paths.record_connected(S1, NOW + 1)
    for start in (S1, S2, S3):
        assert not paths.record_relayed(start, "g2", [], NOW + 1.1, began_at=NOW + 0.9)
    assert not paths.is_cut_off
    assert paths.goes_direct(S1)
