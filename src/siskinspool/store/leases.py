"""Leases for keys with a time to live.

Each lease costs calls, so all writes to keys with the same prefix (up to the last
slash) and the same time to live share one lease for 10 minutes. The lease is granted
for 10 minutes more than the time to live, so that the last key attached to it lives
long enough.
"""

from __future__ import annotations

from typing import Final

import attrs
from gevent.lock import BoundedSemaphore

from ..core.clock import Clock
from .keys import lease_group
from .kv import KeyValueService

LEASE_SHARING_S: Final = 600.0


@attrs.define
class _SharedLease:
    """The current lease for one prefix and time to live."""

    lock: BoundedSemaphore = attrs.field(factory=lambda: BoundedSemaphore(1))
    lease_id: int | None = None
    use_until: float = 0.0
    # The service's era at the grant; after a return the id may be another lease's.
    era: int = 0


class SharedLeases:
    """Provides lease ids; the greenlets of the ``kv`` task share one object."""

    def __init__(self, service: KeyValueService, clock: Clock) -> None:
        self._service = service
        self._clock = clock
        self._lease_by_group: dict[tuple[str, float], _SharedLease] = {}

    def lease_id(self, key: str, ttl_s: float) -> int:
        """Return the lease for a write; raise the errors of `grant_lease`."""
        self._remove_unused()
        lease = self._lease_by_group.setdefault(
            (lease_group(key), ttl_s), _SharedLease()
        )
        with lease.lock:
            sent_at = self._clock.now()
            is_usable = lease.era == self._service.era and sent_at < lease.use_until
            if lease.lease_id is None or not is_usable:
                granted = self._service.grant_lease(ttl_s + LEASE_SHARING_S)
                lease.lease_id, lease.era = granted.lease_id, self._service.era
                # Each write must live for its whole time.
                lease.use_until = sent_at + min(granted.ttl_s - ttl_s, LEASE_SHARING_S)
            return lease.lease_id

    def invalidate(self, key: str, ttl_s: float) -> None:
        """Use a new lease for the next write, as the current one may be lost."""
        lease = self._lease_by_group.get((lease_group(key), ttl_s))
        if lease is not None:
            lease.use_until = 0.0

    def _remove_unused(self) -> None:
        now = self._clock.now()
        for group, lease in list(self._lease_by_group.items()):
            if lease.use_until < now - LEASE_SHARING_S and not lease.lock.locked():
                del self._lease_by_group[group]
