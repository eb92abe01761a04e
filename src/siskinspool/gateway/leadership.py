"""The ``leadership`` decision: which gateway gives orders to servers.

The leader holds one key in the platform's store, which is bound to its session. The
revision of the write that took the key is the epoch number of the leadership term, so a
later leader has a higher number. A new leader waits for the time that the platform
requires between the orders of two holders, unless it was the last holder itself or
there was no holder before. An instance that starts after the first start of the system
may not have seen the last holder, whose key has ended already.

A store that returns from an older copy may lack the leader's key while its holder still
gives orders. A successor then waits until that holder's session has certainly ended.
Revisions contain the store's era, so epoch numbers rise across a return.

The leader may give orders while its session is valid. Where servers check epoch
numbers, it may also continue while the store does not answer: a successor has a higher
number, and the first order refused with FENCED ends the term.
"""

from __future__ import annotations

import logging
from typing import Final

import attrs
import msgspec

from ..core.decision import Decision
from ..core.malformed import MALFORMED_ERRORS
from ..core.member import Member, MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..machines.rendezvous import score
from ..machines.session_validity import SessionValidity
from ..store.keys import owner_key
from ..store.kv import (
    KvAnswerLost,
    KvChanged,
    KvConflict,
    KvDelete,
    KvReply,
    KvSwap,
    KvSwapped,
    KvUnavailable,
    WatchListed,
)
from ..store.kv_events import KvReachability, SessionGone, SessionRenewed
from ..store.kv_task import KV_TASK
from ..store.revision import era_of
from ..telemetry.logs import log_event
from .bounds import Bounds
from .messages import (
    LEADERSHIP_TASK,
    LeaderChanged,
    LeadershipExtended,
    LeadershipFenced,
    LeadershipHeld,
    LeadershipLost,
    LeaderSucceeded,
)

logger = logging.getLogger(__name__)

LEADER_KEY: Final = owner_key("placement")
# Delay between the attempts of gateways, in the order of their scores, so that most of
# them find the key taken without a call.
ATTEMPT_STEP_S: Final = 0.1
RETRY_INTERVAL_S: Final = 0.5
# Allows for the network delay of the last holder's last order.
WAIT_MARGIN_S: Final = 0.1
# While a leader is cut off from the store, a failed renewal is reported at least this
# often.
OUTAGE_SIGNAL_TTL_S: Final = 2.5
# A successor is elected within seconds. An outage that lasts longer probably affects
# the whole store, so a leader may continue up to this time.
MAX_DETACHED_S: Final = 30.0


@attrs.frozen
class _LeaderRecord:
    """The decoded value of the leader's key."""

    instance_id: str
    incarnation: str


class _Record(msgspec.Struct):
    instance_id: str
    incarnation: str


@attrs.define
class _Term:
    """The leadership term of this instance."""

    epoch: int
    from_s: float


class Leadership(Decision):
    """Acquires and keeps the leader's key."""

    def __init__(
        self,
        own: Member,
        bounds: Bounds,
        watchers: tuple[str, ...],
        now: float,
        session_silence_s: float = 0.0,
        session_ttl_s: float = 0.0,
        *,
        first_start: bool,
    ) -> None:
        """Create the decision for a member; ``watchers`` are the tasks to notify.

        On the system's first start there was no holder before.
        A session ends between ``session_silence_s`` and ``session_ttl_s`` after its
        holder's last renewal, and the leader's key ends with it.
        """
        self._session_ttl_s = session_ttl_s
        self._session_silence_s = session_silence_s
        self._first_start = first_start
        self._own = own
        self._bounds = bounds
        self._watchers = watchers
        self._session = SessionValidity()
        self._rank = 0
        # The state of the key is unknown until the watch has listed it.
        self._is_key_listed = False
        self._holder: _LeaderRecord | None = None
        self._revision = 0
        self._last_holder_id: str | None = None
        # The revision at which the last holder's key was seen.
        self._last_held_revision = 0
        self._term: _Term | None = None
        # When the next attempt to take the key is due.
        self._attempt_at: float | None = None
        self._is_request_pending = False
        self._next_request = 0
        # The last and the first unanswered store call of the present outage.
        self._last_unanswered_at: float | None = None
        self._first_unanswered_at: float | None = None
        self._is_leaving = False
        self._announced_until = now

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a change of the key, the session or the members."""
        match incoming.message:
            case KvChanged(key, value, revision) if key == LEADER_KEY:
                return self._handle_record(value, revision, now)
            case WatchListed():
                self._is_key_listed = True
                return self._schedule_attempt(now)
            case SessionRenewed() as renewed:
                self._session.record_renewal(renewed)
                return self._schedule_attempt(now) + self._extend_term(now)
            case SessionGone():
                self._session.record_end()
                return self._end_term("session_gone")
            case KvReachability() as reachable:
                return self._record_reachability(reachable, now)
            case KvReply() as reply:
                self._is_request_pending = False
                return self._handle_reply(reply, now)
            case LeaderSucceeded(epoch):
                if self._term is not None and self._term.epoch < epoch:
                    successor_id = incoming.sender.instance_id
                    batch = self._end_term("succeeded", successor_id)
                    # The store has not reported the successor. Requests of this
                    # instance are sent to it from now on, and a later term waits for
                    # its orders.
                    self._holder = _LeaderRecord(successor_id, "")
                    return batch + self._notify_leader()
            case LeadershipFenced(epoch):
                if self._term is not None and self._term.epoch == epoch:
                    return self._end_term("fenced")
            case MembershipChanged(member_by_id):
                self._update_rank(tuple(member_by_id))
            case StopLeading():
                return self._stop_leading()
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Try to take the key if an attempt is due."""
        if self._attempt_at is None or now < self._attempt_at:
            return []
        self._attempt_at = None
        expected = 0 if self._holder is None else self._revision
        can_take = self._holder is None or self._is_predecessor(self._holder)
        if not can_take or self._is_request_pending or self._is_leaving:
            return []
        if self._session.valid_lease_id(now) is None:
            self._attempt_at = now + RETRY_INTERVAL_S
            return []
        self._is_request_pending = True
        self._next_request += 1
        record = _Record(self._own.instance_id, self._own.incarnation)
        swap = KvSwap(
            f"leader-{self._next_request}",
            LEADER_KEY,
            expected,
            msgspec.json.encode(record),
            with_session=True,
        )
        return [self._to_store(swap)]

    def wake_at(self) -> float | None:
        """Return when the next attempt is due."""
        return self._attempt_at

    def status(self, now: float) -> Status:
        """Return the current leader and the epoch of the own term."""
        holder = self._holder
        return {
            "leader": None if holder is None else holder.instance_id,
            "epoch": None if self._term is None else self._term.epoch,
        }

    def _handle_record(
        self, value: bytes | None, revision: int, now: float
    ) -> list[Outgoing]:
        if revision < self._revision:
            return []
        known_revision, self._revision = self._revision, revision
        if self._holder is not None:
            self._last_holder_id = self._holder.instance_id
            self._last_held_revision = known_revision
        self._holder = None if value is None else _decode(value)
        if value is not None and self._holder is None:
            log_event(logger, logging.WARNING, "leader_record_unreadable")
        batch = self._notify_leader()
        if self._holder is not None and self._is_own(self._holder):
            if self._is_leaving:
                # The store has returned from a copy that has the key once more.
                return [*batch, self._delete_key(revision)]
            return batch + self._begin_term(revision, now)
        if self._term is not None:
            batch += self._end_term("replaced")
        return batch + self._schedule_attempt(now)

    def _is_own(self, record: _LeaderRecord) -> bool:
        return (record.instance_id, record.incarnation) == (
            self._own.instance_id,
            self._own.incarnation,
        )

    def _is_predecessor(self, record: _LeaderRecord) -> bool:
        """Return whether an earlier process on this machine holds the key.

        A machine runs one process at a time, so that process has ended and there is no
        need to wait for its session.
        """
        return record.instance_id == self._own.instance_id and not self._is_own(record)

    def _begin_term(self, epoch: int, now: float) -> list[Outgoing]:
        if self._term is not None and self._term.epoch == epoch:
            return []
        wait_s = self._successor_wait_s(epoch) if self._follows_another() else 0.0
        self._term = _Term(epoch, now + wait_s)
        log_event(
            logger, logging.INFO, "leader_began", epoch=epoch, orders_after_s=wait_s
        )
        batch = self._notify(LeadershipHeld(epoch, now + wait_s))
        if self._last_holder_id not in (None, self._own.instance_id):
            # The last holder may be cut off from the store only and still give orders.
            last_holder = Address(self._last_holder_id, LEADERSHIP_TASK)
            batch.append(Outgoing(last_holder, LeaderSucceeded(epoch)))
        return batch + self._extend_term(now)

    def _follows_another(self) -> bool:
        """Return whether another instance may have been the last holder."""
        if self._last_holder_id is None:
            return not self._first_start
        return self._last_holder_id != self._own.instance_id

    def _successor_wait_s(self, epoch: int) -> float:
        """Return how long the last holder's orders may still be recent.

        A holder that died gave its last order before its session began to run out. A
        holder that is cut off from the store may give orders for longer, but servers
        that check epoch numbers refuse them after the first order of its successor.

        A return of the store may have removed the key of a holder that does not know it
        yet, so its session may still last for its whole time.
        """
        lease_s = self._bounds.orders.lease_s
        last_revision = self._last_held_revision
        is_after_return = last_revision > 0 and era_of(last_revision) < era_of(epoch)
        if not self._bounds.orders.epochs_checked:
            return lease_s + (self._session_ttl_s if is_after_return else 0.0)
        if is_after_return:
            return lease_s + WAIT_MARGIN_S
        return max(lease_s - self._session_silence_s, 0.0) + WAIT_MARGIN_S

    def _end_term(self, reason: str, successor_id: str = "") -> list[Outgoing]:
        if self._term is None:
            return []
        log_event(
            logger, logging.INFO, "leader_ended", epoch=self._term.epoch, reason=reason
        )
        self._last_holder_id = self._own.instance_id
        self._term = None
        return self._notify(LeadershipLost(successor_id))

    def _extend_term(self, now: float) -> list[Outgoing]:
        """Notify the tasks if the time until which orders may be given has changed."""
        if self._term is None:
            return []
        until = self._session.valid_until()
        if until is None:
            return []
        detached = until < now + OUTAGE_SIGNAL_TTL_S and self._can_continue_detached(
            now
        )
        if detached:
            until = now + OUTAGE_SIGNAL_TTL_S
        if until <= self._announced_until:
            return []
        self._announced_until = until
        return self._notify(LeadershipExtended(until, detached))

    def _can_continue_detached(self, now: float) -> bool:
        if not self._bounds.orders.epochs_checked or self._last_unanswered_at is None:
            return False
        since = self._first_unanswered_at
        return (
            now - self._last_unanswered_at < OUTAGE_SIGNAL_TTL_S
            and since is not None
            and now - since < MAX_DETACHED_S
        )

    def _record_reachability(
        self, reachable: KvReachability, now: float
    ) -> list[Outgoing]:
        if reachable.is_reachable:
            self._last_unanswered_at = self._first_unanswered_at = None
            return []
        self._last_unanswered_at = now
        if self._first_unanswered_at is None:
            self._first_unanswered_at = now
        return self._extend_term(now)

    def _handle_reply(self, reply: KvReply, now: float) -> list[Outgoing]:
        match reply:
            case KvSwapped(_, key, revision) if key == LEADER_KEY:
                return self._handle_record(
                    msgspec.json.encode(
                        _Record(self._own.instance_id, self._own.incarnation)
                    ),
                    revision,
                    now,
                )
            case KvConflict(_, key, value, revision) if key == LEADER_KEY:
                return self._handle_record(value, revision, now)
            case KvAnswerLost() | KvUnavailable():
                # If the write took effect, the watch reports the record.
                self._attempt_at = now + RETRY_INTERVAL_S
        return []

    def _schedule_attempt(self, now: float) -> list[Outgoing]:
        """Schedule an attempt to take the key if it is free."""
        holder = self._holder
        is_free = holder is None or self._is_predecessor(holder)
        should_attempt = self._is_key_listed and is_free and not self._is_leaving
        if should_attempt and self._attempt_at is None and not self._is_request_pending:
            delay_steps = 0 if holder is not None else self._rank
            self._attempt_at = now + delay_steps * ATTEMPT_STEP_S
        return []

    def _update_rank(self, member_ids: tuple[str, ...]) -> None:
        ranked = sorted(member_ids, key=lambda name: score(LEADER_KEY, name))
        own = self._own.instance_id
        self._rank = ranked.index(own) if own in ranked else len(ranked)

    def _stop_leading(self) -> list[Outgoing]:
        """Delete the key, so that a successor need not wait for the session to end."""
        self._is_leaving = True
        if self._term is None:
            return []
        epoch = self._term.epoch
        batch = self._end_term("leaving")
        return [*batch, self._delete_key(epoch)]

    def _delete_key(self, revision: int) -> Outgoing:
        return self._to_store(KvDelete("leader-end", LEADER_KEY, revision))

    def _notify_leader(self) -> list[Outgoing]:
        holder = self._holder
        return self._notify(
            LeaderChanged(None if holder is None else holder.instance_id)
        )

    def _notify(self, message: Message) -> list[Outgoing]:
        return [
            Outgoing(Address(self._own.instance_id, task), message)
            for task in self._watchers
        ]

    def _to_store(self, message: Message) -> Outgoing:
        return Outgoing(Address(self._own.instance_id, KV_TASK), message)


@attrs.frozen
class StopLeading(Message):
    """The process is stopping; another gateway may lead."""


def _decode(value: bytes) -> _LeaderRecord | None:
    try:
        record = msgspec.json.decode(value, type=_Record)
    except MALFORMED_ERRORS:
        return None
    return _LeaderRecord(record.instance_id, record.incarnation)
