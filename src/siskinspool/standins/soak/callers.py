"""Callers of a soak: they keep their connections open until the process is gone."""

from __future__ import annotations

import itertools
import random
from typing import Final

import attrs
import gevent
from geventhttpclient import HTTPClient

from ..gateway_site import HOST, KEY, Gateway
from .record import Promise, RequestKind
from .site import MODELS, SoakSite

TIMEOUT_S: Final = 6.0
DEADLINE_MS: Final = 5_000
PAUSE_S: Final = 0.05
PROBE_INTERVAL_S: Final = 0.2
STREAM_PIECES: Final = 6
PATH_BY_KIND: Final = {
    RequestKind.UNSAFE: "/deposit/1",
    RequestKind.SAFE: "/status/1",
    RequestKind.STREAM: "/quote/1",
}


@attrs.frozen
class CallerAnswer:
    """An answer as a caller has read it."""

    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """Sends one request after the other to one gateway at a time."""

    def __init__(self, name: str, site: SoakSite, seed: int) -> None:
        self._name = name
        self._site = site
        self._random = random.Random(f"{seed}/{name}")
        self._numbers = itertools.count()
        self._gateway = self._choose_gateway()
        self._client = self._connect()

    def run(self) -> None:
        """Send requests for ever."""
        while True:
            self._send(self._random.choice(list(RequestKind)))
            gevent.sleep(self._random.uniform(0.0, 2 * PAUSE_S))

    def _choose_gateway(self) -> Gateway:
        return self._random.choice(self._site.gateways())

    def _connect(self) -> HTTPClient:
        return HTTPClient(
            "127.0.0.1",
            port=self._gateway.front,
            connection_timeout=1.0,
            network_timeout=TIMEOUT_S,
            concurrency=1,
        )

    def _move(self) -> None:
        """Go to another gateway, as the present one closed the connection."""
        self._client.close()
        self._gateway = self._choose_gateway()
        self._client = self._connect()

    def _send(self, kind: RequestKind) -> None:
        record = self._site.record
        request_id = f"{self._name}-{next(self._numbers)}"
        record.kind_by_id[request_id] = kind
        record.gateway_by_id[request_id] = self._gateway.name
        body = f"body of {request_id}".encode()
        started_s = self._site.now_s()
        was_stopping = self._gateway.name in self._site.stopping
        try:
            answer = self._request(kind, request_id, body)
        except Exception as error:
            # Whatever ends the connection, the caller has no answer.
            record.outcomes[f"{kind} {type(error).__name__}"] += 1
            is_early = self._site.now_s() - started_s < TIMEOUT_S / 2
            if was_stopping and is_early and self._gateway.name in self._site.stopping:
                record.cut_ids.add(request_id)
            self._move()
            return
        record.outcomes[f"{kind} {answer.status}"] += 1
        self._check(kind, request_id, body, answer)
        if answer.headers.get("connection", "").lower() == "close":
            self._move()

    def _request(self, kind: RequestKind, request_id: str, body: bytes) -> CallerAnswer:
        headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {KEY}",
        }
        if kind is RequestKind.STREAM:
            model = self._random.choice(MODELS)
            headers |= {"Model": model, "Token-Count": "10,5", "Prompt-Prefix": "p:10"}
        response = self._client.request(
            "POST", PATH_BY_KIND[kind], body=body, headers=headers
        )
        found = {str(key).lower(): str(value) for key, value in response.items()}
        return CallerAnswer(int(response.status_code), found, bytes(response.read()))

    def _check(
        self, kind: RequestKind, request_id: str, body: bytes, answer: CallerAnswer
    ) -> None:
        record, at_s = self._site.record, self._site.now_s()
        if answer.status in (429, 503):
            record.refused_ids.add(request_id)
        if answer.status != 200:
            return
        if "server-stamp" not in answer.headers:
            record.report(Promise.WHOLE_ANSWERS, at_s, f"{request_id}: no stamp")
        pieces = [
            line for line in answer.body.split(b"\n") if line.startswith(b"data: ")
        ]
        expected = [f"data: piece {n}".encode() for n in range(1, STREAM_PIECES + 1)]
        is_whole = (
            pieces == expected
            if kind is RequestKind.STREAM
            else answer.body == b"answer of " + body
        )
        if not is_whole:
            detail = f"{request_id}: {answer.body[:80]!r}"
            record.report(Promise.WHOLE_ANSWERS, at_s, detail)


class VersionProbe:
    """Checks that a gateway that knows a version never forgets it."""

    def __init__(self, gateway: Gateway, site: SoakSite) -> None:
        self._gateway = gateway
        self._site = site
        # The process that knew a version, and the newest one.
        self._pid = 0
        self._known = 0
        self._numbers = itertools.count()

    def run(self) -> None:
        """Ask for the route of the newest version for ever."""
        while True:
            gevent.sleep(PROBE_INTERVAL_S)
            self._probe()

    def _probe(self) -> None:
        version, pid = self._site.version, self._gateway.popen.pid
        if pid != self._pid:
            self._pid, self._known = pid, 0
        request_id = f"probe-{self._gateway.name}-{next(self._numbers)}"
        self._site.record.kind_by_id[request_id] = RequestKind.SAFE
        self._site.record.gateway_by_id[request_id] = self._gateway.name
        headers = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": "2000"}
        headers["Authorization"] = f"Bearer {KEY}"
        client = HTTPClient(
            "127.0.0.1", port=self._gateway.front, network_timeout=3.0, concurrency=1
        )
        try:
            response = client.request("GET", f"/v{version}/1", headers=headers)
            status = int(response.status_code)
        except Exception:
            # A gateway that is down or paused tells nothing about versions.
            return
        finally:
            client.close()
        if self._gateway.popen.pid != pid or self._site.version != version:
            return
        if status == 200:
            self._known = version
        elif status == 404 and self._known >= version:
            detail = f"{self._gateway.name} has forgotten version {version}"
            self._site.record.report(Promise.NO_OLD_VERSION, self._site.now_s(), detail)
