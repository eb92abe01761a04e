"""Rendezvous hashing: a consistent choice with minimal reassignment.

Each candidate gets a score from the key and its own name; the highest score wins, so
all instances choose alike. When a candidate joins or leaves, only the keys that it wins
or won are reassigned.
"""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score(key: str, candidate: str) -> int:
    """Return the 64-bit score of a candidate for a key."""
    return int(xxhash.xxh3_64_intdigest(f"{key}\0{candidate}".encode()))


def winner(key: str, candidates: Iterable[str]) -> str | None:
    """Return the candidate with the highest score, or None if there is none."""
    return max(candidates, key=lambda name: (score(key, name), name), default=None)


def pair_score(one: str, other: str) -> int:
    """Return a score of two names that does not depend on their order."""
    return score(min(one, other), max(one, other))


def highest_by_pair_score(
    name: str, candidates: Iterable[str], count: int
) -> list[str]:
    """Return the candidates with the highest pair scores.

    The score is symmetric, so many choices are mutual.
    """
    ranked = sorted(candidates, key=lambda other: (pair_score(name, other), other))
    return ranked[::-1][:count]
