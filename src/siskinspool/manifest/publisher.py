"""Publication of a manifest by operators' clients.

`Publisher.publish` writes the records and then updates the head by compare-and-swap. If
two operators publish concurrently, one succeeds; the other gets a `PublishConflict`
with the changes of the first. If the answer to a write is lost, the head is read back
and searched for the token of the write. Nothing is written if the manifest is already
in force.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

import gevent

from ..store.keys import CONFIG_HEAD
from ..store.kv import (
    KeyValueService,
    KvItem,
    LostAnswerError,
    SwapResult,
    UnavailableError,
)
from .changes import EntityChange, apply_changes, diff
from .checks import check_manifest
from .document import Faults, manifest_digest, read_manifest
from .head import Head, decode_change, decode_head, encode_head, plan_publication
from .model import Manifest

READ_ATTEMPTS: Final = 5
READ_PAUSE_S: Final = 0.2


@dataclass(frozen=True)
class ActiveConfiguration:
    """The configuration in force."""

    head: Head
    manifest: Manifest
    # Revision of the head's key, for the next compare-and-swap.
    key_revision: int


@dataclass(frozen=True)
class NoConfiguration:
    """The key-value service holds no configuration yet."""


@dataclass(frozen=True)
class ConfigurationUnreadable:
    """The configuration could not be read."""

    reason: str


@dataclass(frozen=True)
class PublishSucceeded:
    """The manifest was accepted as a new revision."""

    revision: int
    changes: tuple[EntityChange, ...]


@dataclass(frozen=True)
class PublishUnchanged:
    """The manifest was already in force; nothing was written."""

    revision: int


@dataclass(frozen=True)
class PublishConflict:
    """Another change was accepted first.

    ``changes`` lead to the manifest that is now in force.
    """

    revision: int
    changes: tuple[EntityChange, ...]


@dataclass(frozen=True)
class PublishFailed:
    """The manifest was not accepted; with ``unknown`` set it may have been."""

    reason: str
    unknown: bool


PublishOutcome = PublishSucceeded | PublishUnchanged | PublishConflict | PublishFailed
ManifestEdit = Callable[[Manifest], Manifest]


class Publisher:
    """Reads and changes the configuration in the key-value service."""

    def __init__(self, service: KeyValueService) -> None:
        self._service = service

    def read(self) -> ActiveConfiguration | NoConfiguration | ConfigurationUnreadable:
        """Return the configuration in force."""
        try:
            item = self._get_with_retries(CONFIG_HEAD)
            if item is None:
                return NoConfiguration()
            head = decode_head(item.value)
            return ActiveConfiguration(head, self._read_manifest(head), item.revision)
        except (LostAnswerError, UnavailableError, ValueError, KeyError) as error:
            return ConfigurationUnreadable(str(error))

    def publish(
        self, new: Manifest, expected_revision: int | None = None
    ) -> PublishOutcome:
        """Bring a manifest into force.

        ``expected_revision`` is the revision on which the manifest is based; None
        accepts any revision in force.
        """
        base = self.read()
        if isinstance(base, ConfigurationUnreadable):
            return PublishFailed(base.reason, unknown=False)
        if isinstance(base, ActiveConfiguration):
            if expected_revision not in (None, base.head.revision):
                return PublishConflict(base.head.revision, diff(new, base.manifest))
            if manifest_digest(base.manifest) == manifest_digest(new):
                return PublishUnchanged(base.head.revision)
        return self._write(base, new)

    def edit(
        self, change: ManifestEdit, attempts: int = READ_ATTEMPTS
    ) -> PublishOutcome:
        """Change the manifest in force; retry if another change is accepted first."""
        outcome: PublishOutcome = PublishFailed("no attempt", unknown=False)
        for _ in range(attempts):
            base = self.read()
            if not isinstance(base, ActiveConfiguration):
                reason = getattr(base, "reason", "no configuration is in force")
                return PublishFailed(reason, unknown=False)
            new = change(base.manifest)
            if new == base.manifest:
                return PublishUnchanged(base.head.revision)
            outcome = self._write(base, new)
            if not isinstance(outcome, PublishConflict):
                return outcome
        return outcome

    def _write(
        self, base: ActiveConfiguration | NoConfiguration, new: Manifest
    ) -> PublishOutcome:
        faults = check_manifest(new)
        if faults:
            # Instances reject such a document, and operators could not read it back.
            return PublishFailed("; ".join(faults), unknown=False)
        head = base.head if isinstance(base, ActiveConfiguration) else None
        old = base.manifest if isinstance(base, ActiveConfiguration) else None
        key_revision = base.key_revision if isinstance(base, ActiveConfiguration) else 0
        token = secrets.token_hex(8)
        publication = plan_publication(head, old, new, token)
        try:
            for record in publication.records:
                self._service.swap(record.key, 0, record.value, None)
        except (LostAnswerError, UnavailableError) as error:
            # Nobody reads the records while no head refers to them.
            return PublishFailed(str(error), unknown=False)
        changes = diff(old, new) if old is not None else ()
        success = PublishSucceeded(publication.head.revision, changes)
        try:
            result = self._service.swap(
                CONFIG_HEAD, key_revision, encode_head(publication.head), None
            )
        except UnavailableError as error:
            return PublishFailed(str(error), unknown=False)
        except LostAnswerError:
            return self._resolve_lost_answer(publication.head, old, success)
        if result.succeeded:
            return success
        return self._conflict_outcome(old, result, token, success)

    def _conflict_outcome(
        self,
        old: Manifest | None,
        result: SwapResult,
        token: str,
        success: PublishSucceeded,
    ) -> PublishOutcome:
        if result.value is not None and decode_head(result.value).token == token:
            # An earlier attempt of this same write took effect.
            return success
        current = self.read()
        if not isinstance(current, ActiveConfiguration):
            return PublishFailed("another operator was first", unknown=False)
        changes = diff(old, current.manifest) if old is not None else ()
        return PublishConflict(current.head.revision, changes)

    def _resolve_lost_answer(
        self, head: Head, old: Manifest | None, success: PublishSucceeded
    ) -> PublishOutcome:
        """Determine whether a write took effect although its answer was lost."""
        for _ in range(READ_ATTEMPTS):
            current = self.read()
            if isinstance(current, ActiveConfiguration):
                return self._classify_lost_write(head, old, current, success)
            gevent.sleep(READ_PAUSE_S)
        return PublishFailed("the answer was lost and cannot be read", unknown=True)

    def _classify_lost_write(
        self,
        head: Head,
        old: Manifest | None,
        current: ActiveConfiguration,
        success: PublishSucceeded,
    ) -> PublishOutcome:
        if current.head.token == head.token:
            return success
        if current.head.revision < head.revision:
            # The write may still reach the service.
            return PublishFailed("the write has not taken effect", unknown=True)
        if self._chain_contains(current.head, head.token):
            return success
        changes = diff(old, current.manifest) if old is not None else ()
        return PublishConflict(current.head.revision, changes)

    def _chain_contains(self, head: Head, token: str) -> bool:
        """Return whether a later head is based on the write with this token."""
        if any(token in key for key in head.base_parts):
            return True
        key = head.change_key
        while key:
            if key.endswith(token):
                return True
            item = self._get_with_retries(key)
            if item is None:
                return False
            key = decode_change(item.value).previous_key
        return False

    def _read_manifest(self, head: Head) -> Manifest:
        data = b"".join(self._get_value(key) for key in head.base_parts)
        base = read_manifest(data)
        if isinstance(base, Faults):
            raise ValueError("; ".join(base.lines))
        records = []
        key = head.change_key
        while key:
            record = decode_change(self._get_value(key))
            records.append(record)
            key = record.previous_key
        manifest, digest = base, manifest_digest(base)
        for record in reversed(records):
            manifest, digest = apply_changes(manifest, digest, record.changes)
        return manifest

    def _get_value(self, key: str) -> bytes:
        item = self._get_with_retries(key)
        if item is None:
            raise KeyError(f"{key} is missing")
        return item.value

    def _get_with_retries(self, key: str) -> KvItem | None:
        """Read a key; repeat the read if its answer is lost, which is safe."""
        for attempt in range(READ_ATTEMPTS):
            try:
                return self._service.get(key)
            except LostAnswerError:
                if attempt == READ_ATTEMPTS - 1:
                    raise
                gevent.sleep(READ_PAUSE_S)
        return None
