"""Routing around servers that have stated that they leave or pause."""

from __future__ import annotations

from siskinspool.core.message import Message
from siskinspool.gateway.messages import (
    AnswerHeadReceived,
    AssignRefused,
    AttemptEnded,
    AttemptResult,
    ServerAssigned,
)
from siskinspool.gateway.routing import WAITING_CHECK_INTERVAL_S, Routing
from siskinspool.gateway.servers import ServerRemoved
from siskinspool.server_signals.observations import Observation

from .builders_gateway import (
    assign,
    bounds,
    desired_state,
    holdings,
    incoming,
    membership,
    messages,
    scheduling,
    server,
)
from .builders_signals import answer, leaving, pause, start


class SignalsHarness:
    """Drives the routing of a gateway with plain servers of the service ``desk``."""

    def __init__(self, *server_ids: str) -> None:
        self.now = 50.0
        self.decision = Routing("g1", "a", bounds(), scheduling())
        self.send(desired_state())
        self.send(membership("g1"))
        for server_id in server_ids:
            self.send(server(server_id, service="desk"))

    def send(self, message: Message) -> list[Message]:
        return messages(self.decision.handle(incoming(message), self.now))

    def request(self, request_id: str = "r1", **changes: object) -> list[Message]:
        plain = {"service": "desk", "model": "", "adapter": "", "parts": ()}
        return self.send(assign(request_id, **plain | changes))

    def server_of(self, request_id: str = "r1", **changes: object) -> str | None:
        """Return the server that a request gets, None if it waits or is refused."""
        for message in self.request(request_id, **changes):
            if isinstance(message, ServerAssigned):
                return message.server_id
        return None

    def state(self, stated: Observation) -> list[Message]:
        return self.send(AnswerHeadReceived("r0", stated))

    def advance_until_idle(self, seconds: float) -> tuple[list[Message], int]:
        """Return the messages of a time, and how often the decision was run."""
        until, found, steps = self.now + seconds, [], 0
        while (at := self.decision.wake_at()) is not None and at <= until:
            assert steps < 10_000, "a busy loop"
            self.now = max(self.now, at)
            found += messages(self.decision.on_time(self.now))
            steps += 1
        self.now = until
        return found, steps


def test_leaving_server_is_back_with_its_next_start_only() -> None:
    """Guards against a server that leaves and whose entry expires and returns."""
    site = SignalsHarness("s1", "s2")
    site.state(leaving(start("s1"), site.now))
    assert {site.server_of(f"r{number}") for number in range(9)} == {"s2"}
    site.send(ServerRemoved("s1"))
    site.send(server("s1", service="desk"))
    assert site.server_of("r10") == "s2"
    restarted = holdings(born_ms=2)
    site.send(server("s1", service="desk", holdings=restarted))
    # A late answer of the earlier start.
    site.state(leaving(start("s1", born_ms=1), site.now))
    assert "s1" in {site.server_of(f"q{number}") for number in range(9)}


def test_rejection_with_a_pause_does_not_say_that_the_model_is_missing() -> None:
    """Guards against a server that stays unused for seconds after its pause."""
    site = SignalsHarness()
    site.send(server("s1", "m0"))
    assert isinstance(site.send(assign("r1"))[0], ServerAssigned)
    site.state(pause(start("s1"), site.now, 0.2))
    rejected = AttemptEnded(
        request_id="r1",
        server_id="s1",
        result=AttemptResult.REJECTED,
        retry_after_s=0.2,
    )
    site.send(rejected)
    site.now += 0.5
    assert isinstance(site.send(assign("r1"))[0], ServerAssigned)


def test_request_is_refused_at_once_only_without_a_chance() -> None:
    """Guards against a refusal, or a long wait, that the pauses do not justify."""
    site = SignalsHarness("s1", "s2")
    site.state(pause(start("s1"), site.now, 5.0))
    assert site.server_of("r1", max_wait_s=1.0) == "s2"
    site.state(pause(start("s2"), site.now, 3.0))
    (refused,) = site.request("r2", max_wait_s=1.0)
    assert isinstance(refused, AssignRefused)
    assert 3.0 <= refused.retry_after_s <= 3.5
    assert site.request("r3", max_wait_s=4.0) == []
    # It waited for the pause, which is now longer than it can wait.
    (refused,) = site.state(pause(start("s2"), site.now, 6.0))
    assert isinstance(refused, AssignRefused)


def test_all_servers_paused_and_leaving_at_once() -> None:
    """Guards against a busy loop, a queue sent at once, and a service not back soon."""
    site = SignalsHarness("s1", "s2", "s3")
    for server_id in ("s1", "s2"):
        site.state(pause(start(server_id), site.now, 2.0))
    site.state(leaving(start("s3"), site.now))
    for number in range(50):
        assert site.request(f"r{number}", max_wait_s=10.0) == []
    found, steps = site.advance_until_idle(1.99)
    assert not any(isinstance(message, ServerAssigned) for message in found)
    assert steps <= 2 * 1.99 / WAITING_CHECK_INTERVAL_S
    found, _ = site.advance_until_idle(0.5)
    tried = [one.server_id for one in found if isinstance(one, ServerAssigned)]
    assert 1 <= len(tried) <= 4
    served = len(tried)
    for _ in range(10):
        again = site.state(answer(start(tried[0]), site.now))
        served += sum(isinstance(one, ServerAssigned) for one in again)
    assert served == 50
