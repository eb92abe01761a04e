"""Advice on ``Retry-After`` from the time at which a place is expected."""

from __future__ import annotations

from typing import Final

import xxhash

from .retry_advice import DEFAULT_RETRY_AFTER_S, RefusedRequest, RetryAdvice

# A refused requester retries at the latest after this share of its remaining time, so a
# longer time would not be kept.
MAX_REMAINING_SHARE: Final = 1 / 3
# Requesters that are told about the same time are spread over this share of it.
JITTER_SHARE: Final = 0.25
MIN_RETRY_AFTER_S: Final = 0.05
_HASH_RANGE: Final = 2**32


class ExpectedPlaceAdvice(RetryAdvice):
    """Advises the time of the expected place, spread and within the requester's time.

    The spread follows from a hash of the request id, so no random source is needed.
    """

    def retry_after_s(self, refused: RefusedRequest, now: float) -> float:
        """Return the time until a place is expected, or a third of what remains."""
        expected_s = DEFAULT_RETRY_AFTER_S
        # A time that has passed says nothing about the next place.
        known = [
            at
            for at in (refused.ready_at, refused.place_at)
            if at is not None and at > now
        ]
        if known:
            expected_s = max(max(known) - now, MIN_RETRY_AFTER_S)
        longest_s = max(refused.remaining_s * MAX_REMAINING_SHARE, MIN_RETRY_AFTER_S)
        position = xxhash.xxh32_intdigest(refused.request_id.encode()) / _HASH_RANGE
        spread = 1.0 + JITTER_SHARE * position
        if expected_s * spread <= longest_s:
            return expected_s * spread
        # The longest time cannot be exceeded, so the spread is below it.
        return longest_s * (1.0 - JITTER_SHARE * position)
