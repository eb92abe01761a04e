"""Whether a server has a place for one more request.

Requests queue at a server in the order in which they arrive there, so a long queue at
the server takes the order away from the gateways. They therefore hold a request back
while the queue of the server is longer than the time between two figures requires.
"""

from __future__ import annotations

from typing import Final

import attrs

# Requests that may queue at a server, as a share of its slots. They keep the server
# busy until the news of a free slot has brought further ones.
SERVER_QUEUE_SHARE: Final = 0.25
# A full server whose figure is older than this gets one more request, whose answer
# brings a new figure.
FIGURE_TTL_S: Final = 0.3
# Share of the slots that may be kept for retries. It is not above the share that may
# queue, so that a kept place that nobody claims leaves no slot idle.
MAX_KEPT_SHARE: Final = SERVER_QUEUE_SHARE


@attrs.define
class _ServerFigure:
    """The last stated load of a server; times are in monotonic seconds."""

    # Running and waiting requests.
    count: int
    slots: int
    at: float
    # Requests that this gateway has sent since.
    sent: int = 0
    probed_at: float = 0.0

    def is_full(self, kept: float = 0.0) -> bool:
        """Return whether the stated load and the requests sent since fill it."""
        queue_length = max(self.slots * SERVER_QUEUE_SHARE, 1.0)
        kept = min(kept, self.slots * MAX_KEPT_SHARE)
        return self.count + self.sent + kept >= self.slots + queue_length


class ServerPlaces:
    """Tracks which servers have a place; a server that states no load always has."""

    def __init__(self) -> None:
        self._figure_by_server: dict[str, _ServerFigure] = {}

    def is_free(self, server_id: str, now: float, kept: float = 0.0) -> bool:
        """Return whether the server may get one more request.

        ``kept`` is the number of its places that are kept for others.
        """
        figure = self._figure_by_server.get(server_id)
        if figure is None or not figure.is_full(kept):
            return True
        return now >= max(figure.at, figure.probed_at) + FIGURE_TTL_S

    def record_sent(self, server_id: str, now: float) -> None:
        """Record that a request is sent to the server."""
        figure = self._figure_by_server.get(server_id)
        if figure is not None:
            if figure.is_full():
                figure.probed_at = now
            figure.sent += 1

    def record_load(self, server_id: str, count: int, slots: int, now: float) -> None:
        """Record the stated number of running and waiting requests of a server."""
        self._figure_by_server[server_id] = _ServerFigure(count, slots, now)

    def forget(self, server_id: str) -> None:
        """Drop the figures of a server that has left."""
        self._figure_by_server.pop(server_id, None)
