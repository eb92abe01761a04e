"""Sums the usage of the teams over all gateways with few small messages.

The gateways are ordered by id. At level n a gateway sends the sum over the 2 ** n
gateways that end with itself to the gateway 2 ** n further on, which adds its own sum
of that level. After log2 of their number, rounded up, each knows the sum over all. Each
gateway sends one message of a level at a time, whatever their number is. A lost message
or a silent gateway only makes sums smaller until the next one.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Final

import attrs

from .usage_messages import TeamUsageReport
from .usage_rates import UsageMeter, UsageRates
from .waiting_order import WaitingEntry

# With a report of at most MAX_REPORT_BYTES and its envelope, this stays below the limit
# of 2 KB/s for each gateway.
REPORT_INTERVAL_S: Final = 0.25
MAX_REPORT_BYTES: Final = 300
# A report that has not been renewed for this long no longer counts.
REPORT_TTL_S: Final = 6.0
# More levels than any number of gateways needs.
MAX_LEVELS: Final = 16


@attrs.frozen
class UsageSent:
    """A report for another gateway."""

    recipient_id: str
    report: TeamUsageReport


@attrs.frozen
class _Received:
    rates: UsageRates
    at: float


class UsageExchange:
    """The exchange at one gateway; times are monotonic seconds."""

    def __init__(self, instance_id: str) -> None:
        self._id = instance_id
        self._meter = UsageMeter()
        self._received_by_level: dict[int, _Received] = {}
        self._level = 0
        self.next_at = 0.0

    def record_served(self, entry: WaitingEntry, now: float) -> None:
        """Record a request that got a server at this gateway."""
        self._meter.record(entry, now)

    def record_report(self, report: TeamUsageReport, now: float) -> None:
        """Record the sum of another gateway."""
        if 0 <= report.level < MAX_LEVELS:
            rates = UsageRates.from_usages(report.usages)
            self._received_by_level[report.level] = _Received(rates, now)

    def next_report(self, member_ids: Sequence[str], now: float) -> UsageSent | None:
        """Return the next report, or None if there is nothing to report.

        ``member_ids`` are all gateways in order.
        """
        self.next_at = now + REPORT_INTERVAL_S
        levels = _level_count(len(member_ids))
        if not levels or self._id not in member_ids:
            return None
        level = self._level % levels
        self._level = level + 1
        usages = self._sum(level, now).top_usages(MAX_REPORT_BYTES)
        if not usages:
            return None
        position = member_ids.index(self._id) + 2**level
        recipient_id = member_ids[position % len(member_ids)]
        return UsageSent(recipient_id, TeamUsageReport(level, usages))

    def used_elsewhere(self, member_count: int, now: float) -> UsageRates:
        """Return the usage at the other gateways, as far as it is known.

        Where the number of gateways is not a power of two, the last level counts some
        of them twice; the sum is scaled to their number.
        """
        levels = _level_count(member_count)
        rates = UsageRates()
        if levels:
            factor = (member_count - 1) / (2**levels - 1)
            for level in range(levels):
                if received := self._fresh(level, now):
                    rates.add(received.rates, factor)
        return rates

    def _sum(self, level: int, now: float) -> UsageRates:
        """Return the sum over the 2 ** level gateways that end with this one."""
        rates = self._meter.rates(now)
        for lower in range(level):
            if received := self._fresh(lower, now):
                rates.add(received.rates)
        return rates

    def _fresh(self, level: int, now: float) -> _Received | None:
        received = self._received_by_level.get(level)
        if received is None or now - received.at > REPORT_TTL_S:
            return None
        return received


def _level_count(member_count: int) -> int:
    """Return the number of levels after which each gateway knows all others."""
    return max(member_count - 1, 0).bit_length()
