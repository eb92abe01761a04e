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
from .request import AnswerFacts

LEAST_FAILURE_STATUS: Final = 400
# Statuses that tell a requester that the request has not run and never will.
PROMISES: Final = frozenset({408, 421, 429, 503})


@attrs.frozen(kw_only=True)
class Sent:
    """The sent request, as far as its answer is checked against it."""

    request_id: str
    server_id: str
    # The request may run more than once.
    idempotent: bool
    # The answer that started the requester's stream; None before it has started.
    begun: AnswerFacts | None


@attrs.frozen
class NotRun:
    """An answer that states that the server did not run the request."""

    result: AttemptResult
    detail: str


@attrs.frozen
class Unusable:
    """An answer that must not reach the requester; the request may have run."""

    result: AttemptResult
    detail: str


def judge_answer(facts: AnswerFacts, sent: Sent) -> NotRun | Unusable | None:
    """Return why an answer to a request cannot be used; None if it can."""
    if facts.request_id != sent.request_id:
        return Unusable(AttemptResult.LOST, "the answer to another request")
    if facts.not_run:
        return NotRun(_refused(facts, sent.server_id), f"{facts.status}")
    if facts.encoded:
        return Unusable(AttemptResult.LOST, "the answer is encoded")
    if facts.status in PROMISES and not sent.idempotent:
        # The server has not stated that nothing ran, so the requester must not be able
        # to conclude it from the status.
        return Unusable(
            AttemptResult.FAILED, f"{facts.status} without a not-run statement"
        )
    if sent.begun is not None and not _goes_on(sent.begun, facts):
        failed = facts.status >= LEAST_FAILURE_STATUS
        result = AttemptResult.FAILED if failed else AttemptResult.LOST
        return Unusable(result, f"{facts.status} {facts.content_type} in a stream")
    return None


def _goes_on(begun: AnswerFacts, facts: AnswerFacts) -> bool:
    """Return whether an answer may continue a stream that has started."""
    return (facts.status, facts.content_type) == (begun.status, begun.content_type)


def _refused(facts: AnswerFacts, server_id: str) -> AttemptResult:
    if not facts.misdirected:
        return AttemptResult.REJECTED
    if facts.server_id not in ("", server_id):
        return AttemptResult.WRONG_SERVER
    return AttemptResult.MODEL_MISSING
