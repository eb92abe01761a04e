"""Sequential requests to the key-value service, with backoff.

A `SequentialKvClient` is a part of a decision that sends one request at a time and
waits for its reply. A request without a reply counts as lost after `CALL_TIMEOUT_S`,
and a late reply is ignored.
"""

from __future__ import annotations

import itertools
from abc import ABC, abstractmethod
from typing import Final

from ..store.kv import KvAnswerLost, KvReply, KvRequest, KvUnavailable

# Longer than the timeout of the adapter, which replies to every request. It covers
# replies that are dropped because the inbox is full.
CALL_TIMEOUT_S: Final = 10.0
BACKOFF_MIN_S: Final = 0.05
BACKOFF_MAX_S: Final = 1.0


class IdGenerator:
    """Generates ids that are unique across all incarnations of all instances."""

    def __init__(self, prefix: str) -> None:
        self._prefix = prefix
        self._numbers = itertools.count(1)

    def next_id(self) -> str:
        """Return a new id."""
        return f"{self._prefix}-{next(self._numbers)}"


class SequentialKvClient(ABC):
    """Sends requests to the key-value service one at a time."""

    def __init__(self, ids: IdGenerator) -> None:
        self.ids = ids
        self._in_flight_request: KvRequest | None = None
        self._sent_at = 0.0
        self._retry_at = 0.0
        self._backoff_s = BACKOFF_MIN_S

    @property
    def in_flight_request(self) -> KvRequest | None:
        """The request that waits for its reply, if any."""
        return self._in_flight_request

    def poll(self, now: float) -> KvRequest | None:
        """Return the request to send now, or None."""
        if self._in_flight_request is not None:
            if now < self._sent_at + CALL_TIMEOUT_S:
                return None
            self.on_reply(KvAnswerLost(self._in_flight_request.request_id, ""), now)
        if now < self._retry_at:
            return None
        self._in_flight_request = self.next_request(now)
        self._sent_at = now
        return self._in_flight_request

    def on_reply(self, reply: KvReply, now: float) -> None:
        """Handle the reply to the request in flight; ignore any other."""
        request = self._in_flight_request
        if request is None or reply.request_id != request.request_id:
            return
        self._in_flight_request = None
        if isinstance(reply, KvAnswerLost | KvUnavailable):
            self._retry_at = now + self._backoff_s
            self._backoff_s = min(2 * self._backoff_s, BACKOFF_MAX_S)
        else:
            self._backoff_s = BACKOFF_MIN_S
        self.process_reply(request, reply, self._sent_at, now)

    def wake_at(self) -> float | None:
        """Return when `poll` must be called next, or None."""
        if self._in_flight_request is not None:
            return self._sent_at + CALL_TIMEOUT_S
        due_at = self.due_at()
        return None if due_at is None else max(due_at, self._retry_at)

    @abstractmethod
    def next_request(self, now: float) -> KvRequest | None:
        """Return the next request, or None if there is none at this time."""

    @abstractmethod
    def process_reply(
        self, request: KvRequest, reply: KvReply, sent_at: float, now: float
    ) -> None:
        """Process the reply to a request that was sent at ``sent_at``."""

    @abstractmethod
    def due_at(self) -> float | None:
        """Return when the next request will be available, or None."""
