"""A simulated site: servers of known speeds behind many gateways' routing decisions."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import OrderedDict, deque
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
from siskinspool.gateway.servers import ServerLoad, ServerRecord

from .builders_gateway import (
    assign,
    bounds,
    desired_state,
    membership,
    server,
)

EVENT_GAP_S = 0.02
EVENTS = 50
PREFILL_TOKENS_PER_S = 40_000.0
RUNNING_COST_S = 0.004
SAMPLE_INTERVAL_S = 0.05
CACHED_PARTS = 8
TICK_S = 0.05
SPELL_S = 0.6
SPELL_SLOWDOWN = 2.5


@attrs.define
class Job:
    """A request at a server."""

    request_id: str
    gateway: str
    parts: tuple[PromptPart, ...]
    sent_at: float
    is_ended: bool = False


@attrs.define
class SimulatedServer:
    """A server with slots; work takes longer by its speed and in spells."""

    record: ServerRecord
    speed: float = 1.0
    spell_period_s: float = math.inf
    spell_phase_s: float = 0.0
    figure_age_s: float = 0.0
    is_down: bool = False
    running: list[Job] = attrs.field(factory=list)
    waiting: deque[Job] = attrs.field(factory=deque)
    loads: deque[tuple[float, ServerLoad]] = attrs.field(factory=deque)
    cache: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    cache_hits: int = 0

    def slowdown(self, at: float) -> float:
        """Return how long work takes, relative to a server of speed 1."""
        phase_s = (at + self.spell_phase_s) % self.spell_period_s
        in_spell = self.spell_period_s < math.inf and phase_s < SPELL_S
        return (SPELL_SLOWDOWN if in_spell else 1.0) / self.speed

    def finish_at(self, start: float, work_s: float) -> float:
        """Return when work of this length at speed 1 ends."""
        at, step_s = start, 0.02
        while work_s * (slowdown := self.slowdown(at)) > step_s:
            work_s -= step_s / slowdown
            at += step_s
        return at + work_s * slowdown

    def load(self, now: float) -> ServerLoad:
        """Return the load that an answer states."""
        current = ServerLoad(
            running=len(self.running),
            waiting=len(self.waiting),
            slots=self.record.slots,
            slowdown=self.slowdown(now),
        )
        self.loads.append((now, current))
        while len(self.loads) > 1 and self.loads[1][0] <= now - self.figure_age_s:
            self.loads.popleft()
        return self.loads[0][1]

    def prefill_tokens(self, parts: tuple[PromptPart, ...]) -> int:
        """Return the tokens to process, and cache the shared first part."""
        shared = parts[0]
        is_cached = shared.part_id in self.cache
        self.cache_hits += is_cached
        self.cache[shared.part_id] = None
        self.cache.move_to_end(shared.part_id)
        if len(self.cache) > CACHED_PARTS:
            self.cache.popitem(last=False)
        return sum(part.tokens for part in parts[is_cached:])


@attrs.define
class SiteFigures:
    """What a run has measured; waits in seconds, occupancies in requests per slot."""

    first_event_waits: list[float] = attrs.field(factory=list)
    occupancies_by_server: dict[str, list[float]] = attrs.field(factory=dict)

    def busiest_ratio(self) -> float:
        """Return the busiest server's mean occupancy over that of all servers."""
        means = [fmean(values) for values in self.occupancies_by_server.values()]
        return max(means) / fmean(means)

    def busiest_moment_ratio(self) -> float:
        """Return the mean over time of the momentary maximum over the mean."""
        moments = list(zip(*self.occupancies_by_server.values(), strict=True))
        return fmean(max(values) / (fmean(values) or 1.0) for values in moments)

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
        gateways: int = 67,
        seed: int = 1,
        rate_at: Callable[[float], float],
        prompts: int = 200,
        cold_bounded: bool = False,
    ) -> None:
        self.now = 0.0
        self._rate_at = rate_at
        self.figures = SiteFigures()
        # Requests that were at a server as it failed.
        self.lost = 0
        self.server_by_id = {one.record.server_id: one for one in servers}
        self._prompts = prompts
        self._rng = random.Random(seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._job_by_id: dict[str, Job] = {}
        names = [f"g{number}" for number in range(gateways)]
        site_bounds = bounds() if cold_bounded else bounds(cold=None)
        self.routing_by_name = {
            name: Routing(name, "a", site_bounds, scheduling) for name in names
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
        shared = PromptPart(f"p{self._rng.randrange(self._prompts)}", 1_000)
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


def uneven_servers(
    count: int, speeds: tuple[float, ...], *, has_spells: bool = False
) -> list[SimulatedServer]:
    """Return servers that hold ``m0``, with speeds in turn and figures 200 ms old."""
    return [
        SimulatedServer(
            server(f"s{number:02}", "m0"),
            speeds[number % len(speeds)],
            spell_period_s=4.0 if has_spells else math.inf,
            spell_phase_s=number * 1.37,
            figure_age_s=0.2,
        )
        for number in range(count)
    ]
