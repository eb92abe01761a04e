"""Values that another program wrote into the store that the gateways share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from siskinspool.gateway.leadership import LEADER_KEY, Leadership
from siskinspool.gateway.load_ledger import decode_loads
from siskinspool.gateway.messages import LeaderChanged
from siskinspool.gateway.servers import ServerRecord, ServerRemoved
from siskinspool.links.codec import Malformed, MsgpackCodec
from siskinspool.links.server_link import HttpServerLink, NotSent, ServerRequest
from siskinspool.platform.desired_state import UnreadableValue, decode_desired_state
from siskinspool.platform.server_entries import decode_report, decode_server_entry
from siskinspool.store.kv import KvChanged
from siskinspool.store.session_keeper import decode_session

from .builders_gateway import (
    bounds,
    encode,
    entry_document,
    incoming,
    member,
    messages,
    report_document,
)
from .builders_registry_feed import RecordingFeed

DEPTH = 100_000
DEEP = b'{"x":' + b"[" * DEPTH + b"]" * DEPTH + b"}"
DIGITS = b"1" * 5_000


def entry_with(name: str, value: bytes) -> bytes:
    """Return a registry entry with the given bytes as the value of one field."""
    return encode(entry_document(**{name: "HERE"})).replace(b'"HERE"', value)


@pytest.mark.parametrize(
    "decode",
    [
        lambda data: decode_server_entry("servers/i-1", data),
        decode_report,
        decode_desired_state,
    ],
)
def test_deeply_nested_value_is_unreadable(decode: Callable[[bytes], Any]) -> None:
    """Guards against an uncaught error, after which the previous entry stays in use."""
    assert isinstance(decode(DEEP), UnreadableValue)


def test_deeply_nested_value_of_another_kind_is_unreadable() -> None:
    """Guards against a ledger, session or message that crashes its reader."""
    assert decode_loads(DEEP) == {}
    assert decode_session("g2", DEEP) is None
    deep_message = b"\x91" * DEPTH + b"\xc0"
    assert isinstance(MsgpackCodec().decode(deep_message), Malformed)


def test_deeply_nested_record_of_the_leader_names_none() -> None:
    """Guards against gateways that keep following a replaced leader."""
    own = member("g1")
    leadership = Leadership(own, bounds(), ("routing",), 100.0, first_start=True)
    batch = leadership.handle(incoming(KvChanged(LEADER_KEY, DEEP, 7)), 100.0)
    assert LeaderChanged(None) in messages(batch)


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("addr", b'"10.0.0.9:' + DIGITS + b'"'),
        ("addr", b'"10.0.0.9:70000"'),
        ("addr", b'"10.0.0.9:0"'),
        ("addr", '"10.0.0.9:\u0664\u0664"'.encode()),
        ("addr", b'"10.0.0.9\\u0000:80"'),
        ("addr", b'"10.0 0.9:80"'),
        ("addr", b'"10.0..7:8080"'),
        ("addr", b'"10.0.0.256:80"'),
        ("addr", b'"10.0.7:80"'),
        ("addr", b'"0.0.0.0:80"'),
        ("addr", b'"name-of-64-letters' + b"x" * 64 + b'.example:80"'),
        ("addr", b'"[10::g]:80"'),
        ("addr", b'"10::1:80"'),
        ("slots", DIGITS),
        ("slots", b"1" + b"0" * 40),
        ("slots", b"-1"),
        ("cold_ms", b"1e308"),
        ("cold_ms", DIGITS),
        ("born", b"1" + b"0" * 40),
        ("born", b"-5"),
        ("models", b'[{"name":"m0","version":1' + b"0" * 40 + b"}]"),
    ],
)
def test_value_out_of_range_is_unreadable(name: str, value: bytes) -> None:
    """Guards against a server that always looks free or cannot be connected to."""
    data = entry_with(name, value)
    assert isinstance(decode_server_entry("servers/i-1", data), UnreadableValue)


def test_ipv6_address_is_given_without_brackets() -> None:
    """Guards against a server that cannot be connected to."""
    data = entry_with("addr", b'"[fd00::7]:80"')
    entry = decode_server_entry("servers/i-1", data)
    assert isinstance(entry, ServerRecord)
    assert (entry.host, entry.port) == ("fd00::7", 80)


@pytest.mark.parametrize("host", ["10.0..7", "x" * 64 + ".example", "a\0b", ""])
def test_request_to_an_impossible_host_is_not_sent(host: str) -> None:
    """Guards against a request that ends without an answer, or counts as sent."""
    request = ServerRequest(
        host=host, port=1, method="GET", uri="/", headers={}, body=b""
    )
    assert isinstance(HttpServerLink().open_call(request, 0.5), NotSent)


def test_count_of_orders_out_of_range_is_unreadable() -> None:
    """Guards against a count that is too large for messages between gateways."""
    data = encode(report_document(seq="HERE")).replace(b'"HERE"', b"1" + b"0" * 40)
    assert isinstance(decode_report(data), UnreadableValue)


def test_ledger_out_of_range_is_not_used() -> None:
    """Guards against a leader that starts as many loads as an invalid ledger allows."""
    assert decode_loads(b'{"writers":{"limit":1' + b"0" * 40 + b',"loads":[]}}') == {}


def test_list_of_servers_is_followed_past_an_odd_entry() -> None:
    """Guards against a feed that stops or crashes at one invalid entry."""
    feed = RecordingFeed()
    good = encode(entry_document())
    for number, data in enumerate(
        (good, DEEP, entry_with("addr", b'"h:' + DIGITS + b'"'), good)
    ):
        feed.handle(incoming(KvChanged(f"servers/i-{number}", data, number + 1)))
    assert [type(one) for one in feed.sent_messages] == [
        ServerRecord,
        ServerRemoved,
        ServerRemoved,
        ServerRecord,
    ]
