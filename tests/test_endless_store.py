"""Limits on answers of the key-value service that never end."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable

import gevent
import pytest

from siskinspool.platform.store import MAX_ANSWER_BYTES, PlatformStore
from siskinspool.settings import Endpoint
from siskinspool.store.etcd import MAX_ANSWER_BYTES as ETCD_BYTES
from siskinspool.store.etcd import EtcdKeyValueService
from siskinspool.store.instance_list import HttpInstanceList, ListUnavailableError
from siskinspool.store.kv import KeyValueService, LostAnswerError, SwapResult

from .builders_endless_server import PIECE_BYTES, EndlessServer, endless_server
from .builders_scripted_server import ScriptedServer, scripted_server

HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LINES = b"a:\r\n" * (PIECE_BYTES // 4)
# The shortest JSON values that are objects once they are decoded.
SHORT_VALUES = b"[]," * (MAX_ANSWER_BYTES // 4)
PIECE = b"%x\r\n" % PIECE_BYTES + b"[" * PIECE_BYTES + b"\r\n"
FORMS = {
    "body": (CHUNKED, PIECE),
    "trailers": (CHUNKED + b"2\r\n{}\r\n0\r\n", LINES),
    "extension": (CHUNKED + b"2;", b"a" * PIECE_BYTES),
    "head": (HEAD, LINES),
    "header": (HEAD + b"a: ", b"a" * PIECE_BYTES),
}
# A call and a watch that read the same store.
READS: dict[str, Callable[[KeyValueService], object]] = {
    "key": lambda store: store.get("k"),
    "list": lambda store: store.list("k"),
    "watch": lambda store: next(iter(store.watch("k", 1))),
}


def platform_store(server: EndlessServer | ScriptedServer) -> KeyValueService:
    return PlatformStore(Endpoint(host="127.0.0.1", port=server.port))


def etcd(server: EndlessServer | ScriptedServer) -> KeyValueService:
    return EtcdKeyValueService("127.0.0.1", server.port)


@pytest.mark.parametrize("read", READS)
@pytest.mark.parametrize("form", FORMS)
@pytest.mark.parametrize("connect", [platform_store, etcd])
def test_endless_answer_of_the_store_is_aborted(
    connect: Callable[[EndlessServer], KeyValueService], form: str, read: str
) -> None:
    """Guards against reading an answer of the store until the process is out of memory.

    Its memory is that of the largest answer and of a copy.
    """
    tracemalloc.start()
    try:
        with endless_server(*FORMS[form]) as server, gevent.Timeout(20.0):
            with pytest.raises(LostAnswerError):
                READS[read](connect(server))
            gevent.sleep(0.1)
            assert server.connections_open == 0
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    largest_bytes = MAX_ANSWER_BYTES if connect is platform_store else ETCD_BYTES
    assert peak_bytes < 3 * largest_bytes


@pytest.mark.parametrize("form", FORMS)
def test_endless_instance_list_is_aborted(form: str) -> None:
    """Guards against a list that is read until the process is out of memory."""
    with endless_server(*FORMS[form]) as server, gevent.Timeout(20.0):
        with pytest.raises(ListUnavailableError):
            HttpInstanceList("127.0.0.1", server.port).read()
        gevent.sleep(0.1)
        assert server.connections_open == 0


@pytest.mark.parametrize(
    ("connect", "field"), [(platform_store, b"items"), (etcd, b"kvs")]
)
def test_answer_of_many_short_values_takes_little_memory(
    connect: Callable[[ScriptedServer], KeyValueService], field: bytes
) -> None:
    """Guards against JSON that takes many times its bytes once it is decoded."""
    body = b'{"' + field + b'":[' + SHORT_VALUES + b"[]]}"
    answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    tracemalloc.start()
    try:
        with scripted_server(answer) as server, pytest.raises(LostAnswerError):
            connect(server).list("k")
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < 4 * MAX_ANSWER_BYTES


def test_conflict_of_many_responses_is_a_lost_answer() -> None:
    """Guards against responses to reads that no transaction has asked for."""
    body = b'{"responses":[' + b'{"response_range":{}},' * 1_000 + b"{}]}"
    answer = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    with scripted_server(answer) as server, pytest.raises(LostAnswerError):
        etcd(server).delete("k", 7)


def test_conflict_with_a_missing_key_is_a_conflict() -> None:
    """Guards against a lost answer where the store states only the key's name."""
    body = b'{"items":[{"key":"k"}]}'
    head = b"HTTP/1.1 412 Precondition Failed\r\nContent-Length: %d\r\n\r\n"
    with scripted_server(head % len(body) + body) as server:
        store = PlatformStore(Endpoint(host="127.0.0.1", port=server.port))
        assert store.delete("k", 7) == SwapResult(False, None, 0)
