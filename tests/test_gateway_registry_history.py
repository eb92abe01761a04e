"""The history of the server registry: entries of an older copy are not believed."""

from __future__ import annotations

from siskinspool.gateway.registry_history import MAX_REMOVED, RegistryHistory

from .builders_gateway import holdings, server


def test_entry_of_a_server_that_is_gone_is_not_believed() -> None:
    """Guards against requests to a server that a returned registry calls ready."""
    history = RegistryHistory()
    assert history.accepts(server("w1", write_count=4))
    assert history.accepts(server("w1", write_count=9))
    history.record_removed("w1")
    assert not history.accepts(server("w1", write_count=4))
    assert not history.accepts(server("w1", write_count=9))


def test_server_that_writes_its_entry_again_is_back() -> None:
    """Guards against a sound server that stays unused after an outage."""
    history = RegistryHistory()
    assert history.accepts(server("w1", write_count=9))
    history.record_removed("w1")
    assert history.accepts(server("w1", write_count=12))
    assert history.accepts(server("w1", write_count=12))
    assert not history.accepts(server("w1", write_count=11))


def test_older_entry_of_a_server_that_is_there_is_not_believed() -> None:
    """Guards against a leaving server that is ready again by an older entry."""
    history = RegistryHistory()
    assert history.accepts(server("w1", write_count=9))
    assert not history.accepts(server("w1", write_count=8))


def test_new_start_of_a_server_counts_from_the_beginning() -> None:
    """Guards against a restarted server that stays unused."""
    history = RegistryHistory()
    assert history.accepts(server("w1", write_count=9, holdings=holdings(born_ms=1)))
    restarted = server("w1", write_count=1, holdings=holdings(born_ms=2))
    assert history.accepts(restarted)
    history.record_removed("w1")
    again = server("w1", write_count=1, holdings=holdings(born_ms=3))
    assert history.accepts(again)


def test_entries_without_a_count_are_believed() -> None:
    """Guards against servers of another kind that are never used."""
    history = RegistryHistory()
    assert history.accepts(server("w1"))
    history.record_removed("w1")
    assert history.accepts(server("w1"))


def test_history_is_bounded() -> None:
    """Guards against memory that grows with each server that has ever left."""
    history = RegistryHistory()
    for number in range(MAX_REMOVED + 10):
        assert history.accepts(server(f"w{number}", write_count=1))
        history.record_removed(f"w{number}")
    assert len(history._write_count_by_removed_start) == MAX_REMOVED
    assert not history._seen_by_id
