"""The watch on the shared prefix.

The watch lists the prefix, publishes what differs from what it published before
(deletions too) and then follows changes. When the link fails it lists again, at once if
the watch had lasted, because the silence before has used up most of the time in which
a change has to take effect. A key that arrives twice, by a listing and by an event, is
published once: `_known` holds the newest revision of each key, and older ones are
dropped.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Final

import gevent

from ..core.clock import Clock
from ..core.message import Message
from ..telemetry.logs import log_event
from .keys import SHARED_PREFIX
from .kv import (
    KeyValueService,
    KvChanged,
    KvItem,
    WatchBroken,
    WatchEvent,
    WatchListed,
)

logger = logging.getLogger(__name__)

# Pause after a failed listing, and least time between a listing and the next one.
RETRY_INTERVAL_S: Final = 0.5

Publish = Callable[[Message], None]


class SharedWatch:
    """Follows the keys under one prefix."""

    def __init__(
        self,
        service: KeyValueService,
        clock: Clock,
        publish: Publish,
        prefix: str = SHARED_PREFIX,
    ) -> None:
        self._service = service
        self._clock = clock
        self._publish = publish
        self._prefix = prefix
        self._known: dict[str, int] = {}
        # Revision of the newest event or listing entry seen.
        self._revision = 0
        self._broken = False

    def run(self) -> None:
        """Follow the prefix for ever."""
        while True:
            listed_at: float | None = None
            try:
                self._list()
                listed_at = self._clock.now()
                for event in self._service.watch(self._prefix, self._revision + 1):
                    self._on_event(event)
            except Exception as error:
                # Also an answer that the adapter cannot read must not end the watch.
                self._report_broken(repr(error))
            lasted_s = 0.0 if listed_at is None else self._clock.now() - listed_at
            gevent.sleep(max(RETRY_INTERVAL_S - lasted_s, 0.0))

    def publish_if_newer(self, item: KvItem) -> None:
        """Publish a key read elsewhere, if it is newer than what was published."""
        if item.revision > self._known.get(item.key, 0):
            self._known[item.key] = item.revision
            self._publish(KvChanged(item.key, item.value, item.revision))

    def _report_broken(self, reason: str) -> None:
        if not self._broken:
            log_event(
                logger,
                logging.WARNING,
                "watch_broken",
                prefix=self._prefix,
                reason=reason,
            )
            self._publish(WatchBroken(self._prefix, reason))
        self._broken = True

    def _list(self) -> None:
        known_before = dict(self._known)
        snapshot = self._service.snapshot(self._prefix)
        listed = {item.key for item in snapshot.items}
        for item in snapshot.items:
            self.publish_if_newer(item)
        self._revision = max(self._revision, snapshot.revision)
        for key, revision in known_before.items():
            # A key published while the listing was under way is newer than it.
            if key not in listed and self._known.get(key) == revision:
                del self._known[key]
                self._publish(KvChanged(key, None, revision))
        if self._broken:
            log_event(logger, logging.INFO, "watch_restored", prefix=self._prefix)
        self._broken = False
        self._publish(WatchListed(self._prefix))

    def _on_event(self, event: WatchEvent) -> None:
        self._revision = max(self._revision, event.revision)
        if event.key is None or event.revision <= self._known.get(event.key, 0):
            return
        if event.value is None:
            self._known.pop(event.key, None)
            self._publish(KvChanged(event.key, None, event.revision))
        else:
            self.publish_if_newer(KvItem(event.key, event.value, event.revision))
