"""The platform's store returns from an older copy: no number is believed across it."""

from __future__ import annotations

from collections.abc import Iterator

import pytest
from gevent.pywsgi import WSGIServer

from siskinspool.core.clock import MonotonicClock
from siskinspool.core.message import Message
from siskinspool.platform.store import PlatformStore
from siskinspool.settings import Endpoint
from siskinspool.standins.platform_store import PlatformStoreApp
from siskinspool.standins.processes import call_json
from siskinspool.store.keys import session_key
from siskinspool.store.kv import LostAnswerError
from siskinspool.store.kv_events import SessionGone, SessionRenewed
from siskinspool.store.leases import SharedLeases
from siskinspool.store.revision import era_of, make_revision, number_of
from siskinspool.store.session_keeper import SessionKeeper

from .builders import member

KEY = "/siskinspool/k"
TTL_S = 2.5


class ReturningStore:
    """A stand-in of the store that keeps one copy of its state."""

    def __init__(self, port: int) -> None:
        self._port = port

    def connect(self) -> PlatformStore:
        return PlatformStore(Endpoint(host="127.0.0.1", port=self._port))

    def keep_copy(self) -> None:
        call_json(self._port, "POST", "/admin/copy", {})

    def return_from_copy(self) -> None:
        call_json(self._port, "POST", "/admin/return", {})


@pytest.fixture
def store() -> Iterator[ReturningStore]:
    server = WSGIServer(("127.0.0.1", 0), PlatformStoreApp(), log=None, error_log=None)
    server.start()
    try:
        yield ReturningStore(int(server.server_port or 0))
    finally:
        server.stop(timeout=0.2)


def keeper(
    store: ReturningStore, name: str, reports: list[Message], incarnation: str = "1"
) -> SessionKeeper:
    """Return a session keeper, to be driven step by step."""
    own = member(name, incarnation)
    return SessionKeeper(
        store.connect(), MonotonicClock(), own, reports.append, TTL_S, takes_over=True
    )


def test_revision_contains_its_era() -> None:
    """Guards against a revision of a later era that looks older."""
    revision = make_revision(3, 17)
    assert (era_of(revision), number_of(revision)) == (3, 17)
    assert make_revision(2, 1_000_000) < make_revision(3, 1)
    assert make_revision(0, 17) == 17


def test_swap_does_not_match_a_number_of_an_earlier_era(store: ReturningStore) -> None:
    """Guards against a swap that overwrites a write with the number that it expects."""
    one, other = store.connect(), store.connect()
    store.keep_copy()
    lost = one.swap(KEY, 0, b"lost", None)
    store.return_from_copy()
    present = other.swap(KEY, 0, b"present", None)
    assert number_of(present.revision) == number_of(lost.revision)
    assert present.revision > lost.revision
    # The first call after the return learns of it only by its answer.
    with pytest.raises(LostAnswerError):
        one.swap(KEY, lost.revision, b"late", None)
    # From then on the store is not even asked to do it.
    result = one.swap(KEY, lost.revision, b"later", None)
    assert (result.succeeded, result.value) == (False, b"late")


def test_watch_ends_when_the_store_has_returned(store: ReturningStore) -> None:
    """Guards against a watch that goes on in another history and misses changes."""
    one, other = store.connect(), store.connect()
    store.keep_copy()
    lost = one.swap(KEY, 0, b"lost", None)
    store.return_from_copy()
    # The numbers pass the old ones, so the store does not refuse the watch.
    for number in range(3):
        other.swap(f"{KEY}{number}", 0, b"v", None)
    with pytest.raises(LostAnswerError):
        next(iter(one.watch("/siskinspool/", lost.revision + 1)))


def test_session_whose_lease_is_another_instances_is_opened_anew(
    store: ReturningStore,
) -> None:
    """Guards against an instance that renews another one's lease as its own."""
    one_reports: list[Message] = []
    one = keeper(store, "i1", one_reports)
    store.keep_copy()
    assert one._open_or_renew()
    store.return_from_copy()
    other_reports: list[Message] = []
    assert keeper(store, "i2", other_reports)._open_or_renew()
    first, second = one_reports[0], other_reports[0]
    assert isinstance(first, SessionRenewed)
    assert isinstance(second, SessionRenewed)
    assert first.lease_id == second.lease_id
    assert one._open_or_renew()
    assert any(isinstance(report, SessionGone) for report in one_reports)
    client = store.connect()
    assert client.get(session_key("i1")) is not None
    assert client.get(session_key("i2")) is not None


def test_session_that_the_copy_has_goes_on(store: ReturningStore) -> None:
    """Guards against sessions that all end with each return of the store."""
    reports: list[Message] = []
    one = keeper(store, "i1", reports)
    assert one._open_or_renew()
    store.keep_copy()
    store.return_from_copy()
    assert one._open_or_renew()
    assert not any(isinstance(report, SessionGone) for report in reports)


def test_lease_for_writes_is_granted_anew_after_a_return(store: ReturningStore) -> None:
    """Guards against keys that are attached to another instance's lease."""
    service = store.connect()
    leases = SharedLeases(service, MonotonicClock())
    store.keep_copy()
    lost = leases.lease_id(KEY, 5.0)
    store.return_from_copy()
    assert store.connect().grant_lease(5.0).lease_id == lost
    assert service.get(KEY) is None
    assert leases.lease_id(KEY, 5.0) != lost
