"""Encodes and decodes the platform's request and answer headers.

`decode_head` decodes a requester's headers into a `RequestHead`; `server_headers`
returns the headers of the request as it is sent to a server; `decode_answer` decodes
the head of a server's answer. Headers that the system sets itself are never copied from
a requester.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Final

from ..gateway.request import AnswerHead, PromptPart, RequestHead, SendPlan
from ..gateway.servers import ServerLoad
from ..server_signals.headers import (
    stated_pause_s,
    stated_rejections_per_s,
    states_leaving,
)

REQUEST_ID: Final = "request-id"
DEADLINE_MS: Final = "deadline-ms"
# The model, or MODEL/ADAPTER.
MODEL: Final = "model"
# Prompt tokens and the maximum of output tokens.
TOKEN_COUNT: Final = "token-count"
LENGTH_HINT: Final = "length-hint"
PROMPT_PREFIX: Final = "prompt-prefix"
# Id of the last event that the requester has received.
LAST_EVENT_ID: Final = "last-event-id"
# Id of the attempt that brought the first event of the stream.
RESUMES: Final = "resumes"
AUTHORIZATION: Final = "authorization"
TENANT: Final = "tenant"
EXPECT_INSTANCE: Final = "expect-instance"
INSTANCE_ID: Final = "instance-id"
REQUEST_PRIORITY: Final = "request-priority"
NOT_RUN: Final = "not-run"
SERVER_LOAD: Final = "server-load"
RETRY_AFTER: Final = "retry-after"
CONTENT_TYPE: Final = "content-type"
CONTENT_ENCODING: Final = "content-encoding"

_BEARER: Final = "bearer "
# Longer numbers are not valid; Python refuses to convert those of several thousand.
MAX_DIGITS: Final = 15
_LOWEST_PRIORITY: Final = 9
# Figures of a server's load: running, waiting, slots, and how long work takes in
# percent of the usual time.
KNOWN_LOAD_FIGURES: Final = 4
USUAL_PERCENT: Final = 100
# Headers that the system sets, or that would control a server's memory.
_SYSTEM_HEADERS: Final = frozenset(
    {
        DEADLINE_MS,
        TENANT,
        EXPECT_INSTANCE,
        REQUEST_PRIORITY,
        LAST_EVENT_ID,
        "expect-version",
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-fetch",
        "kv-from",
    }
)
# Hop-by-hop headers (RFC 9110, section 7.6.1), and `Expect`, which this system answers
# itself.
_CONNECTION_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def decode_head(
    method: str, target: str, headers: Mapping[str, str]
) -> RequestHead | str:
    """Return the head of a request, or a message about what is invalid."""
    request_id = headers.get(REQUEST_ID, "")
    if not request_id:
        return "the request has no id"
    deadline_s = _deadline_s(headers.get(DEADLINE_MS))
    if isinstance(deadline_s, str):
        return deadline_s
    tokens = _token_count(headers.get(TOKEN_COUNT))
    if isinstance(tokens, str):
        return tokens
    model, _, adapter = headers.get(MODEL, "").partition("/")
    return RequestHead(
        request_id=request_id,
        method=method,
        target=target,
        host=headers.get("host", "").partition(":")[0].lower(),
        key=_bearer_key(headers.get(AUTHORIZATION, "")),
        deadline_s=deadline_s,
        model=model,
        adapter=adapter,
        tokens=tokens,
        output_tokens=_length_hint(headers.get(LENGTH_HINT, "")),
        parts=_prompt_parts(headers.get(PROMPT_PREFIX, "")),
        last_event_id=headers.get(LAST_EVENT_ID, ""),
        resumed_id=headers.get(RESUMES, "").strip(),
        headers=dict(headers),
    )


def server_headers(head: RequestHead, plan: SendPlan) -> dict[str, str]:
    """Return the headers of a request as it is sent to the plan's server."""
    dropped = _CONNECTION_HEADERS | _SYSTEM_HEADERS
    connection_names = {
        name.strip().lower() for name in head.headers.get("connection", "").split(",")
    }
    # A requester must not be able to make the system drop headers the server needs.
    dropped |= connection_names - {
        "host",
        REQUEST_ID,
        MODEL,
        TOKEN_COUNT,
        PROMPT_PREFIX,
    }
    headers = {
        name.title(): text
        for name, text in head.headers.items()
        if name not in dropped and (name != AUTHORIZATION or plan.keeps_authorization)
    }
    headers[EXPECT_INSTANCE.title()] = plan.server_id
    headers[DEADLINE_MS.title()] = str(max(math.floor(plan.remaining_s * 1000), 1))
    headers[REQUEST_PRIORITY.title()] = str(
        min(max(plan.priority, 0), _LOWEST_PRIORITY)
    )
    if plan.team:
        headers[TENANT.title()] = plan.team
    if plan.last_event_id:
        headers[LAST_EVENT_ID.title()] = plan.last_event_id
    return headers


def decode_answer(status: int, headers: Mapping[str, str]) -> AnswerHead:
    """Return the decoded head of a server's answer."""
    return AnswerHead(
        status=status,
        request_id=headers.get(REQUEST_ID, ""),
        # A 421 always means that another server has the address, or that the server
        # does not hold the model; in both cases nothing ran.
        not_run=NOT_RUN in headers or status == 421,
        is_misdirected=status == 421,
        server_id=headers.get(INSTANCE_ID, ""),
        content_type=headers.get(CONTENT_TYPE, "").partition(";")[0].strip().lower(),
        is_encoded=headers.get(CONTENT_ENCODING, "identity").lower() != "identity",
        load=_server_load(headers.get(SERVER_LOAD, "")),
        is_leaving=states_leaving(headers),
        retry_after_s=stated_pause_s(status, headers),
        max_rejections_per_s=stated_rejections_per_s(headers),
    )


def answer_headers(headers: Mapping[str, str]) -> dict[str, str]:
    """Return the headers of an answer that are forwarded to the requester."""
    return {
        name: text for name, text in headers.items() if name not in _CONNECTION_HEADERS
    }


def _deadline_s(text: str | None) -> float | str | None:
    if text is None:
        return None
    try:
        deadline_ms = float(text)
    except ValueError:
        return "the deadline is not a number"
    if not 0 <= deadline_ms < math.inf:
        return "the deadline is not a time"
    return deadline_ms / 1000


def _token_count(text: str | None) -> int | str | None:
    if text is None:
        return None
    numbers = [_whole_number(part.strip()) for part in text.split(",")]
    valid_numbers = [number for number in numbers if number is not None]
    if len(numbers) != 2 or len(valid_numbers) != 2:
        return "the token count is not two whole numbers"
    return sum(valid_numbers)


def _bearer_key(text: str) -> str:
    if text[: len(_BEARER)].lower() != _BEARER:
        return ""
    return text[len(_BEARER) :].strip()


def _length_hint(text: str) -> int:
    """Return the estimated output tokens; 0 if there is no valid hint."""
    return _whole_number(text.strip()) or 0


def _prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt; malformed ones do not cause a refusal.

    A part without a valid size counts as one without tokens: it still identifies what
    the request shares with others.
    """
    parts: list[PromptPart] = []
    for item in text.split(","):
        part_id, _, tokens = item.strip().partition(":")
        if part_id:
            parts.append(PromptPart(part_id.lower(), _whole_number(tokens) or 0))
    return tuple(parts)


def _whole_number(text: str) -> int | None:
    """Return a number of at most 15 decimal digits, None for any other text."""
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS
    return int(text) if is_number else None


def _server_load(text: str) -> ServerLoad | None:
    """Return the load that a server states; further figures may follow the known ones.

    A malformed figure is absent. Without the first three there is no load.
    """
    figures = [_whole_number(part.strip()) for part in text.split(",")]
    figures += [None] * (KNOWN_LOAD_FIGURES - len(figures))
    running, waiting, slots, slowdown_percent = figures[:KNOWN_LOAD_FIGURES]
    if running is None or waiting is None or slots is None:
        return None
    slowdown = slowdown_percent / USUAL_PERCENT if slowdown_percent else None
    return ServerLoad(running=running, waiting=waiting, slots=slots, slowdown=slowdown)
