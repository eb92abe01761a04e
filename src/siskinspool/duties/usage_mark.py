"""Reports when one request began to run, for the usage counts."""

from __future__ import annotations

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.message import Message, Outgoing
from .duty_messages import USAGE_COUNTS_TASK, UsageStarted, UsageWithdrawn


class UsageMark:
    """Counts a request once, however often it is sent.

    A stream begins to run with its first event, any other request when it is sent to
    the server that ran it. As that is known only from the answer, the request is
    counted when it is sent and withdrawn if the server did not run it. A stream that
    its requester resumes was counted with its first event.
    """

    def __init__(
        self,
        team: str,
        dispatcher: Dispatcher,
        clock: Clock,
        *,
        is_stream: bool,
        is_resumed: bool,
    ) -> None:
        self._team = team
        self._dispatcher = dispatcher
        self._clock = clock
        self._is_stream = is_stream
        # Requests without a team are not reported.
        self._is_counted = is_resumed or not team
        # Time of the count that the present send caused.
        self._sent_at: float | None = None

    def record_sent(self) -> None:
        """Record that the request is being sent to a server."""
        self._sent_at = None
        if not self._is_stream and not self._is_counted:
            self._sent_at = self._count()

    def record_not_run(self) -> None:
        """Record that the server of the present send has not run the request."""
        if self._sent_at is not None:
            self._notify(UsageWithdrawn(self._team, self._sent_at))
            self._sent_at, self._is_counted = None, False

    def record_event(self) -> None:
        """Record an event that is passed on to the requester."""
        if not self._is_counted:
            self._count()

    def _count(self) -> float:
        now = self._clock.now()
        self._is_counted = True
        self._notify(UsageStarted(self._team, now))
        return now

    def _notify(self, message: Message) -> None:
        # Without the duties there is no such task, and the message is dropped.
        recipient = self._dispatcher.address(USAGE_COUNTS_TASK)
        self._dispatcher.send(recipient, Outgoing(recipient, message))
