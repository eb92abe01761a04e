"""The ``leadership`` decision: which gateway gives orders to servers.

The leader holds one key in the platform's store, which is bound to its session. The
revision of the write that took the key is the epoch number of the leadership term, so a
later leader has a higher number. A new leader waits before its first order, unless no
other can have ordered lately (`Succession`).

A store that returns from an older copy may lack the leader's key, or show an earlier
leader's. A term therefore ends with the store's era: the leader takes the key again,
and as it has held it until a moment ago, it need not wait. Revisions contain the era,
so epoch numbers rise across a return. A key from the copy is held by nobody until its
holder has taken it again, in the new era.

A leader that has lost its paths to the servers gives the key up, and does not take it
until it has them again.

The leader may give orders while its session is valid. Where servers check epoch
numbers, it may also continue while the store does not answer: a successor has a higher
number, and the first order refused with FENCED ends the term.
"""

from __future__ import annotations

import logging
from typing import Final

import attrs

from ..core.decision import Decision
from ..core.member import Member, MembershipChanged
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..machines.rendezvous import score
from ..machines.session_validity import SessionValidity
from ..relay.relay_messages import ReachChanged
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
from .leader_record import LeaderRecord, decode_record, encode_record
from .messages import (
    LEADERSHIP_TASK,
    LeaderChanged,
    LeadershipExtended,
    LeadershipFenced,
    LeadershipHeld,
    LeadershipLost,
    LeaderSucceeded,
)
from .succession import Basis, Succession

logger = logging.getLogger(__name__)

LEADER_KEY: Final = owner_key("placement")
# Delay between the attempts of gateways, in the order of their scores, so that most of
# them find the key taken without a call.
ATTEMPT_STEP_S: Final = 0.1
RETRY_INTERVAL_S: Final = 0.5
# While a leader is cut off from the store, a failed renewal is reported at least this
# often.
OUTAGE_SIGNAL_TTL_S: Final = 2.5
# A successor is elected within seconds. An outage that lasts longer probably affects
# the whole store, so a leader may continue up to this time.
MAX_DETACHED_S: Final = 30.0


@attrs.define
class _Term:
    """The leadership term of this instance."""

    epoch: int
    # When the first order may be given.
    from_s: float


@attrs.frozen
class _Attempt:
    """An attempt to take the key."""

    record: LeaderRecord
    sent_at: float
    # The key that it replaces was held by an earlier process on this machine, which
    # was allowed to order.
    follows_predecessor: bool


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
        self._succession = Succession(
            orders=bounds.orders,
            session_silence_s=session_silence_s,
            session_ttl_s=session_ttl_s,
            first_start=first_start,
            started_at=now,
        )
        self._own = own
        self._bounds = bounds
        self._watchers = watchers
        self._session = SessionValidity()
        self._member_ids: tuple[str, ...] = (own.instance_id,)
        self._rank = 0
        # The store's era, as far as it is known.
        self._era = 0
        # The state of the key is unknown until the watch has listed it.
        self._is_key_listed = False
        self._holder: LeaderRecord | None = None
        self._revision = 0
        # Has announced its term; the store has not reported it yet.
        self._successor_id: str | None = None
        self._term: _Term | None = None
        # When the next attempt to take or to delete the key is due.
        self._attempt_at: float | None = None
        self._is_request_pending = False
        self._last_attempt: _Attempt | None = None
        self._next_request = 0
        # The last and the first unanswered store call of the present outage.
        self._last_unanswered_at: float | None = None
        self._first_unanswered_at: float | None = None
        self._is_leaving = False
        # This instance has no path to the servers.
        self._is_cut_off = False
        self._announced_until = now

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a change of the key, the session or the members."""
        match incoming.message:
            case KvChanged(key, value, revision) if key == LEADER_KEY:
                return self._handle_record(value, revision, now)
            case WatchListed():
                self._is_key_listed = True
                if self._holder is None:
                    # A listing shows no holder that has come and gone before it.
                    self._succession.record_gap()
                return self._schedule_attempt(now)
            case SessionRenewed() as renewed:
                batch = self._record_renewal(renewed)
                return batch + self._schedule_attempt(now) + self._extend_term(now)
            case SessionGone():
                self._session.record_end()
                if self._term is not None:
                    # The key has ended with the session.
                    self._holder = None
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
                    # its orders. An attempt to write the key again reads the key.
                    self._successor_id = successor_id
                    self._succession.record_other(successor_id, era_of(epoch))
                    return batch + self._notify_leader()
            case LeadershipFenced(epoch):
                if self._term is not None and self._term.epoch == epoch:
                    return self._end_term("fenced")
            case MembershipChanged(member_by_id):
                self._update_rank(tuple(member_by_id))
            case ReachChanged(is_cut_off):
                return self._update_reach(is_cut_off, now)
            case StopLeading():
                self._is_leaving = True
                return self._give_up("leaving")
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Try to take or to delete the key if an attempt is due."""
        if self._attempt_at is None or now < self._attempt_at:
            return []
        self._attempt_at = None
        if self._must_delete_key():
            return [self._delete_key(self._revision)]
        if not self._may_take() or self._term is not None or self._is_request_pending:
            return []
        if self._session.valid_lease_id(now) is None:
            self._attempt_at = now + RETRY_INTERVAL_S
            return []
        return [self._take_key(now)]

    def _take_key(self, now: float) -> Outgoing:
        """Return the request that writes the key, unless another has changed it."""
        holder = self._holder
        expected = 0 if holder is None else self._revision
        self._is_request_pending = True
        self._next_request += 1
        follows_predecessor = (
            holder is not None
            and holder.is_of_predecessor(self._own)
            and holder.is_current(self._revision)
            and not holder.is_waiting
        )
        basis = self._basis(self._era, now, follows_predecessor)
        own = LeaderRecord(
            self._own.instance_id,
            self._own.incarnation,
            self._era,
            is_waiting=self._succession.wait_s(basis) > 0.0,
        )
        self._last_attempt = _Attempt(own, now, follows_predecessor)
        swap = KvSwap(
            f"leader-{self._next_request}",
            LEADER_KEY,
            expected,
            encode_record(own),
            with_session=True,
        )
        return self._to_store(swap)

    def wake_at(self) -> float | None:
        """Return when the next attempt to take or to delete the key is due."""
        return self._attempt_at

    def status(self, now: float) -> Status:
        """Return the current leader and the epoch of the own term."""
        return {
            "leader": self._leader_id(),
            "epoch": None if self._term is None else self._term.epoch,
        }

    def _handle_record(
        self, value: bytes | None, revision: int, now: float
    ) -> list[Outgoing]:
        if revision < self._revision:
            return []
        self._revision = revision
        self._successor_id = None
        batch = self._enter_era(era_of(revision))
        self._holder = None if value is None else decode_record(value)
        if value is not None and self._holder is None:
            log_event(logger, logging.WARNING, "leader_record_unreadable")
        batch += self._notify_leader()
        if self._must_delete_key():
            # An attempt has succeeded since, or a return has brought the key back.
            return [*batch, *self._end_term("leaving"), self._delete_key(revision)]
        if self._holds_key():
            return batch + self._begin_term(revision, now)
        self._record_other_holder(revision)
        if self._term is not None:
            batch += self._end_term("replaced")
        return batch + self._schedule_attempt(now)

    def _record_other_holder(self, revision: int) -> None:
        holder = self._holder
        if holder is None:
            self._succession.record_end(era_of(revision))
            return
        if holder.instance_id == self._own.instance_id:
            return
        # A key of the copy is no sign of who has led in the present era.
        self._succession.record_other(holder.instance_id, holder.era)
        if not holder.is_current(revision):
            # Others may have led since the copy was made.
            self._succession.record_gap()

    def _holds_key(self) -> bool:
        """Return whether this process has the key, by a write of the present era."""
        holder = self._holder
        return (
            holder is not None
            and holder.is_of(self._own)
            and holder.is_current(self._revision)
        )

    def _may_take(self) -> bool:
        """Return whether this instance may lead and no other has the key.

        An own key without a term is written again: it may be of an earlier era.
        """
        if self._must_not_lead():
            return False
        holder = self._holder
        return holder is None or holder.instance_id == self._own.instance_id

    def _must_not_lead(self) -> bool:
        return self._is_leaving or self._is_cut_off

    def _must_delete_key(self) -> bool:
        """Return whether the key has to be free for another instance."""
        holder = self._holder
        return self._must_not_lead() and holder is not None and holder.is_of(self._own)

    def _enter_era(self, era: int) -> list[Outgoing]:
        """End a term of an earlier era, as the store may have lost the key since."""
        if era <= self._era:
            return []
        self._era = era
        if self._term is None or era_of(self._term.epoch) >= era:
            return []
        batch = self._end_term("store_returned")
        # The key is read by the attempt to take it.
        self._holder = None
        return batch

    def _begin_term(self, epoch: int, now: float) -> list[Outgoing]:
        if self._term is not None and self._term.epoch == epoch:
            return []
        attempt = self._last_attempt
        follows_predecessor = attempt is not None and attempt.follows_predecessor
        basis = self._basis(era_of(epoch), now, follows_predecessor)
        wait_s = self._succession.wait_s(basis)
        if wait_s > 0.0 and self._holder is not None and not self._holder.is_waiting:
            # The wait has become necessary since the key was written.
            return self._schedule_attempt(now)
        last_holder_id = self._succession.last_holder_id
        self._term = _Term(epoch, now + wait_s)
        log_event(
            logger,
            logging.INFO,
            "leader_began",
            epoch=epoch,
            orders_after_s=wait_s,
            basis=basis,
            last_holder=last_holder_id,
        )
        batch = self._notify(LeadershipHeld(epoch, now + wait_s))
        if last_holder_id is not None:
            # The last holder may be cut off from the store only and still give orders.
            last_holder = Address(last_holder_id, LEADERSHIP_TASK)
            batch.append(Outgoing(last_holder, LeaderSucceeded(epoch)))
        if attempt is not None and wait_s == 0.0:
            self._succession.record_held(epoch, attempt.sent_at)
        return batch + self._extend_term(now)

    def _basis(self, era: int, now: float, follows_predecessor: bool) -> Basis:
        return self._succession.basis(
            era, self._member_ids, now, follows_predecessor=follows_predecessor
        )

    def _record_renewal(self, renewed: SessionRenewed) -> list[Outgoing]:
        self._session.record_renewal(renewed)
        batch = self._enter_era(renewed.era)
        # The key lasts as long as the session.
        if self._term is not None and renewed.sent_at >= self._term.from_s:
            self._succession.record_held(self._term.epoch, renewed.sent_at)
        return batch

    def _end_term(self, reason: str, successor_id: str = "") -> list[Outgoing]:
        if self._term is None:
            return []
        log_event(
            logger, logging.INFO, "leader_ended", epoch=self._term.epoch, reason=reason
        )
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
            ended = self._enter_era(reachable.era)
            return ended + self._schedule_attempt(now) if ended else []
        self._last_unanswered_at = now
        if self._first_unanswered_at is None:
            self._first_unanswered_at = now
        return self._extend_term(now)

    def _handle_reply(self, reply: KvReply, now: float) -> list[Outgoing]:
        match reply:
            case KvSwapped(_, key, revision) if key == LEADER_KEY:
                assert self._last_attempt is not None
                record = encode_record(self._last_attempt.record)
                return self._handle_record(record, revision, now)
            case KvConflict(_, key, None, _) if key == LEADER_KEY:
                # The key has ended, which the watch has not reported yet.
                self._holder = None
                self._succession.record_gap()
                self._attempt_at = now + ATTEMPT_STEP_S
            case KvConflict(_, key, value, revision) if key == LEADER_KEY:
                return self._handle_record(value, revision, now)
            case KvAnswerLost() | KvUnavailable():
                # If the call took effect, the watch reports it.
                self._attempt_at = now + RETRY_INTERVAL_S
        return []

    def _schedule_attempt(self, now: float) -> list[Outgoing]:
        """Schedule an attempt to take the key if it is free."""
        if not self._is_key_listed or not self._may_take():
            return []
        if self._term is not None or self._is_request_pending:
            return []
        is_first = self._holder is not None or self._succession.was_held_lately(now)
        due = now + (0 if is_first else self._rank) * ATTEMPT_STEP_S
        if self._attempt_at is None or is_first:
            self._attempt_at = due
        return []

    def _update_rank(self, member_ids: tuple[str, ...]) -> None:
        self._member_ids = member_ids
        ranked = sorted(member_ids, key=lambda name: score(LEADER_KEY, name))
        own = self._own.instance_id
        self._rank = ranked.index(own) if own in ranked else len(ranked)

    def _update_reach(self, is_cut_off: bool, now: float) -> list[Outgoing]:
        self._is_cut_off = is_cut_off
        if is_cut_off:
            return self._give_up("cut_off")
        return self._schedule_attempt(now)

    def _give_up(self, reason: str) -> list[Outgoing]:
        """Delete the key, so that a successor need not wait for the session to end."""
        if self._term is None:
            return []
        epoch = self._term.epoch
        batch = self._end_term(reason)
        return [*batch, self._delete_key(epoch)]

    def _delete_key(self, revision: int) -> Outgoing:
        return self._to_store(KvDelete("leader-end", LEADER_KEY, revision))

    def _notify_leader(self) -> list[Outgoing]:
        return self._notify(LeaderChanged(self._leader_id()))

    def _leader_id(self) -> str | None:
        if self._successor_id is not None:
            return self._successor_id
        return None if self._holder is None else self._holder.instance_id

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
