"""The ``watch`` task: watches the key-value service while it is told to.

One greenlet watches each prefix, with its own connection, and reports to the task
``change_feed``. A watch that fails lists its prefix again, as changes may have been
missed.
"""

from __future__ import annotations

import logging
from typing import Final

import attrs
import gevent

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.message import Incoming, Message, Outgoing
from ..core.task import Task
from ..store.kv import KeyValueService, WatchBroken
from ..telemetry.logs import log_event
from .feed_messages import (
    CHANGE_FEED_TASK,
    WATCH_TASK,
    KeyChange,
    ListPrefixes,
    PrefixChanges,
    PrefixListed,
    StartReading,
    StopReading,
)

logger = logging.getLogger(__name__)

# Delay after a failed listing, and minimum interval between listings.
RETRY_INTERVAL_S: Final = 0.5
_NEVER: Final = float("-inf")


@attrs.frozen
class FeedSource:
    """A prefix, the service to read it from, and the tasks that get its changes.

    The service's watch yields a progress notification after the events of each answer.
    """

    prefix: str
    service: KeyValueService
    listeners: tuple[str, ...]


class WatchTask(Task):
    """Owns the watches of the change feed."""

    def __init__(
        self, dispatcher: Dispatcher, clock: Clock, sources: tuple[FeedSource, ...]
    ) -> None:
        """Initialize with the prefixes to watch."""
        super().__init__(WATCH_TASK, dispatcher, clock)
        self._sources = sources
        self._greenlets: list[gevent.Greenlet[..., None]] = []

    def stop(self, timeout_s: float = 5.0) -> None:
        """End the watches and the task."""
        super().stop(timeout_s)
        self._end_watches()

    def handle(self, incoming: Incoming) -> None:
        """Start or end the watches."""
        match incoming.message:
            case ListPrefixes():
                self._end_watches()
                self._greenlets = [
                    gevent.spawn(self._list_once, source) for source in self._sources
                ]
            case StartReading(revision_by_prefix):
                self._end_watches()
                self._greenlets = [
                    gevent.spawn(
                        self._watch, source, revision_by_prefix.get(source.prefix)
                    )
                    for source in self._sources
                ]
            case StopReading():
                self._end_watches()

    def _end_watches(self) -> None:
        # Not awaited: a greenlet that lists closes its connections by itself.
        gevent.killall(self._greenlets, block=False)
        self._greenlets = []

    def _watch(self, source: FeedSource, revision: int | None) -> None:
        """Watch a prefix for ever; list it first without a revision."""
        is_broken = False
        listed_at = _NEVER
        while True:
            try:
                if revision is None:
                    listed_at = self.clock.now()
                    revision = self._list(source)
                    is_broken = False
                self._forward(source, revision)
            except Exception as error:
                # Even an answer that the adapter cannot parse must not end the watch.
                revision = None
                if not is_broken:
                    self._report_broken(source, repr(error))
                is_broken = True
            # The first listing follows at once, as changes may wait for it.
            since_listing_s = self.clock.now() - listed_at
            gevent.sleep(max(RETRY_INTERVAL_S - since_listing_s, 0.0))

    def _list_once(self, source: FeedSource) -> None:
        """List a prefix, again after each failure."""
        while True:
            try:
                self._list(source)
            except Exception as error:
                # Even an answer that the adapter cannot parse must not end the task.
                log_event(
                    logger,
                    logging.WARNING,
                    "listing_failed",
                    prefix=source.prefix,
                    reason=repr(error),
                )
                gevent.sleep(RETRY_INTERVAL_S)
            else:
                return

    def _list(self, source: FeedSource) -> int:
        read_at = self.clock.now()
        snapshot = source.service.snapshot(source.prefix)
        self._report(
            PrefixListed(source.prefix, snapshot.items, snapshot.revision, read_at)
        )
        return snapshot.revision

    def _forward(self, source: FeedSource, revision: int) -> None:
        """Report the changes after a revision until the watch fails."""
        changes: list[KeyChange] = []
        for event in source.service.watch(source.prefix, revision + 1):
            if event.key is not None:
                changes.append(KeyChange(event.key, event.value, event.revision))
                continue
            if changes or event.revision > revision:
                self._report(
                    PrefixChanges(
                        prefix=source.prefix,
                        after=revision,
                        revision=event.revision,
                        changes=tuple(changes),
                    )
                )
            revision = event.revision
            changes = []

    def _report_broken(self, source: FeedSource, reason: str) -> None:
        log_event(
            logger,
            logging.WARNING,
            "watch_broken",
            prefix=source.prefix,
            reason=reason,
        )
        self._report(WatchBroken(source.prefix, reason))

    def _report(self, message: Message) -> None:
        recipient = self.dispatcher.address(CHANGE_FEED_TASK)
        self.dispatcher.send(self.address, Outgoing(recipient, message))
