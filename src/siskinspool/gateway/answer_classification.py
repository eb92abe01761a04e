"""Classifies the head of a server's answer to a request.

Servers echo the id of the request that they answer, and an answer applies to that
request only. The id is therefore compared first: a rejection of another request says
nothing about this one, which the server may be running.

Once a stream has started, only its continuation is usable. The requester has already
received the status and headers, so an error body or any other body from a further
server would become part of the stream.
"""

from __future__ import annotations

from typing import Final

import attrs

from .messages import AttemptResult
from .request import AnswerHead

MIN_FAILURE_STATUS: Final = 400
# Statuses that tell a requester that the request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


@attrs.frozen(kw_only=True)
class SentRequest:
    """The sent request, as far as its answer is checked against it."""

    request_id: str
    server_id: str
    # The request may run more than once.
    is_idempotent: bool
    # The answer that started the requester's stream; None before it has started.
    stream_start: AnswerHead | None


@attrs.frozen
class NotRunAnswer:
    """An answer that states that the server did not run the request."""

    result: AttemptResult
    detail: str


@attrs.frozen
class UnusableAnswer:
    """An answer that must not reach the requester; the request may have run."""

    result: AttemptResult
    detail: str


def classify_answer(
    head: AnswerHead, sent: SentRequest
) -> NotRunAnswer | UnusableAnswer | None:
    """Return why an answer to a request cannot be used; None if it can."""
    if head.request_id != sent.request_id:
        return UnusableAnswer(AttemptResult.LOST, "the answer to another request")
    if head.not_run:
        return NotRunAnswer(_rejection_result(head, sent.server_id), f"{head.status}")
    if head.is_encoded:
        return UnusableAnswer(AttemptResult.LOST, "the answer is encoded")
    if head.status in NOT_RUN_STATUSES and not sent.is_idempotent:
        # The server has not stated that nothing ran, so the requester must not be able
        # to conclude it from the status.
        return UnusableAnswer(
            AttemptResult.FAILED, f"{head.status} without a not-run statement"
        )
    if sent.stream_start is not None and not _continues_stream(sent.stream_start, head):
        failed = head.status >= MIN_FAILURE_STATUS
        result = AttemptResult.FAILED if failed else AttemptResult.LOST
        return UnusableAnswer(result, f"{head.status} {head.content_type} in a stream")
    return None


def _continues_stream(stream_start: AnswerHead, head: AnswerHead) -> bool:
    """Return whether an answer may continue a stream that has started."""
    return (head.status, head.content_type) == (
        stream_start.status,
        stream_start.content_type,
    )


def _rejection_result(head: AnswerHead, server_id: str) -> AttemptResult:
    if not head.is_misdirected:
        return AttemptResult.REJECTED
    if head.server_id not in ("", server_id):
        return AttemptResult.WRONG_SERVER
    return AttemptResult.MODEL_MISSING
