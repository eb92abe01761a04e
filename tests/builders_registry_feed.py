"""Runs the task that decodes the registry's changes, and records its messages."""

from __future__ import annotations

from siskinspool.core.clock import MonotonicClock
from siskinspool.core.dispatcher import Dispatcher
from siskinspool.core.message import Message
from siskinspool.platform.feeds import FeedTask


class RecordingFeed(FeedTask):
    """A feed task that records the messages it sends."""

    def __init__(self) -> None:
        super().__init__(Dispatcher("g1"), MonotonicClock(), ())
        self.sent_messages: list[Message] = []

    def _notify_listeners(self, message: Message) -> None:
        self.sent_messages.append(message)
