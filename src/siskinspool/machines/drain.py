"""Planned stop of an instance (R12).

The stop runs through phases in a fixed order, each entered when the one before is
complete or its time is up:

1. report not ready and wait 2 s, during which the balancer may still send calls;
2. release partitions, hand over waiting work, then wait until no call runs, but at most
   the longest deadline plus 60 s;
3. surrender shares and give the peer links time to carry them;
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
# A stream that began before its deadline may go on for this long.
FINISH_MARGIN_S: Final = 60.0
# Shares that are not handed back in time expire by themselves after 10 s.
SHARE_RETURN_WAIT_S: Final = 0.5
# Without an answer the session expires by itself.
SESSION_END_WAIT_S: Final = 2.0


@attrs.frozen(kw_only=True)
class DrainRecipients:
    """Names of the local tasks that take part in each step."""

    readiness: tuple[str, ...] = ("frontend",)
    # The mint gives its reserve away while it still owns its partitions.
    ownership: tuple[str, ...] = ("mint", "ownership", "membership")
    waiting: tuple[str, ...] = ("frontend", "patient", "runner")
    shares: tuple[str, ...] = ("limits",)
    session: str = "kv"


class DrainPhase(IntEnum):
    """How far the stop has come."""

    SERVING = 0
    WAITING_FOR_BALANCER = 1
    FINISHING_CALLS = 2
    RETURNING_SHARES = 3
    ENDING_SESSION = 4
    DRAINED = 5


class Drain(Decision):
    """Sends the steps of a planned stop in order."""

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
        # None until the front end has reported. Only counts after `HandOverWaitingRequests`
        # matter, because before it a count of 0 can be followed by a new call.
        self._running_calls: int | None = None
        self._reply_to: Address | None = None

    @property
    def phase(self) -> DrainPhase:
        """Return how far the stop has come."""
        return self._phase

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Take in the start, the count of running calls or the end of the session."""
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
        """Leave the phase whose time is up."""
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
        """Return when the current phase ends at the latest."""
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
