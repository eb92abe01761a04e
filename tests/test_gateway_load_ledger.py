"""The ledger of in-flight loads, which a new leader takes over from its predecessor."""

from __future__ import annotations

import time

import attrs
import pytest

from siskinspool.core.message import Message
from siskinspool.gateway.demand import MAX_RECORDED_MODELS, RequesterCounts
from siskinspool.gateway.load_ledger import (
    LEDGER_KEY,
    LoadEntry,
    LoadsHandedOver,
    ServiceLoads,
    ServiceRecord,
    decode_loads,
    encode_loads,
)
from siskinspool.gateway.messages import (
    DemandReport,
    LeadershipLost,
    ModelExpected,
    OrderResult,
)
from siskinspool.gateway.servers import RegistryInterrupted, RegistryListed
from siskinspool.store.kv import KvAnswerLost, KvGet, KvSwap, KvSwapped, KvValue
from siskinspool.store.revision import make_revision

from .builders_gateway import desired_state, engine, holdings
from .builders_placement_harness import PlacementHarness, orders


def requests(found: list[Message]) -> list[KvGet | KvSwap]:
    return [one for one in found if isinstance(one, KvGet | KvSwap)]


def ends_in(seconds: int) -> int:
    """Return a time of day, in seconds of Unix time."""
    return round(time.time()) + seconds


def harness_with_servers(*, busy: bool) -> PlacementHarness:
    """Return a harness before its term; ``s0`` may carry out its second order."""
    harness = PlacementHarness()
    names = tuple(f"m{number}" for number in range(6))
    spec = engine(*names, weights_mb=75_000.0, store_loads_per_s=30.0)
    harness.send(desired_state(engine_spec=spec))
    harness.add_server("s0", on_disk=frozenset(), busy=busy)
    harness.reports["s0"] = holdings(count=2, on_disk=frozenset(), busy=busy)
    for number in range(1, 5):
        harness.add_server(f"s{number}", on_disk=frozenset())
    return harness


def begin_term_with_ledger(harness: PlacementHarness, loads: ServiceRecord) -> None:
    """Begin a term, and answer the read of the ledger."""
    read = requests(harness.begin_term())[0]
    value = encode_loads({"writers": loads})
    harness.send(KvValue(read.request_id, LEDGER_KEY, value, 9))
    harness.send(DemandReport("writers", {"m0": 100}))


def test_model_that_a_predecessor_loads_is_not_loaded_a_second_time() -> None:
    """Guards against two loads of one model after a change of the leader.

    A report does not name the model that is loading, so a new leader ordered the two
    loads of its predecessor again on other servers.
    """
    harness = harness_with_servers(busy=True)
    entry = LoadEntry("s0", 1, "m1", 2, ends_in(4))
    begin_term_with_ledger(harness, ServiceRecord(2, frozenset({entry})))
    harness.request("m2", reach_s=(11.0,))
    answer = harness.request("m1", reach_s=(11.0,))
    found = orders(answer + harness.advance_time(0.3))
    assert "m1" not in {order.model for order in found}
    expected = [one for one in answer if isinstance(one, ModelExpected)]
    assert expected[0].is_loading
    assert 2.0 <= expected[0].in_s <= 5.0
    servers = harness.decision.status(harness.now)["servers"]
    assert isinstance(servers, dict)
    assert servers["s0"]["models"] == ["m1"]


def test_leader_cut_off_from_the_store_sends_its_loads_to_its_successor() -> None:
    """Guards against a successor that repeats the loads of a cut-off leader.

    The platform's store refused the leader's write, so its ledger lacked a load that it
    started half a second later, and the next leader planned it once more.
    """
    old = harness_with_servers(busy=False)
    old.begin_term()
    old.send(DemandReport("writers", {"m0": 100}))
    order = orders(old.request("m1", reach_s=(11.0,)))[0]
    old.end(order, OrderResult.ACCEPTED)
    sent = old.send(LeadershipLost("g3"))
    handed_over = [one for one in sent if isinstance(one, LoadsHandedOver)]
    assert [len(found.loads) for found in handed_over[0].loads_by_service.values()] == [
        1
    ]
    new = harness_with_servers(busy=False)
    new.reports[order.server_id] = holdings(
        count=order.expected_count + 1, on_disk=frozenset(), busy=True
    )
    read = requests(new.begin_term())[0]
    new.send(KvAnswerLost(read.request_id, LEDGER_KEY))
    new.send(handed_over[0], "g1")
    new.send(DemandReport("writers", {"m0": 100}))
    answer = new.request("m1", reach_s=(11.0,))
    assert "m1" not in {one.model for one in orders(answer + new.advance_time(0.3))}
    expected = [one for one in answer if isinstance(one, ModelExpected)]
    assert expected[0].is_loading


def test_leader_that_does_not_know_its_successor_sends_no_loads() -> None:
    """Guards against a message without a recipient."""
    harness = harness_with_servers(busy=False)
    harness.begin_term()
    assert harness.send(LeadershipLost()) == []


def test_entry_of_a_finished_order_is_ignored() -> None:
    """Guards against a stale entry that hides a model from a server."""
    harness = harness_with_servers(busy=True)
    of_an_earlier_order = LoadEntry("s0", 1, "m1", 1, ends_in(4))
    of_an_earlier_start = LoadEntry("s0", 0, "m1", 2, ends_in(4))
    entries = frozenset({of_an_earlier_order, of_an_earlier_start})
    begin_term_with_ledger(harness, ServiceRecord(2, entries))
    found = orders(harness.request("m1", reach_s=(11.0,)) + harness.advance_time(0.3))
    assert [order.model for order in found] == ["m1"]


def test_new_leader_inherits_the_limit_of_the_store() -> None:
    """Guards against four parallel loads where two run at full speed.

    None of the five loads that a new leader started from 20.9 s on had ended at 31.5 s,
    when the next leader started four more.
    """
    harness = harness_with_servers(busy=False)
    begin_term_with_ledger(harness, ServiceRecord(2, frozenset()))
    found = []
    for model in ("m1", "m2", "m3", "m4"):
        for order in orders(
            harness.request(model, reach_s=(11.0,)) + harness.advance_time(0.1)
        ):
            found.append(order)
            harness.end(order, OrderResult.ACCEPTED)
    assert len(found) == 2


def test_loads_are_written_as_they_begin() -> None:
    """Guards against a successor that lacks loads, and against needless writes."""
    harness = harness_with_servers(busy=False)
    read = requests(harness.begin_term())[0]
    assert isinstance(read, KvGet)
    assert requests(harness.advance_time(0.3)) == []
    harness.send(KvValue(read.request_id, LEDGER_KEY, None, 0))
    harness.send(DemandReport("writers", {"m0": 100}))
    order = orders(harness.request("m1", reach_s=(11.0,)))[0]
    harness.end(order, OrderResult.ACCEPTED)
    harness.reports[order.server_id] = holdings(
        count=order.expected_count + 1, busy=True, on_disk=frozenset()
    )
    swap = requests(harness.advance_time(0.25))[0]
    assert isinstance(swap, KvSwap)
    assert swap.expected_revision == 0
    entry = LoadEntry(order.server_id, 1, "m1", order.expected_count + 1, ends_in(6))
    assert decode_loads(swap.value)["writers"].loads == {entry}
    harness.send(KvSwapped(swap.request_id, LEDGER_KEY, 12))
    assert requests(harness.advance_time(0.25)) == []


def test_write_without_an_answer_is_read_before_the_next() -> None:
    """Guards against a leader that overwrites entries it has not read."""
    harness = harness_with_servers(busy=False)
    read = requests(harness.begin_term())[0]
    harness.send(KvAnswerLost(read.request_id, LEDGER_KEY))
    assert requests(harness.advance_time(0.3)) == []
    again = requests(harness.advance_time(1.0))
    assert [type(one) for one in again] == [KvGet]


def test_malformed_ledger_is_ignored() -> None:
    """Guards against a leader that fails on an unreadable ledger."""
    assert decode_loads(b"\xff") == {}
    assert decode_loads(b'{"writers": {"limit": 0, "loads": []}}') == {}


def test_ledger_read_late_does_not_hide_a_load_that_was_handed_over() -> None:
    """Guards against a stale entry that replaces a newer one."""
    harness = harness_with_servers(busy=True)
    read = requests(harness.begin_term())[0]
    # The report is read only for a placement request.
    newer = LoadEntry("s0", 1, "m1", 2, ends_in(4))
    handed_over = {"writers": ServiceLoads(2, frozenset({newer}))}
    harness.send(LoadsHandedOver(handed_over), "g1")
    older = LoadEntry("s0", 1, "m3", 1, ends_in(0))
    value = encode_loads({"writers": ServiceRecord(2, frozenset({older}))})
    harness.send(KvValue(read.request_id, LEDGER_KEY, value, 9))
    harness.send(DemandReport("writers", {"m0": 100}))
    answer = harness.request("m1", reach_s=(11.0,))
    assert "m1" not in {one.model for one in orders(answer + harness.advance_time(0.3))}


def test_unanswered_order_is_handed_over() -> None:
    """Guards against a second load of a model whose order was unanswered."""
    old = harness_with_servers(busy=False)
    old.begin_term()
    old.send(DemandReport("writers", {"m0": 100}))
    order = orders(old.request("m1", reach_s=(11.0,)))[0]
    sent = old.send(LeadershipLost("g3"))
    handed_over = [one for one in sent if isinstance(one, LoadsHandedOver)]
    entries = handed_over[0].loads_by_service["writers"].loads
    assert [(one.server_id, one.model, one.order_count) for one in entries] == [
        (order.server_id, "m1", order.expected_count + 1)
    ]


def test_number_of_loads_that_ran_at_full_speed_is_handed_over() -> None:
    """Guards against a limit that a successor lowers after a load beside lost ones."""
    loads = {"writers": ServiceRecord(4, frozenset(), proven_concurrency=3)}
    assert decode_loads(encode_loads(loads)) == loads
    # Written by a gateway of an earlier build.
    early = decode_loads(b'{"writers": {"limit": 4, "loads": []}}')
    assert early["writers"].proven_concurrency == 0


def started_loads(harness: PlacementHarness) -> list[str]:
    """Request four models; return those whose loads start."""
    found = []
    for model in ("m1", "m2", "m3", "m4"):
        for order in orders(
            harness.request(model, reach_s=(11.0,)) + harness.advance_time(0.1)
        ):
            found.append(order.model)
            harness.end(order, OrderResult.ACCEPTED)
    return found


@pytest.mark.parametrize("born_ms", [1, 2], ids=["gone", "restarted"])
def test_load_of_a_predecessor_on_a_lost_server_holds_its_slot(born_ms: int) -> None:
    """Guards against loads that slow each other down after crashes and a succession.

    A server crashed in the middle of a load, the next leader did not count it, and
    three loads began as four and five of three.
    """
    harness = harness_with_servers(busy=False)
    server_id = "s9" if born_ms == 1 else "s1"
    harness.reports["s1"] = holdings(count=0, on_disk=frozenset(), born_ms=born_ms)
    entry = LoadEntry(server_id, 1, "m5", 2, ends_in(5))
    begin_term_with_ledger(harness, ServiceRecord(2, frozenset({entry})))
    assert started_loads(harness) == ["m1"]
    assert len(orders(harness.advance_time(6.0))) == 1


@pytest.mark.parametrize(
    "count", [1, 2, 3], ids=["not-accepted", "done", "later-order"]
)
def test_load_of_a_predecessor_that_does_not_run_holds_no_slot(count: int) -> None:
    """Guards against a store that stays unused until an old entry expires."""
    harness = harness_with_servers(busy=False)
    harness.reports["s1"] = holdings(count=count, on_disk=frozenset())
    entry = LoadEntry("s1", 1, "m5", 2, ends_in(5))
    begin_term_with_ledger(harness, ServiceRecord(2, frozenset({entry})))
    assert len(started_loads(harness)) == 2


def ledger_of_a_leader() -> ServiceRecord:
    """Return what a leader records; ``m5`` has had four requesters, who have left."""
    harness = harness_with_servers(busy=False)
    read = requests(harness.begin_term())[0]
    harness.send(KvValue(read.request_id, LEDGER_KEY, None, 0))
    harness.send(DemandReport("writers", {"m0": 100}, requesters_by_model={"m5": 4}))
    order = orders(harness.request("m1", reach_s=(11.0,)))[0]
    harness.end(order, OrderResult.ACCEPTED)
    swap = requests(harness.advance_time(0.25))[0]
    assert isinstance(swap, KvSwap)
    return decode_loads(swap.value)["writers"]


def first_load(recorded: ServiceRecord) -> str:
    """Return the first model that a new leader loads while one waits for ``m2``."""
    harness = harness_with_servers(busy=False)
    # The load of a lost server holds the only slot for a moment.
    entry = LoadEntry("s9", 1, "m0", 2, ends_in(2))
    one_slot = attrs.evolve(recorded, limit=1, loads=frozenset({entry}))
    begin_term_with_ledger(harness, one_slot)
    found = orders(harness.request("m2", reach_s=(11.0,)))
    for _ in range(20):
        found += orders(harness.advance_time(0.25))
    return found[0].model


def test_requesters_are_known_after_all_gateways_have_ended() -> None:
    """Guards against slots that go by chance once nobody knows the requesters so far.

    All gateways ended at once. From then on models with one requester were loaded, and
    one that had had four and got three more was never loaded.
    """
    recorded = ledger_of_a_leader()
    assert recorded.requesters_by_model["m5"] == pytest.approx(4.0, abs=0.1)
    assert first_load(recorded) == "m5"


def test_requesters_of_an_old_record_do_not_count() -> None:
    """Guards against slots for models that were requested long ago."""
    recorded = ledger_of_a_leader()
    an_hour_ago = recorded.recorded_at_unix_s - 3_600
    old = attrs.evolve(recorded, recorded_at_unix_s=an_hour_ago)
    assert first_load(old) == "m2"


def test_recorded_and_reported_requesters_are_not_added() -> None:
    """Guards against requesters that count twice after a change of the leader."""
    requesters = RequesterCounts()
    requesters.add("m5", 3.0, 100.0)
    before = requesters.rate_per_s("m5", 100.0)
    requesters.inherit({"m5": 2.0}, 100.0)
    assert requesters.rate_per_s("m5", 100.0) == before
    requesters.inherit({"m5": 6.0}, 100.0)
    assert requesters.rate_per_s("m5", 100.0) == pytest.approx(2 * before)


def test_record_of_requesters_is_bounded() -> None:
    """Guards against a record that grows with the number of models."""
    requesters = RequesterCounts()
    names = [f"m{number:04}" for number in range(1_700)]
    for number, name in enumerate(names):
        requesters.add(name, number, 100.0)
    largest = requesters.largest(names, 100.0)
    assert set(largest) == set(names[-MAX_RECORDED_MODELS:])


def test_record_that_the_store_has_lost_is_written_again() -> None:
    """Guards against loads that no successor knows after a return of the store."""
    harness = harness_with_servers(busy=False)
    begin_term_with_ledger(harness, ServiceRecord(2, frozenset()))
    harness.request("m1", reach_s=(11.0,))
    write = requests(harness.advance_time(0.5))[-1]
    assert isinstance(write, KvSwap)
    harness.send(KvSwapped(write.request_id, LEDGER_KEY, make_revision(1, 20)))
    assert requests(harness.advance_time(0.5)) == []
    harness.send(RegistryInterrupted())
    harness.send(RegistryListed())
    (read,) = requests(harness.advance_time(0.5))
    assert isinstance(read, KvGet)
    lost = make_revision(2, 9)
    empty = encode_loads({"writers": ServiceRecord(2, frozenset())})
    harness.send(KvValue(read.request_id, LEDGER_KEY, empty, lost))
    (again,) = requests(harness.advance_time(0.5))
    assert isinstance(again, KvSwap)
    assert again.expected_revision == lost
    assert decode_loads(again.value)["writers"].loads
