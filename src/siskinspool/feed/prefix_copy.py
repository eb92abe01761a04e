"""What an instance knows about the keys with one prefix.

A `PrefixCopy` is complete up to its revision: it has seen every change up to there. It
therefore accepts only changes after that revision, so that neither an older listing nor
a delayed message can undo a newer change or bring a deleted key back.

The last changes are kept for subscribers. Of the values, only large ones are kept:
their next versions are sent as deltas.

A service that returns from an older copy has another history from then on. The first
listing of the new era replaces what was known: its differences are the changes between
the last revision known before and the listing. They are right only for an instance
that knew no more of the era before, and say nothing of the new era before the listing.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterable
from typing import Final

import attrs

from ..store.kv import KvItem
from ..store.revision import era_of, number_of
from .feed_messages import KeyChange, PrefixChanges, PrefixListed
from .value_delta import apply_delta, encode_delta

MAX_LOGGED_CHANGES: Final = 1_000
MAX_LOGGED_BYTES: Final = 1_000_000
# Values of this size or more are sent as deltas.
LARGE_VALUE_BYTES: Final = 4_096
# Returns of the service are rare; who was told of none of the last ones lists the keys.
MAX_KNOWN_ERAS: Final = 4


@attrs.frozen
class _LoggedChange:
    """A change with the way it was found."""

    change: KeyChange
    is_after_outage: bool

    @property
    def size_bytes(self) -> int:
        return len(self.change.key) + len(self.change.value or b"")


@attrs.frozen
class AppliedChanges:
    """The changes that an update brought; incomplete if others are missing."""

    changes: list[KeyChange]
    is_complete: bool


class PrefixCopy:
    """The revisions of the keys with a prefix, and the last changes."""

    def __init__(self, prefix: str) -> None:
        self.prefix = prefix
        # None until the first listing.
        self.revision: int | None = None
        self._revision_by_key: dict[str, int] = {}
        self._large_value_by_key: dict[str, bytes] = {}
        # Of the last write of each key, to tell which keys a return has changed.
        self._digest_by_key: dict[str, int] = {}
        # By revision.
        self._log: list[_LoggedChange] = []
        self._log_bytes = 0
        # The log contains all changes after this revision.
        self._log_after = 0
        # The listing that began the present era, and the last revision that was known
        # of each era before it.
        self._era_listed_at = 0
        self._last_by_era: dict[int, int] = {}

    def apply_listing(
        self, listed: PrefixListed, *, is_after_outage: bool = False
    ) -> list[KeyChange]:
        """Return the changes that a listing shows; an outdated one shows none."""
        known_revision = self.revision
        if known_revision is None:
            self._log_after = listed.revision
        elif listed.revision < known_revision:
            return []
        else:
            self._enter_era(listed.revision)
        changes = [
            KeyChange(item.key, item.value, item.revision)
            for item in listed.items
            if self._is_new(item.key, item.revision) and not self._is_known(item)
        ]
        listed_keys = {item.key for item in listed.items}
        changes += [
            KeyChange(key, None, listed.revision)
            for key, revision in self._revision_by_key.items()
            if key not in listed_keys and revision <= listed.revision
        ]
        self._accept(changes, is_after_outage)
        self.revision = listed.revision
        return changes

    def apply_changes(
        self, update: PrefixChanges, last_before_return: int = 0
    ) -> AppliedChanges:
        """Apply the changes that are new, as far as those before them are known.

        If they lead across a return of the service, they are the differences from what
        was known at ``last_before_return``.
        """
        if not self._is_continued_by(update, last_before_return):
            return AppliedChanges([], is_complete=False)
        assert self.revision is not None
        self._enter_era(update.revision)
        applied: list[KeyChange] = []
        for change in sorted(update.changes, key=_revision_of):
            if not self._is_new(change.key, change.revision):
                continue
            resolved = self._resolve(change)
            if resolved is None:
                return AppliedChanges(applied, is_complete=False)
            self._accept([resolved], update.is_relisted)
            applied.append(resolved)
        self.revision = max(self.revision, update.revision)
        return AppliedChanges(applied, is_complete=True)

    def has_changes_after(self, after: int) -> bool:
        """Return whether all changes since a revision are known."""
        if self.revision is None or after < self._log_after:
            return False
        if era_of(after) == era_of(self.revision):
            return after >= self._era_listed_at
        return after <= self._last_by_era.get(era_of(after), 0)

    def changes_after(self, after: int) -> PrefixChanges:
        """Return the changes since a revision (see `has_changes_after`)."""
        assert self.revision is not None
        after = min(after, self.revision)
        start = bisect.bisect_right(self._log, after, key=_logged_revision)
        end = bisect.bisect_right(self._log, self.revision, key=_logged_revision)
        logged = self._log[start:end]
        return PrefixChanges(
            prefix=self.prefix,
            after=after,
            revision=self.revision,
            changes=tuple(entry.change for entry in logged),
            is_relisted=any(entry.is_after_outage for entry in logged),
        )

    def last_before_return(self, after: int) -> int | None:
        """Return the last revision of an earlier era; None for the present one."""
        return self._last_by_era.get(era_of(after))

    def _is_continued_by(self, update: PrefixChanges, last_before_return: int) -> bool:
        """Return whether no change is missing between this copy and an update's."""
        known_revision = self.revision
        if known_revision is None or update.after > known_revision:
            return False
        if era_of(update.after) == era_of(update.revision):
            return True
        return known_revision >= update.revision or known_revision <= last_before_return

    def _enter_era(self, revision: int) -> None:
        """Record where the era of a new revision begins, if it is a new one."""
        assert self.revision is not None
        if era_of(revision) <= era_of(self.revision):
            return
        self._last_by_era[era_of(self.revision)] = self.revision
        self._era_listed_at = revision
        while len(self._last_by_era) > MAX_KNOWN_ERAS:
            del self._last_by_era[min(self._last_by_era)]

    def _is_known(self, item: KvItem) -> bool:
        """Return whether a key still has the write that it had in an earlier era."""
        digest = _digest(item.value, item.revision)
        return self._digest_by_key.get(item.key) == digest

    def _resolve(self, change: KeyChange) -> KeyChange | None:
        """Return a change with its full value, or None if its base is not known."""
        if not change.base_revision:
            return change
        base = self._large_value_by_key.get(change.key)
        is_base = change.base_revision == self._revision_by_key.get(change.key)
        if base is None or not is_base or change.value is None:
            return None
        value = apply_delta(base, change.value)
        return None if value is None else KeyChange(change.key, value, change.revision)

    def _is_new(self, key: str, revision: int) -> bool:
        complete_until = self.revision if self.revision is not None else 0
        return revision > max(complete_until, self._revision_by_key.get(key, 0))

    def _accept(self, changes: Iterable[KeyChange], is_after_outage: bool) -> None:
        for change in changes:
            logged = self._to_logged(change)
            if change.value is None:
                self._revision_by_key.pop(change.key, None)
                self._digest_by_key.pop(change.key, None)
            else:
                self._revision_by_key[change.key] = change.revision
                digest = _digest(change.value, change.revision)
                self._digest_by_key[change.key] = digest
            if change.value is None or len(change.value) < LARGE_VALUE_BYTES:
                self._large_value_by_key.pop(change.key, None)
            else:
                self._large_value_by_key[change.key] = change.value
            if change.revision > self._log_after:
                self._append(_LoggedChange(logged, is_after_outage))

    def _to_logged(self, change: KeyChange) -> KeyChange:
        """Return a change as it is sent: a large value as a delta to the last one."""
        base = self._large_value_by_key.get(change.key)
        if base is None or change.value is None:
            return change
        delta = encode_delta(base, change.value)
        if len(delta) >= len(change.value):
            return change
        return KeyChange(
            change.key, delta, change.revision, self._revision_by_key[change.key]
        )

    def _append(self, entry: _LoggedChange) -> None:
        bisect.insort(self._log, entry, key=_logged_revision)
        self._log_bytes += entry.size_bytes
        while len(self._log) > MAX_LOGGED_CHANGES or self._log_bytes > MAX_LOGGED_BYTES:
            dropped = self._log.pop(0)
            self._log_bytes -= dropped.size_bytes
            self._log_after = dropped.change.revision


def _digest(value: bytes, revision: int) -> int:
    """Return a digest of a write: the value, and the number without its era."""
    return hash((value, number_of(revision)))


def _revision_of(change: KeyChange) -> int:
    return change.revision


def _logged_revision(entry: _LoggedChange) -> int:
    return entry.change.revision
