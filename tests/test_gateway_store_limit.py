"""How many loads from the weight store run at a time."""

from __future__ import annotations

from siskinspool.gateway.store_limit import FIRST_LIMIT, StoreLoads

FULL_SPEED_S = 6.0


def test_loads_that_slow_each_other_down_lower_the_limit() -> None:
    """Guards against servers that all load at a crawl.

    tinhub-ng-grown quiet-1: forty loads ran at once where the store carries three, and
    after 14 s hardly a server was free to load anything.
    """
    store = StoreLoads()
    for number in range(FIRST_LIMIT):
        store.begin(f"s{number}", 100.0)
    assert not store.has_room()
    # The last one takes twice as long: the store carries two.
    store.end("s3", FULL_SPEED_S, 112.0)
    assert store.limit == 2
    assert not store.has_room()


def test_loads_on_time_at_the_limit_raise_it() -> None:
    """Guards against a limit that stays low on a site whose store carries more."""
    store = StoreLoads()
    for number in range(FIRST_LIMIT):
        store.begin(f"s{number}", 100.0)
    store.end("s3", FULL_SPEED_S, 106.2)
    assert store.limit == FIRST_LIMIT + 1
    # A load on time below the limit says nothing about more.
    alone = StoreLoads()
    alone.begin("s0", 100.0)
    alone.end("s0", FULL_SPEED_S, 106.2)
    assert alone.limit == FIRST_LIMIT


def test_load_that_began_before_the_others_does_not_raise_the_limit() -> None:
    """Guards against a limit that rises while the store is overloaded.

    baul-bogota-grown: of four loads that began in turn the first two took 8.0 s, the
    third 12.2 s and the fourth 16.9 s. The first two raised the limit to six, and the
    next loads took up to 21 s.
    """
    store = StoreLoads()
    for number in range(FIRST_LIMIT):
        store.begin(f"s{number}", 100.0)
    store.end("s0", FULL_SPEED_S, 106.2)
    store.end("s1", FULL_SPEED_S, 106.2)
    assert store.limit == FIRST_LIMIT
    store.end("s2", FULL_SPEED_S, 109.0)
    assert store.limit == 2


def test_load_of_a_server_that_is_gone_says_nothing() -> None:
    """Guards against a crash that counts as a slow load, and a place lost for good."""
    store = StoreLoads()
    store.begin("s0", 100.0)
    store.drop("s0")
    store.end("s0", FULL_SPEED_S, 200.0)
    assert (store.limit, store.running) == (FIRST_LIMIT, 0)


def test_queue_tells_how_long_another_load_waits() -> None:
    """Guards against promises that overlook the loads ahead."""
    store = StoreLoads()
    assert store.wait_s(FULL_SPEED_S, queued=0) == 0.0
    for number in range(FIRST_LIMIT):
        store.begin(f"s{number}", 100.0)
    assert store.wait_s(FULL_SPEED_S, queued=FIRST_LIMIT) > FULL_SPEED_S


def test_slow_load_that_ran_alone_does_not_lower_the_limit() -> None:
    """Guards against a limit of one because the end of a load was seen late."""
    store = StoreLoads()
    store.begin("s0", 100.0)
    store.end("s0", FULL_SPEED_S, 120.0)
    assert store.limit == FIRST_LIMIT
