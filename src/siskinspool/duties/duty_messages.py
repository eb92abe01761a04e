"""Messages of the duties, between tasks and (`wire`) between gateways."""

from __future__ import annotations

from enum import StrEnum

import attrs

from ..core.message import Message
from ..links.codec import wire

USAGE_COUNTS_TASK = "usage_counts"
USAGE_WINDOWS_TASK = "usage_windows"
SCALING_TASK = "scaling"
DUTY_TASK = "duties"
WALL_CLOCK_TASK = "wall_clock"


# Counting


@attrs.frozen
class UsageStarted(Message):
    """A request of a team began to run; time on the instance's clock."""

    team: str
    at_s: float


@attrs.frozen
class UsageWithdrawn(Message):
    """A request that was counted with this time has not run after all."""

    team: str
    at_s: float


@attrs.frozen
class FinishCounting(Message):
    """The process is about to end: report all counts, as the last ones."""


@wire
@attrs.frozen
class UsageReport(Message):
    """Counts of one source, that is, one gateway process, in one window."""

    # Instance id and incarnation, separated by a slash.
    source: str
    window: int
    # Rises with each report of this source and window.
    version: int
    # Cumulative counts by team; only the teams that changed unless `is_full`.
    counts: dict[str, int]
    # Sum of the cumulative counts of all teams.
    total: int
    is_full: bool
    # The window has ended; later reports can only withdraw counts.
    is_final: bool


@wire
@attrs.frozen
class UsageReceived(Message):
    """What the holder has of a source's window; also which windows are decided."""

    source: str
    window: int
    total: int
    is_final: bool
    # Counts of windows up to this one are not needed any more.
    decided_through: int


# Work, for scaling


@attrs.frozen
class GetWork(Message):
    """Request the work that this gateway has at present."""


@attrs.frozen
class ServiceWork:
    """A gateway's requests of one service."""

    service: str
    waiting: int
    # Requests sent to the servers of each zone, without those that have ended.
    running_by_zone: dict[str, int]


@attrs.frozen
class WorkObserved(Message):
    """Reply to `GetWork`; services without work are left out."""

    works: tuple[ServiceWork, ...]


@wire
@attrs.frozen
class WorkReport(Message):
    """The present work of the sender, for the holder."""

    works: tuple[ServiceWork, ...]


# True time


@wire
@attrs.frozen
class ReadClock(Message):
    """Request the time of day of a gateway's machine."""

    number: int


@wire
@attrs.frozen
class ClockRead(Message):
    """The time of day of the sender's machine in seconds of Unix time."""

    number: int
    unix_s: float


@attrs.frozen
class TrueTimeEstimated(Message):
    """True time in Unix seconds is this offset plus the instance's clock."""

    offset_s: float


# Calls to the platform


@attrs.frozen(kw_only=True)
class DutyOrder(Message):
    """Base class of calls to the platform, each for one subject."""

    epoch: int

    @property
    def subject(self) -> str:
        """Return the subject; a newer order for it replaces an older one."""
        raise NotImplementedError


@attrs.frozen(kw_only=True)
class UsageOrder(DutyOrder):
    """Report the decided counts of one window with exactly these bytes."""

    window: int
    body: bytes

    @property
    def subject(self) -> str:
        """Return the subject that all windows form together."""
        return "usage"


@attrs.frozen(kw_only=True)
class ScaleOrder(DutyOrder):
    """Order the number of servers of a service in a zone."""

    service: str
    zone: str
    desired: int

    @property
    def subject(self) -> str:
        """Return the subject of this service and zone."""
        return f"scale/{self.service}/{self.zone}"


class DutyResult(StrEnum):
    """How a call to the platform ended."""

    DONE = "done"
    # A higher epoch number was seen.
    REFUSED_EPOCH = "refused_epoch"
    TOO_MANY = "too_many"
    # The call certainly did not reach the platform.
    NOT_SENT = "not_sent"
    # It may have been executed, or may still be executed later.
    UNKNOWN = "unknown"
    # The platform does not accept the call, so it is not repeated.
    INVALID = "invalid"


@attrs.frozen
class DutyEnded(Message):
    """An order was executed (`DONE`) or will not be tried again."""

    order: DutyOrder
    result: DutyResult
