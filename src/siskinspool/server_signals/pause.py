"""The pause of one server, and the few requests that try it afterwards."""

from __future__ import annotations

from typing import Final

import attrs

# Requests that may try a server at first after its pause. Each gateway tries it, so
# more would exceed the slots of a small server at once.
FIRST_TRIAL_COUNT: Final = 1
# A trial without an answer makes room for the next one after this time, so that a lost
# one does not delay the server's return.
TRIAL_INTERVAL_S: Final = 0.5
# Each answer doubles the number of trials; from this number on the pause is over.
FULL_TRIAL_COUNT: Final = 16


@attrs.define
class Pause:
    """One server's pause; times are seconds on the instance's clock."""

    # When the server wants requests again.
    ends_at: float
    # When this gateway tries it.
    opens_at: float
    trial_limit: int = FIRST_TRIAL_COUNT
    # When the trials without an answer were sent.
    trial_times: list[float] = attrs.field(factory=list)

    def is_tried(self, now: float) -> bool:
        """Return whether the pause has ended and the server may be tried."""
        return now >= self.opens_at

    def remaining_trials(self, now: float) -> int:
        """Return how many further requests the server may get now."""
        if not self.is_tried(now):
            return 0
        recent = sum(1 for at in self.trial_times if now < at + TRIAL_INTERVAL_S)
        return max(self.trial_limit - recent, 0)

    def next_trial_at(self, now: float) -> float:
        """Return when the next request may be sent."""
        if not self.is_tried(now):
            return self.opens_at
        if self.remaining_trials(now) > 0:
            return now
        times = sorted(self.trial_times)[-self.trial_limit :]
        return times[0] + TRIAL_INTERVAL_S

    def extend(self, ends_at: float, opens_at: float) -> None:
        """Extend the pause to a later end; the trials begin anew."""
        self.ends_at = ends_at
        self.opens_at = opens_at
        self.trial_limit = FIRST_TRIAL_COUNT
        self.trial_times.clear()

    def record_sent(self, now: float) -> None:
        """Record a request that tries the server."""
        self.trial_times = [
            at for at in self.trial_times if now < at + TRIAL_INTERVAL_S
        ]
        self.trial_times.append(now)

    def record_answer(self) -> bool:
        """Record an answer to a trial; return whether the pause is over."""
        self.trial_limit *= 2
        self.trial_times.clear()
        return self.trial_limit >= FULL_TRIAL_COUNT
