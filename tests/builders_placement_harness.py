"""Builders for tests of the leader, with a harness whose orders a test answers."""

from __future__ import annotations

from collections.abc import Iterable

from siskinspool.core.message import Message
from siskinspool.gateway.messages import (
    DemandReport,
    HoldingsRead,
    LeadershipExtended,
    LeadershipHeld,
    OrderEnded,
    OrderResult,
    PlacementRequest,
    ReadHoldings,
    ServerOrder,
)
from siskinspool.gateway.placement import Placement
from siskinspool.gateway.servers import Holdings
from siskinspool.gateway.store_limit import INITIAL_LIMIT

from .builders_gateway import (
    desired_state,
    engine,
    holdings,
    incoming,
    messages,
    scheduling,
    server,
)

# Loads that a leader starts at once, before it has measured the store's limit.
FIRST_STORE_MODELS = ("m1", "m2", "m3")


class PlacementHarness:
    """A placement decision in a leadership term; the test answers its orders."""

    def __init__(self, first_start: bool = True, **features: bool) -> None:
        self.now = 100.0
        self.decision = Placement("g1", first_start, scheduling(**features))
        self.reports: dict[str, Holdings] = {}
        # Servers that do not answer.
        self.silent: set[str] = set()
        # Times until which requesters can be served, by gateway, model and adapter.
        self.until_by_source: dict[tuple[str, str, str], list[float]] = {}

    def send(self, message: Message, sender: str = "g2") -> list[Message]:
        return self.settle(
            messages(self.decision.handle(incoming(message, sender), self.now))
        )

    def settle(self, found: list[Message]) -> list[Message]:
        """Answer reads of reports; return all other messages."""
        rest: list[Message] = []
        for message in found:
            if isinstance(message, ReadHoldings):
                report = self.reports.get(message.server_id)
                if message.server_id in self.silent:
                    report = None
                rest += self.send(HoldingsRead(message.server_id, report))
            else:
                rest.append(message)
        return rest

    def add_server(self, server_id: str, *models: str, **changes: object) -> None:
        zone = str(changes.pop("zone", "a"))
        report = holdings(*models, count=0, **changes)
        self.reports[server_id] = report
        self.send(server(server_id, *models, zone=zone))

    def begin_term(self, epoch: int = 7) -> list[Message]:
        found = self.send(LeadershipHeld(epoch, self.now))
        return found + self.send(LeadershipExtended(self.now + 1000.0))

    def request(
        self,
        model: str,
        adapter: str = "",
        gateway: str = "g2",
        reach_s: tuple[float, ...] = (),
    ) -> list[Message]:
        """Send a gateway's placement request, with new and still waiting requesters."""
        until = self.until_by_source.setdefault((gateway, model, adapter), [])
        until[:] = [at for at in until if at > self.now]
        until += [self.now + seconds for seconds in reach_s]
        placement_request = PlacementRequest(
            "writers",
            model,
            adapter,
            "",
            waiting=max(len(reach_s), 1),
            reach_s=tuple(at - self.now for at in until),
            fresh_reach_s=reach_s,
        )
        # Gateways count their new requesters in their reports, too.
        counts = {model: float(len(reach_s))}
        demand_report = DemandReport("writers", {}, requesters_by_model=counts)
        return self.send(demand_report, gateway) + self.send(placement_request, gateway)

    def end(self, order: ServerOrder, result: OrderResult) -> list[Message]:
        return self.send(OrderEnded(order, result))

    def advance_time(self, seconds: float) -> list[Message]:
        self.now += seconds
        return self.settle(messages(self.decision.on_time(self.now)))

    def finish_load(self, order: ServerOrder, seconds: float) -> list[Message]:
        """End a model load, with the report that shows it."""
        known = self.reports[order.server_id]
        names = {*known.model_by_name, order.model}
        self.reports[order.server_id] = holdings(
            *names, count=order.expected_count + 1, on_disk=known.on_disk
        )
        return self.advance_time(seconds)


def ready_harness(**changes: object) -> PlacementHarness:
    """Return a harness with one server that has room for two models."""
    harness = PlacementHarness()
    harness.send(desired_state())
    harness.add_server("s1", "m0", on_disk=frozenset({"m0", "m1", "m2", "m3", "m4"}))
    harness.begin_term()
    return harness


def orders(found: list[Message]) -> list[ServerOrder]:
    return [one for one in found if isinstance(one, ServerOrder)]


def accept_orders(
    harness: PlacementHarness, found: Iterable[ServerOrder]
) -> list[ServerOrder]:
    """Let servers accept orders and start the loads."""
    accepted = list(found)
    for order in accepted:
        harness.end(order, OrderResult.ACCEPTED)
        known = harness.reports[order.server_id]
        report = holdings(
            *known.model_by_name,
            count=order.expected_count + 1,
            busy=True,
            on_disk=known.on_disk,
        )
        harness.reports[order.server_id] = report
    return accepted


def harness_with_full_store(
    spare_servers: int = 2, loads: int = INITIAL_LIMIT
) -> tuple[PlacementHarness, list[ServerOrder]]:
    """Return a harness with loads from the store in flight, and their orders.

    Each server has room for one model; ``m0`` is ready on ``s0``.
    """
    harness = PlacementHarness()
    names = tuple(f"m{number}" for number in range(9))
    spec = engine(*names, weights_mb=75_000.0, store_loads_per_s=30.0)
    harness.send(desired_state(engine_spec=spec))
    harness.add_server("s0", "m0", on_disk=frozenset({"m0"}))
    for number in range(1, loads + 1 + spare_servers):
        harness.add_server(f"s{number}", on_disk=frozenset())
    harness.begin_term()
    harness.send(DemandReport("writers", {"m0": 100}))
    running: list[ServerOrder] = []
    for model in FIRST_STORE_MODELS[:loads]:
        requested = harness.request(model, reach_s=(11.0,))
        running += accept_orders(
            harness, orders(requested + harness.advance_time(0.05))
        )
    assert [order.model for order in running] == list(FIRST_STORE_MODELS[:loads])
    return harness, running
