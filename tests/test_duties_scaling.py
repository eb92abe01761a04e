"""The decisions about the numbers of servers."""

from __future__ import annotations

import math

import attrs
from hypothesis import given
from hypothesis import strategies as st

from siskinspool.core.message import Message
from siskinspool.duties.duty_messages import ScaleOrder, ServiceWork, WorkReport
from siskinspool.duties.scale_plan import ZoneState, plan_zones
from siskinspool.duties.scale_total import ScaleTotal
from siskinspool.duties.scaling import REPEAT_S, Scaling
from siskinspool.duties.zone_health import ZoneHealth
from siskinspool.gateway.desired_state import AutoscaleSpec
from siskinspool.gateway.messages import LeadershipExtended, LeadershipHeld
from siskinspool.gateway.servers import ZoneEvacuated

from .builders_duties import TERM_S, duty_settings
from .builders_gateway import desired_state, incoming, member, messages, server

SPEC = AutoscaleSpec(min_servers=13, max_servers=30, boot_s=8.0)
SLOTS = 64.0
ZONE_STATES = st.builds(
    ZoneState,
    ordered=st.integers(0, 40),
    running=st.integers(0, 2000),
    is_usable=st.booleans(),
)


def zone(ordered: int, running: int = 0, *, is_usable: bool = True) -> ZoneState:
    """Return the state of a zone."""
    return ZoneState(ordered=ordered, running=running, is_usable=is_usable)


def totals(
    work_by_second: list[float], zones: list[ZoneState], total: ScaleTotal | None = None
) -> list[int]:
    """Return the number of servers after each second."""
    total = total or ScaleTotal()
    return [
        total.update(work, SLOTS, SPEC, zones, float(second))
        for second, work in enumerate(work_by_second)
    ]


@given(st.dictionaries(st.sampled_from("abcd"), ZONE_STATES), st.integers(0, 200))
def test_plan_stays_in_range_and_out_of_unusable_zones(
    states: dict[str, ZoneState], total: int
) -> None:
    """Guards against orders out of range, or servers for a lost or evacuated zone."""
    planned = plan_zones(SPEC, states, total)
    usable = [name for name, state in states.items() if state.is_usable]
    assert planned.keys() == states.keys()
    assert all(13 <= count <= 30 for count in planned.values())
    assert all(planned[name] == 13 for name in states.keys() - set(usable))
    reachable = min(max(total, 13 * len(usable)), 30 * len(usable))
    assert sum(planned[name] for name in usable) == reachable


def test_servers_are_removed_where_least_runs() -> None:
    """Guards against ending the work of a busy zone while another one is idle."""
    states = {"a": zone(20, running=900), "b": zone(20, running=100)}
    assert plan_zones(SPEC, states, 36) == {"a": 20, "b": 16}


def test_lost_zone_is_replaced_elsewhere() -> None:
    """Guards against a deployment that stays small after the loss of a zone."""
    total = ScaleTotal()
    work = 40 * SLOTS * 0.6
    before = totals([work] * 10, [zone(20), zone(20), zone(20)], total)[-1]
    remaining = [zone(20), zone(20), zone(20, is_usable=False)]
    assert before == 60
    after = total.update(work, SLOTS, SPEC, remaining, 10.0)
    assert after == 60
    planned = plan_zones(SPEC, dict(zip("abc", remaining, strict=True)), after)
    assert planned == {"a": 30, "b": 30, "c": 13}


def test_swinging_demand_keeps_the_servers_of_its_peak() -> None:
    """Guards against servers that are ended and started again with each swing."""
    mean = 25 * SLOTS * 0.7
    work = [mean * (1 + 0.55 * math.sin(2 * math.pi * s / 15)) for s in range(120)]
    counts = totals(work, [zone(30), zone(30)])
    assert len(set(counts[60:])) == 1
    assert 38 <= counts[-1] <= 42


def test_idle_servers_are_given_up_and_a_rise_is_followed_at_once() -> None:
    """Guards against paying for idle servers, and against a late start of others."""
    counts = totals([0.0] * 60 + [50 * SLOTS] * 20, [zone(30), zone(30)])
    assert counts[15] == 60
    assert counts[59] == 26
    assert counts[62] == 60


class HolderOfTwoZones:
    """A holder with 20 servers in each of the zones a and b, run second by second."""

    def __init__(self) -> None:
        self.now = 0.0
        self.scaling = Scaling(member("g1"), duty_settings(), 0.0)
        state = desired_state()
        service = attrs.evolve(state.service_by_name["writers"], autoscale=SPEC)
        scaled = {**state.service_by_name, "writers": service}
        self.tell(attrs.evolve(state, service_by_name=scaled))
        self.add_servers(20)
        self.tell(LeadershipHeld(1, 0.0))
        self.tell(LeadershipExtended(TERM_S))

    def tell(self, message: Message) -> None:
        """Pass a message to the decision."""
        self.scaling.handle(incoming(message), self.now)

    def add_servers(self, count: int) -> None:
        """Register servers so that each zone has this many."""
        for zone_name in "ab":
            for number in range(count):
                self.tell(server(f"{zone_name}-{number}", zone=zone_name))

    def run(self, seconds: int, work: float) -> list[tuple[str, int]]:
        """Return the orders of some seconds with this work."""
        orders = []
        for _ in range(seconds):
            self.now += 1.0
            running = {"a": round(work / 2), "b": round(work / 2)}
            self.tell(WorkReport((ServiceWork("writers", 0, running),)))
            for order in messages(self.scaling.on_time(self.now)):
                if isinstance(order, ScaleOrder):
                    orders.append((order.zone, order.desired))
        return orders


def test_new_holder_does_not_end_servers_that_start() -> None:
    """Guards against orders from the servers present while others still boot."""
    holder = HolderOfTwoZones()
    work = 40 * SLOTS * 0.6
    assert holder.run(8, work) == []
    holder.add_servers(24)
    assert set(holder.run(4, work)) == {("a", 24), ("b", 24)}


def test_orders_are_repeated_and_evacuated_zones_are_replaced() -> None:
    """Guards against an old order that is executed late and stays in force."""
    holder = HolderOfTwoZones()
    work = 40 * SLOTS * 0.69
    first = holder.run(15, work)
    assert set(first) == {("a", 20), ("b", 20)}
    repeats = holder.run(round(2 * REPEAT_S), work)
    assert sorted(repeats) == [("a", 20), ("a", 20), ("b", 20), ("b", 20)]
    holder.tell(ZoneEvacuated("b", True))
    orders = dict(holder.run(2, work))
    assert orders == {"a": 30, "b": 13}


def test_lost_zone_gets_servers_only_for_a_trial() -> None:
    """Guards against a zone without power that gets all further servers for good."""
    health = ZoneHealth()
    health.update_server(server("s1", zone="b"), 0.0)
    health.remove_server("s1", 1.0)
    usable = [health.is_usable("b", 1.0 + after_s) for after_s in (1, 30, 61, 90, 121)]
    assert usable == [True, False, True, False, True]
