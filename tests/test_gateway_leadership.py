"""Leadership: one gateway orders, and a later one has the higher epoch number."""

from __future__ import annotations

import msgspec

from siskinspool.core.message import Message
from siskinspool.gateway.leadership import (
    LEADER_KEY,
    OUTAGE_SIGNAL_TTL_S,
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
from siskinspool.store.kv import (
    KvChanged,
    KvConflict,
    KvDelete,
    KvLost,
    KvSwap,
    KvSwapped,
    WatchListed,
)
from siskinspool.store.kv_events import KvReachable, SessionGone, SessionRenewed

from .builders_gateway import bounds, incoming, member, membership, messages

TTL_S = 2.5
SILENCE_S = 1.8


class Candidate:
    """A leadership decision with the store's side played by the test."""

    def __init__(self, name: str = "g1", incarnation: str = "1", **changes: object):
        self.now = 10.0
        self.own = member(name, incarnation)
        self.decision = Leadership(
            self.own,
            bounds(**changes),
            ("watcher",),
            self.now,
            session_silence_s=SILENCE_S,
        )
        self.tell(membership(name))

    def tell(self, message: Message) -> list[Message]:
        return messages(self.decision.handle(incoming(message), self.now))

    def renew(self) -> list[Message]:
        return self.tell(SessionRenewed(self.own.incarnation, 7, self.now, TTL_S))

    def attempt(self) -> KvSwap:
        """Let the decision try to take the key."""
        due = self.decision.wake_at()
        assert due is not None
        self.now = max(self.now, due)
        found = messages(self.decision.on_time(self.now))
        assert len(found) == 1
        assert isinstance(found[0], KvSwap)
        return found[0]

    def elect(self, revision: int = 5) -> list[Message]:
        """Take the key."""
        self.renew()
        self.tell(WatchListed("shared"))
        swap = self.attempt()
        return self.tell(KvSwapped(swap.request_id, LEADER_KEY, revision))


def record(name: str, incarnation: str = "1") -> bytes:
    document = {"instance_id": name, "incarnation": f"{name}-{incarnation}"}
    return msgspec.json.encode(document)


def held(found: list[Message]) -> LeadershipHeld:
    return next(one for one in found if isinstance(one, LeadershipHeld))


def test_first_leader_need_not_wait() -> None:
    """Guards against a start without loads."""
    candidate = Candidate()
    found = candidate.elect(revision=5)
    assert LeaderChanged("g1") in found
    assert held(found) == LeadershipHeld(5, candidate.now)


def test_no_attempt_without_a_session_or_a_listing() -> None:
    """Guards against a key that lives with no session, or is taken unseen."""
    candidate = Candidate()
    candidate.renew()
    assert candidate.decision.wake_at() is None
    candidate.tell(WatchListed("shared"))
    candidate.now += TTL_S
    assert messages(candidate.decision.on_time(candidate.now)) == []


def test_successor_waits_until_the_last_order_is_old_enough() -> None:
    """Guards against orders of two holders within the bound (rule ONE)."""
    candidate = Candidate()
    candidate.renew()
    candidate.tell(KvChanged(LEADER_KEY, record("g2"), 3))
    candidate.tell(KvChanged(LEADER_KEY, None, 8))
    candidate.tell(WatchListed("shared"))
    swap = candidate.attempt()
    found = candidate.tell(KvSwapped(swap.request_id, LEADER_KEY, 9))
    wait_s = held(found).from_s - candidate.now
    assert wait_s >= bounds().holder_lease_s - SILENCE_S
    assert held(found).epoch == 9


def test_without_epoch_checks_a_successor_waits_for_the_whole_bound() -> None:
    """Guards against a paused holder whose order no server refuses."""
    candidate = Candidate(servers_check_epochs=False)
    candidate.renew()
    candidate.tell(KvChanged(LEADER_KEY, record("g2"), 3))
    candidate.tell(KvChanged(LEADER_KEY, None, 8))
    candidate.tell(WatchListed("shared"))
    swap = candidate.attempt()
    found = candidate.tell(KvSwapped(swap.request_id, LEADER_KEY, 9))
    assert held(found).from_s - candidate.now >= bounds().holder_lease_s


def test_restarted_leader_takes_its_own_key_over_at_once() -> None:
    """Guards against seconds without a leader after a restart of all machines."""
    candidate = Candidate("g1", "2")
    candidate.renew()
    candidate.tell(KvChanged(LEADER_KEY, record("g1", "1"), 6))
    candidate.tell(WatchListed("shared"))
    swap = candidate.attempt()
    assert swap.expected_revision == 6
    found = candidate.tell(KvSwapped(swap.request_id, LEADER_KEY, 7))
    assert held(found) == LeadershipHeld(7, candidate.now)


def test_lost_answer_is_resolved_by_the_watch() -> None:
    """Guards against a leader that does not know of its own key."""
    candidate = Candidate()
    candidate.renew()
    candidate.tell(WatchListed("shared"))
    swap = candidate.attempt()
    assert candidate.tell(KvLost(swap.request_id, LEADER_KEY)) == []
    found = candidate.tell(KvChanged(LEADER_KEY, record("g1"), 4))
    assert held(found).epoch == 4


def test_conflict_names_the_other_leader() -> None:
    """Guards against two leaders after a race for the key."""
    candidate = Candidate()
    candidate.renew()
    candidate.tell(WatchListed("shared"))
    swap = candidate.attempt()
    conflict = KvConflict(swap.request_id, LEADER_KEY, record("g2"), 4)
    assert candidate.tell(conflict) == [LeaderChanged("g2")]


def test_orders_end_with_the_session() -> None:
    """Guards against orders after the key may have gone to another."""
    candidate = Candidate()
    found = candidate.elect()
    until = [one.until_s for one in found if isinstance(one, LeadershipExtended)]
    assert until and until[-1] < candidate.now + TTL_S
    assert candidate.tell(SessionGone()) == [LeadershipLost()]


def test_leader_goes_on_through_an_outage_where_servers_check_epochs() -> None:
    """Guards against loads that stand still while the store is down."""
    candidate = Candidate()
    candidate.elect()
    candidate.now += TTL_S
    found = candidate.tell(KvReachable(False, candidate.now))
    assert found == [LeadershipExtended(candidate.now + OUTAGE_SIGNAL_TTL_S, True)]
    strict = Candidate(servers_check_epochs=False)
    strict.elect()
    strict.now += TTL_S
    assert strict.tell(KvReachable(False, strict.now)) == []


def test_higher_epoch_number_ends_the_leadership() -> None:
    """Guards against a replaced leader that calls again and again."""
    candidate = Candidate()
    candidate.elect(revision=5)
    assert candidate.tell(LeadershipFenced(4)) == []
    assert candidate.tell(LeadershipFenced(5)) == [LeadershipLost()]


def test_stopping_leader_gives_the_key_back() -> None:
    """Guards against a planned stop that costs a session's time."""
    candidate = Candidate()
    candidate.elect(revision=5)
    found = candidate.tell(StopLeading())
    assert LeadershipLost() in found
    assert any(isinstance(one, KvDelete) and one.key == LEADER_KEY for one in found)


def test_successor_ends_the_term_of_a_leader_without_the_store() -> None:
    """Guards against two leaders with orders at once.

    baul-bogota quiet-1: a leader that was cut off from the store only went on beside
    its successor for five seconds, and each undid what the other had loaded.
    """
    old, new = Candidate("g1"), Candidate("g2")
    old.elect()
    old.tell(KvReachable(False, old.now))
    new.renew()
    new.tell(KvChanged(LEADER_KEY, record("g1"), 5))
    new.tell(WatchListed("shared"))
    new.tell(KvChanged(LEADER_KEY, None, 6))
    swap = new.attempt()
    found = new.tell(KvSwapped(swap.request_id, LEADER_KEY, 7))
    told = [one for one in found if isinstance(one, LeaderSucceeded)]
    assert told == [LeaderSucceeded(7)]
    assert LeadershipLost("g2") in messages(
        old.decision.handle(incoming(told[0], "g2"), old.now)
    )
    assert new.tell(LeaderSucceeded(5)) == []


def test_succeeded_leader_waits_before_its_next_term() -> None:
    """Guards against orders of two holders within the bound between them.

    A leader that is cut off from the store hears of its successor from that one only.
    """
    leader = Candidate("g1")
    leader.elect()
    found = messages(
        leader.decision.handle(incoming(LeaderSucceeded(7), "g2"), leader.now)
    )
    assert LeadershipLost("g2") in found
    leader.tell(KvChanged(LEADER_KEY, None, 9))
    swap = leader.attempt()
    term = held(leader.tell(KvSwapped(swap.request_id, LEADER_KEY, 10)))
    assert term.from_s > leader.now
