"""Leadership: one gateway gives orders, and later leaders have higher epoch numbers."""

from __future__ import annotations

import pytest

from siskinspool.core.message import Message
from siskinspool.gateway.bounds import OrderBounds
from siskinspool.gateway.leader_record import (
    LeaderRecord,
    decode_record,
    encode_record,
)
from siskinspool.gateway.leadership import (
    LEADER_KEY,
    Leadership,
    StopLeading,
)
from siskinspool.gateway.messages import (
    LeaderChanged,
    LeadershipExtended,
    LeadershipFenced,
    LeadershipHeld,
    LeadershipLost,
    LeaderSucceeded,
)
from siskinspool.gateway.store_outage import OUTAGE_SIGNAL_TTL_S
from siskinspool.gateway.succession import FIRST_START_S, FIRST_START_SPREAD_S
from siskinspool.relay.relay_messages import ReachChanged
from siskinspool.store.kv import (
    KvAnswerLost,
    KvChanged,
    KvConflict,
    KvDelete,
    KvSwap,
    KvSwapped,
    KvUnavailable,
    WatchListed,
)
from siskinspool.store.kv_events import KvReachability, SessionGone, SessionRenewed
from siskinspool.store.revision import era_of, make_revision

from .builders_gateway import bounds, incoming, member, membership, messages

TTL_S = 2.5
SILENCE_S = 1.8


class Candidate:
    """A leadership decision; the test plays the platform's store."""

    def __init__(
        self,
        name: str = "g1",
        incarnation: str = "1",
        *,
        first_start: bool = True,
        **changes: object,
    ):
        self.now = 10.0
        self.own = member(name, incarnation)
        self.decision = Leadership(
            self.own,
            bounds(**changes),
            ("watcher",),
            self.now,
            session_silence_s=SILENCE_S,
            session_ttl_s=TTL_S,
            first_start=first_start,
        )
        self.send(membership(name))

    def send(self, message: Message) -> list[Message]:
        return messages(self.decision.handle(incoming(message), self.now))

    def renew(self, era: int = 0) -> list[Message]:
        renewed = SessionRenewed(self.own.incarnation, 7, self.now, TTL_S, era)
        return self.send(renewed)

    def attempt(self) -> KvSwap:
        """Let the decision try to take the key."""
        due = self.decision.wake_at()
        assert due is not None
        self.now = max(self.now, due)
        found = messages(self.decision.on_time(self.now))
        assert len(found) == 1
        assert isinstance(found[0], KvSwap)
        return found[0]

    def take(self, revision: int) -> LeadershipHeld:
        """Take the key, which is free or an earlier process's; return the new term."""
        swap = self.attempt()
        return held(self.send(KvSwapped(swap.request_id, LEADER_KEY, revision)))

    def lead(self, revision: int = 5) -> None:
        """Take the key, and lead until the first start is over."""
        self.elect(revision)
        self.now += FIRST_START_S + FIRST_START_SPREAD_S
        self.renew(era_of(revision))

    def elect(self, revision: int = 5) -> list[Message]:
        """Take the key."""
        self.renew(era_of(revision))
        self.send(WatchListed("shared"))
        swap = self.attempt()
        return self.send(KvSwapped(swap.request_id, LEADER_KEY, revision))


def record(name: str, incarnation: str = "1", era: int = 0) -> bytes:
    return encode_record(LeaderRecord(name, f"{name}-{incarnation}", era))


def orders_from_s(swap: KvSwap) -> float:
    """Return from when on its writer may order, as a record states."""
    written = decode_record(swap.value)
    assert written is not None
    return written.orders_from_s


def held(found: list[Message]) -> LeadershipHeld:
    return next(one for one in found if isinstance(one, LeadershipHeld))


def test_first_leader_need_not_wait() -> None:
    """Guards against a start without loads."""
    candidate = Candidate()
    found = candidate.elect(revision=5)
    assert LeaderChanged("g1") in found
    assert held(found) == LeadershipHeld(5, candidate.now)


def test_started_leader_waits_for_a_holder_that_it_has_not_seen() -> None:
    """Guards against orders of two holders within the bound after a kill of all.

    The key of the last leader had ended when the others were back.
    """
    orders = OrderBounds(lease_s=3.0, epochs_checked=False)
    candidate = Candidate(first_start=False, orders=orders)
    found = candidate.elect(revision=5)
    assert held(found) == LeadershipHeld(5, candidate.now + 3.0)


def test_no_attempt_without_a_session_or_a_listing() -> None:
    """Guards against a key without a session, and one that is taken unlisted."""
    candidate = Candidate()
    candidate.renew()
    assert candidate.decision.wake_at() is None
    candidate.send(WatchListed("shared"))
    candidate.now += TTL_S
    assert messages(candidate.decision.on_time(candidate.now)) == []


def test_successor_waits_until_the_last_order_is_old_enough() -> None:
    """Guards against orders of two holders within the bound (rule ONE)."""
    candidate = Candidate()
    candidate.renew()
    candidate.send(KvChanged(LEADER_KEY, record("g2"), 3))
    candidate.send(KvChanged(LEADER_KEY, None, 8))
    candidate.send(WatchListed("shared"))
    swap = candidate.attempt()
    found = candidate.send(KvSwapped(swap.request_id, LEADER_KEY, 9))
    wait_s = held(found).from_s - candidate.now
    assert wait_s >= bounds().orders.lease_s - SILENCE_S
    assert held(found).epoch == 9


def test_without_epoch_checks_a_successor_waits_for_the_whole_bound() -> None:
    """Guards against a paused holder whose orders no server refuses."""
    candidate = Candidate(orders=OrderBounds(lease_s=3.0, epochs_checked=False))
    candidate.renew()
    candidate.send(KvChanged(LEADER_KEY, record("g2"), 3))
    candidate.send(KvChanged(LEADER_KEY, None, 8))
    candidate.send(WatchListed("shared"))
    swap = candidate.attempt()
    found = candidate.send(KvSwapped(swap.request_id, LEADER_KEY, 9))
    assert held(found).from_s - candidate.now >= bounds().orders.lease_s


def test_restarted_leader_takes_its_own_key_over_at_once() -> None:
    """Guards against seconds without a leader after a restart of all machines."""
    candidate = Candidate("g1", "2")
    candidate.renew()
    candidate.send(KvChanged(LEADER_KEY, record("g1", "1"), 6))
    candidate.send(WatchListed("shared"))
    swap = candidate.attempt()
    assert swap.expected_revision == 6
    found = candidate.send(KvSwapped(swap.request_id, LEADER_KEY, 7))
    assert held(found) == LeadershipHeld(7, candidate.now)


def test_lost_answer_is_resolved_by_the_watch() -> None:
    """Guards against a leader that does not know of its own key."""
    candidate = Candidate()
    candidate.renew()
    candidate.send(WatchListed("shared"))
    swap = candidate.attempt()
    assert candidate.send(KvAnswerLost(swap.request_id, LEADER_KEY)) == []
    found = candidate.send(KvChanged(LEADER_KEY, record("g1"), 4))
    assert held(found).epoch == 4


def test_conflict_names_the_other_leader() -> None:
    """Guards against two leaders after a race for the key."""
    candidate = Candidate()
    candidate.renew()
    candidate.send(WatchListed("shared"))
    swap = candidate.attempt()
    conflict = KvConflict(swap.request_id, LEADER_KEY, record("g2"), 4)
    assert candidate.send(conflict) == [LeaderChanged("g2")]


def test_orders_end_with_the_session() -> None:
    """Guards against orders after the key may have another holder."""
    candidate = Candidate()
    found = candidate.elect()
    until = [one.until_s for one in found if isinstance(one, LeadershipExtended)]
    assert until and until[-1] < candidate.now + TTL_S
    assert candidate.send(SessionGone()) == [LeadershipLost()]


def test_leader_continues_through_an_outage_where_servers_check_epochs() -> None:
    """Guards against loads that stop while the platform's store is unavailable."""
    candidate = Candidate()
    candidate.elect()
    candidate.now += TTL_S
    found = candidate.send(KvReachability(False, candidate.now))
    assert found == [LeadershipExtended(candidate.now + OUTAGE_SIGNAL_TTL_S, True)]
    strict = Candidate(orders=OrderBounds(lease_s=3.0, epochs_checked=False))
    strict.elect()
    strict.now += TTL_S
    assert strict.send(KvReachability(False, strict.now)) == []


def test_higher_epoch_number_ends_the_leadership() -> None:
    """Guards against a replaced leader that keeps trying to take the key."""
    candidate = Candidate()
    candidate.elect(revision=5)
    assert candidate.send(LeadershipFenced(4)) == []
    assert candidate.send(LeadershipFenced(5)) == [LeadershipLost()]


def test_stopping_leader_deletes_its_key() -> None:
    """Guards against a planned stop that costs a session's time."""
    candidate = Candidate()
    candidate.lead(revision=5)
    found = candidate.send(StopLeading())
    assert LeadershipLost() in found
    assert any(isinstance(one, KvDelete) and one.key == LEADER_KEY for one in found)


def test_successor_ends_the_term_of_a_leader_without_the_store() -> None:
    """Guards against two leaders that give orders at once.

    A leader that was cut off from the platform's store only continued beside its
    successor for five seconds, and each evicted what the other had loaded.
    """
    old, new = Candidate("g1"), Candidate("g2")
    old.elect()
    old.send(KvReachability(False, old.now))
    new.renew()
    new.send(KvChanged(LEADER_KEY, record("g1"), 5))
    new.send(WatchListed("shared"))
    new.send(KvChanged(LEADER_KEY, None, 6))
    swap = new.attempt()
    found = new.send(KvSwapped(swap.request_id, LEADER_KEY, 7))
    sent = [one for one in found if isinstance(one, LeaderSucceeded)]
    assert sent == [LeaderSucceeded(7)]
    assert LeadershipLost("g2") in messages(
        old.decision.handle(incoming(sent[0], "g2"), old.now)
    )
    assert new.send(LeaderSucceeded(5)) == []


def test_succeeded_leader_waits_before_its_next_term() -> None:
    """Guards against orders of two holders within the bound between them.

    A leader that is cut off from the store is notified of its successor only by that
    successor.
    """
    leader = Candidate("g1")
    leader.elect()
    found = messages(
        leader.decision.handle(incoming(LeaderSucceeded(7), "g2"), leader.now)
    )
    assert LeadershipLost("g2") in found
    leader.send(KvChanged(LEADER_KEY, None, 9))
    swap = leader.attempt()
    term = held(leader.send(KvSwapped(swap.request_id, LEADER_KEY, 10)))
    assert term.from_s > leader.now


@pytest.mark.parametrize("epochs_checked", [True, False])
def test_successor_after_a_return_of_the_store_waits_longer(
    epochs_checked: bool,
) -> None:
    """Guards against orders beside those of a leader whose key the return has lost.

    It does not know of the return yet, and its session has not run out.
    """
    orders = OrderBounds(lease_s=3.0, epochs_checked=epochs_checked)
    candidate = Candidate(orders=orders)
    candidate.renew()
    held_at = make_revision(1, 90)
    candidate.send(KvChanged(LEADER_KEY, record("g2"), held_at))
    candidate.send(WatchListed("shared"))
    candidate.send(KvChanged(LEADER_KEY, None, make_revision(2, 50)))
    swap = candidate.attempt()
    epoch = make_revision(2, 51)
    term = held(candidate.send(KvSwapped(swap.request_id, LEADER_KEY, epoch)))
    assert term.epoch > held_at
    longest_s = 0.0 if epochs_checked else TTL_S
    assert term.from_s >= candidate.now + orders.lease_s + longest_s


def test_stopping_leader_deletes_the_key_that_a_return_has_brought_back() -> None:
    """Guards against a stopped leader whose key stays until its lease ends."""
    candidate = Candidate()
    candidate.lead(make_revision(1, 5))
    (end,) = (m for m in candidate.send(StopLeading()) if isinstance(m, KvDelete))
    revision = make_revision(2, 5)
    own = record("g1", "1")
    conflict = KvConflict(end.request_id, LEADER_KEY, own, revision)
    assert KvDelete("leader-end", LEADER_KEY, revision) in candidate.send(conflict)


def test_leader_that_heard_nothing_for_long_waits() -> None:
    """Guards against orders beside those of a leader that has come and gone unseen."""
    orders = OrderBounds(lease_s=3.0, epochs_checked=False)
    candidate = Candidate(orders=orders)
    candidate.elect(revision=5)
    candidate.send(SessionGone())
    candidate.now += 9.0
    candidate.renew()
    candidate.send(KvChanged(LEADER_KEY, None, 40))
    candidate.send(WatchListed("shared"))
    term = candidate.take(revision=41)
    assert term.from_s >= candidate.now + orders.lease_s


def test_key_of_an_earlier_era_is_not_held() -> None:
    """Guards against a leader by a key that a return of the store has brought back.

    Another may have led since the copy was made, and may still be ordering.
    """
    orders = OrderBounds(lease_s=3.0, epochs_checked=False)
    candidate = Candidate(orders=orders)
    candidate.elect(make_revision(1, 5))
    candidate.send(SessionGone())
    candidate.now += 9.0
    candidate.renew(era=2)
    stale = record("g1", era=1)
    found = candidate.send(KvChanged(LEADER_KEY, stale, make_revision(2, 5)))
    assert not any(isinstance(one, LeadershipHeld) for one in found)
    swap = candidate.attempt()
    assert swap.expected_revision == make_revision(2, 5)
    taken = KvSwapped(swap.request_id, LEADER_KEY, make_revision(2, 9))
    term = held(candidate.send(taken))
    assert term.from_s >= candidate.now + orders.lease_s + TTL_S


def test_key_of_an_earlier_process_in_a_returned_store_is_no_proof() -> None:
    """Guards against a started process that orders beside the last leader.

    The copy shows its machine's key, but another machine has led since.
    """
    orders = OrderBounds(lease_s=3.0, epochs_checked=False)
    candidate = Candidate("g1", "2", first_start=False, orders=orders)
    candidate.renew(era=2)
    stale = record("g1", "1", era=1)
    candidate.send(KvChanged(LEADER_KEY, stale, make_revision(2, 5)))
    candidate.send(WatchListed("shared"))
    term = candidate.take(make_revision(2, 9))
    assert term.from_s >= candidate.now + orders.lease_s


def test_leader_takes_its_key_again_at_once_after_a_return() -> None:
    """Guards against seconds without a leader after each return of the store."""
    candidate = Candidate()
    candidate.elect(make_revision(1, 90))
    # As many others as it takes for this one not to be the first that may try.
    others = [f"g{number}" for number in range(2, 12)]
    candidate.send(membership("g1", *others))
    assert candidate.decision._rank > 0
    candidate.now += 0.7
    candidate.renew(era=1)
    candidate.now += 0.4
    found = candidate.renew(era=2)
    assert LeadershipLost() in found
    assert candidate.decision.wake_at() == candidate.now
    term = candidate.take(make_revision(2, 50))
    assert term == LeadershipHeld(make_revision(2, 50), candidate.now)


def test_key_whose_end_was_not_reported_is_taken_when_free() -> None:
    """Guards against a leader that waits for the watch though its key has ended."""
    candidate = Candidate()
    candidate.renew()
    candidate.send(KvChanged(LEADER_KEY, record("g1", "0"), 6))
    candidate.send(WatchListed("shared"))
    swap = candidate.attempt()
    candidate.send(KvConflict(swap.request_id, LEADER_KEY, None, 0))
    assert candidate.attempt().expected_revision == 0


def test_successor_of_a_stopping_leader_waits_for_the_whole_bound() -> None:
    """Guards against orders beside the last one of a leader that deletes its key.

    A leader that stops gives its last order a moment before, and its session goes on.
    """
    candidate = Candidate()
    candidate.renew()
    candidate.send(membership("g1", "g2"))
    candidate.send(KvChanged(LEADER_KEY, record("g2"), 3))
    candidate.send(WatchListed("shared"))
    candidate.send(KvChanged(LEADER_KEY, None, 8))
    term = candidate.take(revision=9)
    assert term.from_s >= candidate.now + bounds().orders.lease_s


def test_successor_waits_longer_if_changes_may_have_been_missed() -> None:
    """Guards against a wait for the session of one leader that another has followed."""
    candidate = Candidate()
    candidate.renew()
    candidate.send(KvChanged(LEADER_KEY, record("g2"), 3))
    candidate.send(WatchListed("shared"))
    candidate.send(KvChanged(LEADER_KEY, None, 80))
    candidate.send(WatchListed("shared"))
    term = candidate.take(revision=81)
    assert term.from_s >= candidate.now + bounds().orders.lease_s


def test_first_start_is_over_after_some_seconds() -> None:
    """Guards against a first leader that has missed a whole term of another."""
    candidate = Candidate()
    candidate.now += 30.0
    candidate.renew()
    candidate.send(WatchListed("shared"))
    term = candidate.take(revision=70)
    assert term.from_s >= candidate.now + bounds().orders.lease_s


def test_leader_without_paths_to_servers_gives_the_key_up() -> None:
    """Guards against models that nobody loads while the leader reaches no server."""
    candidate = Candidate()
    candidate.lead(revision=5)
    found = candidate.send(ReachChanged(True))
    assert LeadershipLost() in found
    assert any(isinstance(one, KvDelete) and one.key == LEADER_KEY for one in found)
    candidate.send(KvChanged(LEADER_KEY, None, 6))
    candidate.renew()
    assert candidate.decision.wake_at() is None
    candidate.send(ReachChanged(False))
    assert candidate.attempt().expected_revision == 0


def test_late_report_of_the_own_key_begins_no_term() -> None:
    """Guards against a second term with the epoch number of one that has ended.

    The watch reports the write that took the key after the term has ended.
    """
    cut_off, expired = Candidate(), Candidate()
    cut_off.elect(revision=5)
    cut_off.send(ReachChanged(True))
    found = cut_off.send(KvChanged(LEADER_KEY, record("g1"), 5))
    assert not any(isinstance(one, LeadershipHeld) for one in found)
    expired.elect(revision=5)
    expired.send(SessionGone())
    found = expired.send(KvChanged(LEADER_KEY, record("g1"), 5))
    assert not any(isinstance(one, LeadershipHeld) for one in found)


def test_late_write_of_the_key_begins_no_term_without_paths_to_servers() -> None:
    """Guards against a leader that reaches no server.

    The store has executed an unanswered write after the key was given up.
    """
    candidate = Candidate()
    candidate.elect(revision=5)
    candidate.send(ReachChanged(True))
    candidate.send(KvChanged(LEADER_KEY, None, 6))
    found = candidate.send(KvChanged(LEADER_KEY, record("g1"), 7))
    assert not any(isinstance(one, LeadershipHeld) for one in found)
    assert KvDelete("leader-end", LEADER_KEY, 7) in found


def test_fenced_leader_waits_before_its_next_term() -> None:
    """Guards against orders beside those of the leader with the higher epoch number.

    The own key is still there, so it is taken again for a new number.
    """
    candidate = Candidate()
    candidate.elect(revision=5)
    candidate.send(LeadershipFenced(5))
    candidate.renew()
    swap = candidate.attempt()
    assert swap.expected_revision == 5
    term = held(candidate.send(KvSwapped(swap.request_id, LEADER_KEY, 9)))
    assert term.from_s >= candidate.now + bounds().orders.lease_s


def test_key_that_could_not_be_given_up_is_deleted_later() -> None:
    """Guards against a site without a leader while its last one reaches no server.

    The store has refused the delete, and the key lives as long as the session.
    """
    candidate = Candidate()
    candidate.lead(revision=5)
    (end,) = (m for m in candidate.send(ReachChanged(True)) if isinstance(m, KvDelete))
    candidate.send(KvUnavailable(end.request_id, LEADER_KEY))
    due = candidate.decision.wake_at()
    assert due is not None
    candidate.now = due
    candidate.renew()
    assert messages(candidate.decision.on_time(due)) == [
        KvDelete("leader-end", LEADER_KEY, 5)
    ]


def test_key_that_was_not_given_up_is_taken_again() -> None:
    """Guards against a site without a leader after its last one reaches servers again.

    The delete was lost, so the key still names this gateway, whose term has ended.
    """
    candidate = Candidate()
    candidate.elect(revision=5)
    candidate.send(ReachChanged(True))
    candidate.send(KvAnswerLost("leader-end", LEADER_KEY))
    candidate.now += 1.0
    candidate.renew()
    candidate.send(ReachChanged(False))
    swap = candidate.attempt()
    assert swap.expected_revision == 5
    term = held(candidate.send(KvSwapped(swap.request_id, LEADER_KEY, 9)))
    assert term.epoch == 9


def test_restarted_leader_waits_as_long_as_its_predecessor_had_to() -> None:
    """Guards against orders of two holders within the bound after a kill.

    The killed process had the key, but was still waiting for the orders of the leader
    before it to be old enough.
    """
    killed = Candidate("g2", "1")
    killed.renew()
    killed.send(membership("g1", "g2"))
    killed.send(KvChanged(LEADER_KEY, record("g1"), 3))
    killed.send(WatchListed("shared"))
    last_order_at = killed.now
    killed.send(KvChanged(LEADER_KEY, None, 8))
    swap = killed.attempt()
    killed.send(KvSwapped(swap.request_id, LEADER_KEY, 9))
    restarted = Candidate("g2", "2", first_start=False)
    restarted.now = killed.now + 1.0
    restarted.renew()
    restarted.send(KvChanged(LEADER_KEY, swap.value, 9))
    restarted.send(WatchListed("shared"))
    term = restarted.take(revision=10)
    assert term.from_s >= last_order_at + bounds().orders.lease_s


def test_restarted_leader_whose_predecessor_could_order_does_not_wait() -> None:
    """Guards against seconds without a leader after each restart."""
    killed = Candidate("g2", "1", first_start=False)
    killed.renew()
    killed.send(WatchListed("shared"))
    swap = killed.attempt()
    killed.send(KvSwapped(swap.request_id, LEADER_KEY, 9))
    restarted = Candidate("g2", "2", first_start=False)
    restarted.now = killed.now + 10.0
    restarted.renew()
    restarted.send(KvChanged(LEADER_KEY, swap.value, 9))
    restarted.send(WatchListed("shared"))
    assert restarted.take(revision=10) == LeadershipHeld(10, restarted.now)


def test_other_key_in_a_returned_store_hides_no_leader() -> None:
    """Guards against orders beside those of a leader that does not know of a return.

    The copy shows the key of one that led before it; the last leader's session has not
    run out.
    """
    orders = OrderBounds(lease_s=3.0, epochs_checked=False)
    candidate = Candidate(orders=orders)
    candidate.renew(era=1)
    candidate.send(KvChanged(LEADER_KEY, record("g2", era=1), make_revision(1, 90)))
    candidate.send(WatchListed("shared"))
    candidate.renew(era=2)
    candidate.send(KvChanged(LEADER_KEY, record("g3", era=1), make_revision(2, 50)))
    candidate.send(KvChanged(LEADER_KEY, None, make_revision(2, 51)))
    term = candidate.take(make_revision(2, 52))
    assert term.from_s >= candidate.now + orders.lease_s + TTL_S


def test_started_leader_waits_for_one_that_does_not_know_of_a_return() -> None:
    """Guards against orders beside those of a leader whose key a return has lost.

    The process has started after the return, and its session opens in the new era.
    """
    orders = OrderBounds(lease_s=3.0, epochs_checked=False)
    candidate = Candidate(first_start=False, orders=orders)
    candidate.renew(era=2)
    candidate.send(WatchListed("shared"))
    term = candidate.take(make_revision(2, 52))
    assert term.from_s >= candidate.now + orders.lease_s + TTL_S


def test_successor_of_a_short_term_waits_for_the_leader_before_it() -> None:
    """Guards against orders beside those of a leader that does not know of a return.

    Another has taken the key since, and has ended before its first order.
    """
    orders = OrderBounds(lease_s=3.0, epochs_checked=False)
    candidate = Candidate(orders=orders)
    candidate.renew(era=1)
    candidate.send(KvChanged(LEADER_KEY, record("g2", era=1), make_revision(1, 90)))
    candidate.send(WatchListed("shared"))
    candidate.renew(era=2)
    returned_at = candidate.now
    candidate.send(KvChanged(LEADER_KEY, record("g3", era=2), make_revision(2, 50)))
    candidate.send(KvChanged(LEADER_KEY, None, make_revision(2, 51)))
    term = candidate.take(make_revision(2, 52))
    assert term.from_s >= returned_at + orders.lease_s + TTL_S


def test_leader_waits_for_no_older_one_that_a_return_shows() -> None:
    """Guards against seconds without a leader after a return.

    The copy shows the key of one that led before it, and the key ends.
    """
    candidate = Candidate()
    candidate.elect(make_revision(1, 90))
    candidate.now += 0.7
    candidate.renew(era=1)
    candidate.renew(era=2)
    older = record("g3", era=1)
    candidate.send(KvChanged(LEADER_KEY, older, make_revision(2, 50)))
    candidate.send(KvChanged(LEADER_KEY, None, make_revision(2, 51)))
    epoch = make_revision(2, 52)
    assert candidate.take(epoch) == LeadershipHeld(epoch, candidate.now)


def test_first_leader_keeps_its_key_while_others_may_be_the_first() -> None:
    """Guards against orders of two holders within the bound on the first start.

    A gateway that lists the key only after its end would take itself for the first
    leader.
    """
    first = Candidate("g1")
    first.elect(revision=5)
    started_at = first.now
    found = first.send(StopLeading())
    assert LeadershipLost() in found
    assert not any(isinstance(one, KvDelete) for one in found)
    due = first.decision.wake_at()
    assert due is not None
    assert due > started_at + FIRST_START_S
    first.now = due
    assert messages(first.decision.on_time(due)) == [
        KvDelete("leader-end", LEADER_KEY, 5)
    ]


def test_process_that_follows_a_waiting_predecessor_waits() -> None:
    """Guards against a restart that cuts the wait for another's orders short.

    The earlier process had taken the key of a stopping leader and was killed while it
    waited.
    """
    orders = OrderBounds(lease_s=3.0, epochs_checked=False)
    earlier = Candidate("g1", "1", orders=orders)
    earlier.renew()
    earlier.send(KvChanged(LEADER_KEY, record("g2"), 3))
    earlier.send(WatchListed("shared"))
    earlier.send(KvChanged(LEADER_KEY, None, 8))
    swap = earlier.attempt()
    later = Candidate("g1", "2", first_start=False, orders=orders)
    later.renew()
    later.send(KvChanged(LEADER_KEY, swap.value, 9))
    later.send(WatchListed("shared"))
    term = later.take(revision=10)
    assert term.from_s >= later.now + orders.lease_s


def test_successor_of_a_key_from_the_copy_waits_for_the_holders_after_it() -> None:
    """Guards against orders beside a leader of the era before a return.

    The copy has the key of an earlier leader, which deletes it at once as it is
    stopping. Another had led since and does not know of the return yet.
    """
    orders = OrderBounds(lease_s=3.0, epochs_checked=False)
    candidate = Candidate("g1", orders=orders)
    candidate.renew(era=1)
    candidate.send(KvChanged(LEADER_KEY, record("g2", era=1), make_revision(1, 80)))
    candidate.send(WatchListed("shared"))
    stale = record("g3", era=1)
    candidate.send(KvChanged(LEADER_KEY, stale, make_revision(2, 20)))
    candidate.send(KvChanged(LEADER_KEY, None, make_revision(2, 51)))
    term = candidate.take(make_revision(2, 52))
    assert term.from_s >= candidate.now + orders.lease_s + TTL_S


@pytest.mark.parametrize("shows_own_key", [True, False])
def test_started_process_after_a_return_waits_for_the_holders_before_it(
    shows_own_key: bool,
) -> None:
    """Guards against orders beside a leader of the era before a return.

    A process that starts just then has not seen it, and it does not know of the return.
    """
    orders = OrderBounds(lease_s=3.0, epochs_checked=False)
    candidate = Candidate("g1", "2", first_start=False, orders=orders)
    candidate.renew(era=2)
    if shows_own_key:
        stale = record("g1", "1", era=1)
        candidate.send(KvChanged(LEADER_KEY, stale, make_revision(2, 5)))
    candidate.send(WatchListed("shared"))
    term = candidate.take(make_revision(2, 9))
    assert term.from_s >= candidate.now + orders.lease_s + TTL_S


def test_instance_that_has_lost_the_servers_during_its_attempt_does_not_lead() -> None:
    """Guards against a leader without paths to servers, which nobody replaces."""
    candidate = Candidate()
    candidate.renew()
    candidate.send(WatchListed("shared"))
    swap = candidate.attempt()
    candidate.send(ReachChanged(True))
    found = candidate.send(KvSwapped(swap.request_id, LEADER_KEY, 5))
    assert not any(isinstance(one, LeadershipHeld) for one in found)
    assert KvDelete("leader-end", LEADER_KEY, 5) in found


def test_lost_deletion_is_repeated_while_the_servers_are_lost() -> None:
    """Guards against a key that stays with the session of a leader without paths."""
    candidate = Candidate()
    candidate.lead(revision=5)
    (end,) = (m for m in candidate.send(ReachChanged(True)) if isinstance(m, KvDelete))
    candidate.send(KvAnswerLost(end.request_id, LEADER_KEY))
    due = candidate.decision.wake_at()
    assert due is not None
    assert messages(candidate.decision.on_time(due)) == [end]


def test_leader_whose_deletion_was_lost_leads_again_with_its_paths() -> None:
    """Guards against a key whose holder neither leads nor takes it again."""
    candidate = Candidate()
    candidate.lead(revision=5)
    (end,) = (m for m in candidate.send(ReachChanged(True)) if isinstance(m, KvDelete))
    candidate.send(KvAnswerLost(end.request_id, LEADER_KEY))
    candidate.now += 0.4
    candidate.send(ReachChanged(False))
    assert candidate.take(revision=6).epoch == 6


def test_key_of_the_copy_is_deleted_while_the_servers_are_lost() -> None:
    """Guards against a key that a return brings back to a leader without paths.

    The session of the copy goes on, and the key with it.
    """
    candidate = Candidate()
    candidate.elect(make_revision(1, 5))
    candidate.send(ReachChanged(True))
    candidate.renew(era=2)
    revision = make_revision(2, 5)
    found = candidate.send(KvChanged(LEADER_KEY, record("g1", era=1), revision))
    assert KvDelete("leader-end", LEADER_KEY, revision) in found


def test_first_leader_waits_if_the_key_has_ended_before() -> None:
    """Guards against orders beside the last one of a leader that came and went unseen.

    The watch reports only the last of several changes of a key within a short time.
    """
    candidate = Candidate()
    candidate.renew()
    candidate.send(WatchListed("shared"))
    candidate.send(KvChanged(LEADER_KEY, None, 7))
    term = candidate.take(revision=8)
    assert term.from_s >= candidate.now + bounds().orders.lease_s


def test_succeeded_leader_takes_the_key_that_a_return_has_given_back() -> None:
    """Guards against a key whose holder believes that another has it.

    The successor's key is lost with the return. The key of the copy is the one that
    this instance knew last, so that no watch reports it.
    """
    leader = Candidate("g1")
    leader.elect(make_revision(1, 5))
    succeeded = LeaderSucceeded(make_revision(1, 90))
    found = messages(leader.decision.handle(incoming(succeeded, "g2"), leader.now))
    assert LeaderChanged("g2") in found
    leader.now += 1.0
    leader.renew(era=2)
    leader.send(WatchListed("shared"))
    swap = leader.attempt()
    revision = make_revision(2, 5)
    own = record("g1", era=1)
    leader.send(KvConflict(swap.request_id, LEADER_KEY, own, revision))
    assert leader.attempt().expected_revision == revision


def test_key_is_written_again_if_a_wait_has_become_necessary() -> None:
    """Guards against a record that lets a later process order without the wait."""
    orders = OrderBounds(lease_s=3.0, epochs_checked=False)
    candidate = Candidate(orders=orders)
    candidate.elect(revision=5)
    candidate.send(SessionGone())
    candidate.now += 2.8
    candidate.renew()
    candidate.send(KvChanged(LEADER_KEY, None, 40))
    late = candidate.attempt()
    assert orders_from_s(late) <= candidate.now
    candidate.now += 0.9
    found = candidate.send(KvSwapped(late.request_id, LEADER_KEY, 41))
    assert not any(isinstance(one, LeadershipHeld) for one in found)
    again = candidate.attempt()
    assert again.expected_revision == 41
    assert orders_from_s(again) >= candidate.now + orders.lease_s
    term = held(candidate.send(KvSwapped(again.request_id, LEADER_KEY, 42)))
    assert term.from_s >= candidate.now + orders.lease_s


@pytest.mark.parametrize("answer_s", [0.004, 0.4])
def test_leader_leads_by_its_first_write(answer_s: float) -> None:
    """Guards against a key that is written again and again, as each answer takes time.

    The store would get a write for each answer, and nobody would lead.
    """
    first = Candidate()
    first.renew()
    first.send(WatchListed("shared"))
    restarted = Candidate("g1", "2", first_start=False)
    restarted.renew()
    restarted.send(KvChanged(LEADER_KEY, record("g1", "1"), 6))
    restarted.send(WatchListed("shared"))
    successor = Candidate("g3")
    successor.renew()
    successor.send(KvChanged(LEADER_KEY, record("g2"), 6))
    successor.send(WatchListed("shared"))
    successor.send(KvChanged(LEADER_KEY, None, 7))
    for candidate in (first, restarted, successor):
        swap = candidate.attempt()
        candidate.now += answer_s
        found = candidate.send(KvSwapped(swap.request_id, LEADER_KEY, 8))
        assert held(found).epoch == 8
        assert candidate.decision.wake_at() is None


@pytest.mark.parametrize(("left_s", "owed_s"), [(0.0, 0.0), (2.0, 2.0), (9.0, 3.1)])
def test_leader_whose_machine_has_started_anew_waits_for_what_was_left(
    left_s: float, owed_s: float
) -> None:
    """Guards against seconds without orders after a loss of power.

    The machine's clock has begun anew, so times in the record lie in its future.
    """
    candidate = Candidate("g1", "2", first_start=False)
    written_at_s = candidate.now + 500.0
    before = LeaderRecord("g1", "g1-1", 0, written_at_s + left_s, written_at_s)
    candidate.renew()
    candidate.send(KvChanged(LEADER_KEY, encode_record(before), 6))
    candidate.send(WatchListed("shared"))
    term = candidate.take(revision=7)
    assert term.from_s - candidate.now == pytest.approx(owed_s)
