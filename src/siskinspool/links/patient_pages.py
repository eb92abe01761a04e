"""What callers see of patient requests."""

from __future__ import annotations

from typing import Final

from ..contracts.patient_messages import (
    PatientAccepted,
    PatientFailure,
    PatientRefusal,
    PatientState,
    PatientStatus,
)
from ..core.errors import ErrorCode
from ..core.outcome import Refusal, RunState
from .caller import WholeAnswer, refusal_item
from .status import json_page

_REFUSAL_BY_REASON: Final = {
    PatientRefusal.TEAM_FULL: Refusal(
        429,
        ErrorCode.QUEUE_FULL,
        "too many requests of the team wait",
        retry_after_s=30,
    ),
    PatientRefusal.SITE_FULL: Refusal(
        503, ErrorCode.QUEUE_FULL, "too many requests wait", retry_after_s=30
    ),
    PatientRefusal.STORE_UNAVAILABLE: Refusal(
        503, ErrorCode.STORE_UNAVAILABLE, "the request was not stored", retry_after_s=5
    ),
    PatientRefusal.OUTCOME_UNKNOWN: Refusal(
        503,
        ErrorCode.OUTCOME_UNKNOWN,
        "the request may have been stored and may run",
        RunState.UNKNOWN,
    ),
}

_REFUSAL_BY_FAILURE: Final = {
    PatientFailure.DEADLINE_PASSED: Refusal(
        504, ErrorCode.DEADLINE_PASSED, "the deadline passed before the request ran"
    ),
    PatientFailure.OUTCOME_UNKNOWN: Refusal(
        502,
        ErrorCode.OUTCOME_UNKNOWN,
        "the instance that ran the request went away",
        RunState.UNKNOWN,
    ),
}


def patient_refusal(reason: PatientRefusal) -> Refusal:
    """Return the refusal of a request that was not accepted."""
    return _REFUSAL_BY_REASON[reason]


def accepted_page(location: str, accepted: PatientAccepted) -> WholeAnswer:
    """Return the answer to an accepted request, with the place to ask."""
    page = json_page({"id": accepted.request_id, "state": "accepted"}, 202)
    page.headers["location"] = location
    return page


def patient_page(request_id: str, status: PatientStatus) -> WholeAnswer:
    """Return the state of a request, or its answer once it is done."""
    match status.state:
        case PatientState.DONE:
            headers = {"content-type": status.content_type}
            return WholeAnswer(status.status, headers, status.body)
        case PatientState.FAILED:
            return refusal_item(_REFUSAL_BY_FAILURE[status.failure])
        case PatientState.NOT_FOUND:
            return refusal_item(
                # It may have run; its answer is removed some time after.
                Refusal(
                    404,
                    ErrorCode.REQUEST_NOT_FOUND,
                    "no such request",
                    RunState.UNKNOWN,
                )
            )
        case PatientState.UNAVAILABLE:
            # The state of the request is unknown here, whether it ran is too.
            return refusal_item(
                Refusal(
                    503,
                    ErrorCode.STORE_UNAVAILABLE,
                    "the request cannot be read now",
                    RunState.UNKNOWN,
                    retry_after_s=1,
                )
            )
        case state:
            return json_page({"id": request_id, "state": state}, 202)
