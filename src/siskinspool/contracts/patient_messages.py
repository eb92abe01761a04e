"""Messages for durable patient requests.

Request handlers send `SubmitPatient` and `GetPatientStatus` to the local task
``patient``. The owner of ``patient/<shard>`` sends `RunPatient` to the task ``runner``
of the chosen instance. A runner

- ignores a `RunPatient` for another incarnation;
- starts a token at most once, however often it receives the message;
- answers the latest sender with `PatientStarted`, and repeats `PatientFinished` until
  it receives `PatientRecorded`;
- returns requests that it has definitely not run with `PatientReturned` when its
  instance stops, which it also repeats until it receives `PatientRecorded`.
"""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..core.message import Message
from ..links.codec import wire


class PatientState(StrEnum):
    """State of a patient request."""

    ACCEPTED = "accepted"
    RUNNING = "running"
    DONE = "done"
    # Ended without an answer; `PatientFailure` has the reason.
    FAILED = "failed"
    # The team has no request with this id.
    NOT_FOUND = "not_found"
    # The key-value service or the parts of the request could not be read.
    UNAVAILABLE = "unavailable"


class PatientFailure(StrEnum):
    """Why a request ended without an answer."""

    NONE = ""
    # The deadline passed before the request was started: not run.
    DEADLINE_PASSED = "deadline_passed"
    # The runner disappeared and the request must not be repeated.
    OUTCOME_UNKNOWN = "outcome_unknown"


class PatientRefusal(StrEnum):
    """Why a request was not accepted."""

    TEAM_FULL = "team_full"
    SITE_FULL = "site_full"
    STORE_UNAVAILABLE = "store_unavailable"
    # It may have been accepted. All other reasons imply that it was not run.
    OUTCOME_UNKNOWN = "outcome_unknown"


@wire
@attrs.frozen
class SubmitPatient(Message):
    """Submits a request; forwarded to the owner and possibly repeated."""

    request_id: str
    team: str
    method: str
    target: str
    route: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    idempotent: bool
    deadline_in_s: float


@wire
@attrs.frozen
class PatientAccepted(Message):
    """The request is stored in the key-value service."""

    request_id: str


@wire
@attrs.frozen
class PatientRefused(Message):
    """The request was not accepted."""

    request_id: str
    reason: PatientRefusal


@attrs.frozen
class GetPatientStatus(Message):
    """Requests the state of a request; answered with `PatientStatus`."""

    request_id: str
    team: str


@attrs.frozen
class PatientStatus(Message):
    """State of a request; status, content type and body are set only when done."""

    state: PatientState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    failure: PatientFailure = PatientFailure.NONE


@wire
@attrs.frozen
class RunPatient(Message):
    """Tells a runner to run a request under a token."""

    token: str
    incarnation: str
    request: SubmitPatient


@wire
@attrs.frozen
class PatientStarted(Message):
    """The runner has received the request."""

    request_id: str
    token: str


@wire
@attrs.frozen
class PatientFinished(Message):
    """The request was run; contains its answer."""

    request_id: str
    token: str
    status: int
    content_type: str
    body: bytes


@wire
@attrs.frozen
class PatientReturned(Message):
    """The runner stops and has not run and will not run the request of this token."""

    request_id: str
    token: str


@wire
@attrs.frozen
class PatientRecorded(Message):
    """The answer is stored or no longer needed; the runner may discard it."""

    token: str
