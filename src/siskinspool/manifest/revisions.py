"""The configuration in force at this instance.

`Revisions` gets a new head from the task ``kv`` (by its watch, and by the reads that
the freshness rule requires) and the number of a new revision from the heartbeat of
another instance, called a neighbour here. It then fetches the missing changes: from the
key-value service, the change records from the newest back to its own revision or to the
base; from a neighbour, the neighbour's changes. The result must have the digest that
came with the head or the changes. A revision lower than the one in force is never
applied (R13), even if a stale read or a neighbour returns it.
"""

from __future__ import annotations

import itertools
from collections import deque
from typing import Final

import attrs

from ..core.decision import Decision
from ..core.malformed import MALFORMED_ERRORS
from ..core.message import Address, Incoming, Message, Outgoing
from ..machines.messages import CatalogChanged, PeerRevisionSeen
from ..store.keys import CONFIG_HEAD
from ..store.kv import (
    KvChanged,
    KvGet,
    KvValue,
)
from .changes import EntityChange, apply_changes
from .document import Faults, manifest_digest, read_manifest, write_manifest
from .head import ChangeRecord, Head, decode_change, decode_head, format_digest
from .model import Catalog, Manifest, empty_manifest
from .revision_messages import (
    AskChanges,
    ChangesSince,
)

# A fetch that is not complete after this time is restarted.
FETCH_TIMEOUT_S: Final = 3.0
# Minimum time between two requests to neighbours.
NEIGHBOUR_REQUEST_INTERVAL_S: Final = 0.5
MAX_KEPT_REVISIONS: Final = 256


@attrs.define
class _ConfigurationFetch:
    """The records read so far, from a head back to the revision in force."""

    head: Head
    started_at: float
    # Newest first.
    records: list[ChangeRecord] = attrs.field(factory=list)
    part_by_key: dict[str, bytes] = attrs.field(factory=dict)
    wants_base: bool = False


@attrs.frozen
class _AppliedRevision:
    """The changes of a revision, kept to answer neighbours."""

    revision: int
    changes: tuple[EntityChange, ...]


class Revisions(Decision):
    """Keeps the newest accepted configuration; task name ``revisions``."""

    def __init__(self, instance_id: str, listeners: tuple[str, ...]) -> None:
        self._instance_id = instance_id
        self._subscribers = listeners
        self._manifest: Manifest = empty_manifest()
        self._revision = 0
        self._digest = manifest_digest(self._manifest)
        self._applied_revisions: deque[_AppliedRevision] = deque(
            maxlen=MAX_KEPT_REVISIONS
        )
        self._fetch: _ConfigurationFetch | None = None
        self._request_numbers = itertools.count(1)
        self._next_neighbour_request_at = 0.0

    @property
    def revision(self) -> int:
        """The revision in force; 0 if there is none."""
        return self._revision

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Process a head, a fetched record or a message of a neighbour."""
        match incoming.message:
            case KvChanged(key=key, value=value) if key == CONFIG_HEAD:
                return self._handle_head(value, now)
            case KvValue() as reply:
                return self._handle_record(reply, now)
            case PeerRevisionSeen(revision=revision, instance_id=instance_id):
                return self._ask_neighbour(revision, instance_id, now)
            case AskChanges(after_revision=after_revision):
                return self._answer_neighbour(after_revision, incoming.sender)
            case ChangesSince() as answer:
                return self._handle_changes(answer)
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Restart a stalled fetch."""
        fetch = self._fetch
        if fetch is None or now < fetch.started_at + FETCH_TIMEOUT_S:
            return []
        return self._start_fetch(fetch.head, now)

    def wake_at(self) -> float | None:
        """Return when the current fetch times out."""
        if self._fetch is None:
            return None
        return self._fetch.started_at + FETCH_TIMEOUT_S

    def _handle_head(self, value: bytes | None, now: float) -> list[Outgoing]:
        head = _decode_head(value)
        if head is None or head.revision <= self._revision:
            return []
        if self._fetch is not None and self._fetch.head.revision >= head.revision:
            return []
        return self._start_fetch(head, now)

    def _start_fetch(self, head: Head, now: float) -> list[Outgoing]:
        self._fetch = _ConfigurationFetch(head, now)
        self._fetch.wants_base = self._revision < head.base_revision
        return self._continue_fetch(now)

    def _continue_fetch(self, now: float) -> list[Outgoing]:
        """Request the next missing record, or apply the records if all have arrived."""
        fetch = self._fetch
        assert fetch is not None
        oldest_record = fetch.records[-1] if fetch.records else None
        next_key = (
            fetch.head.change_key
            if oldest_record is None
            else oldest_record.previous_key
        )
        oldest_missing = (
            fetch.head.revision if oldest_record is None else oldest_record.revision - 1
        )
        floor = fetch.head.base_revision if fetch.wants_base else self._revision
        if oldest_missing > floor:
            return [self._request_record(next_key)]
        if fetch.wants_base:
            missing = [
                key for key in fetch.head.base_parts if key not in fetch.part_by_key
            ]
            if missing:
                return [self._request_record(missing[0])]
        return self._complete_fetch(fetch)

    def _request_record(self, key: str) -> Outgoing:
        return self._message_to(
            "kv", KvGet(f"record:{next(self._request_numbers)}", key)
        )

    def _handle_record(self, reply: KvValue, now: float) -> list[Outgoing]:
        fetch = self._fetch
        if fetch is None or reply.value is None:
            return []
        if reply.key in fetch.head.base_parts:
            fetch.part_by_key[reply.key] = reply.value
            return self._continue_fetch(now)
        oldest_record = fetch.records[-1] if fetch.records else None
        expected = (
            fetch.head.change_key
            if oldest_record is None
            else oldest_record.previous_key
        )
        if reply.key != expected:
            return []
        try:
            fetch.records.append(decode_change(reply.value))
        except MALFORMED_ERRORS:
            return []
        return self._continue_fetch(now)

    def _complete_fetch(self, fetch: _ConfigurationFetch) -> list[Outgoing]:
        self._fetch = None
        records = list(reversed(fetch.records))
        if fetch.wants_base:
            data = b"".join(fetch.part_by_key[key] for key in fetch.head.base_parts)
            return self._replace_manifest(
                data, records, fetch.head.revision, fetch.head.digest
            )
        newer_records = [
            record for record in records if record.revision > self._revision
        ]
        return self._apply_records(newer_records, fetch.head.digest)

    def _replace_manifest(
        self, data: bytes, records: list[ChangeRecord], revision: int, digest: str
    ) -> list[Outgoing]:
        base = read_manifest(data)
        if isinstance(base, Faults):
            return []
        manifest, computed_digest = base, manifest_digest(base)
        for record in records:
            manifest, computed_digest = apply_changes(
                manifest, computed_digest, record.changes
            )
        if format_digest(computed_digest) != digest or revision <= self._revision:
            return []
        self._applied_revisions.clear()
        return self._put_in_force(manifest, computed_digest, revision)

    def _apply_records(
        self, records: list[ChangeRecord], digest: str
    ) -> list[Outgoing]:
        manifest, computed_digest = self._manifest, self._digest
        for record in records:
            manifest, computed_digest = apply_changes(
                manifest, computed_digest, record.changes
            )
        if not records or format_digest(computed_digest) != digest:
            return []
        self._applied_revisions.extend(
            _AppliedRevision(record.revision, record.changes) for record in records
        )
        return self._put_in_force(manifest, computed_digest, records[-1].revision)

    def _put_in_force(
        self, manifest: Manifest, digest: int, revision: int
    ) -> list[Outgoing]:
        self._manifest, self._digest, self._revision = manifest, digest, revision
        if self._fetch is not None and self._fetch.head.revision <= revision:
            self._fetch = None
        changed = CatalogChanged(Catalog.from_manifest(revision, manifest))
        return [self._message_to(task, changed) for task in self._subscribers]

    def _ask_neighbour(
        self, revision: int, instance_id: str, now: float
    ) -> list[Outgoing]:
        if revision <= self._revision or now < self._next_neighbour_request_at:
            return []
        self._next_neighbour_request_at = now + NEIGHBOUR_REQUEST_INTERVAL_S
        address = Address(instance_id, "revisions")
        return [Outgoing(address, AskChanges(self._revision))]

    def _answer_neighbour(
        self, after_revision: int, requester: Address
    ) -> list[Outgoing]:
        if after_revision >= self._revision:
            return []
        newer = [
            applied
            for applied in self._applied_revisions
            if applied.revision > after_revision
        ]
        needs_whole_manifest = not newer or newer[0].revision != after_revision + 1
        answer = ChangesSince(
            from_revision=after_revision,
            to_revision=self._revision,
            digest=format_digest(self._digest),
            changes=()
            if needs_whole_manifest
            else tuple(change for applied in newer for change in applied.changes),
            manifest=write_manifest(self._manifest) if needs_whole_manifest else b"",
        )
        return [Outgoing(requester, answer)]

    def _handle_changes(self, answer: ChangesSince) -> list[Outgoing]:
        if answer.to_revision <= self._revision:
            return []
        if answer.manifest:
            return self._replace_manifest(
                answer.manifest, [], answer.to_revision, answer.digest
            )
        if answer.from_revision != self._revision:
            return []
        record = ChangeRecord(
            revision=answer.to_revision, previous_key="", changes=answer.changes
        )
        messages = self._apply_records([record], answer.digest)
        if messages and answer.to_revision > answer.from_revision + 1:
            # Several revisions came as one change; a neighbour at a revision between
            # them has to get the whole manifest.
            self._applied_revisions.clear()
        return messages

    def _message_to(self, task: str, message: Message) -> Outgoing:
        return Outgoing(Address(self._instance_id, task), message)


def _decode_head(value: bytes | None) -> Head | None:
    if value is None:
        return None
    try:
        return decode_head(value)
    except MALFORMED_ERRORS:
        return None
