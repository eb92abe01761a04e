"""Requests that arrive while a gateway stops."""

from __future__ import annotations

from .builders_front_listener import front_listener, read_answer, request_head
from .builders_membership import wait_until
from .builders_scripted_server import silent_server

HALF = b"x" * 100


def test_request_whose_body_arrives_during_a_stop_is_answered() -> None:
    """Guards against ending the process while a request is still being read.

    Such a request did not count as running, so it was cut off without an answer.
    """
    with front_listener() as listener:
        front = listener.front
        sock = listener.connect()
        sock.sendall(request_head("Content-Length: 200") + HALF)
        wait_until(lambda: not front.wait_idle(0.0), 2.0)
        front.drain()
        front.refuse_new()
        assert not front.wait_idle(0.3)
        sock.sendall(HALF)
        assert read_answer(sock).startswith(b"HTTP/1.1 503")
        assert front.wait_idle(1.0)


def test_request_that_is_ended_at_a_silent_server_goes_nowhere_else() -> None:
    """Guards against sending a request again that was ended from outside.

    The end was taken for a lost connection to the server, after which a repeatable
    request is sent to the next one.
    """
    with silent_server() as server, front_listener(server.port) as listener:
        sock = listener.connect()
        sock.sendall(request_head("Content-Length: 0"))
        wait_until(lambda: len(server.requests) == 1)
        listener.front.end_requests()
        assert read_answer(sock, first_only=True).startswith(b"HTTP/1.1 504")
        assert len(server.requests) == 1
