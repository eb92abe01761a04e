"""An instance's leases of ramp slots on one server (R6).

The placement owner leases slots with `RampSlots`, per start (boot id) of a server. An
instance without a valid lease for the current boot id sends nothing. A lease with
``slots=None`` ends the ramp: the server's capacity applies until it is cold again.
"""

from __future__ import annotations

import attrs

from .messages import RampSlots


@attrs.frozen
class RampGrant:
    """A lease of slots; ``slots=None`` removes the limit and does not expire."""

    slots: int | None
    expires_at: float


@attrs.define
class RampGrants:
    """Leases for the current boot id and for one that was not reported yet."""

    _grant_by_boot: dict[str, RampGrant] = attrs.field(factory=dict, init=False)

    def record_lease(self, message: RampSlots, current_boot: str, now: float) -> None:
        """Record a lease, which can arrive before the report of its boot id."""
        current = self._grant_by_boot.get(current_boot)
        self._grant_by_boot = {} if current is None else {current_boot: current}
        expires_at = message.valid_until
        if expires_at is None:
            expires_at = now + message.ttl_s
        self._grant_by_boot[message.boot_id] = RampGrant(message.slots, expires_at)

    def keep_only_boot(self, boot_id: str) -> None:
        """Drop all leases except the one for a new boot id."""
        grant = self._grant_by_boot.get(boot_id)
        self._grant_by_boot = {} if grant is None else {boot_id: grant}

    def withdraw_unlimited(self, boot_id: str) -> None:
        """Withdraw an unlimited lease; leased slots of an active ramp stay valid."""
        grant = self._grant_by_boot.get(boot_id)
        if grant is not None and grant.slots is None:
            del self._grant_by_boot[boot_id]

    def limit(self, boot_id: str, now: float) -> int | None:
        """Return the allowed concurrent calls; None if only capacity limits them."""
        grant = self._grant_by_boot.get(boot_id)
        if grant is None:
            return 0
        if grant.slots is None:
            return None
        return grant.slots if now < grant.expires_at else 0
