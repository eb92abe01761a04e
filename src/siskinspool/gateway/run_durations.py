"""How long runs of a model take on a server, learnt from the runs that have ended.

A requester's hint tells the length of the answer, and the runs of a model tell the time
for each token. The hints are often far off, so the time is an average over many runs.
"""

from __future__ import annotations

from typing import Final

# Share of the newest run in the average.
NEWEST_RUN_WEIGHT: Final = 0.2
# A run of a model of which none has ended yet.
DEFAULT_S_PER_TOKEN: Final = 0.01
# Length of an answer without a hint, in tokens.
DEFAULT_OUTPUT_TOKENS: Final = 100
# A run that goes on longer than expected ends soon, most likely.
MIN_REMAINING_S: Final = 0.1


class RunDurations:
    """Average time of an output token by model."""

    def __init__(self) -> None:
        self._s_per_token_by_model: dict[str, float] = {}

    def record_run(self, model: str, output_tokens: int, took_s: float) -> None:
        """Take in a run that has ended."""
        newest = took_s / (output_tokens or DEFAULT_OUTPUT_TOKENS)
        known = self._s_per_token_by_model.get(model, newest)
        average = known + NEWEST_RUN_WEIGHT * (newest - known)
        self._s_per_token_by_model[model] = average

    def remaining_s(self, model: str, output_tokens: int, elapsed_s: float) -> float:
        """Return how much longer a run is expected to take, in seconds."""
        s_per_token = self._s_per_token_by_model.get(model, DEFAULT_S_PER_TOKEN)
        expected_s = s_per_token * (output_tokens or DEFAULT_OUTPUT_TOKENS)
        return max(expected_s - elapsed_s, MIN_REMAINING_S)
