"""What the head of a server's answer means for the request that was sent.

Servers echo the id of the request that they answer. What an answer says holds for that
request only, so the id is compared first: a refusal of another request says nothing
about this one, which the server may be running.

Once a stream has begun, only the rest of it may follow. The requester has a status and
headers by then, so an error or a page of a further server would become part of the
stream.
"""

from __future__ import annotations

from typing import Final

import attrs

from .messages import AttemptResult
from .request import AnswerHead

MIN_FAILURE_STATUS: Final = 400
# Requesters read these as a promise that the request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


@attrs.frozen(kw_only=True)
class SentRequest:
    """What an answer is compared with."""

    request_id: str
    server_id: str
    # The request may run more than once.
    is_idempotent: bool
    # The answer with which the requester's stream began; None before it has.
    stream_start: AnswerHead | None


@attrs.frozen
class NotRunAnswer:
    """The server states that it did not run the request."""

    result: AttemptResult
    detail: str


@attrs.frozen
class UnusableAnswer:
    """The answer must not reach the requester, and the request may have run."""

    result: AttemptResult
    detail: str


def classify_answer(
    facts: AnswerHead, sent: SentRequest
) -> NotRunAnswer | UnusableAnswer | None:
    """Return why an answer to a request cannot be used; None if it can."""
    if facts.request_id != sent.request_id:
        return UnusableAnswer(AttemptResult.LOST, "the answer to another request")
    if facts.not_run:
        return NotRunAnswer(_rejection_result(facts, sent.server_id), f"{facts.status}")
    if facts.is_encoded:
        return UnusableAnswer(AttemptResult.LOST, "the answer is encoded")
    if facts.status in NOT_RUN_STATUSES and not sent.is_idempotent:
        # The server has not stated that nothing ran, so the requester must not read it
        # from the status.
        return UnusableAnswer(
            AttemptResult.FAILED, f"{facts.status} without a statement"
        )
    if sent.stream_start is not None and not _continues_stream(
        sent.stream_start, facts
    ):
        failed = facts.status >= MIN_FAILURE_STATUS
        result = AttemptResult.FAILED if failed else AttemptResult.LOST
        return UnusableAnswer(
            result, f"{facts.status} {facts.content_type} in a stream"
        )
    return None


def _continues_stream(begun: AnswerHead, facts: AnswerHead) -> bool:
    """Return whether an answer may follow in a stream that has begun."""
    return (facts.status, facts.content_type) == (begun.status, begun.content_type)


def _rejection_result(facts: AnswerHead, server_id: str) -> AttemptResult:
    if not facts.is_misdirected:
        return AttemptResult.REJECTED
    if facts.server_id not in ("", server_id):
        return AttemptResult.WRONG_SERVER
    return AttemptResult.MODEL_MISSING
