"""Exceptions that decoders raise for untrusted input.

A value in shared storage may come from another writer. Code that decodes such a value
catches all of these exceptions: besides a wrong type or syntax, nesting beyond the
decoder's limit raises RecursionError, and a number of thousands of digits raises
ValueError. `Count` is the type of a whole number in such a value.
"""

from __future__ import annotations

from typing import Annotated, Final

import msgspec

MALFORMED_ERRORS: Final = (
    msgspec.DecodeError,
    ValueError,
    TypeError,
    RecursionError,
)

# Larger whole numbers cannot be sent in messages between instances.
MAX_COUNT: Final = 2**53

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
