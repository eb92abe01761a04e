"""Builders for tests of servers' signals: starts of servers, and what they state."""

from __future__ import annotations

import random

from siskinspool.server_signals.observations import (
    AnswerStarted,
    LeavingStated,
    PauseStated,
    ServerStart,
)
from siskinspool.server_signals.server_signals import ServerSignals


def start(server_id: str = "s1", born_ms: int = 1, port: int = 1000) -> ServerStart:
    """Return a start of a server, by default the one of `builders_gateway.server`."""
    return ServerStart(server_id, born_ms, "127.0.0.1", port)


def signals(seed: int = 1) -> ServerSignals:
    """Return a decision that knows no signal."""
    return ServerSignals(random.Random(seed))


def leaving(server: ServerStart, at: float) -> LeavingStated:
    """Return the statement that a server is leaving."""
    return LeavingStated(server, at)


def pause(server: ServerStart, at: float, retry_after_s: float = 2.0) -> PauseStated:
    """Return the statement of a pause."""
    return PauseStated(server, at, retry_after_s)


def answer(server: ServerStart, at: float) -> AnswerStarted:
    """Return the head of an answer without a signal."""
    return AnswerStarted(server, at)
