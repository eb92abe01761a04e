"""The bounded queue of messages to one peer.

When the queue is full, the oldest droppable message (a heartbeat or a server report,
which the next one replaces anyway) is dropped; if there is none, the new message is
rejected. A message that was queued for too long is not sent: its sender has timed out,
and a late request would only cause useless work.
"""

from __future__ import annotations

from collections import OrderedDict, deque

import attrs
from gevent.event import Event


@attrs.frozen
class QueuedMessage:
    """An encoded message; times are monotonic seconds."""

    data: bytes
    queued_at: float
    # A later message of the same kind replaces it.
    is_droppable: bool


class PeerQueue:
    """A bounded queue of messages for one sending greenlet."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._message_by_number: OrderedDict[int, QueuedMessage] = OrderedDict()
        self._droppable_numbers: deque[int] = deque()
        self._next_number = 0
        self._not_empty = Event()
        self.dropped = 0

    def __len__(self) -> int:
        return len(self._message_by_number)

    def put(self, message: QueuedMessage) -> bool:
        """Queue a message; return False if the queue is full."""
        if len(self) >= self._capacity and not self._drop_oldest_droppable():
            return False
        number = self._next_number
        self._next_number += 1
        self._message_by_number[number] = message
        if message.is_droppable:
            self._droppable_numbers.append(number)
        self._not_empty.set()
        return True

    def get(self) -> QueuedMessage:
        """Remove and return the oldest message; wait until there is one."""
        while not self._message_by_number:
            self._not_empty.clear()
            self._not_empty.wait()
        number, message = self._message_by_number.popitem(last=False)
        if message.is_droppable:
            # It is the oldest message, hence also the oldest droppable one.
            assert self._droppable_numbers[0] == number
            self._droppable_numbers.popleft()
        return message

    def _drop_oldest_droppable(self) -> bool:
        if not self._droppable_numbers:
            return False
        del self._message_by_number[self._droppable_numbers.popleft()]
        self.dropped += 1
        return True
