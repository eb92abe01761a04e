"""Routing with the fair order: refusals, kept places and changes of the leader."""

from __future__ import annotations

import pytest

from siskinspool.core.message import Message, Outgoing
from siskinspool.fairness.server_places import MAX_FIGURE_TTL_S
from siskinspool.gateway.messages import (
    AssignRefused,
    AssignServer,
    AttemptEnded,
    AttemptResult,
    LeaderChanged,
    ModelExpected,
    ServerAssigned,
)
from siskinspool.gateway.routing import Routing
from siskinspool.gateway.servers import ServerLoad

from .builders_gateway import (
    assign,
    bounds,
    desired_state,
    incoming,
    messages,
    scheduling,
    server,
)


class FairHarness:
    """Drives a routing decision with one server of 4 slots, whose runs take 1 s."""

    def __init__(self) -> None:
        self.now = 50.0
        # The requests that got a server, in order.
        self.assigned_ids: list[str] = []
        settings = scheduling(fair_queueing=True)
        self._decision = Routing("g1", "a", bounds(cold=None, retry=None), settings)
        self.send(desired_state(cold_per_s=0.0))
        self.send(server("s1", "m0", slots=4))

    def send(self, message: Message) -> list[Message]:
        task = message.request_id if isinstance(message, AssignServer) else "test"
        batch = self._decision.handle(incoming(message, task=task), self.now)
        return self._record(batch)

    def advance(self, seconds: float) -> list[Message]:
        self.now += seconds
        return self._record(self._decision.on_time(self.now))

    def _record(self, batch: list[Outgoing]) -> list[Message]:
        self.assigned_ids += [
            outgoing.recipient.task
            for outgoing in batch
            if isinstance(outgoing.message, ServerAssigned)
        ]
        return messages(batch)

    def fill(self) -> None:
        """Send a request and let its answer say that the server is full."""
        self.send(assign("first"))
        self.now += 1.0
        self.end("first", running=4, waiting=4)

    def end(self, request_id: str, *, running: int, waiting: int) -> list[Message]:
        return self.send(
            AttemptEnded(
                request_id=request_id,
                server_id="s1",
                result=AttemptResult.ANSWERED,
                load=ServerLoad(running=running, waiting=waiting, slots=4),
            )
        )


def test_arrival_does_not_overtake_those_that_wait() -> None:
    """Guards against arrivals that take the place others wait for."""
    harness = FairHarness()
    harness.fill()
    harness.send(assign("r1", team="a"))
    harness.send(assign("r2", team="b"))
    # The figure of the server is old enough for one request, which r3 must not be.
    harness.now += MAX_FIGURE_TTL_S
    harness.send(assign("r3", team="c"))
    assert harness.assigned_ids == ["first"]
    harness.advance(0.01)
    assert harness.assigned_ids == ["first", "r1"]
    harness.end("r1", running=2, waiting=0)
    assert harness.assigned_ids == ["first", "r1", "r2", "r3"]


def test_last_estimate_counts_when_the_leader_changes() -> None:
    """Guards against a new leader, who knows no estimates, making advice worthless."""
    harness = FairHarness()
    harness.send(LeaderChanged("g2"))
    harness.send(assign("r1", model="m1", max_wait_s=0.5, reach_s=2.0, deadline_s=9.0))
    harness.send(ModelExpected("m1", "", 2.0))
    harness.send(LeaderChanged("g3"))
    refusals = [
        message
        for message in harness.advance(0.5)
        if isinstance(message, AssignRefused)
    ]
    assert len(refusals) == 1
    assert refusals[0].retry_after_s == pytest.approx(1.7, abs=0.25)


def test_request_without_a_chance_is_refused_before_its_time() -> None:
    """Guards against requests that are held until their deadline for nothing."""
    harness = FairHarness()
    harness.fill()
    for number in range(40):
        harness.send(assign(f"r{number}", max_wait_s=3.9, reach_s=4.5, deadline_s=5.0))
    refused = 0
    for number in range(10):
        # Two places come free each second.
        for message in harness.advance(0.5):
            refused += isinstance(message, AssignRefused)
        harness.end(f"r{number}", running=3, waiting=0)
        if number == 3:
            break
    # Within 2 s of 3.9 s, most of those behind the first ones have been told.
    assert refused > 20
