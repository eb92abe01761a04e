"""A store that sends a second copy of an answer on a connection that is kept."""

from __future__ import annotations

import base64
import json

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from siskinspool.platform.store import PlatformStore
from siskinspool.settings import Endpoint
from siskinspool.store.kv import KvItem, LostAnswerError

COPY_DELAY_S = 0.03


class CopyingStore:
    """Answers each read with the number of the call, and sends the answer again."""

    def __init__(self, delay_s: float) -> None:
        self.calls = 0
        self._delay_s = delay_s
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.endpoint = Endpoint(
            host="127.0.0.1", port=int(self._server.server_port or 0)
        )

    def stop(self) -> None:
        """Close the listener."""
        self._server.stop(timeout=0.1)

    def _serve(self, connection: socket.socket, _: object) -> None:
        try:
            while connection.recv(65_536):
                self.calls += 1
                answer = _answer(self.calls)
                connection.sendall(answer)
                gevent.sleep(self._delay_s)
                connection.sendall(answer)
        except OSError:
            return


def _answer(number: int) -> bytes:
    value = base64.b64encode(b"%d" % number).decode("ascii")
    body = json.dumps({"key": "k", "value": value, "rev": number}).encode()
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    return head + b"Content-Length: %d\r\n\r\n" % len(body) + body


@pytest.mark.parametrize("delay_s", [0.0, COPY_DELAY_S], ids=["at once", "late"])
def test_second_copy_of_an_answer_answers_no_later_call(delay_s: float) -> None:
    """Guards against a call that is answered with the answer to the call before.

    An answer with a copy right behind it may count as lost.
    """
    store = CopyingStore(delay_s)
    adapter = PlatformStore(store.endpoint)
    try:
        for number in range(1, 5):
            expected = KvItem(key="k", value=b"%d" % number, revision=number)
            try:
                assert adapter.get("k") == expected
            except LostAnswerError:
                assert delay_s == 0.0
            gevent.sleep(3 * COPY_DELAY_S)
    finally:
        store.stop()
