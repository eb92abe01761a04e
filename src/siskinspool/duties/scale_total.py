"""The number of a service's servers in all usable zones together."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from ..gateway.desired_state import AutoscaleSpec
from .scale_demand import ScaleDemand
from .scale_plan import ZoneState

# At most this part of the servers is given up at a time, so that an error in the
# estimate shows before all of them are gone.
MAX_REMOVED_PART: Final = 0.2
REMOVE_INTERVAL_S: Final = 5.0


class ScaleTotal:
    """Follows a rise of the work at once and a fall after some time."""

    def __init__(self) -> None:
        self._demand = ScaleDemand()
        # None until the servers that are present have been counted.
        self._total: int | None = None
        self._removed_at = float("-inf")

    def update(
        self,
        work: float,
        slots: float,
        spec: AutoscaleSpec,
        zones: Collection[ZoneState],
        now: float,
        *,
        is_settled: bool = True,
    ) -> int:
        """Record the present work and return the number of servers.

        The number stays when a zone is lost, so the others replace its servers. Until
        ``is_settled`` it follows the servers that are present.
        """
        self._demand.record(work, now)
        total = self._total
        if total is None or not is_settled:
            total = sum(zone.ordered for zone in zones)
        wanted = self._demand.servers_wanted(slots, spec.boot_s)
        kept = self._demand.servers_kept(slots, now)
        if wanted > total:
            total = wanted
        elif kept is not None and now >= self._removed_at + REMOVE_INTERVAL_S:
            removed = max(int(total * MAX_REMOVED_PART), 1)
            fewer = min(max(kept, wanted, total - removed), total)
            if fewer < total:
                total, self._removed_at = fewer, now
        usable = sum(zone.is_usable for zone in zones)
        low, high = spec.min_servers * usable, spec.max_servers * usable
        self._total = min(max(total, low), high)
        return self._total
