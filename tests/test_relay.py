"""Relayed calls between a link and a relay in one process, to scripted servers."""

from __future__ import annotations

import gevent
import pytest
from gevent import socket
from hypothesis import given
from hypothesis import strategies as st

from siskinspool.links.server_link import Answer, Lost, NotSent
from siskinspool.relay.relay_protocol import (
    END_FRAME,
    LENGTH_BYTES,
    MAX_BLOCK_BYTES,
    RESET_FRAME,
    DataFrame,
    EndFrame,
    FrameReader,
    RelayProtocolError,
    ResetFrame,
    encode_data,
)

from .builders_membership import wait_until
from .builders_relay import (
    CLOSED_PORT,
    Relay,
    relaying_link,
    request_to,
    running_relay,
    start_of,
)
from .builders_scripted_server import (
    RESET,
    answer,
    scripted_server,
    unframed,
)

TIMEOUT_S = 5.0
BODY = b"x" * 100_000


def call_through(*relays: Relay) -> Answer | NotSent | Lost:
    """Send a request to a server that only these relays reach."""
    link, _ = relaying_link(*relays)
    return link.open_call(request_to(start_of("s1")), TIMEOUT_S)


def test_answer_comes_through_another_instance() -> None:
    """Guards against calls that fail although another instance reaches the server."""
    with (
        scripted_server(answer(200, BODY)) as server,
        running_relay(server.port) as one,
    ):
        received = call_through(one)
        assert isinstance(received, Answer)
        assert received.relay_id == "g2"
        assert received.read_all() == BODY
        received.close()
        wait_until(lambda: one.open_count == 0)
    assert [opening.server_id for opening in one.asked] == ["s1"]
    assert one.asked[0].born_ms == 5


def test_unframed_answer_ends_as_the_server_ends_it() -> None:
    """Guards against a cut between instances that looks like a whole answer."""
    scripts = [unframed(BODY), unframed(BODY) + RESET]
    with scripted_server(*scripts) as server, running_relay(server.port) as one:
        whole = call_through(one)
        assert isinstance(whole, Answer)
        assert whole.read_all() == BODY
        cut = call_through(one)
        body = cut.read_all() if isinstance(cut, Answer) else cut
        assert isinstance(body, Lost)
        assert body.is_disconnect


def test_relay_that_ends_is_no_fault_of_the_server() -> None:
    """Guards against evidence against a server, and a whole answer, by a lost relay."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    with running_relay(int(listener.getsockname()[1])) as one:
        link, _ = relaying_link(one)
        greenlet = gevent.spawn(link.open_call, request_to(start_of("s1")), TIMEOUT_S)
        server, _ = listener.accept()
        server.recv(65_536)
        server.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhalf of it")
        received = greenlet.get(timeout=TIMEOUT_S)
        assert isinstance(received, Answer)
        one.listener.stop()
        lost = received.read_all()
    listener.close()
    assert isinstance(lost, Lost)
    assert not lost.is_disconnect


def test_denied_call_is_not_sent() -> None:
    """Guards against requests to a server that wants none from the relay."""
    with scripted_server(answer(200, b"")) as server, running_relay(server.port) as one:
        one.denial = "the server is not open"
        assert isinstance(call_through(one), NotSent)
        assert server.requests == []


def test_second_relay_is_asked_if_the_first_cannot_connect() -> None:
    """Guards against a zone that is cut off as a whole."""
    with (
        scripted_server(answer(200, BODY), answer(200, BODY)) as server,
        running_relay(CLOSED_PORT) as one,
        running_relay(server.port) as other,
    ):
        link, paths = relaying_link(one, other)
        for _ in range(2):
            received = link.open_call(request_to(start_of("s1")), TIMEOUT_S)
            assert isinstance(received, Answer)
        assert len(one.asked) <= 1
        assert not paths.goes_direct(start_of("s1"))


def test_server_that_nobody_reaches_is_at_fault() -> None:
    """Guards against an instance that takes a lost server for its own cut."""
    with running_relay(CLOSED_PORT) as one, running_relay(CLOSED_PORT) as other:
        link, paths = relaying_link(one, other)
        assert isinstance(
            link.open_call(request_to(start_of("s1")), TIMEOUT_S), NotSent
        )
        assert paths.goes_direct(start_of("s1"))


def test_path_is_lost_if_only_others_reach_the_server() -> None:
    """Guards against a server that is blamed for connections that a partition reset."""
    with (
        scripted_server(answer(200, b"")) as server,
        running_relay(server.port) as one,
    ):
        link, _ = relaying_link(one)
        assert link.has_lost_path(start_of("s1"))
        assert server.requests == []
        wait_until(lambda: one.open_count == 0)
        assert not link.has_lost_path(start_of("s2", server.port))
    with running_relay(CLOSED_PORT) as one:
        link, _ = relaying_link(one)
        assert not link.has_lost_path(start_of("s1"))
        assert not link.has_lost_path(start_of("s1"))
        assert len(one.asked) == 1


def test_cancelled_call_closes_the_connection_to_the_server() -> None:
    """Guards against servers that work on for a caller that has left."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(1)
    with running_relay(int(listener.getsockname()[1])) as one:
        link, _ = relaying_link(one)
        greenlet = gevent.spawn(link.open_call, request_to(start_of("s1")), TIMEOUT_S)
        server, _ = listener.accept()
        assert server.recv(65_536)
        greenlet.kill()
        server.settimeout(0.5)
        assert server.recv(1) == b""
        wait_until(lambda: one.open_count == 0)
    listener.close()


def test_stopping_relay_refuses_and_lets_calls_end() -> None:
    """Guards against relayed calls that a planned stop cuts."""
    with (
        scripted_server(answer(200, BODY)) as server,
        running_relay(server.port) as one,
    ):
        received = call_through(one)
        assert isinstance(received, Answer)
        one.listener.refuse_new()
        assert isinstance(call_through(one), NotSent)
        assert received.read_all() == BODY
        received.close()
        assert one.listener.wait_idle(1.0)


@given(st.lists(st.binary(min_size=1, max_size=50), max_size=20), st.data())
def test_frames_are_read_however_the_bytes_arrive(
    blocks: list[bytes], data: st.DataObject
) -> None:
    """Guards against bytes that are lost between two reads."""
    end = data.draw(st.sampled_from([END_FRAME, RESET_FRAME]))
    stream = b"".join(encode_data(block) for block in blocks) + end
    reader = FrameReader()
    body = b""
    last = None
    while stream:
        size = data.draw(st.integers(1, len(stream)))
        for frame in reader.feed(stream[:size]):
            if isinstance(frame, DataFrame):
                body += frame.data
            else:
                last = frame
        stream = stream[size:]
    assert body == b"".join(blocks)
    assert last == (EndFrame() if end == END_FRAME else ResetFrame())


def test_frame_that_is_too_long_is_refused() -> None:
    """Guards against a relay that makes its caller wait for bytes without end."""
    header = (MAX_BLOCK_BYTES + 1).to_bytes(LENGTH_BYTES, "big")
    with pytest.raises(RelayProtocolError):
        list(FrameReader().feed(header))
