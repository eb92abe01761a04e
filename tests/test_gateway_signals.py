"""Routing around servers that have stated that they leave or pause."""

from __future__ import annotations

import math

from siskinspool.core.clock import MonotonicClock
from siskinspool.core.message import Message
from siskinspool.gateway.messages import (
    AnswerHeadReceived,
    AssignRefused,
    AttemptEnded,
    AttemptResult,
    LeaderChanged,
    PlacementRequest,
    ReadHoldings,
    ServerAssigned,
    ServerBlocked,
    ServerOrder,
)
from siskinspool.gateway.routing import WAITING_CHECK_INTERVAL_S, Routing
from siskinspool.gateway.server_control import SignalListener
from siskinspool.gateway.servers import ServerRemoved
from siskinspool.platform.headers import decode_answer
from siskinspool.platform.server_calls import PlatformServerControl
from siskinspool.server_signals.observations import (
    LeavingStated,
    Observation,
    PauseStated,
)

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
from .builders_placement_harness import orders, ready_harness
from .builders_scripted_server import answer as scripted_answer
from .builders_scripted_server import scripted_server
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
    found = site.state(pause(start("s2"), site.now, 6.0))
    assert sum(isinstance(one, AssignRefused) for one in found) == 1


def test_short_pause_of_the_only_holder_moves_no_model() -> None:
    """Guards against a load elsewhere, and an eviction for it, for a moment's pause."""
    site = SignalsHarness()
    site.send(server("s1", "m0"))
    site.send(server("s2"))
    site.send(LeaderChanged("g1"))
    site.state(pause(start("s1"), site.now, 0.5))
    assert site.send(assign("r1")) == []
    found = site.state(pause(start("s1"), site.now, 5.0))
    assert [type(one) for one in found] == [ServerBlocked, PlacementRequest]


def test_blocked_server_gets_no_orders_until_its_next_start() -> None:
    """Guards against orders and reads of reports that reach a paused server."""
    harness = ready_harness()
    until = harness.now + 5.0
    harness.send(ServerBlocked(start("s1"), until))
    found = harness.request("m1")
    for _ in range(19):
        harness.now += 0.25
        found += messages(harness.decision.on_time(harness.now))
    assert not any(isinstance(one, ServerOrder | ReadHoldings) for one in found)
    harness.now = until
    assert [order.server_id for order in orders(harness.request("m1"))] == ["s1"]
    harness = ready_harness()
    harness.send(ServerBlocked(start("s1"), math.inf))
    assert orders(harness.request("m1") + harness.advance_time(60.0)) == []
    harness.reports["s1"] = holdings("m0", count=0, born_ms=2)
    harness.send(server("s1", "m0", holdings=holdings("m0", born_ms=2)))
    assert [order.server_id for order in orders(harness.request("m1"))] == ["s1"]


def test_answers_to_orders_and_reads_state_signals() -> None:
    """Guards against a signal that a leader without requests does not notice."""
    stated: list[Observation] = []
    control = PlatformServerControl(MonotonicClock())
    control.listen(RecordingListener(stated))
    scripts = [
        scripted_answer(503, b"", b"Retry-After: 1.5"),
        scripted_answer(421, b"", b"Server-Leaving: 1"),
        # It does not say that the server can take more after a pause.
        scripted_answer(503, b"", b"Not-Run: 1"),
        # Another server has the address.
        scripted_answer(421, b"", b"Server-Leaving: 1", b"Instance-Id: s9"),
    ]
    with scripted_server(*scripts) as one:
        for _ in scripts:
            control.read_holdings(start(port=one.port))
    assert [type(item) for item in stated] == [PauseStated, LeavingStated]
    assert stated[0].start == start(port=one.port)


def test_rejection_by_another_server_at_the_address_is_no_signal() -> None:
    """Guards against a request that goes to the same wrong server again and again.

    A server is not excluded after a rejection with a signal, as the signal keeps it
    from being chosen; that of another server does not.
    """
    headers = {"not-run": "1", "retry-after": "2", "instance-id": "s9"}
    head = decode_answer(503, headers | {"server-leaving": "1"})
    assert head.for_server("s9").has_signal
    assert not head.for_server("s1").has_signal
    assert head.observation(start("s1"), 1.0) is None


class RecordingListener(SignalListener):
    """Keeps what answers state."""

    def __init__(self, stated: list[Observation]) -> None:
        self._stated = stated

    def record_signals(self, stated: Observation) -> None:
        self._stated.append(stated)


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
