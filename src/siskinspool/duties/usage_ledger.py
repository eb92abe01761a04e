"""The decided windows in the platform's store.

Each window has a key that is written once, under the condition that it is absent. So
holders that overlap agree on the counts, and each sends the same bytes. Another key
states up to which window the platform has taken the reports; it is written after a
report and may lag behind, which leads to exact repeats only.
"""

from __future__ import annotations

import logging
from typing import Final

from ..store.keys import ROOT
from ..store.kv import (
    KvConflict,
    KvDelete,
    KvDeleted,
    KvItem,
    KvList,
    KvListing,
    KvReply,
    KvRequest,
    KvSwap,
    KvSwapped,
)
from ..telemetry.logs import log_event

logger = logging.getLogger(__name__)

USAGE_PREFIX: Final = f"{ROOT}usage/"
WINDOW_PREFIX: Final = f"{USAGE_PREFIX}window/"
SENT_KEY: Final = f"{USAGE_PREFIX}sent"
# A request without an answer is repeated after this time.
RETRY_S: Final = 1.0
# After an unavailable store, before the next request.
PAUSE_S: Final = 0.3
# Sent windows that stay in the store. A holder that is still deciding one of these
# finds its key present.
KEPT_WINDOWS: Final = 60


class UsageLedger:
    """Reads and writes the decided windows with one request at a time to ``kv``."""

    def __init__(self, epoch: int) -> None:
        """Create the ledger of one term; other holders may have written before it."""
        self._epoch = epoch
        self._is_loaded = False
        self._body_by_window: dict[int, bytes] = {}
        self._revision_by_window: dict[int, int] = {}
        self._sent_through: int | None = None
        # What the store's key states, and its revision.
        self._recorded_through: int | None = None
        self._sent_revision = 0
        self._request: KvRequest | None = None
        self._next_at = 0.0
        self._next_number = 0

    @property
    def is_loaded(self) -> bool:
        """Return whether the decided windows are known."""
        return self._is_loaded

    @property
    def decided_through(self) -> int | None:
        """Return the last decided window; None if there is none or it is unknown."""
        sent = () if self._sent_through is None else (self._sent_through,)
        return max((*self._body_by_window, *sent), default=None)

    def next_report(self) -> tuple[int, bytes] | None:
        """Return the first decided window that is not known to be sent."""
        for window in sorted(self._body_by_window):
            if self._sent_through is None or window > self._sent_through:
                return window, self._body_by_window[window]
        return None

    def record_sent(self, window: int) -> None:
        """Record that the platform has taken the report of a window."""
        self._sent_through = max(window, self._sent_through or window)

    def pop_request(
        self, decision: tuple[int, bytes] | None, now: float
    ) -> KvRequest | None:
        """Return the request that is due; ``decision`` is the next window's report."""
        if now < self._next_at:
            return None
        self._request = self._choose_request(decision)
        if self._request is not None:
            self._next_at = now + RETRY_S
        return self._request

    def handle_reply(self, reply: KvReply, now: float) -> None:
        """Handle the reply to the last request."""
        request = self._request
        if request is None or reply.request_id != request.request_id:
            return
        self._request, self._next_at = None, now
        match reply:
            case KvListing(_, _, items):
                for item in items:
                    self._load(item)
                self._is_loaded = True
            case KvSwapped(_, key, revision) if isinstance(request, KvSwap):
                self._load(KvItem(key, request.value, revision))
            case KvConflict(_, key, bytes() as value, revision):
                # Another holder has written the key: its value holds.
                self._load(KvItem(key, value, revision))
            case KvConflict(_, key, None, _) | KvDeleted(_, key):
                self._forget(key)
            case _:
                # Not executed or unknown. The same request has the same effect.
                self._next_at = now + PAUSE_S

    def _choose_request(self, decision: tuple[int, bytes] | None) -> KvRequest | None:
        self._next_number += 1
        request_id = f"usage-{self._epoch}-{self._next_number}"
        if not self._is_loaded:
            return KvList(request_id, USAGE_PREFIX)
        if decision is not None:
            window, body = decision
            return KvSwap(request_id, f"{WINDOW_PREFIX}{window}", 0, body)
        if self._sent_through is not None and (
            self._recorded_through is None
            or self._recorded_through < self._sent_through
        ):
            value = b"%d" % self._sent_through
            return KvSwap(request_id, SENT_KEY, self._sent_revision, value)
        if len(self._body_by_window) > KEPT_WINDOWS:
            window = min(self._body_by_window)
            if self._recorded_through is not None and window <= self._recorded_through:
                key = f"{WINDOW_PREFIX}{window}"
                return KvDelete(request_id, key, self._revision_by_window[window])
        return None

    def _load(self, item: KvItem) -> None:
        if item.key == SENT_KEY:
            self._sent_revision = item.revision
            if item.value.isdigit():
                self._recorded_through = int(item.value)
                self.record_sent(self._recorded_through)
            return
        number = item.key.removeprefix(WINDOW_PREFIX)
        if not number.isdecimal():
            log_event(logger, logging.WARNING, "usage_key_unreadable", key=item.key)
            return
        self._body_by_window[int(number)] = item.value
        self._revision_by_window[int(number)] = item.revision

    def _forget(self, key: str) -> None:
        if key == SENT_KEY:
            self._sent_revision, self._recorded_through = 0, None
            return
        number = int(key.removeprefix(WINDOW_PREFIX))
        self._body_by_window.pop(number, None)
        self._revision_by_window.pop(number, None)
