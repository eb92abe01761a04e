"""A gateway's share of the request rate that a cold server can handle."""

from __future__ import annotations

from ..machines.rendezvous import score
from .bounds import Bounds
from .token_bucket import TokenBucket

# Rate and capacity of the bucket of a server without a limit.
UNLIMITED_RATE = 1e9


def cold_bucket(
    server_id: str,
    per_s: float,
    bounds: Bounds,
    own_id: str,
    member_ids: tuple[str, ...],
    now: float,
) -> TokenBucket:
    """Return the bucket of requests that this gateway may send to a cold server.

    Within any second a bucket may grant its capacity plus one second's refill. If the
    total is too small to give each gateway one request, only the first gateways in the
    server's rendezvous order get any.
    """
    if per_s <= 0:
        return TokenBucket.full(UNLIMITED_RATE, UNLIMITED_RATE, now)
    total_per_s = per_s * bounds.cold_overage + bounds.cold_slack
    # Capacity 1 and a refill of 1 a second allow two requests in a second.
    share = total_per_s / len(member_ids) / 2
    if share >= 1:
        return TokenBucket.full(share, share, now)
    ranked = sorted(member_ids, key=lambda name: score(server_id, name))
    if ranked.index(own_id) < total_per_s / 2:
        return TokenBucket.full(1.0, 1.0, now)
    return TokenBucket.empty(0.0, 0.0, now)
