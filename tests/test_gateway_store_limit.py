"""The estimated limit of parallel loads from the weight store."""

from __future__ import annotations

from siskinspool.gateway.store_limit import INITIAL_LIMIT, SLOW_TTL_S, StoreLoads

FULL_SPEED_S = 6.0


def test_loads_that_slow_each_other_down_lower_the_limit() -> None:
    """Guards against servers that all load very slowly.

    Forty loads ran at once where the store carries three, and after 14 s hardly any
    server was free to load anything.
    """
    store = StoreLoads()
    for number in range(INITIAL_LIMIT):
        store.begin(f"s{number}", FULL_SPEED_S, 100.0)
    assert store.running >= store.limit
    # The last one takes as long as with two: the store carries two.
    store.end(f"s{INITIAL_LIMIT - 1}", 100.0 + INITIAL_LIMIT * FULL_SPEED_S / 2)
    assert store.limit == 2
    assert store.running >= store.limit


def test_loads_on_time_at_the_limit_raise_it() -> None:
    """Guards against a limit that stays low on a site whose store carries more."""
    store = StoreLoads()
    for number in range(INITIAL_LIMIT):
        store.begin(f"s{number}", FULL_SPEED_S, 100.0)
    store.end(f"s{INITIAL_LIMIT - 1}", 106.2)
    assert store.limit == INITIAL_LIMIT + 1
    # A load on time below the limit does not show that the store carries more.
    alone = StoreLoads()
    alone.begin("s0", FULL_SPEED_S, 100.0)
    alone.end("s0", 106.2)
    assert alone.limit == INITIAL_LIMIT


def test_load_that_began_before_the_others_does_not_raise_the_limit() -> None:
    """Guards against a limit that rises while the store is overloaded.

    Of four loads that started one after the other the first two took 8.0 s, the third
    12.2 s and the fourth 16.9 s. The first two raised the limit to six, and the next
    loads took up to 21 s.
    """
    store = StoreLoads()
    for number in range(INITIAL_LIMIT):
        store.begin(f"s{number}", FULL_SPEED_S, 100.0)
    store.end("s0", 106.2)
    store.end("s1", 106.2)
    assert store.limit == INITIAL_LIMIT
    store.end("s2", 109.0)
    assert store.limit == 2


def test_load_of_a_lost_server_does_not_change_the_limit() -> None:
    """Guards against a crash that counts as a slow load, or holds a slot forever."""
    store = StoreLoads()
    store.begin("s0", FULL_SPEED_S, 100.0)
    store.record_lost_server("s0")
    store.end("s0", 200.0)
    store.drop_ended_loads(100.0 + FULL_SPEED_S)
    assert (store.limit, store.running) == (INITIAL_LIMIT, 0)


def test_load_of_a_lost_server_holds_its_slot_until_it_ends() -> None:
    """Guards against a limit that falls because a load was left out of the count.

    A server was lost in the middle of a load, which continued in the store. The next
    load ran beside it and was slow, and the limit fell to one.
    """
    store = StoreLoads()
    for number in range(INITIAL_LIMIT):
        store.begin(f"s{number}", FULL_SPEED_S, 100.0)
    store.record_lost_server("s0")
    store.drop_ended_loads(102.0)
    assert store.running >= store.limit
    store.drop_ended_loads(100.0 + FULL_SPEED_S)
    assert store.running < store.limit


def test_load_slowed_down_by_an_uncounted_one_keeps_the_limit() -> None:
    """Guards against a store that is half unused after a load that was not counted.

    Of two loads one took 12.2 s instead of 7.8 s beside a third, the load of a lost
    server, and only one load at a time ran until 19.3 s.
    """
    store = StoreLoads()
    store.inherit_limit(2, 100.0)
    store.begin("s0", FULL_SPEED_S, 100.0)
    store.begin("s1", FULL_SPEED_S, 100.0)
    store.end("s1", 100.0 + 1.5 * FULL_SPEED_S + 0.3)
    assert store.limit == 2


def test_limit_that_proved_too_high_is_not_tried_again_at_once() -> None:
    """Guards against every third load taking longer than its requesters wait.

    The limit of two rose to three after each load on time, and the loads that then
    started took 12.2 s, while requesters wait for eleven.
    """
    store = StoreLoads()
    for number in range(3):
        store.begin(f"s{number}", FULL_SPEED_S, 100.0)
    store.end("s2", 100.0 + 1.5 * FULL_SPEED_S)
    assert store.limit == 2
    store.end("s0", 110.0)
    store.end("s1", 110.0)

    def end_two_on_time(at: float) -> None:
        for name in ("s3", "s4"):
            store.begin(name, FULL_SPEED_S, at)
        for name in ("s3", "s4"):
            store.end(name, at + FULL_SPEED_S + 0.1)

    end_two_on_time(112.0)
    assert store.limit == 2
    end_two_on_time(112.0 + SLOW_TTL_S)
    assert store.limit == 3


def test_limit_of_an_earlier_leader_is_not_tried_again_at_once() -> None:
    """Guards against a slow load after each change of the leader.

    A new leader knew that the store carries two, and tried three after the first load
    on time.
    """
    store = StoreLoads()
    store.inherit_limit(2, 100.0)
    for name in ("s0", "s1"):
        store.begin(name, FULL_SPEED_S, 100.0)
    store.end("s1", 100.0 + FULL_SPEED_S + 0.1)
    assert store.limit == 2


def test_load_beyond_the_limit_is_expected_to_take_longer() -> None:
    """Guards against requests that wait too long for a load that others slow down."""
    store = StoreLoads()
    store.inherit_limit(2, 100.0)
    times = [store.begin(f"s{number}", FULL_SPEED_S, 100.0) for number in range(3)]
    assert times == [FULL_SPEED_S, FULL_SPEED_S, 1.5 * FULL_SPEED_S]


def two_loads() -> StoreLoads:
    """Return a store that carries two loads and runs them, from 100 and 102 s on."""
    store = StoreLoads()
    store.inherit_limit(2, 100.0)
    store.begin("s0", FULL_SPEED_S, 100.0)
    store.begin("s1", FULL_SPEED_S, 102.0)
    return store


def test_load_does_not_wait_while_the_store_has_room() -> None:
    """Guards against requests that are refused while their load could start."""
    store = StoreLoads()
    assert store.wait_s((), 100.0) == 0.0
    store.begin("s0", FULL_SPEED_S, 100.0)
    assert store.wait_s((), 101.0) == 0.0


def test_first_in_the_queue_waits_for_the_first_end_only() -> None:
    """Guards against refusals just before the load starts.

    The estimate for the first in the queue stayed at 12.08 s, half a load too much,
    until its load started, and nine requests were refused.
    """
    store = two_loads()
    assert store.wait_s((), 101.0) == 5.0
    assert store.wait_s((), 105.5) == 0.5


def test_wait_includes_the_queued_loads() -> None:
    """Guards against estimates that leave out the loads ahead."""
    store = two_loads()
    # The slots are free at 106, 108, 113 and 114 s.
    ahead = (7.0, FULL_SPEED_S, 5.0)
    waits = [store.wait_s(ahead[:queued], 105.0) for queued in range(4)]
    assert waits == [1.0, 3.0, 8.0, 9.0]


def test_load_of_a_lost_server_is_waited_for() -> None:
    """Guards against an estimate that leaves out a lost load still in the store."""
    store = two_loads()
    store.record_lost_server("s0")
    assert store.wait_s((), 104.0) == 2.0
    store.drop_ended_loads(106.0)
    assert store.wait_s((), 106.0) == 0.0


def test_unrecorded_load_is_waited_for() -> None:
    """Guards against a slot that is counted twice before an order is answered."""
    store = StoreLoads()
    store.inherit_limit(2, 100.0)
    store.begin("s0", FULL_SPEED_S, 100.0)
    assert store.wait_s((), 101.0, unrecorded_s=(4.0,)) == 4.0


def test_late_load_is_waited_for() -> None:
    """Guards against a slot that is expected at once while no load has ended."""
    store = two_loads()
    assert 0.0 < store.wait_s((), 106.4) < 1.0
    assert store.wait_s((), 107.5) > store.wait_s((), 106.4)


def test_slow_load_that_ran_alone_does_not_lower_the_limit() -> None:
    """Guards against a limit of one because the end of a load was seen late."""
    store = StoreLoads()
    store.begin("s0", FULL_SPEED_S, 100.0)
    store.end("s0", 120.0)
    assert store.limit == INITIAL_LIMIT


def test_load_that_is_late_lowers_the_limit_before_it_ends() -> None:
    """Guards against further slow loads while the first ones show the limit.

    The store carries two. Until the end of the first slow load was seen, loads kept
    starting as one of four, and took 16.9 s.
    """
    store = StoreLoads()
    for number in range(INITIAL_LIMIT):
        store.begin(f"s{number}", FULL_SPEED_S, 100.0)
    store.end("s0", 106.2)
    store.record_late_loads(107.2)
    assert store.running < store.limit == INITIAL_LIMIT
    store.record_late_loads(107.6)
    assert store.running >= store.limit
    store.end("s2", 109.0)
    assert store.limit == 2


def test_end_of_a_late_load_sets_the_limit_that_its_time_shows() -> None:
    """Guards against a load that is counted twice, as it runs and as it ends.

    A fourth load that was not counted makes one of three take a third longer.
    """
    store = StoreLoads()
    store.inherit_limit(3, 100.0)
    for name in ("s0", "s1", "s2"):
        store.begin(name, FULL_SPEED_S, 100.0)
    for name in ("s0", "s1"):
        store.end(name, 106.1)
    store.record_late_loads(107.6)
    assert store.limit == 2
    store.end("s2", 100.0 + 4 * FULL_SPEED_S / 3 + 0.1)
    assert store.limit == 3


def test_end_that_is_seen_late_does_not_halve_the_limit() -> None:
    """Guards against a limit of one because a report was read a second late."""
    store = two_loads()
    store.record_late_loads(109.6)
    assert store.limit == 2


def test_limit_does_not_rise_while_a_late_load_lowers_it() -> None:
    """Guards against a load on time that counts as one more than it was."""
    store = StoreLoads()
    for number in range(3):
        store.begin(f"s{number}", FULL_SPEED_S, 100.0)
    store.record_late_loads(107.6)
    assert store.limit == 2
    store.end("s1", 107.2)
    assert store.limit == 2
    store.end("s2", 109.1)
    assert store.limit == 2


def test_late_load_is_expected_as_late_as_the_store_is_slow() -> None:
    """Guards against an estimate for a load that others slow down.

    Two loads of 16.9 and 16.6 s were expected to take 7.8 s.
    """
    store = StoreLoads()
    for number in range(3):
        store.begin(f"s{number}", FULL_SPEED_S, 100.0)
    for name in ("s0", "s1"):
        store.end(name, 106.1)
    store.begin("s3", FULL_SPEED_S, 106.2)
    store.record_late_loads(107.6)
    assert store.limit == 2
    assert store.ends_at("s2") == 100.0 + 1.5 * FULL_SPEED_S
    assert store.wait_s((), 108.0) == 1.0


def test_late_load_of_a_lost_server_no_longer_lowers_the_limit() -> None:
    """Guards against a limit that stays low, as the end of the load is never seen."""
    store = StoreLoads()
    for number in range(3):
        store.begin(f"s{number}", FULL_SPEED_S, 100.0)
    store.record_late_loads(107.6)
    for number in range(3):
        store.record_lost_server(f"s{number}")
    assert store.limit == INITIAL_LIMIT
    assert store.running == 3


def test_initial_limit_is_carried_by_most_stores() -> None:
    """Guards against loads that take longer than requesters wait, before any has ended.

    The store carries two. Of four loads that started at once two ended on time, one
    took half as long again and one twice as long.
    """
    store, running_s = StoreLoads(), []
    while store.running < store.limit:
        store.begin(f"s{store.running}", FULL_SPEED_S, 100.0)
        running_s.append(FULL_SPEED_S * max(store.running / 2, 1.0))
    assert max(running_s) == 1.5 * FULL_SPEED_S


def test_store_that_carries_four_runs_four_after_the_first_loads() -> None:
    """Guards against an initial limit that leaves a fast store unused."""
    store = StoreLoads()
    for number in range(INITIAL_LIMIT):
        store.begin(f"s{number}", FULL_SPEED_S, 100.0)
    for number in range(INITIAL_LIMIT):
        store.end(f"s{number}", 106.2)
    assert store.limit == 4


def store_on_trial() -> StoreLoads:
    """Return a store whose limit of four is on trial, after three loads on time."""
    store = StoreLoads()
    for number in range(3):
        store.begin(f"s{number}", FULL_SPEED_S, 100.0)
    for number in range(3):
        store.end(f"s{number}", 106.1)
    return store


def test_limit_on_trial_is_not_handed_over() -> None:
    """Guards against a successor that runs four loads where three are carried.

    The fourth load had just begun as the leader was replaced, and took 11 s.
    """
    store = store_on_trial()
    assert (store.limit, store.limit_to_hand_over) == (4, 3)
    for number in range(4):
        store.begin(f"s{number}", FULL_SPEED_S, 106.2)
    assert store.limit_to_hand_over == 3
    # The trial has succeeded.
    store.end("s3", 112.3)
    assert store.limit_to_hand_over == 4


def test_one_load_at_a_time_tries_a_higher_limit() -> None:
    """Guards against further slow loads before the first one shows the limit.

    While a load of 11 s ran as the fourth, three more began as soon as others ended.
    """
    store = store_on_trial()
    for number in range(4):
        store.begin(f"s{number}", FULL_SPEED_S, 106.2)
    store.end("s0", 112.3)
    assert store.running >= store.limit
    store.end("s1", 112.3)
    assert store.running < store.limit
    # The trial has failed.
    store.end("s3", 106.2 + FULL_SPEED_S * 4 / 3)
    assert store.limit == 3


def test_lost_trial_is_repeated() -> None:
    """Guards against a limit that is never tried again after a server was lost."""
    store = store_on_trial()
    for number in range(4):
        store.begin(f"s{number}", FULL_SPEED_S, 106.2)
    store.record_lost_server("s3")
    store.drop_ended_loads(106.2 + 2 * FULL_SPEED_S)
    for number in range(3):
        store.end(f"s{number}", 112.3)
    assert store.limit == 4


def test_handed_over_number_is_kept_after_slow_loads() -> None:
    """Guards against a store of which a third stays unused for the rest of the day.

    Beside two loads that were not counted, one that was counted as one of three took
    10.9 s in place of 7.8 s, and from then on two ran at a time.
    """
    first = store_on_trial()
    store = StoreLoads()
    store.inherit_limit(first.limit_to_hand_over, 100.0, first.proven_concurrency)
    for number in range(3):
        store.begin(f"s{number}", FULL_SPEED_S, 100.0)
    store.record_late_loads(108.0)
    assert store.limit == 3
    store.end("s2", 100.0 + FULL_SPEED_S * 5 / 3)
    assert store.limit == 3


def test_number_that_is_slow_again_and_again_is_lowered() -> None:
    """Guards against a number that proved itself once and is never given up."""
    store = store_on_trial()
    for at in (110.0, 130.0):
        for number in range(3):
            store.begin(f"s{number}", FULL_SPEED_S, at)
        for number in range(3):
            store.end(f"s{number}", at + FULL_SPEED_S * 1.5)
    assert store.limit == 2


def test_limit_that_is_handed_over_keeps_the_number_of_the_ledger() -> None:
    """Guards against a message of the last leader that hides what its ledger has."""
    store = StoreLoads()
    store.inherit_limit(3, 100.0, 3)
    store.inherit_limit(3, 100.1)
    assert store.proven_concurrency == 3
