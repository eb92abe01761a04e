"""Revisions that stay ordered when the key-value service returns from an older copy.

A service that is restored from an older copy gives its revision numbers out again, so
a number alone no longer tells which of two writes is the later one. Each restore begins
a new era. A revision contains both: the era takes the bits above the service's own
number. A revision of a later era is therefore higher than every one before it, and two
writes never have the same revision. Code that compares revisions needs no further case;
code that relies on the history between two revisions asks for their eras.

A service that never returns from an older copy has no eras: its revisions are its own
numbers (era 0).
"""

from __future__ import annotations

from typing import Final

# A service with 10,000 writes a second gives out fewer numbers in three years.
NUMBER_BITS: Final = 40
# Revisions and epoch numbers must be exact in JSON, which carries 53 bits.
MAX_ERA: Final = 2**13 - 1
_NUMBER_MASK: Final = 2**NUMBER_BITS - 1


def make_revision(era: int, number: int) -> int:
    """Return the revision of a number that the service has given out in an era."""
    return (era << NUMBER_BITS) | number


def era_of(revision: int) -> int:
    """Return the era of a revision; 0 for a service without eras."""
    return revision >> NUMBER_BITS


def number_of(revision: int) -> int:
    """Return the number of a revision, as the service knows it."""
    return revision & _NUMBER_MASK
