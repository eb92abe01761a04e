"""Validity of the instance's own session.

The service counts a lease's time to live from the receipt of a grant or renewal, which
is later than the time it was sent. An instance that treats its session as invalid one
second before send time plus time to live therefore stops before the service expires the
session, as long as both clocks advance at about the same rate. Validity is checked at
every use, so that a pause of the process is detected before it acts again.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..store.kv_events import SessionRenewed

# Covers the difference between the rates of two clocks over one time to live, and the
# time between a check and the action that follows.
SESSION_MARGIN_S: Final = 1.0


@attrs.define
class SessionValidity:
    """Tracks the validity of the instance's own session."""

    _last_renewal: SessionRenewed | None = None

    def record_renewal(self, renewal: SessionRenewed) -> None:
        """Record a grant or renewal; an older one of the same lease is ignored."""
        known = self._last_renewal
        if (
            known is None
            or known.lease_id != renewal.lease_id
            or known.sent_at < renewal.sent_at
        ):
            self._last_renewal = renewal

    def record_end(self) -> None:
        """Mark the session as ended."""
        self._last_renewal = None

    @property
    def era(self) -> int:
        """The service's era at the last renewal; 0 if there is none."""
        return 0 if self._last_renewal is None else self._last_renewal.era

    def valid_until(self) -> float | None:
        """Return when the session becomes invalid; None if there is none."""
        if self._last_renewal is None:
            return None
        return self._last_renewal.sent_at + self._last_renewal.ttl_s - SESSION_MARGIN_S

    def valid_lease_id(self, now: float) -> int | None:
        """Return the lease of the session, or None if the session is not valid now."""
        valid_until = self.valid_until()
        if self._last_renewal is None or valid_until is None or now >= valid_until:
            return None
        return self._last_renewal.lease_id
