"""A server's load: as stated by the server, and as estimated for the present."""

from __future__ import annotations

import math
from typing import Final

import attrs

# Half-life of a stated load. After that, requests that it counts have ended and other
# senders have added some, so the server's mean load says as much.
LOAD_HALF_LIFE_S: Final = 1.0
# The same for a server that has just started, as its load changes within a second.
# Senders that go by older figures overfill it and then avoid it.
CHANGING_HALF_LIFE_S: Final = 0.25
CHANGING_S: Final = 6.0
# Weight of the newest figure in the mean of all servers.
NEWEST_FIGURE_WEIGHT: Final = 0.15
# The same for the difference of a server from that mean; a larger weight overfills
# servers that have returned.
NEWEST_DIFFERENCE_WEIGHT: Final = 0.1


@attrs.frozen(kw_only=True)
class LoadFigure:
    """The load that a server states."""

    running: int
    waiting: int
    slots: int
    # How long work takes at present, relative to the usual time; None if not stated.
    slowdown: float | None = None

    @property
    def requests_per_slot(self) -> float:
        """Return running and waiting requests per slot."""
        return (self.running + self.waiting) / max(self.slots, 1)


@attrs.frozen
class Load:
    """Estimated numbers of running and waiting requests."""

    running: float
    waiting: float


@attrs.define
class FleetLoad:
    """Mean load of the servers of a service.

    Where each server gets requests in proportion to its speed, all have the same number
    of them at a time, so the mean needs no scaling by speed.
    """

    # Running and waiting requests per slot.
    per_slot: float = 0.0
    _has_figure: bool = False

    def add(self, figure: LoadFigure) -> None:
        """Add the figure of a server."""
        newest = figure.requests_per_slot
        if not self._has_figure:
            self.per_slot, self._has_figure = newest, True
        self.per_slot += NEWEST_FIGURE_WEIGHT * (newest - self.per_slot)


@attrs.define
class LoadEstimate:
    """Estimates the present load of a server from its last figure."""

    fleet: FleetLoad
    _figure: LoadFigure | None = None
    _figure_at: float = -math.inf
    # Own requests that were sent, and that ended, since the figure.
    _sent: int = 0
    _ended: int = 0
    # Mean difference from the other servers, in requests per slot: servers hold
    # different models.
    _difference: float = 0.0
    _changing_until: float = -math.inf

    def begin_change(self, now: float) -> None:
        """Record that the server starts, so its load will change quickly."""
        self._changing_until = now + CHANGING_S
        self._difference = 0.0

    def record_figure(self, figure: LoadFigure, now: float) -> None:
        """Record a figure of the server."""
        self.fleet.add(figure)
        if now >= self._changing_until:
            stated = figure.requests_per_slot - self.fleet.per_slot
            change = stated - self._difference
            self._difference += NEWEST_DIFFERENCE_WEIGHT * change
        self._figure, self._figure_at = figure, now
        self._sent = self._ended = 0

    def record_sent(self) -> None:
        """Record that a request was sent."""
        self._sent += 1

    def record_ended(self) -> None:
        """Record that a request ended."""
        self._ended += 1

    def current(self, slots: int, own_count: int, now: float) -> Load:
        """Return the estimated load of a server with this sender's own requests.

        With its age, a figure moves towards the server's mean load: this stands for
        what the other senders have sent and what has ended since.
        """
        total = max(self.fleet.per_slot + self._difference, 0.0) * slots
        waiting = 0.0
        if self._figure is not None:
            is_changing = now < self._changing_until
            half_life_s = CHANGING_HALF_LIFE_S if is_changing else LOAD_HALF_LIFE_S
            share = 0.5 ** (max(now - self._figure_at, 0.0) / half_life_s)
            stated = self._figure.running + self._figure.waiting
            total += share * (stated - total - self._ended) + self._sent
            # Requests may wait below the number of slots, for memory.
            waiting = share * self._figure.waiting
        total = max(total, float(own_count), waiting)
        waiting = max(waiting, total - slots)
        return Load(total - waiting, waiting)
