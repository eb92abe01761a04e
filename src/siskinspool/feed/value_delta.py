"""Differences between two versions of a large value.

A value is split into pieces at the ends of JSON objects. A delta names the pieces that
the old version has as well by their positions, and contains the others. So the change
of one entry in a document of hundreds of kilobytes takes some hundred bytes on the
links between instances, which may be slow.
"""

from __future__ import annotations

import zlib
from typing import Final

import msgspec

from ..core.malformed import MALFORMED_ERRORS

_SEPARATOR: Final = b"},"
# A value that a delta describes is not longer than the service allows.
MAX_VALUE_BYTES: Final = 4 * 1024 * 1024
_COMPRESSION_LEVEL: Final = 1

# Runs of pieces of the old version (position, count), and new pieces.
_Operations = list[tuple[int, int] | bytes]


def encode_delta(old: bytes, new: bytes) -> bytes:
    """Return the delta that turns the old version into the new one."""
    position_by_piece: dict[bytes, int] = {}
    for position, piece in enumerate(old.split(_SEPARATOR)):
        position_by_piece.setdefault(piece, position)
    operations: _Operations = []
    for piece in new.split(_SEPARATOR):
        found = position_by_piece.get(piece)
        last = operations[-1] if operations else b""
        if found is None:
            operations.append(piece)
        elif isinstance(last, tuple) and last[0] + last[1] == found:
            operations[-1] = (last[0], last[1] + 1)
        else:
            operations.append((found, 1))
    return zlib.compress(msgspec.msgpack.encode(operations), _COMPRESSION_LEVEL)


def apply_delta(old: bytes, delta: bytes) -> bytes | None:
    """Return the new version, or None if the delta does not fit the old one."""
    try:
        packed = zlib.decompressobj().decompress(delta, MAX_VALUE_BYTES)
        operations = msgspec.msgpack.decode(packed, type=_Operations)
    except (zlib.error, *MALFORMED_ERRORS):
        return None
    old_pieces = old.split(_SEPARATOR)
    pieces: list[bytes] = []
    for operation in operations:
        if isinstance(operation, bytes):
            pieces.append(operation)
            continue
        start, count = operation
        if start < 0 or count < 1 or start + count > len(old_pieces):
            return None
        pieces += old_pieces[start : start + count]
    if sum(map(len, pieces)) > MAX_VALUE_BYTES:
        return None
    return _SEPARATOR.join(pieces)
