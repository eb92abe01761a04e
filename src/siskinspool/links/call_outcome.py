"""Results of calls: refusals for failed attempts, and the number of used tokens."""

from __future__ import annotations

import json
from typing import Final

from ..contracts.share_messages import SpendRefusal, SpendRefused
from ..core.errors import ErrorCode
from ..core.malformed import MALFORMED_ERRORS
from ..core.message import Message
from ..core.outcome import Refusal, RunState
from .server_link import Lost, NotSent

# HTTP status of refusals by routing.
STATUS_BY_CODE: Final = {
    ErrorCode.DEADLINE_UNREACHABLE: 503,
    ErrorCode.DEADLINE_PASSED: 504,
    ErrorCode.QUEUE_FULL: 503,
    ErrorCode.NO_SERVER: 503,
    ErrorCode.LOAD_FAILED: 503,
    ErrorCode.UNKNOWN_MODEL: 404,
}


def parse_reported_tokens(data: bytes) -> int | None:
    """Return the total token count that an answer or event reports, if any."""
    try:
        text = data.strip().removeprefix(b"data: ")
        usage = json.loads(text).get("usage") or {}
        return int(usage["prompt_tokens"]) + int(usage["completion_tokens"])
    except (*MALFORMED_ERRORS, KeyError, AttributeError):
        return None


def incomplete_answer_refusal() -> Refusal:
    """Return the refusal for an incomplete answer."""
    return Refusal(
        502,
        ErrorCode.ANSWER_INCOMPLETE,
        "the answer ended before its end marker",
        RunState.RUN,
    )


def failed_call_refusal(result: NotSent | Lost) -> Refusal:
    """Return the refusal for a call whose last attempt failed."""
    if isinstance(result, NotSent):
        return Refusal(503, ErrorCode.SERVER_FAILED, result.reason, retry_after_s=1.0)
    return Refusal(502, ErrorCode.SERVER_FAILED, result.reason, RunState.UNKNOWN)


def spend_refusal_detail(answer: Message | None) -> str:
    """Return the text that explains why the tokens of a call were refused."""
    is_larger = (
        isinstance(answer, SpendRefused)
        and answer.reason is SpendRefusal.LARGER_THAN_BURST
    )
    if is_larger:
        return "the request needs more tokens than the team's burst"
    return "the team's rate is used up"
