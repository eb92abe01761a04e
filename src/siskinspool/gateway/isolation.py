"""The ``isolation`` decision: detects that this gateway is partitioned off.

A gateway that can reach neither the store nor most other gateways receives no changes:
no revoked key, no draining server, no use of a team's cap. Requesters are better served
elsewhere, so it reports that it is not ready until the connection returns. Several
gateways that are partitioned off together can reach each other, so an answer from a
single peer does not prove a connection to the site. During an outage of the store
alone, the gateways can reach each other and all stay ready.

Peers are probed only while the store does not answer, and only a few of them, so the
cost does not grow with the site.
"""

from __future__ import annotations

import logging
import random
from typing import Final

from ..core.decision import Decision
from ..core.member import MembershipChanged
from ..core.message import Address, Incoming, Outgoing
from ..core.status import Status
from ..store.kv_events import KvReachability
from ..telemetry.logs import log_event
from .messages import (
    FRONT_TASK,
    ISOLATION_TASK,
    IsolationChanged,
    PeerProbe,
    PeerProbeAnswer,
)

logger = logging.getLogger(__name__)

# The session is renewed about every 0.7 s; a single lost answer is common.
PROBE_AFTER_S: Final = 1.0
PROBE_INTERVAL_S: Final = 0.5
# Number of peers probed in an outage, chosen at its beginning.
MAX_PROBED_PEERS: Final = 5
# Three probe rounds without an answer.
PEER_SILENCE_S: Final = 1.5


class IsolationDetector(Decision):
    """Notifies the front when this gateway becomes isolated or reconnects."""

    def __init__(self, instance_id: str) -> None:
        """Initialize with this gateway's id."""
        self._id = instance_id
        self._peer_ids: tuple[str, ...] = ()
        # Start of the store's outage; None while the store answers.
        self._store_silent_since: float | None = None
        self._probe_at = 0.0
        # The peers probed in this outage, with the time of their last answer.
        self._answered_at_by_peer: dict[str, float] = {}
        self._is_isolated = False

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle a health report of the store, or a probe or answer of a peer."""
        match incoming.message:
            case KvReachability(is_reachable=True):
                self._store_silent_since = None
                self._answered_at_by_peer.clear()
                return self._update_isolation(now)
            case KvReachability():
                if self._store_silent_since is None:
                    self._store_silent_since = now
                    self._probe_at = now + PROBE_AFTER_S
            case MembershipChanged(member_by_id):
                self._peer_ids = tuple(sorted(member_by_id.keys() - {self._id}))
            case PeerProbe():
                return [Outgoing(incoming.sender, PeerProbeAnswer())]
            case PeerProbeAnswer():
                peer = incoming.sender.instance_id
                if peer in self._answered_at_by_peer:
                    self._answered_at_by_peer[peer] = now
                    return self._update_isolation(now)
        return []

    def on_time(self, now: float) -> list[Outgoing]:
        """Probe some peers while the store does not answer."""
        if self._store_silent_since is None or now < self._probe_at:
            return []
        self._probe_at = now + PROBE_INTERVAL_S
        if not self._answered_at_by_peer:
            # Starts as if all had just answered, so that each gets the full time.
            count = min(MAX_PROBED_PEERS, len(self._peer_ids))
            chosen = random.sample(self._peer_ids, count)
            self._answered_at_by_peer = dict.fromkeys(chosen, now)
        batch = [
            Outgoing(Address(peer, ISOLATION_TASK), PeerProbe())
            for peer in self._answered_at_by_peer
        ]
        return batch + self._update_isolation(now)

    def wake_at(self) -> float | None:
        """Return when peers are probed next."""
        return None if self._store_silent_since is None else self._probe_at

    def status(self, now: float) -> Status:
        """Return whether this gateway is isolated."""
        return {"isolated": self._is_isolated}

    def _update_isolation(self, now: float) -> list[Outgoing]:
        answered_at = self._answered_at_by_peer.values()
        reached = sum(1 for at in answered_at if now - at < PEER_SILENCE_S)
        isolated = 2 * reached < len(answered_at)
        if isolated == self._is_isolated:
            return []
        self._is_isolated = isolated
        log_event(
            logger,
            logging.WARNING,
            "isolation_changed",
            isolated=isolated,
            asked=len(answered_at),
            reached=reached,
        )
        front = Address(self._id, FRONT_TASK)
        return [Outgoing(front, IsolationChanged(isolated))]
