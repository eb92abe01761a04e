"""One instance's share of one team's contract (R5).

A share is a token bucket that is valid for a limited time. `advance` must be called
before any other operation: it voids an expired share, so that an instance that was
paused cannot spend from it. The epoch and lease number of a voided share are kept, and
the share is never accepted again.

A surplus at settlement is refunded only as far as the bucket could have held it during
the whole time since the spend (`OpenSpend.refundable`). The limit therefore holds in
every window for the tokens really used, counted at the time of the spend.
"""

from __future__ import annotations

from math import inf

import attrs

from .share_messages import (
    EXPIRY_MARGIN_S,
    OUTAGE_HOLD_S,
    SHARE_TTL_S,
    QuotaAmount,
    ShareGrant,
    ShareRecall,
)

ShareId = tuple[int, int]
NO_SHARE: ShareId = (0, 0)


@attrs.define
class OpenSpend:
    """A spend that is not settled; amounts are in millitokens."""

    share_id: ShareId
    amount: int
    # Minimum of cap - level since the spend.
    refundable: float


@attrs.define
class TeamShare:
    """The current share, if any, and its open spends; amounts are in millitokens."""

    share_id: ShareId = NO_SHARE
    # Highest id of a share that was voided or replaced.
    closed_id: ShareId = NO_SHARE
    rate: int = 0
    cap: int = 0
    level: float = 0.0
    advanced_at: float = -inf
    expires_at: float = -inf
    # Time of expiry in outage mode.
    hold_until: float = -inf
    applied: QuotaAmount = attrs.field(factory=QuotaAmount)
    returned: QuotaAmount = attrs.field(factory=QuotaAmount)
    target_rate: int = 0
    target_cap: int = 0
    # Transferred from peers and not known to the allocator of this epoch.
    received: QuotaAmount = attrs.field(factory=QuotaAmount)
    # Transferred to peers, with the time from which it can no longer be used.
    transferred_out: list[tuple[float, QuotaAmount]] = attrs.field(factory=list)
    # Until this time a peer may use part of a share that is closed here.
    transferred_out_until: float = -inf
    # Tokens used above estimates and not yet covered; blocks spending.
    debt: float = 0.0
    open_spend_by_id: dict[int, OpenSpend] = attrs.field(factory=dict)

    @property
    def is_held(self) -> bool:
        """Whether there is a valid share; call `advance` first."""
        return self.share_id != NO_SHARE

    @property
    def holding(self) -> QuotaAmount:
        """The quota that is held."""
        return QuotaAmount(self.rate, self.cap, int(self.level))

    def deadline(self, is_outage: bool) -> float:
        """Return the time at which the share expires."""
        return max(self.expires_at, self.hold_until) if is_outage else self.expires_at

    def advance(self, now: float, is_outage: bool) -> None:
        """Void the share if it has expired, otherwise accrue level."""
        if not self.is_held:
            return
        if now >= self.deadline(is_outage):
            self.void()
            return
        if now > self.advanced_at:
            self.level += self.rate * (now - self.advanced_at)
            self.advanced_at = now
        self._clamp_level()
        while self.transferred_out and now >= self.transferred_out[0][0]:
            # The allocator counts it as held here until it is returned.
            self.returned = self.returned.plus(self.transferred_out.pop(0)[1])

    def _clamp_level(self) -> None:
        if self.debt:
            paid = min(self.level, self.debt)
            self.level -= paid
            self.debt -= paid
        self.level = min(self.level, self.cap)
        room = self.cap - self.level
        for spend in self.open_spend_by_id.values():
            spend.refundable = min(spend.refundable, room)

    def void(self) -> None:
        """Discard the share permanently; its level is lost."""
        self.closed_id = max(self.closed_id, self.share_id)
        self.share_id = NO_SHARE
        self.rate, self.cap, self.level = 0, 0, 0.0
        self.applied = self.returned = self.received = QuotaAmount()
        self.transferred_out.clear()
        self.expires_at = self.hold_until = -inf

    def spend(self, spend_id: int, amount: int) -> bool:
        """Spend an estimated amount; return False if the level is too low."""
        if not self.is_held or self.debt > 0 or self.level < amount:
            return False
        self.level -= amount
        self.open_spend_by_id[spend_id] = OpenSpend(self.share_id, amount, inf)
        return True

    def settle(self, spend_id: int, used: int) -> None:
        """Refund the surplus of a spend, or charge what it used above the estimate."""
        spend = self.open_spend_by_id.pop(spend_id)
        if used > spend.amount:
            self.debt += used - spend.amount
            self._clamp_level()
            return
        if not self.is_held or spend.share_id != self.share_id:
            return
        surplus = min(
            float(spend.amount - used), spend.refundable, self.cap - self.level
        )
        self.level += max(0.0, surplus)
        for other in self.open_spend_by_id.values():
            other.refundable -= max(0.0, surplus)

    def apply_grant(
        self, grant: ShareGrant, sent_at: float, now: float, is_outage: bool
    ) -> bool:
        """Apply a grant; return False if it has expired or its share is closed."""
        share_id = (grant.epoch, grant.lease_no)
        if share_id <= self.closed_id or share_id < self.share_id:
            return False
        expires_at = sent_at + SHARE_TTL_S
        hold_until = sent_at + min(grant.hold_s, OUTAGE_HOLD_S)
        if now >= (max(expires_at, hold_until) if is_outage else expires_at):
            return False
        if share_id != self.share_id:
            self._move_to_lease(share_id, grant.base, now)
        elif not self.received.is_empty:
            self._drop_received()
        self.expires_at = max(self.expires_at, expires_at)
        self.hold_until = max(self.hold_until, hold_until)
        if grant.given.level >= self.applied.level and (
            grant.given.cap >= self.applied.cap
            and grant.given.rate >= self.applied.rate
        ):
            self._add(grant.given.minus(self.applied))
            self.applied = grant.given
            self.target_rate = grant.target_rate
            self.target_cap = grant.target_cap
        return True

    def _move_to_lease(self, share_id: ShareId, base: QuotaAmount, now: float) -> None:
        """Move the held quota to a new lease, limited to what its allocator counts."""
        rate, cap = min(self.rate, base.rate), min(self.cap, base.cap)
        level = min(self.level, cap)
        if share_id[0] == self.share_id[0]:
            # The allocator of the same epoch has reclaimed the old lease.
            rate, cap, level = 0, 0, 0.0
        if self.is_held:
            self.void()
        self.share_id = share_id
        self.rate, self.cap, self.level, self.advanced_at = rate, cap, level, now
        self.applied = base

    def _drop_received(self) -> None:
        """Discard transfers from peers: the allocator still counts them there."""
        self.rate = max(0, self.rate - self.received.rate)
        self.cap = max(0, self.cap - self.received.cap)
        self.received = QuotaAmount()
        self._clamp_level()

    def _add(self, quota: QuotaAmount) -> None:
        self.rate += quota.rate
        self.cap += quota.cap
        self.level += quota.level
        self._clamp_level()

    def _remove(self, quota: QuotaAmount) -> None:
        self.rate -= quota.rate
        self.cap -= quota.cap
        self.level = min(max(0.0, self.level - quota.level), float(self.cap))
        self._clamp_level()

    def final_closed_id(self, now: float) -> ShareId:
        """Return the highest closed id that no instance, peers included, can use."""
        return self.closed_id if now >= self.transferred_out_until else NO_SHARE

    def return_surplus(self, target_rate: int, target_cap: int) -> bool:
        """Return quota above a target to the allocator; False if there is none."""
        if not self.is_held or not self.received.is_empty:
            return False
        rate = max(0, self.rate - target_rate)
        cap = max(0, self.cap - target_cap)
        quota = QuotaAmount(rate, cap, max(0, int(self.level - (self.cap - cap))))
        self._remove(quota)
        self.returned = self.returned.plus(quota)
        return not quota.is_empty

    def return_recalled(self, recall: ShareRecall) -> bool:
        """Return part of the level, with equal cap, to the allocator."""
        if (recall.epoch, recall.lease_no) != self.share_id or (
            not self.received.is_empty
        ):
            return False
        amount = int(self.level * min(1.0, recall.fraction))
        if amount <= 0:
            return False
        quota = QuotaAmount(0, amount, amount)
        self._remove(quota)
        self.returned = self.returned.plus(quota)
        return True

    def transfer_out(self, wanted: int, is_idle: bool) -> QuotaAmount | None:
        """Subtract part of the share for a peer; None if nothing can be spared."""
        amount = min(wanted, int(self.level if is_idle else self.level / 2))
        if not self.is_held or amount <= 0:
            return None
        quota = QuotaAmount(self.rate // 4, amount, amount)
        self._remove(quota)
        usable_until = self.hold_until + EXPIRY_MARGIN_S
        self.transferred_out.append((usable_until, attrs.evolve(quota, level=0)))
        self.transferred_out_until = max(self.transferred_out_until, usable_until)
        return quota

    def transfer_in(
        self,
        epoch: int,
        quota: QuotaAmount,
        requested_at: float,
        hold_s: float,
        now: float,
    ) -> bool:
        """Add quota from a peer; it must not outlive the peer's own share."""
        if self.is_held and epoch != self.share_id[0]:
            return False
        if not self.is_held:
            if epoch < self.closed_id[0]:
                return False
            # Lease numbers start at 1, so this one is below every lease of the epoch.
            self.share_id = (epoch, 0)
            self.advanced_at = now
            self.expires_at, self.hold_until = requested_at, requested_at + hold_s
        else:
            self.expires_at = min(self.expires_at, requested_at)
            self.hold_until = min(self.hold_until, requested_at + hold_s)
        self.received = self.received.plus(quota)
        self._add(quota)
        return True

    def end_outage(self, now: float) -> None:
        """Extend the share after an outage, to allow time to register it."""
        self.expires_at = max(self.expires_at, min(now + SHARE_TTL_S, self.hold_until))
