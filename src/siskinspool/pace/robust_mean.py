"""A running mean that single outliers hardly move."""

from __future__ import annotations

from typing import Final

import attrs

# The prior value counts as this many samples, so one false sample changes little.
PRIOR_SAMPLES: Final = 4
# Weight of a sample in the long run, so that a lasting change shows within some 20.
MIN_WEIGHT: Final = 0.05
# Largest distance from the mean with which a sample counts. With logarithms, 0.5 is a
# factor of 1.65: a spell of 2.5 times counts no more than that.
MAX_STEP: Final = 0.5


@attrs.define
class RobustMean:
    """Running mean of samples around a prior of 0; memory is constant."""

    value: float = 0.0
    count: int = 0

    def add(self, sample: float) -> None:
        """Add a sample; its distance from the mean is cut to `MAX_STEP`."""
        self.count += 1
        weight = max(1.0 / (self.count + PRIOR_SAMPLES), MIN_WEIGHT)
        step = min(max(sample - self.value, -MAX_STEP), MAX_STEP)
        self.value += weight * step
