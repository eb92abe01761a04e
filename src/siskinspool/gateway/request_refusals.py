"""Refusals of requests that got no answer from a server.

429 and 503 are used only if no server can have run the request; otherwise the status is
502 or 504, which leave open whether it ran.
"""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from ..core.errors import ErrorCode
from ..core.outcome import Refusal, RunState
from .messages import AssignRefused

RETRY_AFTER_S: Final = 0.3
UNKNOWN_ORIGIN_RETRY_S: Final = 5.0
# An isolated gateway finds out about the end of a partition within this time.
ISOLATED_RETRY_S: Final = 1.0


def deadline_refusal(detail: str, *, may_have_run: bool) -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    if may_have_run:
        return _unknown_outcome(504, ErrorCode.DEADLINE_PASSED, detail)
    return Refusal(
        503,
        ErrorCode.DEADLINE_PASSED,
        f"the time was up before a server ran the request {detail}",
        retry_after_s=RETRY_AFTER_S,
    )


def stopping_refusal(*, may_have_run: bool) -> Refusal:
    """Return the refusal of a request at an instance that is stopping.

    If it has not run, another instance can serve it at once.
    """
    if may_have_run:
        return _unknown_outcome(504, ErrorCode.DRAINING, "the instance stops")
    return Refusal(503, ErrorCode.DRAINING, "the instance stops", retry_after_s=0.0)


def quarantine_refusal(
    part_ids: Collection[str],
    *,
    may_have_run: bool,
    retry_after_s: float | None = None,
) -> Refusal:
    """Return the refusal of a request with prompt parts that crash servers."""
    detail = f"servers crash on prompts with the parts {','.join(sorted(part_ids))}"
    if may_have_run:
        return _unknown_outcome(502, ErrorCode.PROMPT_QUARANTINED, detail)
    return Refusal(
        503, ErrorCode.PROMPT_QUARANTINED, detail, retry_after_s=retry_after_s
    )


def unknown_origin_refusal() -> Refusal:
    """Return the refusal of a stream of which nobody knows the software version.

    A later attempt will hardly know more.
    """
    return Refusal(
        503,
        ErrorCode.STREAM_ORIGIN_UNKNOWN,
        "the software version that began the stream is not known",
        retry_after_s=UNKNOWN_ORIGIN_RETRY_S,
    )


def no_server_refusal(
    refused: AssignRefused | None, detail: str, *, may_have_run: bool
) -> Refusal:
    """Return the refusal of a request that got no server, or no further one."""
    if may_have_run:
        return _unknown_outcome(502, ErrorCode.SERVER_FAILED, detail)
    if refused is None:
        return Refusal(
            503,
            ErrorCode.NO_SERVER,
            "no decision on a server",
            retry_after_s=RETRY_AFTER_S,
        )
    return Refusal(
        503, refused.code, refused.detail, retry_after_s=refused.retry_after_s
    )


def isolated_refusal(detail: str, *, may_have_run: bool) -> Refusal:
    """Return the refusal of a request at an instance that reaches no server."""
    if may_have_run:
        return _unknown_outcome(502, ErrorCode.OUTCOME_UNKNOWN, detail)
    return Refusal(
        503,
        ErrorCode.NO_SERVER,
        f"no server can be reached: {detail}",
        retry_after_s=ISOLATED_RETRY_S,
    )


def failure_refusal(detail: str, *, may_have_run: bool, in_time: bool) -> Refusal:
    """Return the refusal of a request that may not be sent again."""
    if may_have_run and not in_time:
        return _unknown_outcome(504, ErrorCode.DEADLINE_PASSED, detail)
    if may_have_run:
        return _unknown_outcome(502, ErrorCode.OUTCOME_UNKNOWN, detail)
    return Refusal(
        503,
        ErrorCode.SERVER_FAILED,
        f"no server took the request: {detail}",
        retry_after_s=RETRY_AFTER_S,
    )


def internal_refusal(error: BaseException, *, may_have_run: bool) -> Refusal:
    """Return the refusal of a request that an unexpected error has ended."""
    detail = type(error).__name__
    if may_have_run:
        return _unknown_outcome(502, ErrorCode.INTERNAL, detail)
    return Refusal(503, ErrorCode.INTERNAL, detail, retry_after_s=RETRY_AFTER_S)


def _unknown_outcome(status: int, code: ErrorCode, detail: str) -> Refusal:
    return Refusal(status, code, detail, RunState.UNKNOWN)
