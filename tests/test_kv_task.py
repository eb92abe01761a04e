"""The key-value task, its session and watch, and the platform's list."""

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
    """A running `KvTask` over the in-memory service."""

    def __init__(self, **options: Any) -> None:
        self.clock = MonotonicClock()
        self.service = InMemoryKeyValueService(self.clock.now)
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

    def got(self, kind: type[MessageT]) -> list[MessageT]:
        return [one for one in self.inbox.messages() if isinstance(one, kind)]


@contextmanager
def bench(**options: Any) -> Iterator[KvTaskHarness]:
    built = KvTaskHarness(**options)
    try:
        wait_until(lambda: bool(built.got(SessionRenewed)))
        yield built
    finally:
        built.task.stop(1.0)


def test_each_request_gets_one_truthful_answer() -> None:
    """Guards against "certainly not done" after a lost answer (R9, R10)."""
    with bench() as one:
        assert one.ask(KvSwap("1", "k", 0, b"v")) == KvSwapped(
            "1", "k", one.service.items["k"].revision
        )
        one.service.answers_to_lose = 1
        lost = one.ask(KvGet("2", "k"))
        # A renewal may have met the fault instead; repeat until a request does.
        while not isinstance(lost, KvAnswerLost):
            one.service.answers_to_lose = 1
            lost = one.ask(KvGet("2", "k"))
        one.service.is_down = True
        assert one.ask(KvGet("3", "k")) == KvUnavailable("3", "k")


def test_full_queue_refuses_at_once() -> None:
    """Guards against requests that pile up while the service is slow (R3)."""
    with bench(workers=1, queue_capacity=1) as one:
        one.service.unblocked.clear()
        for number in range(5):
            one.send(KvGet(str(number), "k"))
        wait_until(lambda: len(one.got(KvUnavailable)) >= 3)
        one.service.unblocked.set()


def test_writes_with_the_same_prefix_share_a_lease() -> None:
    """Guards against a lease per claim, which the service's rate forbids."""
    with bench() as one:
        before = one.service.calls.count("grant_lease")
        for number in range(5):
            one.ask(KvSwap(str(number), f"claims/0/{number}", 0, b"v", ttl_s=60.0))
        assert one.service.calls.count("grant_lease") == before + 1
        leases = {one.service.lease_by_key[f"claims/0/{n}"] for n in range(5)}
        assert len(leases) == 1


def test_session_is_made_anew_and_ended() -> None:
    """Guards against an instance that stays out after it lost its lease."""
    with bench() as one:
        first = one.got(SessionRenewed)[0]
        one.service.expiry_by_lease[first.lease_id] = 0.0
        wait_until(lambda: one.got(SessionRenewed)[-1].lease_id != first.lease_id)
        assert one.ask(KvSwap("1", "s", 0, b"v", with_session=True)) is not None
        assert one.ask(EndSession()) == SessionEnded()
        assert session_key("i1") not in one.service.items
        assert "s" not in one.service.items
        refused = one.ask(KvSwap("2", "s", 0, b"v", with_session=True))
        assert refused == KvUnavailable("2", "s")


def test_broken_watch_reports_what_it_missed() -> None:
    """Guards against members that stay for ever after a cut of the watch."""
    with bench() as one:
        key = session_key("i2")
        revision = one.service.swap(key, 0, b"v", None).revision
        wait_until(lambda: KvChanged(key, b"v", revision) in one.inbox.messages())
        one.service.log.clear()
        del one.service.items[key]
        one.service.break_watches()
        wait_until(lambda: KvChanged(key, None, revision) in one.inbox.messages())


def test_probe_publishes_the_head_before_the_evidence() -> None:
    """Guards against evidence for a configuration that is not known here (R4)."""
    with bench() as one:
        # The watch does not show this change.
        head = KvItem(CONFIG_HEAD, b'{"revision":7}', 1_000)
        one.service.items[CONFIG_HEAD] = head
        one.send(ProbeHead())
        wait_until(lambda: any(beat.head_read for beat in one.got(KvReachability)))
        kinds = [
            type(message)
            for message in one.inbox.messages()
            if (isinstance(message, KvChanged) and message.key == CONFIG_HEAD)
            or (isinstance(message, KvReachability) and message.head_read)
        ]
        assert kinds == [KvChanged, KvReachability]


def test_instance_list_keeps_the_last_reading() -> None:
    """Guards against servers that count as live again when the list fails (R11)."""
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
