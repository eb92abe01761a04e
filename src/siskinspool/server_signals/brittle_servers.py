"""The decision on servers that fall over if they have to reject too many requests.

Such a server states in all its answers how many rejections a second it bears. All
instances together must therefore not fill its queue, and none may insist after a
rejection:

- Its slots are divided among the instances. What is left over goes to the first ones
  in the server's rendezvous order; if there are fewer slots than instances, only these
  send.
- After a rejection an instance sends it nothing for so long that even one rejection of
  each instance keeps to the rate.

The decision does no I/O and knows no front end.
"""

from __future__ import annotations

import logging
from collections.abc import Collection
from typing import Final

import attrs

from ..machines.rendezvous import score
from ..telemetry.logs import log_event
from .observations import ServerStart

logger = logging.getLogger(__name__)

# Instances do not know the members at the same moment, and their clocks differ.
PAUSE_MARGIN: Final = 1.25
MIN_PAUSE_S: Final = 1.0
# Servers that are gone say nothing any more; the least recently heard is dropped.
MAX_BRITTLE: Final = 8_192


@attrs.define
class _BrittleServer:
    # Rejections a second that it bears.
    max_rejections_per_s: int
    # This instance sends it nothing before that time.
    closed_until: float = 0.0


class BrittleServers:
    """The brittle servers at one instance; times are seconds on its clock."""

    def __init__(self, instance_id: str) -> None:
        """Initialize with this instance's id."""
        self._id = instance_id
        self._by_start: dict[ServerStart, _BrittleServer] = {}

    def observe(self, start: ServerStart, max_rejections_per_s: int | None) -> None:
        """Apply what an answer states; None if its server is not brittle."""
        known = self._by_start.pop(start, None)
        if max_rejections_per_s is None:
            if known is not None:
                _log_change("server_sturdy", start, None)
            return
        if known is None:
            _log_change("server_brittle", start, max_rejections_per_s)
            known = _BrittleServer(max_rejections_per_s)
        known.max_rejections_per_s = max_rejections_per_s
        self._by_start[start] = known
        while len(self._by_start) > MAX_BRITTLE:
            del self._by_start[next(iter(self._by_start))]

    def record_rejected(
        self, start: ServerStart, instance_count: int, now: float
    ) -> None:
        """Record that a server has rejected a request for want of room."""
        server = self._by_start.get(start)
        if server is not None:
            spread_s = PAUSE_MARGIN * instance_count / server.max_rejections_per_s
            server.closed_until = now + max(spread_s, MIN_PAUSE_S)

    def allows_next(
        self,
        start: ServerStart,
        slots: int,
        own_count: int,
        instance_ids: Collection[str],
        now: float,
    ) -> bool:
        """Return whether a server with so many requests of this instance gets another.

        A server that is not brittle may get any number.
        """
        server = self._by_start.get(start)
        if server is None:
            return True
        if now < server.closed_until:
            return False
        return own_count < self._share(start, slots, instance_ids)

    def gauges(self) -> dict[str, float]:
        """Return how many servers are brittle."""
        return {"signals.servers_brittle": float(len(self._by_start))}

    def _share(
        self, start: ServerStart, slots: int, instance_ids: Collection[str]
    ) -> int:
        """Return this instance's part of a server's slots."""
        share, left_over = divmod(slots, max(len(instance_ids), 1))
        if not left_over:
            return share
        own_score = score(start.server_id, self._id)
        rank = sum(
            score(start.server_id, other) > own_score
            for other in instance_ids
            if other != self._id
        )
        return share + (rank < left_over)


def _log_change(
    event: str, start: ServerStart, max_rejections_per_s: int | None
) -> None:
    log_event(
        logger,
        logging.INFO,
        event,
        server=start.server_id,
        max_rejections_per_s=max_rejections_per_s,
    )
