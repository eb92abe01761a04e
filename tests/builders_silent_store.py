"""A test store over TCP whose open connections can go silent while new ones work."""

from __future__ import annotations

import base64
import json

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer

from siskinspool.platform.desired_state import DESIRED_STATE_KEY
from siskinspool.settings import Endpoint


class SilentStore:
    """Serves one key; `silence` stops all answers on the currently open connections."""

    def __init__(self) -> None:
        self.value = b"old"
        self.revision = 1
        self.watches = 0
        self._epoch = 0
        store = self

        class Handler(WSGIHandler):
            """Records for each connection the epoch in which it was opened."""

            def handle(self) -> None:
                self.epoch = store._epoch
                super().handle()

            def get_environ(self) -> dict[str, object]:
                return super().get_environ() | {"test.epoch": self.epoch}

        self._server = WSGIServer(
            ("127.0.0.1", 0), self._answer, log=None, handler_class=Handler
        )
        self._server.start()
        self.endpoint = Endpoint(
            host="127.0.0.1", port=int(self._server.server_port or 0)
        )

    def silence(self, value: bytes) -> None:
        """Silence the open connections and write a value."""
        self._epoch += 1
        self.value = value
        self.revision += 1

    def stop(self) -> None:
        """Close the listener."""
        self._server.stop(timeout=0.1)

    def _answer(self, environ, start_response):  # type: ignore[no-untyped-def]
        body: dict[str, object] = {"current_rev": self.revision}
        if environ["PATH_INFO"] == "/-/kv-watch":
            self.watches += 1
            gevent.sleep(int(environ["QUERY_STRING"].rpartition("=")[2]) / 1000)
            body |= {"events": []}
        else:
            value = base64.b64encode(self.value).decode("ascii")
            item = {"key": DESIRED_STATE_KEY, "value": value, "rev": self.revision}
            body |= {"items": [item], "truncated": False}
        if environ["test.epoch"] != self._epoch:
            gevent.sleep(60.0)
        start_response("200 OK", [("Content-Type", "application/json")])
        return [json.dumps(body).encode()]
