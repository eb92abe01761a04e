"""The bounds that an installation must keep, in seconds and counts."""

from __future__ import annotations

import attrs

from ..feed.feed_times import FeedTimes


@attrs.frozen(kw_only=True)
class Bounds:
    """Time limits and tolerances that the platform sets for the system."""

    # Time from SIGTERM to SIGKILL.
    grace_s: float
    # Time after which a draining server must not receive requests any more.
    drain_s: float
    # Time after which a new desired state must be in force.
    config_s: float
    # Repeats that a service may get in the window: a ratio of its requests plus a fixed
    # number, over all instances.
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    # Tokens that a team may use in the window beyond rate and burst: a share of these
    # plus a fixed number, over all instances.
    cap_window_s: float
    cap_overage: float
    cap_slack_tokens: float
    # Requests per second that a cold server may get: a factor on the rate that it can
    # handle plus a fixed number, over all instances.
    cold_overage: float
    cold_slack: float
    # Minimum time between orders of two holders to one server.
    holder_lease_s: float
    # Servers refuse orders with an epoch number lower than one they have seen.
    servers_check_epochs: bool
    # Window and tolerance of the limit on loads from the weight store.
    load_window_s: float
    load_overage: float

    @property
    def feed_times(self) -> FeedTimes:
        """The intervals of the change feed, for the tightest bound on a change."""
        return FeedTimes.from_bound(min(self.drain_s, self.config_s))
