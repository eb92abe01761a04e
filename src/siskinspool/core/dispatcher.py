"""Delivery of messages between the tasks of a process and to peers.

A `Dispatcher` maps task names to inboxes. A message for another instance goes to the
peer link. `ask` gives a waiting greenlet a reply address of its own, so that a
decision answers a request handler the same way as it answers a task.
"""

from __future__ import annotations

import itertools
import logging
import secrets
from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Final

from gevent.event import AsyncResult
from gevent.timeout import Timeout

from ..telemetry.logs import log_event
from .message import Address, Incoming, Message, Outgoing

logger = logging.getLogger(__name__)

REPLY_PREFIX_BYTES: Final = 4


class Inbox(ABC):
    """Something that takes messages without blocking the sender."""

    @abstractmethod
    def post(self, incoming: Incoming) -> bool:
        """Queue a message; return False if the queue is full and it was refused."""


class PeerTransport(ABC):
    """A link that carries messages to other instances."""

    @abstractmethod
    def send_to_peer(self, sender: Address, outgoing: Outgoing) -> bool:
        """Queue a message for a peer; return False if it was refused."""


class _Reply(Inbox):
    """The inbox of one waiting `ask`."""

    def __init__(self) -> None:
        self._result: AsyncResult[Message] = AsyncResult()

    def post(self, incoming: Incoming) -> bool:
        if not self._result.ready():
            self._result.set(incoming.message)
        return True

    def wait(self, timeout_s: float) -> Message | None:
        try:
            return self._result.get(timeout=max(timeout_s, 0.0))
        except Timeout:
            return None


class Dispatcher:
    """Routes messages of one instance; owned by the instance's wiring."""

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
        self._inbox_by_task: dict[str, Inbox] = {}
        self._peer_transport: PeerTransport | None = None
        # Reply addresses of an earlier process with the same instance id must not be
        # used again: a late answer to it would reach another asker (R8).
        self._reply_prefix = f"reply:{secrets.token_hex(REPLY_PREFIX_BYTES)}"
        self._reply_numbers = itertools.count(1)

    def address(self, task: str) -> Address:
        """Return the address of a task of this instance."""
        return Address(self.instance_id, task)

    def register(self, task: str, inbox: Inbox) -> None:
        """Attach an inbox under a task name."""
        self._inbox_by_task[task] = inbox

    def attach_peer_transport(self, carrier: PeerTransport) -> None:
        """Set the link used for messages to other instances."""
        self._peer_transport = carrier

    def deliver(self, recipient: Address, incoming: Incoming) -> bool:
        """Hand a message that arrived for this instance to its task."""
        inbox = self._inbox_by_task.get(recipient.task)
        if inbox is None:
            # Late replies end here: the asker has given up and its address is gone.
            return False
        if not inbox.post(incoming):
            log_event(
                logger,
                logging.WARNING,
                "inbox_full",
                task=recipient.task,
                message=type(incoming.message).__name__,
            )
            return False
        return True

    def send(self, sender: Address, outgoing: Outgoing) -> bool:
        """Deliver one message, here or to a peer; False if it was refused."""
        if outgoing.recipient.instance_id == self.instance_id:
            return self.deliver(outgoing.recipient, Incoming(sender, outgoing.message))
        if self._peer_transport is None:
            return False
        return self._peer_transport.send_to_peer(sender, outgoing)

    def send_all(self, sender: Address, batch: Iterable[Outgoing]) -> None:
        """Deliver the output of a decision in order."""
        for outgoing in batch:
            self.send(sender, outgoing)

    def ask(
        self, recipient: Address, message: Message, timeout_s: float
    ) -> Message | None:
        """Send a message and wait for one reply; None on timeout or refusal."""
        reply = _Reply()
        sender = self.address(f"{self._reply_prefix}-{next(self._reply_numbers)}")
        self._inbox_by_task[sender.task] = reply
        try:
            if not self.send(sender, Outgoing(recipient, message)):
                return None
            return reply.wait(timeout_s)
        finally:
            del self._inbox_by_task[sender.task]
