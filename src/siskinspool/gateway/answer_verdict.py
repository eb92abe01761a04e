"""What the head of a server's answer means for the request that was sent.

Servers echo the id of the request that they answer. What an answer says holds for that
request only, so the id is compared first: a refusal of another request says nothing
about this one, which the server may be running.
"""

from __future__ import annotations

import attrs

from .messages import AttemptResult
from .request import AnswerFacts


@attrs.frozen
class NotRun:
    """The server states that it did not run the request."""

    result: AttemptResult
    detail: str


@attrs.frozen
class Unusable:
    """The answer must not reach the requester, and the request may have run."""

    result: AttemptResult
    detail: str


def judge_answer(
    facts: AnswerFacts, request_id: str, server_id: str
) -> NotRun | Unusable | None:
    """Return why an answer to a request cannot be used; None if it can."""
    if facts.request_id != request_id:
        return Unusable(AttemptResult.LOST, "the answer to another request")
    if facts.not_run:
        return NotRun(_refused(facts, server_id), f"{facts.status}")
    if facts.encoded:
        return Unusable(AttemptResult.LOST, "the answer is encoded")
    return None


def _refused(facts: AnswerFacts, server_id: str) -> AttemptResult:
    if not facts.misdirected:
        return AttemptResult.REJECTED
    if facts.server_id not in ("", server_id):
        return AttemptResult.WRONG_SERVER
    return AttemptResult.MODEL_MISSING
