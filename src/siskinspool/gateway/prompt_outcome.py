"""Reports whether servers survive the prompt of a request.

A prompt that crashes servers does so as the answer begins. A server that has sent
several events, or a whole answer, has therefore survived the prompt; one that has
closed the connection earlier may have crashed on it, unless only this instance has lost
its path to the server.
"""

from __future__ import annotations

from typing import Final

import gevent

from ..core.message import Address, Message, Outgoing
from ..links.server_link import Lost
from ..server_signals.observations import ServerStart
from .messages import ServerAssigned
from .quarantine_messages import (
    QUARANTINE_TASK,
    AnswerBroken,
    PromptServed,
    ServerBoot,
)
from .request import RequestHead
from .request_context import RequestContext

# Events after which a server has survived the prompt.
SERVED_EVENTS: Final = 2


class PromptOutcome:
    """The outcome of one request's sends, as far as its prompt is concerned."""

    def __init__(self, head: RequestHead, context: RequestContext) -> None:
        self._part_ids = head.shared_part_ids
        self._dispatcher = context.dispatcher
        self._link = context.link
        # A server has survived the prompt.
        self.is_served = False
        # Whole events that the current send has brought.
        self.event_count = 0

    def start_send(self) -> None:
        """Record that the request is sent to a server."""
        self.event_count = 0

    def record_event(self) -> None:
        """Record a whole event of the current send."""
        self.event_count += 1
        if self.event_count == SERVED_EVENTS:
            self.record_served()

    def record_served(self) -> None:
        """Record that a server has survived the prompt."""
        if not self.is_served:
            self.is_served = True
            self._report(PromptServed(self._part_ids))

    def record_lost(self, assigned: ServerAssigned, lost: Lost) -> None:
        """Record a send without a whole answer, which a crash may have broken."""
        has_survived = self.event_count >= SERVED_EVENTS
        if not lost.is_disconnect or has_survived or not self._part_ids:
            return
        boot = ServerBoot(assigned.server_id, assigned.born_ms or 0)
        broken = AnswerBroken(
            boot=boot, part_ids=self._part_ids, has_begun=lost.has_begun
        )
        # The request goes on meanwhile.
        gevent.spawn(self._report_broken, assigned.start, broken)

    def _report_broken(self, start: ServerStart, broken: AnswerBroken) -> None:
        """Report a broken answer, unless the path to the server is lost."""
        if not self._link.has_lost_path(start):
            self._report(broken)

    def _report(self, message: Message) -> None:
        if self._part_ids:
            sender = Address(self._dispatcher.instance_id, "request")
            recipient = self._dispatcher.address(QUARANTINE_TASK)
            self._dispatcher.send(sender, Outgoing(recipient, message))
