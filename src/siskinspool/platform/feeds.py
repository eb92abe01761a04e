"""Forwards changes of the operator's keys and the server registry as messages.

Two watches on the store cover the operator's keys and the registry of servers. An
unreadable value is logged and not used; a version of the desired state that is not
newer than the current one is ignored.
"""

from __future__ import annotations

import logging

import gevent

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.message import Incoming, Message, Outgoing
from ..core.task import Task
from ..gateway.servers import (
    RegistryInterrupted,
    RegistryListed,
    ServerRemoved,
    ZoneEvacuated,
)
from ..store.kv import KeyValueService, KvChanged, WatchBroken, WatchListed
from ..store.kv_watch import SharedWatch
from ..telemetry.logs import log_event
from .desired_state import (
    DESIRED_STATE_KEY,
    EVACUATION_PREFIX,
    OPERATOR_PREFIX,
    UnreadableValue,
    decode_desired_state,
)
from .server_entries import SERVERS_PREFIX, decode_server_entry

logger = logging.getLogger(__name__)

FEED_TASK = "feed"


class FeedTask(Task):
    """Decodes changes in the store and notifies the listeners; task name ``feed``."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        operator_store: KeyValueService,
        registry_store: KeyValueService,
        listeners: tuple[str, ...],
    ) -> None:
        """Initialize with a store for each watch and the tasks to notify of changes."""
        super().__init__(FEED_TASK, dispatcher, clock)
        self._listeners = listeners
        self._version = 0
        self._watches = (
            SharedWatch(operator_store, clock, self._enqueue, OPERATOR_PREFIX),
            SharedWatch(registry_store, clock, self._enqueue, SERVERS_PREFIX),
        )
        self._greenlets: list[gevent.Greenlet[..., None]] = []

    def start(self) -> None:
        """Start the task and its watches."""
        super().start()
        self._greenlets = [gevent.spawn(watch.run) for watch in self._watches]

    def stop(self, timeout_s: float = 5.0) -> None:
        """End the watches and the task."""
        gevent.killall(self._greenlets, block=True, timeout=timeout_s)
        super().stop(timeout_s)

    def _enqueue(self, message: Message) -> None:
        """Queue a message from a watch; runs in the watch's greenlet."""
        self.dispatcher.send(self.address, Outgoing(self.address, message))

    def handle(self, incoming: Incoming) -> None:
        """Decode one change."""
        match incoming.message:
            case KvChanged(key, value, _) if key == DESIRED_STATE_KEY:
                self._handle_desired_state(value)
            case KvChanged(key, value, _) if key.startswith(EVACUATION_PREFIX):
                zone = key.removeprefix(EVACUATION_PREFIX)
                self._notify_listeners(ZoneEvacuated(zone, value is not None))
            case KvChanged(key, value, revision) if key.startswith(SERVERS_PREFIX):
                self._handle_server_entry(key, value, revision)
            case WatchBroken(prefix, _) if prefix == SERVERS_PREFIX:
                self._notify_listeners(RegistryInterrupted())
            case WatchListed(prefix) if prefix == SERVERS_PREFIX:
                self._notify_listeners(RegistryListed())

    def _handle_desired_state(self, value: bytes | None) -> None:
        if value is None:
            log_event(logger, logging.WARNING, "desired_state_removed")
            return
        desired = decode_desired_state(value)
        if isinstance(desired, UnreadableValue):
            log_event(
                logger,
                logging.ERROR,
                "desired_state_unreadable",
                reason=desired.reason,
            )
            return
        if desired.version <= self._version:
            return
        log_event(
            logger,
            logging.INFO,
            "desired_state",
            version=desired.version,
            before=self._version,
            routes=sum(len(routes) for routes in desired.routes_by_host.values()),
            teams=len(desired.team_by_name),
        )
        self._version = desired.version
        self._notify_listeners(desired)

    def _handle_server_entry(
        self, key: str, value: bytes | None, revision: int
    ) -> None:
        server_id = key.removeprefix(SERVERS_PREFIX)
        if value is None:
            self._notify_listeners(ServerRemoved(server_id))
            return
        record = decode_server_entry(key, value)
        if isinstance(record, UnreadableValue):
            log_event(
                logger,
                logging.WARNING,
                "server_entry_unreadable",
                server=server_id,
                revision=revision,
                reason=record.reason,
            )
            # The previous entry is outdated, so the server must not be used.
            self._notify_listeners(ServerRemoved(server_id))
            return
        self._notify_listeners(record)

    def _notify_listeners(self, message: Message) -> None:
        for task in self._listeners:
            recipient = self.dispatcher.address(task)
            self.dispatcher.send(self.address, Outgoing(recipient, message))
