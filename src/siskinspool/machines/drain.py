"""Planned stop of an instance (R12).

The stop runs through phases in a fixed order. Each phase starts when the previous one
is complete or has timed out:

1. report not ready and wait 2 s, during which the load balancer may still send calls;
2. release partitions, hand over waiting work, then wait until no call is running, at
   most for the longest deadline plus 60 s;
3. return the shares of team limits and wait until the peer links have sent them;
4. end the session, then report `Drained`.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Final

import attrs

from ..core.decision import Decision
from ..core.message import Address, Incoming, Message, Outgoing
from ..store.kv_events import EndSession, SessionEnded
from .drain_messages import (
    Drained,
    DrainStarted,
    HandOverWaitingRequests,
    ReturnShares,
    RunningCallCount,
    StartDrain,
)
from .messages import ReleaseOwnership

BALANCER_SETTLE_S: Final = 2.0
# A stream that started before its deadline may continue for this long.
FINISH_MARGIN_S: Final = 60.0
# Shares that are not returned in time expire after 10 s.
SHARE_RETURN_WAIT_S: Final = 0.5
# If the service does not answer, the session expires on its own.
SESSION_END_WAIT_S: Final = 2.0


@attrs.frozen(kw_only=True)
class DrainRecipients:
    """Names of the local tasks that are notified in each step."""

    readiness: tuple[str, ...] = ("frontend",)
    # The quota allocator comes first: it transfers its reserve to others while it
    # still owns its partitions.
    ownership: tuple[str, ...] = ("mint", "ownership", "membership")
    waiting: tuple[str, ...] = ("frontend", "patient", "runner")
    shares: tuple[str, ...] = ("limits",)
    session: str = "kv"


class DrainPhase(IntEnum):
    """Phases of a planned stop, in order."""

    SERVING = 0
    WAITING_FOR_BALANCER = 1
    FINISHING_CALLS = 2
    RETURNING_SHARES = 3
    ENDING_SESSION = 4
    DRAINED = 5


class Drain(Decision):
    """Runs the phases of a planned stop in order."""

    def __init__(
        self,
        instance_id: str,
        recipients: DrainRecipients | None = None,
        balancer_wait_s: float = BALANCER_SETTLE_S,
    ) -> None:
        self._instance_id = instance_id
        self._recipients = recipients or DrainRecipients()
        self._balancer_wait_s = balancer_wait_s
        self._phase = DrainPhase.SERVING
        self._phase_ends_at: float | None = None
        self._longest_deadline_s = 0.0
        # None until the front end has reported. Counts matter only after
        # `HandOverWaitingRequests`: before it, new calls can follow a count of 0.
        self._running_calls: int | None = None
        self._reply_to: Address | None = None

    @property
    def phase(self) -> DrainPhase:
        """Return the current phase."""
        return self._phase

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle the start, a count of running calls or the end of the session."""
        match incoming.message:
            case StartDrain() as start if self._phase is DrainPhase.SERVING:
                self._reply_to = incoming.sender
                self._longest_deadline_s = start.longest_deadline_s
                self._enter_phase(
                    DrainPhase.WAITING_FOR_BALANCER, now + self._balancer_wait_s
                )
                return self._messages_to(self._recipients.readiness, DrainStarted())
            case RunningCallCount(count=count):
                self._running_calls = count
                if self._phase is DrainPhase.FINISHING_CALLS and count == 0:
                    return self._return_shares(now)
            case SessionEnded() if self._phase is DrainPhase.ENDING_SESSION:
                return self._finish()
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Enter the next phase if the current one has timed out."""
        if self._phase_ends_at is None or now < self._phase_ends_at:
            return []
        match self._phase:
            case DrainPhase.WAITING_FOR_BALANCER:
                return self._release_ownership(now)
            case DrainPhase.FINISHING_CALLS:
                return self._return_shares(now)
            case DrainPhase.RETURNING_SHARES:
                self._enter_phase(DrainPhase.ENDING_SESSION, now + SESSION_END_WAIT_S)
                return self._messages_to((self._recipients.session,), EndSession())
            case _:
                return self._finish()

    def wake_at(self) -> float | None:
        """Return when the current phase times out."""
        return self._phase_ends_at

    def _release_ownership(self, now: float) -> list[Outgoing]:
        limit_s = self._longest_deadline_s + FINISH_MARGIN_S
        self._enter_phase(DrainPhase.FINISHING_CALLS, now + limit_s)
        self._running_calls = None
        batch = self._messages_to(self._recipients.ownership, ReleaseOwnership())
        return batch + self._messages_to(
            self._recipients.waiting, HandOverWaitingRequests()
        )

    def _return_shares(self, now: float) -> list[Outgoing]:
        self._enter_phase(DrainPhase.RETURNING_SHARES, now + SHARE_RETURN_WAIT_S)
        return self._messages_to(self._recipients.shares, ReturnShares())

    def _finish(self) -> list[Outgoing]:
        self._enter_phase(DrainPhase.DRAINED, None)
        if self._reply_to is None:
            return []
        return [Outgoing(self._reply_to, Drained(self._running_calls or 0))]

    def _enter_phase(self, phase: DrainPhase, ends_at: float | None) -> None:
        self._phase = phase
        self._phase_ends_at = ends_at

    def _messages_to(self, tasks: tuple[str, ...], message: Message) -> list[Outgoing]:
        return [Outgoing(Address(self._instance_id, task), message) for task in tasks]
