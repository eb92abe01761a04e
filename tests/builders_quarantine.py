"""Simulates gateways that share crash evidence, and servers that crash on a part.

`QuarantineFleet` runs the decisions with the messages between them, which take
`LINK_S`. `send` runs a request at a gateway: a server begins to answer it after
`ANSWER_S` and crashes if it has the crashing part, together with the requests that run
beside it.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Iterable

import attrs

from siskinspool.core.member import MembershipChanged
from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.gateway.messages import FRONT_TASK
from siskinspool.gateway.quarantine import Quarantine
from siskinspool.gateway.quarantine_gate import GateResult, QuarantineGate
from siskinspool.gateway.quarantine_messages import (
    QUARANTINE_TASK,
    AnswerBroken,
    CrashEvidence,
    ProbeStarted,
    PromptServed,
    QuarantineChanged,
    ServerBoot,
)
from siskinspool.links.codec import MsgpackCodec

from .builders_gateway import member

LINK_S = 0.002
ANSWER_S = 0.2
CRASHING = "crashing"
# The requests that run at one server share its end.
SERVER_COUNT = 10


def boot(number: int) -> ServerBoot:
    """Return a start of a server."""
    return ServerBoot(f"s{number}", 1000 + number)


def broken(number: int, *part_ids: str, has_begun: bool = True) -> AnswerBroken:
    """Return the report of a request that the end of server ``number`` broke."""
    return AnswerBroken(boot=boot(number), part_ids=part_ids, has_begun=has_begun)


@attrs.frozen(order=True)
class _Event:
    at: float
    number: int
    gateway_id: str = attrs.field(order=False)
    incoming: Incoming = attrs.field(order=False)


@attrs.define
class _Running:
    """A request that a server has not begun to answer."""

    gateway_id: str
    part_ids: tuple[str, ...]
    begins_at: float


class QuarantineFleet:
    """Gateways with their gates, the messages on their way, and the servers."""

    def __init__(self, count: int, seed: int = 0, *, shows_begun: bool = True) -> None:
        """Start gateways; a crash shows bytes of its answer if ``shows_begun``."""
        self.seed = seed
        self.now = 100.0
        self.sent_bytes_by_gateway: dict[str, int] = {}
        # Times at which a request with the crashing part crashed a server.
        self.crashes: list[float] = []
        self.served: list[tuple[str, ...]] = []
        self.refused: list[tuple[str, ...]] = []
        # Gateways whose messages to and from others are lost.
        self.cut_off: set[str] = set()
        self.rng = random.Random(seed)
        self.ids = [f"g{number}" for number in range(count)]
        self._shows_begun = shows_begun
        self._codec = MsgpackCodec()
        self._numbers = itertools.count()
        self._events: list[_Event] = []
        self._running_by_server: dict[int, list[_Running]] = {}
        self._boot_number = itertools.count(SERVER_COUNT)
        self._boot_by_server = {n: boot(n) for n in range(SERVER_COUNT)}
        self.decision_by_id: dict[str, Quarantine] = {}
        self.gate_by_id: dict[str, QuarantineGate] = {}
        for gateway_id in self.ids:
            self.start_gateway(gateway_id)

    def start_gateway(self, gateway_id: str) -> None:
        """Start or restart a gateway without any knowledge."""
        self.decision_by_id[gateway_id] = Quarantine(
            gateway_id, random.Random(f"{self.seed}/{gateway_id}")
        )
        self.gate_by_id[gateway_id] = QuarantineGate()
        members = {other: member(other) for other in self.ids}
        self.post(gateway_id, MembershipChanged(members))

    def post(self, gateway_id: str, message: Message) -> None:
        """Deliver a message of the gateway's own tasks at once."""
        sender = Address(gateway_id, "request")
        self._handle(gateway_id, Incoming(sender, message))

    def send(self, gateway_id: str, *part_ids: str, server: int | None = None) -> bool:
        """Send a request to a server; return whether the gate lets it through."""
        gate_decision = self.gate_by_id[gateway_id].check(part_ids, self.now)
        if gate_decision.result is GateResult.CLOSED:
            self.refused.append(part_ids)
            return False
        if gate_decision.result is GateResult.PROBE:
            self.gate_by_id[gateway_id].close(gate_decision.part_ids, self.now)
            self.post(gateway_id, ProbeStarted(gate_decision.part_ids))
        chosen = self.rng.randrange(SERVER_COUNT) if server is None else server
        running = _Running(gateway_id, part_ids, self.now + ANSWER_S)
        self._running_by_server.setdefault(chosen, []).append(running)
        return True

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while (due := self._next_due()) <= until:
            self.now = max(due, self.now)
            self._run_due()
        self.now = until

    def quarantined(self, gateway_id: str) -> list[frozenset[str]]:
        """Return the groups that a gateway holds."""
        status = self.decision_by_id[gateway_id].status(self.now)
        groups = status["groups"]
        assert isinstance(groups, list)
        return [frozenset(group["parts"]) for group in groups]

    def end_server(self, server: int) -> None:
        """Crash a server for a reason that has nothing to do with its requests."""
        self._break_requests(server, None)

    def _next_due(self) -> float:
        due = [event.at for event in self._events[:1]]
        due += [
            running.begins_at
            for requests in self._running_by_server.values()
            for running in requests
        ]
        wake_ups = (decision.wake_at() for decision in self.decision_by_id.values())
        due += [at for at in wake_ups if at is not None]
        return min(due, default=float("inf"))

    def _run_due(self) -> None:
        while self._events and self._events[0].at <= self.now:
            event = heapq.heappop(self._events)
            self._handle(event.gateway_id, event.incoming)
        for server in list(self._running_by_server):
            self._answer_due(server)
        for gateway_id, decision in self.decision_by_id.items():
            wake_at = decision.wake_at()
            if wake_at is not None and wake_at <= self.now:
                self._dispatch(gateway_id, decision.on_time(self.now))

    def _answer_due(self, server: int) -> None:
        requests = self._running_by_server[server]
        for running in [item for item in requests if item.begins_at <= self.now]:
            if running not in requests:
                continue
            if CRASHING in running.part_ids:
                self._crash(server, running)
                return
            requests.remove(running)
            self.served.append(running.part_ids)
            self.post(running.gateway_id, PromptServed(running.part_ids))

    def _crash(self, server: int, cause: _Running) -> None:
        self.crashes.append(self.now)
        self._break_requests(server, cause)

    def _break_requests(self, server: int, cause: _Running | None) -> None:
        ended = self._boot_by_server[server]
        self._boot_by_server[server] = boot(next(self._boot_number))
        for running in self._running_by_server.pop(server, []):
            has_begun = running is cause and self._shows_begun
            report = AnswerBroken(
                boot=ended, part_ids=running.part_ids, has_begun=has_begun
            )
            self.post(running.gateway_id, report)

    def _handle(self, gateway_id: str, incoming: Incoming) -> None:
        decision = self.decision_by_id[gateway_id]
        self._dispatch(gateway_id, decision.handle(incoming, self.now))

    def _dispatch(self, gateway_id: str, batch: Iterable[Outgoing]) -> None:
        sender = Address(gateway_id, QUARANTINE_TASK)
        for outgoing in batch:
            if outgoing.recipient == Address(gateway_id, FRONT_TASK):
                assert isinstance(outgoing.message, QuarantineChanged)
                self._apply(gateway_id, outgoing.message)
                continue
            size = len(self._codec.encode(sender, outgoing))
            sent = self.sent_bytes_by_gateway
            sent[gateway_id] = sent.get(gateway_id, 0) + size
            recipient = outgoing.recipient.instance_id
            if {gateway_id, recipient} & self.cut_off:
                continue
            event = _Event(
                self.now + LINK_S,
                next(self._numbers),
                recipient,
                Incoming(sender, outgoing.message),
            )
            heapq.heappush(self._events, event)

    def _apply(self, gateway_id: str, changed: QuarantineChanged) -> None:
        """Set the gate and end the gateway's requests that it now refuses."""
        gate = self.gate_by_id[gateway_id]
        gate.update(changed.groups)
        for requests in self._running_by_server.values():
            requests[:] = [
                running
                for running in requests
                if running.gateway_id != gateway_id
                or gate.check(running.part_ids, self.now).result is GateResult.OPEN
            ]


def evidence_of(batch: Iterable[Outgoing]) -> list[CrashEvidence]:
    """Return the crash evidence among messages."""
    return [
        outgoing.message
        for outgoing in batch
        if isinstance(outgoing.message, CrashEvidence)
    ]
