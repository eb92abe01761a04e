"""The intervals of the change feed."""

from __future__ import annotations

from typing import Final, Self

import attrs

# Shares of the bound within which a change has to take effect. Their sum, with the
# readers' pause between two calls, leaves time for one call to the service.
SILENCE_SHARE: Final = 0.5
JITTER_SHARE: Final = 0.1
READ_PAUSE_SHARE: Final = 0.15
UPDATE_SHARE: Final = 0.2
RENEW_SHARE: Final = 1.5


@attrs.frozen(kw_only=True)
class FeedTimes:
    """Intervals in seconds."""

    # An instance that has heard nothing for this long reads for itself.
    silence_s: float
    # Spreads the calls of the instances that lose the same reader.
    jitter_s: float
    # Pause of a reader between two calls for one prefix.
    read_pause_s: float
    # Least time between two updates without changes.
    update_s: float
    # Time between the renewals of a subscription.
    renew_s: float

    @classmethod
    def from_bound(cls, bound_s: float) -> Self:
        """Return the intervals for a bound on the effect of a change."""
        return cls(
            silence_s=SILENCE_SHARE * bound_s,
            jitter_s=JITTER_SHARE * bound_s,
            read_pause_s=READ_PAUSE_SHARE * bound_s,
            update_s=UPDATE_SHARE * bound_s,
            renew_s=RENEW_SHARE * bound_s,
        )

    @property
    def subscription_s(self) -> float:
        """How long a subscription lasts without a renewal."""
        return 3 * self.renew_s
