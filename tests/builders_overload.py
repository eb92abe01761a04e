"""Replays of overload: the real ``Routing`` in front of simulated servers.

Time is a number that advances with a heap of events. A server runs as many requests as
it has slots, queues further ones in the order of arrival and rejects what its queue
cannot take. A refused requester retries once, after the advised time but at the latest
after a third of its remaining time. Times are in seconds.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from typing import Any

import attrs

from siskinspool.core.errors import ErrorCode
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.gateway.messages import (
    ROUTING_TASK,
    AssignRefused,
    AssignServer,
    AttemptEnded,
    AttemptResult,
    FirstEventReceived,
    ServerAssigned,
)
from siskinspool.gateway.routing import Routing
from siskinspool.gateway.scheduling_settings import SchedulingSettings
from siskinspool.gateway.servers import ServerLoad
from siskinspool.links.codec import MsgpackCodec

from .builders_gateway import assign, bounds, desired_state, membership, server

START_S = 100.0
HOP_S = 0.002
SLOTS = 8
SERVER_QUEUE = 24
FULL = AssignRefused(ErrorCode.NO_SERVER, "full", 0.3)
S_PER_TOKEN = 0.005
PATIENT_WAIT_S = 15.0
RETRY_SHARE = 1 / 3


@attrs.frozen(kw_only=True)
class Stream:
    """Requesters of one team that arrive at random with a mean rate."""

    team: str
    per_s: float
    from_s: float = 0.0
    to_s: float = 12.0
    priority: int = 0
    output_tokens: int = 100
    timeout_s: float = 5.0
    max_wait_s: float = 4.0
    # Share of the requesters that send three requests each, one after the other.
    repeating_share: float = 0.0
    # Its requesters use this many of the gateways; None means all.
    gateways: int | None = None


@attrs.define(kw_only=True)
class SimulatedRequester:
    """One requester; it retries once."""

    stream: Stream
    arrived_at: float
    # It sends three requests at once.
    repeats: bool = False
    refused: int = 0
    ran_at: float | None = None

    @property
    def is_served(self) -> bool:
        return self.ran_at is not None


@attrs.define
class ReplayResult:
    """What became of the requesters."""

    requesters: list[SimulatedRequester]
    # Requests that waited for a server at a gateway, by tenth of a second.
    waiting_by_tenth: dict[int, int]
    refusals: list[tuple[float, float]]
    gauges: Counter[str]
    bytes_sent_by_gateway: Counter[str]

    def of(self, team: str, from_s: float, to_s: float) -> list[SimulatedRequester]:
        """Return a team's requesters that arrived in a span."""
        return [
            item
            for item in self.requesters
            if item.stream.team == team and from_s <= item.arrived_at - START_S < to_s
        ]

    def served_share(self, team: str, from_s: float, to_s: float) -> float:
        """Return the share of a team's requesters that were served."""
        found = self.of(team, from_s, to_s)
        return sum(item.is_served for item in found) / max(len(found), 1)

    def waits(self, team: str, from_s: float, to_s: float) -> list[float]:
        """Return the sorted waits of a team's served requesters."""
        return sorted(
            item.ran_at - item.arrived_at
            for item in self.of(team, from_s, to_s)
            if item.ran_at is not None
        )

    def ran_by_team(self, from_s: float, to_s: float) -> Counter[str]:
        """Return how many requests of each team began to run in a span."""
        return Counter(
            item.stream.team
            for item in self.requesters
            if item.ran_at is not None and from_s <= item.ran_at - START_S < to_s
        )

    def bytes_per_s(self, run_s: float) -> float:
        """Return the greatest rate at which a gateway sent to others."""
        return max(self.bytes_sent_by_gateway.values(), default=0) / run_s

    def waiting_at(self, at_s: float) -> int:
        """Return how many requests waited at the gateways."""
        return self.waiting_by_tenth.get(round(at_s * 10), 0)

    def served_shares_by_sending(self) -> tuple[float, float]:
        """Return the served shares of those who sent once and of those who repeat."""
        shares = []
        for repeats in (False, True):
            found = [item for item in self.requesters if item.repeats is repeats]
            shares.append(sum(item.is_served for item in found) / max(len(found), 1))
        return shares[0], shares[1]

    @property
    def refused_twice(self) -> int:
        return sum(item.refused > 1 for item in self.requesters)


@attrs.define
class _Server:
    name: str
    running: int = 0
    queue: deque[Callable[[], None]] = attrs.field(factory=deque)

    @property
    def load(self) -> ServerLoad:
        return ServerLoad(running=self.running, waiting=len(self.queue), slots=SLOTS)


class OverloadReplay:
    """Replays streams of requesters against gateways and servers."""

    def __init__(
        self,
        settings: SchedulingSettings,
        streams: list[Stream],
        *,
        gateways: int = 1,
        servers: int = 2,
        seed: int = 1,
        is_connected: bool = True,
        is_streamed: bool = False,
    ) -> None:
        # The load is stated at the first event and reported at the end.
        self._is_streamed = is_streamed
        self._load_by_request: dict[str, ServerLoad] = {}
        self._is_connected = is_connected
        self._now = START_S
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._names = names = [f"g{number}" for number in range(gateways)]
        self._routing_by_id = {
            name: Routing(name, "a", bounds(cold=None, retry=None), settings)
            for name in names
        }
        self._server_by_id = {f"s{n}": _Server(f"s{n}") for n in range(servers)}
        self._requester_by_request: dict[str, SimulatedRequester] = {}
        self._gateway_by_request: dict[str, str] = {}
        self._sent_at_by_request: dict[str, float] = {}
        self._call_by_request: dict[str, AssignServer] = {}
        self._requesters: list[SimulatedRequester] = []
        self._waiting_by_tenth: dict[int, int] = {}
        self._refusals: list[tuple[float, float]] = []
        self._bytes: Counter[str] = Counter()
        self._codec = MsgpackCodec()
        for name in names:
            self._tell(name, desired_state(cold_per_s=0.0))
            self._tell(name, membership(*names))
            for item in self._server_by_id.values():
                self._tell(name, server(item.name, "m0", slots=SLOTS))
        for stream in streams:
            self._plan(stream)

    def run(self, until_s: float = 25.0) -> ReplayResult:
        """Run the replay."""
        for tenth in range(int(until_s * 10)):
            self._at(START_S + tenth / 10, partial(self._sample, tenth))
        while self._events:
            wake_at, name = min(
                (wake_at, name)
                for name, routing in self._routing_by_id.items()
                if (wake_at := routing.wake_at()) is not None
            )
            if wake_at <= self._events[0][0]:
                self._now = max(self._now + 0.0005, wake_at)
                self._deliver(name, self._routing_by_id[name].on_time(self._now))
                continue
            at, _, action = heapq.heappop(self._events)
            if at > START_S + until_s:
                break
            self._now = max(self._now, at)
            action()
        gauges: Counter[str] = Counter()
        for routing in self._routing_by_id.values():
            gauges.update({k: int(v) for k, v in routing.gauges().items()})
        return ReplayResult(
            self._requesters,
            self._waiting_by_tenth,
            self._refusals,
            gauges,
            self._bytes,
        )

    # Requesters

    def _plan(self, stream: Stream) -> None:
        at = stream.from_s
        while (at := at + self._random.expovariate(stream.per_s)) < stream.to_s:
            requester = SimulatedRequester(stream=stream, arrived_at=START_S + at)
            self._requesters.append(requester)
            self._at(START_S + at, partial(self._attempt, requester))
            requester.repeats = self._random.random() < stream.repeating_share
            if requester.repeats:
                for delay_s in (0.05, 0.1):
                    self._at(START_S + at + delay_s, partial(self._attempt, requester))

    def _attempt(self, requester: SimulatedRequester) -> None:
        stream = requester.stream
        remaining_s = requester.arrived_at + stream.timeout_s - self._now
        if requester.is_served or remaining_s <= 0.1:
            return
        self._send(requester, f"r{next(self._numbers)}", remaining_s, frozenset())

    def _send(
        self,
        requester: SimulatedRequester,
        request_id: str,
        remaining_s: float,
        excluded: frozenset[str],
    ) -> None:
        stream = requester.stream
        gateway = self._gateway_by_request.setdefault(
            request_id, self._random.choice(self._names[: stream.gateways])
        )
        self._requester_by_request[request_id] = requester
        self._sent_at_by_request.setdefault(request_id, self._now)
        call = assign(
            request_id,
            team=stream.team,
            priority=stream.priority,
            output_tokens=stream.output_tokens,
            excluded=excluded,
            max_wait_s=min(remaining_s, stream.max_wait_s) - 0.1,
            reach_s=min(remaining_s, remaining_s / 3 + stream.max_wait_s) - 0.1,
            timeout_s=stream.timeout_s,
            deadline_s=remaining_s,
            parts=(),
        )
        self._tell(gateway, call, request_id)

    def _on_refused(self, request_id: str, refused: AssignRefused) -> None:
        requester = self._requester_by_request[request_id]
        if requester.is_served:
            return
        requester.refused += 1
        self._refusals.append((self._now - START_S, refused.retry_after_s))
        remaining_s = requester.arrived_at + requester.stream.timeout_s - self._now
        pause_s = min(refused.retry_after_s, remaining_s * RETRY_SHARE)
        if requester.refused == 1:
            self._at(self._now + pause_s, partial(self._attempt, requester))

    # Servers

    def _arrive(self, request_id: str, call: AssignServer, server_id: str) -> None:
        found = self._server_by_id[server_id]
        if found.running < SLOTS:
            self._start(request_id, found)
        elif len(found.queue) < SERVER_QUEUE:
            found.queue.append(partial(self._start, request_id, found))
        else:
            self._end(request_id, found, AttemptResult.REJECTED)
            requester = self._requester_by_request[request_id]
            remaining_s = requester.arrived_at + requester.stream.timeout_s - self._now
            if len(call.excluded) < len(self._server_by_id) - 1:
                excluded = call.excluded | {server_id}
                self._send(requester, request_id, remaining_s, excluded)
            else:
                self._on_refused(request_id, FULL)

    def _start(self, request_id: str, found: _Server) -> None:
        requester = self._requester_by_request[request_id]
        stream = requester.stream
        gives_up_at = min(
            self._sent_at_by_request[request_id] + stream.max_wait_s,
            requester.arrived_at + stream.timeout_s,
        )
        if self._now > gives_up_at:
            # Abandoned while it was queued.
            self._end(request_id, found, AttemptResult.CANCELLED)
            self._start_next(found)
            return
        found.running += 1
        if requester.ran_at is None:
            requester.ran_at = self._now
        if self._is_streamed:
            self._load_by_request[request_id] = found.load
            first_event = FirstEventReceived(request_id, found.name)
            self._tell(self._gateway_by_request[request_id], first_event)
        run_s = stream.output_tokens * S_PER_TOKEN
        self._at(self._now + run_s, partial(self._finish, request_id, found))

    def _finish(self, request_id: str, found: _Server) -> None:
        found.running -= 1
        self._start_next(found)
        self._end(request_id, found, AttemptResult.ANSWERED)

    def _start_next(self, found: _Server) -> None:
        if found.queue and found.running < SLOTS:
            found.queue.popleft()()

    def _end(self, request_id: str, found: _Server, result: AttemptResult) -> None:
        load = self._load_by_request.pop(request_id, found.load)
        ended = AttemptEnded(
            request_id=request_id, server_id=found.name, result=result, load=load
        )
        self._tell(self._gateway_by_request[request_id], ended)

    # Messages and events

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _sample(self, tenth: int) -> None:
        self._waiting_by_tenth[tenth] = sum(
            int(routing.gauges()["routing.waiting"])
            for routing in self._routing_by_id.values()
        )

    def _tell(self, gateway: str, message: Message, sender: str = "test") -> None:
        incoming = Incoming(Address(gateway, sender), message)
        if isinstance(message, AssignServer):
            self._call_by_request[message.request_id] = message
        routing = self._routing_by_id[gateway]
        self._deliver(gateway, routing.handle(incoming, self._now))

    def _deliver(self, gateway: str, batch: list[Outgoing]) -> None:
        for outgoing in batch:
            match outgoing.message:
                case ServerAssigned(server_id):
                    request_id = outgoing.recipient.task
                    call = self._call_by_request[request_id]
                    arrive = partial(self._arrive, request_id, call, server_id)
                    self._at(self._now + HOP_S, arrive)
                case AssignRefused() as refused:
                    request_id = outgoing.recipient.task
                    later = partial(self._on_refused, request_id, refused)
                    self._at(self._now + HOP_S, later)
                case message if (
                    self._is_connected and outgoing.recipient.task == ROUTING_TASK
                ):
                    recipient = outgoing.recipient.instance_id
                    sender = Address(gateway, ROUTING_TASK)
                    self._bytes[gateway] += len(self._codec.encode(sender, outgoing))
                    later = partial(self._tell, recipient, message)
                    self._at(self._now + HOP_S, later)


def usual_load(per_s: float = 5.0, **changes: Any) -> list[Stream]:
    """Return four teams that together use two thirds of two servers."""
    return [Stream(team=team, per_s=per_s, **changes) for team in "abcd"]


def flood_of_one_team() -> list[Stream]:
    """Return the usual load, with one team at 7 times its usual for 6 s."""
    return [*usual_load(), Stream(team="a", per_s=30.0, from_s=2.0, to_s=8.0)]


def burst_of_patient_kind() -> list[Stream]:
    """Return the usual load and a patient kind that rises to 2.5 times for 6 s."""
    patient: dict[str, Any] = {
        "priority": 2,
        "output_tokens": 200,
        "timeout_s": PATIENT_WAIT_S,
        "max_wait_s": PATIENT_WAIT_S,
    }
    return [
        *usual_load(),
        Stream(team="p", per_s=4.0, **patient),
        Stream(team="q", per_s=6.0, from_s=2.0, to_s=8.0, **patient),
    ]


def immediate_retries() -> list[Stream]:
    """Return 1.4 times the capacity, a third of it in three requests each."""
    return usual_load(11.0, repeating_share=1 / 3)


def team_at_one_gateway() -> list[Stream]:
    """Return a team that floods all gateways and one that needs all of one."""
    return [
        Stream(team="a", per_s=60.0, to_s=20.0),
        Stream(team="b", per_s=20.0, to_s=20.0, gateways=1),
    ]


def scaled(streams: list[Stream], factor: int) -> list[Stream]:
    """Return streams with a multiple of their rates."""
    return [attrs.evolve(stream, per_s=stream.per_s * factor) for stream in streams]
