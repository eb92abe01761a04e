"""Messages of durable patient requests.

Request handlers send `SubmitPatient` and `GetPatientStatus` to the local task ``patient``.
The owner of ``patient/<shard>`` sends `RunPatient` to the task ``runner`` of the chosen
instance. A runner

- ignores a `RunPatient` for another incarnation;
- starts a token at most once, however often the message comes;
- answers the latest sender with `PatientStarted`, and with `PatientFinished` until
  `PatientRecorded` comes;
- when its instance stops, gives back with `PatientReturned` what it has certainly not
  run, also until `PatientRecorded` comes.
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
    # Ended without an answer; see `PatientFailure`.
    FAILED = "failed"
    # No such request of this team.
    NOT_FOUND = "not_found"
    # The service or the request's parts could not be read.
    UNAVAILABLE = "unavailable"


class PatientFailure(StrEnum):
    """Why a request has no answer."""

    NONE = ""
    # The deadline passed before it was started: not run.
    DEADLINE_PASSED = "deadline_passed"
    # The runner went away and the request must not be repeated.
    OUTCOME_UNKNOWN = "outcome_unknown"


class PatientRefusal(StrEnum):
    """Why a request was not accepted."""

    TEAM_FULL = "team_full"
    SITE_FULL = "site_full"
    STORE_UNAVAILABLE = "store_unavailable"
    # It may have been accepted; only this reason is not "not run".
    OUTCOME_UNKNOWN = "outcome_unknown"


@wire
@attrs.frozen
class SubmitPatient(Message):
    """Accept a request; forwarded to the owner, may be repeated."""

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
    """The request is in the key-value service."""

    request_id: str


@wire
@attrs.frozen
class PatientRefused(Message):
    """The request is not accepted."""

    request_id: str
    reason: PatientRefusal


@attrs.frozen
class GetPatientStatus(Message):
    """Ask how a request stands; answered with `PatientStatus`."""

    request_id: str
    team: str


@attrs.frozen
class PatientStatus(Message):
    """How a request stands; status, type and body only when done."""

    state: PatientState
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    failure: PatientFailure = PatientFailure.NONE


@wire
@attrs.frozen
class RunPatient(Message):
    """Run a request under a token."""

    token: str
    incarnation: str
    request: SubmitPatient


@wire
@attrs.frozen
class PatientStarted(Message):
    """The runner has the request."""

    request_id: str
    token: str


@wire
@attrs.frozen
class PatientFinished(Message):
    """The answer of a run."""

    request_id: str
    token: str
    status: int
    content_type: str
    body: bytes


@wire
@attrs.frozen
class PatientReturned(Message):
    """The runner stops; the request was not run and never will be under this token."""

    request_id: str
    token: str


@wire
@attrs.frozen
class PatientRecorded(Message):
    """The answer is kept, or no longer wanted; the runner may forget it."""

    token: str
