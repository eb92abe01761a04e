"""The history of the server registry: entries of an older copy are not believed."""

from __future__ import annotations

from siskinspool.gateway.registry_history import MAX_REMOVED, RegistryHistory
from siskinspool.gateway.servers import ServerRecord, ServerRemoved
from siskinspool.store.kv import KvChanged
from siskinspool.store.revision import make_revision

from .builders_gateway import encode, entry_document, holdings, incoming, server
from .builders_registry_feed import RecordingFeed

# Revisions before and after a return of the registry from an older copy.
BEFORE = make_revision(1, 20)
AFTER = make_revision(2, 20)


def test_entry_of_a_server_that_is_gone_is_not_believed() -> None:
    """Guards against requests to a server that a returned registry calls ready."""
    history = RegistryHistory()
    assert history.accepts(server("w1", write_count=4), BEFORE)
    assert history.accepts(server("w1", write_count=9), BEFORE)
    history.record_removed("w1", BEFORE)
    assert not history.accepts(server("w1", write_count=4), AFTER)
    assert not history.accepts(server("w1", write_count=9), AFTER)


def test_server_that_writes_its_entry_again_is_back() -> None:
    """Guards against a sound server that stays unused after an outage."""
    history = RegistryHistory()
    assert history.accepts(server("w1", write_count=9), BEFORE)
    history.record_removed("w1", BEFORE)
    assert history.accepts(server("w1", write_count=12), AFTER)
    assert history.accepts(server("w1", write_count=12), AFTER)
    assert not history.accepts(server("w1", write_count=11), AFTER)


def test_older_entry_of_a_server_that_is_there_is_not_believed() -> None:
    """Guards against a leaving server that is ready again by an older entry."""
    history = RegistryHistory()
    assert history.accepts(server("w1", write_count=9), BEFORE)
    assert not history.accepts(server("w1", write_count=8), AFTER)


def test_new_start_of_a_server_counts_from_the_beginning() -> None:
    """Guards against a restarted server that stays unused."""
    history = RegistryHistory()
    first = server("w1", write_count=9, holdings=holdings(born_ms=1))
    assert history.accepts(first, BEFORE)
    restarted = server("w1", write_count=1, holdings=holdings(born_ms=2))
    assert history.accepts(restarted, BEFORE)
    history.record_removed("w1", BEFORE)
    again = server("w1", write_count=1, holdings=holdings(born_ms=3))
    assert history.accepts(again, AFTER)


def test_entries_without_a_count_are_believed() -> None:
    """Guards against servers of another kind that are never used."""
    history = RegistryHistory()
    assert history.accepts(server("w1"), BEFORE)
    history.record_removed("w1", BEFORE)
    assert history.accepts(server("w1"), BEFORE)


def test_history_is_bounded() -> None:
    """Guards against memory that grows with each server that has ever left."""
    history = RegistryHistory()
    for number in range(MAX_REMOVED + 10):
        assert history.accepts(server(f"w{number}", write_count=1), BEFORE)
        history.record_removed(f"w{number}", BEFORE)
    assert len(history._removed_by_start) == MAX_REMOVED
    assert not history._seen_by_id


def test_entry_that_a_return_has_lost_is_believed_when_it_is_written_again() -> None:
    """Guards against a sound server that stays unused after a return of the registry.

    Its entry is written again as it was, after its removal was believed.
    """
    feed = RecordingFeed()
    entry = encode(entry_document(seq=9))
    for value, revision in (
        (entry, make_revision(1, 20)),
        (None, make_revision(2, 15)),
        (entry, make_revision(2, 16)),
    ):
        feed.handle(incoming(KvChanged("servers/w1", value, revision)))
    assert [type(one) for one in feed.sent_messages] == [
        ServerRecord,
        ServerRemoved,
        ServerRecord,
    ]
