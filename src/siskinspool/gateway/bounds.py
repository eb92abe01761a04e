"""The bounds that an installation must keep, in seconds and counts.

A part of the bounds may be absent: then the installation sets no such limit.
"""

from __future__ import annotations

import attrs

from ..feed.feed_times import FeedTimes


@attrs.frozen(kw_only=True)
class RetryBounds:
    """Repeats that a service may get in a window, over all instances."""

    # A ratio of the service's requests plus a fixed number.
    ratio: float
    window_s: float
    extra: float


@attrs.frozen(kw_only=True)
class CapBounds:
    """Tokens that a team may use beyond rate and burst, over all instances."""

    window_s: float
    # A share of rate and burst plus a fixed number.
    overage: float
    slack_tokens: float


@attrs.frozen(kw_only=True)
class ColdBounds:
    """Requests per second that a cold server may get, over all instances."""

    # A factor on the rate that the server can handle plus a fixed number.
    overage: float
    slack: float


@attrs.frozen(kw_only=True)
class OrderBounds:
    """How the orders of successive holders are told apart."""

    # Minimum time between orders of two holders to one server.
    lease_s: float
    # Orders with an epoch number lower than one already seen are refused.
    epochs_checked: bool


@attrs.frozen(kw_only=True)
class LoadBounds:
    """Window and tolerance of the limit on loads from the weight store."""

    window_s: float
    overage: float


@attrs.frozen(kw_only=True)
class Bounds:
    """Time limits and tolerances that the platform sets for the system."""

    # Time from SIGTERM to SIGKILL.
    grace_s: float
    # Time after which a draining server must not receive requests any more.
    drain_s: float
    # Time after which a new desired state must be in force.
    config_s: float
    orders: OrderBounds
    # None: the installation does not limit repeats in total.
    retry: RetryBounds | None
    # None: no use beyond rate and burst is tolerated.
    cap: CapBounds | None
    # None: cold servers have no limit.
    cold: ColdBounds | None
    # None: loads are limited by the rate of the weight store alone.
    load: LoadBounds | None

    @property
    def feed_times(self) -> FeedTimes:
        """The intervals of the change feed, for the tightest bound on a change."""
        return FeedTimes.from_bound(min(self.drain_s, self.config_s))
