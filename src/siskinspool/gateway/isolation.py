"""The ``isolation`` decision: whether this gateway is cut off from the system.

A gateway that reaches neither the store nor most other gateways hears of no change: no
revoked key, no server that leaves, no use of a team's cap. Requesters are better served
elsewhere, so it reports that it is not ready until it reaches them again. Several
gateways that are cut off together reach each other, so a single answer says little.
While only the store is away, the gateways reach each other, and all stay ready.

Other gateways are asked only while the store does not answer, a few of them at a time,
so the cost does not grow with the site.
"""

from __future__ import annotations

import logging
import random
from typing import Final

from ..core.decision import Decision
from ..core.message import Address, Incoming, Outgoing
from ..core.status import Status
from ..machines.messages import MembershipChanged
from ..store.kv_events import KvReachable
from ..telemetry.logs import log_event
from .messages import (
    FRONT_TASK,
    ISOLATION_TASK,
    IsolationChanged,
    PeerProbe,
    PeerProbeAnswer,
)

logger = logging.getLogger(__name__)

# The session's renewals fail once in about 0.7 s; a single lost answer is common.
PROBE_AFTER_S: Final = 1.0
PROBE_INTERVAL_S: Final = 0.5
# Gateways asked in an outage, chosen at its beginning.
MAX_PROBED_PEERS: Final = 5
# Three rounds without an answer.
PEER_SILENCE_S: Final = 1.5


class IsolationDetector(Decision):
    """Tells the front whether this gateway reaches anything of the system."""

    def __init__(self, instance_id: str) -> None:
        """Take the own id."""
        self._id = instance_id
        self._peer_ids: tuple[str, ...] = ()
        # Since when the store has not answered; None while it answers.
        self._unanswered_since: float | None = None
        self._probe_at = 0.0
        # The gateways asked in this outage, with the time of their last answer.
        self._answered_at_by_peer: dict[str, float] = {}
        self._isolated = False

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Take in an answer of the store or of another gateway."""
        match incoming.message:
            case KvReachable(ok=True):
                self._unanswered_since = None
                self._answered_at_by_peer.clear()
                return self._update_isolation(now)
            case KvReachable():
                if self._unanswered_since is None:
                    self._unanswered_since = now
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
        """Ask some gateways while the store does not answer."""
        if self._unanswered_since is None or now < self._probe_at:
            return []
        self._probe_at = now + PROBE_INTERVAL_S
        if not self._answered_at_by_peer:
            # As if all had answered just now, so that each has the time to do so.
            count = min(MAX_PROBED_PEERS, len(self._peer_ids))
            chosen = random.sample(self._peer_ids, count)
            self._answered_at_by_peer = dict.fromkeys(chosen, now)
        batch = [
            Outgoing(Address(peer, ISOLATION_TASK), PeerProbe())
            for peer in self._answered_at_by_peer
        ]
        return batch + self._update_isolation(now)

    def wake_at(self) -> float | None:
        """Return when gateways are asked next."""
        return None if self._unanswered_since is None else self._probe_at

    def status(self, now: float) -> Status:
        """Return whether this gateway is cut off."""
        return {"isolated": self._isolated}

    def _update_isolation(self, now: float) -> list[Outgoing]:
        heard_at = self._answered_at_by_peer.values()
        reached = sum(1 for at in heard_at if now - at < PEER_SILENCE_S)
        isolated = 2 * reached < len(heard_at)
        if isolated == self._isolated:
            return []
        self._isolated = isolated
        log_event(
            logger,
            logging.WARNING,
            "isolation_changed",
            isolated=isolated,
            asked=len(heard_at),
            reached=reached,
        )
        front = Address(self._id, FRONT_TASK)
        return [Outgoing(front, IsolationChanged(isolated))]
