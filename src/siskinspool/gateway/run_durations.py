"""Expected durations of requests, learned from finished requests.

A requester's hint gives the length of the answer, and the finished requests of a model
give the time per token. Hints are often far off, so the time per token is averaged over
many requests.
"""

from __future__ import annotations

from typing import Final

# Weight of the newest request in the moving average.
NEWEST_RUN_WEIGHT: Final = 0.2
# Time per token of a model without a finished request.
DEFAULT_S_PER_TOKEN: Final = 0.01
# Assumed length of an answer without a hint, in tokens.
DEFAULT_OUTPUT_TOKENS: Final = 100
# A request that takes longer than expected will most likely end soon.
MIN_REMAINING_S: Final = 0.1


class RunDurations:
    """Average time per output token by model."""

    def __init__(self) -> None:
        self._s_per_token_by_model: dict[str, float] = {}

    def record_run(self, model: str, output_tokens: int, took_s: float) -> None:
        """Record the duration of a finished request."""
        newest = took_s / (output_tokens or DEFAULT_OUTPUT_TOKENS)
        known = self._s_per_token_by_model.get(model, newest)
        average = known + NEWEST_RUN_WEIGHT * (newest - known)
        self._s_per_token_by_model[model] = average

    def remaining_s(self, model: str, output_tokens: int, elapsed_s: float) -> float:
        """Return how much longer a request is expected to take, in seconds."""
        s_per_token = self._s_per_token_by_model.get(model, DEFAULT_S_PER_TOKEN)
        expected_s = s_per_token * (output_tokens or DEFAULT_OUTPUT_TOKENS)
        return max(expected_s - elapsed_s, MIN_REMAINING_S)
