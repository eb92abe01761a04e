"""Validity of the instance's own session.

The service counts a lease's time to live from the receipt of a grant or renewal, which
is later than its sending. An instance that stops to trust its session one second
before send time plus time to live therefore stops before the service lets it expire,
as long as both clocks advance at about the same rate. Validity is compared with the
time at every use, so that a pause of the process is noticed before it acts again.
"""

from __future__ import annotations

from typing import Final

import attrs

from ..store.kv_events import SessionRenewed

# Covers the difference of two clocks' rates over one time to live, and the time
# between a check and the action that follows.
SESSION_MARGIN_S: Final = 1.0


@attrs.define
class SessionValidity:
    """What an instance knows about its own session."""

    _last_renewal: SessionRenewed | None = None

    def record_renewal(self, renewed: SessionRenewed) -> None:
        """Take in a grant or renewal; an older one of the same lease has no effect."""
        known = self._last_renewal
        if (
            known is None
            or known.lease_id != renewed.lease_id
            or known.sent_at < renewed.sent_at
        ):
            self._last_renewal = renewed

    def record_end(self) -> None:
        """Trust the session no longer."""
        self._last_renewal = None

    def valid_until(self) -> float | None:
        """Return the time from which the session is not valid; None without one."""
        if self._last_renewal is None:
            return None
        return self._last_renewal.sent_at + self._last_renewal.ttl_s - SESSION_MARGIN_S

    def valid_lease_id(self, now: float) -> int | None:
        """Return the lease of the session, or None if it is not valid now."""
        valid_until = self.valid_until()
        if self._last_renewal is None or valid_until is None or now >= valid_until:
            return None
        return self._last_renewal.lease_id
