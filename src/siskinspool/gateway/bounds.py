"""The bounds of an installation, in seconds and counts."""

from __future__ import annotations

import attrs


@attrs.frozen(kw_only=True)
class Bounds:
    """How quickly and how exactly the system has to act."""

    # Time from SIGTERM to SIGKILL.
    grace_s: float
    # Time in which a leaving server must get nothing more.
    drain_s: float
    # Repeats that a service may get in the window: share of its requests, and a fixed
    # number, over all instances.
    retry_ratio: float
    retry_window_s: float
    retry_extra: float
    # Tokens of a team that may run in the window beyond rate and burst: a share of
    # these, and a fixed number, over all instances.
    cap_window_s: float
    cap_overage: float
    cap_slack_tokens: float
    # Requests a second that a cold server may get: a factor on what it bears, and a
    # fixed number, over all instances.
    cold_overage: float
    cold_slack: float
    # Least time between orders of two holders to one server.
    holder_lease_s: float
    # Servers refuse orders with an epoch number lower than one they have seen.
    servers_check_epochs: bool
    # Window and overage of loads from the weight store.
    load_window_s: float
    load_overage: float
