"""A simulated site: servers of known speeds behind many gateways' routing decisions."""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from statistics import fmean

import attrs

from siskinspool.core.message import Address, Incoming, Message, Outgoing
from siskinspool.gateway.messages import (
    AttemptEnded,
    AttemptResult,
    FirstEventReceived,
    ServerAssigned,
)
from siskinspool.gateway.request import PromptPart
from siskinspool.gateway.routing import Routing
from siskinspool.gateway.scheduling_settings import SchedulingSettings
from siskinspool.gateway.servers import ServerLoad

from .builders_gateway import assign, bounds, desired_state, membership
from .builders_simulated_servers import Job, SimulatedServer

GATEWAYS = 67
# Shared first parts of prompts.
PROMPTS = 200
EVENT_GAP_S = 0.02
EVENTS = 50
PREFILL_TOKENS_PER_S = 40_000.0
RUNNING_COST_S = 0.004
SAMPLE_INTERVAL_S = 0.05
TICK_S = 0.05


@attrs.define
class SiteFigures:
    """What a run has measured; waits in seconds, occupancies in requests per slot."""

    first_event_waits: list[float] = attrs.field(factory=list)
    occupancies_by_server: dict[str, list[float]] = attrs.field(factory=dict)

    def busiest_ratio(self) -> float:
        """Return the busiest server's mean occupancy over that of all servers."""
        means = [fmean(values) for values in self.occupancies_by_server.values()]
        return max(means) / fmean(means)

    def wait_quantile_s(self, share: float) -> float:
        """Return a quantile of the waits for the first event."""
        ordered = sorted(self.first_event_waits)
        return ordered[int(share * (len(ordered) - 1))]


class UnevenSite:
    """Runs requests for one model through the gateways; times are in seconds."""

    def __init__(
        self,
        servers: list[SimulatedServer],
        scheduling: SchedulingSettings,
        *,
        rate_at: Callable[[float], float],
    ) -> None:
        self.now = 0.0
        self._rate_at = rate_at
        self.figures = SiteFigures()
        # Requests that were at a server as it failed.
        self.lost = 0
        self.server_by_id = {one.record.server_id: one for one in servers}
        self._rng = random.Random(1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._job_by_id: dict[str, Job] = {}
        names = [f"g{number}" for number in range(GATEWAYS)]
        self.routing_by_name = {
            name: Routing(name, "a", bounds(cold=None), scheduling) for name in names
        }
        for message in (desired_state(), membership(*names)):
            self.announce(message)
        for one in servers:
            self.announce(one.record)
        self.at(0.0, self._arrive)
        self.at(0.0, self._sample)
        self.at(0.0, self._tick)

    def announce(self, message: Message) -> None:
        """Send a message to all gateways."""
        for name in self.routing_by_name:
            self._tell(name, message)

    def at(self, when: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        heapq.heappush(self._events, (when, next(self._order), action))

    def run(self, until: float) -> SiteFigures:
        """Run, and return what was measured in this run."""
        self.figures = SiteFigures()
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        return self.figures

    def take_down(self, server_id: str) -> None:
        """Fail a server: its requests are lost, and it refuses connections."""
        one = self.server_by_id[server_id]
        one.is_down = True
        for job in [*one.running, *one.waiting]:
            self._end(one, job, AttemptResult.LOST)
        one.running.clear()
        one.waiting.clear()

    def bring_up(self, server_id: str) -> None:
        """Restart a failed server: it is idle and has another start time."""
        one = self.server_by_id[server_id]
        one.is_down = False
        one.cache.clear()
        one.loads.clear()
        born_ms = (one.record.holdings.born_ms or 0) + 1
        started = attrs.evolve(one.record.holdings, born_ms=born_ms)
        one.record = attrs.evolve(one.record, holdings=started)
        self.announce(one.record)

    def _arrive(self) -> None:
        request_id = f"r{next(self._order)}"
        name = self._rng.choice(list(self.routing_by_name))
        shared = PromptPart(f"p{self._rng.randrange(PROMPTS)}", 1_000)
        own = PromptPart(request_id, self._rng.randrange(200, 1_000))
        job = Job(request_id, name, (shared, own), self.now)
        self._job_by_id[request_id] = job
        self._tell(name, assign(request_id, parts=job.parts))
        self.at(self.now + self._rng.expovariate(self._rate_at(self.now)), self._arrive)

    def _tell(self, name: str, message: Message) -> None:
        sent = Incoming(Address(name, getattr(message, "request_id", "")), message)
        self._deliver(self.routing_by_name[name].handle(sent, self.now))

    def _deliver(self, batch: list[Outgoing]) -> None:
        for outgoing in batch:
            if isinstance(outgoing.message, ServerAssigned):
                job = self._job_by_id[outgoing.recipient.task]
                self._send(job, outgoing.message.server_id)

    def _tick(self) -> None:
        for routing in self.routing_by_name.values():
            due = routing.wake_at()
            if due is not None and due <= self.now:
                self._deliver(routing.on_time(self.now))
        self.at(self.now + TICK_S, self._tick)

    def _send(self, job: Job, server_id: str) -> None:
        one = self.server_by_id[server_id]
        if one.is_down:
            self.at(self.now, lambda: self._end(one, job, AttemptResult.NOT_SENT))
            return
        one.waiting.append(job)
        self._start_waiting(one)

    def _start_waiting(self, one: SimulatedServer) -> None:
        while one.waiting and len(one.running) < one.record.slots:
            job = one.waiting.popleft()
            tokens = one.prefill_tokens(job.parts)
            work_s = tokens / PREFILL_TOKENS_PER_S + RUNNING_COST_S * len(one.running)
            one.running.append(job)
            first_at = one.finish_at(self.now, work_s)
            self.at(first_at, lambda job=job: self._first_event(one, job))  # type: ignore[misc]

    def _first_event(self, one: SimulatedServer, job: Job) -> None:
        if job.is_ended:
            return
        self.figures.first_event_waits.append(self.now - job.sent_at)
        load = one.load(self.now)
        received = FirstEventReceived(job.request_id, one.record.server_id, load)
        self._tell(job.gateway, received)
        end_at = one.finish_at(self.now, EVENT_GAP_S * EVENTS)
        self.at(end_at, lambda: self._finish(one, job, load))

    def _finish(self, one: SimulatedServer, job: Job, load: ServerLoad) -> None:
        if job.is_ended:
            return
        one.running.remove(job)
        self._end(one, job, AttemptResult.ANSWERED, load)
        self._start_waiting(one)

    def _end(
        self,
        one: SimulatedServer,
        job: Job,
        result: AttemptResult,
        load: ServerLoad | None = None,
    ) -> None:
        job.is_ended = True
        self.lost += result is AttemptResult.LOST
        ended = AttemptEnded(
            request_id=job.request_id,
            server_id=one.record.server_id,
            result=result,
            load=load,
            event_count=EVENTS if result is AttemptResult.ANSWERED else 0,
        )
        self._tell(job.gateway, ended)

    def _sample(self) -> None:
        for server_id, one in self.server_by_id.items():
            requests = len(one.running) + len(one.waiting)
            samples = self.figures.occupancies_by_server.setdefault(server_id, [])
            samples.append(requests / one.record.slots)
        self.at(self.now + SAMPLE_INTERVAL_S, self._sample)
