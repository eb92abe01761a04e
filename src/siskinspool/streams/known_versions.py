"""What an instance knows of the software versions of all services.

It combines the registry, as far as the instance follows it, with the record in the
key-value service. The history of a service is known completely once the record has been
read after the last interruption. Without a record it is known from the start on.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final, Self

import attrs

from ..core.message import Message
from ..store.kv import KvConflict, KvGet, KvReply, KvSwap, KvSwapped, KvValue
from .version_history import VersionHistory
from .version_record import (
    VERSIONS_KEY,
    VersionRecord,
    decode_versions,
    encode_versions,
)

REQUEST_PREFIX: Final = "versions-"
# How long a stream may last, as long as the timeouts of the routes are not known.
DEFAULT_STREAM_S: Final = 60.0
# A request without a reply, or without success, is repeated after this time.
RETRY_S: Final = 1.0
# Several servers of a new version register at about the same time.
WRITE_DELAY_S: Final = 0.2


@attrs.define
class KnownVersions:
    """The histories of all services; times are in seconds."""

    # How long a stream may last.
    stream_s: float
    # The time of day, in seconds of Unix time.
    wall_clock: Callable[[], float]
    # The history is known completely from this time on; infinity if it is not.
    complete_from: float
    # When the registry began to be followed without a gap.
    started_at: float
    is_interrupted: bool = False
    _history_by_service: dict[str, VersionHistory] = attrs.field(factory=dict)
    _service_by_server: dict[str, str] = attrs.field(factory=dict)
    # The record as it was last read or written; None before the first reply.
    _record: VersionRecord | None = None
    _revision: int = 0
    _request_id: str = ""
    _number: int = 0
    _next_request_at: float = 0.0
    _written: VersionRecord = attrs.field(factory=dict)

    @classmethod
    def at_start(
        cls, now: float, wall_clock: Callable[[], float], *, first_start: bool
    ) -> Self:
        """Return what a new instance knows; on the first start no stream is older."""
        complete_from = float("-inf") if first_start else float("inf")
        return cls(DEFAULT_STREAM_S, wall_clock, complete_from, started_at=now)

    def update(self, server_id: str, service: str, version: str, now: float) -> None:
        """Record a server's registry entry."""
        if self._service_by_server.get(server_id, service) != service:
            self.remove(server_id, now)
        self._service_by_server[server_id] = service
        self._history(service).update(server_id, version, now)
        self._delay_write(now)

    def remove(self, server_id: str, now: float) -> None:
        """Record that a server's registry entry was removed."""
        service = self._service_by_server.pop(server_id, None)
        if service is not None:
            self._history(service).remove(server_id, now)
            self._delay_write(now)

    def interrupt(self) -> None:
        """Record that changes of the registry do not arrive."""
        self.is_interrupted = True

    def restore(self, now: float) -> None:
        """Record that the registry was listed; versions may have come and gone."""
        if self.is_interrupted:
            self.is_interrupted = False
            self.complete_from, self.started_at = float("inf"), now
            self._record, self._next_request_at = None, now

    def only_version(self, service: str, now: float) -> str:
        """Return the only version that any stream of a service can have begun at.

        Empty if there are several, or if it is not known.
        """
        since = now - self.stream_s
        if self.is_interrupted or self.complete_from > since:
            return ""
        history = self._history_by_service.get(service)
        return "" if history is None else history.only_version(since)

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether streams of several versions may be under way."""
        history = self._history_by_service.get(service)
        return history is not None and not history.only_version(now - self.stream_s)

    def due_at(self, may_write: bool) -> float | None:
        """Return when the record is to be read or written next, if at all."""
        needs_write = may_write and self._record != self._current_record()
        if self._request_id or self._record is None or needs_write:
            return self._next_request_at
        return None

    def request(self, may_write: bool, now: float) -> Message | None:
        """Return the read or write of the record that is due, if any."""
        due_at = self.due_at(may_write)
        if due_at is None or now < due_at:
            return None
        self._number += 1
        self._request_id = f"{REQUEST_PREFIX}{self._number}"
        self._next_request_at = now + RETRY_S
        if self._record is None:
            return KvGet(self._request_id, VERSIONS_KEY)
        self._written = self._current_record()
        value = encode_versions(self._written)
        return KvSwap(self._request_id, VERSIONS_KEY, self._revision, value)

    def handle_reply(self, reply: KvReply, now: float) -> None:
        """Handle the reply to a read or a write of the record."""
        if reply.request_id != self._request_id:
            return
        match reply:
            case KvValue(_, _, value, revision) | KvConflict(_, _, value, revision):
                self._take_over(decode_versions(value), revision, now)
                self._request_id, self._next_request_at = "", now
            case KvSwapped(_, _, revision):
                self._record, self._revision = self._written, revision
                self._request_id = ""

    def _take_over(
        self, record: VersionRecord | None, revision: int, now: float
    ) -> None:
        unix_s = self.wall_clock()
        for service, versions in (record or {}).items():
            for version, gone_unix_s in versions.items():
                # A version that the record calls present has gone just now at the
                # latest; clocks differ, so no version has gone in the future.
                age_s = 0.0 if gone_unix_s is None else max(unix_s - gone_unix_s, 0.0)
                self._history(service).add_gone(version, now - age_s)
        self._record, self._revision = record or {}, revision
        is_known = record is not None
        self.complete_from = min(
            self.complete_from, float("-inf") if is_known else self.started_at
        )

    def _current_record(self) -> VersionRecord:
        """Return the record that should be written.

        A version keeps the time that is recorded, so that instances do not overwrite
        each other's.
        """
        record: VersionRecord = {}
        for service, history in self._history_by_service.items():
            known = (self._record or {}).get(service, {})
            versions: dict[str, float | None] = dict.fromkeys(history.present())
            for version in history.gone_since(float("-inf")):
                gone = known.get(version)
                versions[version] = gone or round(self.wall_clock())
            if versions:
                record[service] = versions
        return record

    def drop_gone(self, now: float) -> None:
        """Forget versions whose streams have all ended, with a margin."""
        for history in self._history_by_service.values():
            history.drop_gone(now - 2 * self.stream_s)

    def _delay_write(self, now: float) -> None:
        if self._record is not None and not self._request_id:
            self._next_request_at = max(self._next_request_at, now + WRITE_DELAY_S)

    def _history(self, service: str) -> VersionHistory:
        return self._history_by_service.setdefault(service, VersionHistory())
