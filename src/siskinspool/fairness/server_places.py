"""Whether a server has a place for one more request.

A server queues what it cannot run yet, in an order that the gateways do not decide.
They therefore hold a request back while the queue at the server is expected to take
longer than a short time.
"""

from __future__ import annotations

from collections import Counter
from typing import Final

import attrs

from .waiting_order import WaitingEntry

# The longest wait in a server's queue for which a request is sent there. It keeps the
# server busy until the news of a free slot has brought further requests.
MAX_SERVER_WAIT_S: Final = 0.15
# The same for the most urgent requests: many servers take these first, and with many
# gateways news of a free slot may come later than this.
MAX_URGENT_SERVER_WAIT_S: Final = 0.3
MOST_URGENT: Final = 0
# At full load a gateway gets a figure of a server each time its share of the server's
# slots has run. A full server without news for this many such times gets one request,
# whose answer brings a new figure. So each gateway gets at least its share of a server,
# also if others hear of free slots first.
NEWS_INTERVALS: Final = 1.0
MIN_FIGURE_TTL_S: Final = 0.1
MAX_FIGURE_TTL_S: Final = 1.0
# Weights of a new run time in the average. Run times include the wait in the server's
# queue, so longer ones count less.
SHORTER_RUN_WEIGHT: Final = 0.3
LONGER_RUN_WEIGHT: Final = 0.05


@attrs.frozen(kw_only=True)
class StatedLoad:
    """The load that a server has stated."""

    server_id: str
    # Running and waiting requests.
    count: int
    slots: int


@attrs.define
class _ServerFigure:
    """The last stated load of a server; times are in monotonic seconds."""

    stated: StatedLoad
    at: float
    # Requests that this gateway has sent since.
    sent: int = 0
    probed_at: float = 0.0

    def wait_s(self, run_s: float) -> float:
        """Return the expected wait in the server's queue."""
        slots = max(self.stated.slots, 1)
        queued = self.stated.count + self.sent - slots + 1
        return max(queued, 0) * run_s / slots


@attrs.define
class _SentRequest:
    """A request of this gateway at a server."""

    service: str
    server_id: str
    at: float
    # This gateway's requests at the server at the first event of a stream. The load of
    # a stream is stated there, but reported at its end.
    own_at_first_event: int | None = None


class ServerPlaces:
    """Tracks which servers have a place; a server that states no load always has."""

    def __init__(self) -> None:
        self._figure_by_server: dict[str, _ServerFigure] = {}
        self._sent_by_request: dict[str, _SentRequest] = {}
        self._own_count_by_server: Counter[str] = Counter()
        self._run_s_by_service: dict[str, float] = {}
        self._gateways = 1

    def set_gateways(self, count: int) -> None:
        """Set the number of gateways that send to the servers."""
        self._gateways = max(count, 1)

    def is_free(
        self,
        server_id: str,
        entry: WaitingEntry,
        now: float,
        kept: float = 0.0,
    ) -> bool:
        """Return whether the server may get one more request.

        ``kept`` is the number of its places that are kept for others.
        """
        figure = self._figure_by_server.get(server_id)
        run_s = self._run_s_by_service.get(entry.service)
        if figure is None or run_s is None:
            return True
        max_wait_s = _max_wait_s(entry)
        # Kept places are taken from the queue, so that they leave no slot idle.
        kept_s = min(kept * run_s / max(figure.stated.slots, 1), max_wait_s)
        if figure.wait_s(run_s) <= max_wait_s - kept_s:
            return True
        news_s = run_s * self._gateways / max(figure.stated.slots, 1)
        ttl_s = max(MIN_FIGURE_TTL_S, min(NEWS_INTERVALS * news_s, MAX_FIGURE_TTL_S))
        return now >= max(figure.at, figure.probed_at) + ttl_s

    def full_servers(
        self, entry: WaitingEntry, now: float, kept: float = 0.0
    ) -> frozenset[str]:
        """Return the servers that may not get one more request."""
        return frozenset(
            server_id
            for server_id in self._figure_by_server
            if not self.is_free(server_id, entry, now, kept)
        )

    def record_sent(self, entry: WaitingEntry, server_id: str, now: float) -> None:
        """Record that a request is sent to the server."""
        service = entry.service
        self._sent_by_request[entry.request_id] = _SentRequest(service, server_id, now)
        self._own_count_by_server[server_id] += 1
        figure = self._figure_by_server.get(server_id)
        run_s = self._run_s_by_service.get(service)
        if figure is not None:
            if run_s is not None and figure.wait_s(run_s) > MAX_SERVER_WAIT_S:
                # Its answer brings a new figure, however urgent it is.
                figure.probed_at = now
            figure.sent += 1

    def record_end(
        self, request_id: str, stated: StatedLoad | None, now: float, *, has_run: bool
    ) -> None:
        """Record the end of a send, with the load that its answer stated."""
        sent = self._remove(request_id)
        if has_run and sent is not None:
            self._record_run(sent.service, now - sent.at)
        if stated is not None:
            if sent is not None and sent.own_at_first_event is not None:
                own_count = self._own_count_by_server[stated.server_id]
                change = own_count - sent.own_at_first_event
                stated = attrs.evolve(stated, count=max(stated.count + change, 0))
            self._figure_by_server[stated.server_id] = _ServerFigure(stated, now)

    def record_first_event(self, request_id: str) -> None:
        """Record the first event of a stream, with which its server states its load."""
        sent = self._sent_by_request.get(request_id)
        if sent is not None:
            sent.own_at_first_event = self._own_count_by_server[sent.server_id]

    def _remove(self, request_id: str) -> _SentRequest | None:
        sent = self._sent_by_request.pop(request_id, None)
        if sent is not None:
            self._own_count_by_server[sent.server_id] -= 1
            if not self._own_count_by_server[sent.server_id]:
                del self._own_count_by_server[sent.server_id]
        return sent

    def _record_run(self, service: str, took_s: float) -> None:
        known_s = self._run_s_by_service.get(service, took_s)
        weight = SHORTER_RUN_WEIGHT if took_s < known_s else LONGER_RUN_WEIGHT
        self._run_s_by_service[service] = known_s + weight * (took_s - known_s)

    def forget_request(self, request_id: str) -> None:
        """Drop a request that was not sent, or whose server has left."""
        self._remove(request_id)

    def forget_server(self, server_id: str) -> None:
        """Drop the figures of a server that has left."""
        self._figure_by_server.pop(server_id, None)


def _max_wait_s(entry: WaitingEntry) -> float:
    """Return the longest wait in a server's queue for which a request is sent."""
    is_urgent = entry.priority == MOST_URGENT
    return MAX_URGENT_SERVER_WAIT_S if is_urgent else MAX_SERVER_WAIT_S
