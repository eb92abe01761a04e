"""What callers and servers of a soak have seen, and which promises that breaks.

Nothing is taken from the gateways themselves: a promise is checked by what was sent and
answered on sockets, and by the runs that servers report.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from enum import StrEnum
from typing import Final

import attrs

# The time that a gateway has to recover after a fault of its own or of the store; until
# then it need not know of a leaving server.
CONTACT_S: Final = 3.0


class RequestKind(StrEnum):
    """What may be repeated."""

    UNSAFE = "unsafe"
    SAFE = "safe"
    STREAM = "stream"


class Promise(StrEnum):
    """A promise of the gateways to callers and servers."""

    AT_MOST_ONCE = "at most once"
    WHOLE_ANSWERS = "whole answers"
    TRUE_REFUSALS = "true refusals"
    OWN_REQUESTS = "only requests that were sent"
    NO_SEND_TO_LEAVING = "nothing to leaving servers"
    NO_OLD_VERSION = "versions never back"
    NO_CUT_AT_A_STOP = "no cut at a planned stop"


@attrs.frozen
class BrokenPromise:
    """One violation, with the time since the start of the soak in seconds."""

    promise: Promise
    at_s: float
    detail: str


@attrs.frozen
class ServerRun:
    """A run of a request, as the server reports it."""

    request_id: str
    server_id: str
    at_s: float


@attrs.define
class Disturbance:
    """A fault that keeps a gateway, or all of them, from hearing of changes."""

    # None for all gateways.
    gateway: str | None
    began_s: float
    ended_s: float = math.inf


@attrs.define
class SoakRecord:
    """Collects what was seen; `broken` has the violations."""

    kind_by_id: dict[str, RequestKind] = attrs.field(factory=dict)
    refused_ids: set[str] = attrs.field(factory=set)
    # Requests whose connection was closed without an answer in a planned stop.
    cut_ids: set[str] = attrs.field(factory=set)
    runs_by_id: dict[str, list[ServerRun]] = attrs.field(
        factory=lambda: defaultdict(list)
    )
    # The gateways that requests were sent to, and what may excuse them.
    gateway_by_id: dict[str, str] = attrs.field(factory=dict)
    disturbances: list[Disturbance] = attrs.field(factory=list)
    # When a server announced that it leaves, and when requests must not reach it.
    drained_at_by_server: dict[str, float] = attrs.field(factory=dict)
    closed_at_by_server: dict[str, float] = attrs.field(factory=dict)
    outcomes: Counter[str] = attrs.field(factory=Counter)
    broken: list[BrokenPromise] = attrs.field(factory=list)

    def report(self, promise: Promise, at_s: float, detail: str) -> None:
        """Record a violation."""
        self.broken.append(BrokenPromise(promise, at_s, detail))

    def add_runs(self, runs: list[ServerRun]) -> None:
        """Add the runs of one server process."""
        for run in runs:
            self.runs_by_id[run.request_id].append(run)

    def check_runs(self) -> None:
        """Compare the runs with what callers sent and were told."""
        for request_id, runs in self.runs_by_id.items():
            kind = self.kind_by_id.get(request_id)
            first = runs[0]
            if kind is None:
                self.report(Promise.OWN_REQUESTS, first.at_s, request_id)
            if kind is RequestKind.UNSAFE and len(runs) > 1:
                servers = ", ".join(run.server_id for run in runs)
                detail = f"{request_id} ran at {servers}"
                self.report(Promise.AT_MOST_ONCE, runs[1].at_s, detail)
            if request_id in self.refused_ids and kind is not RequestKind.SAFE:
                detail = f"{request_id} was refused and ran at {first.server_id}"
                self.report(Promise.TRUE_REFUSALS, first.at_s, detail)
            if request_id in self.cut_ids:
                detail = f"{request_id} ran at {first.server_id}, no answer"
                self.report(Promise.NO_CUT_AT_A_STOP, first.at_s, detail)
            for run in runs:
                closed_at = self.closed_at_by_server.get(run.server_id)
                if closed_at is None or self._is_excused(run):
                    continue
                if run.at_s > closed_at:
                    detail = f"{request_id} at {run.server_id}"
                    self.report(Promise.NO_SEND_TO_LEAVING, run.at_s, detail)

    def _is_excused(self, run: ServerRun) -> bool:
        """Return whether its gateway may not have known that a server leaves."""
        gateway = self.gateway_by_id.get(run.request_id)
        drained_at = self.drained_at_by_server.get(run.server_id, 0.0)
        return any(
            one.gateway in (None, gateway)
            and one.began_s <= run.at_s
            and one.ended_s + CONTACT_S >= drained_at
            for one in self.disturbances
        )
