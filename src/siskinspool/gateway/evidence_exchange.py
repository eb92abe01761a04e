"""Decides when a gateway sends its crash evidence, and to whom.

News spreads as a rumor: a gateway that learns something new sends it to a few random
others, which do the same (epidemic broadcast). If there are only a few gateways, the
first one reaches all of them itself. While there is evidence, each gateway also sends
some of it to one random other at a fixed interval, which reaches those that were cut
off or have just started.

A token bucket limits the bytes; news that exceeds it waits.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Final

from .crash_ledger import CrashLedger
from .quarantine_messages import CrashEvidence, ServerBoot
from .token_bucket import TokenBucket

# Number of gateways to which news is sent.
FANOUT: Final = 8
# News is collected for this time, since a crash breaks several requests at once.
FLUSH_DELAY_S: Final = 0.01
REPAIR_INTERVAL_S: Final = 1.0
MAX_CRASHES_PER_MESSAGE: Final = 8
MAX_CRASHES_PER_REPAIR: Final = 4
# Limit on what one gateway sends.
BYTES_PER_S: Final = 1_000.0
BURST_BYTES: Final = 32_000.0
# Estimated size of a message: the envelope, and each crash and part id.
ENVELOPE_BYTES: Final = 60
CRASH_BYTES: Final = 50
PART_BYTES: Final = 30


class EvidenceExchange:
    """Collects news and chooses messages and recipients; times are in seconds."""

    def __init__(self, instance_id: str, rng: random.Random) -> None:
        self._id = instance_id
        self._random = rng
        self._other_ids: tuple[str, ...] = ()
        self._new_boots: dict[ServerBoot, None] = {}
        self._new_part_ids: dict[str, None] = {}
        self._flush_at: float | None = None
        self._repair_at = 0.0
        self._budget: TokenBucket | None = None

    def update_members(self, member_ids: Iterable[str]) -> list[str]:
        """Set the members; return whom to ask if these are the first others."""
        had_others = bool(self._other_ids)
        self._other_ids = tuple(sorted(set(member_ids) - {self._id}))
        return [] if had_others else self._choose(2)

    def add_news(
        self, boots: Iterable[ServerBoot], part_ids: Iterable[str], now: float
    ) -> None:
        """Add crashes with new evidence and newly cleared parts."""
        self._new_boots.update(dict.fromkeys(boots))
        self._new_part_ids.update(dict.fromkeys(part_ids))
        if self._flush_at is None and (self._new_boots or self._new_part_ids):
            self._flush_at = now + FLUSH_DELAY_S

    def add_heard_news(
        self, boots: Iterable[ServerBoot], part_ids: Iterable[str], now: float
    ) -> None:
        """Add news from another gateway, unless that one has sent it to all."""
        if len(self._other_ids) > FANOUT:
            self.add_news(boots, part_ids, now)

    def pop_messages(
        self, ledger: CrashLedger, now: float
    ) -> list[tuple[str, CrashEvidence]]:
        """Return the messages that are due, by recipient."""
        messages = []
        if self._flush_at is not None and now >= self._flush_at:
            messages += self._pop_news(ledger, now)
        if len(ledger) and now >= self._repair_at:
            self._repair_at = now + REPAIR_INTERVAL_S
            messages += self._repair(ledger, now)
        return messages

    def wake_at(self, ledger: CrashLedger) -> float:
        """Return when messages are due next."""
        due = float("inf") if self._flush_at is None else self._flush_at
        return min(due, self._repair_at) if len(ledger) else due

    def _pop_news(
        self, ledger: CrashLedger, now: float
    ) -> list[tuple[str, CrashEvidence]]:
        boots = list(self._new_boots)[:MAX_CRASHES_PER_MESSAGE]
        evidence = ledger.report(boots, self._new_part_ids, now)
        recipients = self._choose(FANOUT)
        size = _estimated_bytes(evidence) * len(recipients)
        if not self._try_spend(size, now):
            self._flush_at = now + REPAIR_INTERVAL_S
            return []
        for boot in boots:
            del self._new_boots[boot]
        self._new_part_ids.clear()
        self._flush_at = now + FLUSH_DELAY_S if self._new_boots else None
        return [(recipient, evidence) for recipient in recipients]

    def _repair(
        self, ledger: CrashLedger, now: float
    ) -> list[tuple[str, CrashEvidence]]:
        boots = ledger.boots()
        if len(boots) > MAX_CRASHES_PER_REPAIR:
            boots = self._random.sample(boots, MAX_CRASHES_PER_REPAIR)
        evidence = ledger.report(boots, (), now)
        recipients = self._choose(1)
        if not self._try_spend(_estimated_bytes(evidence), now):
            return []
        return [(recipient, evidence) for recipient in recipients]

    def _choose(self, count: int) -> list[str]:
        if len(self._other_ids) <= count:
            return list(self._other_ids)
        return self._random.sample(self._other_ids, count)

    def _try_spend(self, size: int, now: float) -> bool:
        if self._budget is None:
            self._budget = TokenBucket.full(BYTES_PER_S, BURST_BYTES, now)
        # A message larger than the burst would never be sent.
        return self._budget.try_take(min(size, BURST_BYTES), now)


def _estimated_bytes(evidence: CrashEvidence) -> int:
    part_count = len(evidence.served_age_s_by_part) + sum(
        len(crash.begun_part_ids) + len(crash.waiting_part_ids)
        for crash in evidence.crashes
    )
    return (
        ENVELOPE_BYTES + CRASH_BYTES * len(evidence.crashes) + PART_BYTES * part_count
    )
