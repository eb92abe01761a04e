"""The work of all gateways as they report it to the holder."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection
from typing import Final

import attrs

from .duty_messages import ServiceWork

# A report that is older than this, from a gateway that is slow or cut off, is not used.
REPORT_TTL_S: Final = 4.0


@attrs.frozen
class _Report:
    work_by_service: dict[str, ServiceWork]
    at_s: float


class WorkTotals:
    """The last report of each gateway."""

    def __init__(self) -> None:
        self._report_by_gateway: dict[str, _Report] = {}

    def record(
        self, gateway_id: str, works: tuple[ServiceWork, ...], now: float
    ) -> None:
        """Record a gateway's present work."""
        by_service = {work.service: work for work in works}
        self._report_by_gateway[gateway_id] = _Report(by_service, now)

    def retain(self, gateway_ids: Collection[str]) -> None:
        """Forget the work of other gateways than these."""
        for gone in self._report_by_gateway.keys() - set(gateway_ids):
            del self._report_by_gateway[gone]

    def total(self, service: str, now: float) -> int:
        """Return the running and waiting requests of a service."""
        works = self._works(service, now)
        waiting = sum(work.waiting for work in works)
        return waiting + self.running_by_zone(service, now).total()

    def running_by_zone(self, service: str, now: float) -> Counter[str]:
        """Return the running requests of a service by zone."""
        running: Counter[str] = Counter()
        for work in self._works(service, now):
            running.update(work.running_by_zone)
        return running

    def _works(self, service: str, now: float) -> list[ServiceWork]:
        return [
            report.work_by_service[service]
            for report in self._report_by_gateway.values()
            if now - report.at_s < REPORT_TTL_S and service in report.work_by_service
        ]
