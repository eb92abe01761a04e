"""Cold servers: the gateways together keep to the rate that one can handle."""

from __future__ import annotations

import pytest

from siskinspool.core.message import Message
from siskinspool.gateway.cold_server_limit import FORMER_MEMBER_S
from siskinspool.gateway.messages import ServerAssigned
from siskinspool.gateway.routing import Routing

from .builders_gateway import (
    COLD_BOUNDS,
    assign,
    bounds,
    desired_state,
    incoming,
    membership,
    messages,
    scheduling,
    server,
)

COLD_PER_S = 7.5
LIMIT_PER_S = COLD_PER_S * COLD_BOUNDS.overage + COLD_BOUNDS.slack
COLD = server("s1", "m0", cold_s=3.0)
WARM = server("s1", "m0")


class Gateways:
    """The routing decisions of some gateways, with more requests than they may send."""

    def __init__(self, count: int) -> None:
        self.now = 50.0
        self.by_name: dict[str, Routing] = {}
        # Times at which a request was assigned to the server.
        self.sent_at: list[float] = []
        self._numbers = iter(range(1_000_000))
        for number in range(count):
            self.start(f"g{number}")

    def start(self, name: str) -> None:
        """Start a gateway that knows no others and no desired state."""
        self.by_name[name] = Routing(name, "a", bounds(), scheduling())

    def send(self, message: Message, *names: str) -> None:
        """Send a message to some gateways, or to all."""
        for name in names or list(self.by_name):
            self.by_name[name].handle(incoming(message), self.now)

    def share_members(self, *names: str) -> None:
        """Tell some gateways, or all, who is there at present."""
        self.send(membership(*self.by_name), *names)

    def run(self, seconds: float) -> None:
        """Let requests come to each gateway at 20 a second."""
        for _ in range(round(seconds * 20)):
            for decision in self.by_name.values():
                request = assign(f"r{next(self._numbers)}")
                for reply in messages(decision.handle(incoming(request), self.now)):
                    if isinstance(reply, ServerAssigned):
                        self.sent_at.append(self.now)
            self.now += 0.05

    def most_in_a_second(self, since: float) -> int:
        """Return the most requests that were sent within a second."""
        times = [at for at in self.sent_at if at >= since]
        return max(
            (sum(begin <= at < begin + 1.0 for at in times) for begin in times),
            default=0,
        )


def settled(count: int) -> Gateways:
    """Return gateways that have used a warm server for some time."""
    gateways = Gateways(count)
    # At a start a gateway may see the server before all else.
    gateways.send(WARM)
    gateways.send(desired_state())
    gateways.share_members()
    gateways.run(1.0)
    return gateways


@pytest.mark.parametrize("count", [1, 4, 9, 90])
def test_server_that_becomes_cold_again_is_not_overloaded(count: int) -> None:
    """Guards against a share that was fixed when the server was first seen.

    Four gateways sent 23 requests in a second, allowed 16, and the server crashed.
    """
    gateways = settled(count)
    for _ in range(2):
        cold_at = gateways.now
        gateways.send(COLD)
        gateways.run(2.5)
        assert 0 < gateways.most_in_a_second(cold_at) <= LIMIT_PER_S
        gateways.run(2.0)
        assert gateways.most_in_a_second(gateways.now - 1.0) > LIMIT_PER_S


@pytest.mark.parametrize("count", [1, 4, 9, 90])
def test_gateway_that_joins_does_not_overload_a_cold_server(count: int) -> None:
    """Guards against a new gateway that the others do not know of yet."""
    gateways = settled(count)
    cold_at = gateways.now
    gateways.send(COLD)
    gateways.run(0.5)
    gateways.start("new")
    gateways.send(desired_state(), "new")
    gateways.send(COLD, "new")
    # It does not know the others before they know it.
    gateways.run(0.2)
    gateways.share_members("new")
    gateways.run(0.5)
    gateways.share_members()
    gateways.run(1.0)
    assert gateways.most_in_a_second(cold_at) <= LIMIT_PER_S


@pytest.mark.parametrize("count", [2, 4, 9, 90])
def test_gateway_that_is_cut_off_does_not_overload_a_cold_server(count: int) -> None:
    """Guards against members that take the share of one that still sends."""
    gateways = settled(count)
    others = [name for name in gateways.by_name if name != "g0"]
    gateways.send(membership(*others), *others)
    cold_at = gateways.now
    gateways.send(COLD)
    gateways.run(2.5)
    assert gateways.most_in_a_second(cold_at) <= LIMIT_PER_S


def test_share_of_a_gateway_that_left_is_used_later() -> None:
    """Guards against a ramp that stays slow after gateways were removed for good."""
    gateways = settled(9)
    for number in range(1, 9):
        del gateways.by_name[f"g{number}"]
    gateways.share_members()
    gateways.send(COLD)
    gateways.run(2.5)
    few = gateways.most_in_a_second(gateways.now - 2.0)
    gateways.now += FORMER_MEMBER_S
    gateways.send(COLD)
    gateways.run(2.5)
    assert gateways.most_in_a_second(gateways.now - 2.0) > 2 * few


@pytest.mark.parametrize("late", ["members", "desired"])
def test_cold_server_waits_for_what_limits_it(late: str) -> None:
    """Guards against an unlimited rate before the members or the limit are known."""
    gateways = Gateways(4)
    if late == "members":
        gateways.send(desired_state())
    gateways.send(COLD)
    cold_at = gateways.now
    if late == "members":
        gateways.run(0.2)
        assert not gateways.sent_at
    gateways.share_members()
    gateways.send(desired_state())
    gateways.run(2.0)
    assert 0 < gateways.most_in_a_second(cold_at) <= LIMIT_PER_S


def test_gateways_share_the_rate_of_a_cold_server() -> None:
    """Guards against gateways that together overload a cold server."""
    total = 0
    members = [f"g{number}" for number in range(1, 10)]
    for name in members:
        decision = Routing(name, "a", bounds(), scheduling())
        decision.handle(incoming(desired_state()), 0.0)
        decision.handle(incoming(membership(*members)), 0.0)
        decision.handle(incoming(server("s1", "m0", cold_s=3.0)), 0.0)
        for number in range(40):
            at = number / 40
            found = messages(decision.handle(incoming(assign(f"r{number}")), at))
            total += sum(isinstance(one, ServerAssigned) for one in found)
    assert 0 < total <= 7.5 * COLD_BOUNDS.overage + COLD_BOUNDS.slack


def test_cold_server_with_a_low_rate_is_used_by_few_gateways() -> None:
    """Guards against a total limit that is smaller than one request per gateway."""
    members = [f"g{number}" for number in range(90)]
    served = 0
    for name in members:
        decision = Routing(name, "a", bounds(), scheduling())
        decision.handle(incoming(desired_state()), 0.0)
        decision.handle(incoming(membership(*members)), 0.0)
        decision.handle(incoming(server("s1", "m0", cold_s=3.0)), 0.0)
        found = messages(decision.handle(incoming(assign()), 0.0))
        served += sum(isinstance(one, ServerAssigned) for one in found)
    assert 0 < served <= 16
