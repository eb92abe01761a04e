"""A gateway's share of the request rate that a cold server can handle."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final

from ..machines.rendezvous import score
from .bounds import ColdBounds
from .token_bucket import TokenBucket

# Rate and capacity of the bucket of a server without a limit.
UNLIMITED_RATE: Final = 1e9
# A bucket of capacity 1 with a refill of 1 a second allows two requests in a second.
REQUESTS_PER_UNIT: Final = 2
# A gateway that has lost its session may still send, for as long as partitions last.
FORMER_MEMBER_S: Final = 30.0


class RampMembers:
    """The gateways that share the rate of each cold server; times are in seconds."""

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        # None until the members are known.
        self._present_ids: frozenset[str] | None = None
        self._left_at_by_id: dict[str, float] = {}

    def update(self, member_ids: Collection[str], now: float) -> None:
        """Set the present members."""
        present_ids = frozenset(member_ids) | {self._own_id}
        for member_id in (self._present_ids or frozenset()) - present_ids:
            self._left_at_by_id[member_id] = now
        for member_id in present_ids:
            self._left_at_by_id.pop(member_id, None)
        self._present_ids = present_ids

    def sharing_ids(self, now: float) -> frozenset[str]:
        """Return the gateways that may send; empty while they are not known."""
        if self._present_ids is None:
            return frozenset()
        for member_id, left_at in list(self._left_at_by_id.items()):
            if now - left_at >= FORMER_MEMBER_S:
                del self._left_at_by_id[member_id]
        return self._present_ids | self._left_at_by_id.keys()


def ramp_share(
    server_id: str,
    per_s: float,
    bounds: ColdBounds | None,
    own_id: str,
    sharing_ids: Collection[str],
) -> float:
    """Return the rate and capacity of this gateway's bucket for a cold server.

    Within any second a bucket may grant its capacity plus one second's refill. Room for
    one more gateway is left free, which others may not know of yet. If the total is too
    small to give each gateway one request, only the first gateways in the server's
    rendezvous order get any.
    """
    if per_s <= 0 or bounds is None:
        return UNLIMITED_RATE
    if not sharing_ids:
        return 0.0
    total_per_s = per_s * bounds.overage + bounds.slack
    share = total_per_s / (len(sharing_ids) + 1) / REQUESTS_PER_UNIT
    if share >= 1:
        return share
    places = max(int(total_per_s / REQUESTS_PER_UNIT) - 1, 1)
    ranked = sorted(sharing_ids, key=lambda name: score(server_id, name))
    return 1.0 if own_id in ranked[:places] else 0.0


def full_bucket(share: float, now: float) -> TokenBucket:
    """Return the bucket of a server that has just become cold."""
    return TokenBucket.full(share, share, now)
