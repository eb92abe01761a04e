"""The cost of a request, by which the shares of teams are counted."""

from __future__ import annotations

from typing import Final

# Generating a token occupies a server as long as processing this many prompt tokens.
OUTPUT_TOKEN_COST: Final = 10.0
# Assumed length of an answer without a hint, in tokens.
DEFAULT_OUTPUT_TOKENS: Final = 100
# Requests of a plain service state no tokens and count alike.
PLAIN_REQUEST_COST: Final = 1.0


def request_cost(prompt_tokens: int, output_tokens: int) -> float:
    """Return the cost of a request for a model, in prompt tokens.

    ``output_tokens`` is the expected length of the answer, 0 if unknown.
    """
    return prompt_tokens + OUTPUT_TOKEN_COST * (output_tokens or DEFAULT_OUTPUT_TOKENS)
