"""Measures the processor time and the memory of a function.

The machine is shared, so a time is the median of several runs, each long enough for the
resolution of the clock. Only the processor time of this thread is counted.
"""

from __future__ import annotations

import gc
import statistics
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, Final

from ...core.decision import Decision
from ...core.message import Incoming, Outgoing

RUNS: Final = 7
MIN_RUN_S: Final = 0.01
MAX_REPEATS: Final = 2_000


def processor_us(work: Callable[[int], object], repeats: int | None = None) -> float:
    """Return the median processor time of one call of ``work(number)`` in us."""
    number = 0
    count = repeats or 1
    samples: list[float] = []
    while len(samples) < RUNS:
        started_ns = time.thread_time_ns()
        for _ in range(count):
            number += 1
            work(number)
        taken_ns = time.thread_time_ns() - started_ns
        is_short = taken_ns < MIN_RUN_S * 1e9 and count < MAX_REPEATS
        if repeats is None and is_short and not samples:
            count = min(count * 4, MAX_REPEATS)
            continue
        samples.append(taken_ns / count / 1000)
    return statistics.median(samples)


def retained_bytes(build: Callable[[], Any]) -> float:
    """Return the size of the memory that the result of ``build`` keeps allocated."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        kept = build()
        gc.collect()
        after = tracemalloc.get_traced_memory()[0]
        del kept
        return float(after - before)
    finally:
        tracemalloc.stop()


def step(decision: Decision, message: Incoming, now: float) -> list[Outgoing]:
    """Handle one message and ask for the next wake-up time, as a task does."""
    batch = decision.handle(message, now)
    decision.wake_at()
    return batch


def tick(decision: Decision, now: float) -> list[Outgoing]:
    """Run the timers of a decision and ask for its next wake-up time."""
    batch = decision.on_time(now)
    decision.wake_at()
    return batch
