"""Tests that a caller gets the complete answer to its own request (R8)."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from functools import partial

import pytest
from gevent import socket

from siskinspool.manifest.model import Team
from siskinspool.standins.processes import call_json
from siskinspool.standins.site import SitePlan, TrialSite, wait_until

from .builders_site import (
    Reply,
    ask,
    open_stream,
    run_concurrently,
    running_site,
    set_faults,
    wait_idle,
)

PLAN = SitePlan(
    zones=("a",),
    instances=1,
    servers=2,
    teams=(Team(id="guild", rate=1e6, burst=1e6),),
    token_s=0.01,
)
CHAT = "/v1/chat/completions"


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[TrialSite]:
    with running_site(PLAN, tmp_path_factory.mktemp("answers")) as running:
        yield running


def set_engine_faults(site: TrialSite, **faults: object) -> None:
    for process in site.engine_by_id.values():
        set_faults(process.port, **faults)


@pytest.fixture(autouse=True)
def _no_faults(site: TrialSite) -> Iterator[None]:
    yield
    set_engine_faults(site, cross_answers=0, cut_streams_after=0)


def chat(
    site: TrialSite, *, stream: bool, tokens: int = 5, deadline_ms: int = 20_000
) -> Reply:
    body = {"model": "quote", "max_tokens": tokens, "stream": stream, "messages": []}
    return ask(site, 0, "POST", CHAT, body, deadline_ms=deadline_ms)


def request_ids_in(text: str) -> set[str]:
    """Return the request ids in the ``id:number`` tokens of the engine stand-in."""
    return {token.rpartition(":")[0] for token in text.split()}


def generated_text(reply: Reply) -> str:
    """Return the generated text of a whole or streamed answer."""
    if not reply.body.startswith(b"data:"):
        return str(reply.document["choices"][0]["message"]["content"])
    texts = []
    for event in reply.body.decode().strip().split("\n\n")[:-1]:
        delta = json.loads(event.removeprefix("data: "))["choices"][0]["delta"]
        texts.append(delta.get("content", ""))
    return "".join(texts)


def count_running_calls(site: TrialSite) -> int:
    return sum(
        int(call_json(process.port, "GET", "/v1/report")["running"])
        for process in site.engine_by_id.values()
    )


def test_answers_at_once_stay_apart(site: TrialSite) -> None:
    """Guards against mixing the tokens of concurrent answers."""
    chat(site, stream=False)
    replies = run_concurrently(
        [partial(chat, site, stream=i % 3 > 0, tokens=10) for i in range(8)]
    )
    seen_ids: set[str] = set()
    for reply in replies:
        assert reply.status == 200
        text = generated_text(reply)
        assert len(text.split()) == 10
        request_ids = request_ids_in(text)
        assert len(request_ids) == 1 and not request_ids & seen_ids
        assert reply.headers["x-request-id"] in request_ids
        seen_ids |= request_ids


def test_cut_stream_is_never_whole(site: TrialSite) -> None:
    """Guards against a truncated answer that looks complete."""
    chat(site, stream=False)
    set_engine_faults(site, cut_streams_after=5)
    stream = open_stream(site, 0, "guild", "quote", 50)
    wait_until(lambda: bool(stream.ended_at), "the stream ends", 5.0)
    assert stream.status == 200
    assert b"event: error" in stream.body
    assert b"answer_incomplete" in stream.body and b'"run": "run"' in stream.body
    assert b"[DONE]" not in stream.body and not stream.is_whole


def test_caller_that_leaves_cancels_its_stream(site: TrialSite) -> None:
    """Guards against an engine that keeps working for a disconnected caller."""
    chat(site, stream=False)
    body = json.dumps({"model": "quote", "stream": True, "max_tokens": 4000}).encode()
    key = site.authorization_header("guild")["Authorization"]
    head = (
        f"POST {CHAT} HTTP/1.1\r\nHost: x\r\nAuthorization: {key}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode()
    for is_half_close in (True, False):
        port = site.port_by_name["instance-0"]
        sock = socket.create_connection(("127.0.0.1", port), 5)
        sock.sendall(head + body)
        while b"data:" not in sock.recv(65_536):
            pass
        wait_until(lambda: count_running_calls(site) > 0, "the engine works", 5.0)
        if is_half_close:
            sock.shutdown(socket.SHUT_WR)
            rest = b""
            while block := sock.recv(65_536):
                rest += block
            assert not rest.endswith(b"\r\n0\r\n\r\n")
        sock.close()
        wait_until(lambda: count_running_calls(site) == 0, "the engine is idle", 5.0)
        wait_idle(site, 0)


def test_slow_caller_gets_the_whole_answer(site: TrialSite) -> None:
    """Guards against a slow reader losing events or blocking other callers."""
    chat(site, stream=False)
    slow = open_stream(site, 0, "guild", "quote", 300)
    started_at = time.monotonic()
    assert chat(site, stream=True).status == 200
    assert time.monotonic() - started_at < 5.0
    wait_until(lambda: bool(slow.ended_at), "the slow answer ends", 20.0)
    assert slow.is_whole and slow.body.count(b"data: {") == 301


@pytest.mark.parametrize("stream", [False, True])
def test_crossed_answer_never_reaches_the_caller(site: TrialSite, stream: bool) -> None:
    """Guards against delivering the answer to another request."""
    wait_until(
        lambda: chat(site, stream=stream, deadline_ms=2_000).status == 200,
        "the model answers",
        20.0,
    )
    set_engine_faults(site, cross_answers=1)
    reply = chat(site, stream=stream, deadline_ms=3_000)
    assert "another-" not in reply.headers.get("x-request-id", "")
    if reply.status == 200:
        assert request_ids_in(generated_text(reply)) == {reply.headers["x-request-id"]}
    else:
        assert reply.run == "unknown"
