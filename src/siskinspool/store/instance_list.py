"""The platform's list of live and leaving instances and servers.

The task ``instance_list`` reads the list every second and reports leaving entries to
membership. The list lags and may be unavailable; then the last known list stays valid.
"""

from __future__ import annotations

import logging
from abc import ABC, abstractmethod
from enum import StrEnum
from typing import Final

import attrs
import msgspec

from ..core.clock import Clock
from ..core.dispatcher import Dispatcher
from ..core.malformed import MALFORMED_ERRORS
from ..core.message import Incoming, Outgoing
from ..core.task import Task
from ..machines.messages import LeavingChanged
from ..telemetry.logs import log_event
from .bounded_client import BoundedClient

logger = logging.getLogger(__name__)

INSTANCE_LIST_TASK: Final = "instance_list"
POLL_INTERVAL_S: Final = 1.0
REQUEST_TIMEOUT_S: Final = 2.0
# Some 100 bytes for each of 7,000 instances and servers, several times over.
MAX_LIST_BYTES: Final = 4 * 1024 * 1024


class ListedKind(StrEnum):
    """The kind of a list entry."""

    INSTANCE = "instance"
    SERVER = "server"


class ListedState(StrEnum):
    """Whether the platform is about to remove an entry."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedEntry:
    """One entry of the instance list."""

    id: str
    kind: ListedKind
    state: ListedState


class ListUnavailableError(Exception):
    """The instance list could not be read."""


class InstanceList(ABC):
    """Adapter to the platform's instance list."""

    @abstractmethod
    def read(self) -> tuple[ListedEntry, ...]:
        """Return all entries; raise `ListUnavailableError` if that fails."""


@attrs.frozen
class _ListDocument:
    """The JSON document with the list."""

    instances: tuple[ListedEntry, ...]


class HttpInstanceList(InstanceList):
    """Reads the list from ``GET /v1/instances``."""

    def __init__(self, host: str, port: int) -> None:
        self._client = BoundedClient(
            host,
            port,
            connect_timeout_s=REQUEST_TIMEOUT_S,
            timeout_s=REQUEST_TIMEOUT_S,
            connections=1,
            max_answer_bytes=MAX_LIST_BYTES,
        )

    def read(self) -> tuple[ListedEntry, ...]:
        """Return all entries; raise `ListUnavailableError` if that fails."""
        try:
            response = self._client.get("/v1/instances")
            status, data = response.status_code, bytes(response.read())
        except Exception as error:
            # The client raises many kinds of socket and parser errors.
            raise ListUnavailableError(repr(error)) from error
        if status != 200:
            raise ListUnavailableError(f"the list answers {status}")
        try:
            return msgspec.json.decode(data, type=_ListDocument).instances
        except MALFORMED_ERRORS as error:
            raise ListUnavailableError(str(error)) from error


class InstanceListTask(Task):
    """Polls the list and reports each result to membership."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        clock: Clock,
        source: InstanceList,
        watchers: tuple[str, ...] = ("membership",),
    ) -> None:
        super().__init__(INSTANCE_LIST_TASK, dispatcher, clock)
        self._source = source
        self._watchers = watchers
        self._next_poll_at = clock.now()
        # All instances that were ever listed. An instance that is not among them may be
        # too new for the list, and is not reported as gone.
        self._seen_instance_ids: frozenset[str] = frozenset()

    def handle(self, incoming: Incoming) -> None:
        """Ignore messages; the task only polls."""

    def wake_at(self) -> float:
        """Return the time of the next poll."""
        return self._next_poll_at

    def on_time(self) -> None:
        """Read the list and report it."""
        self._next_poll_at = self.clock.now() + POLL_INTERVAL_S
        try:
            entries = self._source.read()
        except ListUnavailableError as error:
            log_event(logger, logging.WARNING, "list_unavailable", reason=str(error))
            return
        message = self._build_leaving_message(entries)
        for watcher in self._watchers:
            recipient = self.dispatcher.address(watcher)
            self.dispatcher.send(self.address, Outgoing(recipient, message))

    def _build_leaving_message(
        self, entries: tuple[ListedEntry, ...]
    ) -> LeavingChanged:
        leaving = [entry for entry in entries if entry.state is ListedState.LEAVING]
        listed_ids = {
            entry.id for entry in entries if entry.kind is ListedKind.INSTANCE
        }
        self._seen_instance_ids |= listed_ids
        return LeavingChanged(
            _ids(leaving, ListedKind.SERVER),
            _ids(leaving, ListedKind.INSTANCE),
            self._seen_instance_ids - listed_ids,
        )


def _ids(entries: list[ListedEntry], kind: ListedKind) -> frozenset[str]:
    return frozenset(entry.id for entry in entries if entry.kind is kind)
