"""What this gateway does for others that reach servers through it.

A server means the gateway that connects to it, so another gateway's request goes out
from here only if an own one might, and what the answer states binds this gateway, too.
"""

from __future__ import annotations

import attrs

from ..relay.relay_messages import (
    RelayDenied,
    RelayedSignal,
    RelayGranted,
    RelayQuery,
)
from ..server_signals.observations import Observation, observation
from .server_views import ServerViews


@attrs.frozen
class RelayRequests:
    """Decides on requests of other gateways; times in seconds."""

    _views: ServerViews

    def answer(self, query: RelayQuery, now: float) -> RelayGranted | RelayDenied:
        """Return whether another gateway's request may go out from here."""
        view = self._views.by_id.get(query.server_id)
        if view is None or not query.is_about(view.start):
            return RelayDenied("the server is not known")
        is_evacuated = view.record.zone in self._views.evacuated_zones
        if is_evacuated or now < view.opens_at(now):
            return RelayDenied("the server is not open")
        if not view.is_open(now):
            return RelayDenied("no connection lately", is_unable=True)
        self._views.signals.record_sent(view.start, now)
        return RelayGranted(view.record.host, view.record.port)

    def stated(self, signal: RelayedSignal, now: float) -> Observation | None:
        """Return what a server has stated to this gateway in a relayed answer.

        None if the server has started again since.
        """
        view = self._views.by_id.get(signal.server_id)
        if view is None or view.start.born_ms != signal.born_ms:
            return None
        return observation(
            view.start,
            now,
            is_leaving=signal.is_leaving,
            retry_after_s=signal.retry_after_s,
        )
