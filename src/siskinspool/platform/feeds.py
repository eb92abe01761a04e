"""Decodes changes of the operator's keys and the server registry.

An unreadable value is logged and not used; a version of the desired state that is not
newer than the current one is ignored.
"""

from __future__ import annotations

import logging

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.message import Incoming, Message, Outgoing
from ..core.task import Task
from ..gateway.registry_history import RegistryHistory
from ..gateway.servers import (
    RegistryInterrupted,
    RegistryListed,
    ServerRemoved,
    ZoneEvacuated,
)
from ..store.kv import KvChanged, WatchBroken, WatchListed
from ..telemetry.logs import log_event
from .desired_state import (
    DESIRED_STATE_KEY,
    EVACUATION_PREFIX,
    UnreadableValue,
    decode_desired_state,
)
from .server_entries import SERVERS_PREFIX, decode_server_entry

logger = logging.getLogger(__name__)

FEED_TASK = "feed"


class FeedTask(Task):
    """Decodes changes in the store and notifies the listeners; task name ``feed``."""

    def __init__(
        self, dispatcher: Dispatcher, clock: Clock, listeners: tuple[str, ...]
    ) -> None:
        """Initialize with the tasks to notify of changes."""
        super().__init__(FEED_TASK, dispatcher, clock)
        self._listeners = listeners
        self._version = 0
        self._history = RegistryHistory()

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
            self._history.record_removed(server_id, revision)
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
        if not self._history.accepts(record, revision):
            log_event(
                logger,
                logging.WARNING,
                "server_entry_outdated",
                server=server_id,
                revision=revision,
                state=record.state,
                write_count=record.write_count,
            )
            return
        self._notify_listeners(record)

    def _notify_listeners(self, message: Message) -> None:
        for task in self._listeners:
            recipient = self.dispatcher.address(task)
            self.dispatcher.send(self.address, Outgoing(recipient, message))
