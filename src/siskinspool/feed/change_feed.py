"""The ``change_feed`` decision: who reads the key-value service, who is told by whom.

A few readers, which all instances choose alike from the members, watch the service.
Each of the others subscribes to one reader, which sends it every change and, while
nothing changes, the proof that nothing did. An instance without such a proof for
`FeedTimes.silence_s` watches the service itself, from the revision it knows, until a
reader informs it again. So a reader that is killed, suspended or cut off from the
service or from its subscribers delays a change by less than its bound.

The proof is the last time at which the service answered a call of the reader while all
its watches were open; a suspended process shows the age of its proof by itself, as the
clock goes on. A watch whose connection goes silent counts as open until its call times
out, so a change may be late by that time. Everything else rests on revisions
(`PrefixCopy`), so messages may be lost, doubled, late or out of order.

A service that returns from an older copy begins a new era. Its answers then prove
nothing about copies of the era before: a reader lists all prefixes again as soon as any
call shows the new era, and tells its subscribers the differences. To the listeners a
return is an outage, since keys may be missing until their writers write them again: a
removal that the first listing of an era shows is published `REWRITE_GRACE_S` after
this instance first knew of the last return.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Iterable, Mapping
from typing import Final

from ..core.decision import Decision
from ..core.member import Member, MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..store.kv import KvChanged, WatchBroken, WatchListed
from ..store.kv_events import KvReachability
from ..store.revision import era_of
from ..telemetry.logs import log_event
from .feed_messages import (
    WATCH_TASK,
    FeedEnding,
    FeedProof,
    FeedReturned,
    FeedSubscribe,
    FeedUnsubscribe,
    FeedUpdate,
    KeyChange,
    ListPrefixes,
    PrefixChanges,
    PrefixListed,
    StartReading,
    StopFeeding,
    StopReading,
)
from .feed_times import FeedTimes
from .prefix_copy import PrefixCopy
from .reader_choice import ReaderRanking
from .service_outage import OutageDetector
from .subscribers import Subscribers
from .subscription import Subscription

logger = logging.getLogger(__name__)

_NEVER: Final = float("-inf")
# After the service has returned from an older copy, the writers of the keys that it
# lacks write them again within two seconds; a reader pauses before it hears of that.
REWRITE_GRACE_S: Final = 2.3


class ChangeFeed(Decision):
    """Publishes the changes of some prefixes, read here or told by another instance."""

    def __init__(
        self,
        own: Member,
        listeners_by_prefix: Mapping[str, tuple[str, ...]],
        times: FeedTimes,
        rng: random.Random,
    ) -> None:
        """Create the decision; the listeners are tasks that get `KvChanged`."""
        self._id = own.instance_id
        self._listeners_by_prefix = listeners_by_prefix
        self._times = times
        self._copy_by_prefix = {
            prefix: PrefixCopy(prefix) for prefix in listeners_by_prefix
        }
        self._ranking = ReaderRanking.from_members({own.instance_id: own})
        self._subscribers = Subscribers(times)
        self._subscription = Subscription(own, times, rng)
        self._is_listing = False
        # At a start, the members become known after the first listing.
        self._settled_at = _NEVER
        self._is_reading = False
        # Prefixes that the watches have not shown to be recent since they were started.
        self._unconfirmed_prefixes: set[str] = set()
        # Prefixes whose watch has failed.
        self._broken_prefixes: set[str] = set()
        # Prefixes whose listeners know that an outage keeps the changes away.
        self._interrupted_prefixes: set[str] = set()
        # When the service last answered a call of this instance, and whether it
        # answered the last one.
        self._reached_at = _NEVER
        self._is_answered = True
        # The service's era by its last answer, and the one for which the prefixes were
        # last listed because of a return.
        self._era = 0
        self._relisted_era = 0
        self._outage = OutageDetector()
        # The latest era that any message has shown, and when it first did.
        self._known_era = 0
        self._era_known_at = _NEVER
        # The prefixes of keys that are missing since a return, and still published.
        self._prefix_by_missing_key: dict[str, str] = {}

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a change from the watches or another instance, or a subscription."""
        batch: list[Outgoing] = []
        match incoming.message:
            case PrefixListed() as listed:
                batch = self._handle_listing(listed, now)
            case PrefixChanges() as changes:
                if era_of(changes.revision) >= self._era:
                    self._unconfirmed_prefixes.discard(changes.prefix)
                batch, _ = self._apply(changes, now)
            case WatchBroken(prefix, _):
                self._broken_prefixes.add(prefix)
            case KvReachability() as reachability:
                self._record_reachability(reachability, now)
            case MembershipChanged(member_by_id):
                self._ranking = ReaderRanking.from_members(member_by_id)
                self._subscription.set_ranking(self._ranking)
            case FeedSubscribe() as request:
                self._handle_request(incoming.sender.instance_id, request, now)
            case FeedUnsubscribe():
                self._subscribers.remove(incoming.sender.instance_id)
            case FeedUpdate() as update:
                batch = self._handle_update(incoming.sender, update, {}, now)
            case FeedReturned(update, last_by_prefix):
                batch = self._handle_update(
                    incoming.sender, update, last_by_prefix, now
                )
            case FeedProof(number, age_s) if _is_valid_age(age_s):
                sender_id = incoming.sender.instance_id
                self._subscription.record_proof(sender_id, number, age_s, now)
            case FeedEnding():
                self._subscription.avoid(incoming.sender.instance_id, now)
            case StopFeeding():
                batch = self._subscribers.end()
        return batch + self._advance(now)

    def on_time(self, now: float) -> list[Outgoing]:
        """Do what is due."""
        return self._advance(now)

    def wake_at(self) -> float | None:
        """Return when the next request or the start of reading is due."""
        if not self._is_listed():
            return None if self._is_listing else _NEVER
        due = self._subscription.wake_at()
        removal_due = self._rewritten_at() if self._prefix_by_missing_key else math.inf
        if self._must_read() and self._has_open_watches():
            due = max(due, self._reached_at + self._times.silence_s)
            due = min(due, self._subscribers.wake_at(self._reached_at))
        elif not self._is_reading and self._is_answered:
            due = min(due, self._subscription.lost_at())
        return min(max(due, self._settled_at), removal_due)

    def status(self, now: float) -> Status:
        """Return who reads, through whom this instance hears, and how old that is."""
        age_s = now - self._current_at()
        return {
            "readers": list(self._ranking.reader_ids),
            "is_reading": self._is_reading,
            "feeder": self._subscription.feeder_id,
            "subscribers": len(self._subscribers),
            "age_s": round(age_s, 3) if math.isfinite(age_s) else None,
            "revisions": self._revisions(),
        }

    def gauges(self) -> dict[str, float]:
        """Return whether this instance reads, and for how many."""
        return {
            "feed.is_reading": float(self._is_reading),
            "feed.subscribers": float(len(self._subscribers)),
        }

    # Changes

    def _handle_listing(self, listed: PrefixListed, now: float) -> list[Outgoing]:
        prefix = listed.prefix
        is_after_outage = prefix in self._interrupted_prefixes
        self._unconfirmed_prefixes.discard(prefix)
        self._broken_prefixes.discard(prefix)
        self._interrupted_prefixes.discard(prefix)
        copy = self._copy_by_prefix[prefix]
        known_revision = copy.revision
        if known_revision is not None and listed.revision < known_revision:
            log_event(
                logger,
                logging.WARNING,
                "feed_listing_outdated",
                prefix=prefix,
                revision=listed.revision,
                known=known_revision,
            )
        is_return = _is_later_era(listed.revision, known_revision)
        changes = copy.apply_listing(
            listed, is_after_outage=is_after_outage or is_return
        )
        if is_return:
            self._subscription.record_return(now)
            batch = self._publish_return(prefix, changes, now)
        else:
            batch = self._publish(prefix, changes)
        batch += self._notify(prefix, WatchListed(prefix))
        if self._is_listing and self._is_listed():
            self._is_listing = False
            self._settled_at = now + self._times.update_s
            self._subscription.record_listing(listed.read_at)
        return batch

    def _handle_update(
        self,
        sender: Address,
        update: FeedUpdate,
        last_before_return_by_prefix: dict[str, int],
        now: float,
    ) -> list[Outgoing]:
        if not self._is_valid(update):
            log_event(
                logger, logging.WARNING, "feed_update_invalid", peer=sender.instance_id
            )
            return []
        batch: list[Outgoing] = []
        for changes in update.prefixes:
            last_before_return = last_before_return_by_prefix.get(changes.prefix, 0)
            published, is_complete = self._apply(changes, now, last_before_return)
            batch += published
            if not is_complete:
                log_event(
                    logger,
                    logging.INFO,
                    "feed_gap",
                    peer=sender.instance_id,
                    prefix=changes.prefix,
                    after=changes.after,
                    revision=self._copy_by_prefix[changes.prefix].revision,
                )
                self._subscription.request_renewal(now)
                return batch
        self._subscription.record_update(
            sender.instance_id, update.number, update.age_s, now
        )
        return batch

    def _is_valid(self, update: FeedUpdate) -> bool:
        if not _is_valid_age(update.age_s):
            return False
        if {changes.prefix for changes in update.prefixes} != set(self._copy_by_prefix):
            return False
        return all(
            0 <= changes.after <= changes.revision
            and all(
                change.key.startswith(changes.prefix)
                and changes.after < change.revision <= changes.revision
                for change in changes.changes
            )
            for changes in update.prefixes
        )

    def _apply(
        self, changes: PrefixChanges, now: float, last_before_return: int = 0
    ) -> tuple[list[Outgoing], bool]:
        """Publish what is new; return whether all changes before it are known."""
        prefix = changes.prefix
        copy = self._copy_by_prefix[prefix]
        known_revision = copy.revision
        applied = copy.apply_changes(changes, last_before_return)
        if _is_later_era(copy.revision, known_revision):
            batch = self._publish_return(prefix, applied.changes, now)
            return [*batch, *self._notify(prefix, WatchListed(prefix))], True
        batch = self._publish(prefix, applied.changes)
        if batch and changes.is_relisted:
            # Keys may have expired in an outage though their owners are alive.
            batch = [
                *self._notify(prefix, WatchBroken(prefix, "outage")),
                *batch,
                *self._notify(prefix, WatchListed(prefix)),
            ]
        return batch, applied.is_complete

    def _publish_return(
        self, prefix: str, changes: list[KeyChange], now: float
    ) -> list[Outgoing]:
        """Publish the first changes of an era, after the notice of an interruption."""
        revision = self._copy_by_prefix[prefix].revision
        assert revision is not None
        self._record_era(era_of(revision), now)
        log_event(
            logger,
            logging.WARNING,
            "store_returned",
            prefix=prefix,
            revision=revision,
            changes=len(changes),
        )
        batch = self._notify(prefix, WatchBroken(prefix, "returned"))
        # In order: the changes may contain both the loss of a key and its next write.
        for change in changes:
            if change.value is not None:
                batch += self._publish(prefix, [change])
                continue
            self._prefix_by_missing_key[change.key] = prefix
        return batch

    def _publish_held_removals(self, now: float) -> list[Outgoing]:
        """Publish the removals whose keys have not been written again in time."""
        if now < self._rewritten_at():
            return []
        batch: list[Outgoing] = []
        for key, prefix in list(self._prefix_by_missing_key.items()):
            # The key was still missing at the last revision that is known.
            revision = self._copy_by_prefix[prefix].revision
            assert revision is not None
            batch += self._publish(prefix, [KeyChange(key, None, revision)])
        return batch

    def _record_era(self, era: int, now: float) -> None:
        """Record when an era of the service was first known."""
        if era > self._known_era:
            self._known_era = era
            self._era_known_at = now

    def _rewritten_at(self) -> float:
        """Return when the keys that the last return has lost are there again."""
        return self._era_known_at + REWRITE_GRACE_S

    def _publish(self, prefix: str, changes: Iterable[KeyChange]) -> list[Outgoing]:
        batch = []
        for change in changes:
            self._prefix_by_missing_key.pop(change.key, None)
            changed = KvChanged(change.key, change.value, change.revision)
            batch += self._notify(prefix, changed)
        return batch

    # Reading and being told

    def _handle_request(
        self, sender_id: str, request: FeedSubscribe, now: float
    ) -> None:
        if self._can_read(now):
            self._subscribers.add(sender_id, request, self._copy_by_prefix, now)

    def _advance(self, now: float) -> list[Outgoing]:
        """Start or stop reading, and send the updates and requests that are due."""
        self._subscribers.drop_expired(now)
        if not self._is_listed():
            return self._list()
        batch = self._publish_held_removals(now)
        if now < self._settled_at:
            return batch
        batch += self._relist_after_return()
        batch += self._update_reading(now)
        batch += self._update_interruptions(now)
        if self._must_read() and self._is_current(now):
            batch += self._subscription.end()
        else:
            batch += self._subscription.pop_requests(self._revisions(), now)
        if self._has_open_watches():
            batch += self._subscribers.pop_due(
                self._copy_by_prefix.values(), self._reached_at, now
            )
        return batch

    def _list(self) -> list[Outgoing]:
        if self._is_listing:
            return []
        self._is_listing = True
        return [self._to_watches(ListPrefixes())]

    def _update_reading(self, now: float) -> list[Outgoing]:
        if not self._can_read(now):
            return self._stop_reading("unreachable")
        if self._must_read():
            return self._read_for_others(now)
        if self._is_reading and self._subscription.is_steady(now):
            return self._stop_reading("fed")
        if not self._is_reading and now >= self._subscription.lost_at():
            return self._start_reading(self._revisions(), "no_feed")
        return []

    def _relist_after_return(self) -> list[Outgoing]:
        """List all prefixes again if the service has returned from an older copy.

        Only an instance that reads does so at once; the others hear of the changes
        through it, or begin to read when their proof is too old.
        """
        if not self._is_reading or self._is_of_era() or self._relisted_era == self._era:
            return []
        self._relisted_era = self._era
        return self._start_reading({}, "returned")

    def _is_of_era(self) -> bool:
        """Return whether all copies are of the service's present era."""
        return all(
            copy.revision is not None and era_of(copy.revision) >= self._era
            for copy in self._copy_by_prefix.values()
        )

    def _read_for_others(self, now: float) -> list[Outgoing]:
        """Start reading; what others rely on must be known to be recent."""
        if self._is_reading and not self._unconfirmed_prefixes:
            return []
        if now - self._subscription.current_at <= self._times.update_s:
            batch = self._start_reading(self._revisions(), "reader")
            self._unconfirmed_prefixes.clear()
            return batch
        if self._is_reading and not self._is_resumed:
            # The listings are on their way.
            return []
        return self._start_reading({}, "reader")

    def _start_reading(
        self, revision_by_prefix: dict[str, int], reason: str
    ) -> list[Outgoing]:
        """Start or restart the watches; prefixes without a revision are listed."""
        self._is_reading = True
        self._is_resumed = bool(revision_by_prefix)
        self._unconfirmed_prefixes = set(self._copy_by_prefix)
        self._broken_prefixes.clear()
        log_event(logger, logging.INFO, "reading_started", reason=reason)
        return [self._to_watches(StartReading(revision_by_prefix))]

    def _stop_reading(self, reason: str) -> list[Outgoing]:
        if not self._is_reading:
            return []
        self._is_reading = False
        self._broken_prefixes.clear()
        log_event(
            logger,
            logging.INFO,
            "reading_stopped",
            reason=reason,
            feeder=self._subscription.feeder_id,
        )
        return [self._to_watches(StopReading())]

    def _update_interruptions(self, now: float) -> list[Outgoing]:
        """Tell the listeners of a prefix whether an outage keeps its changes away.

        A watch that fails alone is no interruption: what the next listing shows then
        is certain.
        """
        is_fed = self._subscription.is_fresh(now)
        batch: list[Outgoing] = []
        for prefix in self._copy_by_prefix:
            was_interrupted = prefix in self._interrupted_prefixes
            if self._outage.is_down and not is_fed and not was_interrupted:
                self._interrupted_prefixes.add(prefix)
                batch += self._notify(prefix, WatchBroken(prefix, "outage"))
            elif was_interrupted and is_fed:
                self._interrupted_prefixes.discard(prefix)
                batch += self._notify(prefix, WatchListed(prefix))
        return batch

    def _record_reachability(self, reachability: KvReachability, now: float) -> None:
        self._is_answered = reachability.is_reachable
        if reachability.is_reachable:
            self._era = max(self._era, reachability.era)
            self._record_era(reachability.era, now)
            if self._is_of_era():
                self._reached_at = max(self._reached_at, reachability.sent_at)
            self._outage.record_answer()
        else:
            self._outage.record_failure(reachability.sent_at, now)

    def _can_read(self, now: float) -> bool:
        """Return whether the service may answer.

        The renewals of the session show when it answers again.
        """
        return self._is_answered or now - self._reached_at <= self._times.silence_s

    def _must_read(self) -> bool:
        """Return whether others rely on this instance, or there are none."""
        return self._id in self._ranking.reader_ids or len(self._subscribers) > 0

    def _is_listed(self) -> bool:
        return all(copy.revision is not None for copy in self._copy_by_prefix.values())

    def _has_open_watches(self) -> bool:
        is_open = not self._broken_prefixes and not self._unconfirmed_prefixes
        return self._is_reading and is_open

    def _current_at(self) -> float:
        """Return until when this instance knows all changes."""
        fed_at = self._subscription.current_at
        return max(fed_at, self._reached_at) if self._has_open_watches() else fed_at

    def _is_current(self, now: float) -> bool:
        """Return whether the own watches show the recent changes."""
        is_recent = now - self._reached_at <= self._times.silence_s
        return self._has_open_watches() and is_recent

    def _revisions(self) -> dict[str, int]:
        """Return the known revisions of the listed prefixes."""
        return {
            prefix: copy.revision
            for prefix, copy in self._copy_by_prefix.items()
            if copy.revision is not None
        }

    def _notify(self, prefix: str, message: Message) -> list[Outgoing]:
        return [
            Outgoing(Address(self._id, task), message)
            for task in self._listeners_by_prefix[prefix]
        ]

    def _to_watches(self, message: Message) -> Outgoing:
        return Outgoing(Address(self._id, WATCH_TASK), message)


def _is_later_era(revision: int | None, known_revision: int | None) -> bool:
    """Return whether a revision is of a later era than one that was known before."""
    if revision is None or known_revision is None:
        return False
    return era_of(revision) > era_of(known_revision)


def _is_valid_age(age_s: float) -> bool:
    return math.isfinite(age_s) and age_s >= 0
