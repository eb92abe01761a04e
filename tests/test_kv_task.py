"""Tests of the key-value task, its session and watch, and the instance list."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any, TypeVar

from gevent.pywsgi import WSGIServer

from siskinspool.core.clock import MonotonicClock
from siskinspool.core.dispatcher import Dispatcher
from siskinspool.core.message import Message, Outgoing
from siskinspool.machines.messages import LeavingChanged
from siskinspool.store.instance_list import HttpInstanceList, InstanceListTask
from siskinspool.store.keys import CONFIG_HEAD, session_key
from siskinspool.store.kv import (
    KvAnswerLost,
    KvChanged,
    KvGet,
    KvItem,
    KvReply,
    KvSwap,
    KvSwapped,
    KvUnavailable,
)
from siskinspool.store.kv_events import (
    EndSession,
    KvReachability,
    ProbeHead,
    SessionEnded,
    SessionRenewed,
)
from siskinspool.store.kv_task import KvTask

from .builders import member
from .builders_kv_service import InMemoryKeyValueService
from .builders_membership import RecordingInbox, wait_until

MessageT = TypeVar("MessageT", bound=Message)


class KvTaskHarness:
    """A running `KvTask` with the in-memory service."""

    def __init__(self, longest_ttl_s: float = float("inf"), **options: Any) -> None:
        self.clock = MonotonicClock()
        self.service = InMemoryKeyValueService(
            self.clock.now, longest_ttl_s=longest_ttl_s
        )
        self.dispatcher = Dispatcher("i1")
        self.inbox = RecordingInbox()
        for name in ("membership", "test"):
            self.dispatcher.register(name, self.inbox)
        self.task = KvTask(
            self.dispatcher,
            self.clock,
            self.service,
            member(),
            watchers=("membership",),
            health_watchers=("membership",),
            renew_interval_s=0.1,
            **options,
        )
        self.task.start()

    def ask(self, message: Message) -> Message | None:
        return self.dispatcher.ask(self.dispatcher.address("kv"), message, 3.0)

    def send(self, message: Message) -> None:
        sender = self.dispatcher.address("test")
        recipient = self.dispatcher.address("kv")
        self.dispatcher.send(sender, Outgoing(recipient, message))

    def received(self, kind: type[MessageT]) -> list[MessageT]:
        return [
            message for message in self.inbox.messages() if isinstance(message, kind)
        ]


@contextmanager
def running_kv_task(**options: Any) -> Iterator[KvTaskHarness]:
    harness = KvTaskHarness(**options)
    try:
        wait_until(lambda: bool(harness.received(SessionRenewed)))
        yield harness
    finally:
        harness.task.stop(1.0)


def test_each_request_gets_one_truthful_answer() -> None:
    """Guards against reporting 'not executed' after a lost answer (R9, R10)."""
    with running_kv_task() as harness:
        assert harness.ask(KvSwap("1", "k", 0, b"v")) == KvSwapped(
            "1", "k", harness.service.items["k"].revision
        )
        harness.service.answers_to_lose = 1
        lost = harness.ask(KvGet("2", "k"))
        # A lease renewal may have consumed the fault; repeat until a request does.
        while not isinstance(lost, KvAnswerLost):
            harness.service.answers_to_lose = 1
            lost = harness.ask(KvGet("2", "k"))
        harness.service.is_down = True
        assert harness.ask(KvGet("3", "k")) == KvUnavailable("3", "k")


def test_full_queue_refuses_at_once() -> None:
    """Guards against an unbounded queue while the service is slow (R3)."""
    with running_kv_task(workers=1, queue_capacity=1) as harness:
        harness.service.unblocked.clear()
        for number in range(5):
            harness.send(KvGet(str(number), "k"))
        wait_until(lambda: len(harness.received(KvUnavailable)) >= 3)
        harness.service.unblocked.set()


def test_writes_with_the_same_prefix_share_a_lease() -> None:
    """Guards against a lease per claim, which would exceed the service's rate limit."""
    with running_kv_task() as harness:
        before = harness.service.calls.count("grant_lease")
        for number in range(5):
            harness.ask(KvSwap(str(number), f"claims/0/{number}", 0, b"v", ttl_s=60.0))
        assert harness.service.calls.count("grant_lease") == before + 1
        leases = {harness.service.lease_by_key[f"claims/0/{n}"] for n in range(5)}
        assert len(leases) == 1


def test_session_is_made_anew_and_ended() -> None:
    """Guards against an instance that opens no new session after it lost its lease."""
    with running_kv_task() as harness:
        first = harness.received(SessionRenewed)[0]
        harness.service.expiry_by_lease[first.lease_id] = 0.0
        wait_until(
            lambda: harness.received(SessionRenewed)[-1].lease_id != first.lease_id
        )
        assert harness.ask(KvSwap("1", "s", 0, b"v", with_session=True)) is not None
        assert harness.ask(EndSession()) == SessionEnded()
        assert session_key("i1") not in harness.service.items
        assert "s" not in harness.service.items
        refused = harness.ask(KvSwap("2", "s", 0, b"v", with_session=True))
        assert refused == KvUnavailable("2", "s")


def test_session_of_an_earlier_era_is_attached_to_no_key() -> None:
    """Guards against a key that lives with another instance's session.

    After a return of the service, the id of the session's lease may be another's.
    """
    with running_kv_task() as harness:
        harness.service.era = 1
        # No renewal shows yet whose lease it is.
        harness.service.unblocked.clear()
        refused = harness.ask(KvSwap("1", "s", 0, b"v", with_session=True))
        assert refused == KvUnavailable("1", "s")
        harness.service.unblocked.set()
        wait_until(lambda: harness.received(SessionRenewed)[-1].era == 1)
        swapped = harness.ask(KvSwap("2", "s", 0, b"v", with_session=True))
        assert isinstance(swapped, KvSwapped)


def test_queued_write_is_not_attached_to_a_session_of_an_earlier_era() -> None:
    """Guards against a key that lives with another instance's session.

    The service returns while the write waits for a free worker.
    """
    with running_kv_task(workers=1) as harness:
        harness.service.unblocked.clear()
        harness.send(KvGet("1", "k"))
        harness.send(KvSwap("2", "s", 0, b"v", with_session=True))
        wait_until(lambda: harness.task._pending_requests.qsize() == 1)
        harness.service.era = 1
        harness.service.unblocked.set()
        wait_until(lambda: len(harness.received(KvReply)) == 2)
        assert harness.received(KvUnavailable) == [KvUnavailable("2", "s")]
        assert "s" not in harness.service.items


def test_broken_watch_reports_what_it_missed() -> None:
    """Guards against missed deletions of members while the watch is broken."""
    with running_kv_task() as harness:
        key = session_key("i2")
        revision = harness.service.swap(key, 0, b"v", None).revision
        wait_until(lambda: KvChanged(key, b"v", revision) in harness.inbox.messages())
        harness.service.log.clear()
        del harness.service.items[key]
        harness.service.break_watches()
        wait_until(lambda: KvChanged(key, None, revision) in harness.inbox.messages())


def test_probe_publishes_the_head_before_the_evidence() -> None:
    """Guards against confirming a configuration that was not published yet (R4)."""
    with running_kv_task() as harness:
        # The watch does not report this change.
        head = KvItem(CONFIG_HEAD, b'{"revision":7}', 1_000)
        harness.service.items[CONFIG_HEAD] = head
        harness.send(ProbeHead())
        wait_until(
            lambda: any(
                message.head_read for message in harness.received(KvReachability)
            )
        )
        kinds = [
            type(message)
            for message in harness.inbox.messages()
            if (isinstance(message, KvChanged) and message.key == CONFIG_HEAD)
            or (isinstance(message, KvReachability) and message.head_read)
        ]
        assert kinds == [KvChanged, KvReachability]


def test_instance_list_keeps_the_last_reading() -> None:
    """Guards against treating leaving servers as live when the list fails (R11)."""
    body = [b'{"instances":[{"id":"s1","kind":"server","state":"leaving"}]}']

    def answer(environ: object, start: object) -> list[bytes]:
        start("200 OK", [("Content-Type", "application/json")])  # type: ignore[operator]
        return list(body)

    server = WSGIServer(("127.0.0.1", 0), answer, log=None)
    server.start()
    dispatcher = Dispatcher("i1")
    inbox = RecordingInbox()
    dispatcher.register("membership", inbox)
    port = server.server_port
    assert port is not None
    source = HttpInstanceList("127.0.0.1", port)
    task = InstanceListTask(dispatcher, MonotonicClock(), source)
    try:
        task.on_time()
        body[0] = b"not JSON"
        task.on_time()
        assert inbox.messages() == [LeavingChanged(frozenset({"s1"}), frozenset())]
    finally:
        server.stop()


def test_session_lasts_as_long_as_the_service_allows() -> None:
    """Guards against acting in a session that the service has already ended."""
    with running_kv_task(session_ttl_s=10.0, longest_ttl_s=4.0) as harness:
        renewed = harness.received(SessionRenewed)[0]
        assert renewed.ttl_s == 4.0
        harness.service.ttl_by_lease[renewed.lease_id] = 2.0
        wait_until(lambda: harness.received(SessionRenewed)[-1].ttl_s == 2.0)
