"""The ``quarantine`` decision: which prompt parts are refused.

A prompt part may crash each server that begins to answer a request with it.
Requests with such a part arrive at all gateways, so the evidence is shared: each
gateway reports the requests that a crash broke, and which suspected parts were served
since (`EvidenceExchange`). All gateways draw the same conclusions from it
(`CrashLedger.diagnose`), without an owner that could fail.

A group of parts is held for a time that grows with the number of its crashes, and is
longer if nothing else explains them. Afterwards the gateways let single requests
through as probes, one gateway after the other. A served probe releases the group, a
crash holds it longer.
"""

from __future__ import annotations

import logging
import math
import random
from typing import Final

from ..core.decision import Decision
from ..core.member import MembershipChanged
from ..core.message import Address, Incoming, Outgoing
from ..core.status import Status
from ..machines.rendezvous import score
from ..telemetry.logs import log_event
from .crash_ledger import MIN_CRASHES, CrashLedger, SuspectGroup
from .evidence_exchange import EvidenceExchange
from .messages import FRONT_TASK
from .quarantine_gate import PROBE_TIMEOUT_S
from .quarantine_messages import (
    QUARANTINE_TASK,
    AnswerBroken,
    CrashEvidence,
    CrashEvidenceQuery,
    ProbeStarted,
    PromptServed,
    QuarantineChanged,
    QuarantinedParts,
)

logger = logging.getLogger(__name__)

# How long a group is held after its second crash, and the factor for each further one.
CERTAIN_HOLD_S: Final = 60.0
CERTAIN_HOLD_FACTOR: Final = 2
UNCERTAIN_HOLD_S: Final = 3.0
UNCERTAIN_HOLD_FACTOR: Final = 3
MAX_HOLD_S: Final = 300.0
# Interval at which one gateway after the other may send a probe. By then the result of
# the previous probe is known.
PROBE_STAGGER_S: Final = 1.0
# Crashes whose evidence a new gateway gets as an answer to its query.
MAX_REPORTED_CRASHES: Final = 32


class Quarantine(Decision):
    """Collects crash evidence and tells the front which parts to refuse."""

    def __init__(self, instance_id: str, rng: random.Random) -> None:
        """Initialize with this gateway's id and a random source."""
        self._id = instance_id
        self._ledger = CrashLedger()
        self._exchange = EvidenceExchange(instance_id, rng)
        self._member_ids: tuple[str, ...] = (instance_id,)
        # Until when no further probe is sent for a group.
        self._probing_until_by_group: dict[frozenset[str], float] = {}
        self._groups: tuple[QuarantinedParts, ...] = ()
        # When the next crash settles; None if all have.
        self._settles_at: float | None = None

    def handle(self, incoming: Incoming, now: float) -> list[Outgoing]:
        """Handle evidence from a request or another gateway."""
        match incoming.message:
            case AnswerBroken() as broken:
                self._on_answer_broken(broken, now)
            case PromptServed(part_ids):
                cleared = self._ledger.record_served(part_ids, now)
                if not cleared:
                    return []
                self._exchange.add_news((), cleared, now)
            case CrashEvidence() as evidence:
                changed, cleared = self._ledger.merge(evidence, now)
                self._exchange.add_heard_news(changed, cleared, now)
            case CrashEvidenceQuery():
                boots = self._ledger.boots()[-MAX_REPORTED_CRASHES:]
                known = self._ledger.report(boots, (), now)
                return [Outgoing(incoming.sender, known)] if boots else []
            case ProbeStarted(part_ids):
                self._probing_until_by_group[part_ids] = now + PROBE_TIMEOUT_S
            case MembershipChanged(member_by_id):
                self._member_ids = tuple(sorted(member_by_id))
                asked = self._exchange.update_members(member_by_id)
                return [self._to_peer(peer, CrashEvidenceQuery()) for peer in asked]
        return self._update_groups(now)

    def on_time(self, now: float) -> list[Outgoing]:
        """Send evidence and consider crashes that have settled."""
        self._ledger.drop_expired(now)
        batch = [
            self._to_peer(peer, evidence)
            for peer, evidence in self._exchange.pop_messages(self._ledger, now)
        ]
        return batch + self._update_groups(now)

    def wake_at(self) -> float | None:
        """Return when messages are due or a crash settles."""
        due = self._exchange.wake_at(self._ledger)
        if self._settles_at is not None:
            due = min(due, self._settles_at)
        return None if due == math.inf else due

    def status(self, now: float) -> Status:
        """Return the known crashes and the quarantined parts."""
        return {
            "crashes": len(self._ledger),
            "groups": [
                {
                    "parts": sorted(group.part_ids),
                    "probe_in_s": round(max(group.probe_from - now, 0.0), 1),
                }
                for group in self._groups
            ],
        }

    def gauges(self) -> dict[str, float]:
        """Return the number of known crashes and of quarantined groups."""
        return {
            "quarantine.crashes": float(len(self._ledger)),
            "quarantine.groups": float(len(self._groups)),
        }

    def _on_answer_broken(self, broken: AnswerBroken, now: float) -> None:
        is_new = self._ledger.record_broken(
            broken.boot, broken.part_ids, now, has_begun=broken.has_begun
        )
        if not is_new:
            return
        self._exchange.add_news([broken.boot], (), now)
        log_event(
            logger,
            logging.INFO,
            "crash_suspected",
            server=broken.boot.server_id,
            parts=",".join(broken.part_ids),
            begun=broken.has_begun,
        )

    def _update_groups(self, now: float) -> list[Outgoing]:
        """Notify the front if the quarantined groups have changed."""
        self._settles_at = self._ledger.settles_at(now)
        suspects = self._ledger.diagnose(now)
        groups = tuple(self._quarantined(suspect) for suspect in suspects)
        if groups == self._groups:
            return []
        self._log_changes(suspects, now)
        self._groups = groups
        held = {group.part_ids for group in groups}
        self._probing_until_by_group = {
            part_ids: until
            for part_ids, until in self._probing_until_by_group.items()
            if part_ids in held
        }
        front = Address(self._id, FRONT_TASK)
        return [Outgoing(front, QuarantineChanged(groups))]

    def _quarantined(self, suspect: SuspectGroup) -> QuarantinedParts:
        key = ",".join(sorted(suspect.part_ids))
        own_score = score(key, self._id)
        rank = sum(1 for member in self._member_ids if score(key, member) > own_score)
        probe_from = suspect.last_crash_at + hold_s(suspect) + rank * PROBE_STAGGER_S
        probing_until = self._probing_until_by_group.get(suspect.part_ids, probe_from)
        return QuarantinedParts(suspect.part_ids, max(probe_from, probing_until))

    def _log_changes(self, suspects: list[SuspectGroup], now: float) -> None:
        before = {group.part_ids for group in self._groups}
        for suspect in suspects:
            log_event(
                logger,
                logging.WARNING,
                "parts_quarantined",
                parts=",".join(sorted(suspect.part_ids)),
                crashes=suspect.crash_count,
                certain=suspect.is_certain,
                hold_s=suspect.last_crash_at + hold_s(suspect) - now,
            )
        for part_ids in before - {suspect.part_ids for suspect in suspects}:
            log_event(
                logger,
                logging.WARNING,
                "parts_released",
                parts=",".join(sorted(part_ids)),
            )

    def _to_peer(
        self, peer: str, message: CrashEvidence | CrashEvidenceQuery
    ) -> Outgoing:
        return Outgoing(Address(peer, QUARANTINE_TASK), message)


def hold_s(suspect: SuspectGroup) -> float:
    """Return how long after its last crash a group is held without a probe."""
    further = suspect.crash_count - MIN_CRASHES
    if suspect.is_certain:
        held_s = CERTAIN_HOLD_S * math.pow(CERTAIN_HOLD_FACTOR, further)
    else:
        held_s = UNCERTAIN_HOLD_S * math.pow(UNCERTAIN_HOLD_FACTOR, further)
    return min(held_s, MAX_HOLD_S)
