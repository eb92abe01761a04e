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
from ..store.revision import era_of, make_revision
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
from .store_outage import OUTAGE_SIGNAL_TTL_S, StoreOutage
from .succession import Succession

logger = logging.getLogger(__name__)

LEADER_KEY: Final = owner_key("placement")
# Delay between the attempts of gateways, in the order of their scores, so that most of
# them find the key taken without a call.
ATTEMPT_STEP_S: Final = 0.1
RETRY_INTERVAL_S: Final = 0.5


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
    # The record that it replaces, if an earlier process on this machine held the key.
    predecessor: LeaderRecord | None


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
        # Epoch number of the last own term that has ended; the write that began it may
        # be reported later.
        self._ended_epoch = 0
        # When the next attempt to take the key is due.
        self._attempt_at: float | None = None
        self._is_request_pending = False
        self._last_attempt: _Attempt | None = None
        self._next_request = 0
        self._outage = StoreOutage()
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
                    self._succession.record_other(
                        successor_id, epoch, self._member_ids, now
                    )
                    return batch + self._notify_leader()
            case LeadershipFenced(epoch):
                if self._term is not None and self._term.epoch == epoch:
                    self._succession.record_fenced()
                    return self._end_term("fenced")
            case MembershipChanged(member_by_id):
                self._update_rank(tuple(member_by_id))
            case ReachChanged(is_cut_off):
                return self._update_reach(is_cut_off, now)
            case StopLeading():
                self._is_leaving = True
                return self._give_up("leaving", now)
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Try to take the key if an attempt is due."""
        if self._attempt_at is None or now < self._attempt_at:
            return []
        self._attempt_at = None
        if self._must_give_up:
            return self._delete_left_key()
        is_free = self._may_take() and self._term is None
        if not is_free or self._is_request_pending:
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
        predecessor = self._current_predecessor()
        own = LeaderRecord(
            self._own.instance_id,
            self._own.incarnation,
            self._era,
            self._orders_from_s(predecessor, now),
            now,
        )
        self._last_attempt = _Attempt(own, now, predecessor)
        swap = KvSwap(
            f"leader-{self._next_request}",
            LEADER_KEY,
            expected,
            encode_record(own),
            with_session=True,
        )
        return self._to_store(swap)

    def _current_predecessor(self) -> LeaderRecord | None:
        """Return the record of an earlier process on this machine that has the key."""
        holder = self._holder
        if holder is None or not holder.is_of_predecessor(self._own):
            return None
        return holder if holder.is_current(self._revision) else None

    def _orders_from_s(self, predecessor: LeaderRecord | None, now: float) -> float:
        """Return when the orders of others are old enough if the key is taken."""
        if predecessor is not None:
            return now + self._succession.remaining_s(predecessor, now)
        epoch = make_revision(self._era, 0)
        basis = self._succession.basis(
            epoch, self._member_ids, now, follows_predecessor=False
        )
        return now + self._succession.longest_wait_s(basis, now)

    def wake_at(self) -> float | None:
        """Return when the next attempt is due."""
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
        if self._holds_key():
            if self._must_give_up:
                # The store has returned from a copy that has the key once more, or has
                # executed an unanswered write.
                return [*batch, self._delete_key(revision)]
            return batch + self._begin_term(revision, now)
        self._record_other_holder(revision, now)
        if self._term is not None:
            batch += self._end_term("replaced")
        return batch + self._schedule_attempt(now)

    def _record_other_holder(self, revision: int, now: float) -> None:
        holder = self._holder
        if holder is None:
            self._succession.record_end(era_of(revision))
            return
        if holder.instance_id == self._own.instance_id:
            return
        if holder.is_current(revision):
            self._succession.record_other(
                holder.instance_id, revision, self._member_ids, now
            )
        else:
            self._succession.record_copied(holder.instance_id, holder.era)

    @property
    def _must_give_up(self) -> bool:
        """Whether this process must not have the key."""
        return self._is_leaving or self._is_cut_off

    def _holds_key(self) -> bool:
        """Return whether this process has the key, and its term has not ended.

        If it must give the key up, one that a return has brought back counts, too.
        """
        holder = self._holder
        if holder is None or not holder.is_of(self._own):
            return False
        return self._must_give_up or self._is_valid_key(holder)

    def _is_valid_key(self, holder: LeaderRecord) -> bool:
        """Return whether the own key is of the present era and of no ended term."""
        is_current = holder.is_current(self._revision)
        return is_current and self._revision > self._ended_epoch

    def _may_take(self) -> bool:
        """Return whether no other machine has the key, and this one must take it."""
        holder = self._holder
        if self._is_cut_off:
            return False
        if holder is None or holder.is_of_predecessor(self._own):
            return True
        return holder.is_of(self._own) and not self._is_valid_key(holder)

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
        predecessor = None if attempt is None else attempt.predecessor
        basis = self._succession.basis(
            epoch,
            self._member_ids,
            now,
            follows_predecessor=predecessor is not None,
        )
        if predecessor is not None:
            wait_s = self._succession.remaining_s(predecessor, now)
        else:
            wait_s = self._succession.wait_from_s(basis, now)
        if predecessor is None and self._hides_wait(wait_s, now):
            # The next process on this machine reads the wait from the record, which is
            # therefore written again first.
            self._ended_epoch = epoch
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

    def _hides_wait(self, wait_s: float, now: float) -> bool:
        """Return whether the own record states an earlier first order than is due.

        The wait may have become necessary since the write.
        """
        attempt = self._last_attempt
        if attempt is None or wait_s == 0.0:
            return False
        return attempt.record.orders_from_s < now + wait_s

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
        self._ended_epoch = self._term.epoch
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
        is_checked = self._bounds.orders.epochs_checked
        return is_checked and self._outage.allows_detached_term(now)

    def _record_reachability(
        self, reachable: KvReachability, now: float
    ) -> list[Outgoing]:
        if reachable.is_reachable:
            self._outage.record_answer()
            ended = self._enter_era(reachable.era)
            return ended + self._schedule_attempt(now) if ended else []
        self._outage.record_failure(now)
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
                # If the write took effect, the watch reports the record.
                self._attempt_at = now + RETRY_INTERVAL_S
        return []

    def _schedule_attempt(self, now: float) -> list[Outgoing]:
        """Schedule an attempt to take the key if it is free."""
        if not self._is_key_listed or not self._may_take() or self._is_leaving:
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
            return self._give_up("cut_off", now)
        return self._schedule_attempt(now)

    def _give_up(self, reason: str, now: float) -> list[Outgoing]:
        """Delete the key, so that a successor need not wait for the session to end.

        On the first start it stays until nobody believes any more that there has been
        no leader.
        """
        if self._term is None:
            return []
        epoch = self._term.epoch
        batch = self._end_term(reason)
        is_over_at = self._succession.first_start_over_at
        if now < is_over_at:
            self._attempt_at = is_over_at
            return batch
        return [*batch, self._delete_key(epoch)]

    def _delete_left_key(self) -> list[Outgoing]:
        """Delete the key again if the store has not executed the first request."""
        if self._holder is None or not self._holder.is_of(self._own):
            return []
        return [self._delete_key(self._revision)]

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
