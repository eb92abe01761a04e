"""The ``leadership`` decision: which gateway gives orders to servers.

The leader holds one key in the store that lives with its session. The revision of the
write that took the key is its epoch number, so a later leader's number is higher. A new
leader waits for the time that the platform asks for between the orders of two holders,
unless it was the last holder itself or nobody was before it.

The leader may order while its session is valid. Where servers check epoch numbers, it
may also go on while the store does not answer it: a successor has a higher number, and
the first refusal with FENCED ends the leadership.
"""

from __future__ import annotations

import logging
from typing import Final

import attrs
import msgspec

from ..core.decision import Decision
from ..core.malformed import MALFORMED_ERRORS
from ..core.message import Address, Incoming, Message, Outgoing
from ..core.status import Status
from ..machines.messages import Member, MembershipChanged
from ..machines.rendezvous import score
from ..machines.session_validity import SessionValidity
from ..store.keys import owner_key
from ..store.kv import (
    KvChanged,
    KvConflict,
    KvDelete,
    KvLost,
    KvReply,
    KvSwap,
    KvSwapped,
    KvUnavailable,
    WatchListed,
)
from ..store.kv_events import KvReachable, SessionGone, SessionRenewed
from ..store.kv_task import KV_TASK
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
# Between the attempts of two gateways, in the order of their scores, so that most
# find the key taken without a call.
ATTEMPT_STEP_S: Final = 0.1
RETRY_INTERVAL_S: Final = 0.5
# Covers the way of the last holder's last order.
WAIT_MARGIN_S: Final = 0.1
# A leader cut off from the store hears about its failed renewals this often at least.
OUTAGE_SIGNAL_TTL_S: Final = 2.5
# A successor comes into office within seconds; beyond this an outage of the whole store
# is likely, and a leader may go on for longer.
MAX_DETACHED_S: Final = 30.0


@attrs.frozen
class _LeaderRecord:
    """Value of the leader's key."""

    instance_id: str
    incarnation: str


class _Record(msgspec.Struct):
    instance_id: str
    incarnation: str


@attrs.define
class _Term:
    """The own time in office."""

    epoch: int
    from_s: float


class Leadership(Decision):
    """Takes and keeps the leader's key."""

    def __init__(
        self,
        own: Member,
        bounds: Bounds,
        watchers: tuple[str, ...],
        now: float,
        session_silence_s: float = 0.0,
    ) -> None:
        """Take the own member and the tasks that hear of leaders.

        A session ends at the earliest ``session_silence_s`` after its holder's last
        renewal, and with it the leader's key.
        """
        self._session_silence_s = session_silence_s
        self._own = own
        self._bounds = bounds
        self._watchers = watchers
        self._session = SessionValidity()
        self._rank = 0
        # Nothing is known of the key before the first listing.
        self._is_key_listed = False
        self._holder: _LeaderRecord | None = None
        self._revision = 0
        self._last_holder_id: str | None = None
        self._term: _Term | None = None
        # The own record was seen in the key, without the answer to the write.
        self._attempt_at: float | None = None
        self._is_request_pending = False
        self._next_request = 0
        # When the store last failed to answer, and since when it has.
        self._last_unanswered_at: float | None = None
        self._first_unanswered_at: float | None = None
        self._is_leaving = False
        self._announced_until = now

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Take in news of the key, the session or the members."""
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
            case KvReachable() as reachable:
                return self._record_reachability(reachable, now)
            case KvReply() as reply:
                self._is_request_pending = False
                return self._handle_reply(reply, now)
            case LeaderSucceeded(epoch):
                if self._term is not None and self._term.epoch < epoch:
                    successor_id = incoming.sender.instance_id
                    batch = self._end_term("succeeded", successor_id)
                    # The store did not tell. Requests here ask the successor, and a
                    # later term waits for its orders.
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
        """Try to take the key."""
        if self._attempt_at is None or now < self._attempt_at:
            return []
        self._attempt_at = None
        expected = 0 if self._holder is None else self._revision
        may_take = self._holder is None or self._is_predecessor(self._holder)
        if not may_take or self._is_request_pending or self._is_leaving:
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
        """Return who leads."""
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
        self._revision = revision
        if self._holder is not None:
            self._last_holder_id = self._holder.instance_id
        self._holder = None if value is None else _decode(value)
        if value is not None and self._holder is None:
            log_event(logger, logging.WARNING, "leader_record_unreadable")
        batch = self._notify_leader()
        if self._holder is not None and self._is_own(self._holder):
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

        It has ended, since a machine runs one process, so nobody has to wait for it.
        """
        return record.instance_id == self._own.instance_id and not self._is_own(record)

    def _begin_term(self, epoch: int, now: float) -> list[Outgoing]:
        if self._term is not None and self._term.epoch == epoch:
            return []
        wait_s = 0.0
        if self._last_holder_id not in (None, self._own.instance_id):
            wait_s = self._successor_wait_s()
        self._term = _Term(epoch, now + wait_s)
        log_event(
            logger, logging.INFO, "leader_began", epoch=epoch, orders_after_s=wait_s
        )
        batch = self._notify(LeadershipHeld(epoch, now + wait_s))
        if self._last_holder_id not in (None, self._own.instance_id):
            # It may be cut off from the store only, and go on with its orders.
            last_holder = Address(self._last_holder_id, LEADERSHIP_TASK)
            batch.append(Outgoing(last_holder, LeaderSucceeded(epoch)))
        return batch + self._extend_term(now)

    def _successor_wait_s(self) -> float:
        """Return how long the orders of the last holder may still be recent.

        A holder that died gave its last order before its session began to run out. One
        that is only cut off from the store may order for longer, but it is out of
        touch, and servers that check epoch numbers refuse it from the first order of
        its successor on.
        """
        lease_s = self._bounds.holder_lease_s
        if not self._bounds.servers_check_epochs:
            return lease_s
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
        """Tell until when orders may be given, if that has changed."""
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
        if not self._bounds.servers_check_epochs or self._last_unanswered_at is None:
            return False
        since = self._first_unanswered_at
        return (
            now - self._last_unanswered_at < OUTAGE_SIGNAL_TTL_S
            and since is not None
            and now - since < MAX_DETACHED_S
        )

    def _record_reachability(
        self, reachable: KvReachable, now: float
    ) -> list[Outgoing]:
        if reachable.ok:
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
            case KvLost() | KvUnavailable():
                # If the write took effect, the watch shows the record.
                self._attempt_at = now + RETRY_INTERVAL_S
        return []

    def _schedule_attempt(self, now: float) -> list[Outgoing]:
        """Decide when to try to take a free key."""
        holder = self._holder
        free = holder is None or self._is_predecessor(holder)
        wants = self._is_key_listed and free and not self._is_leaving
        if wants and self._attempt_at is None and not self._is_request_pending:
            steps = 0 if holder is not None else self._rank
            self._attempt_at = now + steps * ATTEMPT_STEP_S
        return []

    def _update_rank(self, member_ids: tuple[str, ...]) -> None:
        ranked = sorted(member_ids, key=lambda name: score(LEADER_KEY, name))
        own = self._own.instance_id
        self._rank = ranked.index(own) if own in ranked else len(ranked)

    def _stop_leading(self) -> list[Outgoing]:
        """Give the key back, so that a successor need not wait for the session."""
        self._is_leaving = True
        if self._term is None:
            return []
        epoch = self._term.epoch
        batch = self._end_term("leaving")
        return [*batch, self._to_store(KvDelete("leader-end", LEADER_KEY, epoch))]

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
    """The process stops; another gateway may lead."""


def _decode(value: bytes) -> _LeaderRecord | None:
    try:
        record = msgspec.json.decode(value, type=_Record)
    except MALFORMED_ERRORS:
        return None
    return _LeaderRecord(record.instance_id, record.incarnation)
