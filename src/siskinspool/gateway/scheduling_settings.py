"""Which of the optional scheduling features are on."""

from __future__ import annotations

import attrs

from .bounds import Bounds


@attrs.frozen(kw_only=True)
class SchedulingSettings:
    """The optional features of routing and placement."""

    # Limit the requests in flight to a server that has just started or recovered.
    adaptive_pace: bool
    # Choose servers by the speed that their answers show.
    speed_estimates: bool
    # Share the places of a service between the teams that wait.
    fair_queueing: bool
    # Add replicas of each busy model, not only of the busiest one.
    replica_scaling: bool

    @classmethod
    def all_set_to(cls, is_on: bool) -> SchedulingSettings:
        """Return settings with all features on or off."""
        return cls(
            adaptive_pace=is_on,
            speed_estimates=is_on,
            fair_queueing=is_on,
            replica_scaling=is_on,
        )

    @classmethod
    def from_bounds(cls, bounds: Bounds) -> SchedulingSettings:
        """Return the defaults of a deployment.

        Where a contract states what a started server can bear, the deployment relies
        on that limit. Where none does, the gateways have to find out for themselves.
        """
        return cls.all_set_to(bounds.cold is None)
