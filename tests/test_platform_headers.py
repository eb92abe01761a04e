"""Headers of the platform: decoding, and forwarding between requesters and servers."""

from __future__ import annotations

import pytest

from siskinspool.gateway.request import PromptPart, RequestHead, SendPlan
from siskinspool.gateway.servers import ServerLoad
from siskinspool.platform.headers import (
    answer_headers,
    decode_answer,
    decode_head,
    server_headers,
)

SENT = {
    "host": "site.example:80",
    "request-id": "r1",
    "model": "m0/a3",
    "token-count": "1460, 80",
    "prompt-prefix": "5c:800,91:410",
    "deadline-ms": "5000",
    "authorization": "Bearer secret",
    "tenant": "somebody",
    "expect-instance": "i-9",
    "hold": "h1",
    "pin-ms": "100",
    "kv-from": "10.0.0.1:1/x",
    "kv-backup": "10.0.0.1:1",
    "request-priority": "0",
    "x-note": "kept",
    "connection": "x-hop, model",
    "x-hop": "dropped",
    "transfer-encoding": "chunked",
}


def decoded() -> RequestHead:
    head = decode_head("POST", "/quote/a?b=%20", SENT)
    assert isinstance(head, RequestHead)
    return head


def plan(**changes: object) -> SendPlan:
    values = {
        "server_id": "i-1",
        "remaining_s": 1.2345,
        "priority": 1,
        "team": "smiths",
        "last_event_id": "",
        "keeps_authorization": False,
    }
    return SendPlan(**values | changes)  # type: ignore[arg-type]


def test_head_is_decoded() -> None:
    """Guards against a wrong interpretation of the request's headers."""
    head = decoded()
    assert (head.model, head.adapter, head.tokens) == ("m0", "a3", 1540)
    assert head.parts == (PromptPart("5c", 800), PromptPart("91", 410))
    assert head.deadline_s == 5.0
    assert head.host == "site.example"
    assert head.target == "/quote/a?b=%20"
    assert "secret" not in repr(head)


def test_system_headers_never_pass_from_a_requester() -> None:
    """Guards against a requester that sets the tenant or controls a server's memory."""
    headers = {
        name.lower(): text for name, text in server_headers(decoded(), plan()).items()
    }
    assert headers["tenant"] == "smiths"
    assert headers["expect-instance"] == "i-1"
    assert headers["request-priority"] == "1"
    assert headers["deadline-ms"] == "1234"
    for name in ("authorization", "hold", "pin-ms", "kv-from", "kv-backup", "x-hop"):
        assert name not in headers
    assert "transfer-encoding" not in headers
    assert headers["x-note"] == "kept"
    assert headers["model"] == "m0/a3"
    assert headers["host"] == "site.example:80"


def test_no_tenant_on_a_public_route() -> None:
    """Guards against a tenant header from the requester on a public route."""
    headers = server_headers(decoded(), plan(team=""))
    assert "Tenant" not in headers


@pytest.mark.parametrize(
    "change",
    [
        {"request-id": ""},
        {"deadline-ms": "soon"},
        {"deadline-ms": "nan"},
        {"token-count": "5"},
        {"token-count": "-1,5"},
    ],
)
def test_unusable_heads_are_named(change: dict[str, str]) -> None:
    """Guards against guessing the meaning of an invalid header."""
    assert isinstance(decode_head("POST", "/quote/", SENT | change), str)


def test_only_not_run_and_421_say_that_nothing_ran() -> None:
    """Guards against repeating a request that may have run."""
    assert decode_answer(503, {"not-run": "1"}).not_run
    assert decode_answer(421, {}).not_run
    assert not decode_answer(503, {}).not_run
    assert not decode_answer(500, {"retry-after": "1"}).not_run


def test_answer_facts() -> None:
    """Guards against a wrong load and against bodies with a content encoding."""
    facts = decode_answer(
        200, {"server-load": "3,0,8", "request-id": "r1", "content-encoding": "gzip"}
    )
    assert facts.load is not None
    assert (facts.load.running, facts.load.waiting, facts.load.slots) == (3, 0, 8)
    assert facts.is_encoded
    assert decode_answer(200, {"server-load": "3,0"}).load is None


def test_connection_headers_stay_with_the_connection() -> None:
    """Guards against forwarding hop-by-hop headers to the other connection."""
    headers = answer_headers(
        {"connection": "close", "transfer-encoding": "chunked", "server-stamp": "s"}
    )
    assert headers == {"server-stamp": "s"}


MANY_DIGITS = "9" * 5_000


@pytest.mark.parametrize(
    "header", ["token-count", "length-hint", "prompt-prefix", "deadline-ms"]
)
def test_number_of_thousands_of_digits_ends_no_request(header: str) -> None:
    """Guards against a conversion error in place of an answer."""
    text = {"token-count": f"1,{MANY_DIGITS}", "prompt-prefix": f"5c:{MANY_DIGITS}"}
    sent = SENT | {header: text.get(header, MANY_DIGITS)}
    head = decode_head("POST", "/quote/a", sent)
    assert isinstance(head, str | RequestHead)


@pytest.mark.parametrize(
    ("text", "slowdown"),
    [
        ("3,0,8", None),
        ("3,0,8,250", 2.5),
        ("3,0,8,55,7,new", 0.55),
        ("3,0,8,fast", None),
        ("3,0,8,0", None),
    ],
)
def test_load_with_more_figures_is_used(text: str, slowdown: float | None) -> None:
    """Guards against dropping the whole load of a server that states more."""
    load = decode_answer(200, {"server-load": text}).load
    assert load == ServerLoad(running=3, waiting=0, slots=8, slowdown=slowdown)


def test_load_of_thousands_of_digits_is_ignored() -> None:
    """Guards against a server whose answer ends the request without one."""
    answer = decode_answer(200, {"server-load": f"1,0,{MANY_DIGITS}"})
    assert answer.load is None


def test_malformed_part_hides_no_later_part() -> None:
    """Guards against a crashing part that is not seen behind a malformed one."""
    head = decode_head("POST", "/q", SENT | {"prompt-prefix": "a1, B2:x, :5, c3:7"})
    assert isinstance(head, RequestHead)
    expected = (PromptPart("a1", 0), PromptPart("b2", 0), PromptPart("c3", 7))
    assert head.parts == expected


@pytest.mark.parametrize(
    ("status", "text", "expected"),
    [
        (503, "2", 2.0),
        (503, " 0.25 ", 0.25),
        (503, "999999999", 999_999_999.0),
        # No pause, or none that can be relied on.
        (503, "", None),
        (503, "0", None),
        (503, "-1", None),
        (503, "1e3", None),
        (503, "nan", None),
        (503, "Sun, 06 Dec 2026 09:00:00 GMT", None),
        # The header was sent twice.
        (503, "2, 5", None),
        (503, "9" * 400, None),
        # Other statuses speak of the request and not of the server.
        (429, "2", None),
        (200, "2", None),
    ],
)
def test_only_a_sound_time_is_a_pause(
    status: int, text: str, expected: float | None
) -> None:
    """Guards against a server that is out of use because of a malformed header."""
    assert decode_answer(status, {"retry-after": text}).retry_after_s == expected


@pytest.mark.parametrize("status", [200, 404, 421, 500, 503])
@pytest.mark.parametrize(
    ("text", "expected"), [("1", True), ("1, 1", True), ("0", False), ("", False)]
)
def test_leaving_is_read_from_any_answer(
    status: int, text: str, expected: bool
) -> None:
    """Guards against a leaving server that is only noticed by a good answer."""
    assert decode_answer(status, {"server-leaving": text}).is_leaving is expected
