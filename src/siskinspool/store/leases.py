"""Leases for keys with a time to live.

Leases cost calls, so all writes to keys with the same prefix (up to the last slash)
and the same time to live share one lease for 10 minutes. The lease is granted for
those 10 minutes more, so that the last key attached to it is kept long enough.
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
class _Slot:
    """The current lease of one prefix and time to live."""

    lock: BoundedSemaphore = attrs.field(factory=lambda: BoundedSemaphore(1))
    lease_id: int | None = None
    use_until: float = 0.0


class SharedLeases:
    """Hands out lease ids; the greenlets of the ``kv`` task share one object."""

    def __init__(self, service: KeyValueService, clock: Clock) -> None:
        self._service = service
        self._clock = clock
        self._slot_by_group: dict[tuple[str, float], _Slot] = {}

    def lease_id(self, key: str, ttl_s: float) -> int:
        """Return the lease for a write; raises what `grant_lease` raises."""
        self._forget_unused()
        slot = self._slot_by_group.setdefault((lease_group(key), ttl_s), _Slot())
        with slot.lock:
            sent_at = self._clock.now()
            if slot.lease_id is None or sent_at >= slot.use_until:
                slot.lease_id = self._service.grant_lease(ttl_s + LEASE_SHARING_S)
                slot.use_until = sent_at + LEASE_SHARING_S
            return slot.lease_id

    def invalidate(self, key: str, ttl_s: float) -> None:
        """Grant a new lease for the next write, as the service may have lost it."""
        slot = self._slot_by_group.get((lease_group(key), ttl_s))
        if slot is not None:
            slot.use_until = 0.0

    def _forget_unused(self) -> None:
        now = self._clock.now()
        for group, slot in list(self._slot_by_group.items()):
            if slot.use_until < now - LEASE_SHARING_S and not slot.lock.locked():
                del self._slot_by_group[group]
