"""Delivery of messages between the tasks of a process and to peers.

A `Dispatcher` maps task names to inboxes. A message for another instance goes to the
peer link. `ask` registers a temporary reply address for the waiting greenlet, so that a
decision replies to a request handler in the same way as to a task.
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
    """Accepts messages without blocking the sender."""

    @abstractmethod
    def post(self, incoming: Incoming) -> bool:
        """Queue a message; return False if the queue is full."""


class PeerTransport(ABC):
    """Sends messages to other instances."""

    @abstractmethod
    def send_to_peer(self, sender: Address, outgoing: Outgoing) -> bool:
        """Queue a message for a peer; return False if it was rejected."""


class _ReplyInbox(Inbox):
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
    """Routes the messages of one instance; created once at start-up."""

    def __init__(self, instance_id: str) -> None:
        self.instance_id = instance_id
        self._inbox_by_task: dict[str, Inbox] = {}
        self._peer_transport: PeerTransport | None = None
        # Unique for each process: a late reply to an earlier process with the same
        # instance id must not reach another requester (R8).
        self._reply_prefix = f"reply:{secrets.token_hex(REPLY_PREFIX_BYTES)}"
        self._reply_numbers = itertools.count(1)

    def address(self, task: str) -> Address:
        """Return the address of a task of this instance."""
        return Address(self.instance_id, task)

    def register(self, task: str, inbox: Inbox) -> None:
        """Register the inbox of a task."""
        self._inbox_by_task[task] = inbox

    def attach_peer_transport(self, carrier: PeerTransport) -> None:
        """Set the link for messages to other instances."""
        self._peer_transport = carrier

    def deliver(self, recipient: Address, incoming: Incoming) -> bool:
        """Deliver a message to a task of this instance; return False if it fails."""
        inbox = self._inbox_by_task.get(recipient.task)
        if inbox is None:
            # Also a late reply: `ask` has timed out and removed its address.
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
        """Send a message to a local task or a peer; return False if it is rejected."""
        if outgoing.recipient.instance_id == self.instance_id:
            return self.deliver(outgoing.recipient, Incoming(sender, outgoing.message))
        if self._peer_transport is None:
            return False
        return self._peer_transport.send_to_peer(sender, outgoing)

    def send_all(self, sender: Address, batch: Iterable[Outgoing]) -> None:
        """Send the output of a decision in order."""
        for outgoing in batch:
            self.send(sender, outgoing)

    def ask(
        self, recipient: Address, message: Message, timeout_s: float
    ) -> Message | None:
        """Send a message and wait for a reply; return None on timeout or rejection."""
        reply = _ReplyInbox()
        sender = self.address(f"{self._reply_prefix}-{next(self._reply_numbers)}")
        self._inbox_by_task[sender.task] = reply
        try:
            if not self.send(sender, Outgoing(recipient, message)):
                return None
            return reply.wait(timeout_s)
        finally:
            del self._inbox_by_task[sender.task]
