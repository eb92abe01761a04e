"""A gateway's part of the requests that a cold server bears."""

from __future__ import annotations

from ..machines.rendezvous import score
from .bounds import Bounds
from .token_bucket import TokenBucket

# Stands for a server without a bound.
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

    Any second may see a bucket's capacity and one second's refill. If the whole is too
    small to give each gateway one request, only the first in the server's order of
    gateways get any.
    """
    if per_s <= 0:
        return TokenBucket.full(UNLIMITED_RATE, UNLIMITED_RATE, now)
    whole = per_s * bounds.cold_overage + bounds.cold_slack
    # Capacity 1 and a refill of 1 a second allow two requests in a second.
    share = whole / len(member_ids) / 2
    if share >= 1:
        return TokenBucket.full(share, share, now)
    ranked = sorted(member_ids, key=lambda name: score(server_id, name))
    if ranked.index(own_id) < whole / 2:
        return TokenBucket.full(1.0, 1.0, now)
    return TokenBucket.empty(0.0, 0.0, now)
