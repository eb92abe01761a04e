"""Builders for tests of the protection against uncontrolled callers."""

from __future__ import annotations

from typing import Any

import attrs
from gevent import socket

from siskinspool.core.clock import MonotonicClock
from siskinspool.protection.caller_protection import CallerProtection
from siskinspool.protection.connection_table import Connection, ConnectionPhase
from siskinspool.protection.memory_budget import MemoryBudget, Reservation
from siskinspool.protection.settings import ProtectionLimits, ProtectionSettings

TOTAL_BYTES = 1_000_000
BODY_WAIT_S = 0.3
SMALL_SHARE = 0.25
SMALL_BYTES = 64_000
NEEDED_BYTES_PER_S = 32_000.0


def budget() -> MemoryBudget:
    """Return a budget of `TOTAL_BYTES`."""
    return MemoryBudget(TOTAL_BYTES, SMALL_SHARE, SMALL_BYTES, NEEDED_BYTES_PER_S)


def protection(**changes: Any) -> CallerProtection:
    """Return the protection of a process with a budget of `TOTAL_BYTES`."""
    settings = ProtectionSettings(
        small_share=SMALL_SHARE, small_bytes=SMALL_BYTES, body_wait_s=BODY_WAIT_S
    )
    limits = ProtectionLimits(
        settings=attrs.evolve(settings, **changes),
        budget_bytes=TOTAL_BYTES,
        max_connections=20,
    )
    return CallerProtection(limits, MonotonicClock())


def reserved(budget: MemoryBudget, size: int, now: float = 0.0) -> Reservation:
    """Return a reservation that got its bytes at a time."""
    made = budget.open(now)
    assert budget.try_grow(made, size)
    return made


def connection(phase: ConnectionPhase, now: float) -> Connection:
    """Return a connection that entered a phase at a time."""
    made = Connection.from_socket(socket.socket(), NEEDED_BYTES_PER_S, now)
    made.enter(phase, now)
    return made


def chunked(body: bytes, sizes: list[int], ending: bytes = b"0\r\n\r\n") -> bytes:
    """Return a body in chunks of these sizes, and the rest in one."""
    encoded, position = b"", 0
    for size in [*sizes, len(body)]:
        chunk = body[position : position + size]
        if chunk:
            encoded += b"%x\r\n%s\r\n" % (len(chunk), chunk)
        position += size
    return encoded + ending
