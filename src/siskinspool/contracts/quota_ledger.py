"""Ledger of one team's quota: what is granted to instances and what is in reserve.

Invariants (R5): granted quota plus reserve never exceeds the contract in rate or cap,
and the level of the reserve never exceeds its cap. A ledger starts empty. Until
`add_remainder` the reserve contains only what instances returned; afterwards it is the
contract less what is granted. Level is added only by returns and by the reserve's rate.
"""

from __future__ import annotations

from typing import Final

import attrs

from .share_messages import QuotaAmount, ShareReport

# Factor on the measured demand, so that demand can rise without a shortage.
DEMAND_HEADROOM_FACTOR: Final = 1.25
# Fraction of the rate that is split evenly, so that each instance can serve a first
# call.
EVEN_RATE_FRACTION: Final = 0.1
# Fractions of the burst that are split evenly and by demand; the rest stays in reserve
# for bursts.
EVEN_CAP_FRACTION: Final = 0.2
DEMAND_CAP_FRACTION: Final = 0.3

LeaseHolder = tuple[str, str]


@attrs.define
class QuotaLease:
    """Quota granted to and returned by one incarnation of an instance, as totals."""

    instance_id: str
    task: str
    lease_no: int
    base: QuotaAmount
    granted: QuotaAmount
    granted_at: float
    returned: QuotaAmount = attrs.field(factory=QuotaAmount)
    applied: QuotaAmount = attrs.field(factory=QuotaAmount)
    request_no: int = 0
    demand: int = 0
    level: int = 0
    wanted_level: int = 0
    is_surrendering: bool = False

    @property
    def outstanding_rate(self) -> int:
        """The rate that the instance may hold, in millitokens/s."""
        return self.granted.rate - self.returned.rate

    @property
    def outstanding_cap(self) -> int:
        """The cap that the instance may hold, in millitokens."""
        return self.granted.cap - self.returned.cap

    def missing_level(self) -> int:
        """Return the millitokens still lacking after grants in transit."""
        return self.wanted_level - (self.granted.level - self.applied.level)


class QuotaLedger:
    """Granted quota and reserve of one team."""

    def __init__(self, now: float) -> None:
        self.lease_by_holder: dict[LeaseHolder, QuotaLease] = {}
        self.rate = 0
        self.cap = 0
        self.has_remainder = False
        # The reserve until the remainder is added.
        self._returned_reserve = QuotaAmount()
        self._level = 0.0
        self._advanced_at = now
        self._next_lease_no = 1
        # Sums over all leases, updated incrementally so that a report costs O(1).
        self._outstanding_rate = 0
        self._outstanding_cap = 0
        self._demand = 0

    def advance(self, now: float) -> None:
        """Accrue level in the reserve; called before any change."""
        if now > self._advanced_at:
            self._level += self.free_rate * (now - self._advanced_at)
            self._advanced_at = now
        self._clamp_level()

    @property
    def free_rate(self) -> int:
        """The rate in reserve, in millitokens/s."""
        free = self.rate - self._outstanding_rate
        return max(
            0, free if self.has_remainder else min(free, self._returned_reserve.rate)
        )

    @property
    def free_cap(self) -> int:
        """The cap in reserve, in millitokens."""
        free = self.cap - self._outstanding_cap
        return max(
            0, free if self.has_remainder else min(free, self._returned_reserve.cap)
        )

    @property
    def level(self) -> int:
        """The level in reserve, in millitokens."""
        return int(self._level)

    def _clamp_level(self) -> None:
        self._level = min(self._level, self.free_cap)

    def set_contract(self, rate: int, cap: int, now: float) -> None:
        """Set the contract; additional rate and cap come without level."""
        self.advance(now)
        self.rate, self.cap = rate, cap
        self._clamp_level()

    def add_remainder(self, now: float) -> None:
        """Add all quota that is not granted; all older shares must have expired."""
        self.advance(now)
        self.has_remainder = True

    def open_lease(
        self, holder: LeaseHolder, task: str, base: QuotaAmount, now: float
    ) -> QuotaLease:
        """Open a lease; ``base`` is the quota kept from an older epoch."""
        self.advance(now)
        lease = QuotaLease(holder[0], task, self._next_lease_no, base, base, now)
        lease.applied = base
        self._next_lease_no += 1
        self.lease_by_holder[holder] = lease
        self._outstanding_rate += base.rate
        self._outstanding_cap += base.cap
        self._clamp_level()
        return lease

    def close_lease(self, holder: LeaseHolder, now: float) -> None:
        """Remove a lease that its holder can no longer use; its level is lost."""
        self.advance(now)
        lease = self.lease_by_holder.pop(holder)
        self._outstanding_rate -= lease.outstanding_rate
        self._outstanding_cap -= lease.outstanding_cap
        self._demand -= lease.demand

    def record_report(self, lease: QuotaLease, report: ShareReport, now: float) -> None:
        """Record the returned quota and the state of an instance."""
        self.advance(now)
        newly_returned = report.returned.minus(lease.returned)
        lease.returned = report.returned
        lease.applied = report.applied
        self._demand += report.demand - lease.demand
        lease.request_no = report.request_no
        lease.demand = report.demand
        lease.level = report.holding.level
        lease.wanted_level = report.wanted
        lease.is_surrendering = report.surrendering
        self._outstanding_rate -= newly_returned.rate
        self._outstanding_cap -= newly_returned.cap
        self._returned_reserve = self._returned_reserve.plus(newly_returned)
        self._level += newly_returned.level
        self._clamp_level()

    def grant(self, lease: QuotaLease, amount: QuotaAmount) -> None:
        """Grant part of the reserve; call `advance` first."""
        self._level -= amount.level
        lease.granted = lease.granted.plus(amount)
        self._outstanding_rate += amount.rate
        self._outstanding_cap += amount.cap
        self._returned_reserve = self._returned_reserve.minus(amount)
        self._clamp_level()

    def targets(self, lease: QuotaLease) -> tuple[int, int]:
        """Return the target rate and cap of a lease, based on demand."""
        if lease.is_surrendering:
            return 0, 0
        count = len(self.lease_by_holder)
        demand = self._demand
        # Until the remainder is added, less than the contract can be distributed.
        usable_rate = min(self.rate, self.free_rate + self._outstanding_rate)
        usable_cap = min(self.cap, self.free_cap + self._outstanding_cap)
        even_rate = usable_rate * EVEN_RATE_FRACTION / count
        total_desired_rate = demand * DEMAND_HEADROOM_FACTOR + even_rate * count
        desired_rate = lease.demand * DEMAND_HEADROOM_FACTOR + even_rate
        rate = (
            desired_rate * min(1.0, usable_rate / total_desired_rate)
            if total_desired_rate
            else 0.0
        )
        cap = usable_cap * EVEN_CAP_FRACTION / count
        if demand:
            cap += usable_cap * DEMAND_CAP_FRACTION * lease.demand / demand
        return int(rate), int(cap)

    def grant_up_to_target(self, lease: QuotaLease) -> None:
        """Grant a lease quota up to its target, as far as the reserve allows."""
        target_rate, target_cap = self.targets(lease)
        free_cap = self.free_cap
        rate = max(0, min(target_rate - lease.outstanding_rate, self.free_rate))
        # The first instances to report must not use up the reserve.
        spread = (
            int(self.cap * (EVEN_CAP_FRACTION + DEMAND_CAP_FRACTION))
            - self._outstanding_cap
        )
        cap = max(0, min(target_cap - lease.outstanding_cap, free_cap, spread))
        level = int(self._level * cap / free_cap) if free_cap else 0
        if rate or cap:
            self.grant(lease, QuotaAmount(rate, cap, level))

    def grant_wanted_level(self, lease: QuotaLease) -> int:
        """Grant level, with equal cap, to waiting requests; return what is missing."""
        missing = lease.missing_level()
        amount = min(missing, self.level)
        if amount > 0:
            self.grant(lease, QuotaAmount(0, amount, amount))
        return max(0, missing - max(0, amount))

    def grant_all(self, now: float) -> list[QuotaLease]:
        """Split the whole reserve among the leases, because this owner stops."""
        self.advance(now)
        leases = [x for x in self.lease_by_holder.values() if not x.is_surrendering]
        for index, lease in enumerate(leases):
            parts = len(leases) - index
            self.grant(
                lease,
                QuotaAmount(
                    self.free_rate // parts, self.free_cap // parts, self.level // parts
                ),
            )
        return leases
