"""Simulated servers of known speeds, with slots, spells and a prompt cache."""

from __future__ import annotations

import math
from collections import OrderedDict, deque

import attrs

from siskinspool.gateway.request import PromptPart
from siskinspool.gateway.servers import ServerLoad, ServerRecord

from .builders_gateway import server

CACHED_PARTS = 8
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
