"""Limits on answers of servers that send bytes endlessly."""

from __future__ import annotations

import itertools
import json
import math
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import attrs
import gevent
import pytest
from gevent import socket

from siskinspool.core.clock import MonotonicClock
from siskinspool.core.dispatcher import Dispatcher, Inbox
from siskinspool.core.message import Address, Incoming, Message
from siskinspool.core.task import Task
from siskinspool.gateway.messages import OrderKind, OrderResult, ServerOrder
from siskinspool.links.answer_budget import (
    EXEMPT_BYTES,
    MAX_SERVER_BYTES,
    AnswerBudget,
)
from siskinspool.links.server_link import (
    MAX_BODY_BYTES,
    MAX_EVENT_BYTES,
    MAX_HEAD_BYTES,
    MAX_REPORT_BYTES,
    HttpServerLink,
    Lost,
    NotSent,
    ServerRequest,
)
from siskinspool.machines.messages import (
    CatalogChanged,
    OrderSettled,
    SendOrder,
    ServerUnreachable,
)
from siskinspool.machines.messages import OrderKind as EntryOrderKind
from siskinspool.machines.messages import OrderResult as EntryOrderResult
from siskinspool.machines.orders_task import OrdersTask
from siskinspool.machines.report_messages import PollServer
from siskinspool.machines.report_poller import ReportPoller
from siskinspool.platform.server_calls import PlatformServerControl
from siskinspool.protection.receive_limit import YIELD_BYTES

from . import builders
from .builders_endless_server import (
    PIECE_BYTES,
    EndlessServer,
    EndlessSocket,
    PiecewiseSocket,
    endless_server,
)
from .builders_membership import wait_until
from .builders_scripted_server import ScriptedServer, hanging_server, scripted_server
from .builders_signals import start

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
# The shortest header lines, which cost the most memory for each byte.
SHORT_LINES = b"a:\r\n" * (PIECE_BYTES // 4)
ONE_BYTE_CHUNKS = b"1\r\na\r\n" * (PIECE_BYTES // 6)
EVENT = b"data: 1\n\n"
# Bytes that the operating system buffers in addition to those read.
BUFFER_BYTES = 8 * 1024 * 1024


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


ANY_REQUEST = ServerRequest(
    host="127.0.0.1", port=80, method="GET", uri="/", headers={}, body=b""
)


def request(server: EndlessServer | ScriptedServer) -> ServerRequest:
    """Return a request for a server."""
    return attrs.evolve(ANY_REQUEST, port=server.port)


def order(server: EndlessServer) -> ServerOrder:
    """Return an order for a server."""
    return ServerOrder(
        server_id="s1",
        host="127.0.0.1",
        port=server.port,
        kind=OrderKind.LOAD,
        model="m0",
        adapter="",
        expected_count=0,
        epoch=1,
        until_s=math.inf,
    )


@pytest.mark.parametrize(
    ("beginning", "piece"),
    [
        (OK, b"X-Filler: " + b"a" * PIECE_BYTES + b"\r\n"),
        (OK + b"X-Filler: ", b"a" * PIECE_BYTES),
        (b"", b"a" * PIECE_BYTES),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100),
    ],
    ids=["headers", "header", "no-http", "interim"],
)
def test_endless_head_is_aborted(beginning: bytes, piece: bytes) -> None:
    """Guards against reading an endless head until the process runs out of memory."""
    with endless_server(beginning, piece) as server, gevent.Timeout(10.0):
        answer = HttpServerLink().open_call(request(server), 5.0)
        assert isinstance(answer, Lost)
        gevent.sleep(0.1)
        assert server.connections_open == 0
        assert server.sent_bytes < MAX_HEAD_BYTES + BUFFER_BYTES


def test_trickling_head_is_aborted_in_time() -> None:
    """Guards against a time limit that restarts with each byte."""
    with endless_server(OK, b"X-A: b\r\n", 0.05) as server, gevent.Timeout(5.0):
        assert isinstance(HttpServerLink().open_call(request(server), 0.5), Lost)


def test_endless_body_is_aborted() -> None:
    """Guards against buffering an endless body until the process runs out of memory."""
    piece = chunk(b"a" * PIECE_BYTES)
    with endless_server(CHUNKED, piece) as server, gevent.Timeout(20.0):
        answer = HttpServerLink().open_call(request(server), 5.0)
        assert not isinstance(answer, NotSent | Lost)
        assert isinstance(answer.read_all(), Lost)
        answer.close()
        gevent.sleep(0.1)
        assert server.connections_open == 0
        assert server.sent_bytes < MAX_BODY_BYTES + BUFFER_BYTES


@contextmanager
def peak_memory() -> Iterator[Callable[[], int]]:
    """Trace allocations; the result returns the peak in bytes."""
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("as_events", [False, True], ids=["body", "events"])
def test_endless_trailers_take_no_memory(as_events: bool) -> None:
    """Guards against a single answer that takes many times the bytes it sent.

    The parser kept each trailer as objects: 128 MB for one answer of 8 MB.
    """
    beginning = CHUNKED + chunk(EVENT) + b"0\r\n"
    with (
        endless_server(beginning, SHORT_LINES) as server,
        gevent.Timeout(30.0),
        peak_memory() as peak_bytes,
    ):
        answer = HttpServerLink().open_call(request(server), 20.0)
        assert not isinstance(answer, NotSent | Lost)
        parts = list(answer.events()) if as_events else [answer.read_all()]
        answer.close()
        # The chunk of size zero ends the body, whatever follows it.
        assert parts == [EVENT]
        assert peak_bytes() < MAX_EVENT_BYTES


def test_many_unfinished_heads_take_the_memory_of_their_bytes() -> None:
    """Guards against heads that take many times the bytes that their limit allows.

    The parser kept each short line as objects, some 1 MB for a head of 60 KB.
    """
    heads = 60
    beginning = OK + SHORT_LINES * 15
    assert len(beginning) < MAX_HEAD_BYTES
    with hanging_server(beginning) as server, peak_memory() as peak_bytes:
        target = request(server)
        link = HttpServerLink()
        reading = [gevent.spawn(link.open_call, target, 2.0) for _ in range(heads)]
        gevent.joinall(reading)
        assert all(isinstance(one.value, Lost) for one in reading)
        assert peak_bytes() < 2 * heads * EXEMPT_BYTES


def test_body_of_tiny_chunks_is_aborted_early(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against chunks that cost many times the processor time of their bytes."""
    source = EndlessSocket(CHUNKED, ONE_BYTE_CHUNKS)
    monkeypatch.setattr(socket, "create_connection", lambda *_: source)
    answer = HttpServerLink().open_call(ANY_REQUEST, 60.0)
    assert not isinstance(answer, NotSent | Lost)
    assert isinstance(answer.read_all(), Lost)
    assert source.received_bytes < MAX_BODY_BYTES // 10


def test_trickling_answer_is_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against counting the pieces that arrive instead of lines and chunks."""
    body = b"a" * 200_000
    head = OK + b"X-Long-Name: value\r\n" * 50 + b"Content-Length: 200000\r\n\r\n"
    source = PiecewiseSocket(head + body, piece_bytes=1)
    monkeypatch.setattr(socket, "create_connection", lambda *_: source)
    answer = HttpServerLink().open_call(ANY_REQUEST, 60.0)
    assert not isinstance(answer, NotSent | Lost)
    assert answer.read_all() == body


@contextmanager
def runs_of_others() -> Iterator[Callable[[], int]]:
    """Start another greenlet; the result returns how often it has run."""
    runs = 0

    def run() -> None:
        nonlocal runs
        while True:
            runs += 1
            gevent.sleep(0)

    beside = gevent.spawn(run)
    try:
        yield lambda: runs
    finally:
        beside.kill()


@pytest.mark.parametrize(
    ("beginning", "piece", "bytes_per_yield"),
    [
        (CHUNKED, chunk(b"a" * (PIECE_BYTES - 16)), YIELD_BYTES),
        (CHUNKED + b"1;", b"a" * PIECE_BYTES, YIELD_BYTES),
        (CHUNKED, ONE_BYTE_CHUNKS, 2 * PIECE_BYTES),
    ],
    ids=["body", "extension", "one-byte-chunks"],
)
def test_others_run_while_a_body_is_read(
    monkeypatch: pytest.MonkeyPatch,
    beginning: bytes,
    piece: bytes,
    bytes_per_yield: int,
) -> None:
    """Guards against an answer that keeps the process to itself while it arrives."""
    source = EndlessSocket(beginning, piece)
    monkeypatch.setattr(socket, "create_connection", lambda *_: source)
    answer = HttpServerLink().open_call(ANY_REQUEST, 60.0)
    assert not isinstance(answer, NotSent | Lost)
    with runs_of_others() as runs:
        assert isinstance(answer.read_all(), Lost)
        # The reader yields after the block that reaches the size, not after the end.
        max_bytes = (runs() + 1) * (bytes_per_yield + PIECE_BYTES)
        assert source.received_bytes <= max_bytes


def test_timeout_ends_a_stream_of_events_that_are_dropped(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that hangs as long as a server sends events.

    A stream has no size limit, and repeated events are not forwarded.
    """
    source = EndlessSocket(CHUNKED, chunk(EVENT) * 100)
    monkeypatch.setattr(socket, "create_connection", lambda *_: source)
    answer = HttpServerLink().open_call(ANY_REQUEST, 60.0)
    assert not isinstance(answer, NotSent | Lost)
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.1):
        for _ in itertools.islice(answer.events(), 10_000_000):
            pass


def event_time_s(monkeypatch: pytest.MonkeyPatch, size: int) -> float:
    """Return the processor time to read an event of a size in small pieces."""
    event = b"data: \n" + b"a" * size + b"\n\n"
    head = OK + b"Content-Length: %d\r\n\r\n" % len(event)
    source = PiecewiseSocket(head + event, piece_bytes=100)
    monkeypatch.setattr(socket, "create_connection", lambda *_: source)
    answer = HttpServerLink().open_call(ANY_REQUEST, 60.0)
    assert not isinstance(answer, NotSent | Lost)
    started_at = time.process_time()
    assert list(answer.events()) == [event]
    return time.process_time() - started_at


def test_time_for_an_event_grows_with_its_size(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against searching an unfinished event again for each piece of it.

    Eight times the size may take three times as much for each byte.
    """
    small_s = min(event_time_s(monkeypatch, 100_000) for _ in range(3))
    large_s = min(event_time_s(monkeypatch, 800_000) for _ in range(3))
    assert large_s < 3 * 8 * small_s


@pytest.mark.parametrize("as_events", [False, True], ids=["bodies", "events"])
def test_many_endless_answers_share_a_budget(as_events: bool) -> None:
    """Guards against many large answers at once that fill the memory of an instance.

    Sixty endless bodies took 485 MB, each within its own limit.
    """
    budget = AnswerBudget()
    link = HttpServerLink(budget=budget)
    most_held = 0

    def read(server: EndlessServer) -> bytes | Lost:
        nonlocal most_held
        answer = link.open_call(request(server), 20.0)
        assert not isinstance(answer, NotSent | Lost)
        result = next(answer.events()) if as_events else answer.read_all()
        most_held = max(most_held, budget.held_bytes)
        answer.close()
        return result

    piece = chunk(b"a" * 16 * PIECE_BYTES)
    small = chunk(b"data: 1\n\n") + chunk(b"")
    tracemalloc.start()
    try:
        with (
            endless_server(CHUNKED, piece) as faulty,
            endless_server(CHUNKED + small, b"x", 0.05) as sound,
            gevent.Timeout(30.0),
        ):
            endless = [gevent.spawn(read, faulty) for _ in range(60)]
            ordinary = [gevent.spawn(read, sound) for _ in range(20)]
            gevent.joinall([*endless, *ordinary])
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert all(isinstance(one.value, Lost) for one in endless)
    assert all(one.value == b"data: 1\n\n" for one in ordinary)
    exempt = len(endless) * EXEMPT_BYTES
    assert peak_bytes < 2 * (MAX_SERVER_BYTES + exempt) + BUFFER_BYTES
    assert 0 < most_held <= MAX_SERVER_BYTES
    assert budget.held_bytes == 0


def test_endless_event_is_aborted() -> None:
    """Guards against buffering an endless event until the process is out of memory."""
    piece = chunk(b"a" * PIECE_BYTES)
    with endless_server(CHUNKED, piece) as server, gevent.Timeout(20.0):
        answer = HttpServerLink().open_call(request(server), 5.0)
        assert not isinstance(answer, NotSent | Lost)
        events = list(answer.events())
        answer.close()
        assert [type(event) for event in events] == [Lost]
        assert server.sent_bytes < MAX_EVENT_BYTES + BUFFER_BYTES


def test_order_and_report_time_out_on_trickling_bytes() -> None:
    """Guards against an order that never ends and blocks all further ones."""
    control = PlatformServerControl(MonotonicClock())
    with endless_server(OK, b"X-A: b\r\n", 0.05) as server, gevent.Timeout(5.0):
        assert control.send_order(order(server), "g1") is OrderResult.UNKNOWN
    with endless_server(CHUNKED, chunk(b" "), 0.05) as server, gevent.Timeout(5.0):
        assert control.read_holdings(start(port=server.port)) is None


class _OneReply(Inbox):
    """Keeps the messages that a task sends to the test."""

    def __init__(self) -> None:
        self.messages: list[Message] = []

    def post(self, incoming: Incoming) -> bool:
        self.messages.append(incoming.message)
        return True


def ask(build_task: Callable[[Dispatcher], Task], *questions: Message) -> Message:
    """Send messages to a task and return its first reply."""
    dispatcher, inbox = Dispatcher("i1"), _OneReply()
    dispatcher.register("test", inbox)
    task = build_task(dispatcher)
    for question in questions:
        task.post(Incoming(Address("i1", "test"), question))
    task.start()
    wait_until(lambda: bool(inbox.messages), 20.0)
    task.stop()
    return inbox.messages[0]


def test_endless_report_is_aborted() -> None:
    """Guards against a report of a server that fills the memory of an instance."""
    piece = chunk(b"a" * PIECE_BYTES)
    with endless_server(CHUNKED, piece) as server:
        poll = PollServer("s1", "127.0.0.1", server.port, 20.0)
        reply = ask(
            lambda dispatcher: ReportPoller(
                dispatcher, MonotonicClock(), HttpServerLink()
            ),
            poll,
        )
        assert reply == ServerUnreachable("s1")
        assert server.sent_bytes < MAX_BODY_BYTES + BUFFER_BYTES


def test_report_of_many_names_takes_little_memory() -> None:
    """Guards against a report within the limit on bodies that takes ten times it."""
    names = [f"{number:x}" for number in range(900_000)]
    body = json.dumps({"seq": 1, "loading": names}).encode()
    del names
    control = PlatformServerControl(MonotonicClock())
    script = OK + b"Content-Length: %d\r\n\r\n" % len(body) + body
    assert MAX_REPORT_BYTES < len(body) < MAX_BODY_BYTES + BUFFER_BYTES
    with scripted_server(script) as server, peak_memory() as peak_bytes:
        assert control.read_holdings(start(port=server.port)) is None
        assert peak_bytes() < 4 * MAX_REPORT_BYTES + len(script)


def test_report_of_the_largest_server_is_read() -> None:
    """Guards against a limit on reports that a server of the target size meets."""
    adapters = [
        f"model-{number % 1_700:04}/adapter-{number}" for number in range(8_700)
    ]
    models = [f"model-{number:04}" for number in range(1_700)]
    available = {"in_memory": models, "on_disk": models + adapters}
    body = json.dumps({"seq": 1, "available": available}).encode()
    script = OK + b"Content-Length: %d\r\n\r\n" % len(body) + body
    with scripted_server(script) as server:
        control = PlatformServerControl(MonotonicClock())
        holdings = control.read_holdings(start(port=server.port))
    assert holdings is not None
    assert len(holdings.on_disk) == 10_400


def test_endless_answer_to_an_order_is_aborted() -> None:
    """Guards against an answer to an order that fills the memory of an instance."""
    piece = chunk(b"a" * PIECE_BYTES)
    with endless_server(CHUNKED, piece) as server:
        target = attrs.evolve(builders.server("s1"), port=server.port)
        reply = ask(
            lambda dispatcher: OrdersTask(
                dispatcher, MonotonicClock(), HttpServerLink()
            ),
            CatalogChanged(builders.catalog(servers=(target,))),
            SendOrder("o1", "s1", EntryOrderKind.LOAD, "r1", "m1", "", 1),
        )
        assert isinstance(reply, OrderSettled)
        assert reply.result is EntryOrderResult.ACCEPTED
        assert server.sent_bytes < MAX_BODY_BYTES + BUFFER_BYTES
