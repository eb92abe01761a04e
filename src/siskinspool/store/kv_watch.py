"""The watch on the shared prefix.

The watch lists the prefix, publishes the differences from what it published before
(including deletions) and then publishes changes. When the connection fails it lists
again, and immediately so if the watch had lasted for some time: waiting for the failure
to be detected has used most of the time in which a change has to take effect. A key
that is read both by a listing and by an event is published once: `_revision_by_key`
contains the newest published revision of each key, and older ones are dropped.
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

# Delay after a failed listing, and minimum interval between listings.
RETRY_INTERVAL_S: Final = 0.5

Publish = Callable[[Message], None]


class SharedWatch:
    """Publishes the changes of the keys with one prefix."""

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
        self._revision_by_key: dict[str, int] = {}
        # Revision of the newest received event or listed key.
        self._revision = 0
        self._is_broken = False

    def run(self) -> None:
        """Watch the prefix for ever."""
        while True:
            listed_at: float | None = None
            try:
                self._list()
                listed_at = self._clock.now()
                for event in self._service.watch(self._prefix, self._revision + 1):
                    self._on_event(event)
            except Exception as error:
                # Even an answer that the adapter cannot parse must not end the watch.
                self._report_broken(repr(error))
            lasted_s = 0.0 if listed_at is None else self._clock.now() - listed_at
            gevent.sleep(max(RETRY_INTERVAL_S - lasted_s, 0.0))

    def publish_if_newer(self, item: KvItem) -> None:
        """Publish a key if it is newer than its last published revision."""
        if item.revision > self._revision_by_key.get(item.key, 0):
            self._revision_by_key[item.key] = item.revision
            self._publish(KvChanged(item.key, item.value, item.revision))

    def _report_broken(self, reason: str) -> None:
        if not self._is_broken:
            log_event(
                logger,
                logging.WARNING,
                "watch_broken",
                prefix=self._prefix,
                reason=reason,
            )
            self._publish(WatchBroken(self._prefix, reason))
        self._is_broken = True

    def _list(self) -> None:
        known_before = dict(self._revision_by_key)
        snapshot = self._service.snapshot(self._prefix)
        listed_keys = {item.key for item in snapshot.items}
        for item in snapshot.items:
            self.publish_if_newer(item)
        self._revision = max(self._revision, snapshot.revision)
        for key, revision in known_before.items():
            # A key published during the listing is newer than the listing.
            if key not in listed_keys and self._revision_by_key.get(key) == revision:
                del self._revision_by_key[key]
                self._publish(KvChanged(key, None, revision))
        if self._is_broken:
            log_event(logger, logging.INFO, "watch_restored", prefix=self._prefix)
        self._is_broken = False
        self._publish(WatchListed(self._prefix))

    def _on_event(self, event: WatchEvent) -> None:
        self._revision = max(self._revision, event.revision)
        if event.key is None or event.revision <= self._revision_by_key.get(
            event.key, 0
        ):
            return
        if event.value is None:
            self._revision_by_key.pop(event.key, None)
            self._publish(KvChanged(event.key, None, event.revision))
        else:
            self.publish_if_newer(KvItem(event.key, event.value, event.revision))
