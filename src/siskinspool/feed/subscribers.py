"""The reader's side of the change feed: who is told what."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

import attrs

from ..core.message import Address, Outgoing
from .feed_messages import (
    CHANGE_FEED_TASK,
    FeedEnding,
    FeedProof,
    FeedReturned,
    FeedSubscribe,
    FeedUpdate,
    PrefixChanges,
)
from .feed_times import FeedTimes
from .prefix_copy import PrefixCopy

# Even without changes the revisions are told from time to time: an instance that
# watches the service itself must not begin at a revision that it has forgotten.
PROOFS_PER_UPDATE: Final = 5


@attrs.define
class _Subscriber:
    """An instance that hears of changes through this one; times are in seconds."""

    told_by_prefix: dict[str, int]
    expires_at: float
    # Of the last update.
    number: int = 0
    proofs_since: int = PROOFS_PER_UPDATE
    # When it was last informed, and the evidence for that.
    informed_at: float = float("-inf")
    current_at: float = float("-inf")


class Subscribers:
    """The subscriptions of other instances; times are in seconds."""

    def __init__(self, times: FeedTimes) -> None:
        self._times = times
        self._by_id: dict[str, _Subscriber] = {}
        self._is_ending = False

    def __len__(self) -> int:
        return len(self._by_id)

    def add(
        self,
        instance_id: str,
        request: FeedSubscribe,
        copy_by_prefix: Mapping[str, PrefixCopy],
        now: float,
    ) -> bool:
        """Add or renew a subscription; return False if it cannot be served."""
        told_by_prefix = request.revision_by_prefix
        if self._is_ending or told_by_prefix.keys() != copy_by_prefix.keys():
            return False
        for prefix, copy in copy_by_prefix.items():
            if not copy.has_changes_after(told_by_prefix[prefix]):
                return False
        expires_at = now + self._times.subscription_s
        subscriber = self._by_id.setdefault(
            instance_id, _Subscriber(told_by_prefix, expires_at)
        )
        subscriber.told_by_prefix = dict(told_by_prefix)
        subscriber.expires_at = expires_at
        subscriber.proofs_since = PROOFS_PER_UPDATE
        return True

    def remove(self, instance_id: str) -> None:
        """End a subscription."""
        self._by_id.pop(instance_id, None)

    def drop_expired(self, now: float) -> None:
        """Forget the subscriptions that were not renewed."""
        for instance_id, subscriber in list(self._by_id.items()):
            if now >= subscriber.expires_at:
                del self._by_id[instance_id]

    def end(self) -> list[Outgoing]:
        """Tell the subscribers to look for another reader, and accept no new ones."""
        self._is_ending = True
        return [_to_instance(instance_id, FeedEnding()) for instance_id in self._by_id]

    def pop_due(
        self, copies: Iterable[PrefixCopy], current_at: float, now: float
    ) -> list[Outgoing]:
        """Return the messages to subscribers that are due.

        ``current_at`` is when this instance last knew that it missed no change.
        """
        copies = tuple(copies)
        # Most subscribers have been told the same.
        changes_by_told: dict[tuple[int, ...], tuple[PrefixChanges, ...] | None] = {}
        batch = []
        for instance_id, subscriber in list(self._by_id.items()):
            told = tuple(subscriber.told_by_prefix[copy.prefix] for copy in copies)
            if told not in changes_by_told:
                changes_by_told[told] = _changes_after(copies, told)
            prefixes = changes_by_told[told]
            if prefixes is None:
                # It has missed more than the log keeps and must list the keys.
                del self._by_id[instance_id]
                continue
            message = self._next_message(subscriber, prefixes, current_at, now)
            if isinstance(message, FeedUpdate):
                marked = _mark_return(message, copies)
                batch.append(_to_instance(instance_id, marked))
            elif message is not None:
                batch.append(_to_instance(instance_id, message))
        return batch

    def wake_at(self, current_at: float) -> float:
        """Return when the next proof is due."""
        return min(
            (
                subscriber.informed_at + self._times.update_s
                for subscriber in self._by_id.values()
                if current_at > subscriber.current_at
            ),
            default=float("inf"),
        )

    def _next_message(
        self,
        subscriber: _Subscriber,
        prefixes: tuple[PrefixChanges, ...],
        current_at: float,
        now: float,
    ) -> FeedUpdate | FeedProof | None:
        """Return what a subscriber is to be told now, if anything."""
        has_changes = any(changes.changes for changes in prefixes)
        is_proof_due = (
            current_at > subscriber.current_at
            and now - subscriber.informed_at >= self._times.update_s
        )
        if not has_changes and not is_proof_due:
            return None
        subscriber.informed_at = now
        subscriber.current_at = current_at
        age_s = max(now - current_at, 0.0)
        if not has_changes and subscriber.proofs_since < PROOFS_PER_UPDATE:
            subscriber.proofs_since += 1
            return FeedProof(subscriber.number, age_s)
        subscriber.told_by_prefix = {
            changes.prefix: changes.revision for changes in prefixes
        }
        subscriber.number += 1
        subscriber.proofs_since = 0
        return FeedUpdate(subscriber.number, age_s, prefixes)


def _changes_after(
    copies: tuple[PrefixCopy, ...], told: tuple[int, ...]
) -> tuple[PrefixChanges, ...] | None:
    """Return the changes since some revisions, or None if they are unknown."""
    prefixes: list[PrefixChanges] = []
    for copy, after in zip(copies, told, strict=True):
        if not copy.has_changes_after(after):
            return None
        prefixes.append(copy.changes_after(after))
    return tuple(prefixes)


def _mark_return(
    update: FeedUpdate, copies: tuple[PrefixCopy, ...]
) -> FeedUpdate | FeedReturned:
    """Return an update with what it starts from if it leads across a return."""
    last_by_prefix = {
        copy.prefix: last
        for copy, changes in zip(copies, update.prefixes, strict=True)
        if (last := copy.last_before_return(changes.after)) is not None
    }
    return FeedReturned(update, last_by_prefix) if last_by_prefix else update


def _to_instance(
    instance_id: str, message: FeedUpdate | FeedReturned | FeedProof | FeedEnding
) -> Outgoing:
    return Outgoing(Address(instance_id, CHANGE_FEED_TASK), message)
